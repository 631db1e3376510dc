//! Before thousands of backend servers a request looks at a few first, and at all where those would not do.

mod harness;

use std::collections::BTreeSet;

use harness::{
    engines::{SHARED, World, engine, target},
    solo::{news, sends},
};
use petreldrum::{
    config::Backend,
    fleet::Change,
    memory::prompt::Part,
    reducer::{
        effect::Send,
        event::{Cause, Event},
    },
    verdict::Verdict,
};

/// What the fleet's largest region has.
const MANY: usize = 4328;

fn engines(count: usize) -> Vec<Backend> {
    let name = |number: usize| format!("i-{:010x}", number * 0x9e37_79b9);
    (0..count).map(|n| engine(&name(n), "ready", 0)).collect()
}

fn short(number: u64) -> Part {
    let id = 1000 + number;
    Part { id, tokens: 300 }
}

fn targets(sent: &[Send]) -> BTreeSet<String> {
    sent.iter().map(|send| target(send).to_owned()).collect()
}

fn short_ones(world: &mut World, count: u64) -> BTreeSet<String> {
    let sent = (0..count).flat_map(|number| world.prompt(&[short(number)]));
    targets(&sent.collect::<Vec<_>>())
}

fn leave(world: &mut World, names: &BTreeSet<String>) {
    for name in names {
        world.step(news(Change::Put(engine(name, "draining", 0))));
    }
}

/// A box of 984 sends one to three requests a second to 4,328 engines, and met another one with each: a new
/// channel a request, 5,900 for 6,357 requests.
#[test]
fn short_requests_keep_to_a_few() {
    let mut world = World::new(engines(MANY));
    let used = short_ones(&mut world, 200);
    assert!((4..=16).contains(&used.len()), "{} engines", used.len());
}

/// Boxes that know nothing of each other read a long part at the same few engines.
#[test]
fn boxes_choose_the_same_owners() {
    let mut used = BTreeSet::new();
    for number in 0..20 {
        let mut world = World::at(&format!("box-{number}"), engines(MANY));
        let sent = world.prompt(&[SHARED, short(number)]);
        used.extend(targets(&sent));
    }
    assert!(used.len() <= 4, "{used:?}");
}

/// Boxes use different engines for what is short, so that none gets all of it.
#[test]
fn boxes_choose_different_ones_for_the_short() {
    let mut used = BTreeSet::new();
    for number in 0..20 {
        let mut world = World::at(&format!("box-{number}"), engines(MANY));
        used.extend(short_ones(&mut world, 32));
    }
    assert!(used.len() >= 160, "{} engines", used.len());
}

/// Whatever becomes of the few, the next request goes to another server at once: none waits or is refused while
/// 4,000 stand idle.
#[test]
fn others_take_the_place_of_those_that_leave() {
    let mut world = World::new(engines(MANY));
    let first = short_ones(&mut world, 100);
    leave(&mut world, &first);
    let then = short_ones(&mut world, 100);
    assert!(first.is_disjoint(&then));
    assert!(then.len() <= 16, "{} engines", then.len());
}

#[test]
fn a_burst_goes_beyond_the_few() {
    let mut world = World::new(engines(MANY));
    // 64 slots at each of 16 engines.
    let sent: Vec<Send> = (0..2000).flat_map(|n| world.prompt(&[short(n)])).collect();
    assert_eq!(sent.len(), 2000, "nobody waits");
    assert!(targets(&sent).len() > 16);
}

#[test]
fn failures_lead_beyond_the_few() {
    let mut world = World::new(engines(MANY));
    let few = short_ones(&mut world, 100);
    let mut failed = BTreeSet::new();
    for number in 0..400 {
        for send in world.prompt(&[short(number)]) {
            if !few.contains(target(&send)) {
                return;
            }
            failed.insert(target(&send).to_owned());
            let (request, attempt) = (send.request, send.attempt);
            let again = world.step(Event::Failed {
                request,
                attempt,
                verdict: Verdict::NotRun,
                cause: Cause::Unreachable,
            });
            if sends(&again).iter().any(|s| !few.contains(target(s))) {
                return;
            }
        }
    }
    panic!("only {failed:?} were tried");
}

#[test]
fn a_small_region_is_looked_at_whole() {
    let mut world = World::new(engines(60));
    let used = short_ones(&mut world, 200);
    assert_eq!(used.len(), 60);
}
