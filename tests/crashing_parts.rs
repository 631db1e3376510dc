//! Requests that crash engines by one part of their prompts, under another content each time.
//!
//! Guards against 39 engines that crashed within a minute. No two of the requests were alike, and
//! the boxes judged whole contents alone, so each request was the first of its kind.

mod harness;

use harness::crashes::{ALSO_DEADLY, CONTACT, DEADLY, FIRST_PART, Fleet};
use petreldrum::{
    content::Fingerprint,
    memory::prompt::Part,
    quarantine::HOLD,
    reducer::event::Event,
    unit::{Millis, Time},
};

/// Crashes after which a part must be known.
const KNOWN_AFTER_CRASHES: usize = 5;
/// Requests that may still reach engines once the part must be known at all boxes.
const MAX_LATE_SENDS: usize = 3;
/// Least share of sound requests that are served at the first try, relative to a calm time.
const LEAST_SERVED: f64 = 0.5;
const CALM_MS: u64 = 8000;
const CRASHES_MS: u64 = 40_000;
const BOXES: usize = 9;
const ENGINES: usize = 9;

/// Returns when a deadly part must be known at all boxes.
fn known_at(fleet: &Fleet, part: u64) -> Option<Time> {
    let mut crashes = fleet.crashes.iter().filter(|(_, other)| *other == part);
    let (fifth, _) = crashes.nth(KNOWN_AFTER_CRASHES - 1)?;
    Some(*fifth + CONTACT)
}

/// Checks what reached engines after the parts had to be known, and how sound requests fared.
fn assert_contained(fleet: &Fleet, calm: f64, what: &str) {
    let ended = fleet.crashes.len();
    for part in [DEADLY, ALSO_DEADLY] {
        let Some(known) = known_at(fleet, part) else {
            continue;
        };
        let late = |(at, other): &&(Time, u64)| *other == part && *at > known;
        let late = fleet.deadly_sends.iter().filter(late).count();
        assert!(
            late <= MAX_LATE_SENDS,
            "{what}: {late} late sends, {ended} engines crashed"
        );
    }
    let known = [DEADLY, ALSO_DEADLY].map(|part| known_at(fleet, part));
    let last = fleet.crashes.last().map(|(at, _)| *at + CONTACT);
    let settled = known.into_iter().max().flatten().or(last);
    let settled = settled.unwrap_or(Time(0)) + CONTACT;
    let served = fleet.served_share(FIRST_PART, settled, fleet.crowd.now);
    assert!(
        served >= LEAST_SERVED * calm,
        "{what}: {served:.2} served after {calm:.2}, {ended} engines crashed"
    );
    let refused = fleet.final_refusals.iter().filter(|at| **at > settled);
    assert_eq!(
        refused.count(),
        0,
        "{what}: sound requests that are refused for good"
    );
}

/// Returns boxes and engines after a calm time, and the share of requests served then.
fn calm_fleet(seed: u64) -> (Fleet, f64) {
    let mut fleet = Fleet::new(BOXES, ENGINES, seed);
    let start = fleet.crowd.now;
    fleet.pass(CALM_MS);
    let calm = fleet.served_share(FIRST_PART, start, fleet.crowd.now);
    (fleet, calm)
}

#[test]
fn deadly_part_reaches_few_engines() {
    for rate in [0.5, 2.0, 20.0] {
        for seed in 0..4 {
            let (mut fleet, calm) = calm_fleet(seed);
            fleet.deadly_rate = rate;
            fleet.pass(CRASHES_MS);
            assert_contained(&fleet, calm, &format!("{rate}/s, seed {seed}"));
        }
    }
}

/// Complete answers from before do not protect a part.
#[test]
fn part_turns_deadly() {
    for seed in 0..4 {
        let (mut fleet, calm) = calm_fleet(seed);
        let deadly = std::mem::take(&mut fleet.deadly);
        fleet.deadly_rate = 2.0;
        fleet.pass(CALM_MS);
        assert!(fleet.crashes.is_empty());
        fleet.deadly = deadly;
        fleet.pass(CRASHES_MS);
        assert_contained(&fleet, calm, &format!("seed {seed}"));
    }
}

#[test]
fn two_deadly_parts_are_told_apart() {
    for seed in 0..4 {
        let (mut fleet, calm) = calm_fleet(seed);
        fleet.deadly_asks = vec![DEADLY, ALSO_DEADLY];
        fleet.deadly_rate = 3.0;
        fleet.pass(CRASHES_MS);
        assert_contained(&fleet, calm, &format!("seed {seed}"));
    }
}

/// Other crashes beside the series neither hide its part nor convict another one.
#[test]
fn crashes_by_chance_hide_no_deadly_part() {
    for seed in 0..4 {
        let (mut fleet, calm) = calm_fleet(seed);
        fleet.deadly_rate = 2.0;
        for round in 0..8 {
            fleet.pass(CRASHES_MS / 8);
            fleet.crash(round % ENGINES);
        }
        assert_contained(&fleet, calm, &format!("seed {seed}"));
    }
}

#[test]
fn crashes_by_chance_hold_nothing() {
    for (seed, rate) in [100.0, 300.0].into_iter().cycle().take(8).enumerate() {
        let mut fleet = Fleet::new(BOXES, ENGINES, seed as u64);
        fleet.rate = rate;
        let start = fleet.crowd.now;
        for _ in 0..6 {
            fleet.pass(5000);
            for engine in (0..ENGINES).filter(|engine| engine % 2 == seed % 2) {
                fleet.crash(engine);
            }
        }
        fleet.pass(5000);
        assert!(fleet.holds.is_empty(), "seed {seed}: {:?}", fleet.holds);
        let served = fleet.served_share(FIRST_PART, start, Time(u64::MAX));
        assert!(
            served > 0.8,
            "seed {seed}: {served:.2} served at the first try"
        );
    }
}

/// An operator's pardon at one box lets the part run everywhere, until it crashes engines again.
#[test]
fn pardoned_part_runs_again() {
    let (mut fleet, _) = calm_fleet(0);
    fleet.deadly_rate = 2.0;
    fleet.pass(CRASHES_MS);
    let deadly = std::mem::take(&mut fleet.deadly);
    let held = fleet.deadly_sends.len();
    fleet.pass(CALM_MS);
    assert_eq!(fleet.first_tries_of(DEADLY), 0, "it is held at all boxes");
    let service = "read".parse().expect("valid name");
    let (id, tokens) = (DEADLY, 37);
    let part = Fingerprint::of_part(&service, &Part { id, tokens });
    fleet.step(4, Event::Pardoned(part));
    fleet.pass(2 * CALM_MS);
    let served = fleet.first_tries_of(DEADLY);
    assert!(served > 20, "{served} served");
    fleet.deadly = deadly;
    fleet.pass(CRASHES_MS);
    let since = fleet.crowd.now;
    fleet.pass(CALM_MS);
    assert!(held > 0 && fleet.deadly_sends.iter().all(|(at, _)| *at < since));
}

/// When its quarantine has ended, one crash is enough to hold the part again.
#[test]
fn part_is_held_again_after_one_crash() {
    let (mut fleet, _) = calm_fleet(0);
    fleet.deadly_rate = 2.0;
    fleet.pass(CRASHES_MS);
    fleet.deadly_rate = 0.0;
    fleet.rate = 5.0;
    fleet.pass(HOLD.0);
    let since = fleet.crowd.now;
    fleet.rate = 100.0;
    fleet.deadly_rate = 2.0;
    fleet.pass(CRASHES_MS);
    let late = fleet.deadly_sends.iter().filter(|(at, _)| *at > since);
    let late = late.count();
    assert!((1..=MAX_LATE_SENDS).contains(&late), "{late} late sends");
}

/// Boxes that start when the part is held, and boxes that were cut off meanwhile, learn of it.
#[test]
fn started_and_reconnected_boxes_hold_the_part() {
    for seed in 0..4 {
        let (mut fleet, _) = calm_fleet(seed);
        let cut = (0..BOXES).map(|other| (BOXES - 1, other));
        let cut: Vec<(usize, usize)> = cut.flat_map(|(a, b)| [(a, b), (b, a)]).collect();
        fleet.crowd.cut = cut;
        fleet.deadly_rate = 2.0;
        fleet.pass(CRASHES_MS / 2);
        fleet.deadly_rate = 0.0;
        fleet.pass(CALM_MS);
        fleet.crowd.cut.clear();
        for number in 0..3 {
            fleet.crowd.launch(number);
            fleet.list(number);
        }
        fleet.pass(CONTACT.0);
        let since = fleet.crowd.now;
        fleet.deadly_rate = 2.0;
        fleet.pass(CALM_MS);
        let late = |(at, _): &&(Time, u64)| *at > since + Millis(100);
        let late = fleet.deadly_sends.iter().filter(late).count();
        assert_eq!(late, 0, "seed {seed}");
    }
}
