//! From a request's head to the places that may run it.

use std::{collections::HashMap, fmt};

use crate::{
    config::{Backend, Config, Customer, Kind, Matcher, Route},
    id::{self, Region, Service},
    unit::Millis,
};

/// What routing needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The customer.
    pub customer: id::Customer,
    /// The path, without its query.
    pub path: String,
    /// The model that the body names.
    pub model: Option<Service>,
    /// The host that the request names.
    pub host: Option<String>,
    /// A random number, the same for as long as the request is in hand: it chooses among the
    /// services that share a route.
    pub draw: u64,
}

/// Finds routes by host and path, however many there are.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Index {
    hosts: HashMap<String, HashMap<String, usize>>,
    any: HashMap<String, usize>,
}

impl Index {
    /// An index of `routes` by their positions.
    pub(super) fn new(routes: &[Route]) -> Self {
        let mut index = Self::default();
        for (position, route) in routes.iter().enumerate() {
            let prefix = route.prefix.trim_end_matches('/').to_owned();
            let paths = match &route.host {
                Some(host) => index.hosts.entry(host.clone()).or_default(),
                None => &mut index.any,
            };
            paths.entry(prefix).or_insert(position);
        }
        index
    }

    /// The positions whose prefix may begin `path`, longest first; a named host goes first.
    fn find(&self, host: Option<&str>, path: &str) -> impl Iterator<Item = usize> {
        let named = host.and_then(|host| self.hosts.get(host));
        let tables = named.into_iter().chain([&self.any]);
        tables.flat_map(move |table| {
            let borders = path.match_indices('/').map(|(at, _)| at);
            let ends = borders.chain([path.len()]).collect::<Vec<_>>();
            ends.into_iter()
                .rev()
                .filter_map(move |end| table.get(&path[..end]).copied())
        })
    }
}

/// Why no place may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The configuration has no such customer.
    UnknownCustomer,
    /// No route has a prefix of the path.
    NoRoute,
    /// The body of a model request names no known model.
    NoModel,
    /// No selector speaks of the request.
    NoSelector,
    /// The labels leave no region.
    NoRegion,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownCustomer => "the API key is unknown",
            Self::NoRoute => "no route has this path",
            Self::NoModel => "the body names no known model",
            Self::NoSelector => "no selector speaks of this request",
            Self::NoRegion => "the labels leave no region",
        })
    }
}

/// Where a request may go under one configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan<'a> {
    /// The customer.
    pub customer: &'a Customer,
    /// The route.
    pub route: &'a Route,
    /// The selector that decided.
    pub selector: &'a id::Selector,
    /// What must serve it.
    pub service: Service,
    /// The line that such requests wait in: they may go to the same places.
    pub line: Service,
    backends: &'a Matcher,
    limits: Vec<&'a [Region]>,
    home: Option<&'a Region>,
}

impl Plan<'_> {
    /// Whether the request may run in `region`.
    pub fn permits(&self, region: &Region) -> bool {
        let inside = |list: &&[Region]| list.is_empty() || list.contains(region);
        self.limits.iter().all(inside) && self.home.is_none_or(|home| home == region)
    }

    /// The rank of its requests: the customer's own goes before the route's.
    pub fn priority(&self) -> u8 {
        self.customer.priority.unwrap_or(self.route.priority)
    }

    /// The longest pause between two events of its answer that is in time, where it streams.
    pub fn gap(&self) -> Option<Millis> {
        let gap = self.route.stream.map(|stream| stream.gap);
        gap.filter(|gap| gap.0 > 0)
    }

    /// Whether `backend` may run the request, leaving aside whether it can now.
    pub fn allows(&self, backend: &Backend) -> bool {
        self.permits(&backend.region)
            && backend.serves.contains(&self.service)
            && self.backends.matches(&backend.labels)
    }
}

impl Config {
    /// Finds the selector for `ask` and what it permits.
    pub fn plan(&self, ask: &Ask) -> Result<Plan<'_>, Refusal> {
        let customer = self
            .customers
            .get(&ask.customer)
            .ok_or(Refusal::UnknownCustomer)?;
        let route = self
            .route(ask.host.as_deref(), &ask.path)
            .ok_or(Refusal::NoRoute)?;
        let model = match route.kind {
            Kind::Application => None,
            Kind::Model => {
                let name = ask.model.as_ref().ok_or(Refusal::NoModel)?;
                Some(self.models.get(name).ok_or(Refusal::NoModel)?)
            }
        };
        let selector = self
            .selectors
            .iter()
            .find(|s| {
                s.customers.matches(&customer.labels)
                    && s.routes.matches(&route.labels)
                    && model.map_or(s.models.is_empty(), |m| s.models.matches(&m.labels))
            })
            .ok_or(Refusal::NoSelector)?;
        if selector.home_only && customer.home.is_none() {
            return Err(Refusal::NoRegion);
        }
        let mut limits = vec![&customer.regions[..], &route.regions, &selector.regions];
        limits.extend(model.map(|m| &m.regions[..]));
        let line = model.map_or_else(|| route.name.clone(), |m| m.name.clone());
        let plan = Plan {
            line,
            customer,
            route,
            selector: &selector.name,
            service: model.map_or_else(|| route.service(ask.draw), |m| m.name.clone()),
            backends: &selector.backends,
            limits,
            home: customer.home.as_ref().filter(|_| selector.home_only),
        };
        if !self.regions.keys().any(|region| plan.permits(region)) {
            return Err(Refusal::NoRegion);
        }
        Ok(plan)
    }

    /// The routes of `host`.
    pub fn of_host(&self, host: Option<&str>) -> impl Iterator<Item = &Route> {
        let routes = self.routes.iter();
        routes.filter(move |r| r.host.as_deref() == host)
    }

    /// The routes of `host` whose requests may run in `region`.
    pub fn permitted(&self, host: Option<&str>, region: &Region) -> impl Iterator<Item = &Route> {
        let routes = self.of_host(host);
        routes.filter(|r| r.permits(region))
    }

    /// The route of `host` with the longest prefix of `path`, at a segment's border.
    pub fn route(&self, host: Option<&str>, path: &str) -> Option<&Route> {
        let found = self.index.find(host, path);
        let routes = found.filter_map(|position| self.routes.get(position));
        // A prefix that ends with a slash does not stand for the path without it.
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.prefix))
    }
}

impl Route {
    /// Whether its requests may run in `region`, as far as the route says.
    pub fn permits(&self, region: &Region) -> bool {
        self.regions.is_empty() || self.regions.contains(region)
    }

    /// The service that a request with this `draw` goes to.
    fn service(&self, draw: u64) -> Service {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let Some(mut point) = draw.checked_rem(total) else {
            return self.name.clone();
        };
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return share.service.clone();
            }
            point -= weight;
        }
        self.name.clone()
    }
}
