//! What a box believes of servers that said that they leave: which life, by whose word, and for how long.

mod harness;

use harness::{
    engines::{World, engine, life, target},
    solo::{BASE, Solo, caller, news, sends, server},
};
use petreldrum::{
    config::Backend,
    fleet::Change,
    id::Incarnation,
    reducer::{effect::Effect, event::Event},
    settings::Secret,
    unit::Millis,
    wire::{Body, Departure, Frame, NameHash},
};

fn departing(backend: &Backend) -> Event {
    Event::Departing {
        backend: backend.name.clone(),
        incarnation: backend.incarnation,
    }
}

/// Another box tells of a server.
fn told(backend: &Backend, seq: u64, age: u64) -> Event {
    Event::Received(Frame {
        from: "other".parse().expect("a name"),
        incarnation: Incarnation(9),
        seq,
        body: Body::Departures(vec![Departure {
            backend: NameHash::of(backend.name.as_str()),
            life: backend.life(),
            age: Millis(age),
        }]),
    })
}

/// Whether a request finds a server.
fn is_served(world: &mut World) -> bool {
    !world.prompt(&[]).is_empty()
}

#[test]
fn another_box_word_keeps_requests_away() {
    let (one, two) = (engine("one", "ready", 0), engine("two", "ready", 0));
    let mut world = World::new(vec![one.clone(), two]);
    world.pass(5000);
    world.step(told(&one, 1, 100));
    for _ in 0..20 {
        let sent = world.prompt(&[]);
        assert_eq!(target(&sent[0]), "two");
    }
}

#[test]
fn the_word_of_one_life_ends_with_it() {
    let (first, second) = (life("one", "ready", 0, 5), life("one", "ready", 0, 6));
    let mut world = World::new(vec![first.clone()]);
    world.pass(5000);
    world.step(departing(&first));
    assert!(!is_served(&mut world));
    world.step(news(Change::Put(first.clone())));
    assert!(!is_served(&mut world), "the same life, registered again");
    world.step(news(Change::Put(second.clone())));
    assert!(is_served(&mut world), "another life");
    // An answer that waited in a box which stood still, and another box that lags.
    world.step(departing(&first));
    world.step(told(&first, 1, 0));
    assert!(is_served(&mut world));
    world.step(departing(&second));
    world.step(departing(&first));
    assert!(!is_served(&mut world), "the later life leaves as well");
}

#[test]
fn a_registration_that_lapses_and_returns_does_not_bring_it_back() {
    let one = life("one", "ready", 0, 5);
    let mut world = World::new(vec![one.clone()]);
    world.pass(5000);
    world.step(departing(&one));
    let gone = Change::Removed {
        name: one.name.clone(),
        grace: Millis(0),
    };
    world.step(news(gone));
    world.pass(20_000);
    world.step(news(Change::Put(one)));
    assert!(!is_served(&mut world));
}

#[test]
fn a_box_that_joins_is_told_with_the_list_and_with_heartbeats() {
    let one = life("one", "ready", 0, 5);
    let mut world = World::new(vec![one.clone()]);
    world.pass(5000);
    world.step(departing(&one));
    let roster = world.state.roster(world.now, None).expect("it has a list");
    assert!(roster.backends[0].leaving);
    // A box greets whoever it newly hears with a heartbeat.
    let other = World::at("other", vec![one.clone()]).first_heartbeat();
    let effects = world.step(Event::Received(other));
    let rows = effects.iter().find_map(|effect| match effect {
        Effect::Gossip { frame, .. } => match &frame.body {
            Body::Heartbeat(beat) => Some(beat.departures.clone()),
            _ => None,
        },
        _ => None,
    });
    let rows = rows.expect("it answers with a heartbeat");
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].life, one.life());
    // What its registration says as well need not be told.
    world.step(news(Change::Put(life("one", "draining", 0, 5))));
    assert_eq!(world.state.departing(), 0);
}

/// Nothing tells when a server that the configuration names starts again.
#[test]
fn a_configured_server_is_asked_again_after_a_minute() {
    let text = BASE.to_owned() + &caller("a", "") + &server("sa", "perth", 8) + "[selector all]\n";
    let mut solo = Solo::new(&text);
    let backend = "sa".parse().expect("a name");
    solo.step(Event::Departing {
        backend,
        incarnation: None,
    });
    assert!(sends(&solo.arrive("a", None)).is_empty());
    solo.pass(59_000);
    assert!(sends(&solo.arrive("a", None)).is_empty());
    solo.pass(2000);
    assert!(!sends(&solo.arrive("a", None)).is_empty());
    // Boxes that tell each other do not keep the word alive.
    let config = solo.state.config().expect("a configuration").clone();
    let sa = &config.backends[&"sa".parse().expect("a name")];
    solo.step(told(sa, 1, 60_000));
    assert!(!sends(&solo.arrive("a", None)).is_empty());
}

/// What is told stays small: 13 bytes a server, and 0.6 KB at most.
#[test]
fn departures_cost_few_bytes() {
    let secret: Secret = "0123456789abcdef".parse().expect("a secret");
    let size = |count: u32| {
        let departure = |number: u32| Departure {
            backend: NameHash(u32::MAX - number),
            life: NameHash(u32::MAX - number),
            age: Millis(600_000),
        };
        let frame = Frame {
            from: "other".parse().expect("a name"),
            incarnation: Incarnation(9),
            seq: 1,
            body: Body::Departures((0..count).map(departure).collect()),
        };
        frame.encode(&secret).len()
    };
    let one = size(2) - size(1);
    assert!(one <= 13, "{one} bytes a server");
    assert!(size(48) <= 700, "{} bytes a message", size(48));
}
