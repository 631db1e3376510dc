//! Response streams on their way to the caller: reading, end detection and resumption elsewhere.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use tokio::{
    sync::mpsc,
    time::{Instant, Sleep, sleep},
};

use crate::{
    gateway::{
        attempt::Upstream,
        clock::BootInstant,
        core::{Command, Handle},
        delimiter::Delimiter,
        dial::Lease,
        liveness::Recorder,
        metrics::Metrics,
        records::Gap,
        resume::{AttemptOutcome, Resume},
        trace::Span,
    },
    id,
    reducer::event::{Event, Timing},
    unit::Millis,
};

/// A stream that delivers no byte for this long is cut.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The error for a response that ended before it was complete; hyper then closes the connection
/// without a last chunk.
#[derive(Debug)]
pub struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was cut short")
    }
}

impl std::error::Error for Truncated {}

/// The attempt that supplies a response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    pub(crate) request: id::Request,
    pub(crate) attempt: id::Attempt,
}

/// One step of reading a body.
pub(crate) enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The end of a complete body.
    End,
    /// The end of a truncated body.
    Truncated,
    /// An order to abort the stream.
    Aborted,
    /// An order to continue the stream at another backend server, or the end of a stopped run.
    Moving,
}

/// The result of moving a stream to another backend server.
enum MoveOutcome {
    Resumed,
    /// The stream was already complete.
    Complete,
    Failed,
}

/// Arrival times of the pieces of a response.
#[derive(Clone, Copy, Debug)]
struct PieceTimes {
    /// When the request was received.
    received_at: BootInstant,
    /// Time from then to the start of the response.
    first_byte: Duration,
    /// Arrival of the last piece, or the start of the response.
    last: BootInstant,
    /// Longest time between two pieces.
    longest_gap: Duration,
}

impl PieceTimes {
    /// Creates the times of a response that starts now.
    fn begin(received_at: BootInstant) -> Self {
        let now = BootInstant::now();
        Self {
            received_at,
            first_byte: now - received_at,
            last: now,
            longest_gap: Duration::ZERO,
        }
    }

    /// Records a piece that arrived at `now`.
    fn record_piece(&mut self, now: BootInstant) {
        self.longest_gap = self.longest_gap.max(now - self.last);
        self.last = now;
    }

    /// Returns the timing of the response so far.
    fn timing(&self) -> Timing {
        let millis = |span: Duration| Millis(span.as_millis() as u64);
        Timing {
            first: millis(self.first_byte),
            whole: millis(self.received_at.elapsed()),
            pause: millis(self.longest_gap),
        }
    }
}

/// A response body on its way to the caller. Its end, or its drop, is reported to the reducer
/// exactly once.
pub struct Stream {
    incoming: Incoming,
    lease: Option<Lease>,
    core: Handle,
    orders: mpsc::UnboundedReceiver<Command>,
    pub(super) source: Source,
    delimiter: Delimiter,
    /// Whether the status of the response reports success.
    success: bool,
    metrics: Arc<Metrics>,
    stall: Pin<Box<Sleep>>,
    times: PieceTimes,
    /// Reports liveness of the backend server that supplies the stream; none for other boxes.
    pub(crate) pulse: Option<Recorder>,
    /// State for resuming the stream elsewhere, if that is allowed.
    pub(super) resume: Option<Box<Resume>>,
    /// Whether the stream is waiting for its next attempt.
    moving: bool,
    done: bool,
    _span: Span,
}

impl Stream {
    pub(crate) fn new(
        upstream: Upstream,
        core: Handle,
        metrics: Arc<Metrics>,
        orders: mpsc::UnboundedReceiver<Command>,
        source: Source,
        received_at: BootInstant,
        resume: Option<Resume>,
    ) -> Self {
        Self {
            delimiter: upstream.delimiter,
            success: upstream.response.status().is_success(),
            metrics,
            pulse: None,
            times: PieceTimes::begin(received_at),
            incoming: upstream.response.into_body(),
            lease: Some(upstream.lease),
            core,
            orders,
            source,
            stall: Box::pin(sleep(STALL_TIMEOUT)),
            resume: resume.map(Box::new),
            moving: false,
            done: false,
            _span: upstream.span,
        }
    }

    /// Reports whether the end was reported to the reducer.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Reports the end of the response to the reducer. The connection of a complete response
    /// returns to the pool, unless its close marked the end.
    pub(crate) fn end(&mut self, whole: bool) {
        self.done = true;
        let reusable = whole && !self.delimiter.is_close();
        if let Some(lease) = self.lease.take().filter(|_| reusable) {
            lease.return_to_pool();
        }
        let Source { request, attempt } = self.source;
        if whole && (self.delimiter.is_close() || !self.success) {
            self.core.tell(Event::Inconclusive { request, attempt });
        }
        self.core.tell(Event::Ended {
            request,
            attempt,
            whole,
            timing: self.times.timing(),
        });
    }

    /// Reads the next piece; the caller of this function calls [`Stream::end`] at the end.
    pub(crate) fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Piece> {
        while !self.is_draining()
            && let Poll::Ready(Some(order)) = self.orders.poll_recv(cx)
        {
            let handled = match order {
                Command::Stopping | Command::Send(_) => self.handle_stop_order(order),
                Command::Detach if self.resume.as_ref().is_some_and(|r| r.can_move()) => {
                    return Poll::Ready(Piece::Moving);
                }
                Command::Abort | Command::Detach => self.adopt_next_attempt(),
                _ => false,
            };
            if !handled {
                return Poll::Ready(Piece::Aborted);
            }
        }
        loop {
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Pending if self.is_draining() => {
                    let resume = self.resume.as_mut();
                    let stop = resume.map(|resume| &mut resume.stop);
                    ready!(stop.map_or(Poll::Ready(()), |stop| stop.poll_drained(cx)));
                    return Poll::Ready(Piece::Moving);
                }
                Poll::Pending => {
                    ready!(self.stall.as_mut().poll(cx));
                    return Poll::Ready(Piece::Truncated);
                }
                Poll::Ready(Some(Ok(frame))) => {
                    let now = BootInstant::now();
                    self.times.record_piece(now);
                    if let Some(pulse) = &mut self.pulse {
                        pulse.record_chunk(now);
                    }
                    self.stall.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    let bytes = frame.into_data().unwrap_or_default();
                    match self.delimiter.read(bytes) {
                        Ok(bytes) if bytes.is_empty() => {}
                        Ok(bytes) => return Poll::Ready(Piece::Data(bytes)),
                        Err(gap) => {
                            self.record_gap(gap);
                            return Poll::Ready(Piece::Truncated);
                        }
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    let Source { request, attempt } = self.source;
                    let number = attempt.0;
                    log::info!("stream: box_id={request} attempt={number} cut error={error:?}");
                    return Poll::Ready(Piece::Truncated);
                }
                Poll::Ready(None) => {
                    let whole = self.delimiter.is_whole();
                    self.record_close(whole);
                    return Poll::Ready(if whole { Piece::End } else { Piece::Truncated });
                }
            }
        }
    }

    /// Counts and logs how the end of a response that was delimited by the close of its connection
    /// was classified.
    fn record_close(&self, whole: bool) {
        if !self.delimiter.is_close() {
            return;
        }
        let label = if whole { "whole" } else { "broken" };
        let ends = &self.metrics.unframed_ends;
        ends.with_label_values(&[label]).inc();
        let Source { request, attempt } = self.source;
        log::info!(
            "stream: box_id={request} attempt={} ended {} whole={whole}",
            attempt.0,
            self.delimiter
        );
    }

    fn record_gap(&self, gap: Gap) {
        self.metrics.relay_gaps.inc();
        let Source { request, attempt } = self.source;
        let number = attempt.0;
        log::warn!(
            "stream: box_id={request} attempt={number} cut gap={}",
            gap.offset
        );
    }

    /// Keeps a response that began while the reducer decided to try elsewhere. The order to abort
    /// is followed by one to send, which is not carried out: the response continues under the
    /// number of that attempt. Returns false if there is no such order, and the response has to be
    /// aborted.
    fn adopt_next_attempt(&mut self) -> bool {
        let Ok(Command::Send(send)) = self.orders.try_recv() else {
            return false;
        };
        let Source { request, .. } = self.source;
        let attempt = send.attempt;
        let number = attempt.0;
        log::info!(
            "stream: box_id={request} attempt={number} not sent: a response had already begun"
        );
        self.source.attempt = attempt;
        self.core.tell(Event::Begun { request, attempt });
        true
    }

    /// Polls for the next bytes that may be forwarded; none at the end.
    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Truncated>>> {
        loop {
            if self.done {
                return Poll::Ready(None);
            }
            if self.moving {
                match ready!(self.poll_move(cx)) {
                    MoveOutcome::Resumed => {}
                    MoveOutcome::Complete => return Poll::Ready(self.finish().map(Ok)),
                    MoveOutcome::Failed => {
                        self.end(false);
                        return Poll::Ready(Some(Err(Truncated)));
                    }
                }
            }
            let next = match ready!(self.poll_piece(cx)) {
                Piece::Data(bytes) => self.deliverable(bytes).map(Ok),
                Piece::End if self.delimiter.is_close() && self.is_stop_requested() => {
                    self.release_connection();
                    if !self.start_next_attempt() {
                        let Source { request, attempt } = self.source;
                        self.core.tell(Event::Closed { request, attempt });
                    }
                    None
                }
                Piece::End => self.finish().map(Ok),
                Piece::Truncated
                    if self
                        .resume
                        .as_ref()
                        .is_some_and(|r| r.can_resume_after_cut()) =>
                {
                    self.release_connection();
                    if !self.start_next_attempt() {
                        let Source { request, attempt } = self.source;
                        self.core.tell(Event::StreamCut { request, attempt });
                    }
                    None
                }
                Piece::Moving => {
                    self.release_connection();
                    self.start_next_attempt();
                    None
                }
                Piece::Truncated | Piece::Aborted => {
                    self.end(false);
                    Some(Err(Truncated))
                }
            };
            if next.is_some() {
                return Poll::Ready(next);
            }
        }
    }

    /// Returns the part of `bytes` that may be forwarded now.
    fn deliverable(&mut self, bytes: Bytes) -> Option<Bytes> {
        let whole = match &mut self.resume {
            Some(resume) => resume.events.push(bytes),
            None => bytes,
        };
        if self.incoming.is_end_stream() {
            // hyper does not poll a body of known length again after its last byte.
            let rest = self.finish().unwrap_or_default();
            return Some(match rest.is_empty() {
                true => whole,
                false => [whole, rest].concat().into(),
            });
        }
        Some(whole).filter(|whole| !whole.is_empty())
    }

    /// Drops the connection that supplied the stream; the reducer decides where it continues.
    fn release_connection(&mut self) {
        self.lease = None;
        self.moving = true;
    }

    /// Polls until the stream continues with the response of its next attempt, or it is decided
    /// that the stream is complete or cannot continue.
    fn poll_move(&mut self, cx: &mut Context<'_>) -> Poll<MoveOutcome> {
        let Some(resume) = &mut self.resume else {
            return Poll::Ready(MoveOutcome::Failed);
        };
        let request = self.source.request;
        loop {
            match self.orders.poll_recv(cx) {
                Poll::Ready(Some(Command::Send(send))) => {
                    self.source.attempt = send.attempt;
                    self.pulse = resume.start(*send);
                    continue;
                }
                Poll::Ready(Some(Command::Abort | Command::Detach)) => {
                    resume.abort();
                    continue;
                }
                Poll::Ready(Some(Command::Stopping)) => continue,
                Poll::Ready(Some(Command::Complete)) => return Poll::Ready(MoveOutcome::Complete),
                Poll::Ready(_) => return Poll::Ready(MoveOutcome::Failed),
                Poll::Pending => {}
            }
            let attempt = self.source.attempt;
            match ready!(resume.poll(cx)) {
                AttemptOutcome::Answered(upstream) => {
                    self.core.tell(Event::Begun { request, attempt });
                    self.delimiter = upstream.delimiter;
                    self.success = upstream.response.status().is_success();
                    self.incoming = upstream.response.into_body();
                    self.lease = Some(upstream.lease);
                    let now = BootInstant::now();
                    if let Some(pulse) = &mut self.pulse {
                        pulse.record_start(now);
                    }
                    self.stall.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    self.moving = false;
                    return Poll::Ready(MoveOutcome::Resumed);
                }
                AttemptOutcome::Failed(verdict, cause) => self.core.tell(Event::Failed {
                    request,
                    attempt,
                    verdict,
                    cause,
                }),
            }
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.done {
            self.core.tell(Event::Disconnected(self.source.request));
        }
    }
}
