//! The move of one run to another engine.

use crate::{
    id,
    memory::transfer::{Handle, Origin},
    reducer::{
        effect::{Effect, MoveOutcome, MoveReport, Site},
        job::{Job, Stage},
    },
    unit::Time,
};

/// The state of the connection that carries a stream while its run is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum Stream {
    Open,
    /// The connection broke.
    Broken,
    /// The connection closed, which may be the end of the answer.
    Closed,
}

/// The progress of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum Step {
    /// A first copy is being made while the run continues.
    Copying,
    /// The run is to be stopped; no call is in flight.
    StopPending(Stream),
    /// The call that stops the run and copies the rest is in flight.
    Stopping(Stream),
    /// The run is stopped; the request will resume from the copy.
    Stopped(Destination),
    /// The request was sent to resume.
    Sent(Destination),
    /// The run ended on its own; the end of its stream has not arrived yet.
    Ended,
    /// It is unknown whether the run was stopped.
    Unknown,
}

/// The attempt of the retry budget that a move holds. A run is stopped only while the move holds
/// one: a request to resume that no engine accepts is an attempt beyond the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reserve {
    /// None was needed yet, or it was given back or spent.
    Empty,
    /// The budget had none left.
    Awaited,
    /// One is reserved.
    Held,
}

/// The engine at which a stopped run resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum Destination {
    Target,
    Source,
}

/// The move of a run between two engines.
#[derive(Clone, Debug)]
pub(in crate::reducer) struct Transfer {
    pub(super) source: Site,
    pub(super) target: Site,
    pub(super) step: Step,
    /// The handle of the copy, once there is one.
    pub(super) handle: Option<Handle>,
    pub(super) calls: u32,
    /// Whether the answer to a call that stops the run was lost, so that an engine that does not
    /// know the run may have stopped it.
    pub(super) stop_in_doubt: bool,
    pub(super) reserve: Reserve,
    started: Time,
    /// When the step last changed.
    step_changed: Time,
}

impl Transfer {
    pub(super) fn new(source: Site, target: Site, now: Time) -> Self {
        Self {
            source,
            target,
            step: Step::Copying,
            handle: None,
            calls: 1,
            stop_in_doubt: false,
            reserve: Reserve::Empty,
            started: now,
            step_changed: now,
        }
    }

    pub(super) fn enter(&mut self, step: Step, now: Time) {
        self.step = step;
        self.step_changed = now;
    }

    /// Reports whether a call is in flight.
    pub(super) fn is_calling(&self) -> bool {
        matches!(self.step, Step::Copying | Step::Stopping(_))
    }

    /// Reports whether the run goes on only because the budget has no attempt left for its move.
    pub(super) fn is_postponed(&self) -> bool {
        self.reserve == Reserve::Awaited && matches!(self.step, Step::StopPending(_))
    }

    /// Returns when the step last changed.
    pub(super) fn step_changed(&self) -> Time {
        self.step_changed
    }

    /// Reports whether a slot of the engine `name` is reserved for this run.
    pub(super) fn reserves(&self, name: &id::Backend) -> bool {
        let open = !matches!(self.step, Step::Sent(_) | Step::Ended | Step::Unknown);
        open && self.target.name == *name
    }

    fn origin(&self) -> Option<Origin> {
        Some(Origin {
            address: self.source.address,
            handle: self.handle.clone()?,
        })
    }

    /// Returns the copy and forgets it.
    pub(super) fn take_origin(&mut self) -> Option<Origin> {
        let origin = self.origin();
        self.handle = None;
        origin
    }

    fn completion(&self, request: id::Request, tokens: u32, end: MoveOutcome) -> Effect {
        Effect::MoveEnded(MoveReport {
            request,
            from: self.source.name.clone(),
            to: self.target.name.clone(),
            end,
            took: self.step_changed.since(self.started),
            calls: self.calls,
            tokens,
        })
    }

    /// Returns the outcome of a move whose request ends in the current step.
    pub(super) fn end(&self) -> MoveOutcome {
        match self.step {
            Step::Copying | Step::StopPending(_) | Step::Stopping(_) => MoveOutcome::Abandoned,
            Step::Ended => MoveOutcome::Ended,
            Step::Stopped(_) | Step::Sent(_) | Step::Unknown => MoveOutcome::Lost,
        }
    }
}

impl Job {
    /// Returns the copy from which the stopped run resumes.
    pub(in crate::reducer) fn origin(&self) -> Option<Origin> {
        let transfer = self.transfer.as_ref()?;
        matches!(transfer.step, Step::Stopped(_))
            .then(|| transfer.origin())
            .flatten()
    }

    /// Reports whether the run is being stopped or resumed, so that its stream is expected to be
    /// silent.
    pub(in crate::reducer) fn is_stopping(&self) -> bool {
        self.transfer.as_ref().is_some_and(|t| match t.step {
            Step::StopPending(_) => t.calls > 1,
            Step::Stopping(_) | Step::Stopped(_) | Step::Sent(_) => true,
            Step::Copying | Step::Ended | Step::Unknown => false,
        })
    }

    /// Reports whether the request was sent to resume, and no engine has answered it yet.
    pub(super) fn is_resuming(&self) -> bool {
        let transfer = self.transfer.as_ref();
        transfer.is_some_and(|t| matches!(t.step, Step::Sent(_)))
    }

    /// Records that the answer continues; returns the effect that reports the completed move.
    pub(super) fn complete_move(&mut self, request: id::Request, now: Time) -> Option<Effect> {
        let sent = |t: &mut Transfer| matches!(t.step, Step::Sent(_));
        let mut transfer = self.transfer.take_if(sent)?;
        let Step::Sent(destination) = transfer.step else {
            return None;
        };
        transfer.step_changed = now;
        let end = match destination {
            Destination::Target => MoveOutcome::Moved,
            Destination::Source => MoveOutcome::Returned,
        };
        Some(transfer.completion(request, self.tokens(), end))
    }

    /// Ends the move with the outcome `end`, freeing its copy.
    pub(super) fn end_transfer(&mut self, request: id::Request, end: MoveOutcome) -> Vec<Effect> {
        let Some(transfer) = self.transfer.take() else {
            return vec![];
        };
        let report = transfer.completion(request, self.tokens(), end);
        let free = transfer.origin().map(Effect::FreeCopy);
        free.into_iter().chain([report]).collect()
    }

    /// Returns the number of tokens in the prompt.
    pub(super) fn tokens(&self) -> u32 {
        self.prompt.as_ref().map_or(0, |prompt| prompt.tokens)
    }

    /// Returns the current attempt, once the request was sent.
    pub(super) fn attempt(&self) -> Option<id::Attempt> {
        match &self.stage {
            Stage::Sent { attempt, .. } => Some(*attempt),
            Stage::Waiting | Stage::AwaitingOwner(_) => None,
        }
    }
}
