//! In a large region every box is heard often by a few, who tell the others of its end.

mod harness;

use std::net::SocketAddr;

use harness::crowd::{Crowd, contact, name};
use petreldrum::{
    id::Incarnation,
    reducer::{effect::Effect, event::Event},
    unit::Millis,
    wire::{Body, Frame, Silent},
};

/// The platform's bound on how long a look-up may name a box that is gone, in ms.
const NAMED: u64 = 8000;

#[test]
fn end_is_noticed_soon_by_all() {
    let mut crowd = Crowd::new(40);
    crowd.pass(10_000);
    assert_eq!(crowd.named(3).len(), 40, "all have met");
    crowd.boxes[17] = None;
    crowd.boxes[18] = None;
    crowd.pass(3000);
    for number in (0..40).filter(|n| *n != 17 && *n != 18) {
        let named = crowd.named(number);
        assert!(!named.contains(&name(17)), "box {number} names a dead one");
        assert_eq!(named.len(), 38, "box {number} names the living");
    }
}

#[test]
fn many_ends_at_once() {
    let mut crowd = Crowd::new(40);
    crowd.pass(10_000);
    for number in 0..30 {
        crowd.boxes[number] = None;
    }
    crowd.pass(NAMED);
    for number in 30..40 {
        assert_eq!(crowd.named(number).len(), 10, "box {number}");
    }
}

#[test]
fn one_deaf_monitor_harms_nobody() {
    let mut crowd = Crowd::new(20);
    crowd.pass(10_000);
    // Whoever monitors box 5 and does not hear it accuses it; it denies that to all.
    for number in 0..4 {
        crowd.cut.push((5, number));
    }
    let mut missing = 0;
    for _ in 0..50 {
        crowd.pass(200);
        missing += usize::from(!crowd.named(10).contains(&name(5)));
    }
    assert!(missing <= 3, "missing at {missing} of 50 looks");
}

#[test]
fn box_that_stood_still_accuses_nobody() {
    let mut crowd = Crowd::new(20);
    crowd.pass(10_000);
    crowd.frozen = vec![4];
    crowd.pass(4000);
    crowd.frozen.clear();
    crowd.mail.clear();
    let before = crowd.sent;
    crowd.pass(100);
    assert!(crowd.sent > before);
    let accused = |(_, frame): &(SocketAddr, Frame)| matches!(frame.body, Body::Silent(_));
    crowd.step(4, Event::Tick);
    assert!(!crowd.mail.iter().any(accused));
    crowd.pass(3000);
    assert_eq!(crowd.named(10).len(), 20);
}

#[test]
fn messages_stay_bounded() {
    let mut crowd = Crowd::new(60);
    crowd.pass(10_000);
    // Two messages with each other box to meet, and some more while nobody knows anybody.
    let meeting = crowd.sent / 60;
    assert!(meeting < 60 * 12, "{meeting} messages a box to meet");
    let before = crowd.sent;
    crowd.pass(30_000);
    let rate = (crowd.sent - before) as f64 / 60.0 / 30.0;
    assert!(rate < 16.0, "{rate} messages a second and box");
}

/// 984 boxes that started together sent 2.7 GB of accusations to each other before their first request: 4.2 to 6.1
/// of the 5 to 7 MB of a box were `silent` messages (`peers: bytes sent-silent=6096751`), though none was silent. A box
/// that knew more of the region held others to its own longer time between heartbeats, or heard no heartbeat
/// within the time that was promised while the sender still knew few. Each accusation goes to the whole region,
/// and so does each denial.
#[test]
fn boxes_that_join_in_turn_accuse_nobody() {
    const BOXES: usize = 120;
    let mut crowd = Crowd::new(BOXES);
    crowd
        .boxes
        .iter_mut()
        .skip(3)
        .for_each(|state| *state = None);
    // Nobody has heard of the others yet.
    crowd.mail.clear();
    let (mut accusations, mut probes) = (0, 0);
    for round in 0..270 {
        if round % 2 == 0 && 3 + round / 2 < BOXES {
            crowd.launch(3 + round / 2);
        }
        crowd.now = crowd.now + Millis(100);
        for (_, effect) in crowd.tick() {
            let Effect::Gossip { to, frame } = effect else {
                continue;
            };
            let Body::Silent(silent) = frame.body else {
                continue;
            };
            match crowd.by_gossip(to).map(name) == Some(silent.name.to_string()) {
                true => probes += 1,
                false => accusations += 1,
            }
        }
    }
    assert_eq!(accusations, 0, "with {probes} probes");
    assert_eq!(crowd.named(3).len(), BOXES, "all have met");
}

/// Boxes that know different parts of a region take themselves for monitors of others, hear nothing within 1.5 s and
/// ask them first. Each such question was answered by a heartbeat to the whole region, as an accusation is.
#[test]
fn question_is_answered_to_who_asked() {
    let mut crowd = Crowd::new(60);
    crowd.pass(10_000);
    let contact = |number| contact(&name(number), "perth", 7000);
    let asker = contact(7).gossip;
    let silent = Silent {
        name: contact(5).name,
        incarnation: Incarnation(7),
        since: Millis(1600),
        prober: Some(asker),
    };
    let frame = Frame {
        from: contact(7).name,
        incarnation: Incarnation(7),
        seq: 1 << 40,
        body: Body::Silent(silent),
    };
    let effects = crowd.step(5, Event::Received(frame));
    let told: Vec<SocketAddr> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Gossip { to, .. } => Some(*to),
            _ => None,
        })
        .collect();
    assert_eq!(told, [asker]);
}
