//! Streams of events that go on at another place after a cut, within one answer.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use tokio::task::JoinHandle;

use crate::{
    gateway::{
        Shell,
        attempt::{Found, Miss, Prepared, try_once},
        carry::Stop,
        signs::Pulse,
    },
    reducer::{effect::Send, event::Cause},
    verdict::Verdict,
};

/// Longest event that is gathered; a longer one passes as it comes and cannot be resumed.
const MAX_EVENT: usize = 256 << 10;

/// Passes on whole events only, so that a cut never leaves half of one with the caller.
#[derive(Debug, Default)]
pub struct Events {
    partial: BytesMut,
    last: Option<String>,
}

impl Events {
    /// Takes bytes of the stream and returns those that end an event, with what came before.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        let whole = if self.partial.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            self.partial.extend_from_slice(&bytes);
            self.cut_partial()
        };
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    fn cut_partial(&mut self) -> Bytes {
        let end = event_end(&self.partial).unwrap_or(0);
        if end == 0 && self.partial.len() > MAX_EVENT {
            return self.partial.split().freeze();
        }
        self.partial.split_to(end).freeze()
    }

    /// What came after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Forgets the half of an event that a cut left.
    pub fn forget_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Where the last whole event of `bytes` ends.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|w| w == b"\n\n");
    let carriage = bytes.windows(4).rposition(|w| w == b"\r\n\r\n");
    let ends = [plain.map(|at| at + 2), carriage.map(|at| at + 4)];
    ends.into_iter().flatten().max()
}

/// The id that the last event of `bytes` tells.
fn last_id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.rsplit(|b| *b == b'\n');
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    let id = str::from_utf8(&line[3..]).ok()?;
    Some(id.trim().to_owned())
}

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

    /// Whether the stream may go on after a cut as things stand.
    pub(crate) fn outlives_cut(&self) -> bool {
        self.after_cut || self.stop.is_asked()
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
