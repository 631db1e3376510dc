//! Checksum of the head of a response between boxes.

use std::{fmt, str::FromStr};

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, DATE, HeaderName, HeaderValue, TRANSFER_ENCODING},
};
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::head;

/// Headers that the HTTP library sets or changes after the checksum was computed.
const EXCLUDED_HEADERS: [HeaderName; 3] = [CONNECTION, DATE, TRANSFER_ENCODING];

/// A checksum of the status and the headers of a response, independent of the order of the headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checksum(u64);

impl Checksum {
    /// Computes the checksum of a head.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        let counted = |name: &HeaderName| *name != head::CHECK && !EXCLUDED_HEADERS.contains(name);
        let fields = headers.iter().filter(|(name, _)| counted(name));
        let sum = fields.fold(u64::from(status.as_u16()), |sum, (name, value)| {
            sum.wrapping_add(hash_field(name, value))
        });
        Self(sum)
    }

    /// Reports whether the head of `response` matches the checksum that it carries.
    pub fn matches<B>(response: &Response<B>) -> bool {
        let headers = response.headers();
        let received = headers.get(head::CHECK).and_then(|v| v.to_str().ok());
        let received = received.and_then(|received| received.parse().ok());
        received == Some(Self::of(response.status(), headers))
    }

    /// Adds the checksum to `response`, and a `Content-Length` if the length of its body is known.
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

fn hash_field(name: &HeaderName, value: &HeaderValue) -> u64 {
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
