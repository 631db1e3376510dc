//! Idempotency keys that name the only box that may run them.
//!
//! A pin is created by "ask" and starts every key of a request that may not be repeated. It names
//! the listener and the incarnation of a box, and expires by that box's own clock, so that
//! at-most-once execution depends on no membership view, clock synchronization, lease or store
//! (docs/design/at-most-once.md).

use std::{fmt, net::SocketAddr};

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD as BASE64};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::{
    id::Incarnation,
    settings::Secret,
    sign,
    unit::{Millis, Time},
};

/// How long a new pin may be used.
pub const PIN_LIFETIME: Millis = Millis(600_000);
/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
const TAG: usize = 12;
const PURPOSE: &str = "pin";
const MARK: char = '~';

/// The only box that may run a key, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The box's listener for other boxes.
    pub peer: SocketAddr,
    /// The incarnation of the box.
    pub incarnation: Incarnation,
    /// The expiry, by the named box's own clock.
    pub expiry: Time,
}

/// Why a key names no box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The key does not begin with a pin: no box ever ran it.
    Malformed,
    /// The pin was signed with another secret: a box with that secret may have run the key.
    WrongSecret,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the idempotency key does not begin with a key prefix from ask",
            Self::WrongSecret => "the key prefix was signed with another secret",
        })
    }
}

impl std::error::Error for Error {}

impl Pin {
    /// Returns the text of the pin, with which a key begins.
    pub fn prefix(&self, secret: &Secret) -> String {
        let body = postcard::to_stdvec(self).expect("a pin always encodes");
        let sealed = sign::append_tag(secret, PURPOSE, body, TAG);
        format!("{}{MARK}", BASE64.encode(sealed))
    }

    /// Reads the pin with which `key` begins, and checks its signature.
    pub fn read(secret: &Secret, key: &str) -> Result<Self, Error> {
        let (head, _) = key.split_once(MARK).ok_or(Error::Malformed)?;
        let bytes = BASE64.decode(head).map_err(|_| Error::Malformed)?;
        let (body, tag) = sign::split_tag(&bytes, TAG).ok_or(Error::Malformed)?;
        let pin = postcard::from_bytes(body).map_err(|_| Error::Malformed)?;
        if !sign::verify_tag(secret, PURPOSE, body, tag) {
            return Err(Error::WrongSecret);
        }
        Ok(pin)
    }
}

/// The hash of a whole key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Hashes `key`.
    pub fn of(key: &str) -> Self {
        let hash = Sha256::digest(key);
        let mut short = [0; 16];
        short.copy_from_slice(&hash[..16]);
        Self(short)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:016x}",
            u64::from_be_bytes(self.0[..8].try_into().expect("8 bytes"))
        )
    }
}

/// The idempotency key of one request that may not be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// The box that may run it.
    pub pin: Pin,
    /// The hash of the whole key.
    pub digest: Digest,
    /// A hash of the request itself, to detect a key that is used for two requests.
    pub content: u64,
}
