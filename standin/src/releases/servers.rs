//! The servers of two releases, and what may be wrong with the new one.

use std::sync::Arc;

use petreldrum::{
    config::{Backend, Config},
    platform::{Topology, record},
    unit::Millis,
};

use crate::crowd::backend;

/// Slots of a server.
pub(super) const SLOTS: u32 = 12;
const CONFIG: &str = r#"{"version":1,"routes":[
    {"name":"read","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":4000,
     "targetLatencyMs":500,"priority":1,"service":"s","maxAttempts":2},
    {"name":"write","host":"h.example","pathPrefix":"/write/","kind":"non_idempotent","timeoutMs":4000,
     "targetLatencyMs":500,"priority":1,"service":"s","maxAttempts":1}],
    "services":[{"name":"s","coldPerS":15}]}"#;

/// What is wrong with the new release.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// So many of its answers are failures.
    Fails(f64),
    /// So many of its answers take four times as long.
    Slow(f64),
    /// So many fail, from this time after the order on.
    Later(f64, Millis),
    /// So many fail at a server that has several in hand.
    UnderLoad(f64),
    /// So many of the answers on the second route fail.
    OneRoute(f64),
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// As the boxes know it.
    pub backend: Backend,
    /// Whether it answers.
    pub up: bool,
    pub(super) speed: f64,
    pub(super) busy: u32,
}

/// The regions, and their part of the servers.
pub(super) const REGIONS: [(&str, usize); 3] = [("perth", 5), ("bunbury", 4), ("geraldton", 3)];

pub(super) fn config() -> Arc<Config> {
    let envelope = record::envelope(CONFIG.into()).expect("it reads");
    let places = REGIONS.map(|(region, _)| {
        let domain = format!("{region}-a").parse().expect("a name");
        (domain, region.parse().expect("a name"))
    });
    let places = Topology {
        domains: places.into(),
        round_trip: Millis(110),
        heartbeat: Millis(1200),
    };
    Arc::new(record::parse_config(&envelope, &places).expect("it reads"))
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
            release: Some(release.parse().expect("a name")),
            ..backend(&name, region)
        },
        up: true,
        speed,
        busy: 0,
    }
}
