//! Simulates boxes, as reducers, before backend servers that fall over if they have to reject many
//! requests.

use std::{collections::VecDeque, sync::Arc};

use petreldrum::{
    config::{Backend, Builder, Config, Envelope, Version},
    fleet::{Change, Revision},
    id,
    limit::Announcement,
    reducer::{
        effect::{Effect, Reply, Send, Target},
        event::{Cause, Event},
    },
    unit::{Millis, Rate, Time},
    verdict::Verdict,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

use super::{
    crowd::{Crowd, TICK},
    solo::{arrival, caller, news},
};

/// Simulation step, in ms.
const STEP_MS: u64 = 2;
/// Transit time of a message between two processes.
const TRANSIT: Millis = Millis(2);
/// Time that a server is down after it fell over.
const DOWN_TIME: Millis = Millis(3000);
/// Time that boxes run before callers come.
const START_MS: u64 = 6000;
/// Time from the first announcement that a server is brittle until it lets fewer requests wait.
pub const CONTACT: Millis = Millis(5000);
const REGIONS: [&str; 3] = ["perth", "bunbury", "geraldton"];

/// Size and behaviour of the simulated system.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub regions: usize,
    /// Boxes of all regions.
    pub boxes: usize,
    /// Servers of all regions.
    pub servers: usize,
    /// Slots of a server according to the configuration.
    pub configured: u32,
    /// Requests that a server runs at once.
    pub slots: usize,
    /// Requests that it lets wait.
    pub queue: usize,
    /// Requests that it lets wait once it is brittle.
    pub brittle_queue: usize,
    /// Time that a request runs, in ms.
    pub run_ms: (u64, u64),
    /// Requests per second of all callers.
    pub demand: f64,
    /// Whether the servers register themselves, and so state their slots.
    pub registered: bool,
    pub seed: u64,
}

/// A request at a server, or on the way there or back.
struct Run {
    number: usize,
    send: Send,
    /// Send time on the box's clock.
    sent: Time,
    arrives: Time,
    /// When the request ends; `None` while it waits.
    ends: Option<Time>,
}

struct Server {
    name: id::Backend,
    coming: Vec<Run>,
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    /// When requests were rejected.
    rejected: Vec<Time>,
    down_until: Time,
}

pub struct Scene {
    pub crowd: Crowd,
    setup: Setup,
    registered: Vec<Backend>,
    random: StdRng,
    servers: Vec<Server>,
    /// Rejections per second that the servers announce to tolerate.
    pub tolerance: Option<f64>,
    /// Servers of the service that are never brittle.
    pub sound: Vec<usize>,
    /// Requests that each server lets wait.
    pub queue: usize,
    /// Requests per second of all callers.
    pub demand: f64,
    /// When servers fell over.
    pub falls: Vec<Time>,
    /// When answers were complete.
    pub served: Vec<Time>,
    /// Answers of the boxes themselves.
    pub replies: Vec<(Time, Reply)>,
    requests: u64,
    due_requests: f64,
}

/// Returns `config` without its backend servers.
fn without_servers(config: &Config) -> Arc<Config> {
    let config = Builder {
        version: config.version,
        regions: config.regions.clone(),
        customers: config.customers.clone(),
        routes: config.routes.clone(),
        selectors: config.selectors.clone(),
        ..Builder::default()
    };
    Arc::new(config.build())
}

fn server_name(server: usize) -> String {
    format!("s{server}")
}

fn config(setup: &Setup) -> Arc<Config> {
    let regions = REGIONS[..setup.regions].iter();
    let regions: String = regions
        .map(|region| format!("[region {region}]\nhop=40ms\n"))
        .collect();
    let server = |number: usize| {
        format!(
            "[backend {}]\naddress=127.0.0.1:{}\nregion={}\nfailure_domain=a\nserves=read\n\
             slots={}\n",
            server_name(number),
            5000 + number,
            REGIONS[number % setup.regions],
            setup.configured
        )
    };
    let servers: String = (0..setup.servers).map(server).collect();
    // Requests may run in their own region alone, so that regions do not affect each other.
    let callers = REGIONS[..setup.regions].iter().map(|region| {
        let home = format!("home={region}");
        caller(region, "rate=1000000/s").replace("home=perth", &home)
    });
    let callers: String = callers.collect();
    let text = regions
        + "[route read]\nprefix=/read\nkind=application\nrepeatable=true\ndeadline=2s\n"
        + &callers
        + &servers
        + "[selector all]\nregions=home\n";
    let envelope = Envelope {
        version: Version(1),
        write: String::new(),
        author: String::new(),
        text,
    };
    Arc::new(Config::parse("test", &envelope).expect("a valid configuration"))
}

impl Scene {
    /// Starts boxes that know each other, with servers that are not brittle.
    pub fn new(setup: Setup) -> Self {
        let config = config(&setup);
        let mut crowd = match (setup.regions, setup.registered) {
            (_, true) => Crowd::across_regions(setup.boxes, without_servers(&config)),
            (1, false) => Crowd::in_one_region(setup.boxes, config.clone()),
            (_, false) => Crowd::in_three_regions(setup.boxes, config.clone()),
        };
        crowd.pass(START_MS);
        let registered = config.backends.values().cloned().collect();
        let server = |number| Server {
            name: server_name(number).parse().expect("a name"),
            coming: Vec::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            rejected: Vec::new(),
            down_until: Time(0),
        };
        let mut scene = Self {
            crowd,
            setup,
            registered,
            random: StdRng::seed_from_u64(setup.seed),
            servers: (0..setup.servers).map(server).collect(),
            tolerance: None,
            sound: Vec::new(),
            queue: setup.queue,
            demand: setup.demand,
            falls: Vec::new(),
            served: Vec::new(),
            replies: Vec::new(),
            requests: 0,
            due_requests: 0.0,
        };
        (0..setup.boxes).for_each(|number| scene.register_servers(number));
        scene
    }

    /// Delivers the list of servers that register themselves to a box.
    fn register_servers(&mut self, number: usize) {
        if !self.setup.registered {
            return;
        }
        let list = Change::List {
            backends: self.registered.clone(),
            grace: Millis(0),
        };
        self.step(number, news(list));
        self.step(number, Event::Synced(Revision::first(1)));
    }

    /// Lets the servers announce that they are brittle, and later let fewer requests wait.
    pub fn become_brittle(&mut self, tolerance: f64) {
        self.tolerance = Some(tolerance);
        self.pass(CONTACT.0);
        self.queue = self.setup.brittle_queue;
    }

    /// Advances time while callers send requests to all boxes.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.crowd.now = self.crowd.now + Millis(STEP_MS);
            self.deliver_messages();
            for server in 0..self.servers.len() {
                self.serve(server);
            }
            if self.crowd.now.0.is_multiple_of(TICK) {
                for (number, effect) in self.crowd.tick() {
                    self.apply(number, effect);
                }
            }
            self.due_requests += self.demand * STEP_MS as f64 / 1000.0;
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                self.ask();
            }
        }
    }

    /// Sends a request to a random box.
    fn ask(&mut self) {
        self.requests += 1;
        let number = self.random.random_range(0..self.setup.boxes);
        if !self.crowd.frozen.contains(&number) {
            let caller = self.crowd.region(number);
            self.step(number, arrival(self.requests, caller, None));
        }
    }

    /// Delivers messages between boxes, which the crowd itself would hold until the next tick.
    fn deliver_messages(&mut self) {
        for (to, frame) in std::mem::take(&mut self.crowd.mail) {
            let number = self.crowd.by_gossip(to);
            match number {
                Some(number) if self.crowd.frozen.contains(&number) => {
                    self.crowd.mail.push((to, frame));
                }
                Some(number) => self.step(number, Event::Received(frame)),
                None => {}
            }
        }
    }

    pub fn step(&mut self, number: usize, event: Event) {
        for effect in self.crowd.step(number, event) {
            self.apply(number, effect);
        }
    }

    fn apply(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Send(send) => self.deliver_request(number, send),
            Effect::Abort { request, attempt } => self.abort(number, request, attempt),
            Effect::Reply { reply, .. } => self.replies.push((self.crowd.now, reply)),
            _ => {}
        }
    }

    /// Ends a request whose connection a box closed.
    fn abort(&mut self, number: usize, request: id::Request, attempt: id::Attempt) {
        let is_other = |run: &Run| {
            run.number != number || run.send.request != request || run.send.attempt != attempt
        };
        for server in &mut self.servers {
            server.coming.retain(is_other);
            server.running.retain(is_other);
            server.waiting.retain(is_other);
        }
    }

    fn deliver_request(&mut self, number: usize, send: Send) {
        let Target::Backend { name, .. } = &send.target else {
            // To a neighbour, after all servers fell over.
            return self.fail(number, &send, Verdict::NotRun, Cause::Refused);
        };
        let server = self.servers.iter().position(|s| s.name == *name);
        let server = server.expect("a known server");
        if self.crowd.now < self.servers[server].down_until {
            return self.fail(number, &send, Verdict::NotRun, Cause::Unreachable);
        }
        let run = Run {
            number,
            sent: self.crowd.clock(number),
            arrives: self.crowd.now + TRANSIT,
            ends: None,
            send,
        };
        self.servers[server].coming.push(run);
    }

    fn fail(&mut self, number: usize, send: &Send, verdict: Verdict, cause: Cause) {
        let (request, attempt) = (send.request, send.attempt);
        let failed = Event::Failed {
            request,
            attempt,
            verdict,
            cause,
        };
        self.step(number, failed);
    }

    /// Advances one server by a step.
    fn serve(&mut self, server: usize) {
        let now = self.crowd.now;
        if now < self.servers[server].down_until {
            return;
        }
        let ended = |run: &mut Run| run.ends.is_some_and(|at| now >= at);
        let ended: Vec<Run> = self.servers[server].running.extract_if(.., ended).collect();
        self.start_waiting(server);
        for run in ended {
            self.answer(server, &run);
        }
        let arrived = |run: &mut Run| now >= run.arrives;
        let arrived: Vec<Run> = self.servers[server]
            .coming
            .extract_if(.., arrived)
            .collect();
        for run in arrived {
            self.admit(server, run);
        }
    }

    /// Starts requests that wait while slots are free.
    fn start_waiting(&mut self, server: usize) {
        while self.servers[server].running.len() < self.setup.slots {
            let Some(mut run) = self.servers[server].waiting.pop_front() else {
                return;
            };
            let (shortest, longest) = self.setup.run_ms;
            let span = self.random.random_range(shortest..=longest);
            run.ends = Some(self.crowd.now + Millis(span));
            self.servers[server].running.push(run);
        }
    }

    fn admit(&mut self, server: usize, run: Run) {
        let now = self.crowd.now;
        if now < self.servers[server].down_until {
            return self.fail(run.number, &run.send, Verdict::NotRun, Cause::Unreachable);
        }
        let full = self.servers[server].running.len() >= self.setup.slots;
        if !full || self.servers[server].waiting.len() < self.queue {
            self.servers[server].waiting.push_back(run);
            return self.start_waiting(server);
        }
        self.servers[server].rejected.push(now);
        let recent = |at: &&Time| now.since(**at) < Millis(1000);
        let rejected = self.servers[server].rejected.iter().filter(recent).count();
        let tolerance = self.tolerance.filter(|_| self.queue < self.setup.queue);
        if tolerance.is_some_and(|tolerance| rejected as f64 > tolerance) {
            return self.fall(server, run);
        }
        self.announce(server, &run);
        self.fail(run.number, &run.send, Verdict::NotRun, Cause::Full);
    }

    /// Lets a server fall over; its requests end without an answer.
    fn fall(&mut self, server: usize, last: Run) {
        self.falls.push(self.crowd.now);
        let state = &mut self.servers[server];
        state.down_until = self.crowd.now + DOWN_TIME;
        state.rejected.clear();
        let mut lost = std::mem::take(&mut state.running);
        lost.extend(std::mem::take(&mut state.waiting));
        lost.extend(std::mem::take(&mut state.coming));
        lost.push(last);
        for run in lost {
            self.fail(run.number, &run.send, Verdict::MayHaveRun, Cause::Broken);
        }
    }

    /// Tells a box what the answer to its request says.
    fn announce(&mut self, server: usize, run: &Run) {
        let tolerance = self.tolerance.filter(|_| !self.sound.contains(&server));
        let word = match tolerance {
            Some(tolerance) => Announcement::Rate(Rate(tolerance)),
            None => Announcement::Absent,
        };
        if word != Announcement::Absent || run.send.basis.brittle.is_some() {
            let brittle = Event::Brittle {
                backend: self.servers[server].name.clone(),
                word,
                sent: run.sent,
            };
            self.step(run.number, brittle);
        }
    }

    fn answer(&mut self, server: usize, run: &Run) {
        self.announce(server, run);
        self.served.push(self.crowd.now);
        let (request, attempt) = (run.send.request, run.send.attempt);
        self.step(run.number, Event::Begun { request, attempt });
        let ended = Event::Ended {
            request,
            attempt,
            whole: true,
            timing: Default::default(),
        };
        self.step(run.number, ended);
    }

    /// Kills a box; its requests end at the servers.
    pub fn kill(&mut self, number: usize) {
        self.crowd.boxes[number] = None;
        for server in &mut self.servers {
            server.coming.retain(|run| run.number != number);
            server.running.retain(|run| run.number != number);
            server.waiting.retain(|run| run.number != number);
        }
    }

    /// Starts a box that was killed.
    pub fn launch(&mut self, number: usize) {
        self.crowd.launch(number);
        self.register_servers(number);
    }

    /// Returns the largest number of falls that the platform permits in one brittle time.
    pub fn allowed_falls(&self) -> usize {
        2 + self.setup.servers / 10
    }

    /// Returns how many requests the servers' slots can run within `millis`.
    pub fn capacity(&self, millis: u64) -> f64 {
        let (shortest, longest) = self.setup.run_ms;
        let run = (shortest + longest) as f64 / 2.0;
        (self.setup.servers * self.setup.slots) as f64 * millis as f64 / run
    }

    /// Returns the number of requests served from `since` on.
    pub fn served_since(&self, since: Time) -> usize {
        self.served.iter().filter(|at| **at >= since).count()
    }

    /// Returns the number of requests rejected by servers from `since` on.
    pub fn rejected_since(&self, since: Time) -> usize {
        let rejected = self.servers.iter().flat_map(|server| &server.rejected);
        rejected.filter(|at| **at >= since).count()
    }

    /// Returns the boxes' own answers with `status` from `since` on.
    pub fn replies_since(&self, since: Time, status: u16) -> usize {
        let replies = self.replies.iter().filter(|(at, _)| *at >= since);
        replies.filter(|(_, reply)| reply.status == status).count()
    }
}
