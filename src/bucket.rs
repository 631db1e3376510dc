//! A rate that is saved up between uses.

use crate::unit::{Rate, Time};

/// What is saved up of a rate that the holder of the bucket tells at each call.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    saved: f64,
    at: Time,
}

impl Bucket {
    /// A bucket with this much in it at `now`.
    pub fn new(saved: f64, now: Time) -> Self {
        Self { saved, at: now }
    }

    /// What is in it at `now`, at `rate` and at `most` so much.
    pub fn saved(&self, rate: Rate, most: f64, now: Time) -> f64 {
        let earned = now.since(self.at).0 as f64 / 1000.0 * rate.0;
        (self.saved + earned).min(most)
    }

    /// Takes one out.
    pub fn spend(&mut self, rate: Rate, most: f64, now: Time) {
        self.saved = self.saved(rate, most, now) - 1.0;
        self.at = now;
    }
}
