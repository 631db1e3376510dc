//! What engines tell of the long parts of prompts that they keep: who follows which engine, and what the boxes
//! of its region are told.
//!
//! All boxes of a region hear what is sent to an engine, and so believe the same of it. The box that follows
//! an engine tells them only where the engine's own word differs from that.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
};

use crate::{
    id::{self, Incarnation},
    member::weight,
    memory::{
        cache,
        news::{Change, Gone, News, Told, Word},
        prompt::Part,
    },
    policy::Policy,
    reducer::{
        State,
        control::Control,
        effect::Effect,
        inventory::{EARLY, LISTEN, MET, MOST},
    },
    unit::{Millis, Time},
    wire::{Body, Holding, Phase, Short},
};

/// Time between two looks at who follows whom.
const LOOK: Millis = Millis(300);
/// Engines looked at each time: a look stays short in a region of thousands.
const LOOKS: usize = 512;
/// How old news may be when it comes: an engine makes it some tenths of a second before it tells, and is asked
/// twice a second. What was sent there within that time is not undone by it.
const LAG: Millis = Millis(1000);
/// By when an engine has read what was sent there, or it never came to that: a few waits for a slot.
const READ_BY: Millis = Millis(5000);
/// Time between two comparisons of what was sent to an engine with what it keeps.
const SWEEP: Millis = Millis(1000);
/// An engine unheard for this long is no longer spoken for: four calls of the longest wait.
const SILENT: Millis = Millis(4000);
/// How long changes are gathered before the others are told.
const GATHER: Millis = Millis(300);
/// Time after which the others are told that nothing changed.
const KEEP: Millis = Millis(3000);
/// Messages that may be lost before an engine no longer counts as followed.
const MISSED: u64 = 3;
/// Longest time for which one message may speak.
const MAX_LASTS: Millis = Millis(60_000);
/// Bytes a second that a box spends on telling all others, and what it may save up for its start. At a peak about
/// 100 long parts a second give way in a region of 70 engines and 24 boxes: four a second at each box, told to 23.
const RATE: usize = 5000;
const BURST: usize = 32 << 10;
/// Bytes of a message, of an engine and of a part in it, about.
const FRAME: usize = 48;
const ENGINE: usize = 12;
const ROW: usize = 12;
/// Parts in one message.
const MAX_ROWS: usize = 256;
/// Parts that wait to be told.
const MAX_WAITING: usize = 4096;

/// An engine that this box follows.
#[derive(Debug)]
struct Followed {
    address: SocketAddr,
    incarnation: Option<Incarnation>,
    life: Short,
    /// When it told something last, where nothing was missed since.
    heard: Option<Time>,
    /// The long parts that it keeps.
    held: HashSet<u64>,
}

/// What differs from what the boxes believe.
#[derive(Clone, Copy, Debug)]
struct Correction {
    kept: bool,
    at: Time,
}

/// What a box knows of engines at first hand.
#[derive(Debug, Default)]
pub(super) struct Desk {
    followed: BTreeMap<id::Backend, Followed>,
    /// Engines that are still to be looked at in this round.
    left: Vec<id::Backend>,
    corrections: BTreeMap<(Short, u64), Correction>,
    /// The correction that was told last.
    turn: Option<(Short, u64)>,
    last_look: Option<Time>,
    last_sweep: Option<Time>,
    last_told: Option<Time>,
    /// Bytes that may be spent on telling, and as of when.
    allowance: usize,
    counted: Option<Time>,
}

impl Desk {
    fn correct(&mut self, backend: Short, part: u64, kept: bool, at: Time) {
        let known = self.corrections.contains_key(&(backend, part));
        if known || self.corrections.len() < MAX_WAITING {
            let correction = Correction { kept, at };
            self.corrections.insert((backend, part), correction);
        }
    }

    /// The bytes that may be spent at `now`.
    fn allowance(&mut self, now: Time) -> usize {
        let span = self.counted.map_or(Millis(u64::MAX), |at| now.since(at));
        self.counted = Some(now);
        let earned = (span.0 as usize).saturating_mul(RATE) / 1000;
        self.allowance = self.allowance.saturating_add(earned).min(BURST);
        self.allowance
    }

    /// Takes the correction whose turn it is: where the bytes do not suffice, no engine is left out for good.
    fn next_correction(&mut self) -> Option<((Short, u64), Correction)> {
        let later = self
            .turn
            .and_then(|turn| self.corrections.range(turn..).next());
        let (key, _) = later.or_else(|| self.corrections.first_key_value())?;
        let key = *key;
        self.turn = Some(key);
        self.corrections.remove_entry(&key)
    }

    /// The words for the engines heard lately, with up to `rows` corrections.
    fn words(&mut self, rows: usize, now: Time) -> Vec<Word> {
        let fresh = |f: &Followed| f.heard.is_some_and(|at| now.since(at) < SILENT);
        let mut words = BTreeMap::new();
        for (name, engine) in self.followed.iter().filter(|(_, f)| fresh(f)) {
            let backend = Short::of(name.as_str());
            let word = Word {
                backend,
                life: engine.life,
                kept: Vec::new(),
                gone: Vec::new(),
            };
            words.insert(backend, word);
        }
        for _ in 0..rows {
            let Some(((backend, part), correction)) = self.next_correction() else {
                break;
            };
            let Some(word) = words.get_mut(&backend) else {
                continue;
            };
            if correction.kept {
                word.kept.push(part);
            } else {
                let age = now.since(correction.at);
                word.gone.push(Gone { part, age });
            }
        }
        words.into_values().collect()
    }
}

impl<P: Policy> State<P> {
    /// Chooses the engines that this box follows, and tells the others what it heard.
    pub(super) fn follow_engines(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.supplied || now.since(Time(0)) < LISTEN {
            return;
        }
        if Control::due(&mut self.engine_news.last_look, LOOK, now) {
            self.leave_engines(now, out);
            self.look_for_engines(now, out);
        }
        if self.engine_news.followed.is_empty() {
            return;
        }
        if Control::due(&mut self.engine_news.last_sweep, SWEEP, now) {
            self.drop_unread(now);
        }
        self.tell_kept(now, out);
    }

    /// Engines that this box follows.
    pub fn followed_engines(&self) -> usize {
        self.engine_news.followed.len()
    }

    /// How long ago the one of them was heard that was heard longest ago.
    pub fn engine_news_age(&self, now: Time) -> Millis {
        let followed = self.engine_news.followed.values();
        let ages = followed.filter_map(|f| f.heard).map(|at| now.since(at));
        ages.max().unwrap_or_default()
    }

    fn leave_engines(&mut self, now: Time, out: &mut Vec<Effect>) {
        let leaves = |name: &id::Backend, f: &Followed| {
            let backend = self.fleet.get(name);
            let same =
                backend.is_some_and(|b| (b.address, b.incarnation) == (f.address, f.incarnation));
            !same || !self.may_follow(name, now)
        };
        let followed = self.engine_news.followed.iter();
        let left = followed.filter(|(name, f)| leaves(name, f));
        let left: Vec<id::Backend> = left.map(|(name, _)| name.clone()).collect();
        for name in left {
            self.engine_news.followed.remove(&name);
            out.push(Effect::UnfollowEngine(name));
        }
    }

    /// Whether this box is to follow an engine: a cold one may bear no call, and one that leaves gets no work.
    fn may_follow(&self, name: &id::Backend, now: Time) -> bool {
        let Some(backend) = self.fleet.get(name) else {
            return false;
        };
        let config = self.config.as_ref();
        let tells = config.is_some_and(|config| {
            let profiles = backend.serves.iter().filter_map(|s| config.profiles.get(s));
            let mut engines = profiles.filter_map(|profile| profile.engine);
            engines.any(|engine| engine.watchers > 0)
        });
        let here = self.is_here(backend) && self.phase(now) != Phase::Leaving;
        let serves = !backend.leaving && !self.fleet.is_cold(name, now);
        tells && here && serves && self.table.leads(name.as_str(), now)
    }

    fn look_for_engines(&mut self, now: Time, out: &mut Vec<Effect>) {
        let young = now.since(Time(0)) < MET;
        let most = if young { EARLY } else { MOST };
        if self.engine_news.followed.len() >= most {
            return;
        }
        if self.engine_news.left.is_empty() {
            self.engine_news.left = self.telling_engines(young);
        }
        let left = &mut self.engine_news.left;
        let looked = left.split_off(left.len().saturating_sub(LOOKS));
        for name in looked.into_iter().rev() {
            if self.engine_news.followed.len() >= most {
                return;
            }
            if self.engine_news.followed.contains_key(&name) || !self.may_follow(&name, now) {
                continue;
            }
            self.follow_engine(name, out);
        }
    }

    fn follow_engine(&mut self, name: id::Backend, out: &mut Vec<Effect>) {
        let Some(backend) = self.fleet.get(&name) else {
            return;
        };
        let (address, incarnation) = (backend.address, backend.incarnation);
        let followed = Followed {
            address,
            incarnation,
            life: backend.life(),
            heard: None,
            held: HashSet::new(),
        };
        self.engine_news.followed.insert(name.clone(), followed);
        out.push(Effect::FollowEngine {
            backend: name,
            address,
            incarnation,
        });
    }

    /// The engines of this region that tell; where this box may not know the others yet, those last for
    /// which it ranks highest.
    fn telling_engines(&self, young: bool) -> Vec<id::Backend> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let telling = config.profiles.iter();
        let telling = telling.filter(|(_, p)| p.engine.is_some_and(|e| e.watchers > 0));
        let region = &self.table.me.region;
        let engines = telling.flat_map(|(service, _)| self.fleet.serving(service, region));
        let mut names: Vec<id::Backend> = engines.map(|b| b.name.clone()).collect();
        if young {
            names.sort_by_cached_key(|name| weight(&self.table.me.name, name.as_str()));
        }
        names
    }

    /// Takes in what an engine told of what it keeps.
    pub(super) fn take_engine_news(
        &mut self,
        now: Time,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        news: &News,
    ) {
        let followed = self.engine_news.followed.get_mut(name);
        let Some(engine) = followed.filter(|f| f.incarnation == incarnation) else {
            return;
        };
        let backend = Short::of(name.as_str());
        match news {
            News::Gap => {
                engine.heard = None;
                return self.cache.distrust(backend);
            }
            News::All(parts) => {
                engine.heard = Some(now);
                let all: HashSet<u64> = long(parts).collect();
                let gone: Vec<u64> = engine.held.difference(&all).copied().collect();
                gone.into_iter()
                    .for_each(|part| self.engine_lost(name, part, now));
                all.into_iter()
                    .for_each(|part| self.engine_kept(name, part, now));
            }
            // What another life or an earlier call told is not followed by these changes.
            News::Changes(_) if engine.heard.is_none() => return,
            News::Changes(changes) => {
                engine.heard = Some(now);
                for change in changes {
                    match change {
                        Change::Kept(part) if part.tokens >= cache::LONG => {
                            self.engine_kept(name, part.id, now);
                        }
                        Change::Kept(_) => {}
                        Change::Gone(part) => self.engine_lost(name, *part, now),
                    }
                }
            }
        }
        self.cache.trust(backend, now + SILENT);
    }

    fn engine_kept(&mut self, name: &id::Backend, part: u64, now: Time) {
        let backend = Short::of(name.as_str());
        if let Some(engine) = self.engine_news.followed.get_mut(name) {
            engine.held.insert(part);
        }
        if !self.cache.names(backend, part) {
            self.cache.confirm(Holding { backend, part }, now - LAG);
            self.engine_news.correct(backend, part, true, now);
        } else if self.engine_news.corrections.contains_key(&(backend, part)) {
            self.engine_news.correct(backend, part, true, now);
        }
    }

    fn engine_lost(&mut self, name: &id::Backend, part: u64, now: Time) {
        let backend = Short::of(name.as_str());
        let engine = self.engine_news.followed.get_mut(name);
        let held = engine.is_some_and(|engine| engine.held.remove(&part));
        if held || self.cache.names(backend, part) {
            self.cache.drop_part(backend, part, now - LAG);
            self.engine_news.correct(backend, part, false, now);
        }
    }

    /// Drops what was sent to followed engines a while ago and is not kept there: it was never read there,
    /// or the news of its end came before it was sent.
    fn drop_unread(&mut self, now: Time) {
        let followed = self.engine_news.followed.iter();
        let heard = followed.filter(|(_, f)| f.heard.is_some());
        let held: BTreeMap<Short, &HashSet<u64>> = heard
            .map(|(name, f)| (Short::of(name.as_str()), &f.held))
            .collect();
        let unread = |(part, backend, at): &(u64, Short, Time)| {
            let kept = held.get(backend).is_none_or(|parts| parts.contains(part));
            !kept && now.since(*at) > READ_BY
        };
        let unread: Vec<_> = self.cache.copies().filter(unread).collect();
        for (part, backend, _) in unread {
            self.cache.drop_part(backend, part, now - LAG);
            self.engine_news.correct(backend, part, false, now);
        }
    }

    /// Tells the boxes of the region, as far as the bytes for it go.
    fn tell_kept(&mut self, now: Time, out: &mut Vec<Effect>) {
        let allowance = self.engine_news.allowance(now);
        let desk = &self.engine_news;
        let since = desk.last_told.map_or(KEEP, |at| now.since(at));
        let due = since >= KEEP || (since >= GATHER && !desk.corrections.is_empty());
        if !due {
            return;
        }
        let near: Vec<SocketAddr> = self
            .table
            .live(now)
            .map(|p| p.last.contact.gossip)
            .collect();
        if near.is_empty() {
            return self.engine_news.corrections.clear();
        }
        let fixed = FRAME + ENGINE * self.engine_news.followed.len();
        let Some(left) = (allowance / near.len()).checked_sub(fixed + ROW) else {
            return;
        };
        let rows = (1 + left / ROW)
            .min(MAX_ROWS)
            .min(self.engine_news.corrections.len());
        let engines = self.engine_news.words(rows, now);
        self.engine_news.last_told = Some(now);
        if engines.is_empty() {
            return;
        }
        let desk = &mut self.engine_news;
        desk.allowance = desk
            .allowance
            .saturating_sub((fixed + rows * ROW) * near.len());
        let pace = Millis((near.len() * (fixed + ROW) * 1000 / RATE) as u64);
        let lasts = Millis(MISSED * pace.max(KEEP).0);
        self.send_all(Body::Kept(Told { lasts, engines }), near, out);
    }

    /// Takes over what another box of the region heard from engines.
    pub(super) fn hear_kept(&mut self, now: Time, told: &Told) {
        let until = now + told.lasts.min(MAX_LASTS);
        let mut rows = MAX_ROWS;
        for word in told.engines.iter().take(MOST) {
            let Some(backend) = self.named_here(word.backend, word.life) else {
                continue;
            };
            let name = backend.name.clone();
            // What this box hears itself is newer.
            if self
                .engine_news
                .followed
                .get(&name)
                .is_some_and(|f| f.heard.is_some())
            {
                continue;
            }
            for part in word.kept.iter().take(rows) {
                let holding = Holding {
                    backend: word.backend,
                    part: *part,
                };
                self.cache.confirm(holding, now - LAG);
            }
            rows = rows.saturating_sub(word.kept.len());
            for gone in word.gone.iter().take(rows) {
                self.cache
                    .drop_part(word.backend, gone.part, now - gone.age - LAG);
            }
            rows = rows.saturating_sub(word.gone.len());
            self.cache.trust(word.backend, until);
        }
    }
}

/// The long ones of `parts`.
fn long(parts: &[Part]) -> impl Iterator<Item = u64> {
    let long = parts.iter().filter(|part| part.tokens >= cache::LONG);
    long.map(|part| part.id)
}
