//! Bodies of answers: whole ones, streams, and the records that go to another box.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::gateway::{
    records::Writer,
    stream::{Cut, Stream},
};

/// The body of an answer to a caller.
pub enum Body {
    /// All of it is at hand.
    Whole(Option<Bytes>),
    /// It comes from the place that runs the request.
    Stream(Box<Stream>),
    /// It comes from a task that also keeps it.
    Kept(mpsc::Receiver<Result<Bytes, Cut>>),
    /// It goes to another box.
    Recorded(Box<Recorded>),
}

/// A body in records.
pub struct Recorded {
    body: Body,
    writer: Writer,
    ended: bool,
}

impl Recorded {
    fn new(body: Body) -> Self {
        Self {
            body,
            writer: Writer::default(),
            ended: false,
        }
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let next = ready!(self.body.poll_bytes(cx));
        self.ended = !matches!(next, Some(Ok(_)));
        Poll::Ready(Some(match next {
            Some(next) => next.map(|bytes| self.writer.write(&bytes)),
            None => Ok(self.writer.end()),
        }))
    }
}

impl Body {
    /// The same in records, where it comes piece by piece.
    pub(crate) fn into_records(self) -> Self {
        match self {
            Self::Stream(_) | Self::Kept(_) => Self::Recorded(Box::new(Recorded::new(self))),
            Self::Whole(_) | Self::Recorded(_) => self,
        }
    }

    fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        match self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(Ok)),
            Self::Stream(stream) => stream.poll_next(cx),
            Self::Kept(receiver) => receiver.poll_recv(cx),
            Self::Recorded(recorded) => recorded.poll_next(cx),
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let next = ready!(self.poll_bytes(cx));
        Poll::Ready(next.map(|result| result.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Stream(_) | Self::Kept(_) | Self::Recorded(_) => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.is_done(),
            Self::Kept(_) => false,
            Self::Recorded(recorded) => recorded.ended,
        }
    }
}
