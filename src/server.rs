//! What this box knows of one backend server from its own traffic: work in hand, times, health.

use crate::unit::{Millis, Time};

/// Failures in a row that open the breaker.
const FAILURES: u32 = 3;
/// How long an open breaker keeps work away before one probe goes.
const OPEN: Millis = Millis(2000);
/// How long a server that refused work is left alone.
const COOL: Millis = Millis(2000);
/// How long a returned server takes to its full share.
const RAMP: Millis = Millis(10_000);
/// Share of its slots that a returned server gets at once.
const RAMP_START: f64 = 0.2;
/// Weight of a new time in the moving averages.
const ALPHA: f64 = 0.2;
/// Assumed time to the first byte before one was seen.
const FIRST_GUESS: f64 = 100.0;
/// Assumed time of a whole answer before one was seen.
const WHOLE_GUESS: f64 = 500.0;

/// Why a backend server gets no work now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
    /// It failed several times in a row.
    Broken,
    /// It said that it takes no work.
    Refusing,
}

/// One backend server as this box sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Attempts of this box that are in hand there.
    pub busy: u32,
    failures: u32,
    open_until: Option<Time>,
    probing: bool,
    cool_until: Option<Time>,
    ramp_from: Option<Time>,
    first: f64,
    whole: f64,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            busy: 0,
            failures: 0,
            open_until: None,
            probing: false,
            cool_until: None,
            ramp_from: None,
            first: FIRST_GUESS,
            whole: WHOLE_GUESS,
        }
    }
}

impl Server {
    /// Why it gets no work at `now`, where that is so.
    pub fn bar(&self, now: Time) -> Option<Bar> {
        if self.cool_until.is_some_and(|t| now < t) {
            return Some(Bar::Refusing);
        }
        let open = self.open_until?;
        (now < open || self.probing).then_some(Bar::Broken)
    }

    /// The slots it gets at `now`, out of `slots`.
    pub fn slots(&self, slots: u32, now: Time) -> u32 {
        let Some(from) = self.ramp_from else {
            return slots;
        };
        let part = now.since(from).0 as f64 / RAMP.0 as f64;
        let share = (RAMP_START + (1.0 - RAMP_START) * part).min(1.0);
        ((f64::from(slots) * share).ceil() as u32).max(1)
    }

    /// Expected time to the first byte.
    pub fn first(&self) -> Millis {
        Millis(self.first as u64)
    }

    /// Expected time of a whole answer.
    pub fn whole(&self) -> Millis {
        Millis(self.whole as u64)
    }

    /// Notes an attempt that goes there.
    pub fn start(&mut self) {
        self.busy += 1;
        self.probing = self.open_until.is_some();
    }

    /// Notes the first byte of an answer after `took`.
    pub fn begin(&mut self, took: Millis, now: Time) {
        self.first += ALPHA * (took.0 as f64 - self.first);
        self.failures = 0;
        self.probing = false;
        if self.open_until.take().is_some() {
            self.ramp_from = Some(now);
        }
    }

    /// Notes the end of an attempt; `took` is given where the answer was whole.
    pub fn end(&mut self, took: Option<Millis>) {
        self.busy = self.busy.saturating_sub(1);
        self.probing = false;
        if let Some(took) = took {
            self.whole += ALPHA * (took.0 as f64 - self.whole);
        }
    }

    /// Notes a failure of the server.
    pub fn fail(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.open_until = Some(now + OPEN);
        }
    }

    /// Notes that the server refused work.
    pub fn refuse(&mut self, now: Time) {
        self.cool_until = Some(now + COOL);
        self.ramp_from = Some(now + COOL);
    }
}
