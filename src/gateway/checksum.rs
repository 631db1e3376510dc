//! A check of the head of an answer between boxes.

use std::{fmt, str::FromStr};

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, DATE, HeaderName, HeaderValue, TRANSFER_ENCODING},
};
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::head;

/// Headers that the HTTP library sets or changes after the check was made.
const LEFT_OUT: [HeaderName; 3] = [CONNECTION, DATE, TRANSFER_ENCODING];

/// A check of a status and of all headers, in whatever order they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checksum(u64);

impl Checksum {
    /// The check of this head.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        let counted = |name: &HeaderName| *name != head::CHECK && !LEFT_OUT.contains(name);
        let fields = headers.iter().filter(|(name, _)| counted(name));
        let sum = fields.fold(u64::from(status.as_u16()), |sum, (name, value)| {
            sum.wrapping_add(field(name, value))
        });
        Self(sum)
    }

    /// Whether the head of `response` came as it was sent.
    pub fn holds<B>(response: &Response<B>) -> bool {
        let headers = response.headers();
        let told = headers.get(head::CHECK).and_then(|v| v.to_str().ok());
        let told = told.and_then(|told| told.parse().ok());
        told == Some(Self::of(response.status(), headers))
    }

    /// Adds the check to `response`, and the length of its body where that is known.
    pub fn add<B: hyper::body::Body>(response: &mut Response<B>) {
        if let Some(length) = response.body().size_hint().exact() {
            let length = HeaderValue::from(length);
            response.headers_mut().insert(CONTENT_LENGTH, length);
        }
        let check = Self::of(response.status(), response.headers());
        response
            .headers_mut()
            .insert(head::CHECK, head::value(check));
    }
}

fn field(name: &HeaderName, value: &HeaderValue) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(name.as_str().as_bytes());
    hash.update(b":");
    hash.update(value.as_bytes());
    hash.digest()
}

impl fmt::Display for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Checksum {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
