//! Record of what callers, backend servers and the operator observed; the rules are checked against
//! it alone.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

/// Milliseconds since the run began.
pub type Ms = u64;

/// The kind of a request, which its path determines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May be retried.
    Safe,
    /// Runs at most once.
    Once,
    /// A stream that may be continued elsewhere.
    Stream,
    /// May be retried, but only in its home regions.
    Home,
    /// May be retried; served by the other service.
    Other,
    /// Its route exists in one version of the configuration only.
    Versioned(u64),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller did not send it to a box.
    Unsent,
    /// The connection ended without an answer.
    Closed,
    /// The caller's timeout expired.
    GaveUp,
    /// An answer began.
    Answer(Answer),
}

/// An answer as its caller saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The signature of the server that ran it.
    pub signature: Option<String>,
    /// The part of the body that was received.
    pub body: String,
    /// Whether it ended without an error.
    pub whole: bool,
}

/// One attempt of a caller; each has a unique id.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its request id.
    pub id: String,
    /// The kind of request.
    pub kind: Kind,
    /// Number of the box that it is sent to.
    pub entry: usize,
    /// When it was sent.
    pub sent: Ms,
    /// When and how it ended.
    pub end: Option<(Ms, Outcome)>,
}

/// A request as received by a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its number, which is part of the signature of its answer.
    pub number: usize,
    /// Its request id.
    pub id: String,
    /// The life of the server, as an index into [`Record::lives`].
    pub life: usize,
    /// When it was received.
    pub at: Ms,
    /// Whether its path and body match its id.
    pub intact: bool,
    /// Whether its `target-instance` header named another server, so that it was refused with 421.
    pub misdirected: bool,
    /// How often the server began to run it.
    pub runs: u32,
    /// The status that the server answered with; zero before it answers.
    pub status: u16,
}

/// One life of a backend server, from its start to its end.
#[derive(Clone, Debug)]
pub struct Life {
    /// Its name.
    pub name: String,
    /// Number of its region.
    pub region: usize,
    /// Whether it belongs to the other service.
    pub other: bool,
    /// When it started.
    pub start: Ms,
    /// When it stops being cold.
    pub cold_until: Ms,
    /// When its departure was written to the store, announced or as the removal of its entry.
    pub leaves: Option<Ms>,
    /// When it ended.
    pub end: Option<Ms>,
}

/// The part of the system that a disturbance affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// A box that was stopped as planned.
    PlannedStop(usize),
    /// A box that was killed and restarted.
    Box(usize),
    /// A box that is suspended.
    Frozen(usize),
    /// A box whose links to other boxes are cut or lose bytes.
    Cut(usize),
    /// A box without a process.
    Gone(usize),
    /// A box whose settings were rewritten, with or without SIGHUP.
    Settings(usize),
    /// The store.
    Store,
    /// A life of a backend server, by index.
    Server(usize),
}

/// A disturbance of a part of the system.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// The part that is disturbed.
    pub part: Part,
    /// When it began.
    pub from: Ms,
    /// When it ended; none while it lasts.
    pub until: Option<Ms>,
}

/// A version of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Its version number.
    pub number: u64,
    /// When it was written to the store.
    pub at: Ms,
}

/// An evacuation of a region's one failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Number of the region.
    pub region: usize,
    /// When it was written to the store.
    pub from: Ms,
    /// When it was withdrawn; none while it is in force.
    pub until: Option<Ms>,
}

/// An answer of the directory.
#[derive(Clone, Debug)]
pub struct LookUp {
    /// The box that answered.
    pub by: usize,
    /// When the answer was received.
    pub at: Ms,
    /// Numbers of the boxes that it names.
    pub named: Vec<usize>,
}

/// Everything observed in a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Attempts of callers.
    pub attempts: Vec<Attempt>,
    /// Requests received by backend servers.
    pub arrivals: Vec<Arrival>,
    /// Lives of backend servers.
    pub lives: Vec<Life>,
    /// Disturbances.
    pub troubles: Vec<Trouble>,
    /// Versions of the configuration.
    pub versions: Vec<Version>,
    /// Evacuations.
    pub evacuations: Vec<Evacuation>,
    /// Answers of the directory.
    pub look_ups: Vec<LookUp>,
    /// The region of each box.
    pub box_regions: Vec<usize>,
    /// Boxes whose process ended without a request: number, time and exit status.
    pub own_ends: Vec<(usize, Ms, String)>,
    /// When the last fault had ended and the minimum duration had passed.
    pub calm: Option<Ms>,
}

/// Writes the record of a run and holds its clock, which starts when it is created. Clones share
/// the record.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Instant,
    record: Arc<Mutex<Record>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            record: Arc::default(),
        }
    }
}

impl Recorder {
    /// Returns the time since the run began.
    pub fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }

    /// Locks the record for reading or writing.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("the lock is never poisoned")
    }

    /// Records the begin of a disturbance and returns the number that ends it.
    pub fn begin(&self, part: Part) -> usize {
        let from = self.now();
        let mut record = self.record();
        record.troubles.push(Trouble {
            part,
            from,
            until: None,
        });
        record.troubles.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end(&self, number: usize) {
        let now = self.now();
        self.record().troubles[number].until = Some(now);
    }
}
