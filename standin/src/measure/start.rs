//! Measures the traffic between boxes, engines and the store when all boxes start at once, by size.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use petreldrum::{
    config::Backend,
    fleet::{Change, Revision},
    gateway::pack,
    platform::{Topology, record},
    reducer::{
        effect::{Effect, Follow},
        event::Event,
    },
    unit::Millis,
};

use crate::crowd::{Crowd, OVERHEAD, TICK, backend};

const SIZES: [usize; 4] = [30, 100, 300, 1000];
/// Backend servers per box.
const SERVERS_PER_BOX: usize = 10;
/// Period over which the boxes' first reads of the store are spread, in milliseconds.
const READ_SPREAD_MS: u64 = 2000;
/// Durations of the start and of the steady phase after it, in milliseconds.
const START_MS: u64 = 10_000;
const CALM_MS: u64 = 10_000;
/// Interval between changes of a server, and between revision updates of the store to its watchers,
/// in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 500;
const SYNC_INTERVAL_MS: u64 = 1000;
const CONFIG: &str = r#"{"version":1,"routes":[],
    "services":[{"name":"s","coldPerS":4.5,"engine":{"kvTokens":298664}}]}"#;

struct Fleet {
    crowd: Crowd,
    servers: Vec<Backend>,
    follows: Vec<Follow>,
    revision: Revision,
    inventory_requests: usize,
    /// Lists and changes that boxes fetched from each other: their number and total bytes.
    fetched: (usize, usize),
    /// Calls to the store.
    calls: usize,
    /// Size of the packed complete list.
    full_list_bytes: usize,
}

fn config() -> Arc<petreldrum::config::Config> {
    let envelope = record::envelope(CONFIG.into()).expect("valid configuration");
    Arc::new(record::parse_config(&envelope, &Topology::default()).expect("valid configuration"))
}

fn server(number: usize, region: &str) -> Backend {
    backend(&format!("i-{number:010x}"), region)
}

impl Fleet {
    fn new(boxes: usize) -> Self {
        let mut crowd = Crowd::across_regions(boxes, config());
        crowd.weighed = Some(vec![BTreeMap::new(); boxes]);
        let servers: Vec<Backend> = (0..boxes * SERVERS_PER_BOX)
            .map(|number| server(number, crowd.region(number)))
            .collect();
        Self {
            full_list_bytes: pack::pack(&servers).map_or(0, |packed| packed.len()),
            crowd,
            follows: vec![Follow::Direct; boxes],
            revision: Revision::first(servers.len() as u64),
            servers,
            inventory_requests: 0,
            fetched: (0, 0),
            calls: 0,
        }
    }

    /// Advances time; returns the bytes that each box sent meanwhile, by kind of message.
    fn pass(&mut self, millis: u64) -> Vec<BTreeMap<&'static str, usize>> {
        for _ in 0..millis / TICK {
            self.crowd.now = self.crowd.now + Millis(TICK);
            let now = self.crowd.now.0;
            let boxes = self.crowd.boxes.len() as u64;
            for number in 0..self.follows.len() {
                let reads = READ_SPREAD_MS * number as u64 / boxes / TICK * TICK + TICK == now;
                if reads && self.follows[number] != Follow::Forwarded {
                    self.read(number);
                }
            }
            if now > READ_SPREAD_MS && now.is_multiple_of(CHANGE_INTERVAL_MS) {
                self.change();
            }
            if now > READ_SPREAD_MS && now.is_multiple_of(SYNC_INTERVAL_MS) {
                self.notify(&[]);
            }
            for (number, effect) in self.crowd.tick() {
                self.execute(number, effect);
            }
        }
        let boxes = self.crowd.boxes.len();
        let empty = vec![BTreeMap::new(); boxes];
        self.crowd.weighed.replace(empty).unwrap_or_default()
    }

    /// Delivers all pages of the store's list to a box (500 servers per page).
    fn read(&mut self, number: usize) {
        self.calls += self.servers.len().div_ceil(500);
        let (backends, doubt) = (self.servers.clone(), Millis(0));
        let change = Change::List {
            backends,
            grace: doubt,
        };
        let revision = self.revision;
        self.step(number, Event::Fleet { change, revision });
        self.step(number, Event::Synced(revision));
    }

    /// Changes a server and notifies the watchers of the store.
    fn change(&mut self) {
        self.revision.number += 1;
        let at = self.revision.number as usize % self.servers.len();
        self.servers[at].slots ^= 1;
        let changed = self.servers[at].clone();
        self.notify(&[changed]);
    }

    fn notify(&mut self, changed: &[Backend]) {
        let revision = self.revision;
        for number in 0..self.follows.len() {
            if self.follows[number] == Follow::Forwarded {
                continue;
            }
            self.calls += 1;
            for backend in changed {
                let change = Change::Put(backend.clone());
                self.step(number, Event::Fleet { change, revision });
            }
            self.step(number, Event::Synced(revision));
        }
    }

    fn step(&mut self, number: usize, event: Event) {
        for effect in self.crowd.step(number, event) {
            self.execute(number, effect);
        }
    }

    fn execute(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Inventory { .. } => self.inventory_requests += 1,
            Effect::Follow(follow) => {
                if follow != Follow::Forwarded && self.follows[number] == Follow::Forwarded {
                    self.read(number);
                }
                self.follows[number] = follow;
            }
            Effect::FetchRoster { peer, since } => {
                let Some(other) = self.crowd.by_peer(peer) else {
                    return;
                };
                let clock = self.crowd.clock(other);
                let state = self.crowd.boxes[other].as_ref();
                let Some(roster) = state.and_then(|state| state.roster(clock, since)) else {
                    return;
                };
                let bytes = match roster.since {
                    None => self.full_list_bytes,
                    Some(_) => pack::pack(&roster).map_or(0, |packed| packed.len()),
                };
                self.fetched.0 += 1;
                self.fetched.1 += bytes + OVERHEAD;
                self.step(number, Event::Roster(roster));
            }
            _ => {}
        }
    }
}

/// Simulates the start and the steady phase of each size, and prints their traffic.
pub(super) fn run(sizes: &[usize]) {
    let sizes = if sizes.is_empty() { &SIZES[..] } else { sizes };
    for &boxes in sizes {
        let begun = Instant::now();
        let mut fleet = Fleet::new(boxes);
        let start = fleet.pass(START_MS);
        let (questions, fetched, calls) = (fleet.inventory_requests, fleet.fetched, fleet.calls);
        let calm = fleet.pass(CALM_MS);
        println!(
            "{boxes} boxes, {} servers: in the start {questions} questions to engines, {} lists and changes \
             fetched of {:.1} MB, {calls} calls to the store; in the calm {} calls ({:.1} s to play)",
            fleet.servers.len(),
            fetched.0,
            fetched.1 as f64 / 1e6,
            fleet.calls - calls,
            begun.elapsed().as_secs_f64(),
        );
        print("start", &start, START_MS);
        print("calm", &calm, CALM_MS);
    }
}

/// Prints a row: the rate sent by the median box and the busiest box, and the mean by kind of
/// message.
fn print(phase: &str, sent: &[BTreeMap<&'static str, usize>], millis: u64) {
    let seconds = millis as f64 / 1000.0;
    let rate = |bytes: usize| bytes as f64 / seconds / 1000.0;
    let mut sums: Vec<usize> = sent.iter().map(|kinds| kinds.values().sum()).collect();
    sums.sort_unstable();
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for (kind, bytes) in sent.iter().flatten() {
        *kinds.entry(kind).or_default() += bytes;
    }
    let kinds: Vec<String> = kinds
        .iter()
        .map(|(kind, bytes)| format!("{kind} {:.2}", rate(bytes / sent.len())))
        .collect();
    let middle = sums.get(sums.len() / 2).copied().unwrap_or_default();
    let most = sums.last().copied().unwrap_or_default();
    println!(
        "  {phase}: KB/s out of a box, middle {:.2}, most {:.2}; mean: {}",
        rate(middle),
        rate(most),
        kinds.join(", ")
    );
}
