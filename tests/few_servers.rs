//! With thousands of backend servers a request considers a few first, and all of them where those
//! do not suffice.

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

/// Number of engines in the fleet's largest region.
const FLEET_ENGINES: usize = 4328;

fn engines(count: usize) -> Vec<Backend> {
    let name = |number: usize| format!("i-{:010x}", number * 0x9e37_79b9);
    (0..count).map(|n| engine(&name(n), "ready", 0)).collect()
}

fn short_part(number: u64) -> Part {
    let id = 1000 + number;
    Part { id, tokens: 300 }
}

fn targets(sent: &[Send]) -> BTreeSet<String> {
    sent.iter().map(|send| target(send).to_owned()).collect()
}

fn engines_for_short_prompts(world: &mut World, count: u64) -> BTreeSet<String> {
    let sent = (0..count).flat_map(|number| world.prompt(&[short_part(number)]));
    targets(&sent.collect::<Vec<_>>())
}

fn drain(world: &mut World, names: &BTreeSet<String>) {
    for name in names {
        world.step(news(Change::Put(engine(name, "draining", 0))));
    }
}

/// Guards against a new channel for almost every request: each of 984 boxes sends one to three
/// requests a second to 4,328 engines, and used another engine for each: 5,900 channels for 6,357
/// requests.
#[test]
fn short_requests_use_few_engines() {
    let mut world = World::new(engines(FLEET_ENGINES));
    let used = engines_for_short_prompts(&mut world, 200);
    assert!((4..=16).contains(&used.len()), "{} engines", used.len());
}

/// Boxes that share no state read a long part at the same few engines.
#[test]
fn boxes_choose_the_same_owners() {
    let mut used = BTreeSet::new();
    for number in 0..20 {
        let mut world = World::at(&format!("box-{number}"), engines(FLEET_ENGINES));
        let sent = world.prompt(&[SHARED, short_part(number)]);
        used.extend(targets(&sent));
    }
    assert!(used.len() <= 4, "{used:?}");
}

/// Boxes use different engines for short prompts, so that no engine gets all of them.
#[test]
fn boxes_choose_different_engines_for_short_prompts() {
    let mut used = BTreeSet::new();
    for number in 0..20 {
        let mut world = World::at(&format!("box-{number}"), engines(FLEET_ENGINES));
        used.extend(engines_for_short_prompts(&mut world, 32));
    }
    assert!(used.len() >= 160, "{} engines", used.len());
}

/// Whatever happens to the preferred engines, the next request goes to another one at once: none
/// waits or is refused while 4,000 are idle.
#[test]
fn leaving_engines_are_replaced() {
    let mut world = World::new(engines(FLEET_ENGINES));
    let before = engines_for_short_prompts(&mut world, 100);
    drain(&mut world, &before);
    let after = engines_for_short_prompts(&mut world, 100);
    assert!(before.is_disjoint(&after));
    assert!(after.len() <= 16, "{} engines", after.len());
}

#[test]
fn burst_uses_more_than_the_preferred_engines() {
    let mut world = World::new(engines(FLEET_ENGINES));
    // 64 slots at each of 16 engines.
    let sent: Vec<Send> = (0..2000)
        .flat_map(|n| world.prompt(&[short_part(n)]))
        .collect();
    assert_eq!(sent.len(), 2000, "no request waits");
    assert!(targets(&sent).len() > 16);
}

#[test]
fn failures_lead_to_other_engines() {
    let mut world = World::new(engines(FLEET_ENGINES));
    let preferred = engines_for_short_prompts(&mut world, 100);
    let mut failed = BTreeSet::new();
    for number in 0..400 {
        for send in world.prompt(&[short_part(number)]) {
            if !preferred.contains(target(&send)) {
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
            if sends(&again).iter().any(|s| !preferred.contains(target(s))) {
                return;
            }
        }
    }
    panic!("only {failed:?} were tried");
}

#[test]
fn small_region_is_used_whole() {
    let mut world = World::new(engines(60));
    let used = engines_for_short_prompts(&mut world, 200);
    assert_eq!(used.len(), 60);
}
