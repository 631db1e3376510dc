//! Response bodies: complete ones, streams, and bodies framed as records for another box.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::gateway::{
    records::Writer,
    stream::{Stream, Truncated},
};

/// The body of a response to a caller or another box.
pub enum Body {
    /// A body that is complete in memory.
    Whole(Option<Bytes>),
    /// A stream from the backend server or box that runs the request.
    Stream(Box<Stream>),
    /// A stream from a task that also stores the response for re-sends.
    Buffered(mpsc::Receiver<Result<Bytes, Truncated>>),
    /// A body framed as records, for another box.
    Records(Box<RecordBody>),
}

/// Encodes a body as records.
pub struct RecordBody {
    body: Body,
    writer: Writer,
    ended: bool,
}

impl RecordBody {
    fn new(body: Body) -> Self {
        Self {
            body,
            writer: Writer::default(),
            ended: false,
        }
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
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
    /// Frames a streamed body as records; a complete body is returned unchanged.
    pub(crate) fn into_records(self) -> Self {
        match self {
            Self::Stream(_) | Self::Buffered(_) => Self::Records(Box::new(RecordBody::new(self))),
            Self::Whole(_) | Self::Records(_) => self,
        }
    }

    fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        match self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(Ok)),
            Self::Stream(stream) => stream.poll_next(cx),
            Self::Buffered(receiver) => receiver.poll_recv(cx),
            Self::Records(recorded) => recorded.poll_next(cx),
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let next = ready!(self.poll_bytes(cx));
        Poll::Ready(next.map(|result| result.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Stream(_) | Self::Buffered(_) | Self::Records(_) => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.is_done(),
            Self::Buffered(_) => false,
            Self::Records(recorded) => recorded.ended,
        }
    }
}
