//! The store of the soak and who writes to it: the operator, and backend servers of themselves.

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
    HOMES, HOST, Plant, REGIONS, domain,
    plan::Outage,
    record::{Book, Evacuation, Version},
    server::{SLOTS, Server},
};
use crate::{
    http::{Body, Service, Whole},
    registry::{Fault, Registry},
};

/// Requests a second that a cold server bears.
pub const COLD_RATE: f64 = 6.0;
/// How long a route's requests may take.
const TIMEOUT_MS: u64 = 3000;
/// How late a slow store answers.
const SLOW: Duration = Duration::from_millis(700);
/// How often a write is tried.
const RETRY: Duration = Duration::from_millis(50);
/// Of so many answers, one is lost.
const LOST: u64 = 3;

/// The store, with faults that its content knows nothing of.
#[derive(Clone, Default)]
pub struct Store {
    registry: Registry,
    /// The newest outage, and how many are under way.
    outage: Arc<Mutex<(Option<Outage>, usize)>>,
    calls: Arc<AtomicU64>,
}

impl Service for Store {
    async fn answer(&self, request: Whole) -> Option<Response<Body>> {
        let outage = self.outage();
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        if outage == Some(Outage::Slow) {
            sleep(SLOW).await;
        }
        let answer = self.registry.answer(request).await;
        let lost = outage == Some(Outage::LostAnswers) && call.is_multiple_of(LOST);
        answer.filter(|_| !lost)
    }
}

impl Store {
    fn outage(&self) -> Option<Outage> {
        self.outage.lock().expect("the lock is never poisoned").0
    }

    /// Misbehaves from now on.
    pub fn disturb(&self, outage: Outage) {
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

    /// Misbehaves no longer, once this was said for each outage.
    pub fn mend(&self) {
        let mut state = self.outage.lock().expect("the lock is never poisoned");
        state.1 -= 1;
        if state.1 == 0 {
            state.0 = None;
            self.registry.set_fault(Fault::None);
        }
    }

    /// Waits until it takes what is written; a store that is busy takes the operator's calls.
    pub async fn takes(&self) {
        while matches!(
            self.outage(),
            Some(Outage::Silent | Outage::Lapse | Outage::Reset)
        ) {
            sleep(RETRY).await;
        }
    }
}

/// Who writes to the store.
#[derive(Clone)]
pub struct Operator {
    /// Where it writes.
    pub store: Store,
    book: Book,
    plants: Arc<Vec<Plant>>,
}

impl Operator {
    /// One that has written nothing yet.
    pub fn new(book: &Book, plants: &[Plant]) -> Self {
        Self {
            store: Store::default(),
            book: book.clone(),
            plants: Arc::new(plants.to_vec()),
        }
    }

    /// Writes the next version; each has a route that no other has.
    pub fn configure(&self) {
        let last = self.book.record().versions.last().map_or(0, |v| v.number);
        let number = last + 1 + last % 3;
        let content = configuration(number);
        if last == 0 || !self.plants.contains(&Plant::UnwrittenVersion) {
            self.store.registry.put("op/config", &content);
        }
        let at = self.book.now();
        self.book.record().versions.push(Version { number, at });
    }

    /// Writes a server's entry.
    pub fn register(&self, server: &Server, draining: bool) {
        let hidden = self.plants.contains(&Plant::HiddenCold);
        let cold = if hidden { 0 } else { server.cold_left() };
        let quiet = draining && self.plants.contains(&Plant::UnwrittenLeave);
        let state = if draining && !quiet {
            "draining"
        } else {
            "ready"
        };
        let region = if self.plants.contains(&Plant::WrongRegion) {
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
        self.note_leave(server, draining);
    }

    /// Takes a server's entry out; `lapsed` where the server lives and writes it again soon.
    pub fn unregister(&self, server: &Server, lapsed: bool) {
        let key = format!("servers/{}", server.name);
        self.store.registry.remove(&key);
        if !lapsed {
            self.note_leave(server, true);
        }
    }

    fn note_leave(&self, server: &Server, leaves: bool) {
        let now = self.book.now();
        let mut record = self.book.record();
        let life = &mut record.lives[server.life];
        if leaves {
            life.leaves.get_or_insert(now);
        }
    }

    /// Evacuates a region's failure domain; its number takes it back.
    pub fn evacuate(&self, region: usize) -> usize {
        if !self.plants.contains(&Plant::UnwrittenEvacuation) {
            let key = format!("op/evacuate/{}", domain(region));
            self.store.registry.put(&key, &json!({}));
        }
        let from = self.book.now();
        let mut record = self.book.record();
        record.evacuations.push(Evacuation {
            region,
            from,
            until: None,
        });
        record.evacuations.len() - 1
    }

    /// Takes an evacuation back; its key stays while another one of the same domain is in force.
    pub fn take_back(&self, number: usize) {
        let now = self.book.now();
        let mut record = self.book.record();
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
            "kind": kind, "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 800, "priority": 0,
            "service": service, "maxAttempts": 2, "resumable": kind == "streaming",
            "gapAimMs": 600, "homeRegions": homes,
        })
    };
    let homes: Vec<&str> = HOMES.iter().map(|region| REGIONS[*region]).collect();
    let service =
        |name: &str| json!({ "name": name, "healthPath": "/health", "coldPerS": COLD_RATE });
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
