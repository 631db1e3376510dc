//! Backend servers that a box may use: those named by the configuration and those registered with
//! the platform.
//!
//! A registration that disappears while the store is healthy means that the server is leaving. A
//! registration that disappears around a store outage is treated as possibly valid for a while,
//! because the store may have dropped it and the server may register again.

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
    wire::NameHash,
};

pub use changes::Changes;
pub use ending::Shutdown;
pub use revision::{Era, Revision};

use departures::Departures;
use ending::Ending;
use index::Index;

/// How long a registration that disappeared around a store outage is still treated as valid. Live
/// servers re-register about two seconds after the store is back; the rest covers the propagation
/// of the update.
pub const OUTAGE_GRACE: Millis = Millis(2300);

/// How long after a restore from a copy entries missing from the store may still be written again.
/// Live servers re-register within two seconds, and the entry of a server that ended expires after
/// three heartbeats.
pub const RESTORE_GRACE: Millis = Millis(5000);

/// How long ended registrations are remembered, because a store restored from a copy may list them
/// again.
const ENDED_RETENTION: Millis = Millis(60_000);

/// Delay for batching changes: the time per box of the fleet beyond [`SMALL_FLEET_BOXES`], and the
/// maximum. All boxes together query the store at most about 100 times a second. Changes need to
/// arrive within seconds, and a single change is not delayed.
const BATCH_DELAY: (Millis, Millis) = (Millis(12), Millis(1000));
/// Number of boxes up to which changes are fetched without a batching delay, since so few boxes put
/// little load on the store.
const SMALL_FLEET_BOXES: usize = 9;

/// Returns how long a box in a fleet of `boxes` batches changes of the platform's store.
pub fn batch_delay(boxes: usize) -> Millis {
    let more = boxes.saturating_sub(SMALL_FLEET_BOXES) as u64;
    Millis(BATCH_DELAY.0.0.saturating_mul(more)).min(BATCH_DELAY.1)
}

/// Roll-outs by service, as recorded in the platform's store.
pub type Rollouts = BTreeMap<Service, rollout::Entry>;

/// Snapshot or delta of the registered backend servers that a box knows, sent to a box that cannot
/// query the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// All backend servers, or only those added or changed in a delta.
    pub backends: Vec<Backend>,
    /// Revision on which the delta is based; `None` for a full snapshot.
    pub since: Option<Revision>,
    /// Backend servers removed since then.
    pub removed: Vec<id::Backend>,
    /// Revision ranges after `since` of which only the final state is known: servers that changed
    /// and changed back within them are not included.
    pub gaps: Vec<(Revision, Revision)>,
    /// How much longer each registration in doubt is treated as valid.
    pub in_doubt: BTreeMap<id::Backend, Millis>,
    /// Failure domains under evacuation.
    pub evacuated: BTreeSet<Domain>,
    /// Roll-outs of services.
    pub rollouts: Rollouts,
    /// Revision that the roster is current as of.
    pub revision: Revision,
}

/// Change to the registered backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The complete list.
    List {
        /// The backend servers.
        backends: Vec<Backend>,
        /// How long a missing server may be missing because of a store fault; zero if the store is
        /// healthy.
        grace: Millis,
    },
    /// A server was added or changed.
    Put(Backend),
    /// A registration disappeared.
    Removed {
        /// Its name.
        name: id::Backend,
        /// How long the disappearance may be due to a store fault; zero if the store is healthy.
        grace: Millis,
    },
}

#[derive(Clone, Debug)]
struct Member {
    /// The server; `leaving` is set if its registration says so or if the server itself announced
    /// it.
    backend: Backend,
    registered: bool,
    /// Whether the registration or the configuration marks the server as leaving.
    registered_leaving: bool,
    cold_until: Time,
    /// When the server is removed unless its registration reappears.
    missing_until: Option<Time>,
}

impl Member {
    /// Returns the server as sent to other boxes at `now`.
    fn snapshot(&self, ending: &Ending, now: Time) -> Backend {
        Backend {
            cold: self.cold_until.since(now),
            time_left: ending.left(&self.backend.name, now),
            ..self.backend.clone()
        }
    }
}

/// Returns how long an announced departure of `name` is kept; `None` if it is valid for the rest of
/// the server's incarnation.
fn departure_retention(
    members: &HashMap<id::Backend, Member>,
    name: &id::Backend,
) -> Option<Millis> {
    match members.get(name) {
        Some(member) if member.registered => None,
        Some(_) => Some(departures::CONFIGURED_RETENTION),
        None => Some(departures::UNREGISTERED_RETENTION),
    }
}

/// Registry of all backend servers known to a box.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: HashMap<id::Backend, Member>,
    index: Index,
    /// Servers whose registration is in doubt.
    missing: HashSet<id::Backend>,
    /// Servers that restarted under the same name since the last [`Fleet::take_restarted`].
    restarted: Vec<id::Backend>,
    departures: Departures,
    ending: Ending,
    /// Incarnations of servers whose registration has ended, and when it ended.
    ended_incarnations: HashMap<id::Backend, (Option<Incarnation>, Time)>,
    /// Until when a list may be outdated because the store was restored from a copy, and the
    /// servers listed meanwhile whose registration had already ended.
    restored_until: Option<Time>,
    withheld: HashMap<id::Backend, Backend>,
}

impl Fleet {
    /// Records that this incarnation of a backend server announced its departure at `at`; returns
    /// whether that was not known before.
    pub fn record_departure(
        &mut self,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        at: Time,
        now: Time,
    ) -> bool {
        let retention = departure_retention(&self.members, name);
        if retention.is_some_and(|retention| now.since(at) >= retention) {
            return false;
        }
        let is_new = self.departures.note(name, incarnation, at);
        if let Some(member) = self.members.get_mut(name) {
            member.backend.leaving |= self.departures.contains(&member.backend);
        }
        is_new
    }

    /// Returns the backend servers that announced their departure while their registration does not
    /// show it yet, with the time of the last announcement.
    pub fn departing(&self) -> impl Iterator<Item = (&Backend, Time)> {
        let departures = self.departures.iter();
        let known = departures.filter_map(|(name, at)| Some((self.members.get(name)?, at)));
        let announced = known.filter(|(m, _)| m.backend.leaving && !m.registered_leaving);
        announced.map(|(member, at)| (&member.backend, at))
    }

    /// Reports whether `name` announced its own departure and its registration does not show it.
    pub fn is_departing(&self, name: &id::Backend) -> bool {
        let member = self.members.get(name);
        member.is_some_and(|m| m.backend.leaving && !m.registered_leaving)
    }

    /// Replaces the servers of the previous configuration by those of a new one.
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

    /// Applies a change received at `now`; returns whether it removed a server.
    pub fn apply(&mut self, change: Change, now: Time) -> bool {
        match change {
            Change::List {
                backends,
                grace: doubt,
            } => self.apply_list(backends, doubt, now),
            Change::Put(backend) => {
                self.put(backend, true, now);
                false
            }
            Change::Removed { name, grace: doubt } => self.mark_missing(&name, doubt, now),
        }
    }

    fn apply_list(&mut self, backends: Vec<Backend>, doubt: Millis, now: Time) -> bool {
        let listed: HashSet<id::Backend> = backends.iter().map(|b| b.name.clone()).collect();
        let registered = self.members.iter().filter(|(_, m)| m.registered);
        let missing: Vec<id::Backend> = registered
            .map(|(name, _)| name.clone())
            .filter(|name| !listed.contains(name))
            .collect();
        let mut removed = false;
        for name in missing {
            removed |= self.mark_missing(&name, doubt, now);
        }
        self.withheld.clear();
        for backend in backends {
            if self.may_be_outdated(&backend, now) {
                self.withheld.insert(backend.name.clone(), backend);
            } else {
                self.put(backend, true, now);
            }
        }
        removed
    }

    /// Records that the store was restored from a copy: for a while, earlier knowledge of servers
    /// that left takes precedence over its lists.
    pub fn record_restore(&mut self, now: Time) {
        self.restored_until = Some(now + RESTORE_GRACE);
        let leaving = self.members.values();
        let leaving = leaving.filter(|m| m.registered && m.registered_leaving);
        for Member { backend, .. } in leaving {
            self.departures
                .note(&backend.name, backend.incarnation, now);
        }
    }

    /// Reports whether a list may name `backend` only because it is an outdated copy.
    fn may_be_outdated(&self, backend: &Backend, now: Time) -> bool {
        let ended = self.ended_incarnations.get(&backend.name);
        self.restored_until.is_some_and(|until| now < until)
            && ended.is_some_and(|(life, _)| *life == backend.incarnation)
    }

    fn put(&mut self, backend: Backend, registered: bool, now: Time) {
        let known = self.members.get(&backend.name);
        let before = known.and_then(|m| m.backend.incarnation);
        if before > backend.incarnation && backend.incarnation.is_some() {
            // A late write of an earlier incarnation.
            return;
        }
        self.ended_incarnations.remove(&backend.name);
        self.withheld.remove(&backend.name);
        if before.is_some() && before < backend.incarnation {
            self.restarted.push(backend.name.clone());
        }
        // The later end is kept: the server may become cold again, and the remaining time that it
        // reports otherwise only decreases.
        let reported_until = now + backend.cold;
        let cold_until = known.map_or(reported_until, |m| m.cold_until.max(reported_until));
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

    /// Removes a server whose registration has ended.
    fn remove_ended(&mut self, name: &id::Backend, now: Time) -> bool {
        if let Some(member) = self.members.get(name).filter(|m| m.registered) {
            let life = member.backend.incarnation;
            self.ended_incarnations.insert(name.clone(), (life, now));
        }
        self.ending.forget(name);
        self.remove(name)
    }

    /// Removes a server, or keeps it for as long as its absence is in doubt; returns whether it was
    /// removed.
    fn mark_missing(&mut self, name: &id::Backend, doubt: Millis, now: Time) -> bool {
        self.withheld.remove(name);
        if doubt == Millis(0) {
            return self.remove_ended(name, now);
        }
        if let Some(member) = self.members.get_mut(name) {
            member.missing_until.get_or_insert(now + doubt);
            self.missing.insert(name.clone());
        }
        false
    }

    /// Removes servers whose registration stayed missing; returns whether there were any. Also
    /// expires announced departures and restore state.
    pub fn sweep(&mut self, now: Time) -> bool {
        let is_expired = |name: &&id::Backend| {
            let member = self.members.get(*name);
            let until = member.and_then(|m| m.missing_until);
            until.is_none_or(|until| now >= until)
        };
        let expired: Vec<id::Backend> = self.missing.iter().filter(is_expired).cloned().collect();
        for name in &expired {
            self.remove_ended(name, now);
        }
        self.sweep_departures(now);
        self.sweep_restored(now);
        !expired.is_empty()
    }

    /// Applies the withheld entries of an outdated list that are still listed once the restore
    /// period is over.
    fn sweep_restored(&mut self, now: Time) {
        if self.restored_until.is_some_and(|until| now >= until) {
            self.restored_until = None;
            for backend in std::mem::take(&mut self.withheld).into_values() {
                self.put(backend, true, now);
            }
        }
        self.ended_incarnations
            .retain(|_, (_, since)| now.since(*since) < ENDED_RETENTION);
    }

    /// Drops announced departures that have expired.
    fn sweep_departures(&mut self, now: Time) {
        let retention = |name: &id::Backend| departure_retention(&self.members, name);
        for name in self.departures.expire(retention, now) {
            if let Some(member) = self.members.get_mut(&name) {
                member.backend.leaving = member.registered_leaving;
            }
        }
    }

    /// Returns the backend servers that restarted under the same name since the last call: what was
    /// known of them applies to an earlier incarnation.
    pub fn take_restarted(&mut self) -> Vec<id::Backend> {
        std::mem::take(&mut self.restarted)
    }

    /// Returns the backend server called `name`.
    pub fn get(&self, name: &id::Backend) -> Option<&Backend> {
        self.members.get(name).map(|m| &m.backend)
    }

    /// Returns the full name for the hash `short`.
    pub fn long(&self, short: NameHash) -> Option<&id::Backend> {
        self.index.name_of(short)
    }

    /// Reports whether `name` is known.
    pub fn contains(&self, name: &id::Backend) -> bool {
        self.members.contains_key(name)
    }

    /// Reports whether `name` is still cold at `now`.
    pub fn is_cold(&self, name: &id::Backend, now: Time) -> bool {
        self.cold_left(name, now) > Millis(0)
    }

    /// Returns how much longer `name` is cold at `now`.
    pub fn cold_left(&self, name: &id::Backend, now: Time) -> Millis {
        let until = self.members.get(name).map(|m| m.cold_until);
        until.map_or(Millis(0), |until| until.since(now))
    }

    /// Records that `name` is cold until `until` at least.
    pub fn extend_cold(&mut self, name: &id::Backend, until: Time) {
        if let Some(member) = self.members.get_mut(name) {
            member.cold_until = member.cold_until.max(until);
        }
    }

    /// Records that the backend servers of `domain` may just have become cold, for the longest
    /// `span` of the services that each serves.
    pub fn mark_cold(&mut self, domain: &Domain, span: impl Fn(&Service) -> Millis, now: Time) {
        let in_domain = |m: &&mut Member| m.backend.domain == *domain;
        for member in self.members.values_mut().filter(in_domain) {
            let spans = member.backend.serves.iter().map(&span);
            let longest = spans.max().unwrap_or_default();
            member.cold_until = member.cold_until.max(now + longest);
        }
    }

    /// All backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.members.values().map(|m| &m.backend)
    }

    /// Returns the registered backend servers as of `now`.
    pub fn registered(&self, now: Time) -> Vec<Backend> {
        let registered = self.members.values().filter(|m| m.registered);
        let withheld = self.withheld.values().cloned();
        registered
            .map(|m| m.snapshot(&self.ending, now))
            .chain(withheld)
            .collect()
    }

    /// Splits `names` into servers that are registered as of `now` and servers that are gone.
    pub fn partition_registered<'a>(
        &self,
        names: impl IntoIterator<Item = &'a id::Backend>,
        now: Time,
    ) -> (Vec<Backend>, Vec<id::Backend>) {
        let (mut found, mut gone) = (Vec::new(), Vec::new());
        for name in names {
            match self.members.get(name) {
                Some(member) if member.registered => found.push(member.snapshot(&self.ending, now)),
                Some(_) => {}
                None => match self.withheld.get(name) {
                    Some(backend) => found.push(backend.clone()),
                    None => gone.push(name.clone()),
                },
            }
        }
        (found, gone)
    }

    /// Returns the names for which `list` differs from what other boxes are sent as registered,
    /// including withheld entries. A listed server whose registration was in doubt counts as
    /// different, because other boxes may still have it in doubt.
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
            .chain(self.withheld.keys())
            .filter(|n| !listed.contains_key(n));
        let changed = listed.iter().filter(|(name, b)| !same(name, b));
        let changed = changed.map(|(name, _)| *name);
        missing.chain(changed).cloned().collect()
    }

    /// Returns how much longer each registration in doubt is treated as valid, from `now` on.
    pub fn in_doubt(&self, now: Time) -> BTreeMap<id::Backend, Millis> {
        let left = |name: &id::Backend| {
            let until = self.members.get(name)?.missing_until?;
            Some((name.clone(), until.since(now)))
        };
        self.missing.iter().filter_map(left).collect()
    }

    /// Returns the share of all backend servers' slots located in `region`.
    pub fn share(&self, region: &Region) -> f64 {
        let (mut total, mut in_region) = (0_u64, 0_u64);
        for backend in self.iter() {
            let slots = u64::from(backend.slots);
            total += slots;
            in_region += if backend.region == *region { slots } else { 0 };
        }
        if total == 0 {
            1.0
        } else {
            in_region as f64 / total as f64
        }
    }

    /// Returns the services that the backend servers provide.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.index.services()
    }

    /// Returns the backend servers of `region` that serve `service`, sorted by name.
    pub fn serving(&self, service: &Service, region: &Region) -> impl Iterator<Item = &Backend> {
        let group = self.index.group(service, region);
        let names = group.map_or(&[][..], |group| group.names.as_slice());
        names.iter().filter_map(|name| self.get(name))
    }

    /// Returns the number of backend servers of `region` that serve `service`.
    pub fn count(&self, service: &Service, region: &Region) -> usize {
        let group = self.index.group(service, region);
        group.map_or(0, |group| group.names.len())
    }

    /// Returns the backend servers of `region` that serve `service` in ring order from `key`, which
    /// is the same at every box.
    pub fn ring_from(
        &self,
        service: &Service,
        region: &Region,
        key: u64,
    ) -> impl Iterator<Item = &Backend> {
        let names = self.index.ring_from(service, region, key);
        names.filter_map(|name| self.get(name))
    }
}
