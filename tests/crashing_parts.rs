//! Requests that crash engines by one part of their prompts, under another content each time.
//!
//! Guards against 39 engines that crashed within a minute. No two of the requests were alike, and
//! the boxes judged whole contents alone, so each request was the first of its kind.

mod harness;

use harness::crashes::{CONTACT, DEADLY, Fleet};
use petreldrum::unit::{Millis, Time};

/// Crashes after which the part must be known.
const KNOWN_AFTER_CRASHES: usize = 5;
/// Requests that may still reach engines once the part must be known at all boxes.
const MAX_LATE_SENDS: usize = 3;
/// Least share of sound requests that are served at the first try, relative to a calm time.
const LEAST_SERVED: f64 = 0.5;
const CRASHES_MS: u64 = 40_000;

/// Lets requests with a deadly part come for a while, and checks what reached engines since the part
/// must be known, and how sound requests fared.
fn assert_contained(mut fleet: Fleet, what: &str) {
    let start = fleet.crowd.now;
    fleet.pass(5000);
    let calm = fleet.served_share(DEADLY[0], start, fleet.crowd.now);
    fleet.deadly_rate = 2.0;
    fleet.pass(CRASHES_MS);
    let ended = fleet.crashes.len();
    let known = fleet.crashes.get(KNOWN_AFTER_CRASHES - 1).copied();
    if let Some(fifth) = known {
        let late = fleet
            .deadly_sends
            .iter()
            .filter(|at| **at > fifth + CONTACT);
        let late = late.count();
        assert!(
            late <= MAX_LATE_SENDS,
            "{what}: {late} late sends, {ended} engines crashed"
        );
    }
    let last = known.or(fleet.crashes.last().copied()).unwrap_or(start);
    let settled = last + Millis(2 * CONTACT.0);
    let served = fleet.served_share(DEADLY[0], settled, fleet.crowd.now);
    assert!(
        served >= LEAST_SERVED * calm,
        "{what}: {served:.2} served after {calm:.2}, {ended} engines crashed"
    );
    let refused = fleet
        .final_refusals
        .iter()
        .filter(|at| **at > settled)
        .count();
    assert_eq!(
        refused, 0,
        "{what}: sound requests that are refused for good"
    );
}

#[test]
fn deadly_part_reaches_few_engines() {
    for seed in 0..8 {
        assert_contained(Fleet::new(9, 9, seed), &format!("seed {seed}"));
    }
}

/// Waves of crashes without a deadly part.
#[test]
fn crashes_by_chance_hold_nothing() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(9, 9, seed);
        let start = fleet.crowd.now;
        for _ in 0..6 {
            fleet.pass(5000);
            for engine in (0..9).filter(|engine| engine % 2 == seed as usize % 2) {
                fleet.crash(engine);
            }
        }
        fleet.pass(5000);
        assert!(fleet.holds.is_empty(), "seed {seed}: {:?}", fleet.holds);
        let served = fleet.served_share(DEADLY[0], start, Time(u64::MAX));
        assert!(
            served > 0.8,
            "seed {seed}: {served:.2} served at the first try"
        );
    }
}
