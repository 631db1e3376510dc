//! Outputs of the reducer.

mod moving;
mod note;

use std::{fmt, net::SocketAddr, sync::Arc};

use crate::{
    config::{Headers, Version},
    content::Fingerprint,
    fleet::Revision,
    id::{self, Incarnation, Region, Service},
    memory::{prompt::Part, transfer::Origin},
    quarantine::{self, Held},
    retry,
    rollout::{Order, Standing},
    unit::{Millis, Rate, Time},
    verdict::Verdict,
    wire::{Contact, Frame},
};

pub use moving::{Move, MoveOutcome, MoveReport, Site};
pub use note::{Alarm, Note, Step};

/// Target of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A backend server of this region.
    Backend {
        /// Name of the backend server.
        name: id::Backend,
        /// Address of the backend server.
        address: SocketAddr,
        /// Names of the headers in which it reports its own state.
        headers: Arc<Headers>,
        /// Incarnation, if the backend server reports one.
        incarnation: Option<Incarnation>,
    },
    /// A box of another region, or a neighbour, which must not relay the request again.
    Relay {
        /// The region.
        region: Region,
        /// Address of the box.
        peer: SocketAddr,
    },
    /// The box that the idempotency key names.
    Pass {
        /// Address of the box.
        peer: SocketAddr,
    },
}

/// Instruction to send a request to one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// The request.
    pub request: id::Request,
    /// This attempt.
    pub attempt: id::Attempt,
    /// Where the request is sent.
    pub target: Target,
    /// Customer, as reported to the other box or the backend server.
    pub customer: id::Customer,
    /// Whether the customer stands for anonymous callers: the request needed no API key and came
    /// without one.
    pub anonymous: bool,
    /// Name of the route, for the log.
    pub route: id::Service,
    /// Whether the request may run twice; if not, it is sent over a connection of its own.
    pub repeatable: bool,
    /// Whether another target may resume the stream after a cut.
    pub resumable: bool,
    /// Whether another engine may continue the stream with a copy of the run's memory.
    pub movable: bool,
    /// Copy of the memory of an earlier run that this attempt continues; `None` for a new run.
    pub continues: Option<Origin>,
    /// Priority among the requests of a backend server; 0 is the most urgent.
    pub priority: u8,
    /// Number of backend servers that may still run the request, including this attempt.
    pub runs: u32,
    /// Whether the answer is stored for repeated sends of the idempotency key.
    pub record: bool,
    /// Engine from which the backend server fetches parts of the prompt before it computes the
    /// rest.
    pub fetch: Option<SocketAddr>,
    /// Time after which the instruction must not be executed.
    pub not_after: Time,
    /// Inputs of the placement decision.
    pub basis: Basis,
}

/// Inputs of a placement decision, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Basis {
    /// Version of the configuration in force.
    pub version: Version,
    /// Number of the attempt, starting at 1.
    pub number: u32,
    /// Number of candidate places.
    pub places: usize,
    /// Expected wait for a slot.
    pub wait: Millis,
    /// Expected time to the first byte once a slot is free.
    pub first: Millis,
    /// Round-trip time to the place.
    pub hop: Millis,
    /// Expected cost to the requests that already run there.
    pub burden: Millis,
    /// Free slots at the place.
    pub free: u32,
    /// Age of the oldest load report among the live boxes of the region.
    pub age: Millis,
    /// Time since the request arrived.
    pub waited: Millis,
    /// Time from arrival within which the answer should begin; zero if the route sets none.
    pub target: Millis,
    /// Length of the prompt in tokens; zero if the request does not describe it.
    pub prompt: u32,
    /// Prompt tokens that other requests may share.
    pub shared: u32,
    /// Prompt tokens that the place has to compute.
    pub unread: u32,
    /// Prompt tokens that the place fetches from another engine.
    pub fetched: u32,
    /// Whether the place reported its cache contents itself, rather than this box inferring them
    /// from the prompts that were sent there.
    pub told: bool,
    /// Time for which the place is still cold, as far as this box knows; zero if it is warm.
    pub cold: Millis,
    /// How the decision treated the place.
    pub warmth: Warmth,
    /// Rate that the place accepts from all boxes together, if it names one.
    pub limit: Option<Rate>,
    /// Rejections per second that the server tolerates, if it is brittle.
    pub brittle: Option<Rate>,
    /// Latest known revision of the platform's store; zero if no store is followed.
    pub revision: Revision,
    /// Age of the store's latest answer; zero if there was none.
    pub store_age: Millis,
}

/// Whether the rate for cold backend servers applies to a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Warmth {
    /// It does not apply.
    #[default]
    Warm,
    /// The server is known to be cold.
    Cold,
    /// The server may be cold without this box's knowledge.
    Assumed,
}

impl Warmth {
    /// Returns the word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Assumed => "assumed",
        }
    }
}

impl fmt::Display for Warmth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Decision of the retry budget on an attempt beyond the first, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Repeat {
    /// The request.
    pub request: id::Request,
    /// Service of the request.
    pub service: Service,
    /// Decision of the retry budget.
    pub outcome: retry::Outcome,
    /// State of this box's budget after the decision.
    pub balance: retry::Balance,
    /// Number of boxes that share the slack; `None` if this box cannot know.
    pub boxes: Option<usize>,
}

impl fmt::Display for Repeat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            service,
            outcome,
            balance,
            boxes,
            ..
        } = self;
        let boxes = boxes.unwrap_or(0);
        write!(
            f,
            "repeat={outcome} service={service} {balance} boxes={boxes}"
        )
    }
}

/// A final answer that the gateway generates itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Reason, as a short sentence.
    pub reason: String,
    /// Time after which the caller should retry.
    pub retry_after: Option<Millis>,
    /// Whether a backend server could have taken the request but for the limit that it names.
    pub limited: bool,
    /// Whether this box stops too soon to finish the request.
    pub stopping: bool,
    /// Whether a backend server may have received the request.
    pub arrived: bool,
    /// Whether the reply carries a fresh key prefix.
    pub offer_key: bool,
}

impl Reply {
    /// Creates a reply without optional parts.
    pub fn new(status: u16, verdict: Verdict, reason: impl fmt::Display) -> Self {
        Self {
            status,
            verdict,
            reason: reason.to_string(),
            retry_after: None,
            limited: false,
            stopping: false,
            arrived: false,
            offer_key: false,
        }
    }

    /// Sets the time after which the caller should retry.
    pub fn with_retry_after(self, wait: Millis) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }
}

/// A box in the answer to `ask`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name, location and addresses of the box.
    pub contact: Contact,
    /// Incarnation of the box.
    pub incarnation: Incarnation,
    /// Uptime of the box, by its own clock.
    pub uptime: Time,
    /// Requests in flight at the box, if known.
    pub busy: Option<u32>,
}

/// A look-up for which no box of the caller's region was available.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fallback {
    /// The caller's region.
    pub region: Region,
    /// The host that was looked up.
    pub host: Option<String>,
    /// Whether the boxes of that region are expected to accept work soon.
    pub returning: bool,
    /// Number of the host's routes that are in use, as far as this box knows.
    pub used: usize,
    /// Uptime of this box.
    pub uptime: Time,
    /// What this box knows of the other regions.
    pub views: Vec<RegionView>,
}

/// What a box knows of another region, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionView {
    /// The region.
    pub region: Region,
    /// Age of its last digest; `None` if there was none since this box started.
    pub age: Option<Millis>,
    /// Entry points in use.
    pub endpoints: usize,
    /// Entry points of the last digest that could not be reached.
    pub unreachable: usize,
    /// Whether the last digest reported that all boxes of the region are stopping by plan.
    pub stopping: bool,
    /// Time since the region's planned stop, if one is known.
    pub absent: Option<Millis>,
}

impl fmt::Display for RegionView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let span = |span: Option<Millis>| span.map_or("-".to_owned(), |span| span.to_string());
        write!(
            f,
            "{}:age={},entries={},unreachable={},stopping={},absent={}",
            self.region,
            span(self.age),
            self.endpoints,
            self.unreachable,
            self.stopping,
            span(self.absent)
        )
    }
}

/// Mode in which a box follows the platform's store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Follow {
    /// For itself only.
    #[default]
    Direct,
    /// As a hub, for the boxes of its failure domain.
    Hub,
    /// Not at all; hubs forward the changes.
    Forwarded,
}

impl fmt::Display for Follow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Direct => "alone",
            Self::Hub => "hub",
            Self::Forwarded => "rest",
        })
    }
}

/// An output of the reducer: an action for the box to execute or an event to record.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request to a target.
    Send(Send),
    /// Record that a request waits for a slot; no action is needed.
    Queued {
        /// The request.
        request: id::Request,
        /// Requests of its service that wait at this box, including this one.
        waiting: usize,
    },
    /// Switch to this mode of following the platform's store, where backend servers register.
    Follow(Follow),
    /// Fetch another box's list of registered backend servers.
    FetchRoster {
        /// Address of the other box.
        peer: SocketAddr,
        /// Latest store revision known to this box; `None` if it knows no list.
        since: Option<Revision>,
    },
    /// Query a model engine for the parts of prompts that it has cached.
    Inventory {
        /// The model engine.
        backend: id::Backend,
        /// Address of the engine.
        address: SocketAddr,
    },
    /// Start following the prompt cache of a model engine.
    FollowEngine {
        /// The model engine.
        backend: id::Backend,
        /// Address of the engine.
        address: SocketAddr,
        /// Incarnation, if the engine reports one.
        incarnation: Option<Incarnation>,
    },
    /// Stop following the prompt cache of a model engine.
    UnfollowEngine(id::Backend),
    /// Abandon an attempt and cancel it at its target.
    Abort {
        /// The request.
        request: id::Request,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Detach the stream of an attempt from its target; the next `Send` for the request resumes it
    /// elsewhere.
    DetachStream {
        /// The request.
        request: id::Request,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Copy the memory of a run to another engine.
    Move(Move),
    /// Release the copy of a run's memory at both engines.
    FreeCopy(Origin),
    /// End an answer as complete after its connection closed while its run was being stopped.
    CompleteStream {
        /// The request.
        request: id::Request,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Record the result of moving a run.
    MoveEnded(MoveReport),
    /// Record the decision on an attempt beyond the first.
    Repeat(Repeat),
    /// Record that the connection of an attempt to its backend server broke.
    Broken {
        /// The request.
        request: id::Request,
        /// The backend server.
        backend: id::Backend,
        /// Fingerprint of the requested content.
        content: Fingerprint,
        /// Parts of its prompt that other requests may share.
        parts: Vec<Part>,
        /// Time since the request was sent.
        age: Millis,
        /// Time since the answer began, if it had.
        begun: Option<Millis>,
    },
    /// Probe whether anything listens at a backend server's port.
    Probe {
        /// The backend server.
        backend: id::Backend,
        /// Address of the backend server.
        address: SocketAddr,
    },
    /// Ask a backend server by its liveness check whether it is cold.
    CheckLiveness {
        /// The backend server.
        backend: id::Backend,
        /// Address of the backend server.
        address: SocketAddr,
        /// Incarnation that is meant, if known.
        incarnation: Option<Incarnation>,
        /// Path of the liveness check.
        path: Arc<str>,
    },
    /// Keep watches of the store short (`true`), to notice for the region when it falls silent, or as
    /// long as usual (`false`).
    WatchClosely(bool),
    /// Ask the platform's store at once whether it still answers, in place of a pending watch.
    RecheckStore,
    /// Record in the platform's store that a content is held back, for boxes that start after all
    /// others have stopped.
    StoreHeld(Held),
    /// Remove that record from the platform's store.
    RemoveHeld(Fingerprint),
    /// Record a change in the evidence against a content that may crash backend servers.
    Quarantine(quarantine::Step),
    /// Write the state of a roll-out to the platform's store, unless its final state is already
    /// recorded.
    WriteRollout {
        /// The service.
        service: Service,
        /// The order that the state belongs to.
        order: Order,
        /// State of the roll-out.
        standing: Standing,
    },
    /// Record a step of a roll-out.
    Rollout(Step),
    /// Close the idle connections to this address.
    CloseIdle(SocketAddr),
    /// Answer a request with a reply of the gateway.
    Reply {
        /// The request.
        request: id::Request,
        /// The reply.
        reply: Reply,
    },
    /// Answer a request with the stored answer of another one.
    Replay {
        /// The request.
        request: id::Request,
        /// The request that ran.
        answer: id::Request,
    },
    /// Delete a stored answer.
    DeleteAnswer(id::Request),
    /// Answer a caller that asked which boxes to use.
    Boxes {
        /// The query or look-up.
        request: id::Request,
        /// The boxes, best first.
        boxes: Vec<Entry>,
        /// Details, if no box of the caller's region was available.
        detour: Option<Fallback>,
    },
    /// Send a message to another box.
    Gossip {
        /// nng address of the other box.
        to: SocketAddr,
        /// The message.
        frame: Frame,
    },
    /// Fetch a newer configuration from another box.
    Fetch {
        /// Address of the box.
        peer: SocketAddr,
        /// Version that the box announced.
        version: Version,
    },
    /// Start (`true`) or stop (`false`) watching the store.
    Watch(bool),
    /// Record that the configuration with this version is in force.
    ConfigApplied(Version),
    /// Raise an alarm for the operators.
    Alarm(Alarm),
    /// Record a change in this box's view of the system.
    Noted(Note),
}
