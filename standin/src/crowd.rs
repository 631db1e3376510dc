//! The reducers of the boxes of one region or several, whose messages arrive within a tick.

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

/// A listener on loopback.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A box with three listeners from `port` on.
pub fn contact(name: &str, region: &str, port: u16) -> Contact {
    Contact {
        name: name.parse().expect("a name"),
        region: region.parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        public: address(port),
        peer: address(port + 1),
        gossip: address(port + 2),
    }
}

/// A backend server of a region that serves `s`.
pub(crate) fn backend(name: &str, region: &str) -> Backend {
    Backend {
        name: name.parse().expect("a name"),
        address: address(1),
        region: region.parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        serves: vec!["s".parse().expect("a name")],
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

/// The name of a box.
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

/// Bytes of TCP, IP and nng around a message.
pub const OVERHEAD: usize = 60;

/// The bytes of a message on its way.
fn weight(frame: &Frame) -> usize {
    let secret = Secret::from_str("a-secret-of-sixteen").expect("it is long enough");
    frame.encode(&secret).len() + OVERHEAD
}

/// Boxes of one region, or of several.
#[derive(Debug)]
pub struct Crowd {
    /// The time outside.
    pub now: Time,
    /// The boxes; none in place of one that was killed.
    pub boxes: Vec<Option<State<Balanced>>>,
    /// Messages on their way.
    pub mail: Vec<(SocketAddr, Frame)>,
    /// Messages that were sent.
    pub sent: usize,
    /// The bytes that each box sent, by kind of message, where somebody asks for them.
    pub weighed: Option<Vec<BTreeMap<&'static str, usize>>>,
    /// Pairs whose messages are lost.
    pub cut: Vec<(usize, usize)>,
    /// Boxes that stand still.
    pub frozen: Vec<usize>,
    numbers: HashMap<SocketAddr, usize>,
    /// What a box that starts is offered.
    pub config: Arc<Config>,
    /// What a box that starts is told of the retry budget.
    pub retry: Limits,
    registry: bool,
    /// Failure domains, one or two; the boxes take turns.
    domains: usize,
    /// Regions, one to three; the boxes take turns.
    regions: usize,
    /// When each box started: its clock begins there.
    started: Vec<Time>,
}

impl Crowd {
    /// Boxes with an empty configuration, which just started.
    pub fn new(size: usize) -> Self {
        Self::start(size, Arc::new(Builder::default().build()), false, 1, 1)
    }

    /// Boxes on a platform where backend servers register themselves, which just started.
    pub fn on_platform(size: usize, config: Arc<Config>) -> Self {
        Self::start(size, config, true, 1, 1)
    }

    /// The same in two failure domains.
    pub fn in_two_domains(size: usize, config: Arc<Config>) -> Self {
        Self::start(size, config, true, 2, 1)
    }

    /// Boxes of one region with two failure domains, where the configuration names the servers.
    pub fn in_one_region(size: usize, config: Arc<Config>) -> Self {
        Self::start(size, config, false, 2, 1)
    }

    /// Boxes of three regions with two failure domains each, where the configuration names the servers.
    pub fn in_three_regions(size: usize, config: Arc<Config>) -> Self {
        Self::start(size, config, false, 2, 3)
    }

    /// The same on a platform where backend servers register themselves.
    pub fn across_regions(size: usize, config: Arc<Config>) -> Self {
        Self::start(size, config, true, 2, 3)
    }

    /// The box whose HTTP listener for other boxes this is.
    pub fn by_peer(&self, peer: SocketAddr) -> Option<usize> {
        let gossip = SocketAddr::new(peer.ip(), peer.port() + 1);
        self.by_gossip(gossip)
    }

    /// The box whose listener for messages this is.
    pub fn by_gossip(&self, gossip: SocketAddr) -> Option<usize> {
        self.numbers.get(&gossip).copied()
    }

    fn start(
        size: usize,
        config: Arc<Config>,
        registry: bool,
        domains: usize,
        regions: usize,
    ) -> Self {
        let numbers = (0..size).map(|number| (address(port(number) + 2), number));
        let mut crowd = Self {
            now: Time(0),
            boxes: (0..size).map(|_| None).collect(),
            mail: Vec::new(),
            sent: 0,
            weighed: None,
            cut: Vec::new(),
            frozen: Vec::new(),
            numbers: numbers.collect(),
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

    /// The region of a box.
    pub fn region(&self, number: usize) -> &'static str {
        ["perth", "bunbury", "geraldton"][number % self.regions]
    }

    /// Starts a box anew.
    pub fn launch(&mut self, number: usize) {
        let region = self.region(number);
        let domain = ["a", "b"][number / self.regions % self.domains];
        let identity = Identity {
            contact: Contact {
                domain: domain.parse().expect("a name"),
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

    /// The time of a box's own clock.
    pub fn clock(&self, number: usize) -> Time {
        Time(self.now.since(self.started[number]).0)
    }

    /// Tells a box of an event; its messages go out.
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
                    *weighed[number].entry(frame.body.kind()).or_default() += weight(frame);
                }
                let lost = |n: &usize| self.cut.contains(&(number, *n));
                if !self.numbers.get(to).is_some_and(lost) {
                    self.mail.push((*to, frame.clone()));
                }
            }
        }
        effects
    }

    /// Lets time pass, tick by tick.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / TICK {
            self.now = self.now + Millis(TICK);
            drop(self.tick());
        }
    }

    /// Tells all boxes of a tick, and delivers their messages; what each wants done.
    pub fn tick(&mut self) -> Vec<(usize, Effect)> {
        let mut found = Vec::new();
        for number in 0..self.boxes.len() {
            if !self.frozen.contains(&number) {
                let effects = self.step(number, Event::Tick);
                found.extend(effects.into_iter().map(|effect| (number, effect)));
            }
        }
        for (to, frame) in std::mem::take(&mut self.mail) {
            let number = self.numbers.get(&to).copied();
            match number {
                Some(number) if self.frozen.contains(&number) => self.mail.push((to, frame)),
                Some(number) => {
                    let effects = self.step(number, Event::Received(frame));
                    found.extend(effects.into_iter().map(|effect| (number, effect)));
                }
                None => {}
            }
        }
        found
    }

    /// The boxes that `number` names to callers of its region.
    pub fn named(&mut self, number: usize) -> Vec<String> {
        let event = Event::Resolve {
            request: id::Request(self.now.0 + 1),
            region: "perth".parse().expect("a name"),
            host: None,
        };
        let effects = self.step(number, event);
        let boxes = effects.iter().find_map(|effect| match effect {
            Effect::Boxes { boxes, .. } => Some(boxes),
            _ => None,
        });
        let boxes = boxes.expect("an answer").iter();
        boxes.map(|entry| entry.contact.name.to_string()).collect()
    }
}
