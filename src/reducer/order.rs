//! Whether an operator's order for a roll-out can be taken, by what this box knows.

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

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The service.
    pub service: Service,
    /// The release that is to serve.
    pub release: Release,
    /// The time after which it should.
    pub within: Millis,
}

/// Why an order, or a stop, is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It leaves no time to watch the release.
    NoTime,
    /// No server of the release serves the service.
    NoServer(Ask),
    /// The service runs the release.
    Running(Ask),
    /// Another order is open.
    Open(Release),
    /// No server of the release is ready.
    NotReady(Ask),
    /// No request may run where the servers stand that are ready.
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
                let Ask {
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
                list(regions)
            ),
            Self::Missing(regions) => {
                write!(f, "no server of it is ready in {}", list(regions))
            }
            Self::NoOrder(service) => write!(f, "there is no order for {service}"),
            Self::Ended(standing) => write!(f, "the roll-out has ended: {}", standing.name()),
        }
    }
}

fn list(regions: &BTreeSet<Region>) -> String {
    let names: Vec<&str> = regions.iter().map(Region::as_str).collect();
    names.join(", ")
}

/// Refuses where `entry`, as the store holds it, has an open order, or was completed with this release.
pub fn check_standing(entry: Option<&Entry>, ask: &Ask) -> Result<(), Refusal> {
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

/// Refuses where `entry` has no order that could be stopped.
pub fn check_stop(entry: Option<&Entry>, service: &Service) -> Result<(), Refusal> {
    let open = entry.filter(|entry| entry.order.is_some());
    let entry = open.ok_or_else(|| Refusal::NoOrder(service.clone()))?;
    match entry.standing().filter(|standing| standing.is_end()) {
        Some(end) => Err(Refusal::Ended(end)),
        None => Ok(()),
    }
}

/// The servers of a service, as an order sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Survey {
    /// Whether servers of the release serve it.
    known: bool,
    /// Whether servers of other releases serve it.
    others: bool,
    /// The regions where others serve it.
    served: BTreeSet<Region>,
    /// Those of the release that are ready, and whether requests may run there.
    ready: Vec<(SocketAddr, Region, bool)>,
}

impl Survey {
    /// Where the servers of the release listen that seem ready.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.ready.iter().map(|(address, ..)| *address)
    }

    /// Refuses `ask` where it could not succeed; nothing listens at `closed`.
    pub fn check(&self, ask: &Ask, closed: &BTreeSet<SocketAddr>) -> Result<(), Refusal> {
        if ask.within == Millis(0) {
            return Err(Refusal::NoTime);
        }
        if !self.known {
            return Err(Refusal::NoServer(ask.clone()));
        }
        if !self.others {
            return Err(Refusal::Running(ask.clone()));
        }
        let up = |row: &&(SocketAddr, Region, bool)| !closed.contains(&row.0);
        let ready: Vec<_> = self.ready.iter().filter(up).collect();
        if ready.is_empty() {
            return Err(Refusal::NotReady(ask.clone()));
        }
        let regions = |rows: &[&(SocketAddr, Region, bool)]| -> BTreeSet<Region> {
            rows.iter().map(|row| row.1.clone()).collect()
        };
        let reached: Vec<_> = ready.iter().copied().filter(|row| row.2).collect();
        if reached.is_empty() {
            return Err(Refusal::Unreached(regions(&ready)));
        }
        let missing: BTreeSet<Region> = &self.served - &regions(&reached);
        match missing.is_empty() {
            true => Ok(()),
            false => Err(Refusal::Missing(missing)),
        }
    }
}

impl<P: Policy> State<P> {
    /// Looks at the servers that an order for `release` speaks of.
    pub fn survey_order(&self, now: Time, service: &Service, release: &Release) -> Survey {
        let mut survey = Survey::default();
        let Some(config) = self.config.as_deref() else {
            return survey;
        };
        let serving = self.fleet.iter().filter(|b| b.serves.contains(service));
        for backend in serving.filter(|b| !b.leaving) {
            let excluded = self.excluded(now, backend);
            let reached = is_reached(config, service, backend);
            if backend.release.as_ref() == Some(release) {
                survey.known = true;
                // What waits for an order, or was kept off by an earlier one, may be ordered.
                let ready = matches!(excluded, None | Some(Exclusion::Release));
                if ready && !self.fleet.is_cold(&backend.name, now) {
                    let row = (backend.address, backend.region.clone(), reached);
                    survey.ready.push(row);
                }
            } else if excluded != Some(Exclusion::Release) {
                survey.others = true;
                if reached {
                    survey.served.insert(backend.region.clone());
                }
            }
        }
        survey
    }
}

/// Whether some request of `service` may run at `backend`, by its routes, selectors and customers.
fn is_reached(config: &Config, service: &Service, backend: &Backend) -> bool {
    let region = &backend.region;
    let inside = |regions: &[Region]| regions.is_empty() || regions.contains(region);
    let model = config.models.get(service);
    let leads = |kind: Kind, name: &Service, mut shares: std::slice::Iter<'_, _>| match kind {
        Kind::Model => model.is_some(),
        Kind::Application => {
            name == service || shares.any(|share: &crate::config::Share| share.service == *service)
        }
    };
    let mut routes = config.routes.iter().filter(|route| {
        leads(route.kind, &route.name, route.shares.iter()) && route.permits(region)
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
