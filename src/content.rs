//! What a request asks for, whoever sends it again and under whatever id.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{id, settings::Secret, sign, wire::Short};

/// What the hash is made for; another purpose's hash of the same bytes differs.
const PURPOSE: &str = "content";

/// A keyed hash of a request's method, target and body: without the boxes' secret nobody can make
/// another request that looks alike.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Content(pub u64);

impl Content {
    /// The hash of a request.
    pub fn of(secret: &Secret, method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let ends = |part: &str| (part.len() as u32).to_le_bytes();
        let [method_end, host_end, target_end] = [method, host, target].map(ends);
        let parts: [&[u8]; 7] = [
            &method_end,
            method.as_bytes(),
            &host_end,
            host.as_bytes(),
            &target_end,
            target.as_bytes(),
            body,
        ];
        Self(sign::hash(secret, PURPOSE, &parts))
    }
}

/// A customer's request, whichever box it comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// The customer.
    pub customer: Short,
    /// What it asks for.
    pub content: Content,
}

impl Fingerprint {
    /// The fingerprint of what `customer` asks for.
    pub fn new(customer: &id::Customer, content: Content) -> Self {
        Self {
            customer: Short::of(customer.as_str()),
            content,
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}-{:016x}", self.customer.0, self.content.0)
    }
}

impl std::str::FromStr for Fingerprint {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "expected two hexadecimal numbers with a dash between, as in the log";
        let (customer, content) = text.split_once('-').ok_or(expected)?;
        let customer = u32::from_str_radix(customer, 16).map_err(|_| expected)?;
        let content = u64::from_str_radix(content, 16).map_err(|_| expected)?;
        Ok(Self {
            customer: Short(customer),
            content: Content(content),
        })
    }
}
