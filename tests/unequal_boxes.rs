//! Boxes of unequal capacity: look-ups, doors and duties are distributed by the weight of a box.

mod harness;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use harness::{
    crowd::{Crowd, contact, name},
    solo::{BASE, Solo, caller, server},
};
use petreldrum::{
    config::{Builder, Version},
    fleet::Revision,
    id::{self, Incarnation},
    member::{MIN_HEARTBEAT_PERIOD, Table},
    reducer::{effect::Effect, event::Event},
    size::{Room, Weight},
    unit::{Millis, Time},
    wire::{Body, Digest, Frame, Heartbeat, Phase},
};

/// Number of boxes of the region, in two failure domains of thirteen.
const BOXES: usize = 26;
const LARGE: u16 = 200;
const MIDDLE: u16 = 100;
const SMALL: u16 = 36;

/// Weights by which each failure domain has 2 large, 8 small and 3 middle-sized boxes.
fn mixed(number: usize) -> u16 {
    match number / 2 {
        0..2 => LARGE,
        2..10 => SMALL,
        _ => MIDDLE,
    }
}

/// Weights by which all boxes of one failure domain are large and all others small.
fn one_sided(number: usize) -> u16 {
    if number.is_multiple_of(2) {
        LARGE
    } else {
        SMALL
    }
}

fn set_weight(crowd: &mut Crowd, number: usize, weight: u16) {
    crowd.step(number, Event::WeightChanged(Weight::new(weight)));
}

fn crowd(weight: impl Fn(usize) -> u16) -> Crowd {
    let mut crowd = Crowd::in_one_region(BOXES, Builder::default().build().into());
    for number in 0..BOXES {
        set_weight(&mut crowd, number, weight(number));
    }
    crowd.pass(12_000);
    crowd
}

/// Returns the share of callers that each box gets if look-ups are spread evenly over all live
/// boxes.
fn shares(crowd: &mut Crowd) -> BTreeMap<String, f64> {
    let live: Vec<usize> = (0..BOXES).filter(|n| crowd.boxes[*n].is_some()).collect();
    let mut shares = BTreeMap::new();
    for number in &live {
        let named = crowd.named(*number);
        assert!((1..=64).contains(&named.len()), "{} addresses", named.len());
        for name in &named {
            let share = 1.0 / (named.len() * live.len()) as f64;
            *shares.entry(name.clone()).or_default() += share;
        }
    }
    shares
}

/// Checks that each class of live boxes gets callers within a tenth of its share of the weight.
fn assert_shares_follow_weights(crowd: &mut Crowd, weight: impl Fn(usize) -> u16) {
    let live: Vec<usize> = (0..BOXES).filter(|n| crowd.boxes[*n].is_some()).collect();
    let all: f64 = live.iter().map(|n| f64::from(weight(*n))).sum();
    let shares = shares(crowd);
    for class in [LARGE, SMALL, MIDDLE] {
        let mut numbers = live.clone();
        numbers.retain(|n| weight(*n) == class);
        let expected = numbers.len() as f64 * f64::from(class) / all;
        let share: f64 = numbers.iter().map(|n| shares[&name(*n)]).sum();
        assert!(
            (share - expected).abs() <= expected / 10.0,
            "{class}: {share} of {expected}"
        );
    }
}

#[test]
fn callers_follow_weights() {
    assert_shares_follow_weights(&mut crowd(mixed), mixed);
}

/// Returns sender, recipient and kind of a message between boxes.
fn gossip(from: usize, effect: Effect) -> Option<(usize, SocketAddr, &'static str)> {
    match effect {
        Effect::Gossip { to, frame } => Some((from, to, frame.body.kind())),
        _ => None,
    }
}

#[test]
fn equal_sizes_change_nothing() {
    let mut silent = Crowd::in_three_regions(60, Builder::default().build().into());
    let mut equal = Crowd::in_three_regions(60, Builder::default().build().into());
    for number in 0..60 {
        set_weight(&mut equal, number, SMALL);
    }
    let messages = |crowd: &mut Crowd| -> Vec<_> {
        crowd.now = crowd.now + Millis(100);
        let effects = crowd.tick().into_iter();
        let mut messages: Vec<_> = effects
            .filter_map(|(from, effect)| gossip(from, effect))
            .collect();
        messages.sort();
        messages
    };
    // A box of the crowd has sent messages before its weight is set, and sends more when it is set.
    silent.pass(1000);
    equal.pass(1000);
    for tick in 0..150 {
        let same = messages(&mut silent) == messages(&mut equal);
        assert!(same, "messages differ in tick {tick}");
    }
    for number in 0..60 {
        assert_eq!(silent.named(number), equal.named(number));
    }
}

#[test]
fn size_changes() {
    let mut crowd = crowd(|_| SMALL);
    assert_eq!(crowd.named(1).len(), BOXES, "each box once");
    for number in 0..BOXES {
        set_weight(&mut crowd, number, mixed(number));
    }
    crowd.pass(200);
    assert_shares_follow_weights(&mut crowd, mixed);
}

#[test]
fn half_of_the_fleet_is_replaced() {
    let mut crowd = crowd(|_| SMALL);
    for number in (0..BOXES).step_by(2) {
        crowd.launch(number);
        set_weight(&mut crowd, number, LARGE);
        crowd.pass(100);
        let asked = (1..BOXES).step_by(2);
        let named: Vec<Vec<String>> = asked.map(|n| crowd.named(n)).collect();
        let known: BTreeSet<&String> = named.iter().flatten().collect();
        let stay = (1..BOXES).step_by(2).all(|n| known.contains(&name(n)));
        assert!(stay, "a box that was not replaced gets no callers");
        let names_half = named
            .iter()
            .all(|n| n.iter().collect::<BTreeSet<_>>().len() >= BOXES / 2);
        assert!(names_half, "a look-up names fewer than half of the boxes");
    }
    crowd.pass(12_000);
    assert_shares_follow_weights(&mut crowd, one_sided);
}

#[test]
fn the_domain_of_the_large_is_lost() {
    let mut crowd = crowd(one_sided);
    let known: BTreeSet<String> = crowd.named(1).into_iter().collect();
    let small = (1..BOXES).step_by(2).filter(|n| known.contains(&name(*n)));
    assert!(
        small.count() >= 10,
        "look-ups name too few boxes of the other domain"
    );
    (0..BOXES).step_by(2).for_each(|n| crowd.boxes[n] = None);
    crowd.pass(8000);
    let shares: Vec<f64> = shares(&mut crowd).into_values().collect();
    assert_eq!(shares.len(), 13, "live boxes: {shares:?}");
    assert!(shares.iter().all(|share| (share - 1.0 / 13.0).abs() < 1e-9));
}

#[test]
fn a_giant_hides_nobody() {
    let giant = |n: usize| if n == 0 { 20_000 } else { 4 };
    let mut crowd = crowd(giant);
    for number in 0..BOXES {
        assert_eq!(BTreeSet::from_iter(crowd.named(number)).len(), BOXES);
    }
}

#[test]
fn monitors_and_hubs_are_seldom_small() {
    let mut crowd = crowd(mixed);
    let (mut heard, mut tallies) = ([0.0; BOXES], [0.0; BOXES]);
    for _ in 0..50 {
        crowd.now = crowd.now + Millis(100);
        for (_, effect) in crowd.tick() {
            let Effect::Gossip { to, frame } = effect else {
                continue;
            };
            let number = crowd.by_gossip(to).expect("the recipient is a box");
            match &frame.body {
                Body::Heartbeat(heartbeat) if heartbeat.pace == MIN_HEARTBEAT_PERIOD => {
                    heard[number] += 1.0
                }
                Body::Tally(_) => tallies[number] += 1.0,
                _ => {}
            }
        }
    }
    let expected = 16.0 * f64::from(SMALL) / (0..BOXES).map(|n| f64::from(mixed(n))).sum::<f64>();
    let small = |load: &[f64; BOXES]| {
        let of_small = (0..BOXES).filter(|n| mixed(*n) == SMALL).map(|n| load[n]);
        of_small.sum::<f64>() / load.iter().sum::<f64>().max(1.0)
    };
    assert!(heard.iter().sum::<f64>() > 0.0);
    assert!(
        small(&heard) <= 1.25 * expected,
        "{} of {expected}",
        small(&heard)
    );
    assert!(
        small(&tallies) <= 1.25 * expected,
        "{} of {expected}",
        small(&tallies)
    );
}

/// Heartbeat of a box of the region.
fn heartbeat(number: usize, busy: u32, room: Room) -> Heartbeat {
    Heartbeat {
        contact: contact(&name(number), "perth", 1000 + 10 * number as u16),
        uptime: Time(9000),
        version: Version(1),
        revision: Revision::first(0),
        phase: Phase::Ready,
        pace: MIN_HEARTBEAT_PERIOD,
        boxes: BOXES as u32 - 1,
        busy,
        loads: vec![],
        listed: vec![],
        uses: vec![],
        trials: vec![],
        held: vec![],
        limits: vec![],
        departures: vec![],
        room,
        store_age: Default::default(),
        path_lost: Default::default(),
        heard: Default::default(),
        brittle: Default::default(),
        cold: Default::default(),
    }
}

fn room(weight: u16) -> Room {
    Room {
        weight: Weight::new(weight),
        full: false,
    }
}

/// Returns the member table of the box `number`.
fn table(number: usize, weight: impl Fn(usize) -> u16) -> Table {
    let mut table = Table::new(heartbeat(number, 0, room(0)).contact, Incarnation(1));
    table.room = room(weight(number));
    for other in (0..BOXES).filter(|n| *n != number) {
        table.apply_heartbeat(
            Incarnation(1),
            heartbeat(other, 0, room(weight(other))),
            Time(0),
        );
    }
    table
}

/// Returns the share of many duties that the box `number` has.
fn duties(number: usize, weight: impl Fn(usize) -> u16) -> f64 {
    const DUTIES: usize = 4000;
    let table = table(number, weight);
    let leads = (0..DUTIES).filter(|duty| table.leads(&format!("duty-{duty}"), Time(0)));
    leads.count() as f64 / DUTIES as f64
}

#[test]
fn duties_follow_weights() {
    let all: f64 = (0..BOXES).map(|n| f64::from(mixed(n))).sum();
    let shares: Vec<f64> = (0..BOXES).map(|n| duties(n, mixed)).collect();
    assert!(
        (shares.iter().sum::<f64>() - 1.0).abs() < 1e-9,
        "each duty has exactly one owner"
    );
    for class in [LARGE, SMALL, MIDDLE] {
        let numbers: Vec<usize> = (0..BOXES).filter(|n| mixed(*n) == class).collect();
        let expected = numbers.len() as f64 * f64::from(class) / all;
        let share: f64 = numbers.iter().map(|n| shares[*n]).sum();
        assert!(
            (share - expected).abs() <= expected / 5.0,
            "{class}: {share} of {expected}"
        );
    }
}

/// Shares of cold servers' rates and of limits must add up, whatever weights the boxes know, so
/// they go by the number of boxes.
#[test]
fn shares_go_by_count() {
    let standing = |weight: &dyn Fn(usize) -> u16| {
        let table = table(0, weight);
        table.rank_among_active("service", |_| Millis(0), Time(0))
    };
    assert_eq!(standing(&mixed), standing(&|_| 0));
}

/// Boxes that do not know weights choose owners by name. As long as one box sends no weight, all
/// boxes must choose so, to agree on the owner.
#[test]
fn one_silent_box_keeps_duties_as_they_were() {
    let silent = |n: usize| if n == 5 { 0 } else { mixed(n) };
    for number in 0..BOXES {
        assert_eq!(duties(number, silent), duties(number, |_| 0));
    }
}

#[test]
fn nonsense_is_as_silence() {
    for number in [0, 1, 3, 25_601, u16::MAX] {
        assert_eq!(Weight::new(number), None);
        let encoded = postcard::to_stdvec(&(number, true)).expect("the message can be encoded");
        let read: Room = postcard::from_bytes(&encoded).expect("the message can be decoded");
        assert_eq!(
            read,
            Room {
                weight: None,
                full: true
            }
        );
    }
    let mut crowd_with_invalid = crowd(|n| if n == 3 { 1 } else { mixed(n) });
    let shares = shares(&mut crowd_with_invalid);
    let (valid, invalid) = (shares[&name(4)], shares[&name(3)]);
    assert!((invalid - valid).abs() <= valid / 2.0, "{invalid}, {valid}");
}

#[test]
fn old_messages_read() {
    let announced = heartbeat(1, 3, room(SMALL));
    let new = postcard::to_stdvec(&announced).expect("the message can be encoded");
    // The capacity and the revision heard of take two bytes each where they are unset, the age of the
    // store, the path and the lists of brittle and of cold servers one each.
    let sizes = [
        (8, Room::default()),
        (6, room(SMALL)),
        (5, room(SMALL)),
        (4, room(SMALL)),
        (2, room(SMALL)),
        (1, room(SMALL)),
    ];
    for (missing, room) in sizes {
        let old = &new[..new.len() - missing];
        let read: Heartbeat = postcard::from_bytes(old).expect("the old format can be decoded");
        assert_eq!(
            read,
            heartbeat(1, 3, room),
            "without the last {missing} bytes"
        );
    }
    // Unknown trailing fields are ignored, as older boxes ignore the weight.
    let newer: Vec<u8> = new.iter().copied().chain([7, 7]).collect();
    assert_eq!(postcard::from_bytes::<Heartbeat>(&newer), Ok(announced));
}

/// Delivers heartbeats of four large boxes that have `busy` requests in flight each.
fn hear_large_boxes(solo: &mut Solo, seq: u64, busy: u32, full: bool) {
    for number in 1..5 {
        let announced = Room {
            full,
            ..room(LARGE)
        };
        let frame = Frame {
            from: name(number).parse().expect("valid name"),
            incarnation: Incarnation(1),
            seq,
            body: Body::Heartbeat(Box::new(heartbeat(number, busy, announced))),
        };
        solo.step(Event::Received(frame));
    }
}

fn announced_rooms(effects: &[Effect]) -> Vec<Room> {
    let room = |effect: &Effect| match effect {
        Effect::Gossip { frame, .. } => match &frame.body {
            Body::Heartbeat(heartbeat) => Some(heartbeat.room),
            _ => None,
        },
        _ => None,
    };
    effects.iter().filter_map(room).collect()
}

fn named(solo: &mut Solo) -> Vec<String> {
    let effects = solo.step(Event::Resolve {
        request: id::Request(900),
        region: "perth".parse().expect("valid name"),
        host: None,
    });
    let boxes = effects.into_iter().find_map(|effect| match effect {
        Effect::Boxes { boxes, .. } => Some(boxes),
        _ => None,
    });
    let boxes = boxes.expect("the look-up is answered").into_iter();
    boxes.map(|entry| entry.contact.name.to_string()).collect()
}

fn small() -> Solo {
    let selector = "[selector all]\n";
    let text = format!(
        "{BASE}{selector}{}{}",
        caller("a", ""),
        server("s1", "perth", 60)
    );
    let mut solo = Solo::new(&text);
    solo.step(Event::WeightChanged(Weight::new(SMALL)));
    hear_large_boxes(&mut solo, 1, 20, false);
    solo
}

#[test]
fn a_full_box_leaves_look_ups_and_returns() {
    let mut solo = small();
    let mut sent = Vec::new();
    for _ in 0..16 {
        sent.extend(harness::solo::sends(&solo.arrive("a", None)));
    }
    assert_eq!(
        sent.len(),
        16,
        "{:?}",
        harness::solo::replies(&solo.arrive("a", None))
    );
    let announced = announced_rooms(&solo.pass(100));
    assert!(
        !announced.is_empty() && announced.iter().all(|room| room.full),
        "the box did not announce at once that it is full: {announced:?}"
    );
    assert!(!named(&mut solo).contains(&"box".to_owned()));
    for send in &sent {
        solo.ended(send);
    }
    solo.now = solo.now + Millis(2900);
    hear_large_boxes(&mut solo, 2, 20, false);
    let announced = announced_rooms(&solo.pass(200));
    assert!(
        announced.iter().any(|room| !room.full),
        "the box did not announce that it has room again: {announced:?}"
    );
    assert!(named(&mut solo).contains(&"box".to_owned()));
}

#[test]
fn never_all_are_full() {
    let mut solo = small();
    hear_large_boxes(&mut solo, 2, 20, true);
    let named = BTreeSet::from_iter(named(&mut solo));
    assert_eq!(
        named.len(),
        5,
        "full boxes are named if all are full: {named:?}"
    );
}

#[test]
fn doors_are_those_with_room() {
    let mut crowd = Crowd::in_three_regions(78, Builder::default().build().into());
    let weight = |n: usize| mixed(n / 3);
    for number in 0..78 {
        set_weight(&mut crowd, number, weight(number));
    }
    crowd.pass(15_000);
    let mut seen = 0;
    for _ in 0..30 {
        crowd.pass(100);
        for (_, frame) in &crowd.mail {
            if let Body::Digest(Digest {
                endpoints: doors, ..
            }) = &frame.body
            {
                let numbers = doors
                    .iter()
                    .filter_map(|d| crowd.by_gossip(d.contact.gossip));
                assert!(numbers.clone().all(|n| weight(n) == LARGE), "{doors:?}");
                seen += numbers.count();
            }
        }
    }
    assert!(seen > 0);
}
