//! Each caller's share of requests: a token bucket a caller, at every box.

use std::collections::HashMap;

use crate::{
    id::Caller,
    unit::{Millis, Rate, Time},
};

/// Seconds of its rate that a caller may use at once.
const BURST_SECONDS: f64 = 2.0;
/// A bucket unused for this long is full again and is dropped.
const IDLE: Millis = Millis(60_000);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    at: Time,
}

/// The buckets of one box.
#[derive(Debug, Default)]
pub struct Limiter {
    buckets: HashMap<Caller, Bucket>,
}

impl Limiter {
    /// Takes one token, or says how long until there is one.
    ///
    /// `rate` is the caller's for the region, `boxes` the ready boxes that share it.
    pub fn take(
        &mut self,
        caller: &Caller,
        rate: Rate,
        boxes: usize,
        now: Time,
    ) -> Result<(), Millis> {
        let rate = rate.0 / boxes.max(1) as f64;
        let most = (rate * BURST_SECONDS).max(1.0);
        let full = Bucket {
            tokens: most,
            at: now,
        };
        let bucket = self.buckets.entry(caller.clone()).or_insert(full);
        let seconds = now.since(bucket.at).0 as f64 / 1000.0;
        bucket.tokens = (bucket.tokens + seconds * rate).min(most);
        bucket.at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - bucket.tokens) / rate * 1000.0;
        Err(Millis(wait.ceil() as u64))
    }

    /// Drops the buckets that nobody used for a while.
    pub fn sweep(&mut self, now: Time) {
        self.buckets.retain(|_, b| now.since(b.at) < IDLE);
    }
}
