//! A box that starts queries each engine once for its cached prompts and sends prompts there.

mod harness;

use harness::{
    engines::{SHARED, World, engine, target},
    solo::{contact, news},
};
use petreldrum::{
    fleet::Change,
    id::Incarnation,
    memory::prompt::Part,
    policy::Balanced,
    reducer::{Identity, State, effect::Effect, event::Event},
    wire::Body,
};

#[test]
fn each_engine_is_queried_once() {
    let ready = ["a", "b", "c"].map(|name| engine(name, "ready", 0));
    let mut world = World::new(ready.to_vec());
    let mut queried = world.asked(1000);
    queried.sort();
    assert_eq!(queried, ["a", "b", "c"]);
    assert!(world.asked(5000).is_empty());
}

#[test]
fn cold_and_leaving_engines_are_not_queried() {
    let engines = vec![
        engine("cold", "ready", 60_000),
        engine("leaving", "draining", 0),
    ];
    let mut world = World::new(engines);
    assert!(world.asked(5000).is_empty());
}

#[test]
fn engines_registered_later_are_not_queried() {
    let mut world = World::new(vec![]);
    assert!(world.asked(5000).is_empty());
    world.step(news(Change::Put(engine("late", "ready", 0))));
    assert!(world.asked(1000).is_empty());
}

#[test]
fn prompts_are_sent_where_they_are_cached() {
    let ready = ["a", "b", "c"].map(|name| engine(name, "ready", 0));
    for holder in ["a", "b", "c"] {
        let mut world = World::new(ready.to_vec());
        world.asked(500);
        let short = Part { id: 1, tokens: 30 };
        world.told(holder, vec![SHARED, short]);
        let own = Part { id: 2, tokens: 500 };
        let send = world.prompt(&[SHARED, own]).remove(0);
        assert_eq!((target(&send), send.basis.unread), (holder, 500));
    }
}

#[test]
fn only_long_parts_are_reported_to_other_boxes() {
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
                gossip: harness::crowd::address(12),
            }],
            retry: Default::default(),
            registry: true,
            tolerance: Default::default(),
            exposure: Default::default(),
            first_start: false,
        },
        Balanced,
    );
    let first_effects = other.step(Event::Tick);
    let heartbeat = first_effects.iter().find_map(|e| match e {
        Effect::Gossip { frame, .. } => Some(frame.clone()),
        _ => None,
    });
    world.step(Event::Received(
        heartbeat.expect("first tick sends a heartbeat"),
    ));
    let effects = world.told("a", vec![SHARED, short]);
    assert_eq!(holdings(&effects), 1);
}
