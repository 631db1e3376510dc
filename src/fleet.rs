//! The backend servers that a box may use: those that the configuration names, and those that
//! registered themselves with the platform.
//!
//! A registration that vanishes in steady state means that the server leaves. One that vanishes
//! around an outage of the store is in doubt for a while, because the store may have dropped it by
//! itself and the server may register again.

mod changes;
mod departures;
mod ending;
mod index;
mod revision;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{
    config::Backend,
    id::{self, Domain, Incarnation, Region, Service},
    rollout,
    unit::{Millis, Time},
    wire::Short,
};

pub use changes::Changes;
pub use ending::End;
pub use revision::{Era, Revision};

use departures::Departures;
use ending::Ending;
use index::Index;

/// How long a registration that vanished around an outage of the store is still believed. Servers
/// that live are back about two seconds after the store; the rest covers the way of the news.
pub const DOUBT: Millis = Millis(2300);

/// How long after the store came back from a copy what it lacks may still be written again: servers that live are
/// back within two seconds, and the entry of one that ended lapses after three heartbeats.
pub const RESTORED: Millis = Millis(5000);

/// How long it is remembered that a server is gone, which a store that comes back from a copy may tell of again.
const REMEMBERED: Millis = Millis(60_000);

/// How long changes are gathered after some came, for each box of the fleet beyond [`FEW`], and the
/// most: all boxes together ask the store about 100 times a second at most. News are due within
/// seconds, and a change that comes alone is not held up.
const GATHER: (Millis, Millis) = (Millis(12), Millis(1000));
/// So many boxes cost the store little, and hear of changes at once.
const FEW: usize = 9;

/// How long a box among `boxes` lets changes of the platform's store gather.
pub fn gathering(boxes: usize) -> Millis {
    let more = boxes.saturating_sub(FEW) as u64;
    Millis(GATHER.0.0.saturating_mul(more)).min(GATHER.1)
}

/// The roll-outs of services that the platform's store tells of.
pub type Rollouts = BTreeMap<Service, rollout::Entry>;

/// All that a box knows of registered backend servers, for a box that cannot ask the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// The backend servers; where it tells only what changed, those that are new or changed.
    pub backends: Vec<Backend>,
    /// The revision after which it tells what changed; none where it tells all.
    pub since: Option<Revision>,
    /// Those that are gone since.
    pub gone: Vec<id::Backend>,
    /// Spans since of which only the outcome is known: what changed and changed back in them is not told.
    pub gaps: Vec<(Revision, Revision)>,
    /// How long those of them are believed whose registration is in doubt.
    pub doubted: BTreeMap<id::Backend, Millis>,
    /// The failure domains under evacuation.
    pub evacuated: BTreeSet<Domain>,
    /// The roll-outs.
    pub rollouts: Rollouts,
    /// How far it goes.
    pub revision: Revision,
}

/// What became known of the registered backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// All of them.
    List {
        /// The backend servers.
        backends: Vec<Backend>,
        /// How long a missing one may be missing by the store's fault; zero where it is not.
        doubt: Millis,
    },
    /// One is new or changed.
    Put(Backend),
    /// One vanished.
    Gone {
        /// Its name.
        name: id::Backend,
        /// How long that may be the store's fault; zero where it is not.
        doubt: Millis,
    },
}

#[derive(Clone, Debug)]
struct Member {
    /// It is leaving where its registration says so, or it said so itself.
    backend: Backend,
    registered: bool,
    /// Whether its registration or the configuration says that it is leaving.
    registered_leaving: bool,
    cold_until: Time,
    /// When it is taken out unless it comes back.
    missing_until: Option<Time>,
}

impl Member {
    /// The server as others are told of it at `now`.
    fn told(&self, ending: &Ending, now: Time) -> Backend {
        Backend {
            cold: self.cold_until.since(now),
            time_left: ending.left(&self.backend.name, now),
            ..self.backend.clone()
        }
    }
}

/// How long the word of `name` that it leaves is kept; none where it holds for the server's life.
fn departure_kept(members: &HashMap<id::Backend, Member>, name: &id::Backend) -> Option<Millis> {
    match members.get(name) {
        Some(member) if member.registered => None,
        Some(_) => Some(departures::ASK_AGAIN),
        None => Some(departures::KEPT),
    }
}

/// All backend servers that a box knows.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: HashMap<id::Backend, Member>,
    index: Index,
    /// Those whose registration is in doubt.
    missing: HashSet<id::Backend>,
    /// Those that started again under their name, since somebody asked.
    reborn: Vec<id::Backend>,
    departures: Departures,
    ending: Ending,
    /// Lives of servers whose registration is gone, and since when.
    ended: HashMap<id::Backend, (Option<Incarnation>, Time)>,
    /// Until when a list may be an old copy, and what it told of servers whose registration was gone.
    copied_until: Option<Time>,
    withheld: HashMap<id::Backend, Backend>,
}

impl Fleet {
    /// Notes that a backend server said at `at` that this life of it leaves; true where that is news.
    pub fn depart(
        &mut self,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        at: Time,
        now: Time,
    ) -> bool {
        let kept = departure_kept(&self.members, name);
        if kept.is_some_and(|kept| now.since(at) >= kept) {
            return false;
        }
        let news = self.departures.note(name, incarnation, at);
        if let Some(member) = self.members.get_mut(name) {
            member.backend.leaving |= self.departures.contains(&member.backend);
        }
        news
    }

    /// The backend servers that said that they leave where their registration does not say so yet, and when
    /// they said it last.
    pub fn departing(&self) -> impl Iterator<Item = (&Backend, Time)> {
        let words = self.departures.iter();
        let known = words.filter_map(|(name, at)| Some((self.members.get(name)?, at)));
        let ahead = known.filter(|(m, _)| m.backend.leaving && !m.registered_leaving);
        ahead.map(|(member, at)| (&member.backend, at))
    }

    /// Whether `name` is leaving by its own word, and not by its registration.
    pub fn is_departing(&self, name: &id::Backend) -> bool {
        let member = self.members.get(name);
        member.is_some_and(|m| m.backend.leaving && !m.registered_leaving)
    }

    /// Takes over the backend servers that a new configuration names.
    pub fn configure(&mut self, backends: &HashMap<id::Backend, Backend>) {
        let configured = self.members.iter().filter(|(_, m)| !m.registered);
        let old: Vec<id::Backend> = configured.map(|(name, _)| name.clone()).collect();
        for name in old {
            self.remove(&name);
        }
        for backend in backends.values() {
            self.put(backend.clone(), false, Time(0));
        }
    }

    /// Takes in what became known at `now`; true where that took a server out.
    pub fn apply(&mut self, change: Change, now: Time) -> bool {
        match change {
            Change::List { backends, doubt } => self.list(backends, doubt, now),
            Change::Put(backend) => {
                self.put(backend, true, now);
                false
            }
            Change::Gone { name, doubt } => self.miss(&name, doubt, now),
        }
    }

    fn list(&mut self, backends: Vec<Backend>, doubt: Millis, now: Time) -> bool {
        let listed: HashSet<id::Backend> = backends.iter().map(|b| b.name.clone()).collect();
        let registered = self.members.iter().filter(|(_, m)| m.registered);
        let missing: Vec<id::Backend> = registered
            .map(|(name, _)| name.clone())
            .filter(|name| !listed.contains(name))
            .collect();
        let mut removed = false;
        for name in missing {
            removed |= self.miss(&name, doubt, now);
        }
        self.withheld.clear();
        for backend in backends {
            if self.is_copied(&backend, now) {
                self.withheld.insert(backend.name.clone(), backend);
            } else {
                self.put(backend, true, now);
            }
        }
        removed
    }

    /// Notes that the store came back from a copy: what was known of servers that left outranks it.
    pub fn enter_era(&mut self, now: Time) {
        self.copied_until = Some(now + RESTORED);
        let leaving = self.members.values();
        let leaving = leaving.filter(|m| m.registered && m.registered_leaving);
        for Member { backend, .. } in leaving {
            self.departures
                .note(&backend.name, backend.incarnation, now);
        }
    }

    /// Whether a list may name `backend` only because it is an old copy.
    fn is_copied(&self, backend: &Backend, now: Time) -> bool {
        let ended = self.ended.get(&backend.name);
        self.copied_until.is_some_and(|until| now < until)
            && ended.is_some_and(|(life, _)| *life == backend.incarnation)
    }

    fn put(&mut self, backend: Backend, registered: bool, now: Time) {
        let known = self.members.get(&backend.name);
        let before = known.and_then(|m| m.backend.incarnation);
        if before > backend.incarnation && backend.incarnation.is_some() {
            // A life that is over wrote this late.
            return;
        }
        self.ended.remove(&backend.name);
        self.withheld.remove(&backend.name);
        if before.is_some() && before < backend.incarnation {
            self.reborn.push(backend.name.clone());
        }
        // It may get cold again, and what it says of that only shrinks meanwhile.
        let told = now + backend.cold;
        let cold_until = known.map_or(told, |m| m.cold_until.max(told));
        self.remove(&backend.name);
        self.ending.note(&backend, now);
        self.index.add(&backend);
        let member = Member {
            registered,
            registered_leaving: backend.leaving,
            cold_until,
            missing_until: None,
            backend: Backend {
                leaving: backend.leaving || self.departures.contains(&backend),
                ..backend
            },
        };
        self.members.insert(member.backend.name.clone(), member);
    }

    fn remove(&mut self, name: &id::Backend) -> bool {
        self.missing.remove(name);
        let removed = self.members.remove(name);
        if let Some(member) = &removed {
            self.index.remove(&member.backend);
        }
        removed.is_some()
    }

    /// Takes one out whose registration is gone.
    fn end(&mut self, name: &id::Backend, now: Time) -> bool {
        if let Some(member) = self.members.get(name).filter(|m| m.registered) {
            let life = member.backend.incarnation;
            self.ended.insert(name.clone(), (life, now));
        }
        self.ending.forget(name);
        self.remove(name)
    }

    /// Takes one out, or believes it for as long as its absence is in doubt; true for the first.
    fn miss(&mut self, name: &id::Backend, doubt: Millis, now: Time) -> bool {
        self.withheld.remove(name);
        if doubt == Millis(0) {
            return self.end(name, now);
        }
        if let Some(member) = self.members.get_mut(name) {
            member.missing_until.get_or_insert(now + doubt);
            self.missing.insert(name.clone());
        }
        false
    }

    /// Takes out those that stayed missing; true where there were any.
    pub fn sweep(&mut self, now: Time) -> bool {
        let over = |name: &&id::Backend| {
            let member = self.members.get(*name);
            let until = member.and_then(|m| m.missing_until);
            until.is_none_or(|until| now >= until)
        };
        let over: Vec<id::Backend> = self.missing.iter().filter(over).cloned().collect();
        for name in &over {
            self.end(name, now);
        }
        self.sweep_departures(now);
        self.sweep_copy(now);
        !over.is_empty()
    }

    /// Takes in what an old copy told and what is still told now.
    fn sweep_copy(&mut self, now: Time) {
        if self.copied_until.is_some_and(|until| now >= until) {
            self.copied_until = None;
            for backend in std::mem::take(&mut self.withheld).into_values() {
                self.put(backend, true, now);
            }
        }
        self.ended
            .retain(|_, (_, since)| now.since(*since) < REMEMBERED);
    }

    /// Forgets what servers said that they leave, where it may not be so any more.
    fn sweep_departures(&mut self, now: Time) {
        let kept = |name: &id::Backend| departure_kept(&self.members, name);
        for name in self.departures.expire(kept, now) {
            if let Some(member) = self.members.get_mut(&name) {
                member.backend.leaving = member.registered_leaving;
            }
        }
    }

    /// The backend servers that started again under their name since the last call: what was known of
    /// them speaks of a life that is over.
    pub fn take_reborn(&mut self) -> Vec<id::Backend> {
        std::mem::take(&mut self.reborn)
    }

    /// The backend server called `name`.
    pub fn get(&self, name: &id::Backend) -> Option<&Backend> {
        self.members.get(name).map(|m| &m.backend)
    }

    /// The name that `short` stands for.
    pub fn long(&self, short: Short) -> Option<&id::Backend> {
        self.index.long(short)
    }

    /// Whether `name` is known.
    pub fn contains(&self, name: &id::Backend) -> bool {
        self.members.contains_key(name)
    }

    /// Whether `name` is still cold at `now`.
    pub fn is_cold(&self, name: &id::Backend, now: Time) -> bool {
        self.cold_left(name, now) > Millis(0)
    }

    /// How long `name` is still cold at `now`.
    pub fn cold_left(&self, name: &id::Backend, now: Time) -> Millis {
        let until = self.members.get(name).map(|m| m.cold_until);
        until.map_or(Millis(0), |until| until.since(now))
    }

    /// Notes that the backend servers of `domain` may just have become cold, for as long as `span`
    /// says of their service.
    pub fn chill(&mut self, domain: &Domain, span: impl Fn(&Service) -> Millis, now: Time) {
        let there = |m: &&mut Member| m.backend.domain == *domain;
        for member in self.members.values_mut().filter(there) {
            let spans = member.backend.serves.iter().map(&span);
            let longest = spans.max().unwrap_or_default();
            member.cold_until = member.cold_until.max(now + longest);
        }
    }

    /// All backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.members.values().map(|m| &m.backend)
    }

    /// The backend servers that registered themselves, as of `now`.
    pub fn registered(&self, now: Time) -> Vec<Backend> {
        let registered = self.members.values().filter(|m| m.registered);
        let withheld = self.withheld.values().cloned();
        registered
            .map(|m| m.told(&self.ending, now))
            .chain(withheld)
            .collect()
    }

    /// Those of `names` that registered themselves, as of `now`, and those that are gone.
    pub fn sort_out<'a>(
        &self,
        names: impl IntoIterator<Item = &'a id::Backend>,
        now: Time,
    ) -> (Vec<Backend>, Vec<id::Backend>) {
        let (mut found, mut gone) = (Vec::new(), Vec::new());
        for name in names {
            match self.members.get(name) {
                Some(member) if member.registered => found.push(member.told(&self.ending, now)),
                Some(_) => {}
                None => match self.withheld.get(name) {
                    Some(backend) => found.push(backend.clone()),
                    None => gone.push(name.clone()),
                },
            }
        }
        (found, gone)
    }

    /// The names in which a list differs from what is known. A registration that was in doubt and is listed
    /// differs: others may still doubt it.
    pub fn differences(&self, list: &[Backend]) -> Vec<id::Backend> {
        let listed: HashMap<&id::Backend, &Backend> = list.iter().map(|b| (&b.name, b)).collect();
        let same = |name: &id::Backend, backend: &Backend| {
            let known = self.members.get(name);
            let known = known.filter(|m| m.missing_until.is_none());
            known.map(|m| &m.backend).is_some_and(|known| {
                let listed = Backend {
                    cold: known.cold,
                    time_left: backend
                        .time_left
                        .map(|left| known.time_left.unwrap_or(left)),
                    leaving: backend.leaving || self.departures.contains(backend),
                    ..backend.clone()
                };
                *known == listed
            })
        };
        let registered = self.members.iter().filter(|(_, m)| m.registered);
        let missing = registered
            .map(|(name, _)| name)
            .filter(|n| !listed.contains_key(n));
        let changed = listed.iter().filter(|(name, b)| !same(name, b));
        let changed = changed.map(|(name, _)| *name);
        missing.chain(changed).cloned().collect()
    }

    /// How long each registration that is in doubt is believed from `now` on.
    pub fn doubted(&self, now: Time) -> BTreeMap<id::Backend, Millis> {
        let left = |name: &id::Backend| {
            let until = self.members.get(name)?.missing_until?;
            Some((name.clone(), until.since(now)))
        };
        self.missing.iter().filter_map(left).collect()
    }

    /// The part of all backend servers' slots that stand in `region`.
    pub fn share(&self, region: &Region) -> f64 {
        let (mut all, mut here) = (0_u64, 0_u64);
        for backend in self.iter() {
            let slots = u64::from(backend.slots);
            all += slots;
            here += if backend.region == *region { slots } else { 0 };
        }
        if all == 0 {
            1.0
        } else {
            here as f64 / all as f64
        }
    }

    /// What the backend servers serve.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.index.services()
    }

    /// The backend servers of `region` that serve `service`, in the order of their names.
    pub fn serving(&self, service: &Service, region: &Region) -> impl Iterator<Item = &Backend> {
        let group = self.index.group(service, region);
        let names = group.map_or(&[][..], |group| group.names.as_slice());
        names.iter().filter_map(|name| self.get(name))
    }

    /// How many those are.
    pub fn count(&self, service: &Service, region: &Region) -> usize {
        let group = self.index.group(service, region);
        group.map_or(0, |group| group.names.len())
    }

    /// The same servers in an order that begins anywhere by `key`, alike at every box.
    pub fn around(
        &self,
        service: &Service,
        region: &Region,
        key: u64,
    ) -> impl Iterator<Item = &Backend> {
        let names = self.index.around(service, region, key);
        names.filter_map(|name| self.get(name))
    }
}
