//! The store of the soak and its writers: the operator, and backend servers that register
//! themselves.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::Response;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    HOME_REGIONS, HOST, PlantedFault, REGIONS, domain,
    plan::Outage,
    record::{Evacuation, Recorder, Version},
    server::{SLOTS, Server},
};
use crate::{
    http::{Body, Service, Whole},
    registry::{Fault, Registry},
};

/// Requests per second that a cold server can take.
pub const COLD_RATE_PER_S: f64 = 6.0;
/// Timeout of each route.
const ROUTE_TIMEOUT_MS: u64 = 3000;
/// Delay of the answers of a slow store.
const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(700);
/// Interval of checks whether the store takes writes.
const WRITABLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// One answer in this many is lost.
const LOST_ANSWER_INTERVAL: u64 = 3;

/// The store, with outages that leave its content unchanged.
#[derive(Clone, Default)]
pub struct Store {
    registry: Registry,
    /// The most recent outage, and the number of outages in progress.
    outage: Arc<Mutex<(Option<Outage>, usize)>>,
    calls: Arc<AtomicU64>,
}

impl Service for Store {
    async fn answer(&self, request: Whole) -> Option<Response<Body>> {
        let outage = self.outage();
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        if outage == Some(Outage::Slow) {
            sleep(SLOW_ANSWER_DELAY).await;
        }
        let answer = self.registry.answer(request).await;
        let lost = outage == Some(Outage::LostAnswers) && call.is_multiple_of(LOST_ANSWER_INTERVAL);
        answer.filter(|_| !lost)
    }
}

impl Store {
    fn outage(&self) -> Option<Outage> {
        self.outage.lock().expect("the lock is never poisoned").0
    }

    /// Begins an outage; it replaces the effect of one in progress.
    pub fn begin_outage(&self, outage: Outage) {
        let mut state = self.outage.lock().expect("the lock is never poisoned");
        *state = (Some(outage), state.1 + 1);
        self.registry.set_fault(match outage {
            Outage::Silent | Outage::Lapse => Fault::Silent,
            Outage::Reset => Fault::Reset,
            Outage::Busy => Fault::Busy,
            Outage::Slow | Outage::LostAnswers | Outage::Forget => Fault::None,
        });
        if outage == Outage::Forget {
            self.registry.forget();
        }
    }

    /// Ends an outage; the store works normally after the last one in progress has ended.
    pub fn end_outage(&self) {
        let mut state = self.outage.lock().expect("the lock is never poisoned");
        state.1 -= 1;
        if state.1 == 0 {
            state.0 = None;
            self.registry.set_fault(Fault::None);
        }
    }

    /// Waits until the store takes writes. A busy store still takes those of the operator.
    pub async fn wait_until_writable(&self) {
        while matches!(
            self.outage(),
            Some(Outage::Silent | Outage::Lapse | Outage::Reset)
        ) {
            sleep(WRITABLE_POLL_INTERVAL).await;
        }
    }
}

/// Writes configurations, evacuations and the entries of backend servers to the store.
#[derive(Clone)]
pub struct Operator {
    /// The store that it writes to.
    pub store: Store,
    recorder: Recorder,
    planted_faults: Arc<Vec<PlantedFault>>,
}

impl Operator {
    /// Creates an operator with an empty store.
    pub fn new(recorder: &Recorder, planted_faults: &[PlantedFault]) -> Self {
        Self {
            store: Store::default(),
            recorder: recorder.clone(),
            planted_faults: Arc::new(planted_faults.to_vec()),
        }
    }

    /// Writes the next configuration version; each version has a route that no other has.
    pub fn write_next_version(&self) {
        let last = self
            .recorder
            .record()
            .versions
            .last()
            .map_or(0, |v| v.number);
        let number = last + 1 + last % 3;
        let content = configuration(number);
        if last == 0
            || !self
                .planted_faults
                .contains(&PlantedFault::UnwrittenVersion)
        {
            self.store.registry.put("op/config", &content);
        }
        let at = self.recorder.now();
        self.recorder.record().versions.push(Version { number, at });
    }

    /// Writes the entry of a backend server.
    pub fn register(&self, server: &Server, draining: bool) {
        let hidden = self.planted_faults.contains(&PlantedFault::HiddenCold);
        let cold = if hidden { 0 } else { server.cold_left() };
        let unwritten = draining && self.planted_faults.contains(&PlantedFault::UnwrittenLeave);
        let state = if draining && !unwritten {
            "draining"
        } else {
            "ready"
        };
        let region = if self.planted_faults.contains(&PlantedFault::WrongRegion) {
            0
        } else {
            server.region
        };
        let content = json!({
            "service": if server.other { "alt" } else { "app" }, "address": server.address,
            "zone": domain(region), "version": "v1", "slots": SLOTS, "state": state,
            "coldRemainingMs": cold, "sequence": 1,
        });
        let key = format!("servers/{}", server.name);
        self.store.registry.put(&key, &content);
        self.record_departure(server, draining);
    }

    /// Removes the entry of a backend server; `lapsed` if the server still runs and registers
    /// again soon.
    pub fn unregister(&self, server: &Server, lapsed: bool) {
        let key = format!("servers/{}", server.name);
        self.store.registry.remove(&key);
        if !lapsed {
            self.record_departure(server, true);
        }
    }

    fn record_departure(&self, server: &Server, leaves: bool) {
        let now = self.recorder.now();
        let mut record = self.recorder.record();
        let life = &mut record.lives[server.life];
        if leaves {
            life.leaves.get_or_insert(now);
        }
    }

    /// Evacuates a region's failure domain and returns the number that ends the evacuation.
    pub fn evacuate(&self, region: usize) -> usize {
        if !self
            .planted_faults
            .contains(&PlantedFault::UnwrittenEvacuation)
        {
            let key = format!("op/evacuate/{}", domain(region));
            self.store.registry.put(&key, &json!({}));
        }
        let from = self.recorder.now();
        let mut record = self.recorder.record();
        record.evacuations.push(Evacuation {
            region,
            from,
            until: None,
        });
        record.evacuations.len() - 1
    }

    /// Ends an evacuation; its key stays while another evacuation of the same domain is in force.
    pub fn end_evacuation(&self, number: usize) {
        let now = self.recorder.now();
        let mut record = self.recorder.record();
        let region = record.evacuations[number].region;
        record.evacuations[number].until = Some(now);
        let open = |e: &Evacuation| e.region == region && e.until.is_none();
        if record.evacuations.iter().any(open) {
            return;
        }
        drop(record);
        let key = format!("op/evacuate/{}", domain(region));
        self.store.registry.remove(&key);
    }
}

fn configuration(number: u64) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, homes: &[&str]| {
        json!({
            "name": format!("r-{prefix}"), "host": HOST, "pathPrefix": format!("/{prefix}/"),
            "kind": kind, "timeoutMs": ROUTE_TIMEOUT_MS, "targetLatencyMs": 800, "priority": 0,
            "service": service, "maxAttempts": 2, "resumable": kind == "streaming",
            "gapAimMs": 600, "homeRegions": homes,
        })
    };
    let homes: Vec<&str> = HOME_REGIONS.iter().map(|region| REGIONS[*region]).collect();
    let service =
        |name: &str| json!({ "name": name, "healthPath": "/health", "coldPerS": COLD_RATE_PER_S });
    json!({
        "version": number,
        "tenants": [],
        "routes": [
            route("safe", "idempotent", "app", &[]),
            route("once", "non_idempotent", "app", &[]),
            route("stream", "streaming", "app", &[]),
            route("home", "idempotent", "app", &homes),
            route("other", "idempotent", "alt", &[]),
            route(&format!("v{number}"), "idempotent", "app", &[]),
        ],
        "services": [service("app"), service("alt")],
        "limits": {},
    })
}
