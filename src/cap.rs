//! The number of requests that a brittle backend server is given at once, over all boxes.
//!
//! Load pattern: a brittle server falls over if it has to reject more than a few requests per second,
//! and may let fewer requests wait at any moment. Requests that it runs are safe; those that wait
//! there are not. The boxes of a region therefore keep within the slots, of which each has a share.
//!
//! The number of slots in the configuration may be wrong. If the time of an answer falls with the
//! number of requests in flight, some of them were waiting; the cap is lowered until it no longer
//! does. A rejection lowers the cap as well. It rises by small steps while it is used up and answers
//! take no longer.

use crate::unit::{Millis, Time};

/// Fewest slots from which on a part of the slots is left free, as new connections may hold one.
const MIN_SLOTS_WITH_RESERVE: u32 = 5;
/// One in this many slots is left free.
const RESERVE_DIVISOR: u32 = 10;
/// Smallest part of the configured slots that the search for the number of slots tries.
const SEARCH_DIVISOR: u32 = 4;
/// The search ends if an answer takes at least this part of the time that it took with more requests
/// in flight: none of these waited.
const UNCHANGED_RATIO: f64 = 0.9;
/// A step up is one request, or one in this many of the cap.
const STEP_DIVISOR: u32 = 8;
/// One in this many of the cap is taken away after a rejection, if the server states its slots.
const CUT_DIVISOR: u32 = 4;
/// Minimum time between two changes.
const STEP_INTERVAL: Millis = Millis(500);
/// Delay of each box behind the one whose turn it is to change a cap.
const TURN_DELAY: Millis = Millis(200);
/// Time between two tries of a step up that made answers slower.
const SLOWER_RETRY_INTERVAL: Millis = Millis(2000);
/// Maximum time between two tries of a step up that led to a rejection.
const MAX_RETRY_INTERVAL: Millis = Millis(16_000);
/// Time without requests after a rejection that no step up explains. Servers count rejections per
/// second.
const HOLD_TIME: Millis = Millis(1000);
/// Answers after a change from which the time of an answer is judged.
const MIN_SAMPLES: u32 = 4;
/// An answer takes longer than before if it takes this many times as long.
const SLOWER_RATIO: f64 = 1.15;

/// The part of a cap that boxes agree on. Of two, the one with the higher version is in force, and
/// the lower one if they have the same version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Level {
    /// Requests in flight over all boxes.
    pub limit: u32,
    /// Number of changes since the server became brittle.
    pub version: u32,
    /// Whether the search for the number of slots has ended.
    pub settled: bool,
}

/// Answers since the last change.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    count: u32,
    total_ms: f64,
}

impl Samples {
    fn mean(&self) -> Option<f64> {
        (self.count >= MIN_SAMPLES).then(|| self.total_ms / f64::from(self.count))
    }
}

/// This box's view of the cap of one backend server.
#[derive(Clone, Debug)]
pub struct Cap {
    level: Level,
    /// Requests that the server runs at once, as far as known from elsewhere.
    slots: u32,
    /// Whether the server itself states that number.
    trusted: bool,
    /// When the cap was first set.
    since: Time,
    changed_at: Time,
    /// Time after the change until answers reflect it.
    settling: Millis,
    /// Until when nothing is sent.
    held_until: Time,
    /// The cap before the last step up, if nothing has changed since.
    stepped_from: Option<u32>,
    /// Time until the next step up.
    retry_interval: Millis,
    /// When the server last rejected a request that it should have taken.
    rejected_at: Option<Time>,
    samples: Samples,
    /// The previous cap, with the mean time of an answer.
    before: Option<(u32, f64)>,
    /// Shortest mean time of an answer.
    fastest_ms: Option<f64>,
    /// Whether this box has used up its share since the last change, and requests were waiting.
    used_up: bool,
    /// Since when this box could judge the cap.
    ready_at: Option<Time>,
    /// Rank of this box among those that may send, and their number.
    rank: usize,
    boxes: usize,
    /// Requests that this box may have in flight.
    share: u32,
}

impl Cap {
    /// Sets the cap of a server with `slots` that became brittle. If the server states the number
    /// itself, it is trusted. Up to now answers took `usual_ms` with `busy` requests in flight.
    pub fn new(slots: u32, trusted: bool, busy: u32, usual_ms: f64, now: Time) -> Self {
        let limit = match trusted {
            true => Self::ceiling(slots),
            false => slots.div_ceil(2),
        };
        // Until the requests beyond the cap have ended, the server may be full.
        let drain_time = match busy > limit {
            true => HOLD_TIME.min(Millis(usual_ms as u64)),
            false => Millis(0),
        };
        Self {
            level: Level {
                limit,
                version: 0,
                settled: trusted || slots == 1,
            },
            slots,
            trusted,
            since: now,
            changed_at: now,
            settling: Millis(usual_ms as u64),
            held_until: now + drain_time,
            stepped_from: None,
            retry_interval: STEP_INTERVAL,
            rejected_at: None,
            samples: Samples::default(),
            before: Some((busy, usual_ms)),
            fastest_ms: None,
            used_up: false,
            ready_at: None,
            rank: 0,
            boxes: 1,
            share: 0,
        }
    }

    /// Returns the highest cap for a server with `slots`.
    fn ceiling(slots: u32) -> u32 {
        match slots < MIN_SLOTS_WITH_RESERVE {
            true => slots,
            false => slots - slots.div_ceil(RESERVE_DIVISOR),
        }
    }

    /// Returns the part that boxes agree on.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Returns the requests that this box may have in flight.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Returns how long nothing is sent to the server.
    pub fn hold(&self, now: Time) -> Millis {
        self.held_until.since(now)
    }

    /// Reports whether the server rejected a request within `span` that it should have taken.
    pub fn rejected_within(&self, span: Millis, now: Time) -> bool {
        self.rejected_at.is_some_and(|at| now.since(at) < span)
    }

    /// Sets this box's share as the one of this rank among `boxes`. `others` is the number of requests
    /// that the other boxes report to have in flight; a box without a share may send one while they
    /// leave most of the cap unused.
    pub fn set_share(&mut self, rank: usize, boxes: usize, others: u32) {
        let (limit, boxes) = (self.level.limit as usize, boxes.max(1));
        (self.rank, self.boxes) = (rank, boxes);
        let share = limit / boxes + usize::from(rank < limit % boxes);
        let is_idle = self.rejected_at.is_none() && others * 2 < self.level.limit;
        self.share = match share {
            0 if is_idle => 1,
            share => share as u32,
        };
    }

    /// Takes the share from a box that does not know yet which boxes send.
    pub fn clear_share(&mut self) {
        self.share = 0;
    }

    /// Records that this box has `busy` requests in flight while others are `waiting` here.
    pub fn record_use(&mut self, busy: u32, waiting: bool) {
        self.used_up |= waiting && busy >= self.share && self.share > 0;
    }

    /// Records the time to the first byte of an answer to a request that was sent at `sent`.
    pub fn record_answer(&mut self, sent: Time, took: Millis) {
        if sent >= self.changed_at + self.settling {
            self.samples.count += 1;
            self.samples.total_ms += took.0 as f64;
        }
    }

    fn set_limit(&mut self, limit: u32, settled: bool, now: Time) {
        let level = Level {
            limit: limit.max(1),
            version: self.level.version + 1,
            settled,
        };
        self.change(level, now);
    }

    fn change(&mut self, level: Level, now: Time) {
        if let Some(mean) = self.samples.mean() {
            self.before = Some((self.level.limit, mean));
            self.settling = Millis(mean as u64);
        }
        self.stepped_from = None;
        self.samples = Samples::default();
        self.used_up = false;
        self.ready_at = None;
        self.changed_at = now;
        self.level = level;
    }

    /// Applies a level that another box reported, which sends nothing for `hold`. Returns whether it
    /// replaced the one known.
    pub fn apply_report(&mut self, level: Level, hold: Millis, now: Time) -> bool {
        let (known, told) = (self.level, level);
        let is_newer = told.version > known.version
            || told.version == known.version && told.limit < known.limit;
        if !is_newer {
            return false;
        }
        if hold > Millis(0) {
            self.rejected_at = Some(now);
        }
        let stepped_up = told.settled && known.settled && told.limit > known.limit;
        self.change(level, now);
        self.stepped_from = stepped_up.then_some(known.limit);
        self.held_until = self.held_until.max(now + hold.min(HOLD_TIME));
        true
    }

    /// Lowers the cap after the server rejected a request sent at `sent`. Returns whether it did: the
    /// rejection may be older than the last change.
    pub fn reject(&mut self, sent: Time, now: Time) -> bool {
        if sent < self.changed_at {
            return false;
        }
        self.rejected_at = Some(now);
        if let Some(before) = self.stepped_from {
            let retry = Millis((self.retry_interval.0 * 2).min(MAX_RETRY_INTERVAL.0));
            self.set_limit(before, true, now);
            self.retry_interval = retry;
            return true;
        }
        let limit = self.level.limit;
        let less = match self.trusted {
            true => limit.div_ceil(CUT_DIVISOR),
            false => limit.div_ceil(2),
        };
        self.cut(limit - less, now);
        true
    }

    /// Lowers the cap to `limit` and sends nothing until requests in flight have ended.
    pub fn cut(&mut self, limit: u32, now: Time) {
        self.set_limit(limit, true, now);
        self.held_until = now + HOLD_TIME;
        self.fastest_ms = None;
        self.before = None;
    }

    /// Returns how much longer this box waits with a change than the one whose turn it is.
    fn turn_delay(&self) -> Millis {
        let turn = self.level.version as usize % self.boxes;
        let behind = (self.rank + self.boxes - turn) % self.boxes;
        Millis(TURN_DELAY.0 * behind as u64)
    }

    /// Changes the cap if it is due for this box. A step up is at most `max_step`, the number of
    /// rejections that would be tolerated. Returns whether the cap changed.
    pub fn adjust(&mut self, max_step: u32, now: Time) -> bool {
        let Some(mean) = self.samples.mean().filter(|_| self.used_up) else {
            return false;
        };
        let interval = match self.level.settled {
            true => self.retry_interval,
            false => STEP_INTERVAL,
        };
        if now < self.changed_at + interval {
            return false;
        }
        if now < *self.ready_at.get_or_insert(now) + self.turn_delay() {
            return false;
        }
        if !self.level.settled {
            self.search(mean, now);
            return true;
        }
        let fastest = self.fastest_ms.map_or(mean, |fastest| fastest.min(mean));
        self.fastest_ms = Some(fastest);
        let slower = mean > fastest * SLOWER_RATIO;
        match self.stepped_from {
            Some(before) if slower => {
                self.set_limit(before, true, now);
                self.retry_interval = SLOWER_RETRY_INTERVAL;
                true
            }
            _ if slower => false,
            _ => self.step_up(max_step, now),
        }
    }

    /// Continues the search for the number of slots, at which the time of an answer is `mean`.
    fn search(&mut self, mean: f64, now: Time) {
        let limit = self.level.limit;
        let floor = (self.slots / SEARCH_DIVISOR).max(1);
        self.fastest_ms = Some(mean);
        // Without queueing an answer takes as long as with more requests in flight. With it, the time
        // was longer by as much as those requests exceeded the slots.
        let before = self.before.filter(|(before, _)| *before > limit);
        let (before, slower) = before.unwrap_or((limit, f64::INFINITY));
        let ratio = (mean / slower).min(1.0);
        if ratio < UNCHANGED_RATIO && limit > floor {
            return self.set_limit((limit / 2).max(floor), false, now);
        }
        let slots = (f64::from(before) * ratio) as u32;
        // A box with another configuration may have set a cap beyond the ceiling.
        let limit = slots.max(limit).min(Self::ceiling(self.slots));
        self.set_limit(limit, true, now);
    }

    fn step_up(&mut self, max_step: u32, now: Time) -> bool {
        let before = self.level.limit;
        let step = (before / STEP_DIVISOR).max(1).min(max_step);
        let limit = (before + step).min(Self::ceiling(self.slots));
        if limit <= before {
            return false;
        }
        self.set_limit(limit, true, now);
        self.stepped_from = Some(before);
        true
    }

    /// Returns since when the server has been brittle.
    pub fn since(&self) -> Time {
        self.since
    }
}
