//! How a box tracks backend servers that announced that they leave: which incarnation, reported by
//! whom, and for how long.

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

/// Returns a report of another box that a backend server leaves.
fn report(backend: &Backend, seq: u64, age: u64) -> Event {
    Event::Received(Frame {
        from: "other".parse().expect("valid name"),
        incarnation: Incarnation(9),
        seq,
        body: Body::Departures(vec![Departure {
            backend: NameHash::of(backend.name.as_str()),
            life: backend.life(),
            age: Millis(age),
        }]),
    })
}

/// Reports whether a request is sent to a backend server.
fn is_served(world: &mut World) -> bool {
    !world.prompt(&[]).is_empty()
}

#[test]
fn report_of_another_box_stops_requests() {
    let (one, two) = (engine("one", "ready", 0), engine("two", "ready", 0));
    let mut world = World::new(vec![one.clone(), two]);
    world.pass(5000);
    world.step(report(&one, 1, 100));
    for _ in 0..20 {
        let sent = world.prompt(&[]);
        assert_eq!(target(&sent[0]), "two");
    }
}

#[test]
fn departure_ends_with_its_incarnation() {
    let (first, second) = (life("one", "ready", 0, 5), life("one", "ready", 0, 6));
    let mut world = World::new(vec![first.clone()]);
    world.pass(5000);
    world.step(departing(&first));
    assert!(!is_served(&mut world));
    world.step(news(Change::Put(first.clone())));
    assert!(
        !is_served(&mut world),
        "the same incarnation, registered again"
    );
    world.step(news(Change::Put(second.clone())));
    assert!(is_served(&mut world), "another incarnation");
    // A delayed answer from a box that was suspended, and a report of a lagging box.
    world.step(departing(&first));
    world.step(report(&first, 1, 0));
    assert!(is_served(&mut world));
    world.step(departing(&second));
    world.step(departing(&first));
    assert!(
        !is_served(&mut world),
        "the later incarnation leaves as well"
    );
}

#[test]
fn lapsed_and_renewed_registration_does_not_end_the_departure() {
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
fn joining_box_learns_from_list_and_heartbeats() {
    let one = life("one", "ready", 0, 5);
    let mut world = World::new(vec![one.clone()]);
    world.pass(5000);
    world.step(departing(&one));
    let roster = world
        .state
        .roster(world.now, None)
        .expect("box has a list of backend servers");
    assert!(roster.backends[0].leaving);
    // A box sends a heartbeat to each box that it newly learns of.
    let other = World::at("other", vec![one.clone()]).first_heartbeat();
    let effects = world.step(Event::Received(other));
    let rows = effects.iter().find_map(|effect| match effect {
        Effect::Gossip { frame, .. } => match &frame.body {
            Body::Heartbeat(beat) => Some(beat.departures.clone()),
            _ => None,
        },
        _ => None,
    });
    let rows = rows.expect("box answers with a heartbeat");
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].life, one.life());
    // A departure that the registration shows as well need not be sent.
    world.step(news(Change::Put(life("one", "draining", 0, 5))));
    assert_eq!(world.state.departing(), 0);
}

/// No signal shows that a backend server named in the configuration has restarted.
#[test]
fn configured_server_is_used_again_after_a_minute() {
    let text = BASE.to_owned() + &caller("a", "") + &server("sa", "perth", 8) + "[selector all]\n";
    let mut solo = Solo::new(&text);
    let backend = "sa".parse().expect("valid name");
    solo.step(Event::Departing {
        backend,
        incarnation: None,
    });
    assert!(sends(&solo.arrive("a", None)).is_empty());
    solo.pass(59_000);
    assert!(sends(&solo.arrive("a", None)).is_empty());
    solo.pass(2000);
    assert!(!sends(&solo.arrive("a", None)).is_empty());
    // Boxes that report to each other do not prolong the departure.
    let config = solo.state.config().expect("configuration is set").clone();
    let sa = &config.backends[&"sa".parse().expect("valid name")];
    solo.step(report(sa, 1, 60_000));
    assert!(!sends(&solo.arrive("a", None)).is_empty());
}

/// Departure messages stay small: 13 bytes a server, and 0.6 KB at most.
#[test]
fn departures_cost_few_bytes() {
    let secret: Secret = "0123456789abcdef".parse().expect("valid secret");
    let size = |count: u32| {
        let departure = |number: u32| Departure {
            backend: NameHash(u32::MAX - number),
            life: NameHash(u32::MAX - number),
            age: Millis(600_000),
        };
        let frame = Frame {
            from: "other".parse().expect("valid name"),
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
