//! Messages between boxes over nng: postcard, signed with the shared secret.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    config::Version,
    content::Fingerprint,
    fleet::{Change, Revision, Rollouts},
    id::{BoxName, Domain, Incarnation, Region},
    memory::news::Told,
    quarantine::{Held, Strike},
    rollout::Count,
    settings::Secret,
    sign,
    size::Room,
    unit::{Millis, Rate, Time},
};

const TAG: usize = 8;
const PURPOSE: &str = "frame";

/// Who a box is and where it listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its name.
    pub name: BoxName,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: Domain,
    /// Its listener for callers.
    pub public: SocketAddr,
    /// Its HTTP listener for other boxes.
    pub peer: SocketAddr,
    /// Its nng listener.
    pub gossip: SocketAddr,
}

/// Whether a box takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It has no configuration yet, or just woke up.
    Unready,
    /// It takes work.
    Ready,
    /// It is stopping.
    Leaving,
}

/// A backend server's, service's or customer's name as 32 bits of its xxh3 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Short(pub u32);

impl Short {
    /// Shortens a name.
    pub fn of(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// Work that one box has in hand at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The backend server.
    pub backend: Short,
    /// Attempts in hand.
    pub busy: u32,
}

/// What was seen of one backend server in the last moments, by one box or by several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The backend server.
    pub backend: Short,
    /// Attempts in hand there.
    pub busy: u32,
    /// Boxes that it answered lately.
    pub answered: u32,
    /// Boxes that could not reach it lately.
    pub unreachable: u32,
}

/// How one customer's allotment was used in the last moments, by one box or by several: both figures
/// fade within the allotment's span.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// The customer.
    pub customer: Short,
    /// Units of the allotment that were let in.
    pub used: u32,
    /// Units that were asked for.
    pub offered: u32,
}

impl Use {
    /// The use of `customer` among `uses`, which stand in the order of their customers.
    pub fn find(uses: &[Use], customer: Short) -> Option<&Use> {
        let at = uses.binary_search_by_key(&customer, |told| told.customer);
        at.ok().map(|at| &uses[at])
    }
}

/// What the answers of backend servers say of a roll-out on one route, at one box or at several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The service.
    pub service: Short,
    /// The store's number of the order.
    pub order: Revision,
    /// The route.
    pub route: Short,
    /// How long a box has known the order.
    pub age: Millis,
    /// Answers of the releases that served before.
    pub old: Count,
    /// Answers of the new one.
    pub new: Count,
    /// Its servers that answered: a bit for each, by a hash of its name.
    pub seen: u64,
    /// Those of them that answered badly.
    pub failing: u64,
}

impl Trial {
    /// What rows must have in common to be added up.
    pub fn key(&self) -> (Short, Revision, Short) {
        (self.service, self.order, self.route)
    }
}

/// What a box tells the hubs of its failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What it has seen of backend servers.
    pub usages: Vec<Usage>,
    /// Its customers' use.
    pub uses: Vec<Use>,
    /// What it has seen of roll-outs.
    pub trials: Vec<Trial>,
}

impl Report {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.usages.is_empty() && self.uses.is_empty() && self.trials.is_empty()
    }
}

/// How far a hub knows the platform's store by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The store's last change that it knows of.
    pub revision: Revision,
    /// How long ago the store told it.
    pub age: Millis,
}

/// What the platform's store told a hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The revision that the changes follow; none where they don't tell all.
    pub since: Option<Revision>,
    /// The revision that they lead to.
    pub until: Revision,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// All failure domains under evacuation.
    pub evacuated: BTreeSet<Domain>,
    /// All roll-outs.
    pub rollouts: Rollouts,
}

/// What a hub tells several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// How its region uses backend servers, or its failure domain alone for the hubs of another one.
    pub shares: Vec<Share>,
    /// What it knows of the platform's store.
    pub store: Option<Word>,
    /// Contents that it holds back, for the boxes of its failure domain.
    pub held: Vec<Held>,
}

/// What the boxes of one failure domain have seen of backend servers, added up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The failure domain.
    pub domain: Domain,
    /// What they tell together.
    pub report: Report,
}

/// What a box tells the boxes of its region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who it is.
    pub contact: Contact,
    /// Its clock.
    pub uptime: Time,
    /// The configuration it has in force.
    pub version: Version,
    /// How far it knows the platform's store.
    pub revision: Revision,
    /// Whether it takes work.
    pub phase: Phase,
    /// When the receiver hears of it again at the latest.
    pub pace: Millis,
    /// Boxes of its region that it hears, or was told of and has greeted.
    pub boxes: u32,
    /// Requests in hand.
    pub busy: u32,
    /// Where that work is; servers without any are left out.
    pub loads: Vec<Load>,
    /// Addresses that the platform's list names as leaving, where this box reads it.
    pub listed: Vec<SocketAddr>,
    /// Its customers' use, in the order of the customers, where no hubs add it up.
    pub uses: Vec<Use>,
    /// What it has seen of roll-outs, where no hubs add it up.
    pub trials: Vec<Trial>,
    /// Contents that it holds back.
    pub held: Vec<Held>,
    /// What backend servers of its region say that they take.
    pub limits: Vec<Limit>,
    /// Those of them that said that they leave.
    pub departures: Vec<Departure>,
    /// Its room; always the last field.
    pub room: Room,
}

/// A box of another region that takes relayed requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Door {
    /// Who it is.
    pub contact: Contact,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its clock when the digest was made.
    pub uptime: Time,
}

/// What a region can take of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// The model or route.
    pub service: Short,
    /// Slots of the servers that take work.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Expected time to the first byte.
    pub first: Millis,
    /// Expected time of a whole answer.
    pub whole: Millis,
}

/// The boxes of a region all stopped by plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Absence {
    /// The region.
    pub region: Region,
    /// How long ago its last box said so.
    pub age: Millis,
}

/// Callers use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Used {
    /// The route.
    pub route: Short,
    /// How long ago its last request came.
    pub age: Millis,
}

/// What one region tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The region it speaks of.
    pub region: Region,
    /// The newest configuration there.
    pub version: Version,
    /// How far its boxes know the platform's store.
    pub revision: Revision,
    /// Some of its boxes, least busy for their weight first.
    pub doors: Vec<Door>,
    /// Its boxes.
    pub boxes: u32,
    /// Whether its boxes are stopping by plan, and none takes work.
    pub stopping: bool,
    /// The other regions whose boxes stopped by plan a short while ago, as far as its boxes know.
    pub absences: Vec<Absence>,
    /// Routes that callers use, of hosts that bind some of their requests to regions.
    pub used: Vec<Used>,
    /// What it can take.
    pub services: Vec<Capacity>,
    /// Its customers' use, in the order of the customers.
    pub uses: Vec<Use>,
    /// What its boxes have seen of roll-outs.
    pub trials: Vec<Trial>,
    /// Contents that its boxes hold back.
    pub held: Vec<Held>,
    /// The part of its boxes whose use stands there.
    pub cover: f64,
    /// Whether the receiver passes it on inside its region.
    pub spread: bool,
}

/// A backend server begins to read a long prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The backend server.
    pub backend: Short,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Tokens that it has to read.
    pub tokens: u32,
    /// Tokens that it takes over from another engine.
    pub fetched: u32,
    /// The longest part that the prompt shares with others.
    pub part: Option<u64>,
    /// That part's length in tokens.
    pub shared: u32,
    /// Whether the receiver passes it on inside its region.
    pub spread: bool,
}

/// An engine holds a long part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The engine.
    pub backend: Short,
    /// The part's identity.
    pub part: u64,
}

/// A box is not heard by one that should hear it often.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silent {
    /// Its name.
    pub name: BoxName,
    /// The life that was heard last.
    pub incarnation: Incarnation,
    /// How long that was ago.
    pub since: Millis,
    /// The listener of a box that asks it first; none where the others are told as well.
    pub asker: Option<SocketAddr>,
}

/// What a box has found out of contents that may end backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// Backend servers that ended under them.
    pub strikes: Vec<Strike>,
    /// Contents that nothing speaks against any more.
    pub cleared: Vec<Fingerprint>,
    /// Whether the receiver passes it on inside its region.
    pub spread: bool,
}

/// What a backend server says that it takes from all boxes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// The backend server.
    pub backend: Short,
    /// Its life.
    pub life: Short,
    /// Requests a second; none where it no longer names a limit.
    pub rate: Option<Rate>,
    /// How long ago that was so.
    pub age: Millis,
}

/// A backend server said that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The backend server.
    pub backend: Short,
    /// Its life.
    pub life: Short,
    /// How long ago it said so last.
    pub age: Millis,
}

/// A message's content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Within a region.
    Heartbeat(Heartbeat),
    /// Between regions, then once more inside the receiver's.
    Digest(Digest),
    /// To a box that just appeared: the others of its region.
    Members(Vec<Contact>),
    /// Within a region, and once to each other one: a long prompt begins to be read.
    Reading(Reading),
    /// To a box that just appeared: which engines hold which parts.
    Holdings(Vec<Holding>),
    /// Within a region: a box that should be heard is not.
    Silent(Silent),
    /// To the hubs of its failure domain: what a box has seen.
    Report(Report),
    /// From a hub: the sums of its region to the boxes of its failure domain, or those of its failure
    /// domain to the hubs of another one.
    Tally(Tally),
    /// From a hub to the boxes of its failure domain: the platform's store told this.
    News(News),
    /// Within a region, and once to each other one: what ended backend servers, and what did not.
    Marks(Marks),
    /// Within a region: what backend servers say that they take, where that changed.
    Limits(Vec<Limit>),
    /// Within a region: which backend servers said that they leave, where that changed.
    Departures(Vec<Departure>),
    /// Within a region: what engines say that they keep, where that is not what the boxes were told.
    Kept(Told),
}

impl Body {
    /// The name of its kind, for counters and the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Digest(_) => "digest",
            Self::Members(_) => "members",
            Self::Reading(_) => "reading",
            Self::Holdings(_) => "holdings",
            Self::Silent(_) => "silent",
            Self::Report(_) => "report",
            Self::Tally(_) => "tally",
            Self::News(_) => "news",
            Self::Marks(_) => "marks",
            Self::Limits(_) => "limits",
            Self::Departures(_) => "departures",
            Self::Kept(_) => "kept",
        }
    }
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The box that made it.
    pub from: BoxName,
    /// The life that made it.
    pub incarnation: Incarnation,
    /// Its number in that life; a lower one than the last is dropped unread.
    pub seq: u64,
    /// The content.
    pub body: Body,
}

/// Why bytes are not a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The signature is missing or wrong.
    Unsigned,
    /// The signed bytes do not read as a frame.
    Unreadable,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unsigned => "the frame's signature is wrong",
            Self::Unreadable => "the frame does not read",
        })
    }
}

impl std::error::Error for Error {}

impl Frame {
    /// Writes the frame and its signature.
    pub fn encode(&self, secret: &Secret) -> Vec<u8> {
        let body = postcard::to_stdvec(self).expect("a frame always encodes");
        sign::seal(secret, PURPOSE, body, TAG)
    }

    /// Checks the signature and reads the frame.
    pub fn decode(secret: &Secret, bytes: &[u8]) -> Result<Self, Error> {
        let (body, tag) = sign::split(bytes, TAG).ok_or(Error::Unsigned)?;
        if !sign::holds(secret, PURPOSE, body, tag) {
            return Err(Error::Unsigned);
        }
        postcard::from_bytes(body).map_err(|_| Error::Unreadable)
    }
}
