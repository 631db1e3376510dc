//! Simulated backend servers of two releases, and faults of the new release.

use std::sync::Arc;

use petreldrum::{
    config::{Backend, Config},
    platform::{Topology, record},
    unit::Millis,
};

use crate::crowd::backend;

/// Slots of each server.
pub(super) const SLOTS: u32 = 12;
const CONFIG: &str = r#"{"version":1,"routes":[
    {"name":"read","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":4000,
     "targetLatencyMs":500,"priority":1,"service":"s","maxAttempts":2},
    {"name":"write","host":"h.example","pathPrefix":"/write/","kind":"non_idempotent","timeoutMs":4000,
     "targetLatencyMs":500,"priority":1,"service":"s","maxAttempts":1}],
    "services":[{"name":"s","coldPerS":15}]}"#;

/// A fault of the new release; shares are fractions of its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// This share of answers are errors.
    Fails(f64),
    /// This share of answers take four times as long.
    Slow(f64),
    /// This share of answers are errors, starting at this time after the order.
    Later(f64, Millis),
    /// This share of answers are errors on a server with several requests in flight.
    UnderLoad(f64),
    /// This share of answers on the second route are errors.
    OneRoute(f64),
}

/// A simulated backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The registration that the boxes receive.
    pub backend: Backend,
    /// Whether the server is running.
    pub up: bool,
    pub(super) speed: f64,
    pub(super) busy: u32,
}

/// The regions, and their relative numbers of servers.
pub(super) const REGIONS: [(&str, usize); 3] = [("perth", 5), ("bunbury", 4), ("geraldton", 3)];

pub(super) fn config() -> Arc<Config> {
    let envelope = record::envelope(CONFIG.into()).expect("valid configuration");
    let places = REGIONS.map(|(region, _)| {
        let domain = format!("{region}-a").parse().expect("valid name");
        (domain, region.parse().expect("valid name"))
    });
    let places = Topology {
        domains: places.into(),
        round_trip: Millis(110),
        heartbeat: Millis(1200),
    };
    Arc::new(record::parse_config(&envelope, &places).expect("valid configuration"))
}

pub(super) fn server(
    name: String,
    region: &str,
    release: &str,
    cold: Millis,
    speed: f64,
) -> Server {
    Server {
        backend: Backend {
            slots: SLOTS,
            cold,
            release: Some(release.parse().expect("valid name")),
            ..backend(&name, region)
        },
        up: true,
        speed,
        busy: 0,
    }
}
