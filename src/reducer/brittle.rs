//! Backend servers that fall over if they have to reject more than a few requests per second, how the
//! boxes of a region share what such a server takes at once, and this box's share.

use std::{collections::HashMap, net::SocketAddr};

use crate::{
    cap::{Cap, Level},
    config::Backend,
    id::{self, BoxName, Service},
    limit::{Announcement, Freshness},
    policy::{Place, Policy},
    reducer::{
        State,
        effect::{Effect, Note},
        event::Cause,
        job::Assignment,
        outcome::InFlight,
    },
    server::Server,
    unit::{Millis, Time},
    wire::{Body, Brittleness, NameHash},
};

/// Maximum number of servers in one message: 22 bytes each.
const MAX_BRITTLE_PER_MESSAGE: usize = 48;
/// Time from the first announcement during which a server still lets as many requests wait as before.
const UNCHANGED_TIME: Millis = Millis(4000);
/// Two servers of a service that reject requests within this time have a common cause.
const COMMON_CAUSE_TIME: Millis = Millis(5000);

/// Returns the part of `slots` that `level` is of the slots of `backend`.
fn scaled(level: Level, backend: &Backend, slots: u32) -> u32 {
    (u64::from(level.limit) * u64::from(slots) / u64::from(backend.slots.max(1))) as u32
}

impl<P: Policy> State<P> {
    /// Records in an answer to a request that was sent at `sent` whether a backend server is
    /// brittle.
    pub(super) fn record_brittleness(
        &mut self,
        now: Time,
        name: &id::Backend,
        word: Announcement,
        sent: Time,
        out: &mut Vec<Effect>,
    ) {
        if !self.fleet.contains(name) {
            return;
        }
        let server = self.servers.entry(name.clone()).or_default();
        if server.rejections.apply_announcement(word, sent, now) {
            out.push(Effect::Noted(brittle_note(name, server)));
        }
    }

    /// Applies what another box reports of brittle servers.
    pub(super) fn receive_brittleness(
        &mut self,
        now: Time,
        from: &BoxName,
        reports: &[Brittleness],
        out: &mut Vec<Effect>,
    ) {
        let mut cut = Vec::new();
        for report in reports.iter().take(MAX_BRITTLE_PER_MESSAGE) {
            let Some(backend) = self
                .find_local_backend(report.backend, report.life)
                .cloned()
            else {
                continue;
            };
            let awake = self.control.has_resumed(now);
            let others = self.table.busy(report.backend, now);
            let server = self.servers.entry(backend.name.clone()).or_default();
            // As with limits, a message that was delayed while this box was suspended seems newer than
            // it is.
            if !awake && server.rejections.is_loosened_by(report.tolerance) {
                continue;
            }
            let at = now - report.age;
            let applied = server.rejections.apply_report(report.tolerance, at, from);
            if applied == Freshness::Newer {
                out.push(Effect::Noted(brittle_note(&backend.name, server)));
            }
            // A sender that has not set a cap yet reports none.
            if server.rejections.rate().is_none() || report.limit == 0 {
                continue;
            }
            let cap = server.cap_or_new(backend.slots, self.registry, others, now);
            if cap.apply_report(report.level(), report.hold, now) {
                out.push(Effect::Noted(cap_note(&backend.name, cap, Some(from))));
                if report.hold > Millis(0) {
                    cut.push(backend);
                }
            }
        }
        for backend in cut {
            self.spread_cut(now, &backend, out);
        }
        if !reports.is_empty() {
            self.update_caps(now);
        }
    }

    /// Lowers the cap of a brittle server that rejected a request, and tells the region at once.
    pub(super) fn record_rejection(
        &mut self,
        now: Time,
        in_flight: &InFlight,
        cause: Cause,
        out: &mut Vec<Effect>,
    ) {
        let Assignment::Chosen(Place::Backend(name), _) = &in_flight.spot else {
            return;
        };
        if !matches!(cause, Cause::Full | Cause::Refused) {
            return;
        }
        let Some(backend) = self.fleet.get(name).cloned() else {
            return;
        };
        let registry = self.registry;
        let others = self.table.busy(NameHash::of(name.as_str()), now);
        let server = self.servers.entry(name.clone()).or_default();
        if server.rejections.rate().is_none() {
            return;
        }
        let cap = server.cap_or_new(backend.slots, registry, others, now);
        if !cap.reject(in_flight.at, now) {
            return;
        }
        out.push(Effect::Noted(cap_note(name, cap, None)));
        self.spread_cut(now, &backend, out);
        self.update_caps(now);
        self.tell_brittleness(now, std::slice::from_ref(name), out);
    }

    /// Lowers the caps of the other brittle servers of a service as that of `cut`, if more than one
    /// of them rejected requests. All boxes do so when they hear of it.
    fn spread_cut(&mut self, now: Time, cut: &Backend, out: &mut Vec<Effect>) {
        let Some(level) = self.servers.get(&cut.name).and_then(Server::cap_level) else {
            return;
        };
        for service in &cut.serves {
            let here = self.fleet.serving(service, &self.table.me.region);
            let here: Vec<(id::Backend, u32)> = here.map(|b| (b.name.clone(), b.slots)).collect();
            let rejects = |(name, _): &&(id::Backend, u32)| {
                let cap = self
                    .servers
                    .get(name)
                    .and_then(|server| server.cap.as_ref());
                cap.is_some_and(|cap| cap.rejected_within(COMMON_CAUSE_TIME, now))
            };
            if here.iter().filter(rejects).count() < 2 {
                continue;
            }
            for (name, slots) in here {
                let server = self.servers.get_mut(&name);
                let Some(cap) = server.and_then(|server| server.cap.as_mut()) else {
                    continue;
                };
                let limit = scaled(level, cut, slots).max(1);
                let is_spared = cap.rejected_within(COMMON_CAUSE_TIME, now);
                if !is_spared && cap.level().limit > limit {
                    cap.cut(limit, now);
                    out.push(Effect::Noted(cap_note(&name, cap, None)));
                }
            }
        }
    }

    /// Returns what this box knows of brittle servers, for heartbeats: a box that started, resumed or
    /// was cut off learns it from the first one.
    pub(super) fn known_brittleness(&self, now: Time) -> Vec<Brittleness> {
        let brittle = self.servers.iter();
        let brittle = brittle.filter(|(_, s)| s.rejections.rate().is_some());
        let rows = brittle.filter_map(|(name, s)| wire_brittleness(self.fleet.get(name)?, s, now));
        let mut rows: Vec<Brittleness> = rows.collect();
        rows.sort_unstable_by_key(|row| (row.age, row.backend));
        rows.truncate(MAX_BRITTLE_PER_MESSAGE);
        rows
    }

    /// Tells the boxes of the region what this box knows of these servers.
    fn tell_brittleness(&mut self, now: Time, names: &[id::Backend], out: &mut Vec<Effect>) {
        let rows = names.iter().filter_map(|name| {
            wire_brittleness(self.fleet.get(name)?, self.servers.get(name)?, now)
        });
        let rows: Vec<Brittleness> = rows.collect();
        for rows in rows.chunks(MAX_BRITTLE_PER_MESSAGE) {
            let neighbours = self.table.live(now).map(|peer| peer.last.contact.gossip);
            let neighbours: Vec<SocketAddr> = neighbours.collect();
            self.send_all(Body::Brittle(rows.to_vec()), neighbours, out);
        }
    }

    /// Sets the shares of brittle servers' caps, changes the caps that are due, and tells the region
    /// what changed.
    pub(super) fn follow_brittle(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut changed: Vec<id::Backend> = Vec::new();
        for (name, server) in &mut self.servers {
            if server.rejections.take_due_report(now) {
                changed.push(name.clone());
            }
        }
        let is_concerned = |s: &Server| s.cap.is_some() || s.rejections.rate().is_some();
        if self.servers.values().any(is_concerned) {
            self.update_caps(now);
        }
        for name in self.capped_servers() {
            let waiting = self.is_waited_for(&name);
            let Some(server) = self.servers.get_mut(&name) else {
                continue;
            };
            let tolerated = server.rejections.rate().map_or(0, |rate| rate.0 as u32);
            let busy = server.busy;
            let Some(cap) = &mut server.cap else {
                continue;
            };
            cap.record_use(busy, waiting);
            let max_step = match now.since(cap.since()) < UNCHANGED_TIME {
                true => tolerated.max(1),
                false => tolerated,
            };
            if cap.adjust(max_step, now) {
                out.push(Effect::Noted(cap_note(&name, cap, None)));
                changed.push(name);
            }
        }
        changed.sort_unstable();
        changed.dedup();
        if !changed.is_empty() {
            self.update_caps(now);
            self.tell_brittleness(now, &changed, out);
        }
    }

    /// Returns the servers with a cap, sorted by name.
    fn capped_servers(&self) -> Vec<id::Backend> {
        let capped = self.servers.iter().filter(|(_, s)| s.cap.is_some());
        let mut names: Vec<id::Backend> = capped.map(|(name, _)| name.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Reports whether requests wait here that `name` could run.
    fn is_waited_for(&self, name: &id::Backend) -> bool {
        let backend = self.fleet.get(name);
        backend.is_some_and(|b| b.serves.iter().any(|service| self.waiting_for(service) > 0))
    }

    /// Sets and clears caps as servers become brittle and sound, and this box's shares of them.
    fn update_caps(&mut self, now: Time) {
        let brittle = self.brittle_servers();
        for (name, server) in &mut self.servers {
            if !brittle.contains_key(name) {
                server.cap = None;
            }
        }
        let knows_region = self.knows_region(now);
        for (name, slots) in brittle {
            let retention = |peer: &_| self.sender_retention(peer);
            let (rank, boxes) = self.table.rank_among_active(name.as_str(), retention, now);
            let others = self.table.busy(NameHash::of(name.as_str()), now);
            let server = self.servers.entry(name).or_default();
            let cap = server.cap_or_new(slots, self.registry, others, now);
            match knows_region {
                true => cap.set_share(rank, boxes, others),
                false => cap.clear_share(),
            }
        }
    }

    /// Returns the brittle servers of this region with their slots: those that say so, and those that
    /// have not answered yet where others of the same service say so.
    fn brittle_servers(&self) -> HashMap<id::Backend, u32> {
        let mut services: Vec<&Service> = Vec::new();
        let mut brittle = HashMap::new();
        for (name, server) in &self.servers {
            if server.rejections.rate().is_none() {
                continue;
            }
            let backend = self.fleet.get(name);
            if let Some(backend) = backend.filter(|backend| self.is_local(backend)) {
                services.extend(&backend.serves);
                brittle.insert(name.clone(), backend.slots);
            }
        }
        services.sort_unstable();
        services.dedup();
        for service in services {
            for backend in self.fleet.serving(service, &self.table.me.region) {
                let server = self.servers.get(&backend.name);
                if server.is_none_or(|s| s.rejections.effective_at().is_none()) {
                    brittle.insert(backend.name.clone(), backend.slots);
                }
            }
        }
        brittle
    }

    /// Returns how many more requests this box may send to a brittle server now; `None` if the server
    /// has no cap.
    pub(super) fn cap_room(&self, now: Time, name: &id::Backend) -> Option<u32> {
        let server = self.servers.get(name)?;
        let cap = server.cap.as_ref()?;
        let is_held = cap.hold(now) > Millis(0);
        Some(match is_held {
            true => 0,
            false => cap.share().saturating_sub(server.busy),
        })
    }

    /// Reports whether this box may send to a server, as far as its cap goes.
    pub(super) fn has_cap_share(&self, name: &id::Backend) -> bool {
        let server = self.servers.get(name);
        let cap = server.and_then(|server| server.cap.as_ref());
        cap.is_none_or(|cap| cap.share() > 0)
    }

    /// Returns the number of backend servers known to be brittle.
    pub fn brittle(&self) -> usize {
        let servers = self.servers.values();
        let brittle = servers.filter(|server| server.rejections.rate().is_some());
        brittle.count()
    }
}

/// Returns the wire form of what is known of a brittle server, or `None` if nothing is known.
fn wire_brittleness(backend: &Backend, server: &Server, now: Time) -> Option<Brittleness> {
    let level = server.cap_level().unwrap_or(Level {
        limit: 0,
        version: 0,
        settled: false,
    });
    Some(Brittleness {
        backend: NameHash::of(backend.name.as_str()),
        life: backend.life(),
        tolerance: server.rejections.rate(),
        age: now.since(server.rejections.effective_at()?),
        limit: level.limit,
        version: level.version,
        settled: level.settled,
        hold: server.cap.as_ref().map_or(Millis(0), |cap| cap.hold(now)),
    })
}

fn brittle_note(name: &id::Backend, server: &Server) -> Note {
    Note::Brittle {
        backend: name.clone(),
        tolerance: server.rejections.rate(),
        teller: server.rejections.reporter().cloned(),
    }
}

fn cap_note(name: &id::Backend, cap: &Cap, teller: Option<&BoxName>) -> Note {
    Note::Capped {
        backend: name.clone(),
        limit: cap.level().limit,
        version: cap.level().version,
        teller: teller.cloned(),
    }
}
