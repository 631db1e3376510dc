//! What marks the end of an answer's body.

use std::fmt;

use hyper::{
    Response,
    body::Body,
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};

use crate::gateway::events::Scanner;

const EVENT_STREAM: &str = "text/event-stream";

/// What marks the end of a body (RFC 9112, section 6.3).
#[derive(Debug)]
pub(crate) enum Delimiter {
    /// A length or a last chunk; the HTTP library tells a cut from the end.
    Framed,
    /// The close of the connection.
    Close,
    /// The close of the connection, behind a stream of events.
    Events(Scanner),
}

impl Delimiter {
    /// What `response` announces.
    pub(crate) fn of<B: Body>(response: &Response<B>) -> Self {
        let headers = response.headers();
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

    /// Takes note of the next bytes of the body.
    pub(crate) fn note(&mut self, bytes: &[u8]) {
        if let Self::Events(scanner) = self {
            scanner.push(bytes);
        }
    }

    /// Whether a body that ends here without an error is whole. A reset is such an error, as is an
    /// end before the length or the last chunk.
    pub(crate) fn is_whole(&self) -> bool {
        match self {
            Self::Framed | Self::Close => true,
            Self::Events(scanner) => scanner.is_whole(),
        }
    }

    /// Whether the body ends with its connection.
    pub(crate) fn is_close(&self) -> bool {
        !matches!(self, Self::Framed)
    }
}

impl fmt::Display for Delimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Framed => f.write_str("by=framing"),
            Self::Close => f.write_str("by=close"),
            Self::Events(scanner) => {
                let (events, inside) = (scanner.events(), scanner.is_inside());
                write!(f, "by=close events={events} inside_event={inside}")
            }
        }
    }
}
