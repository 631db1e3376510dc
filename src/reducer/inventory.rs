//! What engines had cached before the boxes knew: after a restart of all boxes nobody can tell them.
//!
//! A box that starts asks its region's engines once, each engine by one box, and tells the others; those that
//! tell of changes are followed instead.
//! Long shared parts then are not read again by engines that lack them.

use std::net::SocketAddr;

use crate::{
    config::Backend,
    id,
    member::weight,
    memory::cache,
    memory::prompt::Part,
    policy::Policy,
    reducer::{State, effect::Effect},
    unit::{Millis, Time},
    wire::{Body, Holding, Short},
};

/// How long a new box waits for others to tell it what engines have cached: a greeting and its
/// answer inside a region.
pub(super) const LISTEN: Millis = Millis(100);
/// For how long after its start a box asks engines that it newly hears of: later ones are new.
const ASK: Millis = Millis(4000);
/// By when after its start a box knows the boxes of its region.
pub(super) const MET: Millis = Millis(3000);
/// Engines that a box asks before it knows the boxes of its region, and how many it looks at for that: by then
/// each box takes itself for the first in rank. 60 boxes asked 600 engines 36,000 times, and 840 at most with it.
pub(super) const EARLY: usize = 4;
/// Engines that a box asks in all: in a large region it may not know the others by then, and would ask most of
/// their share as well.
pub(super) const MOST: usize = 16;

impl<P: Policy> State<P> {
    /// Asks the engines of this region that nobody has told anything of.
    pub(super) fn ask_caches(&mut self, now: Time, out: &mut Vec<Effect>) {
        let age = now.since(Time(0));
        if !self.registry || !self.supplied || age < LISTEN || age > ASK {
            return;
        }
        // Nothing more goes out until then, and thousands of engines need not be ranked at each tick.
        if age < MET && self.asked.len() >= EARLY {
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
            let unknown = backends.filter(|b| self.is_unknown(now, b));
            let mut unknown: Vec<(id::Backend, SocketAddr)> =
                unknown.map(|b| (b.name.clone(), b.address)).collect();
            if age < MET {
                let mine = |(name, _): &(id::Backend, SocketAddr)| {
                    std::cmp::Reverse(weight(&self.table.me.name, name.as_str()))
                };
                unknown.sort_by_cached_key(mine);
                unknown.truncate(EARLY.saturating_sub(self.asked.len()));
            }
            for (backend, address) in unknown {
                // Who else's duty it is need not be found out again.
                self.asked.insert(backend.clone());
                let left = self.control.inventories < MOST;
                if left && self.table.leads(backend.as_str(), now) {
                    self.control.inventories += 1;
                    out.push(Effect::Inventory { backend, address });
                }
            }
        }
    }

    /// Whether nobody has told anything of `engine`; a cold one has nothing and may bear no call.
    fn is_unknown(&self, now: Time, engine: &Backend) -> bool {
        let known = self.cache.knows(Short::of(engine.name.as_str()));
        let busy = engine.leaving || self.fleet.is_cold(&engine.name, now);
        !known && !busy && !self.asked.contains(&engine.name)
    }

    /// Takes in what an engine has cached, and tells the boxes here and in the other regions.
    pub(super) fn learn_cached(
        &mut self,
        now: Time,
        backend: &id::Backend,
        parts: &[Part],
        out: &mut Vec<Effect>,
    ) {
        let short = Short::of(backend.as_str());
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
        let near = self.table.live(now).map(|p| p.last.contact.gossip);
        let remotes = self.table.reachable(now);
        let far = remotes.flat_map(|(_, r)| r.digest.doors.iter().map(|d| d.contact.gossip));
        let targets: Vec<SocketAddr> = near.chain(far).collect();
        for to in targets {
            let frame = self.frame(Body::Holdings(holdings.clone()));
            out.push(Effect::Gossip { to, frame });
        }
    }
}
