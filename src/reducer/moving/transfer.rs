//! One run on its way to another engine.

use crate::{
    id,
    memory::moved::{Handle, Origin},
    reducer::{
        effect::{Carried, Effect, End, Site},
        job::{Job, Stage},
    },
    unit::Time,
};

/// How the connection that brings a stream stands while its run is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum Stream {
    Open,
    /// It broke.
    Cut,
    /// It closed, which may be the end of the answer.
    Closed,
}

/// How far a move has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum Step {
    /// A first copy is made while the run goes on.
    Copying,
    /// The run is to be stopped; no call is under way.
    Due(Stream),
    /// The call is under way that stops the run and copies the rest.
    Stopping(Stream),
    /// The run is stopped; the request goes on with the copy next.
    Stopped(Seat),
    /// The request was sent to go on.
    Sent(Seat),
    /// The run ended by itself; the end of its stream is on the way.
    Ended,
    /// Whether the run was stopped is not known.
    Unknown,
}

/// Where a stopped run goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum Seat {
    Target,
    Source,
}

/// A run on its way.
#[derive(Clone, Debug)]
pub(in crate::reducer) struct Transfer {
    pub(super) source: Site,
    pub(super) target: Site,
    pub(super) step: Step,
    /// The copy, once there is one.
    pub(super) handle: Option<Handle>,
    pub(super) calls: u32,
    since: Time,
    /// When its step changed last.
    at: Time,
}

impl Transfer {
    pub(super) fn new(source: Site, target: Site, now: Time) -> Self {
        Self {
            source,
            target,
            step: Step::Copying,
            handle: None,
            calls: 1,
            since: now,
            at: now,
        }
    }

    pub(super) fn enter(&mut self, step: Step, now: Time) {
        self.step = step;
        self.at = now;
    }

    /// Whether a call is under way.
    pub(super) fn is_calling(&self) -> bool {
        matches!(self.step, Step::Copying | Step::Stopping(_))
    }

    /// Whether the engine that gets the copy keeps a slot for it.
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

    fn carried(&self, request: id::Request, tokens: u32, end: End) -> Effect {
        Effect::Carried(Carried {
            request,
            from: self.source.name.clone(),
            to: self.target.name.clone(),
            end,
            took: self.at.since(self.since),
            calls: self.calls,
            tokens,
        })
    }

    /// How it ended, where the request goes no further.
    fn end(&self) -> End {
        match self.step {
            Step::Copying | Step::Due(_) | Step::Stopping(_) => End::Left,
            Step::Ended => End::Ended,
            Step::Stopped(_) | Step::Sent(_) | Step::Unknown => End::Lost,
        }
    }
}

impl Job {
    /// Where the run goes on from that was stopped.
    pub(in crate::reducer) fn origin(&self) -> Option<Origin> {
        let transfer = self.transfer.as_ref()?;
        matches!(transfer.step, Step::Stopped(_))
            .then(|| transfer.origin())
            .flatten()
    }

    /// Whether the run is being stopped: its stream is silent for that.
    pub(in crate::reducer) fn is_stopping(&self) -> bool {
        self.transfer.as_ref().is_some_and(|t| match t.step {
            Step::Due(_) => t.calls > 1,
            Step::Stopping(_) | Step::Stopped(_) | Step::Sent(_) => true,
            Step::Copying | Step::Ended | Step::Unknown => false,
        })
    }

    /// Notes that the answer goes on; tells of the move that ends with it.
    pub(in crate::reducer) fn arrive(&mut self, request: id::Request, now: Time) -> Option<Effect> {
        let sent = |t: &mut Transfer| matches!(t.step, Step::Sent(_));
        let mut transfer = self.transfer.take_if(sent)?;
        let Step::Sent(seat) = transfer.step else {
            return None;
        };
        transfer.at = now;
        let end = match seat {
            Seat::Target => End::There,
            Seat::Source => End::Back,
        };
        Some(transfer.carried(request, self.tokens(), end))
    }

    /// Gives up the copy of a run that goes no further; what a call that is under way still copies
    /// is freed when it is heard of.
    pub(in crate::reducer) fn drop_copy(&mut self, request: id::Request) -> Vec<Effect> {
        let end = self.transfer.as_ref().map(Transfer::end);
        end.map_or(vec![], |end| self.end_transfer(request, end))
    }

    /// The same, where it is known how the move ended.
    pub(super) fn end_transfer(&mut self, request: id::Request, end: End) -> Vec<Effect> {
        let Some(transfer) = self.transfer.take() else {
            return vec![];
        };
        let told = transfer.carried(request, self.tokens(), end);
        let free = transfer.origin().map(Effect::Free);
        free.into_iter().chain([told]).collect()
    }

    /// Tokens of its prompt.
    pub(super) fn tokens(&self) -> u32 {
        self.prompt.as_ref().map_or(0, |prompt| prompt.tokens)
    }

    /// The engine's stream that brings the answer, where it has begun.
    pub(super) fn attempt(&self) -> Option<id::Attempt> {
        match &self.stage {
            Stage::Sent { attempt, .. } => Some(*attempt),
            Stage::Waiting | Stage::Joined(_) => None,
        }
    }
}
