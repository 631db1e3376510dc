//! Estimate of which backend servers have which long prompt parts cached.
//!
//! A box knows which prompts it sent itself, and the other boxes report theirs. An engine evicts
//! the parts that were unused longest, so the number of tokens it has read since indicates when a
//! part is likely to be gone.

use std::collections::{HashMap, HashSet};

use crate::{
    memory::prompt::{Part, Prompt},
    unit::{Millis, Time},
    wire::{Holding, NameHash},
};

/// Minimum length in tokens of a tracked part; shorter ones are read within a few steps of a batch.
pub const LONG: u32 = 1500;
/// How long after its last use a part is assumed to be cached.
const PART_RETENTION: Millis = Millis(60_000);
/// Maximum number of tracked parts; the least recently used half is dropped beyond that.
const MAX_PARTS: usize = 8192;
/// Fraction of an engine's memory that cached parts may fill before the oldest are evicted; the
/// rest holds running requests and parts unknown to this box.
const CACHE_FRACTION: f64 = 0.6;

/// Cached copy of a part at one engine.
#[derive(Clone, Copy, Debug)]
struct CachedCopy {
    backend: NameHash,
    /// When it was last used.
    at: Time,
    /// Total tokens that the engine had read by then.
    total_read: u64,
}

/// Estimated contents of all engines' prompt caches.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: HashMap<u64, Vec<CachedCopy>>,
    total_read: HashMap<NameHash, u64>,
    /// Engines whose contents were reported by another box or by the engine itself.
    learned: HashSet<NameHash>,
    /// Engines whose own cache reports reach this box, and until when they are considered current.
    reported_until: HashMap<NameHash, Time>,
}

impl Cache {
    /// Records that `backend` reads `tokens` and then has `part` cached.
    pub fn note(&mut self, backend: NameHash, part: Option<Part>, tokens: u32, now: Time) {
        let read = self.total_read.entry(backend).or_default();
        *read += u64::from(tokens);
        let copy = CachedCopy {
            backend,
            at: now,
            total_read: *read,
        };
        let Some(part) = part else {
            return;
        };
        let copies = self.parts.entry(part.id).or_default();
        copies.retain(|c| c.backend != backend);
        copies.push(copy);
        if self.parts.len() > MAX_PARTS {
            self.evict_oldest();
        }
    }

    /// Drops the half that was not used for longest; parts of one list are equally old.
    fn evict_oldest(&mut self) {
        let last = |copies: &Vec<CachedCopy>| copies.iter().map(|c| c.at).max().unwrap_or_default();
        let age = |(part, copies): (&u64, &Vec<CachedCopy>)| (last(copies), *part);
        let mut uses: Vec<(Time, u64)> = self.parts.iter().map(age).collect();
        let half = uses.len() / 2;
        let oldest = *uses.select_nth_unstable(half).1;
        self.parts
            .retain(|part, copies| (last(copies), *part) >= oldest);
    }

    /// Reports whether anything is known of the contents of `backend`.
    pub fn knows(&self, backend: NameHash) -> bool {
        self.total_read.contains_key(&backend) || self.learned.contains(&backend)
    }

    /// Reports whether `backend`, whose memory fits `memory` tokens, likely has the part cached.
    pub fn holds(&self, backend: NameHash, part: u64, memory: Option<u64>, now: Time) -> bool {
        let copies = self.parts.get(&part).map_or(&[][..], Vec::as_slice);
        let Some(copy) = copies.iter().find(|c| c.backend == backend) else {
            return false;
        };
        if self.has_reports(backend, now) {
            return true;
        }
        let read = self.total_read.get(&backend).copied().unwrap_or_default();
        let capacity = memory.map_or(u64::MAX, |tokens| (tokens as f64 * CACHE_FRACTION) as u64);
        now.since(copy.at) < PART_RETENTION && read - copy.total_read < capacity
    }

    /// Returns the backend servers that were sent `part` or reported as having it cached, whether
    /// or not they still do.
    pub fn holders(&self, part: u64) -> impl Iterator<Item = NameHash> {
        let copies = self.parts.get(&part).into_iter().flatten();
        copies.map(|copy| copy.backend)
    }

    /// Returns the tokens of `prompt` that `backend` has to read. A part counts as cached only if
    /// every part before it is; short shared parts are not tracked and count as cached.
    pub fn unread(
        &self,
        prompt: &Prompt,
        backend: NameHash,
        memory: Option<u64>,
        now: Time,
    ) -> u32 {
        let shared = prompt.shared_parts().iter();
        let held = |part: &&Part| part.tokens < LONG || self.holds(backend, part.id, memory, now);
        let read: u32 = shared.take_while(held).map(|part| part.tokens).sum();
        prompt.tokens.saturating_sub(read)
    }

    /// Returns up to `most` most recently used copies, for a box without any data.
    pub fn holdings(&self, most: usize) -> Vec<Holding> {
        let copies = self.parts.iter().flat_map(|(part, copies)| {
            let holding = move |copy: &CachedCopy| {
                let backend = copy.backend;
                (
                    copy.at,
                    Holding {
                        backend,
                        part: *part,
                    },
                )
            };
            copies.iter().map(holding)
        });
        let mut copies: Vec<(Time, Holding)> = copies.collect();
        copies.sort_unstable_by_key(|(at, _)| std::cmp::Reverse(*at));
        copies.truncate(most);
        copies.into_iter().map(|(_, holding)| holding).collect()
    }

    /// Adds a copy known to another box, unless this box already knows of it.
    pub fn add_reported(&mut self, holding: Holding, now: Time) {
        self.learned.insert(holding.backend);
        let read = self
            .total_read
            .get(&holding.backend)
            .copied()
            .unwrap_or_default();
        let copies = self.parts.entry(holding.part).or_default();
        if copies.iter().any(|c| c.backend == holding.backend) {
            return;
        }
        copies.push(CachedCopy {
            backend: holding.backend,
            at: now,
            total_read: read,
        });
    }

    /// Removes everything known of `backend`, which restarted.
    pub fn forget(&mut self, backend: NameHash) {
        self.total_read.remove(&backend);
        self.learned.remove(&backend);
        self.reported_until.remove(&backend);
        for copies in self.parts.values_mut() {
            copies.retain(|c| c.backend != backend);
        }
        self.parts.retain(|_, copies| !copies.is_empty());
    }

    /// Removes the engines for which `known` returns `false`.
    pub fn retain(&mut self, known: impl Fn(NameHash) -> bool) {
        self.total_read.retain(|backend, _| known(*backend));
        self.learned.retain(|backend| known(*backend));
        self.reported_until.retain(|backend, _| known(*backend));
        for copies in self.parts.values_mut() {
            copies.retain(|c| known(c.backend));
        }
        self.parts.retain(|_, copies| !copies.is_empty());
    }

    /// Records that cache reports of `backend` itself reach this box, at least until `until`.
    pub fn record_report_time(&mut self, backend: NameHash, until: Time) {
        let known = self.reported_until.entry(backend).or_insert(until);
        *known = until.max(*known);
    }

    /// Records that cache changes of `backend` were missed.
    pub fn invalidate_reports(&mut self, backend: NameHash) {
        self.reported_until.remove(&backend);
    }

    /// Reports whether what is known of `backend` is based on its own reports rather than estimated
    /// from the prompts sent there.
    pub fn has_reports(&self, backend: NameHash, now: Time) -> bool {
        self.reported_until
            .get(&backend)
            .is_some_and(|until| now < *until)
    }

    /// Reports whether `backend` was sent `part`, or reported it as cached, and no later report
    /// contradicts that.
    pub fn lists_copy(&self, backend: NameHash, part: u64) -> bool {
        self.holders(part).any(|holder| holder == backend)
    }

    /// Records a part that `backend` itself reported as cached.
    pub fn confirm(&mut self, holding: Holding, now: Time) {
        self.add_reported(holding, now);
        if self.parts.len() > MAX_PARTS {
            self.evict_oldest();
        }
    }

    /// Records that `backend` did not have `part` cached at `made`; copies from prompts sent later
    /// are kept.
    pub fn drop_part(&mut self, backend: NameHash, part: u64, made: Time) {
        let Some(copies) = self.parts.get_mut(&part) else {
            return;
        };
        copies.retain(|copy| copy.backend != backend || copy.at > made);
        if copies.is_empty() {
            self.parts.remove(&part);
        }
    }

    /// Returns all parts with the engines believed to have them cached and the time of their last
    /// use.
    pub fn copies(&self) -> impl Iterator<Item = (u64, NameHash, Time)> {
        self.parts.iter().flat_map(|(part, copies)| {
            let copies = copies.iter();
            copies.map(move |copy| (*part, copy.backend, copy.at))
        })
    }
}
