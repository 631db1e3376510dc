//! An engine fetches parts of a prompt from another engine that holds them where that is faster
//! than reading them.

mod harness;

use std::collections::BTreeSet;

use harness::{
    engines::{SHARED, World, engine, life, target},
    solo::{evacuated, news},
};
use petreldrum::{
    config::Backend,
    fleet::Change,
    memory::prompt::Part,
    reducer::{
        effect::{Send, Target},
        event::Event,
    },
};

fn own(id: u64) -> Part {
    Part { id, tokens: 500 }
}

/// Returns an engine with an address of its own.
fn engine_at(name: &str, port: u16) -> Backend {
    Backend {
        address: ([10, 0, 0, 1], port).into(),
        ..engine(name, "ready", 0)
    }
}

fn three_engines() -> Vec<Backend> {
    vec![engine_at("a", 1), engine_at("b", 2), engine_at("c", 3)]
}

/// Keeps `name` busy reading for seconds, so that other prompts go elsewhere.
fn occupy(world: &mut World, name: &str) {
    let others: Vec<Backend> = three_engines()
        .into_iter()
        .filter(|b| b.name.as_str() != name)
        .collect();
    for other in &others {
        let leaving = Backend {
            leaving: true,
            ..other.clone()
        };
        world.step(news(Change::Put(leaving)));
    }
    let long = Part {
        id: 99,
        tokens: 100_000,
    };
    assert_eq!(target(&world.prompt(&[long])[0]), name);
    for other in others {
        world.step(news(Change::Put(other)));
    }
}

/// Returns a world in which `a` holds the shared part and reads something else.
fn busy_holder(mut world: World) -> World {
    world.asked(500);
    world.told("a", vec![SHARED]);
    occupy(&mut world, "a");
    world
}

fn address(send: &Send) -> std::net::SocketAddr {
    match &send.target {
        Target::Backend { address, .. } => *address,
        other => panic!("not an engine: {other:?}"),
    }
}

#[test]
fn another_engine_fetches_from_a_busy_holder() {
    let mut world = busy_holder(World::moving(three_engines()));
    let send = world.prompt(&[SHARED, own(1)]).remove(0);
    assert_ne!(target(&send), "a");
    assert_eq!(send.fetch, Some(engine_at("a", 1).address));
    assert_eq!(
        (send.basis.unread, send.basis.fetched),
        (500, SHARED.tokens)
    );
}

#[test]
fn nothing_is_fetched_where_engines_do_not_support_it() {
    let mut world = busy_holder(World::new(three_engines()));
    let send = world.prompt(&[SHARED, own(1)]).remove(0);
    assert_eq!(send.fetch, None);
}

#[test]
fn the_holder_itself_fetches_nothing() {
    let mut world = World::moving(three_engines());
    world.asked(500);
    world.told("b", vec![SHARED]);
    let send = world.prompt(&[SHARED, own(1)]).remove(0);
    assert_eq!((target(&send), send.fetch), ("b", None));
}

// A source that leaves, is cold, is under evacuation or has another release must not be used.
#[test]
fn nothing_is_fetched_from_a_holder_that_may_not_serve() {
    let changes = [
        Change::Put(Backend {
            leaving: true,
            ..engine_at("a", 1)
        }),
        Change::Put(Backend {
            release: Some("v2".parse().expect("valid release")),
            ..engine_at("a", 1)
        }),
        Change::Put(engine("a", "ready", 60_000)),
    ];
    for change in changes {
        let mut world = busy_holder(World::moving(three_engines()));
        world.step(news(change.clone()));
        let send = world.prompt(&[SHARED, own(1)]).remove(0);
        assert_eq!(send.fetch, None, "{change:?}");
    }
}

// An engine that restarted under the same name or address holds nothing of its former incarnation.
#[test]
fn nothing_is_fetched_from_a_new_incarnation() {
    let mut world = busy_holder(World::moving(three_engines()));
    let again = Backend {
        address: engine_at("a", 1).address,
        ..life("a", "ready", 0, 7)
    };
    world.step(news(Change::Put(again)));
    let send = world.prompt(&[SHARED, own(1)]).remove(0);
    assert_eq!(send.fetch, None);
}

#[test]
fn nothing_is_fetched_from_engines_under_evacuation() {
    let mut world = busy_holder(World::moving(three_engines()));
    let elsewhere = Backend {
        domain: "mcn-a".parse().expect("valid name"),
        ..engine_at("b", 2)
    };
    world.step(news(Change::Put(elsewhere)));
    let domain = "atl-a".parse().expect("valid name");
    world.step(evacuated([domain].into()));
    let sent = world.prompt(&[SHARED, own(1)]);
    assert!(sent.iter().all(|send| send.fetch.is_none()));
}

// If all requests for one part used one source, they would queue at that engine's link.
#[test]
fn requests_for_one_part_are_spread_over_its_holders() {
    let engines: Vec<Backend> = (0..6)
        .map(|n| engine_at(&format!("e{n}"), 10 + n))
        .collect();
    let mut world = World::moving(engines.clone());
    world.asked(500);
    for holder in &engines[..3] {
        world.told(holder.name.as_str(), vec![SHARED]);
    }
    let mut sources = BTreeSet::new();
    for draw in 0..300_u64 {
        let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        for send in world.drawn(&[SHARED, own(draw)], draw) {
            assert_ne!(send.fetch, Some(address(&send)), "never from itself");
            sources.extend(send.fetch);
        }
    }
    assert!(sources.len() >= 3, "{sources:?}");
}

/// Sends prompts of 8 shared parts in batches of 12 to three engines; returns the shared tokens
/// that are read.
fn shared_tokens_read(mut world: World) -> u64 {
    let mut read = 0;
    let mut running = Vec::new();
    for number in 0..300_u64 {
        let draw = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let part = Part {
            id: 100 + (draw >> 32) % 8,
            tokens: 12_000,
        };
        let own = Part {
            id: 1000 + number,
            tokens: 6000,
        };
        for send in world.drawn(&[part, own], draw) {
            read += u64::from(send.basis.unread.saturating_sub(own.tokens));
            let (request, attempt) = (send.request, send.attempt);
            running.push(Event::Begun { request, attempt });
            running.push(Event::Ended {
                request,
                attempt,
                whole: true,
                timing: Default::default(),
            });
        }
        if number % 12 == 11 {
            world.pass(1000);
            for event in running.drain(..) {
                world.step(event);
            }
        }
    }
    read
}

#[test]
fn fetches_halve_the_shared_tokens_read() {
    let (with, without) = (
        shared_tokens_read(World::moving(three_engines())),
        shared_tokens_read(World::new(three_engines())),
    );
    println!("shared tokens read: {with} with fetches, {without} without");
    assert!(with * 2 <= without, "{with} with, {without} without");
}
