//! The boxes of a region before backend servers that name limits, as reducers.

use std::{collections::VecDeque, sync::Arc};

use petreldrum::{
    config::{Config, Envelope, Version},
    id,
    limit::Announcement,
    reducer::{
        effect::{Effect, Reply, Send, Target},
        event::Event,
    },
    unit::{Millis, Rate, Time},
};

use super::{
    crowd::{Crowd, TICK},
    solo::{BASE, arrival, caller, server},
};

/// Time between two looks at the servers, in ms.
const STEP: u64 = 20;
/// How long an answer takes to begin, and to end.
const FIRST: Millis = Millis(60);
const WHOLE: Millis = Millis(200);
/// From when on the boxes must keep to a limit, after it was named first.
pub const FORCE: Millis = Millis(5000);
/// The span over which a server's requests are counted.
pub const WINDOW: Millis = Millis(4000);

/// What a server with this limit may get in a window: half as much again, and five more.
pub fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.0 as f64 / 1000.0) as usize + 5
}

/// A request at a server.
struct Run {
    number: usize,
    send: Send,
    /// When it was sent, by the box's clock.
    sent: Time,
    begins: Time,
    ends: Time,
    begun: bool,
}

/// A request that came to a server.
#[derive(Clone, Copy, Debug)]
pub struct Came {
    pub at: Time,
    pub server: usize,
    pub number: usize,
}

pub struct Scene {
    pub crowd: Crowd,
    /// What each server names in its answers.
    pub limits: Vec<Option<f64>>,
    /// Requests a second at each box.
    pub demand: f64,
    pub came: Vec<Came>,
    pub refused: Vec<(Time, Reply)>,
    pub served: usize,
    names: Vec<id::Backend>,
    runs: VecDeque<Run>,
    requests: u64,
    owed: f64,
}

fn config(servers: usize) -> Arc<Config> {
    let names = (0..servers).map(name);
    let servers: String = names.map(|name| server(&name, "perth", 50)).collect();
    let text = BASE.to_owned() + &caller("a", "rate=1000000/s") + &servers + "[selector all]\n";
    let envelope = Envelope {
        version: Version(1),
        write: String::new(),
        author: String::new(),
        text,
    };
    Arc::new(Config::parse("test", &envelope).expect("checks"))
}

fn name(server: usize) -> String {
    format!("s{}", char::from(b'a' + server as u8))
}

impl Scene {
    /// Boxes that know each other, before servers that name nothing.
    pub fn new(boxes: usize, servers: usize, demand: f64) -> Self {
        let mut crowd = Crowd::in_one_region(boxes, config(servers));
        crowd.pass(20_000);
        Self {
            crowd,
            limits: vec![None; servers],
            demand,
            came: Vec::new(),
            refused: Vec::new(),
            served: 0,
            names: (0..servers)
                .map(|s| name(s).parse().expect("a name"))
                .collect(),
            runs: VecDeque::new(),
            requests: 0,
            owed: 0.0,
        }
    }

    /// Lets time pass while callers ask all boxes in turn.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.crowd.now = self.crowd.now + Millis(STEP);
            self.answer();
            if self.crowd.now.0.is_multiple_of(TICK) {
                let effects = self.crowd.tick();
                for (number, effect) in effects {
                    self.carry_out(number, effect);
                }
            }
            self.owed += self.demand * self.crowd.boxes.len() as f64 * STEP as f64 / 1000.0;
            while self.owed >= 1.0 {
                self.owed -= 1.0;
                self.ask();
            }
        }
    }

    /// A request comes to the box whose turn it is.
    pub fn ask(&mut self) {
        self.requests += 1;
        // Boxes in an order that repeats only after all had their turn.
        let number = (self.requests as usize * 7919) % self.crowd.boxes.len();
        if !self.crowd.frozen.contains(&number) {
            self.step(number, arrival(self.requests, "a", None));
        }
    }

    pub fn step(&mut self, number: usize, event: Event) {
        for effect in self.crowd.step(number, event) {
            self.carry_out(number, effect);
        }
    }

    fn carry_out(&mut self, number: usize, effect: Effect) {
        let at = self.crowd.now;
        let send = match effect {
            Effect::Send(send) => send,
            Effect::Reply { reply, .. } => return self.refused.push((at, reply)),
            _ => return,
        };
        let Target::Backend { name, .. } = &send.target else {
            panic!("not a server: {:?}", send.target);
        };
        let server = self.names.iter().position(|n| n == name);
        let server = server.expect("a known server");
        self.came.push(Came { at, server, number });
        self.runs.push_back(Run {
            number,
            sent: self.crowd.clock(number),
            begins: at + FIRST,
            ends: at + WHOLE,
            begun: false,
            send,
        });
    }

    /// Starts a box anew; what it had sent gets no answer.
    pub fn launch(&mut self, number: usize) {
        self.crowd.frozen.retain(|frozen| *frozen != number);
        self.runs.retain(|run| run.number != number);
        self.crowd.launch(number);
    }

    fn answer(&mut self) {
        for mut run in std::mem::take(&mut self.runs) {
            let now = self.crowd.now;
            // A box that stands still reads later; one that was killed, never.
            if self.crowd.frozen.contains(&run.number) || now < run.begins {
                self.runs.push_back(run);
                continue;
            }
            if !run.begun {
                run.begun = true;
                self.begin(&run);
            }
            if now < run.ends {
                self.runs.push_back(run);
                continue;
            }
            self.served += 1;
            let (request, attempt) = (run.send.request, run.send.attempt);
            let ended = Event::Ended {
                request,
                attempt,
                whole: true,
                timing: Default::default(),
            };
            self.step(run.number, ended);
        }
    }

    fn begin(&mut self, run: &Run) {
        let Target::Backend { name, .. } = &run.send.target else {
            return;
        };
        let server = self.names.iter().position(|n| n == name);
        let limit = self.limits[server.expect("a known server")];
        let word = limit.map_or(Announcement::Absent, |limit| {
            Announcement::Rate(Rate(limit))
        });
        if word != Announcement::Absent || run.send.basis.limit.is_some() {
            let backend = name.clone();
            let sent = run.sent;
            let event = Event::Limited {
                backend,
                word,
                sent,
            };
            self.step(run.number, event);
        }
        let (request, attempt) = (run.send.request, run.send.attempt);
        self.step(run.number, Event::Begun { request, attempt });
    }

    /// When requests came to a server from `since` on.
    pub fn arrivals(&self, server: usize, since: Time) -> Vec<Time> {
        let came = self.came.iter();
        let there = came.filter(|c| c.server == server && c.at >= since);
        there.map(|c| c.at).collect()
    }

    /// The most requests that came to a server in one window from `since` on.
    pub fn worst(&self, server: usize, since: Time) -> usize {
        let arrivals = self.arrivals(server, since);
        let ends = arrivals.iter().enumerate().map(|(last, end)| {
            let within = arrivals[..=last].iter();
            within.filter(|at| end.since(**at) < WINDOW).count()
        });
        ends.max().unwrap_or(0)
    }
}
