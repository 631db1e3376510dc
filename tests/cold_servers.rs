//! A cold backend server gets its rate over all boxes together, and no more.

mod harness;

use std::sync::Arc;

use harness::solo::{Solo, caller, sends};
use petreldrum::{
    config::{Backend, Draft, Labels, Profile, Version},
    fleet::Change,
    id::Service,
    reducer::event::{Event, Source},
    unit::{Millis, Rate},
};

const RATE: f64 = 8.0;

/// One cold server with many slots, and a route to it, at a box that has run for a while.
fn solo() -> Solo {
    solo_by(Solo::new)
}

fn solo_by(start: fn(&str) -> Solo) -> Solo {
    let base = "[region perth]\n[route read]\nprefix=/read\nkind=application\nrepeatable=true\n\
        deadline=9s\n[selector all]\n";
    let mut solo = start(&(base.to_owned() + &caller("a", "rate=1000/s")));
    let old = solo.state.config().expect("there is one").clone();
    let profile = Profile {
        cold_rate: Some(Rate(RATE)),
        ..Profile::default()
    };
    let service: Service = "read".parse().expect("a name");
    let config = Draft {
        version: Version(99),
        regions: old.regions.clone(),
        callers: old.callers.clone(),
        routes: old.routes.clone(),
        selectors: old.selectors.clone(),
        profiles: [(service.clone(), profile)].into(),
        ..Draft::default()
    };
    let config = Arc::new(config.finish());
    let source = Source::Store;
    solo.step(Event::Offered { config, source });
    let cold = Backend {
        name: "one".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        region: "perth".parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        serves: vec![service],
        labels: Labels::default(),
        slots: 64,
        price: 0.0,
        leaving: false,
        refusal_header: None,
        cold: Millis(3000),
    };
    solo.step(Event::Fleet(Change::List {
        backends: vec![cold],
        doubt: Millis(0),
    }));
    solo
}

/// Requests that go out within a second when many come.
fn sent(solo: &mut Solo) -> usize {
    let mut count = 0;
    for _ in 0..10 {
        for _ in 0..5 {
            count += sends(&solo.arrive("a", None)).len();
        }
        count += sends(&solo.pass(100)).len();
    }
    count
}

#[test]
fn the_rate_and_no_more() {
    let mut solo = solo();
    for second in 0..3 {
        let count = sent(&mut solo);
        // One request may be saved up.
        assert!(
            (1..=RATE as usize + 1).contains(&count),
            "{count} in second {second}"
        );
    }
    assert!(sent(&mut solo) >= 30, "warm: as many as it has slots");
}

/// Boxes that start together know nobody yet; each would take itself for one of the few that send.
#[test]
fn boxes_that_start_together_keep_the_rate() {
    let mut fresh: Vec<Solo> = (0..26).map(|_| solo_by(Solo::young)).collect();
    let mut count = 0;
    for _ in 0..10 {
        for solo in &mut fresh {
            count += sends(&solo.arrive("a", None)).len();
            count += sends(&solo.pass(100)).len();
        }
    }
    assert!(
        count as f64 <= RATE * 1.5 + 3.0,
        "{count} in the first second"
    );
    fresh[0].pass(2000);
    assert!(sent(&mut fresh[0]) > 0, "later it sends");
}
