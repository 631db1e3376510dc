//! Simulates one box on the platform, as its reducer alone, in a region with model engines.

use std::sync::Arc;

use petreldrum::{
    config::Backend,
    fleet::Change,
    id::{self, Incarnation},
    memory::prompt::{Part, Prompt},
    platform::record,
    policy::Balanced,
    reducer::{
        Identity, State,
        effect::{Effect, Send, Target},
        event::{Arrival, Credential, Event, Hop, Key, Source},
    },
    settings::Seed,
    unit::{Millis, Time},
    wire::{Body, Frame},
};

use super::solo::{contact, news, places, sends};

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/",
    "kind":"streaming","timeoutMs":8000,"targetLatencyMs":1000,"priority":1,"service":"s",
    "maxAttempts":1,"resumable":false,"gapAimMs":400,"homeRegions":[]}],
    "services":[{"name":"s","coldPerS":9.7,"engine":{"kvTokens":335639}}]}"#;

/// A configuration whose engines report which prompt parts they hold (`most` is set).
pub const TELLING: &str = r#"{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/",
    "kind":"streaming","timeoutMs":8000,"targetLatencyMs":1000,"priority":1,"service":"s",
    "maxAttempts":1,"resumable":false,"gapAimMs":400,"homeRegions":[]}],
    "services":[{"name":"s","coldPerS":9.7,"engine":{"kvTokens":335639,"most":12}}]}"#;

pub const SHARED: Part = Part {
    id: 0xab,
    tokens: 13_000,
};

pub struct World {
    pub state: State<Balanced>,
    pub now: Time,
    requests: u64,
}

pub fn engine(name: &str, state: &str, cold: u64) -> Backend {
    life(name, state, cold, 0)
}

/// An engine whose process started at `born`.
pub fn life(name: &str, state: &str, cold: u64, born: u64) -> Backend {
    let entry = format!(
        r#"{{"service":"s","address":"10.0.0.1:1","zone":"atl-a","slots":64,
            "state":"{state}","coldRemainingMs":{cold},"born":{born}}}"#
    );
    let name = name.parse().expect("a name");
    record::parse_server(&name, entry.as_bytes(), &places()).expect("a valid record")
}

impl World {
    pub fn new(engines: Vec<Backend>) -> Self {
        Self::at("box", engines)
    }

    /// A box with engines that can transfer their caches to each other.
    pub fn moving(engines: Vec<Backend>) -> Self {
        let moving = r#""kvTokens":335639,"kvBytes":163840,"linkMbps":550000"#;
        let config = CONFIG.replace(r#""kvTokens":335639"#, moving);
        Self::with("box", &config, engines)
    }

    /// A box of this name with the default configuration.
    pub fn at(name: &str, engines: Vec<Backend>) -> Self {
        Self::with(name, CONFIG, engines)
    }

    /// A box of this name with the given configuration.
    pub fn with(name: &str, config: &str, engines: Vec<Backend>) -> Self {
        let identity = Identity {
            contact: contact(name, "atl", 10),
            incarnation: Incarnation(1),
            seeds: vec![],
            retry: Default::default(),
            registry: true,
            tolerance: Default::default(),
            exposure: Default::default(),
            first_start: false,
        };
        let state = State::new(identity, Balanced);
        let mut world = Self {
            state,
            now: Time(0),
            requests: 0,
        };
        let envelope = record::envelope(config.into()).expect("a valid record");
        let config = Arc::new(record::parse_config(&envelope, &places()).expect("a valid record"));
        let source = Source::Store;
        world.step(Event::Offered { config, source });
        let list = Change::List {
            backends: engines,
            grace: Millis(0),
        };
        world.step(news(list));
        world
    }

    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        self.state.step(self.now, event)
    }

    /// Advances time and returns the engines whose inventory the box requests.
    pub fn asked(&mut self, millis: u64) -> Vec<String> {
        let mut names = Vec::new();
        for _ in 0..millis / 100 {
            self.now = self.now + Millis(100);
            for effect in self.step(Event::Tick) {
                if let Effect::Inventory { backend, .. } = effect {
                    names.push(backend.to_string());
                }
            }
        }
        names
    }

    pub fn told(&mut self, name: &str, parts: Vec<Part>) -> Vec<Effect> {
        let backend = name.parse().expect("a name");
        self.step(Event::Inventory { backend, parts })
    }

    /// Sends a request whose prompt has these parts; the last one is unique to it.
    pub fn prompt(&mut self, parts: &[Part]) -> Vec<Send> {
        self.drawn(parts, 0)
    }

    /// Sends a request whose prompt has these parts, with the given random draw.
    pub fn drawn(&mut self, parts: &[Part], draw: u64) -> Vec<Send> {
        self.requests += 1;
        let arrival = Arrival {
            request: id::Request(self.requests),
            draw,
            ..Self::arrival(parts)
        };
        sends(&self.step(Event::Arrived(arrival)))
    }

    /// A request whose prompt has these parts.
    pub fn arrival(parts: &[Part]) -> Arrival {
        Arrival {
            content: Default::default(),
            request: id::Request(1),
            tag: None,
            credential: Credential::Missing,
            host: Some("h.example".to_owned()),
            path: "/p/x".to_owned(),
            model: None,
            prefix: 0,
            prompt: Some(Prompt {
                tokens: parts.iter().map(|part| part.tokens).sum(),
                output: 100,
                parts: parts.to_vec(),
            }),
            draw: 0,
            runs: None,
            key: Key::Absent,
            left: None,
            hop: Hop::Direct,
        }
    }

    /// The first heartbeat that the box would send to a seed.
    pub fn first_heartbeat(&mut self) -> Frame {
        let seeds = vec![Seed {
            gossip: contact("seed", "atl", 90).gossip,
            region: None,
        }];
        let retry = Default::default();
        self.step(Event::Reloaded { seeds, retry });
        self.now = self.now + Millis(100);
        let effects = self.step(Event::Tick);
        let frames = effects.into_iter().filter_map(|effect| match effect {
            Effect::Gossip { frame, .. } => Some(frame),
            _ => None,
        });
        let mut heartbeats = frames.filter(|frame| matches!(frame.body, Body::Heartbeat(_)));
        heartbeats.next().expect("a heartbeat to the seed")
    }

    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now = self.now + Millis(100);
            self.step(Event::Tick);
        }
    }
}

/// The engine that a request went to.
pub fn target(send: &Send) -> &str {
    match &send.target {
        Target::Backend { name, .. } => name.as_str(),
        other => panic!("not an engine: {other:?}"),
    }
}
