//! Backend servers of two releases before the reducers of many boxes, with a store that holds the operator's
//! order and takes the boxes' word, in virtual time.

mod servers;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
};

use petreldrum::{
    fleet::{Change, Revision, Rollouts},
    id::{self, Region},
    reducer::{
        effect::{Effect, Follow, Send, Target},
        event::{Arrival, Cause, Credential, Event, Hop, Key},
    },
    rollout::{Entry, Order, Standing, Written},
    unit::{Millis, Time},
    verdict::Verdict,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

use crate::crowd::{Crowd, TICK};

pub use servers::{Fault, Server};
use servers::{REGIONS, SLOTS, config, server};

/// Time between two looks at the servers, in milliseconds.
const STEP: u64 = 20;
/// Mean time of an answer, and how far it varies.
const WORK: (f64, f64) = (120.0, 0.4);
/// The part of an answer's time after which it begins.
const BEGINS: f64 = 0.8;
/// Requests in hand from which on a server that fails under load does.
const LOADED: u32 = 2;
/// How long a message of the store takes to its followers.
const WATCHED: Millis = Millis(250);
/// The share of requests on [`ROUTES`]`[1]` that fail wherever they run.
const CALLERS_FAULT: f64 = 0.1;
/// The routes, and the share of requests on the first.
const ROUTES: [&str; 2] = ["/read/", "/write/"];
const FIRST_SHARE: f64 = 0.6;

/// A request at a server.
#[derive(Debug)]
struct Run {
    number: usize,
    send: Send,
    server: usize,
    begins: Time,
    ends: Time,
    begun: bool,
    fails: bool,
}

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
            follows: vec![Follow::Alone; boxes],
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
                    revision: Revision(0),
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
        self.store.revision.0 += 1;
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
            revision: Revision(0),
        });
    }

    /// The store tells its followers of a change.
    fn tell(&mut self, event: Event) {
        self.store.revision.0 += 1;
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
            doubt: Millis(0),
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
        self.follows[number] = Follow::Alone;
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
        let change = Change::Gone { name, doubt };
        let revision = Revision(0);
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

    fn deliver(&mut self) {
        if self.store.down {
            return;
        }
        // Followers hear of the store each second, whether or not something changed.
        if self.crowd.now.0.is_multiple_of(1000) {
            let at = self.crowd.now;
            let revision = self.store.revision;
            for number in 0..self.crowd.boxes.len() {
                self.due.push_back((at, number, Event::Synced(revision)));
            }
        }
        while self
            .due
            .front()
            .is_some_and(|(at, ..)| *at <= self.crowd.now)
        {
            let Some((_, number, event)) = self.due.pop_front() else {
                return;
            };
            if self.follows[number] != Follow::Rest {
                self.step(number, event);
            }
        }
    }

    fn ask(&mut self) {
        self.requests += 1;
        let number = self.rng.random_range(0..self.crowd.boxes.len());
        if self.crowd.frozen.contains(&number) {
            return;
        }
        let second = !self.rng.random_bool(FIRST_SHARE);
        let draw = self.rng.random();
        let arrival = self.arrival(ROUTES[usize::from(second)], draw, Hop::Direct);
        self.step(number, Event::Arrived(arrival));
    }

    fn arrival(&self, path: &str, draw: u64, hop: Hop) -> Arrival {
        Arrival {
            request: id::Request(self.requests),
            tag: None,
            credential: Credential::Missing,
            host: Some("h.example".to_owned()),
            path: path.to_owned(),
            model: None,
            prefix: draw,
            prompt: None,
            content: Default::default(),
            draw,
            runs: None,
            key: Key::Absent,
            left: None,
            hop,
        }
    }

    fn step(&mut self, number: usize, event: Event) {
        for effect in self.crowd.step(number, event) {
            self.carry_out(number, effect);
        }
    }

    fn carry_out(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Send(send) => self.send(number, send),
            Effect::Reply { request, reply } => match self.relays.remove(&(number, request)) {
                None => self.refused += usize::from(reply.verdict.is_not_run()),
                Some((from, request, attempt)) => {
                    let (verdict, cause) = (reply.verdict, Cause::Refused);
                    self.step(from, failed(request, attempt, verdict, cause));
                }
            },
            Effect::Follow(follow) => self.follows[number] = follow,
            Effect::FetchRoster { peer, since } => self.fetch(number, peer, since),
            Effect::Settle {
                order, standing, ..
            } => self.settle(&order, standing),
            Effect::Knock { backend, .. } => {
                let server = self.servers.iter().find(|s| s.backend.name == backend);
                let closed = !server.is_some_and(|s| s.up);
                self.step(number, Event::Knocked { backend, closed });
            }
            _ => {}
        }
    }

    fn fetch(&mut self, number: usize, peer: SocketAddr, since: Option<Revision>) {
        let Some(other) = self.crowd.by_peer(peer) else {
            return;
        };
        let clock = self.crowd.clock(other);
        let state = self.crowd.boxes[other].as_ref();
        if let Some(roster) = state.and_then(|state| state.roster(clock, since)) {
            self.step(number, Event::Roster(roster));
        }
    }

    /// The store takes one end for an order.
    fn settle(&mut self, order: &Order, standing: Standing) {
        let same = self.store.entry.order.as_ref() == Some(order);
        let over = self
            .store
            .entry
            .standing()
            .is_some_and(|s| s != Standing::Active);
        if self.store.down || !same || over || self.store.entry.standing() == Some(standing) {
            return;
        }
        self.store.revision.0 += 1;
        self.store.entry.written = Some(Written {
            standing,
            release: order.release.clone(),
            revision: self.store.revision,
        });
        if standing != Standing::Active {
            self.store.ends.push((self.crowd.now, standing));
        }
        self.tell_rollouts();
    }

    fn send(&mut self, number: usize, send: Send) {
        let Target::Backend { name, .. } = &send.target else {
            return self.relay(number, send);
        };
        let server = self.servers.iter().position(|s| s.backend.name == *name);
        let server = server.expect("a known server");
        if !self.servers[server].up {
            let (request, attempt) = (send.request, send.attempt);
            return self.step(
                number,
                failed(request, attempt, Verdict::NotRun, Cause::Unreachable),
            );
        }
        let at = self.crowd.now;
        let new = self.is_new(server);
        if self.store.entry.order.is_some() {
            self.came.push(Came { at, new, number });
        }
        let (fails, slow) = self.draw_fault(server, &send);
        if new && (fails || slow) {
            self.bad.push(at);
        }
        let fails = fails || send.route.as_str() == "write" && self.rng.random_bool(CALLERS_FAULT);
        let sim = &mut self.servers[server];
        sim.busy += 1;
        let queued = 1.0 + f64::from(sim.busy.saturating_sub(SLOTS)) / f64::from(SLOTS);
        let varied = 1.0 + WORK.1 * self.rng.random_range(-1.0..1.0);
        let cold = if at < Time(self.ordered.0 + 3500) && new {
            1.6
        } else {
            1.0
        };
        let slower = if slow { 4.0 } else { 1.0 };
        let took = WORK.0 * varied * sim.speed * queued * cold * slower;
        self.runs.push(Run {
            number,
            server,
            begins: at + Millis((took * BEGINS) as u64),
            ends: at + Millis(took as u64),
            begun: false,
            fails,
            send,
        });
    }

    fn draw_fault(&mut self, server: usize, send: &Send) -> (bool, bool) {
        if !self.is_new(server) {
            return (false, false);
        }
        let busy = self.servers[server].busy;
        let age = self.age();
        let rng = &mut self.rng;
        match self.fault {
            Fault::None => (false, false),
            Fault::Fails(share) => (rng.random_bool(share), false),
            Fault::Slow(share) => (false, rng.random_bool(share)),
            Fault::Later(share, from) => (age >= from && rng.random_bool(share), false),
            Fault::UnderLoad(share) => (busy >= LOADED && rng.random_bool(share), false),
            Fault::OneRoute(share) => (
                send.route.as_str() == "write" && rng.random_bool(share),
                false,
            ),
        }
    }

    fn is_new(&self, server: usize) -> bool {
        let ordered = self.store.entry.release();
        ordered.is_some() && self.servers[server].backend.release.as_ref() == ordered
    }

    /// The request goes on to a box of another region.
    fn relay(&mut self, number: usize, send: Send) {
        let Target::Relay { peer, .. } = send.target else {
            return;
        };
        let Some(other) = self.crowd.by_peer(peer) else {
            return;
        };
        let from: Region = self.crowd.region(number).parse().expect("a name");
        self.requests += 1;
        let path = format!("/{}/", send.route);
        let draw = self.rng.random();
        let arrival = self.arrival(&path, draw, Hop::Relay(from));
        let key = (other, arrival.request);
        self.relays
            .insert(key, (number, send.request, send.attempt));
        self.step(other, Event::Arrived(arrival));
    }

    fn answer(&mut self) {
        for mut run in std::mem::take(&mut self.runs) {
            let now = self.crowd.now;
            if now < run.begins || self.crowd.frozen.contains(&run.number) {
                self.runs.push(run);
                continue;
            }
            if !run.begun && run.fails {
                self.servers[run.server].busy -= 1;
                self.fail(&run, Verdict::Ran, Cause::Errored);
                continue;
            }
            if !run.begun {
                run.begun = true;
                let (request, attempt) = (run.send.request, run.send.attempt);
                self.step(run.number, Event::Begun { request, attempt });
            }
            if now < run.ends {
                self.runs.push(run);
                continue;
            }
            self.servers[run.server].busy -= 1;
            self.served += 1;
            self.end(run.number, run.send.request, run.send.attempt);
        }
    }

    fn end(&mut self, number: usize, request: id::Request, attempt: id::Attempt) {
        let timing = Default::default();
        let whole = true;
        let ended = |request, attempt| Event::Ended {
            request,
            attempt,
            whole,
            timing,
        };
        self.step(number, ended(request, attempt));
        if let Some((from, request, attempt)) = self.relays.remove(&(number, request)) {
            self.step(from, Event::Begun { request, attempt });
            self.step(from, ended(request, attempt));
        }
    }

    fn fail(&mut self, run: &Run, verdict: Verdict, cause: Cause) {
        let (request, attempt) = (run.send.request, run.send.attempt);
        self.step(run.number, failed(request, attempt, verdict, cause));
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

fn failed(request: id::Request, attempt: id::Attempt, verdict: Verdict, cause: Cause) -> Event {
    Event::Failed {
        request,
        attempt,
        verdict,
        cause,
    }
}
