//! Runs whose memory moves: the calls to engines, and the streams of runs that are being stopped.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use tokio::time::{Sleep, sleep};

use crate::{
    gateway::{
        core::{Core, Order},
        stream::Stream,
    },
    memory::moved::{Moved, Origin},
    platform::engine,
    reducer::{
        effect::{Move, Send},
        event::Event,
    },
};

/// How long the rest of a stream is waited for whose run is stopped: it was made before the engine
/// said so, and is on its way.
const REST: Duration = Duration::from_millis(100);

/// How far a stream is on its way from an engine whose run is to be stopped.
#[derive(Default)]
pub(crate) enum Stop {
    /// Nobody stops it.
    #[default]
    Not,
    /// The engine is asked to stop it.
    Asked,
    /// It has stopped: what it made before still comes, until then, and the order says where it goes on.
    Over(Box<Send>, Pin<Box<Sleep>>),
}

impl Stop {
    /// Whether the engine was asked to stop the run.
    pub(crate) fn is_asked(&self) -> bool {
        !matches!(self, Self::Not)
    }

    /// Whether the run has stopped.
    pub(crate) fn is_over(&self) -> bool {
        matches!(self, Self::Over(..))
    }

    /// Ready when the rest is waited for no longer.
    pub(crate) fn poll_over(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match self {
            Self::Over(_, rest) => rest.as_mut().poll(cx),
            Self::Not | Self::Asked => Poll::Ready(()),
        }
    }

    /// Takes out the order that says where it goes on.
    pub(crate) fn take_order(&mut self) -> Option<Box<Send>> {
        match std::mem::take(self) {
            Self::Over(send, _) => Some(send),
            other => {
                *self = other;
                None
            }
        }
    }
}

impl Stream {
    /// Whether its engine was asked to stop its run.
    pub(super) fn is_stopping(&self) -> bool {
        let resume = self.resume.as_ref();
        resume.is_some_and(|resume| resume.stop.is_asked())
    }

    /// Whether its run is stopped, and only the rest of what it made comes.
    pub(super) fn is_leaving(&self) -> bool {
        let resume = self.resume.as_ref();
        resume.is_some_and(|resume| resume.stop.is_over())
    }

    /// Takes in that its run is to be stopped, or has been and goes on elsewhere; false where it
    /// cannot go on.
    pub(super) fn stop(&mut self, order: Order) -> bool {
        let Some(resume) = &mut self.resume else {
            return false;
        };
        match order {
            Order::Stopping => resume.stop = Stop::Asked,
            Order::Send(send) if send.continues.is_some() => {
                resume.stop = Stop::Over(send, Box::pin(sleep(REST)));
            }
            _ => return false,
        }
        true
    }

    /// Sets off to where it goes on, where that is known by now.
    pub(super) fn set_off(&mut self) -> bool {
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

    /// Ends whole; returns what came after the last whole event. Where the order to go on crossed
    /// the end, the answer ends under the number of that attempt.
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
    /// Asks an engine to move a run.
    pub(super) fn move_run(&self, order: Move) {
        let Some(handle) = self.handle.clone() else {
            return;
        };
        let tag = self.orders.get(&order.request);
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
                // Engines know a run by the name that its caller gave it.
                None => Moved::Refused,
            };
            log::debug!(
                "move: box_id={request} from={} last={last} {result:?}",
                from.name
            );
            handle.tell(Event::Moved {
                request,
                attempt,
                from: from.address,
                result,
            });
        });
    }

    /// Frees a copy that nobody goes on with.
    pub(super) fn free_copy(&self, origin: Origin) {
        let pool = self.parts.pool.clone();
        tokio::spawn(async move {
            if let Err(error) = engine::free(&pool, &origin).await {
                let Origin { address, handle } = origin;
                log::warn!(
                    "move: the copy {handle} of {address} is not freed, and lapses: {error}"
                );
            }
        });
    }
}
