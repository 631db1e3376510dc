//! In a large region every box is heard often by a few, who tell the others of its end.

mod harness;

use std::{collections::HashMap, net::SocketAddr};

use harness::solo::{address, contact};
use petreldrum::{
    id::{self, Incarnation},
    policy::Balanced,
    reducer::{
        Identity, State,
        effect::Effect,
        event::{Event, Source},
    },
    settings::Seed,
    unit::{Millis, Time},
    wire::{Body, Frame},
};

const TICK: u64 = 100;
/// The platform's bound on how long a look-up may name a box that is gone, in ms.
const NAMED: u64 = 8000;

/// A region of boxes whose messages arrive within a tick.
struct Crowd {
    now: Time,
    boxes: Vec<Option<State<Balanced>>>,
    mail: Vec<(SocketAddr, Frame)>,
    numbers: HashMap<SocketAddr, usize>,
    sent: usize,
    /// Pairs whose messages are lost.
    cut: Vec<(usize, usize)>,
    /// A box that stands still.
    frozen: Option<usize>,
}

fn name(number: usize) -> String {
    format!("box-{number}")
}

impl Crowd {
    fn new(size: usize) -> Self {
        let port = |number: usize| 1000 + 10 * number as u16;
        let state = |number| {
            let identity = Identity {
                contact: contact(&name(number), "perth", port(number)),
                incarnation: Incarnation(7),
                seeds: vec![Seed {
                    region: None,
                    gossip: address(port(0) + 2),
                }],
                retry: Default::default(),
                registry: false,
            };
            Some(State::new(identity, Balanced))
        };
        let numbers = (0..size).map(|number| (address(port(number) + 2), number));
        let mut crowd = Self {
            now: Time(0),
            boxes: (0..size).map(state).collect(),
            mail: Vec::new(),
            numbers: numbers.collect(),
            sent: 0,
            cut: Vec::new(),
            frozen: None,
        };
        let config = std::sync::Arc::new(petreldrum::config::Draft::default().finish());
        for number in 0..size {
            let source = Source::Store;
            let config = config.clone();
            crowd.step(number, Event::Offered { config, source });
        }
        crowd
    }

    fn step(&mut self, number: usize, event: Event) -> Vec<Effect> {
        let Some(state) = &mut self.boxes[number] else {
            return Vec::new();
        };
        let effects = state.step(self.now, event);
        for effect in &effects {
            if let Effect::Gossip { to, frame } = effect {
                self.sent += 1;
                let lost = |n: &usize| self.cut.contains(&(number, *n));
                if !self.numbers.get(to).is_some_and(lost) {
                    self.mail.push((*to, frame.clone()));
                }
            }
        }
        effects
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / TICK {
            self.now = self.now + Millis(TICK);
            for number in 0..self.boxes.len() {
                if self.frozen != Some(number) {
                    self.step(number, Event::Tick);
                }
            }
            for (to, frame) in std::mem::take(&mut self.mail) {
                let number = self.numbers.get(&to).copied();
                match number {
                    Some(number) if self.frozen == Some(number) => self.mail.push((to, frame)),
                    Some(number) => drop(self.step(number, Event::Heard(frame))),
                    None => {}
                }
            }
        }
    }

    /// The boxes that `number` names to callers of its region.
    fn named(&mut self, number: usize) -> Vec<String> {
        let event = Event::Resolve {
            request: id::Request(self.now.0 + 1),
            region: "perth".parse().expect("a name"),
            host: None,
        };
        let effects = self.step(number, event);
        let boxes = effects.iter().find_map(|effect| match effect {
            Effect::Boxes { boxes, .. } => Some(boxes),
            _ => None,
        });
        let boxes = boxes.expect("an answer").iter();
        boxes.map(|entry| entry.contact.name.to_string()).collect()
    }
}

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
    crowd.frozen = Some(4);
    crowd.pass(4000);
    crowd.frozen = None;
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
