//! From a request's head to the places that may run it.

use std::fmt;

use crate::{
    config::{Backend, Caller, Config, Kind, Matcher, Route},
    id::{self, Region, Service},
};

/// What routing needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The caller.
    pub caller: id::Caller,
    /// The path, without its query.
    pub path: String,
    /// The model that the body names.
    pub model: Option<Service>,
}

/// Why no place may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The configuration has no such caller.
    UnknownCaller,
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
            Self::UnknownCaller => "the API key is unknown",
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
    /// The caller.
    pub caller: &'a Caller,
    /// The route.
    pub route: &'a Route,
    /// The selector that decided.
    pub selector: &'a id::Selector,
    /// What must serve it.
    pub service: Service,
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
        let caller = self
            .callers
            .get(&ask.caller)
            .ok_or(Refusal::UnknownCaller)?;
        let route = self.route(&ask.path).ok_or(Refusal::NoRoute)?;
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
                s.callers.matches(&caller.labels)
                    && s.routes.matches(&route.labels)
                    && model.map_or(s.models.is_empty(), |m| s.models.matches(&m.labels))
            })
            .ok_or(Refusal::NoSelector)?;
        if selector.home_only && caller.home.is_none() {
            return Err(Refusal::NoRegion);
        }
        let mut limits = vec![&caller.regions[..], &route.regions, &selector.regions];
        limits.extend(model.map(|m| &m.regions[..]));
        let plan = Plan {
            caller,
            route,
            selector: &selector.name,
            service: model.map_or_else(|| route.name.clone(), |m| m.name.clone()),
            backends: &selector.backends,
            limits,
            home: caller.home.as_ref().filter(|_| selector.home_only),
        };
        if !self.regions.keys().any(|region| plan.permits(region)) {
            return Err(Refusal::NoRegion);
        }
        Ok(plan)
    }

    /// The route with the longest prefix of `path`, at a segment's border.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| {
            let rest = path.strip_prefix(route.prefix.as_str());
            rest.is_some_and(|r| r.is_empty() || r.starts_with('/') || route.prefix.ends_with('/'))
        })
    }
}
