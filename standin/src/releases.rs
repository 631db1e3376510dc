//! Simulation of a roll-out in virtual time: backend servers of two releases, the reducers of many
//! boxes, and a store that holds the operator's order and records the result that the boxes write.

mod play;
mod servers;

use std::collections::{BTreeMap, HashMap, VecDeque};

use petreldrum::{
    fleet::{Change, Revision, Rollouts},
    id,
    reducer::{
        effect::Follow,
        event::{Cause, Event},
    },
    rollout::{Entry, Order, Standing},
    unit::{Millis, Time},
    verdict::Verdict,
};
use rand::{SeedableRng as _, rngs::StdRng};

use crate::crowd::{Crowd, TICK};

use play::Run;
pub use servers::{Fault, Server};
use servers::{REGIONS, config, server};

/// Interval at which the simulation advances the servers, in milliseconds.
const STEP_MS: u64 = 20;
/// Delay from a change of the store to the boxes that watch it.
const WATCH_DELAY: Millis = Millis(250);

/// A request that reached a server after the roll-out was ordered.
#[derive(Clone, Copy, Debug)]
pub struct Came {
    /// Arrival time.
    pub at: Time,
    /// Whether the server runs the new release.
    pub new: bool,
    /// Number of the box that sent the request.
    pub number: usize,
}

/// The simulated store.
#[derive(Debug, Default)]
pub struct Store {
    revision: Revision,
    /// The roll-out entry of the service.
    pub entry: Entry,
    /// Final states of roll-outs in the order written, with their times.
    pub ends: Vec<(Time, Standing)>,
    /// Whether the store is unreachable.
    pub down: bool,
}

/// A simulated system of boxes, servers, callers and an operator.
#[derive(Debug)]
pub struct Scene {
    /// The boxes.
    pub crowd: Crowd,
    /// The servers.
    pub servers: Vec<Server>,
    /// The store.
    pub store: Store,
    /// The fault of the new release.
    pub fault: Fault,
    /// Requests per second, over all boxes.
    pub demand: f64,
    /// Every request that reached a server since the order.
    pub came: Vec<Came>,
    /// Times at which requests arrived that the new release answers badly.
    pub bad: Vec<Time>,
    /// Number of requests served.
    pub served: usize,
    /// Number of requests refused by the boxes.
    pub refused: usize,
    ordered: Time,
    follows: Vec<Follow>,
    /// Store events that are not yet delivered, with due time and box number.
    pending_events: VecDeque<(Time, usize, Event)>,
    runs: Vec<Run>,
    /// Relayed requests: from (receiving box, request) to the sending box, its request and attempt.
    relays: HashMap<(usize, id::Request), (usize, id::Request, id::Attempt)>,
    requests: u64,
    request_credit: f64,
    rng: StdRng,
}

impl Scene {
    /// Starts boxes of three regions and `servers` servers of the release v1, and runs for 8 s so
    /// that the boxes know each other and the servers.
    pub fn new(boxes: usize, servers: usize, demand: f64, seed: u64) -> Self {
        let mut scene = Self {
            crowd: Crowd::across_regions(boxes, config()),
            servers: Vec::new(),
            store: Store::default(),
            fault: Fault::None,
            demand,
            came: Vec::new(),
            bad: Vec::new(),
            served: 0,
            refused: 0,
            ordered: Time(0),
            follows: vec![Follow::Direct; boxes],
            pending_events: VecDeque::new(),
            runs: Vec::new(),
            relays: HashMap::new(),
            requests: 0,
            request_credit: 0.0,
            rng: StdRng::seed_from_u64(seed),
        };
        scene.start_servers(servers, "v1", Millis(0), &REGIONS.map(|(region, _)| region));
        scene.read_all_on_all_boxes();
        scene.pass(8000);
        scene
    }

    /// Starts servers of a release in the given regions; `servers` is the number that all regions
    /// together would get.
    pub fn start_servers(&mut self, servers: usize, release: &str, cold: Millis, regions: &[&str]) {
        let all: usize = REGIONS.iter().map(|(_, part)| part).sum();
        for (region, part) in REGIONS.iter().filter(|(r, _)| regions.contains(r)) {
            for number in 0..(servers * part).div_ceil(all) {
                let speed = if number % 3 == 2 { 1.3 } else { 1.0 };
                let name = format!("{release}-{region}-{number}");
                let server = server(name, region, release, cold, speed);
                self.notify(Event::Fleet {
                    change: Change::Put(server.backend.clone()),
                    revision: Revision::first(0),
                });
                self.servers.push(server);
            }
        }
    }

    /// Orders the roll-out of the release v2; its servers start 500 ms later.
    pub fn order(&mut self, servers: usize, within: Millis, fault: Fault) {
        self.fault = fault;
        self.give_order("v2", within);
        self.pass(500);
        self.start_servers(servers, "v2", Millis(3000), &REGIONS.map(|(r, _)| r));
    }

    /// Writes the operator's order without starting servers.
    pub fn give_order(&mut self, release: &str, within: Millis) {
        self.ordered = self.crowd.now;
        self.store.revision.number += 1;
        self.store.entry.order = Some(Order {
            release: release.parse().expect("valid name"),
            within,
            revision: self.store.revision,
        });
        self.notify_rollouts();
    }

    /// Withdraws the operator's order.
    pub fn withdraw(&mut self) {
        self.store.entry.order = None;
        self.notify_rollouts();
    }

    /// Returns the time since the order.
    pub fn age(&self) -> Millis {
        self.crowd.now.since(self.ordered)
    }

    fn rollouts(&self) -> Rollouts {
        let entry = &self.store.entry;
        let some = entry.order.is_some() || entry.written.is_some();
        let service = "s".parse().expect("valid name");
        some.then(|| (service, entry.clone())).into_iter().collect()
    }

    fn notify_rollouts(&mut self) {
        let rollouts = self.rollouts();
        self.notify(Event::Rollouts {
            rollouts,
            revision: Revision::first(0),
        });
    }

    /// Queues a change of the store for delivery to all boxes.
    fn notify(&mut self, event: Event) {
        self.store.revision.number += 1;
        let revision = self.store.revision;
        let event = match event {
            Event::Fleet { change, .. } => Event::Fleet { change, revision },
            Event::Rollouts { rollouts, .. } => Event::Rollouts { rollouts, revision },
            other => other,
        };
        let at = self.crowd.now + WATCH_DELAY;
        for number in 0..self.crowd.boxes.len() {
            self.pending_events.push_back((at, number, event.clone()));
            self.pending_events
                .push_back((at, number, Event::Synced(revision)));
        }
    }

    /// Delivers the complete content of the store to a box.
    fn read_all(&mut self, number: usize) {
        let revision = self.store.revision;
        let rollouts = self.rollouts();
        let backends = self.servers.iter().map(|s| s.backend.clone()).collect();
        let change = Change::List {
            backends,
            grace: Millis(0),
        };
        self.step(number, Event::Rollouts { rollouts, revision });
        self.step(number, Event::Fleet { change, revision });
        self.step(number, Event::Synced(revision));
    }

    fn read_all_on_all_boxes(&mut self) {
        for number in 0..self.crowd.boxes.len() {
            self.read_all(number);
        }
    }

    /// Kills a box and restarts it with empty state.
    pub fn restart(&mut self, number: usize) {
        self.runs.retain(|run| run.number != number);
        self.crowd.launch(number);
        self.follows[number] = Follow::Direct;
        if !self.store.down {
            self.read_all(number);
        }
    }

    /// Crashes a server; the requests that it runs fail with a broken connection.
    pub fn crash(&mut self, server: usize) {
        self.servers[server].up = false;
        let (broken, runs): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.server == server);
        self.runs = runs;
        for run in broken {
            self.fail(&run, Verdict::MayHaveRun, Cause::Broken);
        }
    }

    /// Crashes a server and removes it from the list of backend servers.
    pub fn remove(&mut self, server: usize) {
        let name = self.servers[server].backend.name.clone();
        self.crash(server);
        let doubt = Millis(0);
        let change = Change::Removed { name, grace: doubt };
        let revision = Revision::first(0);
        self.notify(Event::Fleet { change, revision });
    }

    /// Advances time while callers send requests.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.crowd.now = self.crowd.now + Millis(STEP_MS);
            self.deliver_store_events();
            self.advance_runs();
            if self.crowd.now.0.is_multiple_of(TICK) {
                for (number, effect) in self.crowd.tick() {
                    self.execute(number, effect);
                }
            }
            self.request_credit += self.demand * STEP_MS as f64 / 1000.0;
            while self.request_credit >= 1.0 {
                self.request_credit -= 1.0;
                self.issue_request();
            }
        }
    }

    /// Advances time until a final state is written; returns false if none is within `most`.
    pub fn pass_until_end(&mut self, most: Millis) -> bool {
        let since = self.crowd.now;
        while self.store.ends.is_empty() && self.crowd.now.since(since) < most {
            self.pass(TICK);
        }
        !self.store.ends.is_empty()
    }

    /// Returns the number of requests that reached servers between the order and `until`: in total,
    /// and at the new release.
    pub fn exposed(&self, until: Time) -> (usize, usize) {
        let came = self.came.iter().filter(|came| came.at <= until);
        let new = came.clone().filter(|came| came.new).count();
        (came.count(), new)
    }

    /// Reports whether, from the order to `until`, the new release got more requests than `share`
    /// of the total plus `slack`.
    pub fn is_overexposed(&self, until: Time, share: f64, slack: f64) -> bool {
        let (all, new) = self.exposed(until);
        new as f64 > share * all as f64 + slack
    }

    /// Returns the first final state written and its time after the order.
    pub fn end_after(&self) -> Option<(Millis, Standing)> {
        let (at, standing) = self.store.ends.first()?;
        Some((at.since(self.ordered), *standing))
    }

    /// Returns the number of requests that reached the new release later than `span` after its 50th
    /// bad answer.
    pub fn late(&self, span: Millis) -> usize {
        let Some(fiftieth) = self.bad.get(49) else {
            return 0;
        };
        let from = *fiftieth + span;
        self.came.iter().filter(|c| c.new && c.at > from).count()
    }

    /// Returns the numbers of the boxes by region.
    pub fn regions(&self) -> BTreeMap<&'static str, Vec<usize>> {
        let mut regions: BTreeMap<&'static str, Vec<usize>> = BTreeMap::new();
        for number in 0..self.crowd.boxes.len() {
            regions
                .entry(self.crowd.region(number))
                .or_default()
                .push(number);
        }
        regions
    }
}
