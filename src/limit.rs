//! How many requests a second a backend server says that it takes, from all boxes together.
//!
//! Load pattern: a server in need names a rate in its answers for as long as the need lasts, and goes on
//! serving. Each box hears some of its answers only, and a box that sends nothing there hears none; so what
//! one box is told goes to all boxes of its region, and each sends its share and no more.
//!
//! What is newest: a lower rate holds from the moment at which it was read. A higher one, or none, proves no
//! more than how things stood when its request was sent, since the answer may have waited in a box that stood
//! still. A server's word of an earlier life says nothing of a later one.

use crate::{
    bucket::Bucket,
    id::BoxName,
    unit::{Millis, Rate, Time},
};

/// The rate at which a server is asked that takes less, so that the end of its limit is heard: one request
/// in ten seconds, which the five that a platform lets pass beyond the limit in some seconds cover.
pub const PROBE: Rate = Rate(0.1);
/// Part of a limit that is used: boxes may disagree for a moment on who shares it.
const PART: f64 = 0.9;
/// Boxes that share a limit: these, and so many more for each request a second. Each may save up one request,
/// so a server that takes N a second gets at most 5.6 N + 2 in four seconds, where 6 N + 5 may pass.
const SENDERS: usize = 2;
const SENDERS_MORE: f64 = 2.0;
/// What a box saves up of its share, and one request at least. With a tenth of this three boxes used 0.53 of
/// 20 a second where 24 came at random, and 0.90 with it (`measure limits`).
const SAVED: Millis = Millis(1000);
/// Time between two messages to the others on one server, for one whose limit changes with each answer.
const TELL_AGAIN: Millis = Millis(1000);

/// What one answer of a backend server says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// Nothing: it takes what its slots allow.
    Silent,
    /// It takes no more than this.
    Most(Rate),
    /// Something that is no such number: it counts as nothing.
    Unreadable,
}

impl Word {
    /// Reads the header of an answer, which may stand there several times or hold a list: the least
    /// number holds. Numbers are finite and not negative; anything else is left aside.
    pub fn read<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut fields = fields.into_iter().peekable();
        if fields.peek().is_none() {
            return Self::Silent;
        }
        let numbers = fields.flat_map(|field| field.split(|byte| *byte == b','));
        let least = numbers.filter_map(number).reduce(f64::min);
        least.map_or(Self::Unreadable, |least| Self::Most(Rate(least)))
    }

    /// The limit that it names.
    pub fn rate(self) -> Option<Rate> {
        match self {
            Self::Most(rate) => Some(rate),
            Self::Silent | Self::Unreadable => None,
        }
    }
}

fn number(text: &[u8]) -> Option<f64> {
    let number: f64 = str::from_utf8(text).ok()?.trim().parse().ok()?;
    is_rate(number).then_some(number.abs())
}

fn is_rate(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

/// How many boxes share a limit, of `boxes` that may send.
fn senders(rate: Rate, boxes: usize) -> usize {
    boxes.min(SENDERS.saturating_add((SENDERS_MORE * rate.0) as usize))
}

/// A box's part of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// What it may send.
    pub rate: Rate,
    /// The part of a request that it has saved up at first, so that the boxes' requests come one after the
    /// other and not all at once.
    pub start: f64,
}

/// The share of the box with this rank among those that may send.
pub fn share(rate: Rate, rank: usize, boxes: usize) -> Share {
    let senders = senders(rate, boxes);
    if rank >= senders {
        return Share::default();
    }
    Share {
        rate: Rate((PART * rate.0).max(PROBE.0) / senders as f64),
        start: rank as f64 / senders as f64,
    }
}

/// What another box's word on a server's limit was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Worth {
    /// It changes what this box believes.
    News,
    /// This box knew as much.
    Known,
    /// This box knows better.
    Old,
}

/// What a box believes of one backend server's limit, and what it does about it.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    /// What the server takes of all boxes; none where it names nothing.
    rate: Option<Rate>,
    /// The moment that this speaks of; none before it named anything.
    at: Option<Time>,
    /// The box that told it; none where this one was told by the server.
    teller: Option<BoxName>,
    /// Whether the server's last word could not be read.
    unreadable: bool,
    /// What this box may send.
    share: Rate,
    saved: Option<Bucket>,
    /// Whether the other boxes are to hear of a change, and when they last did.
    untold: bool,
    told: Option<Time>,
}

/// Whether `new` lets more through than `old`.
fn is_looser(new: Option<Rate>, old: Option<Rate>) -> bool {
    match (new, old) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(new), Some(old)) => new > old,
    }
}

impl Limit {
    /// What the server takes of all boxes, where it says so.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// The moment that this speaks of; none before the server named anything.
    pub fn at(&self) -> Option<Time> {
        self.at
    }

    /// The box that told it; none where this one was told by the server.
    pub fn teller(&self) -> Option<&BoxName> {
        self.teller.as_ref()
    }

    /// Whether `rate` would let more through.
    pub fn is_loosened_by(&self, rate: Option<Rate>) -> bool {
        is_looser(rate, self.rate)
    }

    /// What this box may send.
    pub fn share(&self) -> Rate {
        self.share
    }

    /// Takes what an answer says to a request that was sent at `sent`; true where that is news.
    pub fn hear(&mut self, word: Word, sent: Time, now: Time) -> bool {
        let unreadable = word == Word::Unreadable;
        let odd = unreadable && !self.unreadable;
        self.unreadable = unreadable;
        let rate = word.rate();
        let stamp = match rate {
            Some(_) if !self.is_loosened_by(rate) => now,
            _ => sent,
        };
        let loosened = self.is_loosened_by(rate);
        if self
            .at
            .is_some_and(|at| stamp < at || stamp == at && loosened)
        {
            return odd;
        }
        let news = self.believe(rate, stamp);
        self.teller = None;
        self.untold |= news;
        news || odd
    }

    /// Takes what `teller` says of the moment `at`.
    pub fn learn(&mut self, rate: Option<Rate>, at: Time, teller: &BoxName) -> Worth {
        if rate.is_some_and(|rate| !is_rate(rate.0)) {
            return Worth::Known;
        }
        let newer = match self.at {
            None => rate.is_some(),
            Some(mine) => at > mine || at == mine && is_looser(self.rate, rate),
        };
        if !newer {
            return match self.rate == rate {
                true => Worth::Known,
                false => Worth::Old,
            };
        }
        if !self.believe(rate, at) {
            return Worth::Known;
        }
        self.teller = Some(teller.clone());
        Worth::News
    }

    /// Takes over what holds at `at`; true where it is another rate than before.
    fn believe(&mut self, rate: Option<Rate>, at: Time) -> bool {
        let news = self.rate != rate;
        match (self.rate, rate) {
            (None, _) => {
                self.share = Rate(0.0);
                self.saved = None;
            }
            // The next look finds the share of the new limit; until then a lower one holds as well.
            (Some(old), Some(new)) if new < old => self.share.0 *= new.0 / old.0,
            _ => {}
        }
        self.rate = rate;
        self.at = Some(at);
        news
    }

    /// Takes over this box's share.
    pub fn split(&mut self, share: Share, now: Time) {
        self.saved.get_or_insert(Bucket::new(share.start, now));
        self.share = share.rate;
    }

    fn most(&self) -> f64 {
        (self.share.0 * SAVED.0 as f64 / 1000.0).max(1.0)
    }

    fn saved(&self, now: Time) -> f64 {
        let saved = self.saved.as_ref();
        saved.map_or(0.0, |saved| saved.saved(self.share, self.most(), now))
    }

    /// How long a request waits here for its turn behind `ahead` others; none where this box sends
    /// nothing there.
    pub fn wait(&self, ahead: f64, now: Time) -> Option<Millis> {
        if self.rate.is_none() {
            return Some(Millis(0));
        }
        if self.share.0 <= 0.0 {
            return None;
        }
        let saved = self.saved(now);
        if saved >= 1.0 {
            return Some(Millis(0));
        }
        let seconds = (1.0 - saved + ahead) / self.share.0;
        Some(Millis((seconds * 1000.0).ceil() as u64))
    }

    /// Counts a request that goes there.
    pub fn spend(&mut self, now: Time) {
        let (share, most) = (self.share, self.most());
        if self.rate.is_some()
            && let Some(saved) = &mut self.saved
        {
            saved.spend(share, most, now);
        }
    }

    /// Whether the others are to be told now of what changed.
    pub fn tell(&mut self, now: Time) -> bool {
        let due = self.told.is_none_or(|at| now.since(at) >= TELL_AGAIN);
        let tell = self.untold && due;
        if tell {
            self.untold = false;
            self.told = Some(now);
        }
        tell
    }

    /// Slots that stand for the limit where answers take `whole`: what runs at once at that rate.
    pub fn slots(&self, slots: u32, whole: Millis) -> u32 {
        let Some(rate) = self.rate else {
            return slots;
        };
        let running = rate.0 * whole.0 as f64 / 1000.0;
        slots.min(running as u32)
    }
}
