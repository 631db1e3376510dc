//! What the reducer is told.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use crate::{
    config::{Config, KeyHash, Version},
    content::{Content, Fingerprint},
    fleet::{self, Revision, Rollouts},
    id::{self, Domain, Incarnation, Region, Service},
    limit,
    memory::{
        moved::Moved,
        news::News,
        prompt::{Part, Prompt},
    },
    pin, pushback, retry,
    settings::Seed,
    size::Weight,
    unit::{Millis, Time},
    verdict::Verdict,
    wire::{Frame, Short},
};

/// Who sends a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credential {
    /// Nobody said.
    Missing,
    /// The hash of an API key.
    Key(KeyHash),
    /// A customer whose key another box has checked.
    Vouched(id::Customer),
}

/// How a request came here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hop {
    /// From its caller.
    Direct,
    /// From a box of another region that chose this region for it.
    Relay(Region),
    /// From a box that was sent a key which names this one.
    Pass,
}

/// The idempotency key as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// There was none.
    Absent,
    /// It names no box.
    Bad(pin::Error),
    /// It names a box.
    Good(pin::Key),
}

/// A request's head, with what the body had to tell.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: id::Request,
    /// The caller's own name for it, for the log.
    pub tag: Option<String>,
    /// Who sends it.
    pub credential: Credential,
    /// The host it names, where routes go by hosts.
    pub host: Option<String>,
    /// Its path, without the query.
    pub path: String,
    /// The model that the body names.
    pub model: Option<Service>,
    /// A hash of the prompt's beginning.
    pub prefix: u64,
    /// What the caller tells of its prompt.
    pub prompt: Option<Prompt>,
    /// What it asks for.
    pub content: Content,
    /// A random number that chooses among the services of a shared route.
    pub draw: u64,
    /// The most backend servers that may run it, where another box has used up some.
    pub runs: Option<u32>,
    /// Its key.
    pub key: Key,
    /// Time left until the answer must have begun, where the caller says.
    pub left: Option<Millis>,
    /// How it came here.
    pub hop: Hop,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection.
    Unreachable,
    /// The place refused it in a way that is trusted.
    Refused,
    /// The connection broke before the answer began.
    Broken,
    /// The effect was carried out too late.
    Late,
    /// The box that was to take it for its region is stopping.
    Leaving,
    /// The place stayed silent for too long.
    Silent,
    /// The place has no slot for it.
    Full,
    /// The place ran it and answered with an error of its own.
    Errored,
    /// The place says that it is another backend server than the one meant.
    Replaced,
}

impl Cause {
    /// Whether the attempt may have come to a backend server: one that found no connection, or a box
    /// that is stopping, takes nothing of the retry budget.
    pub fn may_have_arrived(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Leaving)
    }
}

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store, as it stands.
    Store,
    /// What the store told of late: an older one than the one in force is no surprise.
    News,
    /// Another box.
    Peer,
}

/// How an answer came, for whoever asks later why it was late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// From the arrival of the request to the beginning of the answer.
    pub first: Millis,
    /// From the arrival of the request to the end of the answer.
    pub whole: Millis,
    /// The longest pause between two pieces of the answer.
    pub pause: Millis,
}

/// A backend server of which some stream brought something since the last word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sign {
    /// The backend server.
    pub backend: Short,
    /// The longest pause of one of its streams that ended since.
    pub pause: Millis,
}

/// Everything that can happen to a box.
#[derive(Clone, Debug)]
pub enum Event {
    /// Some time has passed.
    Tick,
    /// These backend servers' streams brought something.
    Alive(Vec<Sign>),
    /// A request came.
    Arrived(Arrival),
    /// A caller asks which boxes to use.
    Asked {
        /// The question.
        request: id::Request,
        /// Who asks.
        credential: Credential,
    },
    /// The one who sent a request went away.
    Gone(id::Request),
    /// A backend server answered, and said something of its limit or was known for one.
    Limited {
        /// The backend server.
        backend: id::Backend,
        /// What it said.
        word: limit::Word,
        /// When the request was sent that it answered.
        sent: Time,
    },
    /// A backend server said in an answer that it is leaving.
    Departing {
        /// The backend server.
        backend: id::Backend,
        /// The life that the request was sent to, where it was known.
        incarnation: Option<Incarnation>,
    },
    /// A backend server turned a request away, and said how long it wants nothing from this box.
    PushedBack {
        /// The backend server.
        backend: id::Backend,
        /// The life that the request was sent to, where it was known.
        incarnation: Option<Incarnation>,
        /// What it said.
        word: pushback::Word,
    },
    /// An answer begins to reach the caller.
    Begun {
        /// The request.
        request: id::Request,
        /// The attempt that brings it.
        attempt: id::Attempt,
    },
    /// An answer that had begun has ended.
    Ended {
        /// The request.
        request: id::Request,
        /// The attempt that brought it.
        attempt: id::Attempt,
        /// Whether it ended whole.
        whole: bool,
        /// How it came.
        timing: Timing,
    },
    /// A stream that had begun was cut, and may go on elsewhere.
    Broke {
        /// The request.
        request: id::Request,
        /// The attempt that brought it.
        attempt: id::Attempt,
    },
    /// The connection of a stream closed while its run was to be stopped; that may be its end.
    Closed {
        /// The request.
        request: id::Request,
        /// The attempt that brought it.
        attempt: id::Attempt,
    },
    /// An engine was asked to move a run.
    Moved {
        /// The request.
        request: id::Request,
        /// The attempt that brings its answer.
        attempt: id::Attempt,
        /// The engine's listener.
        from: SocketAddr,
        /// What came of it.
        result: Moved,
    },
    /// An attempt brought no answer.
    Failed {
        /// The request.
        request: id::Request,
        /// The attempt.
        attempt: id::Attempt,
        /// Whether it may have run there.
        verdict: Verdict,
        /// Why.
        cause: Cause,
    },
    /// Another box sent a message.
    Heard(Frame),
    /// A configuration was read.
    Offered {
        /// It, checked.
        config: Arc<Config>,
        /// Where it came from.
        source: Source,
    },
    /// A configuration was read that does not check.
    Unreadable(Version),
    /// The platform's list names these addresses as leaving.
    Listed(BTreeSet<SocketAddr>),
    /// Another box told what it knows of the backend servers that register themselves.
    Roster(fleet::Roster),
    /// The platform's store told of the backend servers that register themselves.
    Fleet {
        /// What became known.
        change: fleet::Change,
        /// The store's number of it.
        revision: Revision,
    },
    /// A model engine told which parts of prompts it has cached.
    Cached {
        /// The engine.
        backend: id::Backend,
        /// The parts.
        parts: Vec<Part>,
    },
    /// A model engine told what it keeps of prompts, to this box that follows it.
    EngineNews {
        /// The engine.
        backend: id::Backend,
        /// The life that was followed.
        incarnation: Option<Incarnation>,
        /// What it told.
        news: News,
    },
    /// The platform's store answered, and all its changes up to this one are told.
    Synced(Revision),
    /// The platform's store told to which failure domains nothing new may go.
    Evacuated {
        /// All of them.
        domains: BTreeSet<Domain>,
        /// The store's number of the change.
        revision: Revision,
    },
    /// The platform's store told which roll-outs there are.
    Rollouts {
        /// All of them.
        rollouts: Rollouts,
        /// The store's number of the change.
        revision: Revision,
    },
    /// A caller asks which boxes of its region to use.
    Resolve {
        /// The question.
        request: id::Request,
        /// The region that it calls from.
        region: Region,
        /// The host that it wants to send requests to, where it says so.
        host: Option<String>,
    },
    /// A backend server was knocked at, after an attempt broke there.
    Knocked {
        /// The backend server.
        backend: id::Backend,
        /// Whether its port is closed, so that the process behind it has ended.
        closed: bool,
    },
    /// The platform's store holds that a content is held back.
    Kept(Fingerprint),
    /// An operator lets a content run again.
    Pardoned(Fingerprint),
    /// The settings were read again.
    Reloaded {
        /// Boxes to greet.
        seeds: Vec<Seed>,
        /// How many attempts beyond the first requests may have.
        retry: retry::Limits,
    },
    /// What the settings say that this box can carry; none where they don't.
    Sized(Option<Weight>),
    /// A planned stop begins.
    Stop,
}
