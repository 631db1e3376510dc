//! Resumption of event streams at another backend server after a cut, within one response to the
//! caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tokio::task::JoinHandle;

use crate::{
    gateway::{
        Shell,
        attempt::{AttemptFailure, Prepared, Upstream, try_once},
        carry::StopState,
        events::Events,
        liveness::Recorder,
    },
    reducer::{effect::Send, event::Cause},
    verdict::Verdict,
};

/// Result of an attempt to resume a stream.
pub(crate) enum AttemptOutcome {
    /// The stream can continue with this response.
    Answered(Box<Upstream>),
    /// The attempt failed.
    Failed(Verdict, Cause),
}

/// State for resuming a stream elsewhere.
pub(crate) struct Resume {
    shell: Arc<Shell>,
    prepared: Arc<Prepared>,
    pub(crate) events: Events,
    /// Whether the stream may be resumed after any cut; otherwise only after a requested stop of
    /// its run.
    resume_after_cut: bool,
    pub(crate) stop: StopState,
    attempt: Option<JoinHandle<Result<Upstream, AttemptFailure>>>,
}

impl Resume {
    pub(crate) fn new(shell: Arc<Shell>, prepared: Arc<Prepared>, resume_after_cut: bool) -> Self {
        Self {
            shell,
            prepared,
            events: Events::default(),
            resume_after_cut,
            stop: StopState::default(),
            attempt: None,
        }
    }

    /// Reports whether the stream can move now, which it cannot after part of an event was
    /// forwarded.
    pub(crate) fn can_move(&self) -> bool {
        !self.events.is_split()
    }

    /// Reports whether the stream can be resumed if it is cut now.
    pub(crate) fn can_resume_after_cut(&self) -> bool {
        self.can_move() && (self.resume_after_cut || self.stop.is_requested())
    }

    /// Starts an attempt to resume the stream; returns the liveness reporter for its backend
    /// server.
    pub(crate) fn start(&mut self, send: Send) -> Option<Recorder> {
        self.stop = StopState::default();
        self.events.forget_partial();
        let pulse = self.shell.signs.recorder(&send.target);
        let (shell, prepared) = (self.shell.clone(), self.prepared.clone());
        let last = self.events.last_id().map(str::to_owned);
        let attempt = async move { try_once(&shell, &prepared, &send, last.as_deref()).await };
        self.attempt = Some(tokio::spawn(attempt));
        pulse
    }

    /// Aborts the attempt in flight, which closes its connection.
    pub(crate) fn abort(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            attempt.abort();
        }
    }

    /// Polls the attempt in flight; pending if there is none.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<AttemptOutcome> {
        let Some(attempt) = &mut self.attempt else {
            return Poll::Pending;
        };
        let Poll::Ready(joined) = Pin::new(attempt).poll(cx) else {
            return Poll::Pending;
        };
        self.attempt = None;
        Poll::Ready(match joined {
            Ok(Ok(upstream)) if upstream.response.status().is_success() => {
                AttemptOutcome::Answered(Box::new(upstream))
            }
            Ok(Ok(_)) => AttemptOutcome::Failed(Verdict::MayHaveRun, Cause::Broken),
            Ok(Err(failure)) => AttemptOutcome::Failed(failure.verdict, failure.cause),
            Err(error) => {
                log::error!("stream: the task of a resume attempt failed: {error}");
                AttemptOutcome::Failed(Verdict::MayHaveRun, Cause::Broken)
            }
        })
    }
}

impl Drop for Resume {
    fn drop(&mut self) {
        self.abort();
    }
}
