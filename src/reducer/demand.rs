//! Which routes callers use, by what this box has seen and what boxes of other regions tell.
//!
//! A box that just started has seen few requests: a kind that it has not seen yet may be bound to a home.

use std::collections::{HashMap, HashSet};

use crate::{
    config::Route,
    id,
    policy::Policy,
    reducer::State,
    unit::{Millis, Time},
    wire::{Short, Used},
};

/// How long a route counts as used after its last request: callers come again within it, and boxes that
/// tell each other do not keep an idle route in use.
const LIFE: Millis = Millis(60_000);
/// Routes that a digest tells of, those used last first: 6 bytes each.
const MOST: usize = 128;

/// What is known of the routes that callers use.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Requests that came from callers.
    seen: HashMap<id::Service, u64>,
    /// When a route was used last, here or elsewhere.
    used: HashMap<Short, Time>,
}

impl Demand {
    /// Notes a request of `route` that came from a caller.
    pub(super) fn note(&mut self, route: &id::Service, now: Time) {
        *self.seen.entry(route.clone()).or_default() += 1;
        self.used.insert(Short::of(route.as_str()), now);
    }

    /// Requests of `route` that came from callers to this box.
    pub(super) fn seen(&self, route: &Route) -> u64 {
        self.seen.get(&route.name).copied().unwrap_or(0)
    }

    /// Whether callers use `route`, as far as this box knows.
    pub(super) fn uses(&self, route: &Route, now: Time) -> bool {
        let last = self.used.get(&Short::of(route.name.as_str()));
        last.is_some_and(|at| now.since(*at) < LIFE)
    }

    /// Takes over what another region tells.
    pub(super) fn hear(&mut self, told: &[Used], now: Time) {
        for row in told.iter().filter(|row| row.age < LIFE) {
            let last = self.used.entry(row.route).or_default();
            *last = (*last).max(now - row.age);
        }
        self.used.retain(|_, at| now.since(*at) < LIFE);
    }

    /// Forgets routes that the configuration no longer has.
    pub(super) fn retain(&mut self, known: impl Fn(&id::Service) -> bool) {
        self.seen.retain(|route, _| known(route));
    }
}

impl<P: Policy> State<P> {
    /// The used routes of hosts that bind some of their requests to regions: only there it matters.
    pub(super) fn used_routes(&self, now: Time) -> Vec<Used> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let bound = config.routes.iter().filter(|r| !r.regions.is_empty());
        let hosts: HashSet<Option<&str>> = bound.map(|r| r.host.as_deref()).collect();
        let routes = config.routes.iter();
        let routes = routes.filter(|r| hosts.contains(&r.host.as_deref()));
        let mut rows: Vec<Used> = routes
            .filter_map(|route| {
                let route = Short::of(route.name.as_str());
                let age = now.since(*self.demand.used.get(&route)?);
                (age < LIFE).then_some(Used { route, age })
            })
            .collect();
        rows.sort_by_key(|row| row.age);
        rows.truncate(MOST);
        rows
    }
}
