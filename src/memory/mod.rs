//! Prompt caches of model engines, and the transfer of their contents between engines.
//!
//! | module | contents |
//! |---|---|
//! | [`prompt`] | what a caller states about its prompt |
//! | [`cache`] | which engines have which prompt parts cached |
//! | [`report`] | cache reports of engines |
//! | [`transfer`] | transfer of a run's memory to another engine |

pub mod cache;
pub mod prompt;
pub mod report;
pub mod transfer;

use crate::{
    size::Link,
    unit::{Bytes, Millis},
};

/// Memory-related properties of the engines of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    /// Memory capacity in tokens.
    pub tokens: u64,
    /// Memory per token, if known; zero otherwise.
    pub token_size: Bytes,
    /// Transfer speed between engines; `None` if memory cannot be transferred.
    pub link: Option<Link>,
    /// Whether a running request can be moved to another engine.
    pub moves: bool,
    /// Whether the memory of a running request can be replicated to another engine as it grows.
    pub backups: bool,
    /// Maximum number of concurrent watchers of an engine's cache; zero if it does not report its
    /// cache.
    pub watchers: u32,
    /// Maximum time for which an engine reserves a slot for a later request.
    pub hold: Millis,
    /// How long an engine keeps an unused copy.
    pub handle: Millis,
}

impl Engine {
    /// Returns how long it takes to transfer `tokens` from one engine to another; `None` if that is
    /// not possible.
    pub fn transfer(&self, tokens: u32) -> Option<Millis> {
        let Link(speed) = self.link?;
        let bits = f64::from(tokens) * self.token_size.0 as f64 * 8.0;
        let millis = bits / (speed * 1000.0);
        Some(TRANSFER_SETUP + Millis(millis.ceil() as u64))
    }
}

/// Fixed part of the duration of a transfer: the two engines negotiate it first.
const TRANSFER_SETUP: Millis = Millis(4);
