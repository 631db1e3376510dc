//! Which boxes a caller should use.

use std::collections::BTreeSet;

use crate::{
    config::{Refusal, Route},
    id,
    member::{Peer, load},
    policy::Policy,
    reducer::{
        State,
        admit::refusal,
        effect::{Detour, Effect, Entry, Reply},
        event::Credential,
        job::SOON,
    },
    unit::{Millis, Time},
    verdict::Verdict,
    wire::{Absence, Phase},
};

/// How long a box that started does not send callers away from their region: by then it has heard
/// of every region that lives.
const LEARNING: Millis = Millis(3000);
/// How long a planned restart of a region's boxes may take: three times the grace of 8 s that the
/// platform leaves a process. A region that stays away longer is gone, and its callers go elsewhere.
const RESTART: Millis = Millis(24_000);

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
                Some(_) => refusal(Refusal::UnknownCustomer),
                None => Reply::new(503, Verdict::NotRun, "this box is not ready").after(SOON),
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

    /// Names the ready boxes of the caller's region. Where it has none, those of the regions where
    /// most of the host's requests may run: a body should not go to a region where it may not.
    ///
    /// While the boxes of the caller's region stop by plan, it names only regions where all of them
    /// may run: the region is back soon, and its boxes serve those who know them meanwhile.
    pub(super) fn resolve(
        &mut self,
        now: Time,
        request: id::Request,
        region: &id::Region,
        host: Option<&str>,
        out: &mut Vec<Effect>,
    ) {
        let mut boxes = self.entries(now, Some(region));
        let near = |e: &Entry| e.contact.region == *region;
        let any_near = boxes.iter().any(near);
        if any_near {
            boxes.retain(near);
            boxes = self.share_out(now, boxes);
        } else if now < Time(0) + LEARNING {
            // It may not have heard of the better ones yet; another box can say more.
            boxes.clear();
        } else {
            if self.stops_by_plan(now, region) {
                boxes.retain(|e| self.is_whole(now, host, &e.contact.region));
            }
            let fit = |e: &Entry| self.fitness(now, host, &e.contact.region);
            let best = boxes.iter().map(fit).max();
            boxes.retain(|e| Some(fit(e)) == best);
        }
        out.push(Effect::Boxes {
            request,
            boxes,
            detour: (!any_near).then(|| self.detour(now, region, host)),
        });
    }

    fn detour(&self, now: Time, region: &id::Region, host: Option<&str>) -> Detour {
        let config = self.config.as_ref();
        let routes = config.into_iter().flat_map(|c| c.of_host(host));
        Detour {
            region: region.clone(),
            host: host.map(str::to_owned),
            planned: self.stops_by_plan(now, region),
            used: routes.filter(|r| self.demand.uses(r, now)).count(),
        }
    }

    /// How many requests of `host` that this box has seen may run in `region`, how many of its used routes,
    /// and how many of all: the more the better.
    fn fitness(&self, now: Time, host: Option<&str>, region: &id::Region) -> (u64, usize, usize) {
        let config = self.config.as_ref();
        let routes = config.into_iter().flat_map(|c| c.permitted(host, region));
        routes.fold((0, 0, 0), |(seen, used, routes), route| {
            let uses = usize::from(self.demand.uses(route, now));
            (seen + self.demand.seen(route), used + uses, routes + 1)
        })
    }

    /// Whether `region` may run the requests of all routes of `host` that callers use, or, where none is known to
    /// be used, those of all its routes.
    fn is_whole(&self, now: Time, host: Option<&str>, region: &id::Region) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let used = |route: &&Route| self.demand.uses(route, now);
        let any = config.of_host(host).any(|route| used(&route));
        let mut relevant = config.of_host(host).filter(|route| !any || used(route));
        relevant.all(|route| route.permits(region))
    }

    /// Whether the boxes of `region`, of which none takes work, stopped by plan a short while ago.
    fn stops_by_plan(&self, now: Time, region: &id::Region) -> bool {
        if *region != self.table.me.region {
            let absent = self.absent_since(region);
            return absent.is_some_and(|since| now.since(since) < RESTART);
        }
        let stopping =
            |peer: &Peer| peer.last.phase == Phase::Leaving && now.since(peer.heard) < RESTART;
        self.phase(now) == Phase::Leaving || self.table.peers().any(stopping)
    }

    /// When the last box of another region said that it stops, where no box there has taken work since: to this
    /// box, or to others before it started.
    fn absent_since(&self, region: &id::Region) -> Option<Time> {
        let told = self.control.absences.get(region).copied();
        let Some(remote) = self.table.region(region) else {
            return told;
        };
        if remote.digest.stopping {
            return Some(remote.heard);
        }
        // Boxes that start again speak for their region before they take work.
        let back = !remote.digest.doors.is_empty();
        told.filter(|since| !back || *since > remote.heard)
    }

    /// Remembers that a region had stopped by plan, whose boxes that start again now speak for it.
    pub(super) fn keep_absence(&mut self, region: &id::Region) {
        let stopped = self.table.region(region).filter(|r| r.digest.stopping);
        if let Some(remote) = stopped {
            let since = remote.heard;
            self.control.absences.insert(region.clone(), since);
        }
    }

    /// The other regions whose boxes stopped by plan a short while ago.
    pub(super) fn absences(&self, now: Time) -> Vec<Absence> {
        let heard = self.table.regions().map(|(region, _)| region);
        let told = self.control.absences.keys();
        let regions: BTreeSet<&id::Region> = heard.chain(told).collect();
        let absence = |region: &id::Region| {
            let age = now.since(self.absent_since(region)?);
            let region = region.clone();
            (age < RESTART).then_some(Absence { region, age })
        };
        regions.into_iter().filter_map(absence).collect()
    }

    /// Takes from another region which others stopped by plan: this box may have started after that.
    pub(super) fn hear_absences(&mut self, now: Time, told: &[Absence]) {
        let absences = &mut self.control.absences;
        absences.retain(|_, since| now.since(*since) < RESTART);
        let recent = told.iter().filter(|absence| absence.age < RESTART);
        for Absence { region, age } in recent {
            let since = absences.entry(region.clone()).or_default();
            *since = (*since).max(now - *age);
        }
    }

    pub(super) fn entries(&self, now: Time, home: Option<&id::Region>) -> Vec<Entry> {
        let me = (self.phase(now) == Phase::Ready).then(|| Entry {
            contact: self.table.me.clone(),
            incarnation: self.table.incarnation,
            uptime: now,
            busy: Some(self.jobs.len() as u32),
        });
        let near = self.table.ready(now).map(|peer| Entry {
            contact: peer.last.contact.clone(),
            incarnation: peer.incarnation,
            uptime: peer.uptime(now),
            busy: Some(peer.last.busy),
        });
        let far = self.table.reachable(now).flat_map(|(_, remote)| {
            let age = now.since(remote.heard);
            remote.digest.doors.iter().map(move |door| Entry {
                contact: door.contact.clone(),
                incarnation: door.incarnation,
                uptime: door.uptime + age,
                busy: None,
            })
        });
        let mut boxes: Vec<Entry> = me.into_iter().chain(near).chain(far).collect();
        let mine = &self.table.me.region;
        let usual = self.table.usual_weight(now);
        boxes.sort_by_cached_key(|e| {
            let region = &e.contact.region;
            let weight = self.table.room_of(&e.contact).weight.unwrap_or(usual);
            let busy = e.busy.map(|busy| load(busy, weight));
            (Some(region) != home, region != mine, busy)
        });
        boxes
    }
}
