//! Learns what engines had cached before the boxes started: after a restart of all boxes, no other
//! box knows.
//!
//! A starting box asks the engines of its region once, each engine being asked by one box, and
//! broadcasts the answers. Engines that report cache changes are followed instead. This way,
//! engines that lack a long shared part do not have to read it again.

use std::net::SocketAddr;

use crate::{
    config::Backend,
    id,
    member::rendezvous_hash,
    memory::cache,
    memory::prompt::Part,
    policy::Policy,
    reducer::{State, effect::Effect},
    unit::{Millis, Time},
    wire::{Body, Holding, NameHash},
};

/// Time for other boxes to tell a new one what engines have cached: a greeting and its answer
/// inside a region.
pub(super) const LISTEN_DELAY: Millis = Millis(100);
/// Time after its start in which a box asks engines that it discovers; those that appear later are
/// new.
const REQUEST_WINDOW: Millis = Millis(4000);
/// Time after its start by which a box knows the boxes of its region.
pub(super) const DISCOVERY_TIME: Millis = Millis(3000);
/// Maximum engines that a box examines and asks before it knows the boxes of its region: until then
/// every box ranks itself first. Without this bound, 60 boxes asked 600 engines 36,000 times; with
/// it, 840 times at most.
pub(super) const MAX_EARLY_ENGINES: usize = 4;
/// Maximum engines that a box asks in total. In a large region it may not know all other boxes by
/// then, and would ask most of their share as well.
pub(super) const MAX_ENGINES: usize = 16;

impl<P: Policy> State<P> {
    /// Requests the cache content of the engines of this region of which nothing is known.
    pub(super) fn request_inventories(&mut self, now: Time, out: &mut Vec<Effect>) {
        let age = now.since(Time(0));
        if !self.registry || !self.has_fleet_list || age < LISTEN_DELAY || age > REQUEST_WINDOW {
            return;
        }
        // No more requests may be sent until then, and ranking thousands of engines at each tick is
        // avoided.
        if age < DISCOVERY_TIME && self.inventory_checked.len() >= MAX_EARLY_ENGINES {
            return;
        }
        let Some(config) = self.config.clone() else {
            return;
        };
        let engines = config
            .profiles
            .iter()
            .filter(|(_, p)| p.engine.is_some_and(|e| e.watchers == 0));
        for (service, _) in engines {
            let backends = self.fleet.serving(service, &self.table.me.region);
            let unknown = backends.filter(|b| self.needs_inventory(now, b));
            let mut unknown: Vec<(id::Backend, SocketAddr)> =
                unknown.map(|b| (b.name.clone(), b.address)).collect();
            if age < DISCOVERY_TIME {
                let by_rank = |(name, _): &(id::Backend, SocketAddr)| {
                    std::cmp::Reverse(rendezvous_hash(&self.table.me.name, name.as_str()))
                };
                unknown.sort_by_cached_key(by_rank);
                unknown.truncate(MAX_EARLY_ENGINES.saturating_sub(self.inventory_checked.len()));
            }
            for (backend, address) in unknown {
                // An engine that another box is responsible for need not be ranked again.
                self.inventory_checked.insert(backend.clone());
                let left = self.control.inventory_requests < MAX_ENGINES;
                if left && self.table.leads(backend.as_str(), now) {
                    self.control.inventory_requests += 1;
                    out.push(Effect::Inventory { backend, address });
                }
            }
        }
    }

    /// Reports whether nothing is known of the cache of `engine` and it may be asked: a cold one
    /// has cached nothing and may not withstand the call.
    fn needs_inventory(&self, now: Time, engine: &Backend) -> bool {
        let known = self.cache.knows(NameHash::of(engine.name.as_str()));
        let unavailable = engine.leaving || self.fleet.is_cold(&engine.name, now);
        !known && !unavailable && !self.inventory_checked.contains(&engine.name)
    }

    /// Records what an engine has cached, and broadcasts it to this and the other regions.
    pub(super) fn record_inventory(
        &mut self,
        now: Time,
        backend: &id::Backend,
        parts: &[Part],
        out: &mut Vec<Effect>,
    ) {
        let short = NameHash::of(backend.as_str());
        let long = parts.iter().filter(|part| part.tokens >= cache::LONG);
        let holdings: Vec<Holding> = long
            .map(|part| Holding {
                backend: short,
                part: part.id,
            })
            .collect();
        if holdings.is_empty() {
            return;
        }
        self.learn_holdings(now, &holdings);
        let local = self.table.live(now).map(|p| p.last.contact.gossip);
        let remotes = self.table.reachable(now);
        let remote_doors = remotes.flat_map(|(_, r)| r.endpoints().map(|d| d.contact.gossip));
        let targets: Vec<SocketAddr> = local.chain(remote_doors).collect();
        for to in targets {
            let frame = self.frame(Body::Holdings(holdings.clone()));
            out.push(Effect::Gossip { to, frame });
        }
    }
}
