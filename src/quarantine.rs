//! Content that ends the backend servers which run it, and is held back for a while.
//!
//! A server that ends cuts off all that it ran: 12 to 62 requests were seen to break within 5 ms, of which
//! one was guilty. So no single end convicts. What speaks against a content is that different servers ended
//! under it, each soon after it had begun there; what speaks for it is one whole answer. Each strike names
//! the life of the server that ended, so that strikes from several boxes add up and two reports of one end
//! count once, whatever their order.
//!
//! The table is bounded: the oldest marks of the customer that has most of them give way.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
};

use serde::{Deserialize, Serialize};

use crate::{
    content::Fingerprint,
    unit::{Millis, Time},
    wire::Short,
};

/// Weight of evidence at which a content is held back: three ends soon after its beginning.
const PROOF: u32 = 3 * FULL;
/// Weight of an end while the answer had not begun, or just had.
const FULL: u32 = 4;
/// Weight of an end while the answer was long under way: the server had borne it so far.
const SLIGHT: u32 = 1;
/// An answer that began this long before its server ended is long under way. Deadly requests were seen
/// to end their server 53 to 107 ms after they began to run.
const YOUNG: Millis = Millis(500);
/// One server's ends this far apart are two ends, where its name does not tell its lives apart: the
/// longest time in which word of one end is late, and less than a server takes to start and serve.
const SAME_END: Millis = Millis(5000);
/// How long a content is held back, and how long strikes are remembered: an operator's time to look.
pub const HOLD: Millis = Millis(600_000);
/// How long a whole answer speaks for its content. Servers that end together under a content that many
/// callers ask for would convict it otherwise.
const ALIBI: Millis = Millis(30_000);
/// Whole answers that are remembered: about ten seconds of a busy box, 40 KB.
const MAX_ALIBIS: usize = 1024;
/// Marks of all customers, about 300 KB: one end of a server strikes up to 64 contents.
pub const MAX_MARKS: usize = 2048;
/// Marks of one customer.
pub const MAX_EACH: usize = 512;
/// Held contents that a box tells the others of, the latest first: 16 bytes each.
pub const MAX_TOLD: usize = 32;

/// A server ended while a content was in hand there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The content.
    pub content: Fingerprint,
    /// The life of the server that ended.
    pub life: Short,
    /// How much that says.
    pub weight: u32,
}

/// What an end says of an attempt whose answer began `begun` ago, if it had.
pub fn weight(begun: Option<Millis>) -> u32 {
    match begun {
        Some(span) if span > YOUNG => SLIGHT,
        Some(_) | None => FULL,
    }
}

/// A content that is held back, as boxes tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The content.
    pub content: Fingerprint,
    /// How much longer.
    pub left: Millis,
}

/// What changed of a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A server ended under it.
    Struck {
        /// The content.
        content: Fingerprint,
        /// Ends so far.
        ends: usize,
    },
    /// It is held back from now on.
    Held {
        /// The content.
        content: Fingerprint,
        /// Ends that this box knows of; zero where another one said so.
        ends: usize,
        /// For how long.
        left: Millis,
    },
    /// Nothing speaks against it any more.
    Cleared {
        /// The content.
        content: Fingerprint,
        /// Whether it was held back.
        held: bool,
    },
}

impl Step {
    /// Whether it changes what may run. The others are many: each end strikes tens of contents.
    pub fn is_decision(&self) -> bool {
        match self {
            Self::Struck { .. } => false,
            Self::Held { .. } => true,
            Self::Cleared { held, .. } => *held,
        }
    }

    /// The step in a word, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Struck { .. } => "struck",
            Self::Held { .. } => "held",
            Self::Cleared { .. } => "cleared",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Struck { content, ends } => write!(f, "struck content={content} ends={ends}"),
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

/// One end under a content.
#[derive(Clone, Copy, Debug)]
struct End {
    life: Short,
    weight: u32,
    at: Time,
}

/// What speaks against one content.
#[derive(Clone, Debug, Default)]
struct Mark {
    ends: Vec<End>,
    /// Until when it is held back.
    held: Option<Time>,
    /// When something was last heard against it.
    heard: Time,
}

impl Mark {
    fn evidence(&self) -> u32 {
        self.ends.iter().map(|end| end.weight).sum()
    }

    /// Forgets so much that one more end is the proof.
    fn lapse(&mut self) {
        self.held = None;
        while self.evidence() + FULL > PROOF {
            self.ends.pop();
        }
    }
}

/// What one box knows of contents that end servers.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    marks: HashMap<Fingerprint, Mark>,
    alibis: HashMap<Fingerprint, Time>,
    /// The alibis in the order in which they were first given.
    order: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// How much longer `content` is held back; none where it may run.
    pub fn held(&self, content: &Fingerprint, now: Time) -> Option<Millis> {
        let until = self.marks.get(content)?.held?;
        (now < until).then(|| until.since(now))
    }

    /// Whether `more` evidence would be the proof against `content`.
    pub fn would_hold(&self, content: &Fingerprint, more: u32) -> bool {
        let evidence = self.marks.get(content).map_or(0, Mark::evidence);
        evidence + more >= PROOF
    }

    /// Whether a whole answer to `content` was seen lately.
    pub fn has_alibi(&self, content: &Fingerprint, now: Time) -> bool {
        let seen = self.alibis.get(content);
        seen.is_some_and(|at| now.since(*at) < ALIBI)
    }

    /// Takes in that a server ended; none where that is known, or an alibi stands against it.
    pub fn strike(&mut self, strike: Strike, now: Time) -> Option<Step> {
        let content = strike.content;
        if self.has_alibi(&content, now) {
            return None;
        }
        let mark = self.mark(content, now);
        let same = |end: &&End| end.life == strike.life && now.since(end.at) < SAME_END;
        if mark.ends.iter().any(|end| same(&end)) {
            return None;
        }
        mark.ends.push(End {
            life: strike.life,
            weight: strike.weight.clamp(SLIGHT, FULL),
            at: now,
        });
        let ends = mark.ends.len();
        if mark.held.is_some() || mark.evidence() < PROOF {
            return Some(Step::Struck { content, ends });
        }
        mark.held = Some(now + HOLD);
        Some(Step::Held {
            content,
            ends,
            left: HOLD,
        })
    }

    /// Takes another box's word that a content is held back.
    pub fn hold(&mut self, held: Held, now: Time) -> Option<Step> {
        let Held { content, left } = held;
        let left = left.min(HOLD);
        if left == Millis(0) || self.has_alibi(&content, now) {
            return None;
        }
        let mark = self.mark(content, now);
        if mark.held.is_some() {
            return None;
        }
        mark.held = Some(now + left);
        let ends = mark.ends.len();
        Some(Step::Held {
            content,
            ends,
            left,
        })
    }

    /// Takes in a whole answer, or an operator's word; none where nothing spoke against the content.
    pub fn clear(&mut self, content: Fingerprint, now: Time) -> Option<Step> {
        if self.alibis.insert(content, now).is_none() {
            self.order.push_back(content);
        }
        while self.order.len() > MAX_ALIBIS {
            if let Some(oldest) = self.order.pop_front() {
                self.alibis.remove(&oldest);
            }
        }
        let mark = self.marks.remove(&content)?;
        let held = mark.held.is_some();
        Some(Step::Cleared { content, held })
    }

    /// What is held back, as other boxes are told: the latest, and of each customer an equal part.
    pub fn told(&self, now: Time) -> Vec<Held> {
        let mut held = self.all_held(now);
        held.sort_by_key(|held| (std::cmp::Reverse(held.left), held.content));
        let mut told: HashMap<Short, usize> = HashMap::new();
        let mut ranked: Vec<(usize, Held)> = Vec::with_capacity(held.len());
        for held in held {
            let before = told.entry(held.content.customer).or_default();
            ranked.push((*before, held));
            *before += 1;
        }
        ranked.sort_by_key(|(before, _)| *before);
        ranked.truncate(MAX_TOLD);
        ranked.into_iter().map(|(_, held)| held).collect()
    }

    /// Everything that is held back.
    pub fn all_held(&self, now: Time) -> Vec<Held> {
        let held = self.marks.keys().filter_map(|content| {
            let left = self.held(content, now)?;
            Some(Held {
                content: *content,
                left,
            })
        });
        held.collect()
    }

    /// Lets holds lapse whose time is over, and forgets old marks.
    pub fn sweep(&mut self, now: Time) {
        self.marks.retain(|_, mark| {
            if mark.held.is_some_and(|until| until <= now) {
                mark.lapse();
                mark.heard = now;
            }
            mark.held.is_some() || now.since(mark.heard) < HOLD
        });
    }

    /// The mark of `content`, with room made for it.
    fn mark(&mut self, content: Fingerprint, now: Time) -> &mut Mark {
        if !self.marks.contains_key(&content) {
            self.make_room(content.customer);
        }
        let mark = self.marks.entry(content).or_default();
        mark.heard = now;
        mark
    }

    /// Makes room for one more mark of `customer`.
    fn make_room(&mut self, customer: Short) {
        let mine = |c: &&Fingerprint| c.customer == customer;
        if self.marks.keys().filter(mine).count() >= MAX_EACH {
            self.drop_oldest(customer);
        } else if self.marks.len() >= MAX_MARKS {
            let mut counts: HashMap<Short, usize> = HashMap::new();
            for content in self.marks.keys() {
                *counts.entry(content.customer).or_default() += 1;
            }
            let most = counts
                .into_iter()
                .max_by_key(|(name, count)| (*count, *name));
            if let Some((most, _)) = most {
                self.drop_oldest(most);
            }
        }
    }

    /// Drops the mark of `customer` that says least: not held, the least evidence, and unheard for longest.
    fn drop_oldest(&mut self, customer: Short) {
        let marks = self.marks.iter().filter(|(c, _)| c.customer == customer);
        let oldest =
            marks.min_by_key(|(content, mark)| (mark.held, mark.evidence(), mark.heard, **content));
        if let Some(oldest) = oldest.map(|(content, _)| *content) {
            self.marks.remove(&oldest);
        }
    }
}
