//! The identity of a request's content, independent of its sender and its request id.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{id, memory::prompt::Part, settings::Secret, sign, wire::NameHash};

/// Domain separator of the hash: a hash of the same bytes for another purpose differs.
const PURPOSE: &str = "content";

/// A keyed hash of a request's method, host, target and body. Without the secret shared by the
/// boxes, nobody can construct another request with the same hash.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Content(pub u64);

impl Content {
    /// Hashes a request.
    pub fn of(secret: &Secret, method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let length = |part: &str| (part.len() as u32).to_le_bytes();
        let [method_length, host_length, target_length] = [method, host, target].map(length);
        let parts: [&[u8]; 7] = [
            &method_length,
            method.as_bytes(),
            &host_length,
            host.as_bytes(),
            &target_length,
            target.as_bytes(),
            body,
        ];
        Self(sign::hash(secret, PURPOSE, &parts))
    }
}

/// What is held back or suspected, the same at every box: a content requested by a customer, or a
/// part of prompts of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// The customer, or the service.
    pub owner: NameHash,
    /// The content of the request, or the identity of the part.
    pub content: Content,
}

impl Fingerprint {
    /// Creates the fingerprint of a content requested by `customer`.
    pub fn new(customer: &id::Customer, content: Content) -> Self {
        Self {
            owner: NameHash::of(customer.as_str()),
            content,
        }
    }

    /// Creates the fingerprint of a part of prompts of `service`.
    pub fn of_part(service: &id::Service, part: &Part) -> Self {
        Self {
            owner: NameHash::of(service.as_str()),
            content: Content(part.id),
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}-{:016x}", self.owner.0, self.content.0)
    }
}

impl std::str::FromStr for Fingerprint {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "expected two hexadecimal numbers with a dash between, as in the log";
        let (owner, content) = text.split_once('-').ok_or(expected)?;
        let owner = u32::from_str_radix(owner, 16).map_err(|_| expected)?;
        let content = u64::from_str_radix(content, 16).map_err(|_| expected)?;
        Ok(Self {
            owner: NameHash(owner),
            content: Content(content),
        })
    }
}
