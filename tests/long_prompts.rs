//! A long prompt is sent to the engine where prefilling it pauses the fewest streams for too long.

mod harness;

use harness::{
    engines::{World, engine, target},
    solo::news,
};
use petreldrum::{fleet::Change, memory::prompt::Part};

fn part(id: u64, tokens: u32) -> Part {
    Part { id, tokens }
}

/// Returns a box with two engines: one runs one long stream, the other five short ones.
fn world() -> World {
    let mut world = World::new(vec![engine("long", "ready", 0)]);
    let sent = world.prompt(&[part(1, 20_000)]);
    assert_eq!(target(&sent[0]), "long");
    let leaving = engine("long", "draining", 0);
    world.step(news(Change::Put(leaving)));
    world.step(news(Change::Put(engine("short", "ready", 0))));
    for id in 10..15 {
        let sent = world.prompt(&[part(id, 300)]);
        assert_eq!(target(&sent[0]), "short");
    }
    // All prompts are prefilled by now, and the streams continue.
    world.pass(500);
    world.step(news(Change::Put(engine("long", "ready", 0))));
    world
}

#[test]
fn one_long_stream_counts_more_than_few_short_ones() {
    let sent = world().prompt(&[part(2, 30_000)]);
    assert_eq!(target(&sent[0]), "short");
}

#[test]
fn a_short_reading_holds_up_nobody() {
    let sent = world().prompt(&[part(2, 3000)]);
    assert_eq!(sent[0].basis.burden.0, 0, "60 ms does not count as a pause");
}

#[test]
fn prompts_at_once_are_spread() {
    let engines = ["a", "b", "c"].map(|name| engine(name, "ready", 0));
    let mut world = World::new(engines.to_vec());
    let mut used: Vec<String> = (0..3)
        .map(|id| target(&world.prompt(&[part(id, 20_000)])[0]).to_owned())
        .collect();
    used.sort();
    assert_eq!(used, ["a", "b", "c"]);
}

#[test]
fn ended_streams_are_forgotten() {
    let mut world = world();
    world.pass(20_000);
    let sent = world.prompt(&[part(2, 30_000)]);
    assert_eq!(target(&sent[0]), "long", "the other engine is still busy");
}
