//! Streams on their way through: what brings them, how they end, and how they go on elsewhere.

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
        attempt::Found,
        clock::Moment,
        core::{Handle, Order},
        delimiter::Delimiter,
        dial::Lease,
        metrics::Metrics,
        records::Gap,
        resume::{Next, Resume},
        signs::Pulse,
        trace::Span,
    },
    id,
    reducer::event::{Event, Timing},
    unit::Millis,
};

/// A stream without a byte for this long is cut.
pub(crate) const STALL: Duration = Duration::from_secs(60);

/// The answer ended before it was whole; hyper then closes the connection without its last chunk.
#[derive(Debug)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was cut short")
    }
}

impl std::error::Error for Cut {}

/// The attempt that brings an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    pub(crate) request: id::Request,
    pub(crate) attempt: id::Attempt,
}

/// A step of a body.
pub(crate) enum Piece {
    /// Some bytes.
    Data(Bytes),
    /// The whole end.
    End,
    /// An end before the whole.
    Cut,
    /// An order to break it off.
    Stopped,
    /// An order to leave its place and to go on elsewhere.
    Left,
}

/// How a stream that left its place goes on.
enum Onward {
    Goes,
    /// It had come to its end.
    Whole,
    Nowhere,
}

/// When the pieces of an answer came.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// When its request came.
    came: Moment,
    /// From then to the beginning of the answer.
    first: Duration,
    /// The last piece, or the beginning.
    last: Moment,
    /// The longest time between two pieces.
    pause: Duration,
}

impl Pace {
    /// An answer that begins now.
    fn begin(came: Moment) -> Self {
        let now = Moment::now();
        Self {
            came,
            first: now - came,
            last: now,
            pause: Duration::ZERO,
        }
    }

    /// Notes a piece that comes at `now`.
    fn piece(&mut self, now: Moment) {
        self.pause = self.pause.max(now - self.last);
        self.last = now;
    }

    /// How it came, as of now.
    fn timing(&self) -> Timing {
        let millis = |span: Duration| Millis(span.as_millis() as u64);
        Timing {
            first: millis(self.first),
            whole: millis(self.came.elapsed()),
            pause: millis(self.pause),
        }
    }
}

/// A body on its way through; its end, or its drop, is told to the reducer once.
pub struct Stream {
    incoming: Incoming,
    lease: Option<Lease>,
    core: Handle,
    orders: mpsc::UnboundedReceiver<Order>,
    pub(super) source: Source,
    delimiter: Delimiter,
    metrics: Arc<Metrics>,
    stall: Pin<Box<Sleep>>,
    pace: Pace,
    /// Its word on the backend server that brings it, where this box listens to that.
    pub(crate) pulse: Option<Pulse>,
    /// What it needs to go on at another place, where it may.
    pub(super) resume: Option<Box<Resume>>,
    /// Whether it is on its way to another place.
    moving: bool,
    done: bool,
    _span: Span,
}

impl Stream {
    pub(crate) fn new(
        found: Found,
        core: Handle,
        metrics: Arc<Metrics>,
        orders: mpsc::UnboundedReceiver<Order>,
        source: Source,
        came: Moment,
        resume: Option<Resume>,
    ) -> Self {
        Self {
            delimiter: found.delimiter,
            metrics,
            pulse: None,
            pace: Pace::begin(came),
            incoming: found.response.into_body(),
            lease: Some(found.lease),
            core,
            orders,
            source,
            stall: Box::pin(sleep(STALL)),
            resume: resume.map(Box::new),
            moving: false,
            done: false,
            _span: found.span,
        }
    }

    /// Whether its end was told.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Tells the reducer how the answer ended; a whole one leaves its connection for others.
    pub(crate) fn end(&mut self, whole: bool) {
        self.done = true;
        let reusable = whole && !self.delimiter.is_close();
        if let Some(lease) = self.lease.take().filter(|_| reusable) {
            lease.give_back();
        }
        let Source { request, attempt } = self.source;
        self.core.tell(Event::Ended {
            request,
            attempt,
            whole,
            timing: self.pace.timing(),
        });
    }

    /// The next piece; the one who reads it calls [`Stream::end`] at the end.
    pub(crate) fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Piece> {
        while !self.is_leaving()
            && let Poll::Ready(Some(order)) = self.orders.poll_recv(cx)
        {
            let crossed = match order {
                Order::Stopping | Order::Send(_) => self.stop(order),
                Order::Leave if self.resume.as_ref().is_some_and(|r| r.may_leave()) => {
                    return Poll::Ready(Piece::Left);
                }
                Order::Abort | Order::Leave => self.stay(),
                _ => false,
            };
            if !crossed {
                return Poll::Ready(Piece::Stopped);
            }
        }
        loop {
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Pending if self.is_leaving() => {
                    let resume = self.resume.as_mut();
                    let stop = resume.map(|resume| &mut resume.stop);
                    ready!(stop.map_or(Poll::Ready(()), |stop| stop.poll_over(cx)));
                    return Poll::Ready(Piece::Left);
                }
                Poll::Pending => {
                    ready!(self.stall.as_mut().poll(cx));
                    return Poll::Ready(Piece::Cut);
                }
                Poll::Ready(Some(Ok(frame))) => {
                    let now = Moment::now();
                    self.pace.piece(now);
                    if let Some(pulse) = &mut self.pulse {
                        pulse.note(now);
                    }
                    self.stall.as_mut().reset(Instant::now() + STALL);
                    let bytes = frame.into_data().unwrap_or_default();
                    match self.delimiter.read(bytes) {
                        Ok(bytes) if bytes.is_empty() => {}
                        Ok(bytes) => return Poll::Ready(Piece::Data(bytes)),
                        Err(gap) => {
                            self.note_gap(gap);
                            return Poll::Ready(Piece::Cut);
                        }
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    let Source { request, attempt } = self.source;
                    let number = attempt.0;
                    log::info!("stream: box_id={request} attempt={number} cut error={error:?}");
                    return Poll::Ready(Piece::Cut);
                }
                Poll::Ready(None) => {
                    let whole = self.delimiter.is_whole();
                    self.note_close(whole);
                    return Poll::Ready(if whole { Piece::End } else { Piece::Cut });
                }
            }
        }
    }

    /// Tells how an answer that ended with its connection is taken.
    fn note_close(&self, whole: bool) {
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

    fn note_gap(&self, gap: Gap) {
        self.metrics.relay_gaps.inc();
        let Source { request, attempt } = self.source;
        let number = attempt.0;
        log::warn!(
            "stream: box_id={request} attempt={number} cut gap={}",
            gap.offset
        );
    }

    /// Stays with an answer that began while the reducer decided to try elsewhere: the order to abort
    /// is followed by one to send, which is not carried out. The answer goes on under the number of
    /// that attempt; false where there is none, and the answer is to be broken off.
    fn stay(&mut self) -> bool {
        let Ok(Order::Send(send)) = self.orders.try_recv() else {
            return false;
        };
        let Source { request, .. } = self.source;
        let attempt = send.attempt;
        let number = attempt.0;
        log::info!("stream: box_id={request} attempt={number} is not sent: an answer had begun");
        self.source.attempt = attempt;
        self.core.tell(Event::Begun { request, attempt });
        true
    }

    /// What of it may be passed on next; none at the end.
    pub(crate) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        loop {
            if self.done {
                return Poll::Ready(None);
            }
            if self.moving {
                match ready!(self.poll_move(cx)) {
                    Onward::Goes => {}
                    Onward::Whole => return Poll::Ready(self.finish().map(Ok)),
                    Onward::Nowhere => {
                        self.end(false);
                        return Poll::Ready(Some(Err(Cut)));
                    }
                }
            }
            let next = match ready!(self.poll_piece(cx)) {
                Piece::Data(bytes) => self.data(bytes).map(Ok),
                Piece::End if self.delimiter.is_close() && self.is_stopping() => {
                    self.leave();
                    if !self.set_off() {
                        let Source { request, attempt } = self.source;
                        self.core.tell(Event::Closed { request, attempt });
                    }
                    None
                }
                Piece::End => self.finish().map(Ok),
                Piece::Cut if self.resume.as_ref().is_some_and(|r| r.outlives_cut()) => {
                    self.leave();
                    if !self.set_off() {
                        let Source { request, attempt } = self.source;
                        self.core.tell(Event::Broke { request, attempt });
                    }
                    None
                }
                Piece::Left => {
                    self.leave();
                    self.set_off();
                    None
                }
                Piece::Cut | Piece::Stopped => {
                    self.end(false);
                    Some(Err(Cut))
                }
            };
            if next.is_some() {
                return Poll::Ready(next);
            }
        }
    }

    /// The part of `bytes` that may be passed on now.
    fn data(&mut self, bytes: Bytes) -> Option<Bytes> {
        if self.incoming.is_end_stream() {
            // Nobody asks again for a body whose length is told.
            self.end(true);
            return Some(bytes);
        }
        let Some(resume) = &mut self.resume else {
            return Some(bytes);
        };
        Some(resume.events.push(bytes)).filter(|whole| !whole.is_empty())
    }

    /// Leaves the place that brought the stream; the reducer says where it goes on.
    fn leave(&mut self) {
        self.lease = None;
        self.moving = true;
    }

    /// Goes on at another place, or finds out that there is none or no need.
    fn poll_move(&mut self, cx: &mut Context<'_>) -> Poll<Onward> {
        let Some(resume) = &mut self.resume else {
            return Poll::Ready(Onward::Nowhere);
        };
        let request = self.source.request;
        loop {
            match self.orders.poll_recv(cx) {
                Poll::Ready(Some(Order::Send(send))) => {
                    self.source.attempt = send.attempt;
                    self.pulse = resume.start(*send);
                    continue;
                }
                Poll::Ready(Some(Order::Abort | Order::Leave)) => {
                    resume.abort();
                    continue;
                }
                Poll::Ready(Some(Order::Stopping)) => continue,
                Poll::Ready(Some(Order::Close)) => return Poll::Ready(Onward::Whole),
                Poll::Ready(_) => return Poll::Ready(Onward::Nowhere),
                Poll::Pending => {}
            }
            let attempt = self.source.attempt;
            match ready!(resume.poll(cx)) {
                Next::Found(found) => {
                    self.core.tell(Event::Begun { request, attempt });
                    self.delimiter = found.delimiter;
                    self.incoming = found.response.into_body();
                    self.lease = Some(found.lease);
                    let now = Moment::now();
                    if let Some(pulse) = &mut self.pulse {
                        pulse.begin(now);
                    }
                    self.stall.as_mut().reset(Instant::now() + STALL);
                    self.moving = false;
                    return Poll::Ready(Onward::Goes);
                }
                Next::Missed(verdict, cause) => self.core.tell(Event::Failed {
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
            self.core.tell(Event::Gone(self.source.request));
        }
    }
}
