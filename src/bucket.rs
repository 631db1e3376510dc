//! A token bucket.

use crate::unit::{Rate, Time};

/// A token bucket whose rate and capacity are passed with each call.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    updated: Time,
}

impl Bucket {
    /// Creates a bucket with this many tokens at `now`.
    pub fn new(tokens: f64, now: Time) -> Self {
        Self {
            tokens,
            updated: now,
        }
    }

    /// Returns the tokens at `now`, refilled at `rate` and limited to `capacity`.
    pub fn tokens(&self, rate: Rate, capacity: f64, now: Time) -> f64 {
        let earned = now.since(self.updated).0 as f64 / 1000.0 * rate.0;
        (self.tokens + earned).min(capacity)
    }

    /// Removes one token; the level may become negative.
    pub fn take(&mut self, rate: Rate, capacity: f64, now: Time) {
        self.tokens = self.tokens(rate, capacity, now) - 1.0;
        self.updated = now;
    }
}
