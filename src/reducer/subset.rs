//! The subset of a region's thousands of backend servers that a request considers first.
//!
//! Load pattern: 1,274 requests a second over 984 boxes and 9,552 engines, of whose slots 0.2% are
//! in use. A box that chooses among 4,328 engines each time opens a connection per request, finds
//! no part of a prompt cached, and spends a quarter of its processor time on examining them
//! (profile samples of 39 boxes under traffic). So a request considers a few servers selected by a
//! key, and all servers if none of these would take it at once. Cold, leaving, limited, busy or
//! failing servers are thereby compensated for in the same decision.

use crate::{
    config::Backend,
    id::Region,
    member::rendezvous_hash,
    memory::cache,
    memory::prompt::Prompt,
    policy::{Choice, Place, Policy},
    reducer::{
        State,
        place::{Decision, Query},
    },
    unit::Millis,
    wire::NameHash,
};

/// Number of servers of a region up to which a request considers all of them: 17 us a decision at
/// 34 ns a server.
const FULL_SCAN_MAX: usize = 512;
/// Number of servers selected by a box's own name: some 200 slots, for a box that has a few
/// requests in flight.
const OWN_SUBSET_SIZE: usize = 16;
/// Number of servers selected by a long part or by the beginning of a prompt, the same at every
/// box.
const SHARED_SUBSET_SIZE: usize = 4;
/// Load of the chosen server above which all servers are considered, so that more of them are used
/// as load grows, before any is full.
const MAX_EASY_LOAD: f64 = 0.5;
/// Failure rate of the chosen server from which all servers are considered.
const MAX_EASY_FAILURE_RATE: f64 = 0.05;

impl Decision {
    /// Reports whether a server of this region takes the request at once and has room for more, so
    /// that the other servers need not be considered.
    pub(super) fn needs_no_full_scan(&self) -> bool {
        let Choice::Send(place @ Place::Backend(_)) = &self.choice else {
            return false;
        };
        let chosen = self.candidates.iter().find(|c| c.place == *place);
        chosen.is_some_and(|c| {
            c.free > 0
                && c.wait == Millis(0)
                && c.load <= MAX_EASY_LOAD
                && c.failing < MAX_EASY_FAILURE_RATE
        })
    }
}

/// How a request's subset of servers is selected.
struct Subset {
    /// Start position on the hash ring of server names.
    key: u64,
    /// Maximum number of servers to take from the ring.
    size: usize,
}

impl<P: Policy> State<P> {
    /// Returns the subset of this region's servers that a request considers first, or `None` if it
    /// considers all of them.
    pub(super) fn sampled_backends(&self, wish: &Query<'_>) -> Option<Vec<&Backend>> {
        // A roll-out needs servers of both releases.
        match self.is_watched(&wish.plan.service, wish.now) {
            true => None,
            false => self.subset_around(wish, &self.table.me.region),
        }
    }

    /// Returns the servers by which another region is assessed: a subset, or all of them if there
    /// are few.
    pub(super) fn remote_sample(&self, wish: &Query<'_>, region: &Region) -> Vec<&Backend> {
        let all = || self.fleet.serving(&wish.plan.service, region).collect();
        self.subset_around(wish, region).unwrap_or_else(all)
    }

    /// Returns the servers next to the request's key, and those known to hold the longest part of
    /// its prompt; `None` in a region small enough to consider all servers.
    fn subset_around(&self, wish: &Query<'_>, region: &Region) -> Option<Vec<&Backend>> {
        let service = &wish.plan.service;
        if self.fleet.count(service, region) <= FULL_SCAN_MAX {
            return None;
        }
        let long = wish.job.prompt.as_ref().and_then(Prompt::longest);
        let long = long.filter(|part| part.tokens >= cache::LONG);
        let subset = match (long, &wish.job.prompt) {
            (Some(part), _) => Subset {
                key: part.id,
                size: SHARED_SUBSET_SIZE,
            },
            (None, None) => Subset {
                key: wish.job.prefix,
                size: SHARED_SUBSET_SIZE,
            },
            // Any server reads a short prompt quickly; fewer servers mean fewer connections.
            (None, Some(_)) => Subset {
                key: rendezvous_hash(&self.table.me.name, service.as_str()),
                size: OWN_SUBSET_SIZE,
            },
        };
        let usable =
            |b: &&Backend| wish.plan.permits_backend(b) && self.excluded(wish.now, b).is_none();
        let around = self
            .fleet
            .ring_from(service, region, subset.key)
            .filter(usable);
        let mut servers: Vec<&Backend> = around.take(subset.size).collect();
        let holders = long
            .into_iter()
            .flat_map(|part| self.cache.holders(part.id));
        let holders = holders.filter_map(|short: NameHash| self.fleet.get(self.fleet.long(short)?));
        let holders = holders.filter(|b| b.region == *region && b.serves.contains(service));
        for holder in holders {
            if !servers.iter().any(|b| b.name == holder.name) {
                servers.push(holder);
            }
        }
        Some(servers)
    }
}
