//! Digests: what one region tells another, and how they are passed on.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    id::Region,
    member::load,
    policy::Policy,
    reducer::{State, effect::Effect},
    settings::Seed,
    size::Room,
    unit::{Millis, Time},
    wire::{Body, Capacity, Contact, Digest, Door, Frame, Phase, Short},
};

/// Boxes that a digest names.
const DOORS: usize = 3;

impl<P: Policy> State<P> {
    /// Tells the other regions of this one, as far as that is this box's duty.
    pub(super) fn report(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.control.digests += 1;
        if self.phase(now) == Phase::Leaving {
            return;
        }
        let mut summary = None;
        for region in self.other_regions() {
            if !self.table.leads(region.as_str(), now) {
                continue;
            }
            let Some(to) = self.digest_target(now, &region) else {
                continue;
            };
            let digest = summary.get_or_insert_with(|| self.summary(now)).clone();
            let frame = self.frame(Body::Digest(digest));
            out.push(Effect::Gossip { to, frame });
        }
    }

    /// Tells every other region that this box takes no relays any more; a box there passes it on.
    pub(super) fn bid_farewell(&mut self, now: Time, out: &mut Vec<Effect>) {
        let digest = self.summary(now);
        for region in self.other_regions() {
            if let Some(to) = self.digest_target(now, &region) {
                let frame = self.frame(Body::Digest(digest.clone()));
                out.push(Effect::Gossip { to, frame });
            }
        }
    }

    pub(super) fn other_regions(&self) -> Vec<Region> {
        let seeded = self.seeds.iter().filter_map(|s| s.region.clone());
        let configured = self.config.iter().flat_map(|c| c.regions.keys().cloned());
        let heard = self.table.regions().map(|(region, _)| region.clone());
        let mut regions: BTreeSet<Region> = seeded.chain(configured).chain(heard).collect();
        regions.remove(&self.table.me.region);
        regions.into_iter().collect()
    }

    /// Where the next digest for `region` goes: its doors and the seeds there take turns.
    ///
    /// One copy is enough, since its receiver passes it on; the turns get round one that is gone,
    /// and a seed finds a region that was replaced whole.
    fn digest_target(&self, now: Time, region: &Region) -> Option<SocketAddr> {
        let remote = self.table.region(region);
        let doors = remote.map_or(&[][..], |r| &r.digest.doors);
        let near = |s: &Seed| {
            self.table
                .peers()
                .any(|p| p.last.contact.gossip == s.gossip)
        };
        let seeds = self.seeds.iter().filter(|s| match &s.region {
            Some(seeded) => seeded == region,
            None => s.gossip != self.table.me.gossip && !near(s),
        });
        let live = remote.is_some_and(|r| now.since(r.heard) <= self.table.region_suspect());
        let mut targets: Vec<SocketAddr> = doors.iter().map(|d| d.contact.gossip).collect();
        if !live || targets.is_empty() {
            targets.extend(seeds.map(|s| s.gossip));
        }
        let turn = (self.control.digests as usize).checked_rem(targets.len())?;
        targets.get(turn).copied()
    }

    pub(super) fn summary(&self, now: Time) -> Digest {
        let usual = self.table.usual_weight(now);
        let place = |busy: u32, room: Room| (room.full, load(busy, room.weight.unwrap_or(usual)));
        let me = (self.phase(now) == Phase::Ready).then(|| {
            let door = Door {
                contact: self.table.me.clone(),
                incarnation: self.table.incarnation,
                uptime: now,
            };
            (place(self.jobs.len() as u32, self.table.room), door)
        });
        let others = self.table.ready(now).map(|peer| {
            let door = Door {
                contact: peer.last.contact.clone(),
                incarnation: peer.incarnation,
                uptime: peer.uptime(now),
            };
            (place(peer.last.busy, peer.last.room), door)
        });
        let mut doors: Vec<((bool, u64), Door)> = me.into_iter().chain(others).collect();
        doors.sort_by(|a, b| (a.0, &a.1.contact.name).cmp(&(b.0, &b.1.contact.name)));
        let near = self.table.live(now).map(|p| p.last.version);
        Digest {
            region: self.table.me.region.clone(),
            version: near.max().unwrap_or_default().max(self.version()),
            revision: self.table.revision(now).max(self.revision),
            absences: self.absences(now),
            used: self.used_routes(now),
            stopping: doors.is_empty() && self.phase(now) == Phase::Leaving,
            doors: doors.into_iter().map(|(_, d)| d).take(DOORS).collect(),
            services: self.capacities(now),
            held: self.quarantine.told(now),
            uses: self.table.uses(self.accounts.told(now), now),
            trials: self.table.trials(self.rollouts.told(now), now),
            cover: self.table.cover(now),
            boxes: self.table.live(now).count() as u32 + 1,
            spread: true,
        }
    }

    fn capacities(&self, now: Time) -> Vec<Capacity> {
        let services: BTreeSet<_> = self.fleet.services().collect();
        let capacity = |service| {
            let mut total = Capacity {
                service: Short::of(crate::id::Service::as_str(service)),
                slots: 0,
                busy: 0,
                first: Millis(0),
                whole: Millis(0),
            };
            let mut servers = 0;
            for backend in self.fleet.serving(service, &self.table.me.region) {
                let down = self.table.is_down(Short::of(backend.name.as_str()), now);
                let trial = self.rollouts.is_on_trial(service, backend, now);
                if down || trial || self.excluded(now, backend).is_some() {
                    continue;
                }
                let server = self.servers.get(&backend.name).cloned().unwrap_or_default();
                let slots = server.slots(backend.slots, now);
                let busy = server.busy + self.table.busy(Short::of(backend.name.as_str()), now);
                // Free slots of a limited or a cold server are none that others may use.
                let limited = server.limit.slots(slots, server.whole());
                let cold = self.cold_slots(now, service, backend, server.whole());
                let limited = cold.map_or(limited, |cold| cold.min(limited));
                total.slots += limited;
                total.busy += match limited < slots {
                    true => busy.min(limited),
                    false => busy,
                };
                total.first.0 += server.first_token(0, now).0;
                total.whole.0 += server.whole().0;
                servers += 1;
            }
            total.first.0 = total.first.0.checked_div(servers)?;
            total.whole.0 = total.whole.0.checked_div(servers)?;
            total.busy += self.waiting_for(service) as u32;
            Some(total)
        };
        services.into_iter().filter_map(capacity).collect()
    }

    /// Answers a box of another region that took this one for a neighbour: what is known of the
    /// boxes of its region, and a digest of this one.
    pub(super) fn introduce(&mut self, now: Time, stranger: &Contact, out: &mut Vec<Effect>) {
        let remote = self.table.region(&stranger.region);
        let doors = remote.map_or(&[][..], |r| &r.digest.doors);
        let contacts: Vec<Contact> = doors.iter().map(|d| d.contact.clone()).collect();
        let to = stranger.gossip;
        let frame = self.frame(Body::Members(contacts));
        out.push(Effect::Gossip { to, frame });
        if self.phase(now) != Phase::Leaving {
            let digest = self.summary(now);
            let frame = self.frame(Body::Digest(digest));
            out.push(Effect::Gossip { to, frame });
        }
    }

    /// Every box of the region, and one of each other region that is to spread the word there.
    pub(super) fn everyone(&self, now: Time) -> Vec<(SocketAddr, bool)> {
        let near = self.table.live(now).map(|p| p.last.contact.gossip);
        let far = self.table.reachable(now).filter_map(|(_, remote)| {
            let doors = &remote.digest.doors;
            let turn = (self.attempts as usize).checked_rem(doors.len())?;
            Some(doors[turn].contact.gossip)
        });
        let near = near.map(|to| (to, false));
        near.chain(far.map(|to| (to, true))).collect()
    }

    /// Passes a digest on inside this region.
    pub(super) fn spread(&self, now: Time, frame: &Frame, digest: &Digest, out: &mut Vec<Effect>) {
        let body = Body::Digest(Digest {
            spread: false,
            ..digest.clone()
        });
        self.pass_on(now, frame, body, out);
    }

    /// Sends `body` to the boxes of this region in place of that of `frame`, under its maker's name
    /// and number.
    pub(super) fn pass_on(&self, now: Time, frame: &Frame, body: Body, out: &mut Vec<Effect>) {
        let copy = Frame {
            body,
            ..frame.clone()
        };
        out.extend(self.table.live(now).map(|peer| Effect::Gossip {
            to: peer.last.contact.gossip,
            frame: copy.clone(),
        }));
    }
}
