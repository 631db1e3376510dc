//! Tracks which long parts of prompts the engines keep: which box follows which engine, and what it
//! reports to the boxes of its region.
//!
//! All boxes of a region learn of each prompt that is sent to an engine, and so assume the same
//! cache content. The box that follows an engine reports only the differences between that
//! assumption and what the engine itself reports.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
};

use crate::{
    id::{self, Incarnation},
    member::rendezvous_hash,
    memory::{
        cache,
        prompt::Part,
        report::{Change, Corrections, EngineCorrections, Eviction, Report},
    },
    policy::Policy,
    reducer::{
        State,
        control::Control,
        effect::Effect,
        inventory::{DISCOVERY_TIME, LISTEN_DELAY, MAX_EARLY_ENGINES, MAX_ENGINES},
    },
    unit::{Millis, Time},
    wire::{Body, Holding, NameHash, Phase},
};

/// Time between two selections of the engines to follow.
const SELECTION_PERIOD: Millis = Millis(300);
/// Engines examined per selection, so that it stays short in a region of thousands.
const MAX_EXAMINED: usize = 512;
/// Maximum age of an engine's report on arrival: the engine collects it some tenths of a second
/// before sending, and is polled twice a second. Prompts sent to the engine within that time are
/// not removed by the report.
const MAX_REPORT_DELAY: Millis = Millis(1000);
/// Time for an engine to read a prompt that was sent to it, a few waits for a slot. A part that it
/// does not keep by then was never read.
const READ_TIMEOUT: Millis = Millis(5000);
/// Time between two comparisons of the prompts sent to an engine with the parts that it keeps.
const COMPARISON_PERIOD: Millis = Millis(1000);
/// Time without a report after which an engine no longer counts as followed: four calls with the
/// longest wait.
const ENGINE_TIMEOUT: Millis = Millis(4000);
/// Time for which changes are batched before they are sent to the other boxes.
const BATCH_DELAY: Millis = Millis(300);
/// Time after which a message is sent even if nothing changed.
const KEEPALIVE_PERIOD: Millis = Millis(3000);
/// Messages that may be lost before an engine no longer counts as followed.
const MAX_LOST_MESSAGES: u64 = 3;
/// Longest validity that is accepted from a message.
const MAX_VALIDITY: Millis = Millis(60_000);
/// Bytes per second that a box may spend on corrections to all other boxes, and the burst that it
/// may save up for its start. At peak, about 100 long parts a second are evicted in a region of 70
/// engines and 24 boxes: four a second at each box, sent to 23 others.
const BYTES_PER_SECOND: usize = 5000;
const BURST_BYTES: usize = 32 << 10;
/// Approximate bytes of a message, of an engine in it, and of a part in it.
const FRAME_BYTES: usize = 48;
const ENGINE_BYTES: usize = 12;
const ROW_BYTES: usize = 12;
/// Maximum parts in one message.
const MAX_ROWS: usize = 256;
/// Maximum corrections that wait to be sent.
const MAX_PENDING: usize = 4096;

#[derive(Debug)]
struct Followed {
    address: SocketAddr,
    incarnation: Option<Incarnation>,
    life: NameHash,
    /// When the last report arrived; `None` if reports were missed since.
    last_report: Option<Time>,
    /// The long parts that it keeps.
    held: HashSet<u64>,
}

/// A difference between an engine's report and what the boxes assume.
#[derive(Clone, Copy, Debug)]
struct Correction {
    kept: bool,
    at: Time,
}

/// What a box has learned directly from the engines that it follows, and the corrections that it
/// still has to send.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    followed: BTreeMap<id::Backend, Followed>,
    /// Engines not yet examined in this round.
    unexamined: Vec<id::Backend>,
    corrections: BTreeMap<(NameHash, u64), Correction>,
    /// Key of the last correction that was sent.
    last_sent_key: Option<(NameHash, u64)>,
    last_selection: Option<Time>,
    last_comparison: Option<Time>,
    last_sent: Option<Time>,
    /// Bytes that may be spent on corrections, and when that was last updated.
    allowance: usize,
    allowance_updated: Option<Time>,
}

impl Tracker {
    fn correct(&mut self, backend: NameHash, part: u64, kept: bool, at: Time) {
        let known = self.corrections.contains_key(&(backend, part));
        if known || self.corrections.len() < MAX_PENDING {
            let correction = Correction { kept, at };
            self.corrections.insert((backend, part), correction);
        }
    }

    /// Updates and returns the bytes that may be spent at `now`.
    fn allowance(&mut self, now: Time) -> usize {
        let span = self
            .allowance_updated
            .map_or(Millis(u64::MAX), |at| now.since(at));
        self.allowance_updated = Some(now);
        let earned = (span.0 as usize).saturating_mul(BYTES_PER_SECOND) / 1000;
        self.allowance = self.allowance.saturating_add(earned).min(BURST_BYTES);
        self.allowance
    }

    /// Removes the next correction in turn, so that no engine is starved while the bytes do not
    /// suffice for all.
    fn next_correction(&mut self) -> Option<((NameHash, u64), Correction)> {
        let later = self
            .last_sent_key
            .and_then(|key| self.corrections.range(key..).next());
        let (key, _) = later.or_else(|| self.corrections.first_key_value())?;
        let key = *key;
        self.last_sent_key = Some(key);
        self.corrections.remove_entry(&key)
    }

    /// Builds the reports on the engines heard recently, with up to `rows` corrections.
    fn reports(&mut self, rows: usize, now: Time) -> Vec<EngineCorrections> {
        let fresh = |f: &Followed| {
            f.last_report
                .is_some_and(|at| now.since(at) < ENGINE_TIMEOUT)
        };
        let mut reports = BTreeMap::new();
        for (name, engine) in self.followed.iter().filter(|(_, f)| fresh(f)) {
            let backend = NameHash::of(name.as_str());
            let report = EngineCorrections {
                backend,
                life: engine.life,
                kept: Vec::new(),
                gone: Vec::new(),
            };
            reports.insert(backend, report);
        }
        for _ in 0..rows {
            let Some(((backend, part), correction)) = self.next_correction() else {
                break;
            };
            let Some(report) = reports.get_mut(&backend) else {
                continue;
            };
            if correction.kept {
                report.kept.push(part);
            } else {
                let age = now.since(correction.at);
                report.gone.push(Eviction { part, age });
            }
        }
        reports.into_values().collect()
    }
}

impl<P: Policy> State<P> {
    /// Chooses the engines that this box follows, and sends corrections to the other boxes.
    pub(super) fn update_followed_engines(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.has_fleet_list || now.since(Time(0)) < LISTEN_DELAY {
            return;
        }
        if Control::due(&mut self.engine_news.last_selection, SELECTION_PERIOD, now) {
            self.unfollow_engines(now, out);
            self.select_engines(now, out);
        }
        if self.engine_news.followed.is_empty() {
            return;
        }
        if Control::due(
            &mut self.engine_news.last_comparison,
            COMPARISON_PERIOD,
            now,
        ) {
            self.drop_unread(now);
        }
        self.send_corrections(now, out);
    }

    /// Returns the number of engines that this box follows.
    pub fn followed_engines(&self) -> usize {
        self.engine_news.followed.len()
    }

    /// Returns the time since the last report of the followed engine that has been silent the
    /// longest.
    pub fn engine_report_age(&self, now: Time) -> Millis {
        let followed = self.engine_news.followed.values();
        let ages = followed
            .filter_map(|f| f.last_report)
            .map(|at| now.since(at));
        ages.max().unwrap_or_default()
    }

    fn unfollow_engines(&mut self, now: Time, out: &mut Vec<Effect>) {
        let leaves = |name: &id::Backend, f: &Followed| {
            let backend = self.fleet.get(name);
            let same =
                backend.is_some_and(|b| (b.address, b.incarnation) == (f.address, f.incarnation));
            !same || !self.should_follow(name, now)
        };
        let followed = self.engine_news.followed.iter();
        let left = followed.filter(|(name, f)| leaves(name, f));
        let left: Vec<id::Backend> = left.map(|(name, _)| name.clone()).collect();
        for name in left {
            self.engine_news.followed.remove(&name);
            out.push(Effect::UnfollowEngine(name));
        }
    }

    /// Reports whether this box should follow an engine. A cold one may not withstand the calls,
    /// and one that is leaving gets no work.
    fn should_follow(&self, name: &id::Backend, now: Time) -> bool {
        let Some(backend) = self.fleet.get(name) else {
            return false;
        };
        let config = self.config.as_ref();
        let tells = config.is_some_and(|config| {
            let profiles = backend.serves.iter().filter_map(|s| config.profiles.get(s));
            let mut engines = profiles.filter_map(|profile| profile.engine);
            engines.any(|engine| engine.watchers > 0)
        });
        let here = self.is_local(backend) && self.phase(now) != Phase::Leaving;
        let serves = !backend.leaving && !self.fleet.is_cold(name, now);
        tells && here && serves && self.table.leads(name.as_str(), now)
    }

    fn select_engines(&mut self, now: Time, out: &mut Vec<Effect>) {
        let early = now.since(Time(0)) < DISCOVERY_TIME;
        let most = if early {
            MAX_EARLY_ENGINES
        } else {
            MAX_ENGINES
        };
        if self.engine_news.followed.len() >= most {
            return;
        }
        if self.engine_news.unexamined.is_empty() {
            self.engine_news.unexamined = self.reporting_engines(early);
        }
        let left = &mut self.engine_news.unexamined;
        let examined = left.split_off(left.len().saturating_sub(MAX_EXAMINED));
        for name in examined.into_iter().rev() {
            if self.engine_news.followed.len() >= most {
                return;
            }
            if self.engine_news.followed.contains_key(&name) || !self.should_follow(&name, now) {
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
            last_report: None,
            held: HashSet::new(),
        };
        self.engine_news.followed.insert(name.clone(), followed);
        out.push(Effect::FollowEngine {
            backend: name,
            address,
            incarnation,
        });
    }

    /// Returns the engines of this region that report cache changes. While this box may not know
    /// the other boxes yet, those for which it ranks highest come last.
    fn reporting_engines(&self, early: bool) -> Vec<id::Backend> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let reporting = config.profiles.iter();
        let reporting = reporting.filter(|(_, p)| p.engine.is_some_and(|e| e.watchers > 0));
        let region = &self.table.me.region;
        let engines = reporting.flat_map(|(service, _)| self.fleet.serving(service, region));
        let mut names: Vec<id::Backend> = engines.map(|b| b.name.clone()).collect();
        if early {
            names.sort_by_cached_key(|name| rendezvous_hash(&self.table.me.name, name.as_str()));
        }
        names
    }

    /// Records what an engine reports of the parts that it keeps.
    pub(super) fn record_engine_report(
        &mut self,
        now: Time,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        report: &Report,
    ) {
        let followed = self.engine_news.followed.get_mut(name);
        let Some(engine) = followed.filter(|f| f.incarnation == incarnation) else {
            return;
        };
        let backend = NameHash::of(name.as_str());
        match report {
            Report::Gap => {
                engine.last_report = None;
                return self.cache.invalidate_reports(backend);
            }
            Report::All(parts) => {
                engine.last_report = Some(now);
                let all: HashSet<u64> = long_parts(parts).collect();
                let gone: Vec<u64> = engine.held.difference(&all).copied().collect();
                gone.into_iter()
                    .for_each(|part| self.record_evicted(name, part, now));
                all.into_iter()
                    .for_each(|part| self.record_kept(name, part, now));
            }
            // The changes do not follow on a list of another instance or an earlier call.
            Report::Changes(_) if engine.last_report.is_none() => return,
            Report::Changes(changes) => {
                engine.last_report = Some(now);
                for change in changes {
                    match change {
                        Change::Kept(part) if part.tokens >= cache::LONG => {
                            self.record_kept(name, part.id, now);
                        }
                        Change::Kept(_) => {}
                        Change::Gone(part) => self.record_evicted(name, *part, now),
                    }
                }
            }
        }
        self.cache.record_report_time(backend, now + ENGINE_TIMEOUT);
    }

    fn record_kept(&mut self, name: &id::Backend, part: u64, now: Time) {
        let backend = NameHash::of(name.as_str());
        if let Some(engine) = self.engine_news.followed.get_mut(name) {
            engine.held.insert(part);
        }
        if !self.cache.lists_copy(backend, part) {
            self.cache
                .confirm(Holding { backend, part }, now - MAX_REPORT_DELAY);
            self.engine_news.correct(backend, part, true, now);
        } else if self.engine_news.corrections.contains_key(&(backend, part)) {
            self.engine_news.correct(backend, part, true, now);
        }
    }

    fn record_evicted(&mut self, name: &id::Backend, part: u64, now: Time) {
        let backend = NameHash::of(name.as_str());
        let engine = self.engine_news.followed.get_mut(name);
        let held = engine.is_some_and(|engine| engine.held.remove(&part));
        if held || self.cache.lists_copy(backend, part) {
            self.cache.drop_part(backend, part, now - MAX_REPORT_DELAY);
            self.engine_news.correct(backend, part, false, now);
        }
    }

    /// Drops parts that were sent to a followed engine some time ago and are not kept there: they
    /// were never read, or the report of their eviction arrived before they were sent.
    fn drop_unread(&mut self, now: Time) {
        let followed = self.engine_news.followed.iter();
        let reporting = followed.filter(|(_, f)| f.last_report.is_some());
        let held: BTreeMap<NameHash, &HashSet<u64>> = reporting
            .map(|(name, f)| (NameHash::of(name.as_str()), &f.held))
            .collect();
        let unread = |(part, backend, at): &(u64, NameHash, Time)| {
            let kept = held.get(backend).is_none_or(|parts| parts.contains(part));
            !kept && now.since(*at) > READ_TIMEOUT
        };
        let unread: Vec<_> = self.cache.copies().filter(unread).collect();
        for (part, backend, _) in unread {
            self.cache.drop_part(backend, part, now - MAX_REPORT_DELAY);
            self.engine_news.correct(backend, part, false, now);
        }
    }

    /// Sends corrections to the boxes of the region within the byte allowance.
    fn send_corrections(&mut self, now: Time, out: &mut Vec<Effect>) {
        let allowance = self.engine_news.allowance(now);
        let tracker = &self.engine_news;
        let since = tracker
            .last_sent
            .map_or(KEEPALIVE_PERIOD, |at| now.since(at));
        let due =
            since >= KEEPALIVE_PERIOD || (since >= BATCH_DELAY && !tracker.corrections.is_empty());
        if !due {
            return;
        }
        let targets: Vec<SocketAddr> = self
            .table
            .live(now)
            .map(|p| p.last.contact.gossip)
            .collect();
        if targets.is_empty() {
            return self.engine_news.corrections.clear();
        }
        let fixed = FRAME_BYTES + ENGINE_BYTES * self.engine_news.followed.len();
        let Some(left) = (allowance / targets.len()).checked_sub(fixed + ROW_BYTES) else {
            return;
        };
        let rows = (1 + left / ROW_BYTES)
            .min(MAX_ROWS)
            .min(self.engine_news.corrections.len());
        let engines = self.engine_news.reports(rows, now);
        self.engine_news.last_sent = Some(now);
        if engines.is_empty() {
            return;
        }
        let tracker = &mut self.engine_news;
        tracker.allowance = tracker
            .allowance
            .saturating_sub((fixed + rows * ROW_BYTES) * targets.len());
        let interval =
            Millis((targets.len() * (fixed + ROW_BYTES) * 1000 / BYTES_PER_SECOND) as u64);
        let lasts = Millis(MAX_LOST_MESSAGES * interval.max(KEEPALIVE_PERIOD).0);
        self.send_all(
            Body::Corrections(Corrections {
                valid_for: lasts,
                engines,
            }),
            targets,
            out,
        );
    }

    /// Applies the corrections of another box of the region.
    pub(super) fn receive_corrections(&mut self, now: Time, message: &Corrections) {
        let until = now + message.valid_for.min(MAX_VALIDITY);
        let mut rows = MAX_ROWS;
        for report in message.engines.iter().take(MAX_ENGINES) {
            let Some(backend) = self.find_local_backend(report.backend, report.life) else {
                continue;
            };
            let name = backend.name.clone();
            // This box's own reports from the engine are newer.
            if self
                .engine_news
                .followed
                .get(&name)
                .is_some_and(|f| f.last_report.is_some())
            {
                continue;
            }
            for part in report.kept.iter().take(rows) {
                let holding = Holding {
                    backend: report.backend,
                    part: *part,
                };
                self.cache.confirm(holding, now - MAX_REPORT_DELAY);
            }
            rows = rows.saturating_sub(report.kept.len());
            for gone in report.gone.iter().take(rows) {
                self.cache
                    .drop_part(report.backend, gone.part, now - gone.age - MAX_REPORT_DELAY);
            }
            rows = rows.saturating_sub(report.gone.len());
            self.cache.record_report_time(report.backend, until);
        }
    }
}

/// Returns the identities of the long ones among `parts`.
fn long_parts(parts: &[Part]) -> impl Iterator<Item = u64> {
    let long = parts.iter().filter(|part| part.tokens >= cache::LONG);
    long.map(|part| part.id)
}
