//! What the boxes of a fleet tell and ask each other, engines and the store when all start together, by size.

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
/// Servers for each box.
const SERVERS: usize = 10;
/// When the store's answers reach the boxes: they spread over this time.
const READING: u64 = 2000;
/// How long the start lasts, and the calm after it.
const START: u64 = 10_000;
const CALM: u64 = 10_000;
/// Time between two changes of a server, and between two words of the store to its followers.
const CHANGE: u64 = 500;
const WORD: u64 = 1000;
const CONFIG: &str = r#"{"version":1,"routes":[],
    "services":[{"name":"s","coldPerS":4.5,"engine":{"kvTokens":298664}}]}"#;

struct Fleet {
    crowd: Crowd,
    servers: Vec<Backend>,
    follows: Vec<Follow>,
    revision: Revision,
    questions: usize,
    /// Lists that boxes fetched from each other, and the bytes of all lists and changes.
    fetched: (usize, usize),
    calls: usize,
    whole: usize,
}

fn config() -> Arc<petreldrum::config::Config> {
    let envelope = record::envelope(CONFIG.into()).expect("it reads");
    Arc::new(record::parse_config(&envelope, &Topology::default()).expect("it reads"))
}

fn server(number: usize, region: &str) -> Backend {
    backend(&format!("i-{number:010x}"), region)
}

impl Fleet {
    fn new(boxes: usize) -> Self {
        let mut crowd = Crowd::across_regions(boxes, config());
        crowd.weighed = Some(vec![BTreeMap::new(); boxes]);
        let servers: Vec<Backend> = (0..boxes * SERVERS)
            .map(|number| server(number, crowd.region(number)))
            .collect();
        Self {
            whole: pack::pack(&servers).map_or(0, |packed| packed.len()),
            crowd,
            follows: vec![Follow::Direct; boxes],
            revision: Revision::first(servers.len() as u64),
            servers,
            questions: 0,
            fetched: (0, 0),
            calls: 0,
        }
    }

    /// Lets time pass; the sums of what each box sent meanwhile, by kind.
    fn pass(&mut self, millis: u64) -> Vec<BTreeMap<&'static str, usize>> {
        for _ in 0..millis / TICK {
            self.crowd.now = self.crowd.now + Millis(TICK);
            let now = self.crowd.now.0;
            let boxes = self.crowd.boxes.len() as u64;
            for number in 0..self.follows.len() {
                let reads = READING * number as u64 / boxes / TICK * TICK + TICK == now;
                if reads && self.follows[number] != Follow::Forwarded {
                    self.read(number);
                }
            }
            if now > READING && now.is_multiple_of(CHANGE) {
                self.change();
            }
            if now > READING && now.is_multiple_of(WORD) {
                self.tell(&[]);
            }
            for (number, effect) in self.crowd.tick() {
                self.carry_out(number, effect);
            }
        }
        let boxes = self.crowd.boxes.len();
        let empty = vec![BTreeMap::new(); boxes];
        self.crowd.weighed.replace(empty).unwrap_or_default()
    }

    /// A box reads all pages of the store.
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

    /// A server changes, and the store tells its followers.
    fn change(&mut self) {
        self.revision.number += 1;
        let at = self.revision.number as usize % self.servers.len();
        self.servers[at].slots ^= 1;
        let changed = self.servers[at].clone();
        self.tell(&[changed]);
    }

    fn tell(&mut self, changed: &[Backend]) {
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
            self.carry_out(number, effect);
        }
    }

    fn carry_out(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Inventory { .. } => self.questions += 1,
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
                    None => self.whole,
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

/// Plays a start and a calm of each size, and prints what grows.
pub(super) fn run(sizes: &[usize]) {
    let sizes = if sizes.is_empty() { &SIZES[..] } else { sizes };
    for &boxes in sizes {
        let begun = Instant::now();
        let mut fleet = Fleet::new(boxes);
        let start = fleet.pass(START);
        let (questions, fetched, calls) = (fleet.questions, fleet.fetched, fleet.calls);
        let calm = fleet.pass(CALM);
        println!(
            "{boxes} boxes, {} servers: in the start {questions} questions to engines, {} lists and changes \
             fetched of {:.1} MB, {calls} calls to the store; in the calm {} calls ({:.1} s to play)",
            fleet.servers.len(),
            fetched.0,
            fetched.1 as f64 / 1e6,
            fleet.calls - calls,
            begun.elapsed().as_secs_f64(),
        );
        print("start", &start, START);
        print("calm", &calm, CALM);
    }
}

/// One row: what a box sends a second, the middle one and the busiest, and the mean by kind.
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
