//! Quarantine of request contents that crash the backend servers that run them.
//!
//! A server that crashes breaks everything it was running: 12 to 62 requests broke within 5 ms, one
//! of which was the cause. A single crash is therefore never sufficient evidence. Evidence against
//! a content is that different servers crashed while running it, each soon after it had started
//! there; one complete answer clears it. Each strike names the incarnation of the server
//! that crashed, so that strikes from several boxes add up and two reports of one crash count once,
//! in any order.
//!
//! The table is bounded: when it is full, the customer with the most records loses the one with the
//! least evidence.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    fmt,
};

use serde::{Deserialize, Serialize};

use crate::{
    content::Fingerprint,
    unit::{Millis, Time},
    wire::NameHash,
};

/// Total weight at which a content is quarantined: three crashes soon after it started.
const QUARANTINE_WEIGHT: u32 = 3 * EARLY_CRASH_WEIGHT;
/// Weight of a crash before the answer began, or soon after.
const EARLY_CRASH_WEIGHT: u32 = 4;
/// Weight of a crash while the answer was long in progress: the server had run the content until
/// then without failing.
const LATE_CRASH_WEIGHT: u32 = 1;
/// An answer that began longer ago than this when its server crashed counts as long in progress.
/// Requests that crash their server did so 53 to 107 ms after they started to run.
const EARLY_CRASH_TIME: Millis = Millis(500);
/// Two crashes of one server this far apart count as two, if its name is the same for all of its
/// incarnations. The time exceeds the longest delay of a report of one crash, and is shorter than a
/// server takes to start and serve.
pub const SAME_CRASH_TIME: Millis = Millis(5000);
/// How long a content is quarantined, and how long strikes are kept: time for an operator to
/// investigate.
pub const HOLD: Millis = Millis(600_000);
/// How long a complete answer protects its content. Otherwise a content that many callers request
/// would be quarantined when several servers running it fail together.
const PROTECTION_TIME: Millis = Millis(30_000);
/// Complete answers that are remembered: about ten seconds of a busy box, 40 KB.
const MAX_PROTECTED: usize = 1024;
/// Records of all customers, about 300 KB: one crash of a server strikes up to 64 contents.
pub const MAX_MARKS: usize = 2048;
/// Records of one customer.
pub const MAX_EACH: usize = 512;
/// Quarantined contents that a box reports to others, the latest first: 16 bytes each.
pub const MAX_TOLD: usize = 32;

/// A report that a server crashed while it was running a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The content.
    pub content: Fingerprint,
    /// The incarnation of the server that crashed.
    pub life: NameHash,
    /// The weight of the crash as evidence.
    pub weight: u32,
}

/// Returns the weight of a crash for an attempt whose answer began `begun` ago; `None` if it had
/// not begun.
pub fn weight(begun: Option<Millis>) -> u32 {
    match is_early_crash(begun) {
        true => EARLY_CRASH_WEIGHT,
        false => LATE_CRASH_WEIGHT,
    }
}

/// Reports whether an answer had not begun, or only just, when its server crashed; `begun` is the
/// time since then.
pub fn is_early_crash(begun: Option<Millis>) -> bool {
    begun.is_none_or(|span| span <= EARLY_CRASH_TIME)
}

/// A quarantined content, as boxes report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The content.
    pub content: Fingerprint,
    /// The remaining time of the quarantine.
    pub left: Millis,
}

impl Held {
    /// Returns when the quarantine began.
    pub fn since(&self, now: Time) -> Time {
        Time((now + self.left).0.saturating_sub(HOLD.0))
    }
}

/// A change in the state of a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A server crashed while it was running the content.
    Struck {
        /// The content.
        content: Fingerprint,
        /// Crashes recorded so far.
        ends: usize,
    },
    /// A part of prompts explains a series of crashes.
    Explained {
        /// The part.
        part: Fingerprint,
        /// Crashes that it explains.
        crashes: usize,
        /// Contents with the part that were in flight at them.
        contents: usize,
    },
    /// The content is quarantined from now on.
    Held {
        /// The content.
        content: Fingerprint,
        /// Crashes known to this box; may be zero if another box reported the quarantine.
        ends: usize,
        /// The duration of the quarantine.
        left: Millis,
    },
    /// The evidence against the content was removed.
    Cleared {
        /// The content.
        content: Fingerprint,
        /// Whether it was quarantined.
        held: bool,
    },
}

impl Step {
    /// Reports whether the step changes which requests may run. Other steps are frequent: each
    /// crash strikes tens of contents.
    pub fn is_decision(&self) -> bool {
        match self {
            Self::Struck { .. } => false,
            Self::Explained { .. } | Self::Held { .. } => true,
            Self::Cleared { held, .. } => *held,
        }
    }

    /// Returns the name of the step in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Struck { .. } => "struck",
            Self::Explained { .. } => "explained",
            Self::Held { .. } => "held",
            Self::Cleared { .. } => "cleared",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Struck { content, ends } => write!(f, "struck content={content} ends={ends}"),
            Self::Explained {
                part,
                crashes,
                contents,
            } => write!(
                f,
                "explained part={part} crashes={crashes} contents={contents}"
            ),
            Self::Held {
                content,
                ends,
                left,
            } => write!(f, "held content={content} ends={ends} left={left}"),
            Self::Cleared { content, held } => {
                write!(f, "cleared content={content} held={held}")
            }
        }
    }
}

/// One crash of a server that was running a content.
#[derive(Clone, Copy, Debug)]
struct Crash {
    life: NameHash,
    weight: u32,
    at: Time,
}

/// The evidence against one content.
#[derive(Clone, Debug, Default)]
struct Record {
    crashes: Vec<Crash>,
    /// The end of the quarantine, if the content is quarantined.
    held_until: Option<Time>,
    /// The time of the last evidence against it, or of the end of its quarantine.
    last_evidence: Time,
}

impl Record {
    fn evidence(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.weight).sum()
    }

    /// Ends the quarantine and drops the latest crashes until the remaining weight is at least one
    /// early crash below the threshold.
    fn release(&mut self) {
        self.held_until = None;
        while self.evidence() + EARLY_CRASH_WEIGHT > QUARANTINE_WEIGHT {
            self.crashes.pop();
        }
    }
}

/// The contents that are suspected of crashing servers, as known to one box.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    protected: HashMap<Fingerprint, Time>,
    /// The contents of `answered`, in the order in which they were added.
    protected_order: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Returns the remaining time of the quarantine of `content`; `None` if it may run.
    pub fn held(&self, content: &Fingerprint, now: Time) -> Option<Millis> {
        let until = self.records.get(content)?.held_until?;
        (now < until).then(|| until.since(now))
    }

    /// Reports whether additional evidence of weight `more` would quarantine `content`.
    pub fn would_quarantine(&self, content: &Fingerprint, more: u32) -> bool {
        let evidence = self.records.get(content).map_or(0, Record::evidence);
        evidence + more >= QUARANTINE_WEIGHT
    }

    /// Reports whether `content` was answered completely within the protection time.
    pub fn has_recent_success(&self, content: &Fingerprint, now: Time) -> bool {
        let seen = self.protected.get(content);
        seen.is_some_and(|at| now.since(*at) < PROTECTION_TIME)
    }

    /// Records a crash. Returns `None` if the crash is already recorded or the content is protected
    /// by a recent complete answer.
    pub fn record_crash(&mut self, strike: Strike, now: Time) -> Option<Step> {
        let content = strike.content;
        if self.has_recent_success(&content, now) {
            return None;
        }
        let record = self.record(content, now);
        let same =
            |crash: &&Crash| crash.life == strike.life && now.since(crash.at) < SAME_CRASH_TIME;
        if record.crashes.iter().any(|crash| same(&crash)) {
            return None;
        }
        record.crashes.push(Crash {
            life: strike.life,
            weight: strike.weight.clamp(LATE_CRASH_WEIGHT, EARLY_CRASH_WEIGHT),
            at: now,
        });
        let ends = record.crashes.len();
        if record.held_until.is_some() || record.evidence() < QUARANTINE_WEIGHT {
            return Some(Step::Struck { content, ends });
        }
        record.held_until = Some(now + HOLD);
        Some(Step::Held {
            content,
            ends,
            left: HOLD,
        })
    }

    /// Applies another box's report that a content is quarantined.
    pub fn apply_report(&mut self, held: Held, now: Time) -> Option<Step> {
        let Held { content, left } = held;
        let left = left.min(HOLD);
        if left == Millis(0) || self.has_recent_success(&content, now) {
            return None;
        }
        let record = self.record(content, now);
        if record.held_until.is_some() {
            return None;
        }
        record.held_until = Some(now + left);
        let ends = record.crashes.len();
        Some(Step::Held {
            content,
            ends,
            left,
        })
    }

    /// Clears a content after a complete answer or on an operator's request. Returns `None` if
    /// there was no evidence against it.
    pub fn clear(&mut self, content: Fingerprint, now: Time) -> Option<Step> {
        if self.protected.insert(content, now).is_none() {
            self.protected_order.push_back(content);
        }
        while self.protected_order.len() > MAX_PROTECTED {
            if let Some(oldest) = self.protected_order.pop_front() {
                self.protected.remove(&oldest);
            }
        }
        let record = self.records.remove(&content)?;
        let held = record.held_until.is_some();
        Some(Step::Cleared { content, held })
    }

    /// Reports whether the quarantine of `content` has ended and nothing has shown since that it
    /// may run.
    pub fn is_on_probation(&self, content: &Fingerprint) -> bool {
        let record = self.records.get(content);
        record.is_some_and(|record| record.held_until.is_none() && record.crashes.is_empty())
    }

    /// Ends the quarantine of a part, which has no evidence of its own here.
    pub fn lift(&mut self, part: Fingerprint) -> Option<Step> {
        let held = self.records.remove(&part)?.held_until.is_some();
        Some(Step::Cleared {
            content: part,
            held,
        })
    }

    /// Drops the evidence of crashes that have another cause. Returns the quarantined contents
    /// against which too little is left.
    pub fn drop_crashes(&mut self, explained: &HashSet<NameHash>) -> Vec<Fingerprint> {
        let mut exonerated = Vec::new();
        self.records.retain(|content, record| {
            let before = record.crashes.len();
            record
                .crashes
                .retain(|crash| !explained.contains(&crash.life));
            if record.crashes.len() == before {
                return true;
            }
            let held = record.held_until.is_some();
            if held && record.evidence() < QUARANTINE_WEIGHT {
                exonerated.push(*content);
            }
            held || !record.crashes.is_empty()
        });
        exonerated.sort_unstable();
        exonerated
    }

    /// Returns the quarantined contents to report to other boxes: the latest first, evenly divided
    /// between customers.
    pub fn to_report(&self, now: Time) -> Vec<Held> {
        let mut held = self.all_held(now);
        held.sort_by_key(|held| (std::cmp::Reverse(held.left), held.content));
        let mut counts: HashMap<NameHash, usize> = HashMap::new();
        let mut ranked: Vec<(usize, Held)> = Vec::with_capacity(held.len());
        for held in held {
            let rank = counts.entry(held.content.owner).or_default();
            ranked.push((*rank, held));
            *rank += 1;
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.truncate(MAX_TOLD);
        ranked.into_iter().map(|(_, held)| held).collect()
    }

    /// Returns all quarantined contents.
    pub fn all_held(&self, now: Time) -> Vec<Held> {
        let held = self.records.keys().filter_map(|content| {
            let left = self.held(content, now)?;
            Some(Held {
                content: *content,
                left,
            })
        });
        held.collect()
    }

    /// Ends quarantines that have expired, and removes old records.
    pub fn sweep(&mut self, now: Time) {
        self.records.retain(|_, record| {
            if record.held_until.is_some_and(|until| until <= now) {
                record.release();
                record.last_evidence = now;
            }
            record.held_until.is_some() || now.since(record.last_evidence) < HOLD
        });
    }

    /// Returns the record of `content`, after making room for it if it is new.
    fn record(&mut self, content: Fingerprint, now: Time) -> &mut Record {
        if !self.records.contains_key(&content) {
            self.make_room(content.owner);
        }
        let record = self.records.entry(content).or_default();
        record.last_evidence = now;
        record
    }

    /// Makes room for one more record of `owner`.
    fn make_room(&mut self, owner: NameHash) {
        let same_owner = |c: &&Fingerprint| c.owner == owner;
        if self.records.keys().filter(same_owner).count() >= MAX_EACH {
            self.remove_weakest(owner);
        } else if self.records.len() >= MAX_MARKS {
            let mut counts: HashMap<NameHash, usize> = HashMap::new();
            for content in self.records.keys() {
                *counts.entry(content.owner).or_default() += 1;
            }
            let most = counts
                .into_iter()
                .max_by_key(|(name, count)| (*count, *name));
            if let Some((most, _)) = most {
                self.remove_weakest(most);
            }
        }
    }

    /// Removes the record of `owner` with the least evidence: those not quarantined first, then
    /// by weight, then by the time of the last evidence.
    fn remove_weakest(&mut self, owner: NameHash) {
        let records = self.records.iter().filter(|(c, _)| c.owner == owner);
        let weakest = records.min_by_key(|(content, record)| {
            (
                record.held_until,
                record.evidence(),
                record.last_evidence,
                **content,
            )
        });
        if let Some(weakest) = weakest.map(|(content, _)| *content) {
            self.records.remove(&weakest);
        }
    }
}
