//! Moves runs and their KV cache between engines: the calls to engines, and the streams of runs
//! that are being stopped.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use tokio::time::{Sleep, sleep};

use crate::{
    gateway::{
        core::{Command, Core},
        stream::Stream,
    },
    memory::transfer::{Handover, Origin},
    platform::engine,
    reducer::{
        effect::{Move, Send},
        event::Event,
    },
};

/// How long the remaining bytes of a stream are awaited after its engine reported the run as
/// stopped. They were produced before that report and are still in transit.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Progress of stopping a stream's run on its engine before the run moves to another one.
#[derive(Default)]
pub(crate) enum StopState {
    /// No stop was requested.
    #[default]
    NotRequested,
    /// The engine was asked to stop the run.
    Requested,
    /// The run has stopped. Holds the order for the next attempt, and the timer until which bytes
    /// that were produced before the stop are still passed on.
    Stopped(Box<Send>, Pin<Box<Sleep>>),
}

impl StopState {
    /// Reports whether a stop was requested, including one that is complete.
    pub(crate) fn is_requested(&self) -> bool {
        !matches!(self, Self::NotRequested)
    }

    /// Reports whether the run has stopped.
    pub(crate) fn is_stopped(&self) -> bool {
        matches!(self, Self::Stopped(..))
    }

    /// Completes when the time for bytes still in transit is over.
    pub(crate) fn poll_drained(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match self {
            Self::Stopped(_, drain) => drain.as_mut().poll(cx),
            Self::NotRequested | Self::Requested => Poll::Ready(()),
        }
    }

    /// Takes the order for the next attempt, if the run has stopped.
    pub(crate) fn take_order(&mut self) -> Option<Box<Send>> {
        match std::mem::take(self) {
            Self::Stopped(send, _) => Some(send),
            other => {
                *self = other;
                None
            }
        }
    }
}

impl Stream {
    /// Reports whether the engine was asked to stop this stream's run.
    pub(super) fn is_stop_requested(&self) -> bool {
        let resume = self.resume.as_ref();
        resume.is_some_and(|resume| resume.stop.is_requested())
    }

    /// Reports whether the run has stopped and only bytes still in transit are expected.
    pub(super) fn is_draining(&self) -> bool {
        let resume = self.resume.as_ref();
        resume.is_some_and(|resume| resume.stop.is_stopped())
    }

    /// Handles an order that announces the stop of the run, or that follows a completed stop and
    /// names the next attempt. Returns false if the stream cannot be resumed.
    pub(super) fn handle_stop_order(&mut self, order: Command) -> bool {
        let Some(resume) = &mut self.resume else {
            return false;
        };
        match order {
            Command::Stopping => resume.stop = StopState::Requested,
            Command::Send(send) if send.continues.is_some() => {
                resume.stop = StopState::Stopped(send, Box::pin(sleep(DRAIN_TIMEOUT)));
            }
            _ => return false,
        }
        true
    }

    /// Starts the next attempt, if its order has arrived; returns whether it did.
    pub(super) fn start_next_attempt(&mut self) -> bool {
        let Some(resume) = &mut self.resume else {
            return false;
        };
        let Some(send) = resume.stop.take_order() else {
            return false;
        };
        self.source.attempt = send.attempt;
        self.pulse = resume.start(*send);
        true
    }

    /// Ends the stream as complete and returns the bytes after its last complete event. If the
    /// order for the next attempt arrived before this end was handled, the end is reported under
    /// the number of that attempt.
    pub(super) fn finish(&mut self) -> Option<Bytes> {
        let order = self.resume.as_mut().and_then(|r| r.stop.take_order());
        if let Some(send) = order {
            self.source.attempt = send.attempt;
        }
        self.end(true);
        let rest = self.resume.as_mut().map(|resume| resume.events.rest());
        rest.filter(|rest| !rest.is_empty())
    }
}

impl Core {
    /// Asks an engine to move a run to another engine, and reports the result to the reducer.
    pub(super) fn move_run(&self, order: Move) {
        let Some(handle) = self.handle.clone() else {
            return;
        };
        let tag = self.open_requests.get(&order.request);
        let tag = tag.and_then(|open| open.tag.clone());
        let pool = self.parts.pool.clone();
        tokio::spawn(async move {
            let Move {
                request,
                attempt,
                from,
                to,
                last,
                ..
            } = order;
            let result = match tag {
                Some(run) => engine::move_run(&pool, from.address, &run, to.address, last).await,
                // Engines identify a run by its caller's request id; a run without one cannot be
                // moved.
                None => Handover::Refused,
            };
            handle.tell(Event::Moved {
                request,
                attempt,
                from: from.address,
                result,
            });
        });
    }

    /// Frees the copy of a moved run that is not going to be resumed.
    pub(super) fn free_copy(&self, origin: Origin) {
        let pool = self.parts.pool.clone();
        tokio::spawn(async move {
            if let Err(error) = engine::free_copy(&pool, &origin).await {
                let Origin { address, handle } = origin;
                log::warn!("move: cannot free copy {handle} on {address}, it will expire: {error}");
            }
        });
    }
}
