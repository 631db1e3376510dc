//! Checks whether an operator's order for a roll-out can succeed, from what this box knows.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    config::{Backend, Config, Kind},
    id::{Region, Release, Service},
    policy::Policy,
    reducer::{State, place::Exclusion},
    rollout::{Entry, Standing},
    unit::{Millis, Time},
};

/// A roll-out as requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The service.
    pub service: Service,
    /// The release to roll out.
    pub release: Release,
    /// The time within which the roll-out is to be complete.
    pub within: Millis,
}

/// Why an order, or the stop of one, is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The order leaves no time to watch the release.
    NoTime,
    /// No server of the release serves the service.
    NoServer(Request),
    /// The service runs the release already.
    Running(Request),
    /// Another order is open.
    Open(Release),
    /// No server of the release is ready.
    NotReady(Request),
    /// The ready servers are in regions where no request of the service may run.
    Unreached(BTreeSet<Region>),
    /// The service is served in regions where no server of the release is ready.
    Missing(BTreeSet<Region>),
    /// There is no order to stop.
    NoOrder(Service),
    /// The order has ended.
    Ended(Standing),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoTime => f.write_str("the order leaves no time to watch the release"),
            Self::NoServer(ask) => {
                let Request {
                    service, release, ..
                } = ask;
                write!(f, "no backend server of {release} serves {service}")
            }
            Self::Running(ask) => write!(f, "{} runs {} already", ask.service, ask.release),
            Self::Open(release) => write!(f, "the order for {release} is open; stop it first"),
            Self::NotReady(ask) => {
                write!(f, "no backend server of {} is ready", ask.release)
            }
            Self::Unreached(regions) => write!(
                f,
                "its servers stand where no request of the service may run: {}",
                join_names(regions)
            ),
            Self::Missing(regions) => {
                write!(f, "no server of it is ready in {}", join_names(regions))
            }
            Self::NoOrder(service) => write!(f, "there is no order for {service}"),
            Self::Ended(standing) => write!(f, "the roll-out has ended: {}", standing.name()),
        }
    }
}

fn join_names(regions: &BTreeSet<Region>) -> String {
    let names: Vec<&str> = regions.iter().map(Region::as_str).collect();
    names.join(", ")
}

/// Refuses `ask` if `entry`, as stored, has an open order or was completed with this release.
pub fn check_open_order(entry: Option<&Entry>, ask: &Request) -> Result<(), Refusal> {
    let Some((entry, order)) = entry.and_then(|e| Some((e, e.order.as_ref()?))) else {
        return Ok(());
    };
    match entry.standing() {
        Some(Standing::Completed) if order.release == ask.release => {
            Err(Refusal::Running(ask.clone()))
        }
        Some(standing) if standing.is_end() => Ok(()),
        _ => Err(Refusal::Open(order.release.clone())),
    }
}

/// Refuses if `entry` has no open order.
pub fn check_stop(entry: Option<&Entry>, service: &Service) -> Result<(), Refusal> {
    let open = entry.filter(|entry| entry.order.is_some());
    let entry = open.ok_or_else(|| Refusal::NoOrder(service.clone()))?;
    match entry.standing().filter(|standing| standing.is_end()) {
        Some(end) => Err(Refusal::Ended(end)),
        None => Ok(()),
    }
}

/// The servers of a service, as far as they matter for an order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Survey {
    /// Whether servers of the release serve the service.
    has_release: bool,
    /// Whether servers of other releases serve the service.
    has_other_releases: bool,
    /// The regions where servers of other releases serve the service.
    served_regions: BTreeSet<Region>,
    /// The ready servers of the release, and whether requests of the service may run there.
    ready: Vec<(SocketAddr, Region, bool)>,
}

impl Survey {
    /// Returns the addresses of the servers of the release that seem ready.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.ready.iter().map(|(address, ..)| *address)
    }

    /// Refuses `ask` if it cannot succeed. `closed` holds the addresses at which nothing listens.
    pub fn check(&self, ask: &Request, closed: &BTreeSet<SocketAddr>) -> Result<(), Refusal> {
        if ask.within == Millis(0) {
            return Err(Refusal::NoTime);
        }
        if !self.has_release {
            return Err(Refusal::NoServer(ask.clone()));
        }
        if !self.has_other_releases {
            return Err(Refusal::Running(ask.clone()));
        }
        let is_listening = |row: &&(SocketAddr, Region, bool)| !closed.contains(&row.0);
        let ready: Vec<_> = self.ready.iter().filter(is_listening).collect();
        if ready.is_empty() {
            return Err(Refusal::NotReady(ask.clone()));
        }
        let regions = |rows: &[&(SocketAddr, Region, bool)]| -> BTreeSet<Region> {
            rows.iter().map(|row| row.1.clone()).collect()
        };
        let eligible: Vec<_> = ready.iter().copied().filter(|row| row.2).collect();
        if eligible.is_empty() {
            return Err(Refusal::Unreached(regions(&ready)));
        }
        let missing: BTreeSet<Region> = &self.served_regions - &regions(&eligible);
        match missing.is_empty() {
            true => Ok(()),
            false => Err(Refusal::Missing(missing)),
        }
    }
}

impl<P: Policy> State<P> {
    /// Collects the servers that matter for an order of `release`.
    pub fn survey_order(&self, now: Time, service: &Service, release: &Release) -> Survey {
        let mut survey = Survey::default();
        let Some(config) = self.config.as_deref() else {
            return survey;
        };
        let serving = self.fleet.iter().filter(|b| b.serves.contains(service));
        for backend in serving.filter(|b| !b.leaving) {
            let excluded = self.excluded(now, backend);
            let eligible = may_run_at(config, service, backend);
            if backend.release.as_ref() == Some(release) {
                survey.has_release = true;
                // Servers that wait for an order, or were blocked by an earlier roll-out, may be
                // ordered.
                let ready = matches!(excluded, None | Some(Exclusion::Release));
                if ready && !self.fleet.is_cold(&backend.name, now) {
                    let row = (backend.address, backend.region.clone(), eligible);
                    survey.ready.push(row);
                }
            } else if excluded != Some(Exclusion::Release) {
                survey.has_other_releases = true;
                if eligible {
                    survey.served_regions.insert(backend.region.clone());
                }
            }
        }
        survey
    }
}

/// Reports whether some request of `service` may run at `backend`, by the routes, selectors and
/// customers of the configuration.
fn may_run_at(config: &Config, service: &Service, backend: &Backend) -> bool {
    let region = &backend.region;
    let inside = |regions: &[Region]| regions.is_empty() || regions.contains(region);
    let model = config.models.get(service);
    let routes_to_service =
        |kind: Kind, name: &Service, mut shares: std::slice::Iter<'_, _>| match kind {
            Kind::Model => model.is_some(),
            Kind::Application => {
                name == service
                    || shares.any(|share: &crate::config::Share| share.service == *service)
            }
        };
    let mut routes = config.routes.iter().filter(|route| {
        routes_to_service(route.kind, &route.name, route.shares.iter()) && route.permits(region)
    });
    if model.is_some_and(|model| !inside(&model.regions)) {
        return false;
    }
    routes.any(|route| {
        let model = model.filter(|_| route.kind == Kind::Model);
        let mut selectors = config.selectors.iter().filter(|selector| {
            let models = &selector.models;
            selector.routes.matches(&route.labels)
                && model.map_or(models.is_empty(), |m| models.matches(&m.labels))
                && selector.backends.matches(&backend.labels)
                && inside(&selector.regions)
        });
        selectors.any(|selector| {
            let mut customers = config.customers.values();
            customers.any(|customer| {
                let home = !selector.home_only || customer.home.as_ref() == Some(region);
                home && inside(&customer.regions) && selector.customers.matches(&customer.labels)
            })
        })
    })
}
