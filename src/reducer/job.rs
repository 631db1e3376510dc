//! One request in hand, and how far it has come.

use crate::{
    config::{Ask, Plan},
    content::{Content, Fingerprint},
    id::{self, Service},
    memory::prompt::Prompt,
    policy::Place,
    reducer::{event::Hop, moving::Transfer},
    unit::{Millis, Time},
    verdict::Verdict,
};

/// When to come back where nothing better is known.
pub(super) const SOON: Millis = Millis(1000);

/// A wait that differs between callers who are sent away together, by up to three tenths either way;
/// `draw` is a random number of the request's own.
pub(super) fn spread(wait: f64, draw: u64) -> Millis {
    let factor = 0.7 + 0.6 * (draw % 1024) as f64 / 1024.0;
    Millis((wait * factor) as u64)
}

/// Where an attempt is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Spot {
    /// At a place that was chosen.
    Chosen(Place, Option<id::BoxName>),
    /// At the box that the key names.
    Pinned,
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for a slot.
    Waiting,
    /// One attempt is in hand.
    Sent {
        attempt: id::Attempt,
        spot: Spot,
        at: Time,
        /// Prompt tokens that the place was expected to read.
        work: u32,
        /// When the answer was expected to begin, after the attempt went out.
        expected: Millis,
        /// When its answer began.
        begun: Option<Time>,
    },
    /// It waits for another request with its key.
    Joined(id::Request),
}

/// What a request took of its customer's allotment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Booking {
    /// Its weight.
    pub(super) cost: f64,
    /// When it was booked last.
    pub(super) at: Time,
    /// Whether the booking stands for a run that was begun; a further one is booked again.
    pub(super) spent: bool,
}

/// One request in hand.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) ask: Ask,
    pub(super) service: Service,
    /// What it asks for, and for whom.
    pub(super) content: Fingerprint,
    /// The line that it waits in, where it has to.
    pub(super) line: Service,
    pub(super) prefix: u64,
    pub(super) prompt: Option<Prompt>,
    pub(super) hop: Hop,
    pub(super) repeatable: bool,
    /// Whether its answer is a stream.
    pub(super) stream: bool,
    /// Whether another place may continue its stream after a cut.
    pub(super) resumable: bool,
    pub(super) owns_key: bool,
    pub(super) came: Time,
    pub(super) deadline: Time,
    /// Whether it was taken off a backend server while its answer was under way.
    pub(super) moved: bool,
    /// Attempts so far.
    pub(super) attempts: u32,
    /// Backend servers that may still run it.
    pub(super) runs: u32,
    pub(super) priority: u8,
    /// Time within which the answer should begin.
    pub(super) target: Option<Millis>,
    /// Whether the deadline is that of the whole answer, and not of its beginning alone.
    pub(super) bounded: bool,
    pub(super) tried: Vec<Place>,
    pub(super) may_have_run: bool,
    /// What it weighs against its customer's allotment, where this box booked it.
    pub(super) booking: Option<Booking>,
    /// Its place in the line, once it was let in; it then stays until it is served or its time is
    /// over.
    pub(super) position: Option<usize>,
    pub(super) stage: Stage,
    /// How far its run has come on its way to another engine.
    pub(super) transfer: Option<Transfer>,
    /// Engines that were asked to take it; each is asked once.
    pub(super) refuges: Vec<id::Backend>,
    /// Whether the answer of the attempt in hand was counted for or against its release.
    pub(super) judged: bool,
}

impl Job {
    /// A request of `plan` that comes straight from its caller at `now`, with all that its route says.
    pub(super) fn new(plan: &Plan<'_>, ask: Ask, content: Content, now: Time) -> Self {
        let route = plan.route;
        Self {
            service: plan.service.clone(),
            content: Fingerprint::new(&ask.customer, content),
            ask,
            line: plan.line.clone(),
            prefix: 0,
            prompt: None,
            hop: Hop::Direct,
            repeatable: route.repeatable,
            stream: route.stream.is_some(),
            resumable: route.stream.is_some_and(|s| s.resumable),
            owns_key: false,
            came: now,
            deadline: now + route.deadline,
            moved: false,
            attempts: 0,
            runs: route.attempts,
            priority: plan.priority(),
            target: route.target,
            bounded: route.hold.is_some(),
            tried: vec![],
            may_have_run: false,
            booking: None,
            position: None,
            stage: Stage::Waiting,
            transfer: None,
            refuges: vec![],
            judged: false,
        }
    }

    pub(super) fn verdict(&self) -> Verdict {
        if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}
