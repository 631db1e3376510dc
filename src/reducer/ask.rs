//! Selects the boxes that a caller should use.

use std::collections::BTreeSet;

use crate::{
    config::{Refusal, Route},
    id,
    member::{Peer, load},
    policy::Policy,
    reducer::{
        State,
        admit::refusal_reply,
        effect::{Effect, Entry, Fallback, RegionView, Reply},
        event::Credential,
        job::DEFAULT_RETRY_AFTER,
    },
    unit::{Millis, Time},
    verdict::Verdict,
    wire::{Absence, Phase},
};

/// Time after its start, or after its process was frozen, in which a box does not send callers to
/// other regions: by its end it has heard of every live region.
const REDIRECT_DELAY: Millis = Millis(3000);
/// Longest duration of a planned restart of a region's boxes: three times the grace period of 8 s
/// that the platform leaves a process. A region that stays away longer counts as gone, and its
/// callers are sent elsewhere.
const MAX_RESTART: Millis = Millis(24_000);

impl<P: Policy> State<P> {
    pub(super) fn boxes(
        &mut self,
        now: Time,
        request: id::Request,
        credential: &Credential,
        out: &mut Vec<Effect>,
    ) {
        let name = self.customer(credential);
        let customer = self
            .config
            .as_ref()
            .zip(name)
            .and_then(|(config, name)| config.customers.get(&name));
        let Some(customer) = customer else {
            let reply = match self.config {
                Some(_) => refusal_reply(Refusal::UnknownCustomer),
                None => Reply::new(503, Verdict::NotRun, "this box is not ready")
                    .with_retry_after(DEFAULT_RETRY_AFTER),
            };
            out.push(Effect::Reply { request, reply });
            return;
        };
        let home = customer.home.clone();
        let boxes = self.entries(now, home.as_ref());
        out.push(Effect::Boxes {
            request,
            boxes,
            detour: None,
        });
    }

    /// Returns the ready boxes of the caller's region. If there are none, it returns those of the
    /// regions where most of the host's requests may run, since a body should not reach a region
    /// where it may not run.
    ///
    /// While the boxes of the caller's region are expected back, only regions where all requests may
    /// run are returned: until then its boxes serve the callers that already know them.
    pub(super) fn resolve(
        &mut self,
        now: Time,
        request: id::Request,
        region: &id::Region,
        host: Option<&str>,
        out: &mut Vec<Effect>,
    ) {
        let mut boxes = self.entries(now, Some(region));
        let local = |e: &Entry| e.contact.region == *region;
        let any_local = boxes.iter().any(local);
        if any_local {
            boxes.retain(local);
            boxes = self.weight_entries(now, boxes);
        } else if !self.control.has_listened_for(REDIRECT_DELAY, now) {
            // Better regions may still be unknown; another box can answer the caller.
            boxes.clear();
        } else {
            if self.is_expected_back(now, region) {
                boxes.retain(|e| self.permits_all_used(now, host, &e.contact.region));
            }
            let permitted = |e: &Entry| self.permitted_use(now, host, &e.contact.region);
            let best = boxes.iter().map(permitted).max();
            boxes.retain(|e| Some(permitted(e)) == best);
        }
        out.push(Effect::Boxes {
            request,
            boxes,
            detour: (!any_local).then(|| self.detour(now, region, host)),
        });
    }

    fn detour(&self, now: Time, region: &id::Region, host: Option<&str>) -> Fallback {
        let config = self.config.as_ref();
        let routes = config.into_iter().flat_map(|c| c.routes_of_host(host));
        Fallback {
            region: region.clone(),
            host: host.map(str::to_owned),
            returning: self.is_expected_back(now, region),
            used: routes.filter(|r| self.demand.is_used(r, now)).count(),
            uptime: now,
            views: self.region_views(now),
        }
    }

    fn region_views(&self, now: Time) -> Vec<RegionView> {
        let view = |region: id::Region| {
            let remote = self.table.region(&region);
            RegionView {
                age: remote.map(|r| now.since(r.received_at)),
                endpoints: remote.map_or(0, |r| r.endpoints().count()),
                unreachable: remote.map_or(0, |r| r.unreachable.len()),
                stopping: remote.is_some_and(|r| r.digest.stopping),
                absent: self.absence_age(now, &region),
                region,
            }
        };
        self.other_regions().into_iter().map(view).collect()
    }

    /// Returns how many requests of `host` seen by this box may run in `region`, how many of its
    /// used routes, and how many of all its routes; higher is better.
    fn permitted_use(
        &self,
        now: Time,
        host: Option<&str>,
        region: &id::Region,
    ) -> (u64, usize, usize) {
        let config = self.config.as_ref();
        let routes = config
            .into_iter()
            .flat_map(|c| c.routes_in_region(host, region));
        routes.fold((0, 0, 0), |(seen, used, routes), route| {
            let uses = usize::from(self.demand.is_used(route, now));
            (seen + self.demand.seen(route), used + uses, routes + 1)
        })
    }

    /// Reports whether `region` may run the requests of all used routes of `host` or, if none is
    /// known to be used, of all its routes.
    fn permits_all_used(&self, now: Time, host: Option<&str>, region: &id::Region) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let used = |route: &&Route| self.demand.is_used(route, now);
        let any = config.routes_of_host(host).any(|route| used(&route));
        let mut relevant = config
            .routes_of_host(host)
            .filter(|route| !any || used(route));
        relevant.all(|route| route.permits(region))
    }

    /// Reports whether the boxes of `region`, none of which accepts work here, will probably do so
    /// soon: they stopped by plan a short while ago or before this box started, they are starting,
    /// or they are live but could not be reached.
    fn is_expected_back(&self, now: Time, region: &id::Region) -> bool {
        let is_recent = |since: Time| now.since(since) < MAX_RESTART;
        if *region != self.table.me.region {
            let closed = match self.table.region(region) {
                Some(_) if !self.table.is_reachable(region, now) => None,
                Some(remote) => remote.closed_since,
                // Its boxes may all have ended before this one started.
                None => self.other_regions().contains(region).then_some(Time(0)),
            };
            return closed.is_some_and(is_recent) || self.is_absent(now, region);
        }
        let stopping =
            |peer: &Peer| peer.last.phase == Phase::Leaving && is_recent(peer.received_at);
        match self.phase(now) {
            Phase::Leaving => true,
            Phase::Unready if is_recent(Time(0)) => true,
            Phase::Unready | Phase::Ready => self.table.peers().any(stopping),
        }
    }

    fn is_absent(&self, now: Time, region: &id::Region) -> bool {
        self.absent_until(region).is_some_and(|until| now < until)
    }

    /// Returns until when another region is expected back from a planned stop, if its last box
    /// announced one and no box there has accepted work since. The announcement may have reached
    /// this box, or others before it started.
    fn absent_until(&self, region: &id::Region) -> Option<Time> {
        let reported = self.control.absences.get(region).copied();
        let Some(remote) = self.table.region(region) else {
            return reported;
        };
        let since_digest = remote.received_at + MAX_RESTART;
        if remote.digest.stopping {
            return Some(since_digest);
        }
        // Starting boxes send digests for their region before they accept work.
        let back = !remote.digest.endpoints.is_empty();
        reported.filter(|until| !back || *until > since_digest)
    }

    /// Records the planned stop of a region before a digest of its restarted boxes replaces the
    /// announcement.
    pub(super) fn record_absence(&mut self, region: &id::Region) {
        let stopped = self.table.region(region).filter(|r| r.digest.stopping);
        if let Some(remote) = stopped {
            let until = remote.received_at + MAX_RESTART;
            self.control.absences.insert(region.clone(), until);
        }
    }

    /// Returns the other regions whose boxes stopped by plan a short while ago.
    pub(super) fn absences(&self, now: Time) -> Vec<Absence> {
        let known = self.table.regions().map(|(region, _)| region);
        let reported = self.control.absences.keys();
        let regions: BTreeSet<&id::Region> = known.chain(reported).collect();
        let absence = |region: &id::Region| {
            let age = self.absence_age(now, region)?;
            let region = region.clone();
            Some(Absence { region, age })
        };
        regions.into_iter().filter_map(absence).collect()
    }

    /// Returns the time since the planned stop of a region that is expected back from it.
    fn absence_age(&self, now: Time, region: &id::Region) -> Option<Millis> {
        let left = self.absent_until(region)?.since(now);
        (left > Millis(0)).then(|| Millis(MAX_RESTART.0.saturating_sub(left.0)))
    }

    /// Records planned stops of other regions reported by another box; they may date from before
    /// the start of this box.
    pub(super) fn receive_absences(&mut self, now: Time, reported: &[Absence]) {
        let mine = &self.table.me.region;
        // Ages leave out the time in transit, so a report that regions send each other must not
        // prolong an absence, nor renew one that has just ended.
        let echo = self.table.region_timeout();
        let absences = &mut self.control.absences;
        absences.retain(|_, until| now < *until + echo);
        let recent = reported.iter().filter(|absence| absence.age < MAX_RESTART);
        for Absence { region, age } in recent.filter(|absence| absence.region != *mine) {
            let reported = now + Millis(MAX_RESTART.0 - age.0);
            let until = absences.entry(region.clone()).or_insert(reported);
            if reported.since(*until) > echo {
                *until = reported;
            }
        }
    }

    pub(super) fn entries(&self, now: Time, home: Option<&id::Region>) -> Vec<Entry> {
        let me = (self.phase(now) == Phase::Ready).then(|| Entry {
            contact: self.table.me.clone(),
            incarnation: self.table.incarnation,
            uptime: now,
            busy: Some(self.jobs.len() as u32),
        });
        let local = self.table.ready(now).map(|peer| Entry {
            contact: peer.last.contact.clone(),
            incarnation: peer.incarnation,
            uptime: peer.uptime(now),
            busy: Some(peer.last.busy),
        });
        let remote_doors = self.table.reachable(now).flat_map(|(_, remote)| {
            let age = now.since(remote.received_at);
            remote.endpoints().map(move |door| Entry {
                contact: door.contact.clone(),
                incarnation: door.incarnation,
                uptime: door.uptime + age,
                busy: None,
            })
        });
        let mut boxes: Vec<Entry> = me.into_iter().chain(local).chain(remote_doors).collect();
        let mine = &self.table.me.region;
        let usual = self.table.median_weight(now);
        boxes.sort_by_cached_key(|e| {
            let region = &e.contact.region;
            let weight = self.table.room_of(&e.contact).weight.unwrap_or(usual);
            let busy = e.busy.map(|busy| load(busy, weight));
            (Some(region) != home, region != mine, busy)
        });
        boxes
    }
}
