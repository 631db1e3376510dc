//! Backend servers of two releases before the reducers of many boxes, with a store that holds the operator's
//! order and takes the boxes' word, in virtual time.

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

/// Time between two looks at the servers, in milliseconds.
const STEP: u64 = 20;
/// How long a message of the store takes to its followers.
const WATCHED: Millis = Millis(250);
/// A request that came to a server after the order.
#[derive(Clone, Copy, Debug)]
pub struct Came {
    /// When.
    pub at: Time,
    /// Whether the server is of the new release.
    pub new: bool,
    /// The box that sent it.
    pub number: usize,
}

/// What the store holds.
#[derive(Debug, Default)]
pub struct Store {
    revision: Revision,
    /// The roll-out of the service.
    pub entry: Entry,
    /// Every end that was written, in order.
    pub ends: Vec<(Time, Standing)>,
    /// Whether it answers.
    pub down: bool,
}

/// Boxes, servers, callers and the operator.
#[derive(Debug)]
pub struct Scene {
    /// The boxes.
    pub crowd: Crowd,
    /// The servers.
    pub servers: Vec<Server>,
    /// The store.
    pub store: Store,
    /// What is wrong with the new release.
    pub fault: Fault,
    /// Requests a second at all boxes together.
    pub demand: f64,
    /// Every request that came to a server since the order.
    pub came: Vec<Came>,
    /// When bad answers of the new release were made.
    pub bad: Vec<Time>,
    /// Requests that a server served.
    pub served: usize,
    /// Requests that the boxes turned away.
    pub refused: usize,
    ordered: Time,
    follows: Vec<Follow>,
    /// What the store has yet to tell each box.
    due: VecDeque<(Time, usize, Event)>,
    runs: Vec<Run>,
    /// Requests that came over another box: that box, its request and its attempt.
    relays: HashMap<(usize, id::Request), (usize, id::Request, id::Attempt)>,
    requests: u64,
    owed: f64,
    rng: StdRng,
}

impl Scene {
    /// Boxes of three regions that know each other and `servers` servers of the release v1.
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
            due: VecDeque::new(),
            runs: Vec::new(),
            relays: HashMap::new(),
            requests: 0,
            owed: 0.0,
            rng: StdRng::seed_from_u64(seed),
        };
        scene.start_servers(servers, "v1", Millis(0), &REGIONS.map(|(region, _)| region));
        scene.tell_all();
        scene.pass(8000);
        scene
    }

    /// Starts servers of a release in some regions.
    pub fn start_servers(&mut self, servers: usize, release: &str, cold: Millis, regions: &[&str]) {
        let all: usize = REGIONS.iter().map(|(_, part)| part).sum();
        for (region, part) in REGIONS.iter().filter(|(r, _)| regions.contains(r)) {
            for number in 0..(servers * part).div_ceil(all) {
                let speed = if number % 3 == 2 { 1.3 } else { 1.0 };
                let name = format!("{release}-{region}-{number}");
                let server = server(name, region, release, cold, speed);
                self.tell(Event::Fleet {
                    change: Change::Put(server.backend.clone()),
                    revision: Revision::first(0),
                });
                self.servers.push(server);
            }
        }
    }

    /// The operator orders the release v2, and its servers start half a second later.
    pub fn order(&mut self, servers: usize, within: Millis, fault: Fault) {
        self.fault = fault;
        self.give_order("v2", within);
        self.pass(500);
        self.start_servers(servers, "v2", Millis(3000), &REGIONS.map(|(r, _)| r));
    }

    /// The operator's order alone.
    pub fn give_order(&mut self, release: &str, within: Millis) {
        self.ordered = self.crowd.now;
        self.store.revision.number += 1;
        self.store.entry.order = Some(Order {
            release: release.parse().expect("a name"),
            within,
            revision: self.store.revision,
        });
        self.tell_rollouts();
    }

    /// The operator takes the order back.
    pub fn withdraw(&mut self) {
        self.store.entry.order = None;
        self.tell_rollouts();
    }

    /// Time since the order.
    pub fn age(&self) -> Millis {
        self.crowd.now.since(self.ordered)
    }

    fn rollouts(&self) -> Rollouts {
        let entry = &self.store.entry;
        let some = entry.order.is_some() || entry.written.is_some();
        let service = "s".parse().expect("a name");
        some.then(|| (service, entry.clone())).into_iter().collect()
    }

    fn tell_rollouts(&mut self) {
        let rollouts = self.rollouts();
        self.tell(Event::Rollouts {
            rollouts,
            revision: Revision::first(0),
        });
    }

    /// The store tells its followers of a change.
    fn tell(&mut self, event: Event) {
        self.store.revision.number += 1;
        let revision = self.store.revision;
        let event = match event {
            Event::Fleet { change, .. } => Event::Fleet { change, revision },
            Event::Rollouts { rollouts, .. } => Event::Rollouts { rollouts, revision },
            other => other,
        };
        let at = self.crowd.now + WATCHED;
        for number in 0..self.crowd.boxes.len() {
            self.due.push_back((at, number, event.clone()));
            self.due.push_back((at, number, Event::Synced(revision)));
        }
    }

    /// A box reads everything.
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

    fn tell_all(&mut self) {
        for number in 0..self.crowd.boxes.len() {
            self.read_all(number);
        }
    }

    /// Kills a box and starts it anew.
    pub fn restart(&mut self, number: usize) {
        self.runs.retain(|run| run.number != number);
        self.crowd.launch(number);
        self.follows[number] = Follow::Direct;
        if !self.store.down {
            self.read_all(number);
        }
    }

    /// The server ends without a word; what runs there breaks.
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

    /// A server leaves the list.
    pub fn remove(&mut self, server: usize) {
        let name = self.servers[server].backend.name.clone();
        self.crash(server);
        let doubt = Millis(0);
        let change = Change::Removed { name, grace: doubt };
        let revision = Revision::first(0);
        self.tell(Event::Fleet { change, revision });
    }

    /// Lets time pass while callers ask.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.crowd.now = self.crowd.now + Millis(STEP);
            self.deliver();
            self.answer();
            if self.crowd.now.0.is_multiple_of(TICK) {
                for (number, effect) in self.crowd.tick() {
                    self.carry_out(number, effect);
                }
            }
            self.owed += self.demand * STEP as f64 / 1000.0;
            while self.owed >= 1.0 {
                self.owed -= 1.0;
                self.ask();
            }
        }
    }

    /// Lets time pass until an end is written; false where that takes longer than `most`.
    pub fn pass_until_end(&mut self, most: Millis) -> bool {
        let since = self.crowd.now;
        while self.store.ends.is_empty() && self.crowd.now.since(since) < most {
            self.pass(TICK);
        }
        !self.store.ends.is_empty()
    }

    /// Requests that came to servers between the order and `until`: all, and those to the new release.
    pub fn exposed(&self, until: Time) -> (usize, usize) {
        let came = self.came.iter().filter(|came| came.at <= until);
        let new = came.clone().filter(|came| came.new).count();
        (came.count(), new)
    }

    /// Whether the new release got more of the requests than may be exposed, at any moment until `until`.
    pub fn is_overexposed(&self, until: Time, share: f64, slack: f64) -> bool {
        let (all, new) = self.exposed(until);
        new as f64 > share * all as f64 + slack
    }

    /// How long after the order its first end was written, and which.
    pub fn end_after(&self) -> Option<(Millis, Standing)> {
        let (at, standing) = self.store.ends.first()?;
        Some((at.since(self.ordered), *standing))
    }

    /// Requests to the new release later than `span` after its 50th bad answer.
    pub fn late(&self, span: Millis) -> usize {
        let Some(fiftieth) = self.bad.get(49) else {
            return 0;
        };
        let from = *fiftieth + span;
        self.came.iter().filter(|c| c.new && c.at > from).count()
    }

    /// The boxes' numbers by region.
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
