//! Simulates the boxes of one region, as reducers, before one backend server that may be cold.

use std::{net::SocketAddr, sync::Arc};

use petreldrum::{
    config::{Backend, Builder, Config, Labels, Profile, Version},
    fleet::{Change, Revision},
    id::Service,
    reducer::{
        effect::Effect,
        event::{Event, Source},
    },
    unit::{Millis, Rate, Time},
};

use super::{
    crowd::{Crowd, TICK},
    solo::{Solo, arrival, caller, news},
};

pub const RATE: f64 = 8.0;
/// Time between two deliveries of messages, and by default between two requests at a box.
const STEP_MS: u64 = 2;

/// Returns a box that has run for a while, with a route to one cold backend server with many slots.
pub fn solo() -> Solo {
    solo_with(Solo::new)
}

pub fn solo_with(start: fn(&str) -> Solo) -> Solo {
    let base = "[region perth]\n[route read]\nprefix=/read\nkind=application\nrepeatable=true\n\
        deadline=9s\n[selector all]\n";
    let mut solo = start(&(base.to_owned() + &caller("a", "rate=1000/s")));
    let config = cold_config(solo.state.config().expect("configuration is set"), RATE);
    let source = Source::Store;
    solo.step(Event::Offered { config, source });
    solo.step(news(cold_list(Millis(3000))));
    solo
}

/// Returns `old` with `rate` as the rate for cold backend servers.
fn cold_config(old: &Config, rate: f64) -> Arc<Config> {
    let profile = Profile {
        cold_rate: Some(Rate(rate)),
        ..Profile::default()
    };
    config_with(old, profile)
}

/// Returns `old` with these properties of the service.
fn config_with(old: &Config, profile: Profile) -> Arc<Config> {
    let config = Builder {
        version: Version(99),
        regions: old.regions.clone(),
        customers: old.customers.clone(),
        routes: old.routes.clone(),
        selectors: old.selectors.clone(),
        profiles: [(service(), profile)].into(),
        ..Builder::default()
    };
    Arc::new(config.build())
}

fn service() -> Service {
    "read".parse().expect("valid name")
}

/// Returns a list of one backend server that stays cold for `cold`.
pub fn cold_list(cold: Millis) -> Change {
    let server = Backend {
        name: "one".parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        region: "perth".parse().expect("valid name"),
        domain: "a".parse().expect("valid name"),
        serves: vec![service()],
        labels: Labels::default(),
        slots: 64,
        price: 0.0,
        leaving: false,
        time_left: None,
        headers: Default::default(),
        release: None,
        cold,
        incarnation: None,
    };
    Change::List {
        backends: vec![server],
        grace: Millis(0),
    }
}

/// Boxes of one region in front of one cold backend server, each with more requests than it may
/// send.
pub struct Region {
    rate: f64,
    /// How long the backend server stays cold after a box learns of it.
    cold: Millis,
    pub crowd: Crowd,
    requests: u64,
    /// When requests were sent to the backend server.
    pub sent: Vec<Time>,
    /// Boxes that answer no request for their list of backend servers.
    pub mute: Vec<usize>,
    /// From when until when the backend server is cold, as only its liveness check tells.
    pub cold_span: Option<(Time, Time)>,
    /// Whether liveness checks get no answer.
    pub unanswered: bool,
    /// Number of liveness checks.
    pub checks: usize,
    /// Answers to liveness checks on their way, by box.
    check_answers: Vec<(usize, Event)>,
    /// Time between two requests at a box.
    pub step_ms: u64,
}

impl Region {
    /// Starts boxes that have run long enough to know each other when the cold backend server
    /// appears.
    pub fn new(size: usize, rate: f64) -> Self {
        Self::start(size, rate, Millis(60_000))
    }

    /// Starts the same region with a warm backend server.
    pub fn warm(size: usize, rate: f64) -> Self {
        Self::start(size, rate, Millis(0))
    }

    /// Starts the same region with a warm backend server that answers liveness checks.
    pub fn checked(size: usize, rate: f64) -> Self {
        let profile = Profile {
            cold_rate: Some(Rate(rate)),
            liveness_path: Some("/health".into()),
            ..Profile::default()
        };
        Self::start_with(size, rate, Millis(0), profile)
    }

    fn start(size: usize, rate: f64, cold: Millis) -> Self {
        let profile = Profile {
            cold_rate: Some(Rate(rate)),
            ..Profile::default()
        };
        Self::start_with(size, rate, cold, profile)
    }

    fn start_with(size: usize, rate: f64, cold: Millis, profile: Profile) -> Self {
        let solo = solo();
        let config = config_with(solo.state.config().expect("configuration is set"), profile);
        let mut region = Self {
            rate,
            cold,
            crowd: Crowd::on_platform(size, config),
            requests: 0,
            sent: Vec::new(),
            mute: Vec::new(),
            cold_span: None,
            unanswered: false,
            checks: 0,
            check_answers: Vec::new(),
            step_ms: STEP_MS,
        };
        region.crowd.pass(5000);
        for number in 0..size {
            region.receive_list(number);
        }
        region
    }

    /// Delivers the list of backend servers from the store to a box.
    pub fn receive_list(&mut self, number: usize) {
        self.crowd.step(number, news(cold_list(self.cold)));
        self.crowd.step(number, Event::Synced(Revision::first(1)));
    }

    /// Returns the requests a second over the next three seconds; box 0 receives store updates if
    /// `receives_store_updates`.
    pub fn rate_over_three_seconds(&mut self, receives_store_updates: bool) -> f64 {
        let before = self.sent.len();
        for _ in 0..3 {
            if receives_store_updates {
                self.crowd.step(0, Event::Synced(Revision::first(1)));
            }
            self.pass(1000);
        }
        (self.sent.len() - before) as f64 / 3.0
    }

    /// Advances time while callers send each box more than it may forward.
    pub fn pass(&mut self, millis: u64) {
        for step in 1..=millis / STEP_MS {
            self.crowd.now = self.crowd.now + Millis(STEP_MS);
            if (step * STEP_MS).is_multiple_of(TICK) {
                let effects = self.crowd.tick();
                self.serve(effects);
            }
            self.deliver();
            for number in 0..self.crowd.boxes.len() {
                // Boxes get their requests in turn.
                let turn = step * STEP_MS + number as u64 * STEP_MS;
                let has_request = turn.is_multiple_of(self.step_ms);
                if self.crowd.frozen.contains(&number) || !has_request {
                    continue;
                }
                self.requests += 1;
                let event = arrival(self.requests, "a", Some(Millis(400)));
                let effects = self.crowd.step(number, event);
                self.serve(effects.into_iter().map(|effect| (number, effect)).collect());
            }
        }
    }

    /// Delivers answers to liveness checks and, where boxes make such checks, messages between them
    /// without waiting for the next tick.
    fn deliver(&mut self) {
        for (number, event) in std::mem::take(&mut self.check_answers) {
            let effects = self.crowd.step(number, event);
            self.serve(effects.into_iter().map(|effect| (number, effect)).collect());
        }
        if self.checks == 0 {
            return;
        }
        for (to, frame) in std::mem::take(&mut self.crowd.mail) {
            let number = self.crowd.by_gossip(to);
            match number.filter(|n| !self.crowd.frozen.contains(n)) {
                Some(number) => {
                    let effects = self.crowd.step(number, Event::Received(frame));
                    self.serve(effects.into_iter().map(|effect| (number, effect)).collect());
                }
                None => self.crowd.mail.push((to, frame)),
            }
        }
    }

    /// Returns for how much longer the backend server is cold.
    fn cold_left(&self) -> Millis {
        let now = self.crowd.now;
        let current = self.cold_span.filter(|(from, _)| now >= *from);
        current.map_or(Millis(0), |(_, until)| until.since(now))
    }

    /// Returns the highest number of requests within any second while the backend server was cold.
    pub fn max_while_cold(&self) -> usize {
        let (from, until) = self.cold_span.expect("the server became cold");
        let cold: Vec<Time> = self
            .sent
            .iter()
            .copied()
            .filter(|at| *at >= from && *at < until)
            .collect();
        let within = |first: &Time| {
            let second = cold.iter().filter(|at| **at >= *first);
            second.filter(|at| at.since(*first) < Millis(1000)).count()
        };
        cold.iter().map(within).max().unwrap_or(0)
    }

    /// Lets the backend server answer at once.
    fn serve(&mut self, mut effects: Vec<(usize, Effect)>) {
        while let Some((number, effect)) = effects.pop() {
            let send = match effect {
                Effect::Send(send) => send,
                Effect::FetchRoster { peer, since } => {
                    let told = self.fetch_roster(number, peer, since);
                    effects.extend(told.into_iter().map(|effect| (number, effect)));
                    continue;
                }
                Effect::CheckLiveness {
                    backend,
                    incarnation,
                    ..
                } => {
                    self.checks += 1;
                    let cold = Some(self.cold_left()).filter(|_| !self.unanswered);
                    let event = Event::Checked {
                        backend,
                        incarnation,
                        cold,
                    };
                    self.check_answers.push((number, event));
                    continue;
                }
                _ => continue,
            };
            self.sent.push(self.crowd.now);
            let (request, attempt) = (send.request, send.attempt);
            self.crowd.step(number, Event::Begun { request, attempt });
            let ended = Event::Ended {
                request,
                attempt,
                whole: true,
                timing: Default::default(),
            };
            let more = self.crowd.step(number, ended);
            effects.extend(more.into_iter().map(|effect| (number, effect)));
        }
    }

    /// Fetches the list of the box at `peer` for box `number`.
    fn fetch_roster(
        &mut self,
        number: usize,
        peer: SocketAddr,
        since: Option<Revision>,
    ) -> Vec<Effect> {
        let source = self.crowd.by_peer(peer).expect("the peer is a box");
        let clock = self.crowd.clock(source);
        let state = self.crowd.boxes[source].as_ref();
        let state = state.filter(|_| !self.mute.contains(&source));
        match state.and_then(|state| state.roster(clock, since)) {
            Some(roster) => self.crowd.step(number, Event::Roster(roster)),
            None => Vec::new(),
        }
    }

    /// Returns the highest number of requests within any second.
    pub fn max_in_a_second(&self) -> usize {
        let within = |from: &Time| {
            let second = self.sent.iter().filter(|at| **at >= *from);
            second.filter(|at| at.since(*from) < Millis(1000)).count()
        };
        self.sent.iter().map(within).max().unwrap_or(0)
    }

    /// Asserts that the backend server never got more than the platform lets all boxes together
    /// send it.
    pub fn assert_rate_kept(&self) {
        let (max_in_a_second, allowed) = (self.max_in_a_second(), self.rate * 1.5 + 3.0);
        let size = self.crowd.boxes.len();
        assert!(
            max_in_a_second as f64 <= allowed,
            "{max_in_a_second} requests within a second, of {allowed}, from {size} boxes"
        );
    }
}
