//! Rate limits that backend servers announce, in requests per second over all boxes.
//!
//! Load pattern: an overloaded server announces a rate in its answers for as long as the overload
//! lasts, and continues to serve. Each box sees only some of these answers, and a box that sends
//! nothing to the server sees none; so a limit seen by one box is reported to all boxes of its
//! region, and each box sends no more than its share.
//!
//! Ordering: a lower rate takes effect at the time its answer was read. A higher rate, or none,
//! only reflects the server's state when the request was sent, since the answer may have waited in
//! a box that was suspended. A limit announced by an earlier incarnation of a server does not apply
//! to a later one.

use crate::{
    bucket::Bucket,
    id::BoxName,
    unit::{Millis, Rate, Time},
};

/// Lowest rate at which the boxes together send to a server with a limit, so that they notice when
/// the limit ends: one request in ten seconds. The five requests above the limit that the platform
/// permits within a few seconds cover it.
pub const PROBE_RATE: Rate = Rate(0.1);
/// Part of a limit that is used, since boxes may briefly disagree on which of them share it.
const USED_SHARE: f64 = 0.9;
/// Number of boxes that share a limit: a fixed number, and more for each request per second of the
/// limit. Each may accumulate one request, so a server with a limit of N per second receives at
/// most 5.6 N + 2 in four seconds, where 6 N + 5 are permitted.
const MIN_SENDERS: usize = 2;
const SENDERS_PER_UNIT_RATE: f64 = 2.0;
/// Time over which a box accumulates unused parts of its share; the capacity is at least one
/// request. With a tenth of this time, three boxes used 0.53 of a limit of 20 per second under
/// random arrivals at 24 per second, and 0.90 with it (`measure limits`).
const ACCUMULATION_TIME: Millis = Millis(1000);
/// Minimum interval between two reports to other boxes about one server, for a server whose limit
/// changes with each answer.
const REPORT_INTERVAL: Millis = Millis(1000);

/// The limit announced in one answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Announcement {
    /// No limit is announced: the server takes as many requests as it has slots.
    Absent,
    /// The maximum rate that the server takes.
    Rate(Rate),
    /// The header is not a valid rate and is ignored.
    Unreadable,
}

impl Announcement {
    /// Reads the header of an answer. The header may be repeated or hold a list; the lowest valid
    /// number applies. Numbers must be finite and not negative; others are ignored.
    pub fn read<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut fields = fields.into_iter().peekable();
        if fields.peek().is_none() {
            return Self::Absent;
        }
        let rates = fields.flat_map(|field| field.split(|byte| *byte == b','));
        let lowest = rates.filter_map(parse_rate).reduce(f64::min);
        lowest.map_or(Self::Unreadable, |lowest| Self::Rate(Rate(lowest)))
    }

    /// Returns the announced rate, if any.
    pub fn rate(self) -> Option<Rate> {
        match self {
            Self::Rate(rate) => Some(rate),
            Self::Absent | Self::Unreadable => None,
        }
    }
}

fn parse_rate(text: &[u8]) -> Option<f64> {
    let rate: f64 = str::from_utf8(text).ok()?.trim().parse().ok()?;
    is_valid_rate(rate).then_some(rate.abs())
}

fn is_valid_rate(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}

/// Returns the number of boxes that share a limit, out of `boxes` that may send.
fn senders(rate: Rate, boxes: usize) -> usize {
    boxes.min(MIN_SENDERS.saturating_add((SENDERS_PER_UNIT_RATE * rate.0) as usize))
}

/// One box's share of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// The rate at which the box may send.
    pub rate: Rate,
    /// The part of a request with which the box's bucket starts. It differs between boxes, so that
    /// their requests are spread over time instead of sent all at once.
    pub start: f64,
}

/// Returns the share of the box with this rank among the boxes that may send.
pub fn share(rate: Rate, rank: usize, boxes: usize) -> Share {
    let senders = senders(rate, boxes);
    if rank >= senders {
        return Share::default();
    }
    Share {
        rate: Rate((USED_SHARE * rate.0).max(PROBE_RATE.0) / senders as f64),
        start: rank as f64 / senders as f64,
    }
}

/// The effect of another box's report of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The report changed the limit known to this box.
    Newer,
    /// The report agrees with the limit known to this box.
    Same,
    /// The report is out of date: this box has a newer limit.
    Older,
}

/// The state of one backend server's rate limit at this box.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    /// The limit over all boxes; `None` if the server announces none.
    rate: Option<Rate>,
    /// The time to which `rate` applies; `None` before any limit was announced.
    at: Option<Time>,
    /// The box that reported the limit; `None` if this box read it from an answer itself.
    teller: Option<BoxName>,
    /// Whether the last announcement was unreadable.
    unreadable: bool,
    /// The rate at which this box may send.
    share: Rate,
    bucket: Option<Bucket>,
    /// Whether a change has yet to be reported to other boxes, and when one was last reported.
    unreported: bool,
    reported_at: Option<Time>,
}

/// Reports whether `new` permits more than `old`.
fn is_looser(new: Option<Rate>, old: Option<Rate>) -> bool {
    match (new, old) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(new), Some(old)) => new > old,
    }
}

impl Limit {
    /// Returns the limit over all boxes, if the server announces one.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns the time to which the limit applies; `None` before any limit was announced.
    pub fn effective_at(&self) -> Option<Time> {
        self.at
    }

    /// Returns the box that reported the limit; `None` if this box read it from an answer itself.
    pub fn reporter(&self) -> Option<&BoxName> {
        self.teller.as_ref()
    }

    /// Reports whether `rate` would permit more than the current limit.
    pub fn is_loosened_by(&self, rate: Option<Rate>) -> bool {
        is_looser(rate, self.rate)
    }

    /// Returns the rate at which this box may send.
    pub fn share(&self) -> Rate {
        self.share
    }

    /// Applies the announcement in an answer to a request sent at `sent`. Returns true if the limit
    /// changed, or if this announcement is the first unreadable one in a row.
    pub fn apply_announcement(&mut self, announced: Announcement, sent: Time, now: Time) -> bool {
        let unreadable = announced == Announcement::Unreadable;
        let newly_unreadable = unreadable && !self.unreadable;
        self.unreadable = unreadable;
        let rate = announced.rate();
        let stamp = match rate {
            Some(_) if !self.is_loosened_by(rate) => now,
            _ => sent,
        };
        let loosened = self.is_loosened_by(rate);
        if self
            .at
            .is_some_and(|at| stamp < at || stamp == at && loosened)
        {
            return newly_unreadable;
        }
        let changed = self.set_rate(rate, stamp);
        self.teller = None;
        self.unreported |= changed;
        changed || newly_unreadable
    }

    /// Applies a limit that the box `teller` reported for the time `at`.
    pub fn apply_report(&mut self, rate: Option<Rate>, at: Time, teller: &BoxName) -> Freshness {
        if rate.is_some_and(|rate| !is_valid_rate(rate.0)) {
            return Freshness::Same;
        }
        let newer = match self.at {
            None => rate.is_some(),
            Some(own) => at > own || at == own && is_looser(self.rate, rate),
        };
        if !newer {
            return match self.rate == rate {
                true => Freshness::Same,
                false => Freshness::Older,
            };
        }
        if !self.set_rate(rate, at) {
            return Freshness::Same;
        }
        self.teller = Some(teller.clone());
        Freshness::Newer
    }

    /// Sets the limit in effect at `at`; returns true if the rate changed.
    fn set_rate(&mut self, rate: Option<Rate>, at: Time) -> bool {
        let changed = self.rate != rate;
        match (self.rate, rate) {
            (None, _) => {
                self.share = Rate(0.0);
                self.bucket = None;
            }
            // The share of the new limit is computed on the next pass; until then, the old share is
            // scaled down with the limit.
            (Some(old), Some(new)) if new < old => self.share.0 *= new.0 / old.0,
            _ => {}
        }
        self.rate = rate;
        self.at = Some(at);
        changed
    }

    /// Sets this box's share.
    pub fn set_share(&mut self, share: Share, now: Time) {
        self.bucket.get_or_insert(Bucket::new(share.start, now));
        self.share = share.rate;
    }

    fn capacity(&self) -> f64 {
        (self.share.0 * ACCUMULATION_TIME.0 as f64 / 1000.0).max(1.0)
    }

    fn tokens(&self, now: Time) -> f64 {
        let bucket = self.bucket.as_ref();
        bucket.map_or(0.0, |bucket| {
            bucket.tokens(self.share, self.capacity(), now)
        })
    }

    /// Returns how long a request has to wait here behind `ahead` others; `None` if this box sends
    /// nothing to the server.
    pub fn wait(&self, ahead: f64, now: Time) -> Option<Millis> {
        if self.rate.is_none() {
            return Some(Millis(0));
        }
        if self.share.0 <= 0.0 {
            return None;
        }
        let tokens = self.tokens(now);
        if tokens >= 1.0 {
            return Some(Millis(0));
        }
        let seconds = (1.0 - tokens + ahead) / self.share.0;
        Some(Millis((seconds * 1000.0).ceil() as u64))
    }

    /// Counts a request sent to the server.
    pub fn spend(&mut self, now: Time) {
        let (share, capacity) = (self.share, self.capacity());
        if self.rate.is_some()
            && let Some(bucket) = &mut self.bucket
        {
            bucket.take(share, capacity, now);
        }
    }

    /// Reports whether a change is due to be reported to other boxes, and marks it as reported.
    pub fn take_due_report(&mut self, now: Time) -> bool {
        let due = self
            .reported_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        let report = self.unreported && due;
        if report {
            self.unreported = false;
            self.reported_at = Some(now);
        }
        report
    }

    /// Returns the number of slots that the limit allows if an answer takes `whole`: the number of
    /// requests that run at once at that rate, but no more than `slots`.
    pub fn slots(&self, slots: u32, whole: Millis) -> u32 {
        let Some(rate) = self.rate else {
            return slots;
        };
        let concurrent = rate.0 * whole.0 as f64 / 1000.0;
        slots.min(concurrent as u32)
    }
}
