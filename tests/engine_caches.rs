//! A box that starts asks engines what they have cached, each once, and sends prompts there.

mod harness;

use std::sync::Arc;

use harness::solo::{contact, places, sends};
use petreldrum::{
    config::Backend,
    fleet::Change,
    id::{self, Incarnation},
    platform::record,
    policy::Balanced,
    prompt::{Part, Prompt},
    reducer::{
        Identity, State,
        effect::{Effect, Target},
        event::{Arrival, Credential, Event, Hop, Key, Source},
    },
    unit::{Millis, Time},
    wire::Body,
};

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/",
    "kind":"streaming","timeoutMs":8000,"targetLatencyMs":1000,"priority":1,"service":"s",
    "maxAttempts":1,"resumable":false,"gapAimMs":400,"homeRegions":[]}],
    "services":[{"name":"s","coldPerS":9.7,"engine":{"kvTokens":335639}}]}"#;

const SHARED: Part = Part {
    id: 0xab,
    tokens: 13_000,
};

struct World {
    state: State<Balanced>,
    now: Time,
}

fn engine(name: &str, state: &str, cold: u64) -> Backend {
    let entry = format!(
        r#"{{"service":"s","address":"10.0.0.1:1","zone":"atl-a","slots":64,
            "state":"{state}","coldRemainingMs":{cold}}}"#
    );
    let name = name.parse().expect("a name");
    record::server(&name, entry.as_bytes(), &places()).expect("it reads")
}

impl World {
    fn new(engines: Vec<Backend>) -> Self {
        let identity = Identity {
            contact: contact("box", "atl", 10),
            incarnation: Incarnation(1),
            seeds: vec![],
            retry: Default::default(),
            registry: true,
        };
        let state = State::new(identity, Balanced);
        let mut world = Self {
            state,
            now: Time(0),
        };
        let envelope = record::envelope(CONFIG.into()).expect("it reads");
        let config = Arc::new(record::config(&envelope, &places()).expect("it reads"));
        let source = Source::Store;
        world.step(Event::Offered { config, source });
        let list = Change::List {
            backends: engines,
            doubt: Millis(0),
        };
        world.step(Event::Fleet(list));
        world
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.state.step(self.now, event)
    }

    /// The engines that are asked while time passes.
    fn asked(&mut self, millis: u64) -> Vec<String> {
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

    fn told(&mut self, name: &str, parts: Vec<Part>) -> Vec<Effect> {
        let backend = name.parse().expect("a name");
        self.step(Event::Cached { backend, parts })
    }
}

#[test]
fn each_is_asked_once() {
    let ready = ["a", "b", "c"].map(|name| engine(name, "ready", 0));
    let mut world = World::new(ready.to_vec());
    let mut asked = world.asked(1000);
    asked.sort();
    assert_eq!(asked, ["a", "b", "c"]);
    assert!(world.asked(5000).is_empty());
}

#[test]
fn cold_and_leaving_ones_are_left_alone() {
    let engines = vec![
        engine("cold", "ready", 60_000),
        engine("leaving", "draining", 0),
    ];
    let mut world = World::new(engines);
    assert!(world.asked(5000).is_empty());
}

#[test]
fn later_ones_are_new_and_not_asked() {
    let mut world = World::new(vec![]);
    assert!(world.asked(5000).is_empty());
    world.step(Event::Fleet(Change::Put(engine("late", "ready", 0))));
    assert!(world.asked(1000).is_empty());
}

#[test]
fn prompts_go_where_they_are_cached() {
    let ready = ["a", "b", "c"].map(|name| engine(name, "ready", 0));
    for holder in ["a", "b", "c"] {
        let mut world = World::new(ready.to_vec());
        world.asked(500);
        let short = Part { id: 1, tokens: 30 };
        world.told(holder, vec![SHARED, short]);
        let own = Part { id: 2, tokens: 500 };
        let arrival = Arrival {
            request: id::Request(1),
            tag: None,
            credential: Credential::Missing,
            host: Some("h.example".to_owned()),
            path: "/p/x".to_owned(),
            model: None,
            prefix: 0,
            prompt: Some(Prompt {
                tokens: 13_500,
                output: 100,
                parts: vec![SHARED, own],
            }),
            draw: 0,
            runs: None,
            key: Key::Absent,
            left: None,
            hop: Hop::Direct,
        };
        let effects = world.step(Event::Arrived(arrival));
        let send = sends(&effects).remove(0);
        let Target::Backend { name, .. } = &send.target else {
            panic!("it stays in its region");
        };
        assert_eq!((name.as_str(), send.basis.unread), (holder, 500));
    }
}

#[test]
fn others_are_told_of_long_parts_only() {
    let mut world = World::new(vec![engine("a", "ready", 0)]);
    let short = Part { id: 1, tokens: 30 };
    let holdings = |effects: &[Effect]| {
        let holding = |e: &Effect| match e {
            Effect::Gossip { frame, .. } => matches!(frame.body, Body::Holdings(_)),
            _ => false,
        };
        effects.iter().filter(|e| holding(e)).count()
    };
    let nothing = world.told("a", vec![short]);
    assert_eq!(holdings(&nothing), 0);
    let mut other = World::new(vec![]);
    other.state = State::new(
        Identity {
            contact: contact("other", "atl", 40),
            incarnation: Incarnation(1),
            seeds: vec![petreldrum::settings::Seed {
                region: None,
                gossip: harness::solo::address(12),
            }],
            retry: Default::default(),
            registry: true,
        },
        Balanced,
    );
    let greetings = other.step(Event::Tick);
    let greeting = greetings.iter().find_map(|e| match e {
        Effect::Gossip { frame, .. } => Some(frame.clone()),
        _ => None,
    });
    world.step(Event::Heard(greeting.expect("a heartbeat")));
    let told = world.told("a", vec![SHARED, short]);
    assert_eq!(holdings(&told), 1);
}
