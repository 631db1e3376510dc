//! Which backend servers hold which long parts of prompts, as far as this box knows.
//!
//! A box knows what it sent itself, and hears from the others what they sent. An engine lets the
//! parts that were unused longest give way, so what was read there since tells when to stop
//! believing.

use std::collections::{HashMap, HashSet};

use crate::{
    memory::prompt::{Part, Prompt},
    unit::{Millis, Time},
    wire::{Holding, Short},
};

/// Shortest part worth knowing about, in tokens; a shorter one is read in a few steps of a batch.
pub const LONG: u32 = 1500;
/// A part that nobody used for this long counts as gone.
const LIFE: Millis = Millis(60_000);
/// Parts remembered; the oldest half goes when there are more.
const MAX_PARTS: usize = 8192;
/// Part of an engine's memory that cached parts may fill before the oldest gives way: the rest
/// holds requests that run, and what this box does not hear of.
const USABLE: f64 = 0.6;

/// One engine's copy of a part.
#[derive(Clone, Copy, Debug)]
struct Copy {
    backend: Short,
    /// When it was last used.
    at: Time,
    /// What the engine had read in all at that time, in tokens.
    read: u64,
}

/// What this box knows of all engines' caches.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: HashMap<u64, Vec<Copy>>,
    read: HashMap<Short, u64>,
    /// Engines that another box told of, or that told of themselves.
    learned: HashSet<Short>,
    /// Engines whose own word of what they keep reaches this box, and until when it is taken for that.
    told: HashMap<Short, Time>,
}

impl Cache {
    /// Notes that `backend` reads `tokens` and then holds `part`.
    pub fn note(&mut self, backend: Short, part: Option<Part>, tokens: u32, now: Time) {
        let read = self.read.entry(backend).or_default();
        *read += u64::from(tokens);
        let copy = Copy {
            backend,
            at: now,
            read: *read,
        };
        let Some(part) = part else {
            return;
        };
        let copies = self.parts.entry(part.id).or_default();
        copies.retain(|c| c.backend != backend);
        copies.push(copy);
        if self.parts.len() > MAX_PARTS {
            self.shrink();
        }
    }

    fn shrink(&mut self) {
        let last = |copies: &Vec<Copy>| copies.iter().map(|c| c.at).max().unwrap_or_default();
        let mut uses: Vec<Time> = self.parts.values().map(last).collect();
        uses.sort_unstable();
        let oldest = uses[uses.len() / 2];
        self.parts.retain(|_, copies| last(copies) >= oldest);
    }

    /// Whether anything is known of what `backend` holds.
    pub fn knows(&self, backend: Short) -> bool {
        self.read.contains_key(&backend) || self.learned.contains(&backend)
    }

    /// Whether `backend`, with room for `memory` tokens, likely holds the part.
    pub fn holds(&self, backend: Short, part: u64, memory: Option<u64>, now: Time) -> bool {
        let copies = self.parts.get(&part).map_or(&[][..], Vec::as_slice);
        let Some(copy) = copies.iter().find(|c| c.backend == backend) else {
            return false;
        };
        if self.is_told(backend, now) {
            return true;
        }
        let read = self.read.get(&backend).copied().unwrap_or_default();
        let room = memory.map_or(u64::MAX, |tokens| (tokens as f64 * USABLE) as u64);
        now.since(copy.at) < LIFE && read - copy.read < room
    }

    /// The backend servers that were sent `part`, whether or not they still hold it.
    pub fn holders(&self, part: u64) -> impl Iterator<Item = Short> {
        let copies = self.parts.get(&part).into_iter().flatten();
        copies.map(|copy| copy.backend)
    }

    /// Tokens of `prompt` that `backend` has to read: a part counts as held only if every part
    /// before it does. Short shared parts are not followed and count as held.
    pub fn unread(&self, prompt: &Prompt, backend: Short, memory: Option<u64>, now: Time) -> u32 {
        let shared = prompt.shared_parts().iter();
        let held = |part: &&Part| part.tokens < LONG || self.holds(backend, part.id, memory, now);
        let read: u32 = shared.take_while(held).map(|part| part.tokens).sum();
        prompt.tokens.saturating_sub(read)
    }

    /// The copies of parts that were used last, for a box that knows nothing yet.
    pub fn holdings(&self, most: usize) -> Vec<Holding> {
        let copies = self.parts.iter().flat_map(|(part, copies)| {
            let holding = move |copy: &Copy| {
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

    /// Takes over what another box knows, where this one knows nothing.
    pub fn learn(&mut self, holding: Holding, now: Time) {
        self.learned.insert(holding.backend);
        let read = self.read.get(&holding.backend).copied().unwrap_or_default();
        let copies = self.parts.entry(holding.part).or_default();
        if copies.iter().any(|c| c.backend == holding.backend) {
            return;
        }
        copies.push(Copy {
            backend: holding.backend,
            at: now,
            read,
        });
    }

    /// Forgets what `backend` held: it started again.
    pub fn forget(&mut self, backend: Short) {
        self.read.remove(&backend);
        self.learned.remove(&backend);
        self.told.remove(&backend);
        for copies in self.parts.values_mut() {
            copies.retain(|c| c.backend != backend);
        }
        self.parts.retain(|_, copies| !copies.is_empty());
    }

    /// Forgets the engines that `known` does not name.
    pub fn retain(&mut self, known: impl Fn(Short) -> bool) {
        self.read.retain(|backend, _| known(*backend));
        self.learned.retain(|backend| known(*backend));
        self.told.retain(|backend, _| known(*backend));
        for copies in self.parts.values_mut() {
            copies.retain(|c| known(c.backend));
        }
        self.parts.retain(|_, copies| !copies.is_empty());
    }

    /// Notes that the own word of `backend` reaches this box, at least until `until`.
    pub fn trust(&mut self, backend: Short, until: Time) {
        let known = self.told.entry(backend).or_insert(until);
        *known = until.max(*known);
    }

    /// Notes that changes in what `backend` keeps were missed.
    pub fn distrust(&mut self, backend: Short) {
        self.told.remove(&backend);
    }

    /// Whether what is known of `backend` is its own word, and not a guess by what was sent there.
    pub fn is_told(&self, backend: Short, now: Time) -> bool {
        self.told.get(&backend).is_some_and(|until| now < *until)
    }

    /// Whether `backend` was sent `part`, or told that it keeps it, and nobody told otherwise since.
    pub fn names(&self, backend: Short, part: u64) -> bool {
        self.holders(part).any(|holder| holder == backend)
    }

    /// Takes over that `backend` keeps a part, by its own word.
    pub fn confirm(&mut self, holding: Holding, now: Time) {
        self.learn(holding, now);
        if self.parts.len() > MAX_PARTS {
            self.shrink();
        }
    }

    /// Takes over that `backend` did not keep `part` at `made`; what was sent there later stays.
    pub fn drop_part(&mut self, backend: Short, part: u64, made: Time) {
        let Some(copies) = self.parts.get_mut(&part) else {
            return;
        };
        copies.retain(|copy| copy.backend != backend || copy.at > made);
        if copies.is_empty() {
            self.parts.remove(&part);
        }
    }

    /// All parts, the engines that they are believed to be at, and when they were last used.
    pub fn copies(&self) -> impl Iterator<Item = (u64, Short, Time)> {
        self.parts.iter().flat_map(|(part, copies)| {
            let copies = copies.iter();
            copies.map(move |copy| (*part, copy.backend, copy.at))
        })
    }
}
