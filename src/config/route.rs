//! Routing: from the head of a request to the regions and backend servers that may run it.

use std::{collections::HashMap, fmt};

use crate::{
    config::{Backend, Config, Customer, Kind, Matcher, Route},
    id::{self, Region, Service},
    unit::Millis,
};

/// The properties of a request that decide how it is routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The customer.
    pub customer: id::Customer,
    /// The path, without its query.
    pub path: String,
    /// The model named in the body.
    pub model: Option<Service>,
    /// The host named by the request.
    pub host: Option<String>,
    /// A random number that chooses among the services of a route. It stays the same for as long as
    /// the request is in flight.
    pub random: u64,
}

/// Index of routes by host and path prefix. The cost of a search depends on the number of
/// segments in the path, not on the number of routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Index {
    by_host: HashMap<String, HashMap<String, usize>>,
    any_host: HashMap<String, usize>,
}

impl Index {
    /// Builds an index that maps to positions in `routes`.
    pub(super) fn new(routes: &[Route]) -> Self {
        let mut index = Self::default();
        for (position, route) in routes.iter().enumerate() {
            let prefix = route.prefix.trim_end_matches('/').to_owned();
            let paths = match &route.host {
                Some(host) => index.by_host.entry(host.clone()).or_default(),
                None => &mut index.any_host,
            };
            paths.entry(prefix).or_insert(position);
        }
        index
    }

    /// Returns the positions of routes whose prefix may match `path`. Routes of the named host come
    /// before routes of any host, and longer prefixes before shorter ones.
    fn find(&self, host: Option<&str>, path: &str) -> impl Iterator<Item = usize> {
        let named = host.and_then(|host| self.by_host.get(host));
        let tables = named.into_iter().chain([&self.any_host]);
        tables.flat_map(move |table| {
            let slashes = path.match_indices('/').map(|(at, _)| at);
            let ends = slashes.chain([path.len()]).collect::<Vec<_>>();
            ends.into_iter()
                .rev()
                .filter_map(move |end| table.get(&path[..end]).copied())
        })
    }
}

/// The reason why a request cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The customer is not in the configuration.
    UnknownCustomer,
    /// No route matches the host and path.
    NoRoute,
    /// The body of a request on a model route names no known model.
    NoModel,
    /// No selector matches the request.
    NoSelector,
    /// No region is permitted by the customer, route, model and selector together, or the selector
    /// requires a home region and the customer has none.
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

/// The routing result for a request under one configuration: its service and the constraints on
/// where it may run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan<'a> {
    /// The customer that sent the request.
    pub customer: &'a Customer,
    /// The route that matches the request.
    pub route: &'a Route,
    /// The first selector that matches the request.
    pub selector: &'a id::Selector,
    /// The service that must run the request.
    pub service: Service,
    /// The queue of the request: the model, or the route of an application request. Requests of one
    /// queue may run in the same places.
    pub queue: Service,
    backends: &'a Matcher,
    region_limits: Vec<&'a [Region]>,
    home: Option<&'a Region>,
}

impl Plan<'_> {
    /// Reports whether the request may run in `region`.
    pub fn permits_region(&self, region: &Region) -> bool {
        let includes = |list: &&[Region]| list.is_empty() || list.contains(region);
        self.region_limits.iter().all(includes) && self.home.is_none_or(|home| home == region)
    }

    /// Returns the priority of the request; the customer's own overrides the route's.
    pub fn priority(&self) -> u8 {
        self.customer.priority.unwrap_or(self.route.priority)
    }

    /// Returns the longest acceptable pause between two events of a streamed answer. `None` if the
    /// answer does not stream or the route sets no such pause.
    pub fn max_event_gap(&self) -> Option<Millis> {
        let gap = self.route.stream.map(|stream| stream.gap);
        gap.filter(|gap| gap.0 > 0)
    }

    /// Reports whether `backend` is permitted to run the request, regardless of its current state.
    pub fn permits_backend(&self, backend: &Backend) -> bool {
        self.permits_region(&backend.region)
            && backend.serves.contains(&self.service)
            && self.backends.matches(&backend.labels)
    }
}

impl Config {
    /// Routes a request: finds its customer, route, model and selector, and the constraints that
    /// follow from them.
    pub fn plan(&self, ask: &Query) -> Result<Plan<'_>, Refusal> {
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
        let mut region_limits = vec![&customer.regions[..], &route.regions, &selector.regions];
        region_limits.extend(model.map(|m| &m.regions[..]));
        let line = model.map_or_else(|| route.name.clone(), |m| m.name.clone());
        let plan = Plan {
            queue: line,
            customer,
            route,
            selector: &selector.name,
            service: model.map_or_else(|| route.service(ask.random), |m| m.name.clone()),
            backends: &selector.backends,
            region_limits,
            home: customer.home.as_ref().filter(|_| selector.home_only),
        };
        if !self
            .regions
            .keys()
            .any(|region| plan.permits_region(region))
        {
            return Err(Refusal::NoRegion);
        }
        Ok(plan)
    }

    /// Returns the routes of `host`; with `None`, those that accept any host.
    pub fn routes_of_host(&self, host: Option<&str>) -> impl Iterator<Item = &Route> {
        let routes = self.routes.iter();
        routes.filter(move |r| r.host.as_deref() == host)
    }

    /// Returns the routes of `host` whose requests may run in `region`.
    pub fn routes_in_region(
        &self,
        host: Option<&str>,
        region: &Region,
    ) -> impl Iterator<Item = &Route> {
        let routes = self.routes_of_host(host);
        routes.filter(|r| r.permits(region))
    }

    /// Returns the route with the longest prefix of `path` that ends at a segment boundary. A route
    /// of `host` takes precedence over one that accepts any host.
    pub fn route(&self, host: Option<&str>, path: &str) -> Option<&Route> {
        let found = self.index.find(host, path);
        let routes = found.filter_map(|position| self.routes.get(position));
        // The index drops trailing slashes, but a prefix such as `/a/` must not match `/a`.
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.prefix))
    }
}

impl Route {
    /// Reports whether the route permits its requests to run in `region`. Customers, models and
    /// selectors can restrict the regions further.
    pub fn permits(&self, region: &Region) -> bool {
        self.regions.is_empty() || self.regions.contains(region)
    }

    /// Chooses the service for a request by weight: `draw` modulo the total weight. Without shares
    /// the service has the route's own name.
    fn service(&self, draw: u64) -> Service {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let Some(mut remainder) = draw.checked_rem(total) else {
            return self.name.clone();
        };
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remainder < weight {
                return share.service.clone();
            }
            remainder -= weight;
        }
        self.name.clone()
    }
}
