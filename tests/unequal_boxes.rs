//! Boxes of unequal size: look-ups, doors and duties go by what a box can carry.

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

/// Boxes of the region: two failure domains of thirteen.
const BOXES: usize = 26;
const LARGE: u16 = 200;
const MIDDLE: u16 = 100;
const SMALL: u16 = 36;

/// Of each failure domain's boxes 2 are large, 8 small, 3 of middle size.
fn mixed(number: usize) -> u16 {
    match number / 2 {
        0..2 => LARGE,
        2..10 => SMALL,
        _ => MIDDLE,
    }
}

/// One failure domain holds the large boxes.
fn one_sided(number: usize) -> u16 {
    if number.is_multiple_of(2) {
        LARGE
    } else {
        SMALL
    }
}

fn sized(crowd: &mut Crowd, number: usize, weight: u16) {
    crowd.step(number, Event::WeightChanged(Weight::new(weight)));
}

fn crowd(weight: impl Fn(usize) -> u16) -> Crowd {
    let mut crowd = Crowd::in_one_region(BOXES, Builder::default().build().into());
    for number in 0..BOXES {
        sized(&mut crowd, number, weight(number));
    }
    crowd.pass(12_000);
    crowd
}

/// The part of callers that each box gets, where they ask all living boxes alike.
fn parts(crowd: &mut Crowd) -> BTreeMap<String, f64> {
    let living: Vec<usize> = (0..BOXES).filter(|n| crowd.boxes[*n].is_some()).collect();
    let mut parts = BTreeMap::new();
    for number in &living {
        let named = crowd.named(*number);
        assert!((1..=64).contains(&named.len()), "{} addresses", named.len());
        for name in &named {
            let part = 1.0 / (named.len() * living.len()) as f64;
            *parts.entry(name.clone()).or_default() += part;
        }
    }
    parts
}

/// Each living box gets callers within a tenth of its weight's part.
fn follow_weights(crowd: &mut Crowd, weight: impl Fn(usize) -> u16) {
    let living: Vec<usize> = (0..BOXES).filter(|n| crowd.boxes[*n].is_some()).collect();
    let all: f64 = living.iter().map(|n| f64::from(weight(*n))).sum();
    let parts = parts(crowd);
    for class in [LARGE, SMALL, MIDDLE] {
        let mut numbers = living.clone();
        numbers.retain(|n| weight(*n) == class);
        let due = numbers.len() as f64 * f64::from(class) / all;
        let part: f64 = numbers.iter().map(|n| parts[&name(*n)]).sum();
        assert!((part - due).abs() <= due / 10.0, "{class}: {part} of {due}");
    }
}

#[test]
fn callers_follow_weights() {
    follow_weights(&mut crowd(mixed), mixed);
}

/// Who tells whom what kind of thing.
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
        sized(&mut equal, number, SMALL);
    }
    let told = |crowd: &mut Crowd| -> Vec<_> {
        crowd.now = crowd.now + Millis(100);
        let effects = crowd.tick().into_iter();
        let mut told: Vec<_> = effects
            .filter_map(|(from, effect)| gossip(from, effect))
            .collect();
        told.sort();
        told
    };
    // A box of the crowd has spoken before it hears of its size, and speaks again then.
    silent.pass(1000);
    equal.pass(1000);
    for tick in 0..150 {
        let same = told(&mut silent) == told(&mut equal);
        assert!(same, "messages differ in tick {tick}");
    }
    for number in 0..60 {
        assert_eq!(silent.named(number), equal.named(number));
    }
}

#[test]
fn size_changes() {
    let mut crowd = crowd(|_| SMALL);
    assert_eq!(crowd.named(1).len(), BOXES, "each once");
    for number in 0..BOXES {
        sized(&mut crowd, number, mixed(number));
    }
    crowd.pass(200);
    follow_weights(&mut crowd, mixed);
}

#[test]
fn half_of_the_fleet_is_replaced() {
    let mut crowd = crowd(|_| SMALL);
    for number in (0..BOXES).step_by(2) {
        crowd.launch(number);
        sized(&mut crowd, number, LARGE);
        crowd.pass(100);
        let asked = (1..BOXES).step_by(2);
        let named: Vec<Vec<String>> = asked.map(|n| crowd.named(n)).collect();
        let known: BTreeSet<&String> = named.iter().flatten().collect();
        let stay = (1..BOXES).step_by(2).all(|n| known.contains(&name(n)));
        assert!(stay, "those that stay get callers");
        let most = named
            .iter()
            .all(|n| n.iter().collect::<BTreeSet<_>>().len() >= BOXES / 2);
        assert!(most, "each look-up names many");
    }
    crowd.pass(12_000);
    follow_weights(&mut crowd, one_sided);
}

#[test]
fn the_domain_of_the_large_is_lost() {
    let mut crowd = crowd(one_sided);
    let known: BTreeSet<String> = crowd.named(1).into_iter().collect();
    let small = (1..BOXES).step_by(2).filter(|n| known.contains(&name(*n)));
    assert!(small.count() >= 10, "callers know others");
    (0..BOXES).step_by(2).for_each(|n| crowd.boxes[n] = None);
    crowd.pass(8000);
    let parts: Vec<f64> = parts(&mut crowd).into_values().collect();
    assert_eq!(parts.len(), 13, "the living: {parts:?}");
    assert!(parts.iter().all(|part| (part - 1.0 / 13.0).abs() < 1e-9));
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
            let number = crowd.by_gossip(to).expect("a box");
            match &frame.body {
                Body::Heartbeat(beat) if beat.pace == MIN_HEARTBEAT_PERIOD => heard[number] += 1.0,
                Body::Tally(_) => tallies[number] += 1.0,
                _ => {}
            }
        }
    }
    let due = 16.0 * f64::from(SMALL) / (0..BOXES).map(|n| f64::from(mixed(n))).sum::<f64>();
    let small = |load: &[f64; BOXES]| {
        let of_small = (0..BOXES).filter(|n| mixed(*n) == SMALL).map(|n| load[n]);
        of_small.sum::<f64>() / load.iter().sum::<f64>().max(1.0)
    };
    assert!(heard.iter().sum::<f64>() > 0.0);
    assert!(small(&heard) <= 1.25 * due, "{} of {due}", small(&heard));
    assert!(
        small(&tallies) <= 1.25 * due,
        "{} of {due}",
        small(&tallies)
    );
}

/// What a box of the region tells.
fn beat(number: usize, busy: u32, room: Room) -> Heartbeat {
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
    }
}

fn room(weight: u16) -> Room {
    Room {
        weight: Weight::new(weight),
        full: false,
    }
}

/// What the box with `number` knows of the others.
fn table(number: usize, weight: impl Fn(usize) -> u16) -> Table {
    let mut table = Table::new(beat(number, 0, room(0)).contact, Incarnation(1));
    table.room = room(weight(number));
    for other in (0..BOXES).filter(|n| *n != number) {
        table.apply_heartbeat(Incarnation(1), beat(other, 0, room(weight(other))), Time(0));
    }
    table
}

/// The part of many duties that the box with `number` has.
fn duties(number: usize, weight: impl Fn(usize) -> u16) -> f64 {
    const DUTIES: usize = 4000;
    let table = table(number, weight);
    let leads = (0..DUTIES).filter(|duty| table.leads(&format!("duty-{duty}"), Time(0)));
    leads.count() as f64 / DUTIES as f64
}

#[test]
fn duties_follow_weights() {
    let all: f64 = (0..BOXES).map(|n| f64::from(mixed(n))).sum();
    let parts: Vec<f64> = (0..BOXES).map(|n| duties(n, mixed)).collect();
    assert!(
        (parts.iter().sum::<f64>() - 1.0).abs() < 1e-9,
        "each has one"
    );
    for class in [LARGE, SMALL, MIDDLE] {
        let numbers: Vec<usize> = (0..BOXES).filter(|n| mixed(*n) == class).collect();
        let due = numbers.len() as f64 * f64::from(class) / all;
        let part: f64 = numbers.iter().map(|n| parts[*n]).sum();
        assert!((part - due).abs() <= due / 5.0, "{class}: {part} of {due}");
    }
}

/// Shares of cold servers' rates and of limits must add up, whatever boxes believe of sizes.
#[test]
fn shares_go_by_count() {
    let standing = |weight: &dyn Fn(usize) -> u16| {
        let table = table(0, weight);
        table.rank_among_active("service", |_| Millis(0), Time(0))
    };
    assert_eq!(standing(&mixed), standing(&|_| 0));
}

/// Boxes that know no sizes choose by name: who leads must be agreed with them.
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
        let said = postcard::to_stdvec(&(number, true)).expect("it encodes");
        let read: Room = postcard::from_bytes(&said).expect("it reads");
        assert_eq!(
            read,
            Room {
                weight: None,
                full: true
            }
        );
    }
    let mut liar = crowd(|n| if n == 3 { 1 } else { mixed(n) });
    let parts = parts(&mut liar);
    let (told, liar) = (parts[&name(4)], parts[&name(3)]);
    assert!((liar - told).abs() <= told / 2.0, "{liar}, {told}");
}

#[test]
fn old_messages_read() {
    let told = beat(1, 3, room(SMALL));
    let new = postcard::to_stdvec(&told).expect("it encodes");
    let old = &new[..new.len() - 2];
    let read: Heartbeat = postcard::from_bytes(old).expect("the old form reads");
    assert_eq!(read, beat(1, 3, Room::default()));
    // What follows what is known is left unread, as by boxes that do not know the weight.
    let newer: Vec<u8> = new.iter().copied().chain([7, 7]).collect();
    assert_eq!(postcard::from_bytes::<Heartbeat>(&newer), Ok(told));
}

/// A small box before large ones that have `busy` requests in hand each.
fn beside(solo: &mut Solo, seq: u64, busy: u32, full: bool) {
    for number in 1..5 {
        let told = Room {
            full,
            ..room(LARGE)
        };
        let frame = Frame {
            from: name(number).parse().expect("a name"),
            incarnation: Incarnation(1),
            seq,
            body: Body::Heartbeat(beat(number, busy, told)),
        };
        solo.step(Event::Received(frame));
    }
}

fn tells(effects: &[Effect]) -> Vec<Room> {
    let room = |effect: &Effect| match effect {
        Effect::Gossip { frame, .. } => match &frame.body {
            Body::Heartbeat(beat) => Some(beat.room),
            _ => None,
        },
        _ => None,
    };
    effects.iter().filter_map(room).collect()
}

fn named(solo: &mut Solo) -> Vec<String> {
    let effects = solo.step(Event::Resolve {
        request: id::Request(900),
        region: "perth".parse().expect("a name"),
        host: None,
    });
    let boxes = effects.into_iter().find_map(|effect| match effect {
        Effect::Boxes { boxes, .. } => Some(boxes),
        _ => None,
    });
    let boxes = boxes.expect("an answer").into_iter();
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
    beside(&mut solo, 1, 20, false);
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
    let told = tells(&solo.pass(100));
    assert!(
        !told.is_empty() && told.iter().all(|room| room.full),
        "at once: {told:?}"
    );
    assert!(!named(&mut solo).contains(&"box".to_owned()));
    for send in &sent {
        solo.ended(send);
    }
    solo.now = solo.now + Millis(2900);
    beside(&mut solo, 2, 20, false);
    let told = tells(&solo.pass(200));
    assert!(
        told.iter().any(|room| !room.full),
        "after a while: {told:?}"
    );
    assert!(named(&mut solo).contains(&"box".to_owned()));
}

#[test]
fn never_all_are_full() {
    let mut solo = small();
    beside(&mut solo, 2, 20, true);
    let named = BTreeSet::from_iter(named(&mut solo));
    assert_eq!(named.len(), 5, "too little would be left: {named:?}");
}

#[test]
fn doors_are_those_with_room() {
    let mut crowd = Crowd::in_three_regions(78, Builder::default().build().into());
    let weight = |n: usize| mixed(n / 3);
    for number in 0..78 {
        sized(&mut crowd, number, weight(number));
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
