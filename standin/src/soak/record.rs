//! What callers, backend servers and the operator saw; the promises are checked against it alone.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

/// Milliseconds since the run began.
pub type Ms = u64;

/// What a path promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May be repeated.
    Safe,
    /// Runs at most once.
    Once,
    /// A stream that may be continued elsewhere.
    Stream,
    /// May be repeated, in its home regions only.
    Home,
    /// May be repeated, by the other service.
    Other,
    /// Stands in one version of the configuration only.
    Versioned(u64),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The box never got it.
    Unsent,
    /// The connection ended without an answer.
    Closed,
    /// The caller's time was over.
    GaveUp,
    /// An answer began.
    Answer(Answer),
}

/// An answer as its caller saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The mark of the server that ran it.
    pub signature: Option<String>,
    /// The body, as far as it came.
    pub body: String,
    /// Whether it appeared to be complete.
    pub whole: bool,
}

/// One attempt of a caller; each has an id of its own.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// What it asks for.
    pub kind: Kind,
    /// The box that takes it.
    pub entry: usize,
    /// When it was written.
    pub sent: Ms,
    /// When and how it ended.
    pub end: Option<(Ms, Outcome)>,
}

/// A request as it came to a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its own number, which the mark of its answer bears.
    pub number: usize,
    /// Its id.
    pub id: String,
    /// The life of the server; a number into [`Record::lives`].
    pub life: usize,
    /// When it came.
    pub at: Ms,
    /// Whether its path and body are those that the id stands for.
    pub intact: bool,
    /// Whether it was meant for another server, and told so.
    pub misdirected: bool,
    /// How often it began to run.
    pub runs: u32,
    /// The status that the server gave.
    pub status: u16,
}

/// One life of a backend server.
#[derive(Clone, Debug)]
pub struct Life {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: usize,
    /// Whether it is of the other service.
    pub other: bool,
    /// Its start.
    pub start: Ms,
    /// Until when it is cold.
    pub cold_until: Ms,
    /// When the store took that it leaves, or that it is gone.
    pub leaves: Option<Ms>,
    /// When it ended.
    pub end: Option<Ms>,
}

/// What was disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// A box, by a planned stop.
    PlannedStop(usize),
    /// A box, killed and started again.
    Box(usize),
    /// A box that stands still.
    Frozen(usize),
    /// A box that others do not reach.
    Cut(usize),
    /// A box without a process.
    Gone(usize),
    /// A box, by a signal that its settings changed.
    Settings(usize),
    /// The store.
    Store,
    /// A life of a backend server.
    Server(usize),
}

/// A disturbance; one that lasts has no end yet.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// What is disturbed.
    pub part: Part,
    /// Its begin.
    pub from: Ms,
    /// Its end.
    pub until: Option<Ms>,
}

/// A version of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Its number.
    pub number: u64,
    /// When the store took it.
    pub at: Ms,
}

/// An evacuation of a region's one failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// The region.
    pub region: usize,
    /// When the store took it.
    pub from: Ms,
    /// When it was taken back.
    pub until: Option<Ms>,
}

/// An answer of the directory.
#[derive(Clone, Debug)]
pub struct LookUp {
    /// The box that answered.
    pub by: usize,
    /// When.
    pub at: Ms,
    /// The boxes that it names.
    pub named: Vec<usize>,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Attempts of callers.
    pub attempts: Vec<Attempt>,
    /// Requests at backend servers.
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
    /// Boxes that ended by themselves, when, and how.
    pub own_ends: Vec<(usize, Ms, String)>,
    /// When the last fault was over.
    pub calm: Option<Ms>,
}

/// The record while it is written, whose time begins with it; clones share it.
#[derive(Clone, Debug)]
pub struct Book {
    start: Instant,
    record: Arc<Mutex<Record>>,
}

impl Default for Book {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            record: Arc::default(),
        }
    }
}

impl Book {
    /// The time now.
    pub fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }

    /// The record, to write or to read.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("the lock is never poisoned")
    }

    /// Notes that a disturbance begins; its number ends it.
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

    /// Notes that a disturbance is over.
    pub fn end(&self, number: usize) {
        let now = self.now();
        self.record().troubles[number].until = Some(now);
    }
}
