//! Tracks which routes callers use, as seen by this box and reported by other regions.
//!
//! A box that just started has seen few requests, and a route that it has not seen yet may be
//! restricted to home regions.

use std::collections::{HashMap, HashSet};

use crate::{
    config::Route,
    id,
    policy::Policy,
    reducer::State,
    unit::{Millis, Time},
    wire::{NameHash, Used},
};

/// Time after its last request for which a route counts as used: active callers return within it,
/// and the exchange between boxes does not prolong it.
const USE_LIFETIME: Millis = Millis(60_000);
/// Maximum routes in a digest, the most recently used first: 6 bytes each.
const MAX_REPORTED_ROUTES: usize = 128;

/// Usage of routes by callers.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Requests that came from callers to this box.
    seen: HashMap<id::Service, u64>,
    /// When a route was last used, at this box or elsewhere.
    used: HashMap<NameHash, Time>,
}

impl Demand {
    /// Records a request of `route` that came from a caller.
    pub(super) fn note(&mut self, route: &id::Service, now: Time) {
        *self.seen.entry(route.clone()).or_default() += 1;
        self.used.insert(NameHash::of(route.as_str()), now);
    }

    /// Returns the number of requests of `route` that came from callers to this box.
    pub(super) fn seen(&self, route: &Route) -> u64 {
        self.seen.get(&route.name).copied().unwrap_or(0)
    }

    /// Reports whether callers use `route`, as far as this box knows.
    pub(super) fn is_used(&self, route: &Route, now: Time) -> bool {
        let last = self.used.get(&NameHash::of(route.name.as_str()));
        last.is_some_and(|at| now.since(*at) < USE_LIFETIME)
    }

    /// Merges the route usage reported by another region.
    pub(super) fn merge(&mut self, reported: &[Used], now: Time) {
        for row in reported.iter().filter(|row| row.age < USE_LIFETIME) {
            let last = self.used.entry(row.route).or_default();
            *last = (*last).max(now - row.age);
        }
        self.used.retain(|_, at| now.since(*at) < USE_LIFETIME);
    }

    /// Drops routes that the configuration no longer has.
    pub(super) fn retain(&mut self, known: impl Fn(&id::Service) -> bool) {
        self.seen.retain(|route, _| known(route));
    }
}

impl<P: Policy> State<P> {
    /// Returns the used routes of hosts that restrict some of their routes to regions; usage
    /// matters only for these.
    pub(super) fn used_routes(&self, now: Time) -> Vec<Used> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let restricted = config.routes.iter().filter(|r| !r.regions.is_empty());
        let hosts: HashSet<Option<&str>> = restricted.map(|r| r.host.as_deref()).collect();
        let routes = config.routes.iter();
        let routes = routes.filter(|r| hosts.contains(&r.host.as_deref()));
        let mut rows: Vec<Used> = routes
            .filter_map(|route| {
                let route = NameHash::of(route.name.as_str());
                let age = now.since(*self.demand.used.get(&route)?);
                (age < USE_LIFETIME).then_some(Used { route, age })
            })
            .collect();
        rows.sort_by_key(|row| row.age);
        rows.truncate(MAX_REPORTED_ROUTES);
        rows
    }
}
