//! The operators' configuration: regions, customers, routes, models and backend servers, and the
//! rules on which customer's requests may run where.
//!
//! The configuration is kept in the platform's store as a [`Record`], and every box uses the newest
//! one it has accepted. The text is INI; [`Config::parse`] validates it and reports all faults.

mod headers;
mod label;
mod parse;
mod record;
mod route;

use std::{
    collections::{HashMap, HashSet},
    fmt,
    net::SocketAddr,
    str::FromStr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::{
    allotment::Allotment,
    id::{self, Domain, Incarnation, Region, Service},
    memory::Engine,
    unit::{Millis, Rate},
    wire::NameHash,
};

pub use headers::Headers;
pub use label::{Labels, Matcher};
pub use record::{Envelope, Parcel, Record};
pub use route::{Plan, Query, Refusal};

/// The version number of an accepted configuration; it only increases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

impl FromStr for Version {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('v').unwrap_or(text).parse().map(Self)
    }
}

/// The SHA-256 hash of an API key. The key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes an API key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED: &str = "expected 64 hexadecimal digits";
        if text.len() != 64 || !text.is_ascii() {
            return Err(EXPECTED);
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = str::from_utf8(pair).map_err(|_| EXPECTED)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| EXPECTED)?;
        }
        Ok(Self(bytes))
    }
}

/// Weights of price, distance and delay in the choice of where a request runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Penalty per unit of a backend server's price, in milliseconds of expected delay.
    pub cost: f64,
    /// Penalty for running outside the home region, in milliseconds of expected delay.
    pub away: f64,
    /// Factor applied to the expected delay itself.
    pub tail: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            cost: 1.0,
            away: 100.0,
            tail: 1.0,
        }
    }
}

/// The settings of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionEntry {
    /// Round-trip time from any other region.
    pub hop: Millis,
}

/// A customer: its API keys, the regions it may use, and its priority and allotment.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The customer's name.
    pub name: id::Customer,
    /// Hashes of the customer's API keys.
    pub keys: Vec<KeyHash>,
    /// Labels that selectors match.
    pub labels: Labels,
    /// The customer's home region.
    pub home: Option<Region>,
    /// Regions where its requests may run; empty permits all.
    pub regions: Vec<Region>,
    /// Priority of its requests, which overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Limit on the customer's use of the whole fleet; `None` means unlimited.
    pub allotment: Option<Allotment>,
}

/// The least urgent priority of a request.
pub(crate) const LOWEST_PRIORITY: u8 = 9;
/// Name of the customer that requests without a known API key are attributed to on open routes.
const ANONYMOUS_CUSTOMER: &str = "anybody";

impl Customer {
    /// Returns the customer for requests without an API key, which has no limits.
    pub fn anonymous() -> Self {
        Self {
            name: ANONYMOUS_CUSTOMER.parse().expect("the name is valid"),
            keys: vec![],
            labels: Labels::default(),
            home: None,
            regions: vec![],
            priority: None,
            allotment: None,
        }
    }
}

/// The kind of a route, which decides how the service of a request is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// OpenAI-style requests: the body names the model, which is the service.
    Model,
    /// Requests of any protocol: the route determines the service.
    Application,
}

impl FromStr for Kind {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "model" => Ok(Self::Model),
            "application" => Ok(Self::Application),
            _ => Err("expected model or application"),
        }
    }
}

/// A route: the paths below a prefix, and how requests to them are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name, which is also the service of an application route without shares.
    pub name: Service,
    /// The path prefix, such as `/booking`.
    pub prefix: String,
    /// The kind of the route.
    pub kind: Kind,
    /// Whether its requests are idempotent, so that they may run more than once.
    pub repeatable: bool,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Regions where its requests may run; empty permits all.
    pub regions: Vec<Region>,
    /// Time within which an answer must begin if the request names no deadline.
    pub deadline: Millis,
    /// Host that requests must name; `None` accepts any host.
    pub host: Option<String>,
    /// Services that share the requests by weight; empty means the service named like the route.
    pub shares: Vec<Share>,
    /// Whether a request that is not repeatable needs an idempotency key. If not, each send counts
    /// as a separate request.
    pub requires_key: bool,
    /// Maximum number of attempts for one request.
    pub attempts: u32,
    /// Limit on the total duration of a request, including its whole answer.
    pub max_duration: Option<Millis>,
    /// Target time for the beginning of an answer.
    pub target_latency: Option<Millis>,
    /// Default priority of its requests in the queues; 0 is the most urgent.
    pub priority: u8,
    /// Streaming settings; `None` if answers do not stream.
    pub stream: Option<Stream>,
    /// Whether requests without an API key are accepted.
    pub open: bool,
}

/// The streaming settings of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Whether another backend server may resume an answer after its last event.
    pub resumable: bool,
    /// Longest acceptable pause between two events; zero sets no limit.
    pub gap: Millis,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: Service,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

impl FromStr for Share {
    type Err = String;
    /// Parses `NAME:WEIGHT`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (service, weight) = text.split_once(':').ok_or("expected NAME:WEIGHT")?;
        Ok(Self {
            service: service.parse().map_err(|e| format!("service: {e}"))?,
            weight: weight.parse().map_err(|e| format!("weight: {e}"))?,
        })
    }
}

/// Properties that all backend servers of one service share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Profile {
    /// Requests per second that a backend server can take while it is cold; `None` means unlimited.
    pub cold_rate: Option<Rate>,
    /// Delay until the registration of a backend server that has become cold says so. Servers that
    /// return after an evacuation count as cold for this long.
    pub cold_lag: Millis,
    /// Memory capabilities of the service's model engines; `None` for an application.
    pub engine: Option<Engine>,
    /// Path of the liveness check that tells whether a backend server is cold, if there is one.
    pub liveness_path: Option<Arc<str>>,
}

/// A model that engines run.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The model's name in requests.
    pub name: Service,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Regions where the model may run; empty permits all.
    pub regions: Vec<Region>,
}

/// A backend server and its registered properties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The server's name.
    pub name: id::Backend,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Region of the server.
    pub region: Region,
    /// Failure domain of the server.
    pub domain: Domain,
    /// Models or application services that the server runs.
    pub serves: Vec<Service>,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// Price of one request, in a unit that the deployment chooses.
    pub price: f64,
    /// Whether the server is leaving and gets no new requests.
    pub leaving: bool,
    /// Time until a leaving server stops, if known. Requests still running there then are cut off.
    pub time_left: Option<Millis>,
    /// Names of the response headers in which the server reports its own state.
    pub headers: Arc<Headers>,
    /// Time for which the server stays cold after its registration is received.
    pub cold: Millis,
    /// Incarnation of the server, if known: a restart under the same name has a greater number.
    pub incarnation: Option<Incarnation>,
    /// Release that the server runs, if known.
    pub release: Option<id::Release>,
}

impl Backend {
    /// Returns a short hash of name and incarnation, which changes when the server restarts.
    /// Without an incarnation it is the hash of the name alone.
    pub fn life(&self) -> NameHash {
        match self.incarnation {
            Some(incarnation) => NameHash::of(&format!("{} {incarnation}", self.name.as_str())),
            None => NameHash::of(self.name.as_str()),
        }
    }
}

/// A rule on where the requests of some customers, routes and models may run. The first selector
/// that matches a request applies.
#[derive(Clone, Debug, PartialEq)]
pub struct Selector {
    /// The selector's name.
    pub name: id::Selector,
    /// Customers that the selector applies to.
    pub customers: Matcher,
    /// Routes that the selector applies to.
    pub routes: Matcher,
    /// Models that the selector applies to; a request without a model matches only an empty
    /// matcher.
    pub models: Matcher,
    /// Backend servers that may run the request.
    pub backends: Matcher,
    /// Regions where its requests may run; empty permits all.
    pub regions: Vec<Region>,
    /// Whether the request must stay in the customer's home region.
    pub home_only: bool,
}

/// A validated configuration with its look-up indexes.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version number of the configuration.
    pub version: Version,
    /// Random id of the write that stored the configuration.
    pub write: String,
    /// Weights in the choice of where a request runs.
    pub weights: Weights,
    /// The regions.
    pub regions: HashMap<Region, RegionEntry>,
    /// The customers.
    pub customers: HashMap<id::Customer, Customer>,
    /// The routes, longest prefix first.
    pub routes: Vec<Route>,
    /// The models.
    pub models: HashMap<Service, Model>,
    /// The backend servers.
    pub backends: HashMap<id::Backend, Backend>,
    /// The selectors, in order.
    pub selectors: Vec<Selector>,
    /// Properties shared by the backend servers of each service.
    pub profiles: HashMap<Service, Profile>,
    /// The customer that requests without an API key are attributed to on open routes.
    pub anonymous: Option<id::Customer>,
    /// Backend servers that get no requests until a roll-out order names their release.
    pub awaiting: HashSet<id::Backend>,
    keys: HashMap<KeyHash, id::Customer>,
    index: route::Index,
}

/// The parts of a configuration from which [`Builder::build`] builds it.
#[derive(Debug, Default)]
pub struct Builder {
    /// Version number of the configuration.
    pub version: Version,
    /// Random id of the write that stored the configuration.
    pub write: String,
    /// Weights in the choice of where a request runs; `None` applies the defaults.
    pub weights: Option<Weights>,
    /// The regions.
    pub regions: HashMap<Region, RegionEntry>,
    /// The customers.
    pub customers: HashMap<id::Customer, Customer>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The models.
    pub models: HashMap<Service, Model>,
    /// The backend servers that the configuration lists.
    pub backends: HashMap<id::Backend, Backend>,
    /// The selectors, in order.
    pub selectors: Vec<Selector>,
    /// Properties shared by the backend servers of each service.
    pub profiles: HashMap<Service, Profile>,
    /// The customer that requests without an API key are attributed to on open routes.
    pub anonymous: Option<id::Customer>,
    /// Backend servers that get no requests until a roll-out order names their release.
    pub awaiting: HashSet<id::Backend>,
}

impl Builder {
    /// Sorts the routes, builds the look-up indexes and returns the configuration.
    pub fn build(self) -> Config {
        let mut routes = self.routes;
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        let keys = self
            .customers
            .values()
            .flat_map(|c| c.keys.iter().map(|key| (*key, c.name.clone())));
        Config {
            version: self.version,
            write: self.write,
            weights: self.weights.unwrap_or_default(),
            regions: self.regions,
            keys: keys.collect(),
            customers: self.customers,
            index: route::Index::new(&routes),
            routes,
            models: self.models,
            backends: self.backends,
            selectors: self.selectors,
            profiles: self.profiles,
            anonymous: self.anonymous,
            awaiting: self.awaiting,
        }
    }
}

impl Config {
    /// Reports whether any customer has an allotment.
    pub fn has_allotments(&self) -> bool {
        self.customers.values().any(|c| c.allotment.is_some())
    }

    /// Reports whether any customer has an API key.
    pub fn has_api_keys(&self) -> bool {
        !self.keys.is_empty()
    }

    /// Returns the customer that owns the API key with this hash. The hashes are compared in
    /// constant time.
    pub fn customer(&self, hash: &KeyHash) -> Option<&Customer> {
        let (known, name) = self.keys.get_key_value(hash)?;
        if !bool::from(known.0.ct_eq(&hash.0)) {
            return None;
        }
        self.customers.get(name)
    }

    /// Returns the round-trip time from `from` to `to`, which is zero within a region.
    pub fn hop(&self, from: &Region, to: &Region) -> Millis {
        if from == to {
            return Millis(0);
        }
        self.regions.get(to).map_or(Millis(0), |r| r.hop)
    }
}
