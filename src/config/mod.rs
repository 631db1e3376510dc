//! The operators' configuration: what stands where, and who may go where.
//!
//! It lives in the platform's store in a [`Record`], and every box holds the newest one it has
//! accepted. The text is INI; [`Config::parse`] checks it whole.

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
    wire::Short,
};

pub use headers::Headers;
pub use label::{Labels, Matcher};
pub use record::{Envelope, Parcel, Record};
pub use route::{Ask, Plan, Refusal};

/// The number of an accepted configuration; it only grows.
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

/// The SHA-256 of an API key; the key itself is never kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes the key that a customer sent.
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
        const WANT: &str = "expected 64 hexadecimal digits";
        if text.len() != 64 || !text.is_ascii() {
            return Err(WANT);
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = str::from_utf8(pair).map_err(|_| WANT)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| WANT)?;
        }
        Ok(Self(bytes))
    }
}

/// What the deployment weighs when a request might leave home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Milliseconds of expected delay that one unit of a backend server's price is worth.
    pub cost: f64,
    /// Milliseconds of expected delay that staying at home is worth.
    pub away: f64,
    /// Weight of expected delay itself.
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

/// A region and how it is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionEntry {
    /// Round trip from any other region.
    pub hop: Millis,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: id::Customer,
    /// The hashes of its API keys.
    pub keys: Vec<KeyHash>,
    /// Its labels, for selectors.
    pub labels: Labels,
    /// The region it calls home.
    pub home: Option<Region>,
    /// The regions its requests may run in; empty permits all.
    pub regions: Vec<Region>,
    /// The rank of its requests, which goes before their route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What it may use; none leaves that unbounded.
    pub allotment: Option<Allotment>,
}

/// The least urgent rank of a request.
pub(crate) const LOWEST_PRIORITY: u8 = 9;
/// Requests that need no API key, and come without a known one, count as this customer's.
const ANYBODY: &str = "anybody";

impl Customer {
    /// Whoever needs no API key; nothing bounds them.
    pub fn anybody() -> Self {
        Self {
            name: ANYBODY.parse().expect("a proper name"),
            keys: vec![],
            labels: Labels::default(),
            home: None,
            regions: vec![],
            priority: None,
            allotment: None,
        }
    }
}

/// How a route's requests are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// OpenAI-style: the body names the model.
    Model,
    /// Any service: the route is the service.
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

/// A route: the paths below a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, which is the service of an application route.
    pub name: Service,
    /// The path prefix, such as `/booking`.
    pub prefix: String,
    /// How its requests are read.
    pub kind: Kind,
    /// Whether its requests may run twice.
    pub repeatable: bool,
    /// Its labels, for selectors.
    pub labels: Labels,
    /// The regions its requests may run in; empty permits all.
    pub regions: Vec<Region>,
    /// How long an answer may take to begin, where the customer does not say.
    pub deadline: Millis,
    /// The host that its requests name; none takes every host.
    pub host: Option<String>,
    /// The services that share its requests by weight; empty means the route's own.
    pub shares: Vec<Share>,
    /// Whether a request that may not be repeated needs an idempotency key. Without that, each
    /// send counts as a request of its own.
    pub keyed: bool,
    /// Most attempts that one request may have.
    pub attempts: u32,
    /// How long a request may be held in all, its whole answer included.
    pub hold: Option<Millis>,
    /// Time within which an answer should begin.
    pub target: Option<Millis>,
    /// Its rank among the requests of a backend server; 0 is the most urgent.
    pub priority: u8,
    /// How its answers stream; none where they come whole.
    pub stream: Option<Stream>,
    /// Whether its requests need no API key.
    pub open: bool,
}

/// How a route's answers stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Whether another backend server may continue an answer after its last event.
    pub resumable: bool,
    /// The longest pause between two events that is still in time.
    pub gap: Millis,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Service,
    /// Its weight among the others.
    pub weight: u32,
}

impl FromStr for Share {
    type Err = String;
    /// Reads `NAME:WEIGHT`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (service, weight) = text.split_once(':').ok_or("expected NAME:WEIGHT")?;
        Ok(Self {
            service: service.parse().map_err(|e| format!("service: {e}"))?,
            weight: weight.parse().map_err(|e| format!("weight: {e}"))?,
        })
    }
}

/// What the backend servers of one service have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Profile {
    /// Requests a second that a backend server bears while it is cold; none where that is unbounded.
    pub cold_rate: Option<Rate>,
    /// How long a backend server may be cold before its entry says so.
    pub cold_lag: Millis,
    /// What its model engines can do with their memory; none for an application.
    pub engine: Option<Engine>,
}

/// A model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name as customers write it.
    pub name: Service,
    /// Its labels, for selectors.
    pub labels: Labels,
    /// The regions it may run in; empty permits all.
    pub regions: Vec<Region>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: id::Backend,
    /// Where it listens.
    pub address: SocketAddr,
    /// The region it stands in.
    pub region: Region,
    /// The failure domain it stands in.
    pub domain: Domain,
    /// The models or application routes it serves.
    pub serves: Vec<Service>,
    /// Its labels, for selectors.
    pub labels: Labels,
    /// Requests it takes at once.
    pub slots: u32,
    /// Price of one request, in the deployment's unit.
    pub price: f64,
    /// Whether it is leaving: it gets no new work.
    pub leaving: bool,
    /// How long a leaving one still runs, where it tells: whatever runs there then ends with it.
    pub time_left: Option<Millis>,
    /// The headers of its answers that speak of itself.
    pub headers: Arc<Headers>,
    /// How long it stays cold after it became known.
    pub cold: Millis,
    /// Its life, where it tells: one that starts again under its name has a greater number.
    pub incarnation: Option<Incarnation>,
    /// The release that it runs, where it tells.
    pub release: Option<id::Release>,
}

impl Backend {
    /// Its name and life in short: one that starts again under its name has another.
    pub fn life(&self) -> Short {
        match self.incarnation {
            Some(incarnation) => Short::of(&format!("{} {incarnation}", self.name)),
            None => Short::of(self.name.as_str()),
        }
    }
}

/// One line of who may go where; the first that matches decides.
#[derive(Clone, Debug, PartialEq)]
pub struct Selector {
    /// Its name.
    pub name: id::Selector,
    /// Which customers it speaks of.
    pub customers: Matcher,
    /// Which routes it speaks of.
    pub routes: Matcher,
    /// Which models it speaks of; a route without a model matches only an empty matcher.
    pub models: Matcher,
    /// Which backend servers may take the request.
    pub backends: Matcher,
    /// The regions its requests may run in; empty permits all.
    pub regions: Vec<Region>,
    /// Whether the request must stay in the customer's home region.
    pub home_only: bool,
}

/// A checked configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its number.
    pub version: Version,
    /// The mark of the write that brought it.
    pub write: String,
    /// What the deployment weighs.
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
    /// What is known of services beyond their backend servers.
    pub profiles: HashMap<Service, Profile>,
    /// The customer that requests without an API key count as on routes that need none.
    pub anonymous: Option<id::Customer>,
    /// The backend servers that get nothing before an order names their release.
    pub awaiting: HashSet<id::Backend>,
    keys: HashMap<KeyHash, id::Customer>,
    index: route::Index,
}

/// The parts of a configuration, before what is derived from them.
#[derive(Debug, Default)]
pub struct Draft {
    /// Its number.
    pub version: Version,
    /// The mark of the write that brought it.
    pub write: String,
    /// What the deployment weighs, where it says so.
    pub weights: Option<Weights>,
    /// The regions.
    pub regions: HashMap<Region, RegionEntry>,
    /// The customers.
    pub customers: HashMap<id::Customer, Customer>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The models.
    pub models: HashMap<Service, Model>,
    /// The backend servers that the configuration names.
    pub backends: HashMap<id::Backend, Backend>,
    /// The selectors, in order.
    pub selectors: Vec<Selector>,
    /// What is known of services.
    pub profiles: HashMap<Service, Profile>,
    /// The customer that requests without an API key count as.
    pub anonymous: Option<id::Customer>,
    /// The backend servers that wait for an order.
    pub awaiting: HashSet<id::Backend>,
}

impl Draft {
    /// Derives what a configuration is looked up by.
    pub fn finish(self) -> Config {
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
    /// Whether any customer has an allotment.
    pub fn is_limited(&self) -> bool {
        self.customers.values().any(|c| c.allotment.is_some())
    }

    /// Whether any customer has an API key.
    pub fn has_keys(&self) -> bool {
        !self.keys.is_empty()
    }

    /// Finds the customer whose key hashes to `hash`.
    pub fn customer(&self, hash: &KeyHash) -> Option<&Customer> {
        let (known, name) = self.keys.get_key_value(hash)?;
        if !bool::from(known.0.ct_eq(&hash.0)) {
            return None;
        }
        self.customers.get(name)
    }

    /// The round trip from `from` to `to`; zero at home.
    pub fn hop(&self, from: &Region, to: &Region) -> Millis {
        if from == to {
            return Millis(0);
        }
        self.regions.get(to).map_or(Millis(0), |r| r.hop)
    }
}
