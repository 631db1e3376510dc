//! What a box does while the platform's store is silent: it asks the backend servers of its region
//! themselves whether they are cold.
//!
//! A server may become cold at any moment, and its registration cannot say so while the store answers
//! nobody. All boxes then know the same, so none can tell another. The server's liveness check is the
//! source that is left. A box asks a server again after every few requests, so that a server that
//! became cold gets no more than it takes before the box knows; the box then tells its region.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use crate::{
    config::{Backend, Profile},
    id::{self, BoxName, Incarnation, Service},
    member::PEER_RETENTION,
    policy::{Place, Policy},
    reducer::{
        State,
        cold::MAX_SENDERS,
        effect::{Effect, Note},
    },
    unit::{Millis, Time},
    wire::{Body, Coldness, NameHash},
};

/// Time between two checks of a server that has not answered one.
const CHECK_INTERVAL: Millis = Millis(300);
/// Time for a server to answer a check. A full server answers once a slot is free.
pub const CHECK_TIMEOUT: Millis = Millis(1000);
/// Time for the store to answer a box that asks again because another box got no answer.
const RECHECK_TIME: Millis = Millis(200);
/// Maximum number of checks of one box without an answer.
const MAX_PENDING: usize = 64;
/// Maximum number of servers in one message: 13 bytes each.
const MAX_COLD_PER_MESSAGE: usize = 48;
/// Longest time for which a server's own report is believed; later checks renew it.
const MAX_COLD_TIME: Millis = Millis(60_000);

/// What one server told this box, and how many requests it got since.
#[derive(Clone, Copy, Debug, Default)]
struct Check {
    /// When the last check was started.
    started: Option<Time>,
    pending: bool,
    /// Requests sent there since the server last told that it is warm.
    sent: u32,
}

impl Check {
    fn is_pending(&self, now: Time) -> bool {
        let lasts = |started: Time| now.since(started) < CHECK_TIMEOUT;
        self.pending && self.started.is_some_and(lasts)
    }

    fn is_due(&self, now: Time) -> bool {
        let is_early = |started: Time| now.since(started) < CHECK_INTERVAL;
        !self.is_pending(now) && !self.started.is_some_and(is_early)
    }
}

/// A server's own report that it is cold.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Hash of its name and incarnation.
    life: NameHash,
    until: Time,
}

/// What a box knows of an outage of the store, and what servers told it meanwhile.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    /// When a call to the store last got no answer in time, here or at another box of the region.
    failed_at: Option<Time>,
    /// Whether the other boxes were told since the store last answered this one.
    told: bool,
    /// Since when the store is silent.
    silent_since: Option<Time>,
    /// When servers may last have become cold without a change of their registration.
    uncertain_at: Option<Time>,
    /// The servers that got requests since then.
    checks: HashMap<id::Backend, Check>,
    /// What servers told this box.
    cold: BTreeMap<id::Backend, Report>,
}

impl<P: Policy> State<P> {
    /// Records that a call of this box to the store failed or is overdue, and tells the region once.
    pub(super) fn record_store_silence(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.registry {
            return;
        }
        self.outage.failed_at = Some(now);
        self.update_silence(now, None, out);
        if !std::mem::replace(&mut self.outage.told, true) {
            let neighbours = self.neighbours(now);
            self.send_all(Body::StoreSilent, neighbours, out);
        }
    }

    /// Records that the store gave another box of the region no answer. A watch may wait for seconds
    /// before it shows that, so this box asks the store itself.
    pub(super) fn receive_store_silence(
        &mut self,
        now: Time,
        from: &BoxName,
        out: &mut Vec<Effect>,
    ) {
        if !self.registry {
            return;
        }
        let was_silent = self.is_store_silent(now);
        self.outage.failed_at = Some(now);
        self.update_silence(now, Some(from), out);
        if !was_silent {
            out.push(Effect::RecheckStore);
        }
    }

    /// Records that the store answered this box.
    pub(super) fn record_store_answer(&mut self) {
        self.outage.told = false;
    }

    /// Reports whether nothing shows that this box knows what the store holds: a call got no answer,
    /// and nobody has told it of a later one.
    pub fn is_store_silent(&self, now: Time) -> bool {
        let failed = self.outage.failed_at;
        let is_unanswered = failed.is_some() && failed > self.control.informed_at;
        self.registry && (is_unanswered || self.is_uninformed(now))
    }

    /// Records and logs when the store falls silent or is heard again.
    fn update_silence(&mut self, now: Time, teller: Option<&BoxName>, out: &mut Vec<Effect>) {
        let silent = self.is_store_silent(now);
        let since = self.outage.silent_since;
        if silent != since.is_some() {
            self.outage.silent_since = silent.then_some(now);
            let age = self.known_store_age(now).0;
            let span = since.map_or(age.unwrap_or_default(), |since| now.since(since));
            let teller = teller.cloned();
            out.push(Effect::Noted(Note::StoreSilent {
                silent,
                span,
                teller,
            }));
        }
        let lasts = |since: Time| now.since(since) >= RECHECK_TIME;
        if self.outage.silent_since.is_some_and(lasts) {
            self.outage.uncertain_at = Some(now);
        }
    }

    /// Checks again the servers that did not answer, and drops what is no longer needed.
    pub(super) fn follow_outage(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.registry {
            return;
        }
        self.update_silence(now, None, out);
        self.outage.cold.retain(|_, report| now < report.until);
        let mut checks = std::mem::take(&mut self.outage.checks);
        checks.retain(|name, check| check.is_pending(now) || self.needs_checks(now, name));
        self.outage.checks = checks;
        let unconfirmed: Vec<id::Backend> = self
            .outage
            .checks
            .iter()
            .filter(|(_, check)| check.sent > 0 && check.is_due(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in unconfirmed {
            if !self.fleet.is_cold(&name, now) && !self.is_confirmed(now, &name) {
                self.start_check(now, &name, out);
            }
        }
    }

    /// Reports whether servers of `service` may have become cold without this box's knowledge, and
    /// tell so themselves.
    pub(super) fn depends_on_checks(&self, now: Time, service: &Service) -> bool {
        let span = self.catch_up_time(service);
        let recent = |at: Time| now.since(at) <= span;
        let is_uncertain =
            || self.outage.uncertain_at.is_some_and(recent) || self.is_behind(now, span);
        self.registry && self.checked_profile(service).is_some() && is_uncertain()
    }

    /// Returns the properties of `service` if its servers have a rate while they are cold and a
    /// liveness check.
    fn checked_profile(&self, service: &Service) -> Option<&Profile> {
        let profile = self.config.as_ref()?.profiles.get(service)?;
        let is_checked = profile.cold_rate.is_some() && profile.liveness_path.is_some();
        is_checked.then_some(profile)
    }

    fn needs_checks(&self, now: Time, name: &id::Backend) -> bool {
        let backend = self.fleet.get(name);
        let mut services = backend.iter().flat_map(|backend| &backend.serves);
        services.any(|service| self.depends_on_checks(now, service))
    }

    /// Reports whether `name` may get another request before it is asked again whether it is cold.
    pub(super) fn is_confirmed(&self, now: Time, name: &id::Backend) -> bool {
        let sent = self.outage.checks.get(name).map_or(0, |check| check.sent);
        sent < self.requests_per_check(now, name)
    }

    /// Reports whether the answer to a check of `name` is expected any moment, so that requests wait
    /// for it.
    pub(super) fn awaits_check(&self, now: Time, name: &id::Backend) -> bool {
        let check = self.outage.checks.get(name);
        let started = check
            .filter(|check| check.pending)
            .and_then(|check| check.started);
        started.is_some_and(|started| now.since(started) < CHECK_INTERVAL)
    }

    /// Returns how many requests this box sends to `name` for each time that the server tells that
    /// it is warm. All boxes of the region together send no more than a cold server gets in a second:
    /// its rate, and what [`MAX_SENDERS`] boxes may have saved up. In a region of more boxes than
    /// that, each sends one, and the first that learns that the server is cold tells the others.
    fn requests_per_check(&self, now: Time, name: &id::Backend) -> u32 {
        let Some(backend) = self.fleet.get(name) else {
            return 0;
        };
        let profiles = backend.serves.iter();
        let rates = profiles.filter_map(|s| self.checked_profile(s)?.cold_rate);
        let lowest = rates.map(|rate| rate.0).fold(f64::INFINITY, f64::min);
        let (_, boxes) = self
            .table
            .rank_among_active(name.as_str(), |_| PEER_RETENTION, now);
        (((lowest + MAX_SENDERS as f64) / boxes as f64) as u32).max(1)
    }

    /// Counts a request to a server that may have become cold, and asks the server whether it has if
    /// this was the last one that may be sent without an answer.
    pub(super) fn count_unchecked(
        &mut self,
        now: Time,
        service: &Service,
        place: &Place,
        out: &mut Vec<Effect>,
    ) {
        let Place::Backend(name) = place else {
            return;
        };
        if self.fleet.is_cold(name, now) || !self.depends_on_checks(now, service) {
            return;
        }
        let check = self.outage.checks.entry(name.clone()).or_default();
        check.sent = check.sent.saturating_add(1);
        if check.is_pending(now) || self.is_confirmed(now, name) {
            return;
        }
        self.start_check(now, name, out);
    }

    /// Asks `name` whether it is cold, if it takes that without harm.
    fn start_check(&mut self, now: Time, name: &id::Backend, out: &mut Vec<Effect>) {
        let checks = self.outage.checks.values();
        let pending = checks.filter(|check| check.is_pending(now)).count();
        let Some(backend) = self.fleet.get(name) else {
            return;
        };
        if pending >= MAX_PENDING || self.leaving(backend) || !self.bears_check(now, name) {
            return;
        }
        let (address, incarnation) = (backend.address, backend.incarnation);
        let mut profiles = backend
            .serves
            .iter()
            .filter_map(|s| self.checked_profile(s));
        let Some(path) = profiles.find_map(|profile| profile.liveness_path.clone()) else {
            return;
        };
        let check = self.outage.checks.entry(name.clone()).or_default();
        check.started = Some(now);
        check.pending = true;
        if let Some(server) = self.servers.get_mut(name) {
            server.limit.spend(now);
        }
        out.push(Effect::CheckLiveness {
            backend: name.clone(),
            address,
            incarnation,
            path,
        });
    }

    /// Reports whether `name` takes a check without harm: one that it must reject, or that exceeds
    /// its limit, counts like a request.
    fn bears_check(&self, now: Time, name: &id::Backend) -> bool {
        let is_within_limit = self.limit_wait(now, name, 0.0) == Some(Millis(0));
        is_within_limit && self.cap_room(now, name) != Some(0)
    }

    /// Records the result of a check.
    pub(super) fn record_check(
        &mut self,
        now: Time,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        cold: Option<Millis>,
        out: &mut Vec<Effect>,
    ) {
        let backend = self.fleet.get(name);
        let backend = backend.filter(|backend| backend.incarnation == incarnation);
        let life = backend.map(Backend::life);
        let Some(check) = self.outage.checks.get_mut(name) else {
            return;
        };
        check.pending = false;
        match (life, cold) {
            (Some(_), Some(Millis(0))) => {
                check.sent = 0;
                self.drain_all(now, out);
            }
            (Some(life), Some(left)) => self.record_cold(now, name, life, left, out),
            _ => {}
        }
    }

    /// Records what a cold server told this box, and tells the region if that is new.
    fn record_cold(
        &mut self,
        now: Time,
        name: &id::Backend,
        life: NameHash,
        left: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.learn_cold(now, name, life, left, None, out) {
            return;
        }
        let row = Coldness {
            backend: NameHash::of(name.as_str()),
            life,
            left,
        };
        let neighbours = self.neighbours(now);
        self.send_all(Body::Cold(vec![row]), neighbours, out);
    }

    /// Applies what another box of the region was told by cold servers.
    pub(super) fn receive_cold(
        &mut self,
        now: Time,
        from: &BoxName,
        rows: &[Coldness],
        out: &mut Vec<Effect>,
    ) {
        for row in rows.iter().take(MAX_COLD_PER_MESSAGE) {
            let Some(backend) = self.find_local_backend(row.backend, row.life) else {
                continue;
            };
            let name = backend.name.clone();
            self.learn_cold(now, &name, row.life, row.left, Some(from), out);
        }
    }

    /// Counts `name` as cold for `left`; returns whether it counted as warm until now.
    fn learn_cold(
        &mut self,
        now: Time,
        name: &id::Backend,
        life: NameHash,
        left: Millis,
        teller: Option<&BoxName>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let left = left.min(MAX_COLD_TIME);
        let until = now + left;
        if left == Millis(0) {
            return false;
        }
        let was_warm = !self.fleet.is_cold(name, now);
        self.fleet.extend_cold(name, until);
        // Only the box that was told repeats it: passed on from box to box, the time would grow by that
        // of each message.
        if teller.is_none() {
            let report = Report { life, until };
            self.outage.cold.insert(name.clone(), report);
        }
        if was_warm {
            self.servers
                .entry(name.clone())
                .or_default()
                .pause_cold(now);
            out.push(Effect::Noted(Note::Cold {
                backend: name.clone(),
                left,
                teller: teller.cloned(),
            }));
        }
        was_warm
    }

    /// Returns the servers that told this box that they are cold, those that stay so for the longest
    /// first. Heartbeats carry them for boxes that missed the first message.
    pub(super) fn reported_cold(&self, now: Time) -> Vec<Coldness> {
        let reports = self.outage.cold.iter();
        let current = reports.filter(|(name, report)| {
            let backend = self.fleet.get(name);
            backend.is_some_and(|b: &Backend| b.life() == report.life)
        });
        let rows = current.map(|(name, report)| Coldness {
            backend: NameHash::of(name.as_str()),
            life: report.life,
            left: report.until.since(now),
        });
        let mut rows: Vec<Coldness> = rows.filter(|row| row.left > Millis(0)).collect();
        rows.sort_unstable_by_key(|row| (std::cmp::Reverse(row.left), row.backend));
        rows.truncate(MAX_COLD_PER_MESSAGE);
        rows
    }

    /// Returns the gossip addresses of the live boxes of the region.
    fn neighbours(&self, now: Time) -> Vec<SocketAddr> {
        let live = self.table.live(now);
        live.map(|peer| peer.last.contact.gossip).collect()
    }
}
