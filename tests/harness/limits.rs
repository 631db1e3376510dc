//! Simulates the boxes of a region, as reducers, with backend servers that announce request limits.

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

/// Simulation step, in ms.
const STEP_MS: u64 = 20;
/// Time from a request's arrival at a server to the start of the answer.
const FIRST_BYTE_DELAY: Millis = Millis(60);
/// Time from a request's arrival at a server to the end of the answer.
const ANSWER_DURATION: Millis = Millis(200);
/// Time after the first announcement of a limit from which on the boxes must observe it.
pub const FORCE: Millis = Millis(5000);
/// The window over which a server's requests are counted.
pub const WINDOW: Millis = Millis(4000);

/// The most requests that a server with this limit may receive in a window: 1.5 times the limit,
/// plus five.
pub fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.0 as f64 / 1000.0) as usize + 5
}

/// A request that a server is processing.
struct InFlight {
    number: usize,
    send: Send,
    /// Send time on the box's clock.
    sent: Time,
    begins: Time,
    ends: Time,
    begun: bool,
}

/// The arrival of a request at a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerArrival {
    pub at: Time,
    pub server: usize,
    pub number: usize,
}

pub struct Scene {
    pub crowd: Crowd,
    /// The limit that each server announces in its answers, in requests per second.
    pub limits: Vec<Option<f64>>,
    /// Requests per second at each box.
    pub demand: f64,
    pub came: Vec<ServerArrival>,
    pub refused: Vec<(Time, Reply)>,
    pub served: usize,
    names: Vec<id::Backend>,
    in_flight: VecDeque<InFlight>,
    requests: u64,
    due_requests: f64,
}

fn config(servers: usize) -> Arc<Config> {
    let names = (0..servers).map(server_name);
    let servers: String = names.map(|name| server(&name, "perth", 50)).collect();
    let text = BASE.to_owned() + &caller("a", "rate=1000000/s") + &servers + "[selector all]\n";
    let envelope = Envelope {
        version: Version(1),
        write: String::new(),
        author: String::new(),
        text,
    };
    Arc::new(Config::parse("test", &envelope).expect("a valid configuration"))
}

fn server_name(server: usize) -> String {
    format!("s{}", char::from(b'a' + server as u8))
}

impl Scene {
    /// Boxes that know each other, with servers that announce no limit.
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
                .map(|s| server_name(s).parse().expect("a name"))
                .collect(),
            in_flight: VecDeque::new(),
            requests: 0,
            due_requests: 0.0,
        }
    }

    /// Advances time while callers send requests to all boxes in turn.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.crowd.now = self.crowd.now + Millis(STEP_MS);
            self.deliver_answers();
            if self.crowd.now.0.is_multiple_of(TICK) {
                let effects = self.crowd.tick();
                for (number, effect) in effects {
                    self.apply_effect(number, effect);
                }
            }
            self.due_requests +=
                self.demand * self.crowd.boxes.len() as f64 * STEP_MS as f64 / 1000.0;
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                self.ask();
            }
        }
    }

    /// Sends a request to the next box in turn.
    pub fn ask(&mut self) {
        self.requests += 1;
        // 7919 is prime, so every box has its turn before one repeats (below 7919 boxes).
        let number = (self.requests as usize * 7919) % self.crowd.boxes.len();
        if !self.crowd.frozen.contains(&number) {
            self.step(number, arrival(self.requests, "a", None));
        }
    }

    pub fn step(&mut self, number: usize, event: Event) {
        for effect in self.crowd.step(number, event) {
            self.apply_effect(number, effect);
        }
    }

    fn apply_effect(&mut self, number: usize, effect: Effect) {
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
        self.came.push(ServerArrival { at, server, number });
        self.in_flight.push_back(InFlight {
            number,
            sent: self.crowd.clock(number),
            begins: at + FIRST_BYTE_DELAY,
            ends: at + ANSWER_DURATION,
            begun: false,
            send,
        });
    }

    /// Restarts a box; its requests in flight get no answer.
    pub fn launch(&mut self, number: usize) {
        self.crowd.frozen.retain(|frozen| *frozen != number);
        self.in_flight.retain(|run| run.number != number);
        self.crowd.launch(number);
    }

    fn deliver_answers(&mut self) {
        for mut run in std::mem::take(&mut self.in_flight) {
            let now = self.crowd.now;
            // A frozen box reads its answers once it resumes; `launch` drops those of a killed one.
            if self.crowd.frozen.contains(&run.number) || now < run.begins {
                self.in_flight.push_back(run);
                continue;
            }
            if !run.begun {
                run.begun = true;
                self.begin_answer(&run);
            }
            if now < run.ends {
                self.in_flight.push_back(run);
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

    fn begin_answer(&mut self, run: &InFlight) {
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

    /// The arrival times of requests at a server from `since` on.
    pub fn arrivals(&self, server: usize, since: Time) -> Vec<Time> {
        let came = self.came.iter();
        let there = came.filter(|c| c.server == server && c.at >= since);
        there.map(|c| c.at).collect()
    }

    /// The largest number of requests at a server in one window from `since` on.
    pub fn worst(&self, server: usize, since: Time) -> usize {
        let arrivals = self.arrivals(server, since);
        let ends = arrivals.iter().enumerate().map(|(last, end)| {
            let within = arrivals[..=last].iter();
            within.filter(|at| end.since(**at) < WINDOW).count()
        });
        ends.max().unwrap_or(0)
    }
}
