//! How the end of a response body is recognized.

use std::fmt;

use bytes::Bytes;
use hyper::{
    Response,
    body::Body,
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};

use crate::gateway::{
    events::Scanner,
    head,
    records::{Gap, Reader},
};

const EVENT_STREAM: &str = "text/event-stream";

/// How the end of a body is marked (RFC 9112, section 6.3).
#[derive(Debug)]
pub(crate) enum Delimiter {
    /// A `Content-Length` or a last chunk; the HTTP library reports truncation.
    Framed,
    /// The close of the connection.
    Close,
    /// The close of the connection, after a stream of events.
    Events(Scanner),
    /// The end record of a body from another box.
    Records(Reader),
}

/// The kind of peer that sends a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sender {
    Backend,
    Box,
}

impl Delimiter {
    /// Determines the delimiter from the head of `response`.
    pub(crate) fn of<B: Body>(response: &Response<B>, sender: Sender) -> Self {
        let headers = response.headers();
        if sender == Sender::Box && headers.contains_key(head::RECORDS) {
            return Self::Records(Reader::default());
        }
        let framed = headers.contains_key(CONTENT_LENGTH)
            || headers.contains_key(TRANSFER_ENCODING)
            || response.body().is_end_stream();
        if framed {
            return Self::Framed;
        }
        let kind = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        let kind = kind.and_then(|kind| kind.split(';').next());
        match kind.is_some_and(|kind| kind.trim().eq_ignore_ascii_case(EVENT_STREAM)) {
            true => Self::Events(Scanner::default()),
            false => Self::Close,
        }
    }

    /// Reads the next bytes and returns the part that belongs to the body and may be forwarded.
    pub(crate) fn read(&mut self, bytes: Bytes) -> Result<Bytes, Gap> {
        match self {
            Self::Framed | Self::Close => Ok(bytes),
            Self::Events(scanner) => {
                scanner.push(&bytes);
                Ok(bytes)
            }
            Self::Records(reader) => reader.read(&bytes),
        }
    }

    /// Reports whether a body that ends here without a transport error is complete. A reset is such
    /// an error, as is an end before the announced length or the last chunk.
    pub(crate) fn is_whole(&self) -> bool {
        match self {
            Self::Framed | Self::Close => true,
            Self::Events(scanner) => scanner.is_whole(),
            Self::Records(reader) => reader.is_ended(),
        }
    }

    /// Reports whether the body ends with its connection.
    pub(crate) fn is_close(&self) -> bool {
        matches!(self, Self::Close | Self::Events(_))
    }
}

impl fmt::Display for Delimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Framed => f.write_str("by=framing"),
            Self::Close => f.write_str("by=close"),
            Self::Records(reader) => write!(f, "by=records ended={}", reader.is_ended()),
            Self::Events(scanner) => {
                let (events, inside) = (scanner.events(), scanner.is_inside());
                write!(f, "by=close events={events} inside_event={inside}")
            }
        }
    }
}
