//! Truncated message authentication codes with the secret that all boxes share.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::settings::Secret;

fn keyed(secret: &Secret, purpose: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any key length");
    mac.update(purpose.as_bytes());
    mac.update(&[0]);
    mac
}

fn mac(secret: &Secret, purpose: &str, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = keyed(secret, purpose);
    mac.update(body);
    mac
}

/// Returns 64 bits of a keyed hash of the concatenated `parts`, which only a holder of the secret
/// can compute.
pub(crate) fn hash(secret: &Secret, purpose: &str, parts: &[&[u8]]) -> u64 {
    let mut mac = keyed(secret, purpose);
    for part in parts {
        mac.update(part);
    }
    let bytes = mac.finalize().into_bytes();
    let first = bytes.first_chunk().expect("a hash has 32 bytes");
    u64::from_le_bytes(*first)
}

/// Appends a tag of `length` bytes to `body`. A tag for one purpose is not valid for another.
pub(crate) fn append_tag(
    secret: &Secret,
    purpose: &str,
    mut body: Vec<u8>,
    length: usize,
) -> Vec<u8> {
    let tag = mac(secret, purpose, &body).finalize().into_bytes();
    body.extend_from_slice(&tag[..length]);
    body
}

/// Splits `bytes` into the body and its tag of `length` bytes; `None` if it is too short.
pub(crate) fn split_tag(bytes: &[u8], length: usize) -> Option<(&[u8], &[u8])> {
    bytes.split_at_checked(bytes.len().checked_sub(length)?)
}

/// Reports whether `tag` is valid for `body`; compares in constant time.
pub(crate) fn verify_tag(secret: &Secret, purpose: &str, body: &[u8], tag: &[u8]) -> bool {
    mac(secret, purpose, body)
        .verify_truncated_left(tag)
        .is_ok()
}
