//! Gossip messages between boxes: postcard-encoded, signed with the shared secret, and sent over
//! nng.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use serde::{Deserialize, Deserializer, Serialize};

use crate::{
    cap::Level,
    config::Version,
    content::Fingerprint,
    crash,
    fleet::{Change, Revision, Rollouts},
    id::{BoxName, Domain, Incarnation, Region},
    memory::report::Corrections,
    quarantine::{Held, Strike},
    rollout::Count,
    settings::Secret,
    sign,
    size::Room,
    unit::{Millis, Rate, Time},
};

const TAG_BYTES: usize = 8;
const PURPOSE: &str = "frame";

/// Identity and addresses of a box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Name of the box.
    pub name: BoxName,
    /// Region of the box.
    pub region: Region,
    /// Failure domain of the box.
    pub domain: Domain,
    /// Address for callers.
    pub public: SocketAddr,
    /// HTTP address for other boxes.
    pub peer: SocketAddr,
    /// Gossip (nng) address.
    pub gossip: SocketAddr,
}

/// Life-cycle phase of a box, which states whether it takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The box has no configuration yet, or has just started or resumed.
    Unready,
    /// The box takes work.
    Ready,
    /// The box is stopping.
    Leaving,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unready => "unready",
            Self::Ready => "ready",
            Self::Leaving => "leaving",
        })
    }
}

/// Name of a backend server, service or customer, shortened to 32 bits of its xxh3 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameHash(pub u32);

impl NameHash {
    /// Hashes a name.
    pub fn of(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// Attempts of one box in flight at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The backend server.
    pub backend: NameHash,
    /// Attempts in flight.
    pub busy: u32,
}

/// Recent observations of one backend server, by one or several boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The backend server.
    pub backend: NameHash,
    /// Attempts in flight there.
    pub busy: u32,
    /// Number of boxes that it answered recently.
    pub answered: u32,
    /// Number of boxes that could not reach it recently.
    pub unreachable: u32,
}

/// Recent use of one customer's allotment, at one or several boxes. Both figures decay over the
/// allotment's time window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// The customer.
    pub customer: NameHash,
    /// Units of the allotment that were admitted.
    pub used: u32,
    /// Units that were requested.
    pub offered: u32,
}

impl Use {
    /// Returns the use of `customer` among `uses`, which are sorted by customer.
    pub fn find(uses: &[Use], customer: NameHash) -> Option<&Use> {
        let at = uses.binary_search_by_key(&customer, |usage| usage.customer);
        at.ok().map(|at| &uses[at])
    }
}

/// Answers of backend servers that count for a roll-out on one route, at one or several boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The service.
    pub service: NameHash,
    /// Store revision of the roll-out order.
    pub order: Revision,
    /// The route.
    pub route: NameHash,
    /// How long ago a box learned of the order.
    pub age: Millis,
    /// Answers of the previous releases.
    pub old: Count,
    /// Answers of the new release.
    pub new: Count,
    /// Servers of the new release that answered, as a bitmap by a hash of their names.
    pub seen: u64,
    /// Servers of the new release that answered with a failure, as a bitmap of the same kind.
    pub failing: u64,
}

impl Trial {
    /// Returns the key by which rows are aggregated.
    pub fn key(&self) -> (NameHash, Revision, NameHash) {
        (self.service, self.order, self.route)
    }
}

/// Report of a box to the hubs of its failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Observations of backend servers.
    pub usages: Vec<Usage>,
    /// Use of customers' allotments.
    pub uses: Vec<Use>,
    /// Roll-out observations.
    pub trials: Vec<Trial>,
}

impl Report {
    /// Reports whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.usages.is_empty() && self.uses.is_empty() && self.trials.is_empty()
    }
}

/// State of the platform's store as known to a hub from the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Last store revision known.
    pub revision: Revision,
    /// How long ago the store reported it.
    pub age: Millis,
}

/// How long ago the sender knew all that the platform's store knew, whichever way it learned that;
/// `None` if it never did.
///
/// It stands at the end of messages. A message of an older release ends before it and reads as
/// `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StoreAge(pub Option<Millis>);

impl<'de> Deserialize<'de> for StoreAge {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self(
            Option::deserialize(deserializer).ok().unwrap_or_default(),
        ))
    }
}

/// Whether a box can open no connection to most backend servers of its region.
///
/// It stands at the end of messages. A message of an older release ends before it and reads as
/// false.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PathLost(pub bool);

impl<'de> Deserialize<'de> for PathLost {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self(
            bool::deserialize(deserializer).ok().unwrap_or_default(),
        ))
    }
}

/// Newest revision of the platform's store that a box has heard of, if it lacks its changes.
///
/// It stands at the end of messages. A message of an older release ends before it and reads as the
/// oldest revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct HeardRevision(pub Revision);

impl<'de> Deserialize<'de> for HeardRevision {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self(
            Revision::deserialize(deserializer).ok().unwrap_or_default(),
        ))
    }
}

/// Update from the platform's store, sent by a hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Revision that the changes are based on; `None` if they may be incomplete.
    pub since: Option<Revision>,
    /// Revision after the changes.
    pub until: Revision,
    /// Changes in order.
    pub changes: Vec<Change>,
    /// All failure domains under evacuation.
    pub evacuated: BTreeSet<Domain>,
    /// All roll-outs.
    pub rollouts: Rollouts,
}

/// Aggregate that a hub sends several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Use of backend servers, by failure domain: of the hub's whole region, or of its own domain
    /// only when sent to the hubs of another domain.
    pub shares: Vec<Share>,
    /// State of the platform's store.
    pub store: Option<Progress>,
    /// Contents held back, for the boxes of its failure domain.
    pub held: Vec<Held>,
}

/// Sum of what the boxes of one failure domain observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The failure domain.
    pub domain: Domain,
    /// Sum of the boxes' reports.
    pub report: Report,
}

/// Heartbeat of a box to the other boxes of its region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identity of the sender.
    pub contact: Contact,
    /// Clock of the sender.
    pub uptime: Time,
    /// Version of the configuration in force.
    pub version: Version,
    /// Store revision that the sender knows.
    pub revision: Revision,
    /// Whether the sender takes work.
    pub phase: Phase,
    /// Maximum time until the receiver gets the next heartbeat.
    pub pace: Millis,
    /// Number of boxes of the region that the sender receives heartbeats from, or has learned of
    /// and greeted.
    pub boxes: u32,
    /// Requests in flight.
    pub busy: u32,
    /// Attempts in flight by backend server; servers without any are omitted.
    pub loads: Vec<Load>,
    /// Addresses listed as leaving by the platform, if this box reads its list.
    pub listed: Vec<SocketAddr>,
    /// Use of customers' allotments, sorted by customer, in regions without hubs.
    pub uses: Vec<Use>,
    /// Roll-out observations, in regions without hubs.
    pub trials: Vec<Trial>,
    /// Contents held back.
    pub held: Vec<Held>,
    /// Request limits that backend servers of the region announced.
    pub limits: Vec<Limit>,
    /// Departures that backend servers of the region announced.
    pub departures: Vec<Departure>,
    /// Capacity of the sender; only fields that a sender may omit follow.
    pub room: Room,
    /// How old the sender's knowledge of the platform's store is.
    pub store_age: StoreAge,
    /// Whether the sender can open no connection to backend servers.
    pub path_lost: PathLost,
    /// Newest store revision that the sender has heard of, if it lacks its changes.
    pub heard: HeardRevision,
    /// Brittle backend servers of the region.
    pub brittle: BrittleServers,
    /// Backend servers of the region that reported themselves that they are cold.
    pub cold: ColdServers,
}

/// Box of another region that accepts relayed requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Identity of the box.
    pub contact: Contact,
    /// Incarnation of the box.
    pub incarnation: Incarnation,
    /// Clock of the box when the digest was made.
    pub uptime: Time,
}

/// Capacity of a region for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Model or route.
    pub service: NameHash,
    /// Slots of the servers that take work.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Expected time to the first byte.
    pub first: Millis,
    /// Expected time to the complete answer.
    pub whole: Millis,
}

/// Region whose boxes have all been stopped by plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Absence {
    /// The region.
    pub region: Region,
    /// How long ago its last box reported that.
    pub age: Millis,
}

/// Route that is in use by callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Used {
    /// The route.
    pub route: NameHash,
    /// How long ago its last request arrived.
    pub age: Millis,
}

/// Summary of one region, sent to the other regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Region that the digest describes.
    pub region: Region,
    /// Newest configuration version in the region.
    pub version: Version,
    /// Store revision known in the region.
    pub revision: Revision,
    /// Some boxes that accept relayed requests, least loaded for their weight first.
    pub endpoints: Vec<Endpoint>,
    /// Number of boxes in the region.
    pub boxes: u32,
    /// Whether its boxes are stopping by plan and none takes work.
    pub stopping: bool,
    /// Other regions whose boxes were recently stopped by plan, as far as known.
    pub absences: Vec<Absence>,
    /// Routes in use, of hosts that restrict some of their requests to regions.
    pub used: Vec<Used>,
    /// Capacity by service.
    pub services: Vec<Capacity>,
    /// Use of customers' allotments, sorted by customer.
    pub uses: Vec<Use>,
    /// Roll-out observations of its boxes.
    pub trials: Vec<Trial>,
    /// Contents that its boxes hold back.
    pub held: Vec<Held>,
    /// Share of its boxes whose use is included.
    pub cover: f64,
    /// Whether the receiver forwards it within its region.
    pub spread: bool,
    /// How old the region's knowledge of the platform's store is; must stay the last field.
    pub store_age: StoreAge,
}

/// Notification that a backend server begins to read a long prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The backend server.
    pub backend: NameHash,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Tokens that the server has to read.
    pub tokens: u32,
    /// Tokens fetched from another engine.
    pub fetched: u32,
    /// Longest part that the prompt shares with others.
    pub part: Option<u64>,
    /// Length of that part in tokens.
    pub shared: u32,
    /// Whether the receiver forwards it within its region.
    pub spread: bool,
}

/// Long prompt part cached by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The engine.
    pub backend: NameHash,
    /// Identity of the part.
    pub part: u64,
}

/// Notification that a box that should get frequent heartbeats from another one receives none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silent {
    /// Name of the silent box.
    pub name: BoxName,
    /// Incarnation that last sent a message.
    pub incarnation: Incarnation,
    /// How long the box has been silent.
    pub since: Millis,
    /// Gossip address of a box that probes the silent box first; `None` if the other boxes are
    /// notified as well.
    pub prober: Option<SocketAddr>,
}

/// Findings of a box about contents that may crash backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// Backend servers that ended while they ran such contents.
    pub strikes: Vec<Strike>,
    /// Contents that are no longer suspected.
    pub cleared: Vec<Fingerprint>,
    /// Whether the receiver forwards it within its region.
    pub spread: bool,
    /// Evidence for and against parts of prompts; must stay the last field.
    pub parts: Parts,
}

/// Evidence for and against parts of prompts.
///
/// It stands at the end of messages. A message of an older release ends before it and reads as
/// without any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Parts(pub crash::Evidence);

impl<'de> Deserialize<'de> for Parts {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let evidence = crash::Evidence::deserialize(deserializer);
        Ok(Self(evidence.ok().unwrap_or_default()))
    }
}

/// Request limit announced by a backend server for all boxes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// The backend server.
    pub backend: NameHash,
    /// Hash of its name and incarnation.
    pub life: NameHash,
    /// Requests per second; `None` if the server no longer announces a limit.
    pub rate: Option<Rate>,
    /// How long ago the limit was announced.
    pub age: Millis,
}

/// A backend server that announced that it is brittle, and what the boxes of its region give it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Brittleness {
    /// The backend server.
    pub backend: NameHash,
    /// Hash of its name and incarnation.
    pub life: NameHash,
    /// Rejections per second that it tolerates; `None` if it no longer announces any.
    pub tolerance: Option<Rate>,
    /// How long ago that was announced.
    pub age: Millis,
    /// Requests in flight over all boxes; zero if the sender has not set a cap yet.
    pub limit: u32,
    /// Number of changes of that cap.
    pub version: u32,
    /// Whether the search for the number of slots has ended.
    pub settled: bool,
    /// Time during which nothing is sent.
    pub hold: Millis,
}

impl Brittleness {
    /// Returns the cap.
    pub fn level(&self) -> Level {
        Level {
            limit: self.limit,
            version: self.version,
            settled: self.settled,
        }
    }
}

/// Brittle backend servers in a heartbeat.
///
/// It stands at the end of messages. A message of an older release ends before it and reads as
/// without any.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BrittleServers(pub Vec<Brittleness>);

impl<'de> Deserialize<'de> for BrittleServers {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self(
            Vec::deserialize(deserializer).ok().unwrap_or_default(),
        ))
    }
}

/// A backend server that reported itself that it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coldness {
    /// The backend server.
    pub backend: NameHash,
    /// Hash of its name and incarnation.
    pub life: NameHash,
    /// How much longer it stays cold.
    pub left: Millis,
}

/// Cold backend servers in a heartbeat.
///
/// It stands at the end of messages. A message of an older release ends before it and reads as
/// without any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ColdServers(pub Vec<Coldness>);

impl<'de> Deserialize<'de> for ColdServers {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self(
            Vec::deserialize(deserializer).ok().unwrap_or_default(),
        ))
    }
}

/// Departure announced by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The backend server.
    pub backend: NameHash,
    /// Hash of its name and incarnation.
    pub life: NameHash,
    /// How long ago the last announcement was made.
    pub age: Millis,
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Sent within a region.
    Heartbeat(Box<Heartbeat>),
    /// Sent between regions, and forwarded once within the receiver's region.
    Digest(Digest),
    /// Sent to a box that just appeared: the other boxes of its region.
    Members(Vec<Contact>),
    /// Sent within a region, and once to each other one: a server begins to read a long prompt.
    Reading(Reading),
    /// Sent to a box that just appeared: long parts by the engines that have them cached.
    Holdings(Vec<Holding>),
    /// Sent within a region: a box whose heartbeats are due is silent.
    Silent(Silent),
    /// Sent to the hubs of a failure domain: the observations of one box.
    Report(Report),
    /// Sent by a hub: the sums of its region to the boxes of its failure domain, or those of its
    /// failure domain to the hubs of another one.
    Tally(Tally),
    /// Sent by a hub to the boxes of its failure domain: an update from the platform's store.
    StoreUpdate(StoreUpdate),
    /// Sent within a region, and once to each other one: contents suspected of crashing backend
    /// servers, and contents cleared.
    Marks(Marks),
    /// Sent within a region: changed request limits of backend servers.
    Limits(Vec<Limit>),
    /// Sent within a region: new departures of backend servers.
    Departures(Vec<Departure>),
    /// Sent within a region: corrections to earlier reports on engines' caches.
    Corrections(Corrections),
    /// Sent within a region: changes of brittle backend servers and of their caps.
    Brittle(Vec<Brittleness>),
    /// Sent within a region: a call of the sender to the platform's store got no answer in time.
    StoreSilent,
    /// Sent within a region: backend servers that have reported themselves that they are cold.
    Cold(Vec<Coldness>),
}

impl Body {
    /// Returns the name of the kind, for counters and the log.
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
            Self::StoreUpdate(_) => "news",
            Self::Marks(_) => "marks",
            Self::Limits(_) => "limits",
            Self::Departures(_) => "departures",
            Self::Corrections(_) => "kept",
            Self::Brittle(_) => "brittle",
            Self::StoreSilent => "store-silent",
            Self::Cold(_) => "cold",
        }
    }
}

/// Gossip message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Name of the sender.
    pub from: BoxName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation; a frame with a number not above the last one is
    /// dropped.
    pub seq: u64,
    /// Body of the message.
    pub body: Body,
}

/// Error in decoding a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The signature is missing or wrong.
    Unsigned,
    /// The signed bytes cannot be decoded as a frame.
    Unreadable,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unsigned => "the frame's signature is missing or invalid",
            Self::Unreadable => "the frame cannot be decoded",
        })
    }
}

impl std::error::Error for Error {}

impl Frame {
    /// Encodes and signs the frame.
    pub fn encode(&self, secret: &Secret) -> Vec<u8> {
        let body = postcard::to_stdvec(self).expect("encoding a frame never fails");
        sign::append_tag(secret, PURPOSE, body, TAG_BYTES)
    }

    /// Verifies the signature and decodes the frame.
    pub fn decode(secret: &Secret, bytes: &[u8]) -> Result<Self, Error> {
        let (body, tag) = sign::split_tag(bytes, TAG_BYTES).ok_or(Error::Unsigned)?;
        if !sign::verify_tag(secret, PURPOSE, body, tag) {
            return Err(Error::Unsigned);
        }
        postcard::from_bytes(body).map_err(|_| Error::Unreadable)
    }
}
