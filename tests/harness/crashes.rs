//! Simulates boxes, as reducers, before model engines that crash: by a part of a prompt, or at
//! chosen times.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use petreldrum::{
    config::{Backend, Config, Envelope, Version},
    content::Content,
    fleet::{Change, Revision},
    id,
    memory::prompt::{Part, Prompt},
    quarantine::Step,
    reducer::{
        effect::{Effect, Reply, Send, Target},
        event::{Activity, Cause, Event},
    },
    unit::{Millis, Time},
    verdict::Verdict,
    wire::NameHash,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

use super::{
    crowd::{Crowd, TICK, address},
    solo::{arrival, caller},
};

/// Simulation step, in ms.
const STEP_MS: u64 = 10;
/// Time from a request's arrival at an engine to the start of its answer.
const FIRST_BYTE_DELAY: Millis = Millis(60);
/// Time from the start of an answer with the deadly part to the crash, in ms.
const CRASH_DELAY_MS: (u64, u64) = (50, 110);
/// Time from the start of any other answer to its end, in ms.
const ANSWER_MS: (u64, u64) = (100, 900);
/// Time that an engine is down after a crash.
const DOWN_TIME: Millis = Millis(3000);
/// Time within which a caller wants its answer to begin.
const CALLER_DEADLINE: Millis = Millis(5000);
/// A refusal with a longer retry delay is final for a caller.
const LONG_RETRY_DELAY: Millis = Millis(60_000);
/// Requests that are alike in their first and second parts.
const FIRST_PARTS: u64 = 8;
const SECOND_PARTS: u64 = 512;
/// Identities of the second parts; first parts are numbered from one.
const SECOND_PART: u64 = 1000;
/// Bound on the time between a fault and its effect at all boxes.
pub const CONTACT: Millis = Millis(5000);
/// The first part of the requests that crash engines.
pub const FIRST_PART: u64 = 1;
/// The second part of most of them, and that of the others if there are two kinds.
pub const DEADLY: u64 = 900;
pub const ALSO_DEADLY: u64 = 901;

const REGIONS: [&str; 3] = ["perth", "bunbury", "geraldton"];

/// A request of a caller.
#[derive(Clone, Debug)]
struct Ask {
    content: u64,
    parts: [u64; 2],
    first_try: bool,
    sent: Time,
}

/// An attempt at an engine.
struct Run {
    number: usize,
    send: Send,
    begins: Time,
    ends: Time,
    begun: bool,
}

struct Engine {
    backend: Backend,
    up: bool,
    restart: Option<Time>,
    runs: Vec<Run>,
}

/// How a caller's first try ended.
#[derive(Clone, Copy, Debug)]
pub struct FirstTry {
    pub sent: Time,
    pub parts: [u64; 2],
    pub served: bool,
}

/// Boxes and engines.
pub struct Fleet {
    pub crowd: Crowd,
    pub random: StdRng,
    engines: Vec<Engine>,
    revision: u64,
    events: VecDeque<(usize, Event)>,
    stepping: bool,
    /// Failures that boxes notice in the next step.
    later: Vec<(usize, Event)>,
    asks: BTreeMap<id::Request, Ask>,
    repeats: Vec<(Time, Ask)>,
    requests: u64,
    /// Sound requests, and requests with the deadly part, per second over all boxes.
    pub rate: f64,
    pub deadly_rate: f64,
    due: [f64; 2],
    /// The parts that crash engines.
    pub deadly: BTreeSet<u64>,
    /// The second parts that requests with a deadly part have, in turn.
    pub deadly_asks: Vec<u64>,
    /// Crashes caused by a deadly part, with the part.
    pub crashes: Vec<(Time, u64)>,
    /// Sends with a deadly part to engines, with the part.
    pub deadly_sends: Vec<(Time, u64)>,
    pub first_tries: Vec<FirstTry>,
    /// Refusals of sound requests with a retry delay that no caller waits for.
    pub final_refusals: Vec<Time>,
    /// Contents and parts that a box held back.
    pub holds: Vec<(Time, Step)>,
}

fn config() -> Arc<Config> {
    let mut text = "[route read]\nprefix=/read\nkind=application\nrepeatable=true\nattempts=2\n\
        deadline=5s\ntarget=800ms\nstream_gap=600ms\nresumable=true\n"
        .to_owned();
    text += &caller("a", "rate=1000000/s").replace("home=perth\n", "");
    for region in REGIONS {
        text += &format!("[region {region}]\nhop=40ms\n");
    }
    let envelope = Envelope {
        version: Version(1),
        write: String::new(),
        author: String::new(),
        text: text + "[selector all]\n",
    };
    Arc::new(Config::parse("test", &envelope).expect("configuration is valid"))
}

fn backend(number: usize, life: u64) -> Backend {
    Backend {
        name: format!("s{number}-{life}").parse().expect("valid name"),
        address: address(100 + number as u16),
        region: REGIONS[number % REGIONS.len()].parse().expect("valid name"),
        domain: "a".parse().expect("valid name"),
        serves: vec!["read".parse().expect("valid name")],
        labels: Default::default(),
        slots: 64,
        price: 0.0,
        leaving: false,
        time_left: None,
        headers: Default::default(),
        release: None,
        cold: Millis(0),
        incarnation: None,
    }
}

impl Fleet {
    /// Starts boxes of three regions that know each other and these engines.
    pub fn new(boxes: usize, engines: usize, seed: u64) -> Self {
        let engine = |number| Engine {
            backend: backend(number, 0),
            up: true,
            restart: None,
            runs: Vec::new(),
        };
        let mut fleet = Self {
            crowd: Crowd::across_regions(boxes, config()),
            random: StdRng::seed_from_u64(seed),
            engines: (0..engines).map(engine).collect(),
            revision: 1,
            events: VecDeque::new(),
            stepping: false,
            later: Vec::new(),
            asks: BTreeMap::new(),
            repeats: Vec::new(),
            requests: 0,
            rate: 100.0,
            deadly_rate: 0.0,
            due: [0.0; 2],
            deadly: [DEADLY, ALSO_DEADLY].into(),
            deadly_asks: vec![DEADLY],
            crashes: Vec::new(),
            deadly_sends: Vec::new(),
            first_tries: Vec::new(),
            final_refusals: Vec::new(),
            holds: Vec::new(),
        };
        for number in 0..boxes {
            fleet.list(number);
        }
        fleet.crowd.pass(5000);
        fleet
    }

    /// Delivers the list of engines to a box that starts.
    pub fn list(&mut self, number: usize) {
        let change = Change::List {
            backends: self.engines.iter().map(|e| e.backend.clone()).collect(),
            grace: Millis(0),
        };
        let revision = Revision::first(self.revision);
        self.step(number, Event::Fleet { change, revision });
        self.step(number, Event::Synced(revision));
    }

    fn apply_change(&mut self, change: Change) {
        self.revision += 1;
        let revision = Revision::first(self.revision);
        for number in 0..self.crowd.boxes.len() {
            let change = change.clone();
            self.step(number, Event::Fleet { change, revision });
        }
    }

    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.crowd.now = self.crowd.now + Millis(STEP_MS);
            let now = self.crowd.now;
            for (number, event) in std::mem::take(&mut self.later) {
                self.step(number, event);
            }
            if now.0.is_multiple_of(TICK) {
                self.report_activity();
                for (number, effect) in self.crowd.tick() {
                    self.apply(number, effect);
                }
            }
            if now.0.is_multiple_of(1000) {
                let revision = Revision::first(self.revision);
                for number in 0..self.crowd.boxes.len() {
                    self.step(number, Event::Synced(revision));
                }
            }
            for engine in 0..self.engines.len() {
                self.run_engine(engine, now);
            }
            self.send_requests(now);
        }
    }

    /// Reports data on the streams of the engines that run.
    fn report_activity(&mut self) {
        let up = self.engines.iter().filter(|engine| engine.up);
        let activity = up.map(|engine| Activity {
            backend: NameHash::of(engine.backend.name.as_str()),
            pause: Millis(0),
        });
        let activity: Vec<Activity> = activity.collect();
        for number in 0..self.crowd.boxes.len() {
            self.step(number, Event::StreamsActive(activity.clone()));
        }
    }

    fn run_engine(&mut self, engine: usize, now: Time) {
        if self.engines[engine].restart.is_some_and(|at| at <= now) {
            self.restart(engine, now);
        }
        let mut index = 0;
        while let Some(run) = self.engines[engine].runs.get_mut(index) {
            let (number, request, attempt) = (run.number, run.send.request, run.send.attempt);
            if !run.begun && run.begins <= now {
                run.begun = true;
                self.step(number, Event::Begun { request, attempt });
                // The step may have removed runs; the others are reached in the next one.
                continue;
            }
            if !run.begun || now < run.ends {
                index += 1;
                continue;
            }
            if let Some(part) = self.deadly_part(request) {
                self.crashes.push((now, part));
                return self.crash(engine);
            }
            self.engines[engine].runs.remove(index);
            let ended = Event::Ended {
                request,
                attempt,
                whole: true,
                timing: Default::default(),
            };
            self.step(number, ended);
            self.finish(request, true, None);
        }
    }

    /// Returns the part of a request that crashes engines.
    fn deadly_part(&self, request: id::Request) -> Option<u64> {
        let parts = self.asks.get(&request)?.parts;
        parts.into_iter().find(|part| self.deadly.contains(part))
    }

    /// Returns the number of engines that run.
    pub fn up(&self) -> usize {
        self.engines.iter().filter(|engine| engine.up).count()
    }

    /// Crashes an engine and breaks all of its connections.
    pub fn crash(&mut self, engine: usize) {
        if !self.engines[engine].up {
            return;
        }
        self.engines[engine].up = false;
        self.engines[engine].restart = Some(self.crowd.now + DOWN_TIME);
        for run in std::mem::take(&mut self.engines[engine].runs) {
            let (request, attempt) = (run.send.request, run.send.attempt);
            let event = if run.begun {
                Event::StreamCut { request, attempt }
            } else {
                Event::Failed {
                    request,
                    attempt,
                    verdict: Verdict::MayHaveRun,
                    cause: Cause::Broken,
                }
            };
            self.step(run.number, event);
        }
    }

    fn restart(&mut self, engine: usize, now: Time) {
        let old = self.engines[engine].backend.name.clone();
        self.engines[engine].backend = backend(engine, now.0);
        self.engines[engine].up = true;
        self.engines[engine].restart = None;
        let grace = Millis(0);
        self.apply_change(Change::Removed { name: old, grace });
        let backend = self.engines[engine].backend.clone();
        self.apply_change(Change::Put(backend));
    }

    fn send_requests(&mut self, now: Time) {
        let repeats = std::mem::take(&mut self.repeats);
        let (due, later) = repeats.into_iter().partition(|(at, _)| *at <= now);
        self.repeats = later;
        for (_, ask) in due {
            self.send_request(ask);
        }
        let rates = [self.rate, self.deadly_rate];
        for (kind, rate) in rates.into_iter().enumerate() {
            self.due[kind] += rate * STEP_MS as f64 / 1000.0;
            while self.due[kind] >= 1.0 {
                self.due[kind] -= self.random.random_range(0.5..1.5);
                self.requests += 1;
                let turn = self.requests as usize % self.deadly_asks.len();
                let parts = match kind {
                    0 => self.sound_parts(),
                    _ => [FIRST_PART, self.deadly_asks[turn]],
                };
                self.send_request(Ask {
                    content: self.requests,
                    parts,
                    first_try: true,
                    sent: now,
                });
            }
        }
    }

    /// Draws the parts of a sound request; low numbers are more frequent.
    fn sound_parts(&mut self) -> [u64; 2] {
        let first = 1 + self.random.random_range(0..FIRST_PARTS);
        let skewed = self.random.random::<f64>().powf(1.4);
        let second = SECOND_PART + (skewed * SECOND_PARTS as f64) as u64;
        [first, second]
    }

    fn send_request(&mut self, ask: Ask) {
        let running = (0..self.crowd.boxes.len()).filter(|n| self.crowd.boxes[*n].is_some());
        let running: Vec<usize> = running.collect();
        let number = running[self.random.random_range(0..running.len())];
        self.requests += 1;
        let request = id::Request(self.requests);
        let mut event = arrival(self.requests, "a", Some(CALLER_DEADLINE));
        if let Event::Arrived(arrival) = &mut event {
            let part = |id: u64, tokens| Part { id, tokens };
            arrival.content = Content(ask.content);
            arrival.draw = self.random.random();
            arrival.prompt = Some(Prompt {
                tokens: 380,
                output: 45,
                parts: vec![
                    part(ask.parts[0], 55),
                    part(ask.parts[1], 37),
                    part(1_000_000 + ask.content, 288),
                ],
            });
        }
        self.asks.insert(request, ask);
        self.step(number, event);
    }

    /// Applies an event to a box, and then the events that its effects lead to.
    pub fn step(&mut self, number: usize, event: Event) {
        self.events.push_back((number, event));
        if std::mem::replace(&mut self.stepping, true) {
            return;
        }
        while let Some((number, event)) = self.events.pop_front() {
            for effect in self.crowd.step(number, event) {
                self.apply(number, effect);
            }
        }
        self.stepping = false;
    }

    fn apply(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Send(send) => self.accept(number, send),
            Effect::Abort { request, attempt } => {
                for engine in &mut self.engines {
                    let is_same =
                        |run: &Run| run.send.request == request && run.send.attempt == attempt;
                    engine.runs.retain(|run| !is_same(run));
                }
            }
            Effect::Probe { backend, .. } => {
                let is_up = |engine: &Engine| engine.up && engine.backend.name == backend;
                let closed = !self.engines.iter().any(is_up);
                self.step(number, Event::Probed { backend, closed });
            }
            Effect::Reply { request, reply } => self.finish(request, false, Some(reply)),
            Effect::Quarantine(step @ Step::Held { .. }) => {
                self.holds.push((self.crowd.now, step));
            }
            _ => {}
        }
    }

    /// Hands an attempt to its engine, or fails it if nothing listens there.
    fn accept(&mut self, number: usize, send: Send) {
        let (request, attempt) = (send.request, send.attempt);
        let Target::Backend { name, .. } = &send.target else {
            let failed = Event::Failed {
                request,
                attempt,
                verdict: Verdict::NotRun,
                cause: Cause::Refused,
            };
            return self.later.push((number, failed));
        };
        let is_up = |engine: &Engine| engine.up && engine.backend.name == *name;
        let Some(engine) = self.engines.iter().position(is_up) else {
            let failed = Event::Failed {
                request,
                attempt,
                verdict: Verdict::NotRun,
                cause: Cause::Unreachable,
            };
            return self.later.push((number, failed));
        };
        let deadly = self.deadly_part(request);
        if let Some(part) = deadly {
            self.deadly_sends.push((self.crowd.now, part));
        }
        let begins = self.crowd.now + FIRST_BYTE_DELAY;
        let (least, most) = if deadly.is_some() {
            CRASH_DELAY_MS
        } else {
            ANSWER_MS
        };
        let ends = begins + Millis(self.random.random_range(least..most));
        self.engines[engine].runs.push(Run {
            number,
            send,
            begins,
            ends,
            begun: false,
        });
    }

    /// Records how a request of a caller ended; the caller repeats a failed one once.
    fn finish(&mut self, request: id::Request, served: bool, reply: Option<Reply>) {
        let Some(ask) = self.asks.remove(&request) else {
            return;
        };
        let wait = reply
            .and_then(|reply| reply.retry_after)
            .unwrap_or_default();
        let sound = !ask.parts.iter().any(|part| self.deadly.contains(part));
        if sound && wait > LONG_RETRY_DELAY {
            self.final_refusals.push(self.crowd.now);
        }
        if sound && ask.first_try {
            self.first_tries.push(FirstTry {
                sent: ask.sent,
                parts: ask.parts,
                served,
            });
        }
        if !served && ask.first_try && wait < CALLER_DEADLINE {
            let first_try = false;
            let at = self.crowd.now + wait.max(Millis(100));
            self.repeats.push((at, Ask { first_try, ..ask }));
        }
    }

    /// Returns how many first tries with this second part were served.
    pub fn first_tries_of(&self, second_part: u64) -> usize {
        let served = |try_: &&FirstTry| try_.served && try_.parts[1] == second_part;
        self.first_tries.iter().filter(served).count()
    }

    /// Returns the share of the first tries with this first part that were served, of those sent
    /// from `from` to `to`.
    pub fn served_share(&self, first_part: u64, from: Time, to: Time) -> f64 {
        let within =
            |try_: &&FirstTry| try_.parts[0] == first_part && (from..to).contains(&try_.sent);
        let tries: Vec<&FirstTry> = self.first_tries.iter().filter(within).collect();
        let served = tries.iter().filter(|try_| try_.served).count();
        served as f64 / tries.len().max(1) as f64
    }
}
