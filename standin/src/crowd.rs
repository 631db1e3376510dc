//! Simulation of the reducers of several boxes in virtual time, in one region or several.
//!
//! Messages arrive within a tick.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    str::FromStr as _,
    sync::Arc,
};

use petreldrum::{
    config::{Backend, Builder, Config},
    id::{self, Incarnation},
    policy::Balanced,
    reducer::{
        Identity, State,
        effect::Effect,
        event::{Event, Source},
    },
    retry::Limits,
    settings::{Secret, Seed},
    unit::{Millis, Time},
    wire::{Contact, Frame},
};

/// Time between two ticks, in milliseconds.
pub const TICK: u64 = 100;

/// Returns a loopback address.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the contact of a box whose three listeners use consecutive ports from `port`.
pub fn contact(name: &str, region: &str, port: u16) -> Contact {
    Contact {
        name: name.parse().expect("valid name"),
        region: region.parse().expect("valid name"),
        domain: "a".parse().expect("valid name"),
        public: address(port),
        peer: address(port + 1),
        gossip: address(port + 2),
    }
}

/// Returns a backend server of a region that serves the service `s`.
pub(crate) fn backend(name: &str, region: &str) -> Backend {
    Backend {
        name: name.parse().expect("valid name"),
        address: address(1),
        region: region.parse().expect("valid name"),
        domain: "a".parse().expect("valid name"),
        serves: vec!["s".parse().expect("valid name")],
        labels: Default::default(),
        slots: 12,
        price: 0.0,
        leaving: false,
        time_left: None,
        headers: Default::default(),
        cold: Millis(0),
        incarnation: None,
        release: None,
    }
}

/// Returns the name of the box with this number.
pub fn name(number: usize) -> String {
    format!("box-{number}")
}

fn port(number: usize) -> u16 {
    1000 + 10 * number as u16
}

fn seed(number: usize) -> Seed {
    Seed {
        region: None,
        gossip: address(port(number) + 2),
    }
}

/// Bytes that TCP, IP and nng add to a message.
pub const OVERHEAD: usize = 60;

/// Returns the size of a message on the network, in bytes.
fn frame_bytes(frame: &Frame) -> usize {
    let secret = Secret::from_str("a-secret-of-sixteen").expect("secret is long enough");
    frame.encode(&secret).len() + OVERHEAD
}

/// Simulated boxes of one region or several.
#[derive(Debug)]
pub struct Crowd {
    /// The virtual time.
    pub now: Time,
    /// The boxes by number; `None` for a box that was killed.
    pub boxes: Vec<Option<State<Balanced>>>,
    /// Messages in flight, with their destinations.
    pub mail: Vec<(SocketAddr, Frame)>,
    /// Number of messages sent.
    pub sent: usize,
    /// Bytes sent by each box, by kind of message; recorded only if set.
    pub weighed: Option<Vec<BTreeMap<&'static str, usize>>>,
    /// Pairs (sender, receiver) whose messages are lost.
    pub cut: Vec<(usize, usize)>,
    /// Boxes whose process is suspended: they receive no ticks, and their messages wait.
    pub frozen: Vec<usize>,
    numbers_by_gossip: HashMap<SocketAddr, usize>,
    /// The configuration offered to a box when it starts.
    pub config: Arc<Config>,
    /// The limits of the retry budget given to a box when it starts.
    pub retry: Limits,
    registry: bool,
    /// Number of failure domains, one or two; boxes are assigned round-robin.
    domains: usize,
    /// Number of regions, one to three; boxes are assigned round-robin.
    regions: usize,
    /// Start time of each box; its own clock counts from there.
    started: Vec<Time>,
}

impl Crowd {
    /// Starts boxes with an empty configuration.
    pub fn new(size: usize) -> Self {
        Self::start(size, Arc::new(Builder::default().build()), false, 1, 1)
    }

    /// Starts boxes on a platform where backend servers register themselves.
    pub fn on_platform(size: usize, config: Arc<Config>) -> Self {
        Self::start(size, config, true, 1, 1)
    }

    /// Starts boxes as [`Crowd::on_platform`] does, in two failure domains.
    pub fn in_two_domains(size: usize, config: Arc<Config>) -> Self {
        Self::start(size, config, true, 2, 1)
    }

    /// Starts boxes of one region with two failure domains; the configuration lists the backend
    /// servers.
    pub fn in_one_region(size: usize, config: Arc<Config>) -> Self {
        Self::start(size, config, false, 2, 1)
    }

    /// Starts boxes of three regions with two failure domains each; the configuration lists the
    /// backend servers.
    pub fn in_three_regions(size: usize, config: Arc<Config>) -> Self {
        Self::start(size, config, false, 2, 3)
    }

    /// Starts boxes as [`Crowd::in_three_regions`] does, on a platform where backend servers
    /// register themselves.
    pub fn across_regions(size: usize, config: Arc<Config>) -> Self {
        Self::start(size, config, true, 2, 3)
    }

    /// Returns the number of the box with this HTTP listener for peers.
    pub fn by_peer(&self, peer: SocketAddr) -> Option<usize> {
        let gossip = SocketAddr::new(peer.ip(), peer.port() + 1);
        self.by_gossip(gossip)
    }

    /// Returns the number of the box with this gossip listener.
    pub fn by_gossip(&self, gossip: SocketAddr) -> Option<usize> {
        self.numbers_by_gossip.get(&gossip).copied()
    }

    fn start(
        size: usize,
        config: Arc<Config>,
        registry: bool,
        domains: usize,
        regions: usize,
    ) -> Self {
        let numbers_by_gossip = (0..size).map(|number| (address(port(number) + 2), number));
        let mut crowd = Self {
            now: Time(0),
            boxes: (0..size).map(|_| None).collect(),
            mail: Vec::new(),
            sent: 0,
            weighed: None,
            cut: Vec::new(),
            frozen: Vec::new(),
            numbers_by_gossip: numbers_by_gossip.collect(),
            config,
            retry: Limits::default(),
            registry,
            domains,
            regions,
            started: vec![Time(0); size],
        };
        for number in 0..size {
            crowd.launch(number);
        }
        crowd
    }

    /// Returns the region of a box.
    pub fn region(&self, number: usize) -> &'static str {
        ["perth", "bunbury", "geraldton"][number % self.regions]
    }

    /// Starts or restarts a box with empty state and offers it the configuration.
    pub fn launch(&mut self, number: usize) {
        let region = self.region(number);
        let domain = ["a", "b"][number / self.regions % self.domains];
        let identity = Identity {
            contact: Contact {
                domain: domain.parse().expect("valid name"),
                ..contact(&name(number), region, port(number))
            },
            incarnation: Incarnation(7 + self.now.0),
            seeds: (0..self.regions).map(seed).collect(),
            retry: self.retry,
            registry: self.registry,
            tolerance: Default::default(),
            exposure: Default::default(),
            first_start: false,
        };
        self.boxes[number] = Some(State::new(identity, Balanced));
        self.started[number] = self.now;
        let offer = Event::Offered {
            config: self.config.clone(),
            source: Source::Store,
        };
        self.step(number, offer);
    }

    /// Returns the time on a box's own clock.
    pub fn clock(&self, number: usize) -> Time {
        Time(self.now.since(self.started[number]).0)
    }

    /// Applies an event to a box, queues the messages that it sends and returns its effects.
    pub fn step(&mut self, number: usize, event: Event) -> Vec<Effect> {
        let clock = self.clock(number);
        let Some(state) = &mut self.boxes[number] else {
            return Vec::new();
        };
        let effects = state.step(clock, event);
        for effect in &effects {
            if let Effect::Gossip { to, frame } = effect {
                self.sent += 1;
                if let Some(weighed) = &mut self.weighed {
                    *weighed[number].entry(frame.body.kind()).or_default() += frame_bytes(frame);
                }
                let lost = |n: &usize| self.cut.contains(&(number, *n));
                if !self.numbers_by_gossip.get(to).is_some_and(lost) {
                    self.mail.push((*to, frame.clone()));
                }
            }
        }
        effects
    }

    /// Advances time tick by tick and discards the effects.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / TICK {
            self.now = self.now + Millis(TICK);
            drop(self.tick());
        }
    }

    /// Delivers a tick to all boxes and then the messages in flight; returns the effects by box.
    pub fn tick(&mut self) -> Vec<(usize, Effect)> {
        let mut all_effects = Vec::new();
        for number in 0..self.boxes.len() {
            if !self.frozen.contains(&number) {
                let effects = self.step(number, Event::Tick);
                all_effects.extend(effects.into_iter().map(|effect| (number, effect)));
            }
        }
        for (to, frame) in std::mem::take(&mut self.mail) {
            let number = self.numbers_by_gossip.get(&to).copied();
            match number {
                Some(number) if self.frozen.contains(&number) => self.mail.push((to, frame)),
                Some(number) => {
                    let effects = self.step(number, Event::Received(frame));
                    all_effects.extend(effects.into_iter().map(|effect| (number, effect)));
                }
                None => {}
            }
        }
        all_effects
    }

    /// Returns the names of the boxes that box `number` resolves for callers of the region `perth`.
    pub fn named(&mut self, number: usize) -> Vec<String> {
        let event = Event::Resolve {
            request: id::Request(self.now.0 + 1),
            region: "perth".parse().expect("valid name"),
            host: None,
        };
        let effects = self.step(number, event);
        let boxes = effects.iter().find_map(|effect| match effect {
            Effect::Boxes { boxes, .. } => Some(boxes),
            _ => None,
        });
        let boxes = boxes
            .expect("resolve is answered with a list of boxes")
            .iter();
        boxes.map(|entry| entry.contact.name.to_string()).collect()
    }
}
