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

use crate::{
    size::Link,
    unit::{Bytes, Millis},
};

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
