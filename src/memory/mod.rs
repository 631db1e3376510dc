//! What model engines keep of the prompts that they have read, and how it gets from one to another.
//!
//! | module | what it holds |
//! |---|---|
//! | [`prompt`] | what a caller tells of its prompt |
//! | [`cache`] | which engines hold which parts of prompts |
//! | [`news`] | what engines tell of that |
//! | [`moved`] | a run's memory at another engine |

pub mod cache;
pub mod moved;
pub mod news;
pub mod prompt;

use std::{fmt, str::FromStr};

use crate::unit::{Bytes, Millis};

/// How much a link carries, in megabits a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Link(pub f64);

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbps", self.0)
    }
}

impl FromStr for Link {
    type Err = String;
    /// Reads `200Mbps` or `0.5Mbps`.
    fn from_str(text: &str) -> Result<Self, String> {
        let number = text.strip_suffix("Mbps").and_then(|n| n.parse().ok());
        let valid = number.filter(|n: &f64| n.is_finite() && *n > 0.0);
        let link = valid.map(Self);
        link.ok_or_else(|| "expected a link's speed such as 200Mbps".to_owned())
    }
}

/// The engines of one service, as far as their memory is concerned.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    /// Tokens that fit into its memory.
    pub tokens: u64,
    /// What one token of it takes, where that is known.
    pub token_size: Bytes,
    /// How fast memory gets from one engine to another; none where it does not.
    pub link: Option<Link>,
    /// Whether a running request may be moved to another engine.
    pub moves: bool,
    /// Whether the memory of a running request may be sent to another engine as it grows.
    pub backups: bool,
    /// Callers that may wait for an engine's news of its memory at the same time; zero where it tells none.
    pub watchers: u32,
    /// The longest time for which an engine keeps a place for a request that comes later.
    pub hold: Millis,
    /// How long an engine keeps a copy that nobody has used.
    pub handle: Millis,
}

impl Engine {
    /// How long it takes to move `tokens` from one engine to another, where that is possible.
    pub fn transfer(&self, tokens: u32) -> Option<Millis> {
        let Link(speed) = self.link?;
        let bits = f64::from(tokens) * self.token_size.0 as f64 * 8.0;
        let millis = bits / (speed * 1000.0);
        Some(SETUP + Millis(millis.ceil() as u64))
    }
}

/// What a transfer takes besides its bytes: the two engines agree on it first.
const SETUP: Millis = Millis(4);
