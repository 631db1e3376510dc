//! State of one request in flight.

use crate::{
    config::{Plan, Query},
    content::{Content, Fingerprint},
    crash::{self, Suspect},
    id::{self, Service},
    memory::prompt::{Part, Prompt},
    policy::Place,
    quarantine,
    reducer::{event::Hop, moving::Transfer},
    unit::{Millis, Time},
    verdict::Verdict,
};

/// Default time after which a caller should retry.
pub(super) const DEFAULT_RETRY_AFTER: Millis = Millis(1000);

/// Returns `wait` varied by up to 30 % in either direction, so that callers refused together don't
/// retry together; `draw` is the request's own random number.
pub(super) fn jittered(wait: f64, draw: u64) -> Millis {
    let factor = 0.7 + 0.6 * (draw % 1024) as f64 / 1024.0;
    Millis((wait * factor) as u64)
}

/// Target of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Assignment {
    /// The place that the policy chose and, for another region, the box that takes the request
    /// there.
    Chosen(Place, Option<id::BoxName>),
    /// The box that the idempotency key names.
    Pinned,
}

/// Progress of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waiting for a slot.
    Waiting,
    /// One attempt is in flight.
    Sent {
        attempt: id::Attempt,
        spot: Assignment,
        at: Time,
        /// Prompt tokens that the place was expected to compute.
        work: u32,
        /// Expected time from sending the attempt to the beginning of its answer.
        expected: Millis,
        /// When the answer began.
        begun: Option<Time>,
    },
    /// Waiting for the answer to another request with the same key.
    AwaitingOwner(id::Request),
}

/// Amount that a request was charged against its customer's allotment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Charge {
    /// Charged units.
    pub(super) cost: f64,
    /// Time of the latest charge.
    pub(super) at: Time,
    /// Whether the charge covers a run that has begun; a further run is charged again.
    pub(super) spent: bool,
}

/// A request in flight.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) ask: Query,
    pub(super) service: Service,
    /// Fingerprint of the requested content and of its customer.
    pub(super) content: Fingerprint,
    /// Queue in which the request waits if it has to.
    pub(super) line: Service,
    pub(super) prefix: u64,
    pub(super) prompt: Option<Prompt>,
    pub(super) hop: Hop,
    pub(super) repeatable: bool,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
    /// Whether another place may resume the stream after a cut.
    pub(super) resumable: bool,
    pub(super) owns_key: bool,
    pub(super) arrived_at: Time,
    pub(super) deadline: Time,
    /// Whether the request was taken off a backend server while its answer was in progress.
    pub(super) moved: bool,
    /// Number of attempts so far.
    pub(super) attempts: u32,
    /// Number of backend servers that may still run the request.
    pub(super) runs: u32,
    pub(super) priority: u8,
    /// Time from arrival within which the answer should begin.
    pub(super) target: Option<Millis>,
    /// Whether the deadline applies to the whole answer rather than to its beginning only.
    pub(super) deadline_covers_answer: bool,
    /// Whether an answer began, so that a further attempt can only continue it.
    pub(super) answering: bool,
    pub(super) tried: Vec<Place>,
    pub(super) may_have_run: bool,
    /// Whether a backend server may have received the request.
    pub(super) arrived: bool,
    /// Charge against the customer's allotment, if this box made it.
    pub(super) charge: Option<Charge>,
    /// Position in the queue, once the request was enqueued; it then waits until it is served or
    /// its deadline passes.
    pub(super) position: Option<usize>,
    pub(super) stage: Stage,
    /// Progress of moving the run to another engine.
    pub(super) transfer: Option<Transfer>,
    /// Engines that were asked to take the run; each is asked once.
    pub(super) move_targets: Vec<id::Backend>,
    /// Whether the end of the current answer shows nothing of its backend server.
    pub(super) inconclusive: bool,
    /// Whether the answer of the current attempt was already counted for or against its release.
    pub(super) judged: bool,
}

impl Job {
    /// Creates a request that arrived directly from its caller at `now`, with the settings of its
    /// route.
    pub(super) fn new(plan: &Plan<'_>, ask: Query, content: Content, now: Time) -> Self {
        let route = plan.route;
        Self {
            service: plan.service.clone(),
            content: Fingerprint::new(&ask.customer, content),
            ask,
            line: plan.queue.clone(),
            prefix: 0,
            prompt: None,
            hop: Hop::Direct,
            repeatable: route.repeatable,
            stream: route.stream.is_some(),
            resumable: route.stream.is_some_and(|s| s.resumable),
            owns_key: false,
            arrived_at: now,
            deadline: now + route.deadline,
            moved: false,
            attempts: 0,
            runs: route.attempts,
            priority: plan.priority(),
            target: route.target_latency,
            deadline_covers_answer: route.max_duration.is_some(),
            answering: false,
            tried: vec![],
            may_have_run: false,
            arrived: false,
            charge: None,
            position: None,
            stage: Stage::Waiting,
            transfer: None,
            move_targets: vec![],
            inconclusive: false,
            judged: false,
        }
    }

    /// Returns the parts of the prompt that other requests may share.
    pub(super) fn shared_parts(&self) -> &[Part] {
        self.prompt.as_ref().map_or(&[], Prompt::shared_parts)
    }

    /// Returns the fingerprints of these parts.
    pub(super) fn part_fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        let parts = self.shared_parts().iter();
        parts.map(|part| Fingerprint::of_part(&self.service, part))
    }

    /// Returns the request as a suspect in the crash of its server, unless it has no shared part or
    /// its answer was long in progress; `begun` is the time since its answer began.
    pub(super) fn suspect(&self, begun: Option<Millis>) -> Option<Suspect> {
        let parts: Vec<Content> = self.part_fingerprints().map(|part| part.content).collect();
        let early = quarantine::is_early_crash(begun);
        (early && !parts.is_empty()).then_some(Suspect {
            content: self.content.content,
            recent: crash::is_recent(begun),
            parts,
        })
    }

    pub(super) fn verdict(&self) -> Verdict {
        if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}
