//! Streams of events that go on at another place after a cut, within one answer.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tokio::task::JoinHandle;

use crate::{
    gateway::{
        Shell,
        attempt::{Found, Miss, Prepared, try_once},
        carry::Stop,
        events::Events,
        signs::Pulse,
    },
    reducer::{effect::Send, event::Cause},
    verdict::Verdict,
};

/// The next place's answer, while it is waited for.
pub(crate) enum Next {
    /// It goes on.
    Found(Box<Found>),
    /// There is none there.
    Missed(Verdict, Cause),
}

/// What a stream needs to go on elsewhere.
pub(crate) struct Resume {
    shell: Arc<Shell>,
    prepared: Arc<Prepared>,
    pub(crate) events: Events,
    /// Whether it may go on after a cut; else only where its run is stopped for that.
    after_cut: bool,
    pub(crate) stop: Stop,
    attempt: Option<JoinHandle<Result<Found, Miss>>>,
}

impl Resume {
    pub(crate) fn new(shell: Arc<Shell>, prepared: Arc<Prepared>, after_cut: bool) -> Self {
        Self {
            shell,
            prepared,
            events: Events::default(),
            after_cut,
            stop: Stop::default(),
            attempt: None,
        }
    }

    /// Whether the stream may leave its place as things stand.
    pub(crate) fn may_leave(&self) -> bool {
        !self.events.is_split()
    }

    /// Whether the stream may go on after a cut as things stand.
    pub(crate) fn outlives_cut(&self) -> bool {
        self.may_leave() && (self.after_cut || self.stop.is_asked())
    }

    /// Tries to go on as ordered; returns the stream's word on the next backend server.
    pub(crate) fn start(&mut self, send: Send) -> Option<Pulse> {
        self.stop = Stop::default();
        self.events.forget_partial();
        let pulse = self.shell.signs.pulse(&send.target);
        let (shell, prepared) = (self.shell.clone(), self.prepared.clone());
        let last = self.events.last().map(str::to_owned);
        let attempt = async move { try_once(&shell, &prepared, &send, last.as_deref()).await };
        self.attempt = Some(tokio::spawn(attempt));
        pulse
    }

    /// Gives the attempt up; its connection closes with it.
    pub(crate) fn abort(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            attempt.abort();
        }
    }

    /// What came of the attempt; pending without one.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Next> {
        let Some(attempt) = &mut self.attempt else {
            return Poll::Pending;
        };
        let Poll::Ready(joined) = Pin::new(attempt).poll(cx) else {
            return Poll::Pending;
        };
        self.attempt = None;
        Poll::Ready(match joined {
            Ok(Ok(found)) if found.response.status().is_success() => Next::Found(Box::new(found)),
            Ok(Ok(_)) => Next::Missed(Verdict::MayHaveRun, Cause::Broken),
            Ok(Err(miss)) => Next::Missed(miss.verdict, miss.cause),
            Err(error) => {
                log::error!("stream: the attempt to go on broke: {error}");
                Next::Missed(Verdict::MayHaveRun, Cause::Broken)
            }
        })
    }
}

impl Drop for Resume {
    fn drop(&mut self) {
        self.abort();
    }
}
