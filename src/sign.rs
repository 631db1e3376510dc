//! Short signatures with the secret that all boxes share.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::settings::Secret;

fn mac(secret: &Secret, purpose: &str, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any key length");
    mac.update(purpose.as_bytes());
    mac.update(&[0]);
    mac.update(body);
    mac
}

/// Puts a signature of `length` bytes behind `body`; one purpose's does not pass for another's.
pub(crate) fn seal(secret: &Secret, purpose: &str, mut body: Vec<u8>, length: usize) -> Vec<u8> {
    let tag = mac(secret, purpose, &body).finalize().into_bytes();
    body.extend_from_slice(&tag[..length]);
    body
}

/// Splits `bytes` into the body and its signature of `length` bytes; none where it is too short.
pub(crate) fn split(bytes: &[u8], length: usize) -> Option<(&[u8], &[u8])> {
    bytes.split_at_checked(bytes.len().checked_sub(length)?)
}

/// Whether `tag` signs `body`, compared in constant time.
pub(crate) fn holds(secret: &Secret, purpose: &str, body: &[u8], tag: &[u8]) -> bool {
    mac(secret, purpose, body)
        .verify_truncated_left(tag)
        .is_ok()
}
