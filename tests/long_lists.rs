//! Engines that list more parts than they can hold.

mod harness;

use std::time::{Duration, Instant};

use harness::engines::{TELLING, World, engine};
use petreldrum::{
    id,
    memory::{prompt::Part, report::Report},
    reducer::event::Event,
};

/// Parts in a list of 2 MB, the longest that is read.
const PARTS: u64 = 60_000;
/// Longest time for which a box may do nothing else; others count it as dead after some heartbeats.
const MAX_TIME: Duration = Duration::from_secs(1);

/// Guards against parts of equal age, none of which were dropped while all were sorted for each
/// further one.
#[test]
fn lists_of_faulty_engines_hold_up_no_box() {
    let mut world = World::with("box", TELLING, vec![engine("i-1", "ready", 0)]);
    world.asked(3000);
    let parts = (0..PARTS).map(|id| Part { id, tokens: 1600 });
    let parts: Vec<Part> = parts.collect();
    let backend: id::Backend = "i-1".parse().expect("a name");
    let events = [
        Event::EngineReport {
            backend: backend.clone(),
            incarnation: engine("i-1", "ready", 0).incarnation,
            news: Report::All(parts.clone()),
        },
        Event::Inventory { backend, parts },
    ];
    for event in events {
        let started = Instant::now();
        let kind = format!("{event:?}")[..12].to_owned();
        world.step(event);
        let took = started.elapsed();
        assert!(took < MAX_TIME, "{kind}: {took:?}");
    }
}
