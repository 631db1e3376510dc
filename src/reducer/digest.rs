//! Digests: the summaries that regions exchange, and how they are forwarded.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    id::Region,
    member::{Remote, load},
    policy::Policy,
    reducer::{State, effect::Effect},
    settings::Seed,
    size::Room,
    unit::{Millis, Time},
    wire::{Body, Capacity, Contact, Digest, Endpoint, Frame, NameHash, PathLost, Phase},
};

/// Boxes that a digest lists as entry points of its region.
const MAX_DOORS: usize = 3;

impl<P: Policy> State<P> {
    /// Sends a digest to each other region for which this box is responsible.
    ///
    /// A region in which all boxes are leaving keeps sending digests until the last one ends, since
    /// boxes of other regions may start meanwhile. A leaving box sends them if it ranks first among
    /// all boxes, even if it still takes another one for staying: that one may be leaving as well.
    pub(super) fn send_digests(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.control.digests += 1;
        let leaving = self.phase(now) == Phase::Leaving;
        let mut summary = None;
        for region in self.other_regions() {
            let leads = match leaving {
                true => self.table.ranks_first(region.as_str(), now),
                false => self.table.leads(region.as_str(), now),
            };
            if !leads {
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

    /// Tells every other region that this box accepts no more relayed requests. The receiving box
    /// forwards the digest within its region.
    pub(super) fn announce_stop(&mut self, now: Time, out: &mut Vec<Effect>) {
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
        let known = self.table.regions().map(|(region, _)| region.clone());
        let mut regions: BTreeSet<Region> = seeded.chain(configured).chain(known).collect();
        regions.remove(&self.table.me.region);
        regions.into_iter().collect()
    }

    /// Returns the address for the next digest to `region`, taking turns among the boxes that its
    /// last digest listed, reachable or not, and, if the region is silent or lists no box, its
    /// seeds.
    ///
    /// One copy suffices, since its receiver forwards it. Taking turns skips a box that is gone,
    /// and a seed reaches a region whose boxes were all replaced.
    fn digest_target(&self, now: Time, region: &Region) -> Option<SocketAddr> {
        let remote = self.table.region(region);
        let doors = remote.into_iter().flat_map(|r| &r.digest.endpoints);
        let is_neighbour = |s: &Seed| {
            self.table
                .peers()
                .any(|p| p.last.contact.gossip == s.gossip)
        };
        let seeds = self.seeds.iter().filter(|s| match &s.region {
            Some(seeded) => seeded == region,
            None => s.gossip != self.table.me.gossip && !is_neighbour(s),
        });
        let live = remote.is_some_and(|r| now.since(r.received_at) <= self.table.region_timeout());
        let mut targets: Vec<SocketAddr> = doors.map(|d| d.contact.gossip).collect();
        if !live || targets.is_empty() {
            targets.extend(seeds.map(|s| s.gossip));
        }
        let turn = (self.control.digests as usize).checked_rem(targets.len())?;
        targets.get(turn).copied()
    }

    pub(super) fn summary(&self, now: Time) -> Digest {
        let usual = self.table.median_weight(now);
        let sort_key =
            |busy: u32, room: Room| (room.full, load(busy, room.weight.unwrap_or(usual)));
        // If no box has a path to the servers, those are gone or coming back.
        let connected = !self.path_lost().0 || self.connected_neighbours(now).next().is_some();
        let is_door = |path_lost: PathLost| !(connected && path_lost.0);
        let me = (self.phase(now) == Phase::Ready && is_door(self.path_lost())).then(|| {
            let door = Endpoint {
                contact: self.table.me.clone(),
                incarnation: self.table.incarnation,
                uptime: now,
            };
            (sort_key(self.jobs.len() as u32, self.table.room), door)
        });
        let others = self.table.ready(now);
        let others = others.filter(|peer| is_door(peer.last.path_lost));
        let others = others.map(|peer| {
            let door = Endpoint {
                contact: peer.last.contact.clone(),
                incarnation: peer.incarnation,
                uptime: peer.uptime(now),
            };
            (sort_key(peer.last.busy, peer.last.room), door)
        });
        let mut doors: Vec<((bool, u64), Endpoint)> = me.into_iter().chain(others).collect();
        doors.sort_by(|a, b| (a.0, &a.1.contact.name).cmp(&(b.0, &b.1.contact.name)));
        let local = self.table.live(now).map(|p| p.last.version);
        Digest {
            region: self.table.me.region.clone(),
            version: local.max().unwrap_or_default().max(self.version()),
            revision: self.table.revision(now).max(self.revision),
            absences: self.absences(now),
            used: self.used_routes(now),
            stopping: doors.is_empty() && self.phase(now) == Phase::Leaving,
            endpoints: doors.into_iter().map(|(_, d)| d).take(MAX_DOORS).collect(),
            services: self.capacities(now),
            held: self.quarantine.to_report(now),
            uses: self.table.uses(self.accounts.to_report(now), now),
            trials: self.table.trials(self.rollouts.observed_trials(now), now),
            cover: self.table.cover(now),
            boxes: self.table.live(now).count() as u32 + 1,
            spread: true,
            store_age: self.known_store_age(now),
        }
    }

    fn capacities(&self, now: Time) -> Vec<Capacity> {
        let services: BTreeSet<_> = self.fleet.services().collect();
        let capacity = |service| {
            let mut total = Capacity {
                service: NameHash::of(crate::id::Service::as_str(service)),
                slots: 0,
                busy: 0,
                first: Millis(0),
                whole: Millis(0),
            };
            let mut servers = 0;
            for backend in self.fleet.serving(service, &self.table.me.region) {
                let down = self.table.is_down(NameHash::of(backend.name.as_str()), now);
                let trial = self.rollouts.is_on_trial(service, backend, now);
                if down || trial || self.excluded(now, backend).is_some() {
                    continue;
                }
                let server = self.servers.get(&backend.name).cloned().unwrap_or_default();
                let slots = server.slots(backend.slots, now);
                let busy = server.busy + self.table.busy(NameHash::of(backend.name.as_str()), now);
                // Slots beyond what a request limit or the rate for cold servers allows are not
                // offered to other regions.
                let limited = server.limit.slots(slots, server.whole());
                let cold = self.cold_slots(now, service, backend, server.whole());
                let limited = cold.map_or(limited, |cold| cold.min(limited));
                let cap = server.cap_level();
                let limited = cap.map_or(limited, |cap| cap.limit.min(limited));
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

    /// Answers a box of another region that sent a heartbeat to this one as if both were in the
    /// same region: sends the known boxes of its region, and a digest of this region.
    pub(super) fn answer_foreign_box(
        &mut self,
        now: Time,
        sender: &Contact,
        out: &mut Vec<Effect>,
    ) {
        let remote = self.table.region(&sender.region);
        let doors = remote.into_iter().flat_map(Remote::endpoints);
        let contacts: Vec<Contact> = doors.map(|d| d.contact.clone()).collect();
        let to = sender.gossip;
        let frame = self.frame(Body::Members(contacts));
        out.push(Effect::Gossip { to, frame });
        let digest = self.summary(now);
        let frame = self.frame(Body::Digest(digest));
        out.push(Effect::Gossip { to, frame });
    }

    /// Returns the gossip addresses of all boxes of this region, and of one box of each other
    /// region. The flag marks the latter, which forwards the message within its region.
    pub(super) fn broadcast_targets(&self, now: Time) -> Vec<(SocketAddr, bool)> {
        let local = self.table.live(now).map(|p| p.last.contact.gossip);
        let remote_doors = self.table.reachable(now).filter_map(|(_, remote)| {
            let doors: Vec<&Endpoint> = remote.endpoints().collect();
            let turn = (self.attempts as usize).checked_rem(doors.len())?;
            Some(doors[turn].contact.gossip)
        });
        let local = local.map(|to| (to, false));
        local.chain(remote_doors.map(|to| (to, true))).collect()
    }

    /// Forwards a digest within this region.
    pub(super) fn forward_digest(
        &self,
        now: Time,
        frame: &Frame,
        digest: &Digest,
        out: &mut Vec<Effect>,
    ) {
        let body = Body::Digest(Digest {
            spread: false,
            ..digest.clone()
        });
        self.forward(now, frame, body, out);
    }

    /// Sends `body` to the boxes of this region in place of that of `frame`, with the sender and
    /// sequence number of `frame`.
    pub(super) fn forward(&self, now: Time, frame: &Frame, body: Body, out: &mut Vec<Effect>) {
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
