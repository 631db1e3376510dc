//! Engines that tell what they keep: who follows them, and what the boxes believe then.

mod harness;

use std::{collections::BTreeMap, sync::Arc};

use bolero::check;
use harness::{
    crowd::{Crowd, contact},
    engines::{SHARED, TELLING, World, engine, life, target},
    solo::{news, places},
};
use petreldrum::{
    config::{Backend, Config},
    fleet::Change as Listing,
    id::Incarnation,
    memory::{
        prompt::Part,
        report::{Change, Corrections, EngineCorrections, Eviction, Report},
    },
    platform::record,
    reducer::{effect::Effect, event::Event},
    unit::{Millis, Time},
    wire::{Body, Frame, NameHash, Reading},
};

const OWN: Part = Part { id: 2, tokens: 500 };
const UNREAD: u32 = SHARED.tokens + OWN.tokens;

fn world(engines: Vec<Backend>) -> World {
    World::with("box", TELLING, engines)
}

/// The engines that the box begins to follow while time passes.
fn followed(world: &mut World, millis: u64) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..millis / 100 {
        world.now = world.now + Millis(100);
        for effect in world.step(Event::Tick) {
            if let Effect::FollowEngine { backend, .. } = effect {
                names.push(backend.to_string());
            }
        }
    }
    names.sort();
    names
}

fn told(name: &str, news: Report) -> Event {
    Event::EngineReport {
        backend: name.parse().expect("a name"),
        incarnation: engine(name, "ready", 0).incarnation,
        news,
    }
}

fn changes(changes: &[Change]) -> Report {
    Report::Changes(changes.to_vec())
}

/// What the engine has to read of a prompt with the shared part, and whether that is its own word.
fn unread(world: &mut World) -> (u32, bool) {
    let send = world.prompt(&[SHARED, OWN]).remove(0);
    (send.basis.unread, send.basis.told)
}

/// Another box of the region says something.
fn heard(seq: u64, body: Body) -> Event {
    Event::Received(Frame {
        from: contact("other", "atl", 40).name,
        incarnation: Incarnation(1),
        seq,
        body,
    })
}

fn reading(name: &str) -> Body {
    Body::Reading(Reading {
        backend: NameHash::of(name),
        prompt: UNREAD,
        tokens: UNREAD,
        fetched: 0,
        part: Some(SHARED.id),
        shared: SHARED.tokens,
        spread: false,
    })
}

#[test]
fn nothing_is_followed_where_nothing_is_offered() {
    let mut world = World::new(vec![engine("a", "ready", 0)]);
    assert!(followed(&mut world, 5000).is_empty());
    world.step(told("a", Report::All(vec![SHARED])));
    assert_eq!(unread(&mut world), (UNREAD, false));
}

#[test]
fn cold_and_leaving_engines_bear_no_call() {
    let mut world = world(vec![
        engine("cold", "ready", 2000),
        engine("leaving", "draining", 0),
    ]);
    assert!(followed(&mut world, 1500).is_empty());
    assert_eq!(followed(&mut world, 1500), ["cold"]);
    let left = Listing::Put(engine("cold", "draining", 0));
    world.step(news(left));
    world.now = world.now + Millis(400);
    let name = "cold".parse().expect("a name");
    assert!(
        world
            .step(Event::Tick)
            .contains(&Effect::UnfollowEngine(name))
    );
}

#[test]
fn followed_ones_are_not_asked_as_well() {
    let mut world = world(vec![engine("a", "ready", 0)]);
    assert!(world.asked(5000).is_empty());
}

/// An engine's word decides: a part that gave way is read anew, one that was kept is not.
#[test]
fn its_own_word_decides() {
    for (end, expected) in [(false, OWN.tokens), (true, UNREAD)] {
        let mut world = world(vec![engine("a", "ready", 0)]);
        followed(&mut world, 500);
        world.step(told("a", Report::All(vec![SHARED])));
        world.pass(1500);
        let change = if end {
            Change::Gone(SHARED.id)
        } else {
            Change::Kept(SHARED)
        };
        world.step(told("a", changes(&[change])));
        assert_eq!(unread(&mut world), (expected, true));
    }
}

/// An end that the engine told before it was sent the part again, and that comes after, undoes nothing.
#[test]
fn old_end_does_not_undo_a_newer_reading() {
    let mut world = world(vec![engine("a", "ready", 0)]);
    followed(&mut world, 500);
    world.step(told("a", Report::All(vec![SHARED])));
    world.pass(3000);
    world.step(heard(1, reading("a")));
    world.pass(300);
    world.step(told("a", changes(&[Change::Gone(SHARED.id)])));
    assert_eq!(unread(&mut world).0, OWN.tokens, "it is being read");
}

/// The same where another box follows the engine: the word's age counts.
#[test]
fn old_words_of_others_do_not_undo_a_newer_reading() {
    for (age, expected) in [(2500, OWN.tokens), (0, UNREAD)] {
        let mut world = world(vec![engine("a", "ready", 0)]);
        world.now = Time(10);
        world.step(heard(1, reading("a")));
        world.now = Time(2010);
        world.step(heard(
            2,
            Body::Corrections(word("a", &[], &[(SHARED.id, age)])),
        ));
        assert_eq!(unread(&mut world), (expected, true), "age {age}");
    }
}

/// What was sent but never read (refused, or the engine fell over) is no longer believed.
#[test]
fn parts_that_were_never_read_are_dropped() {
    let mut world = world(vec![engine("a", "ready", 0)]);
    followed(&mut world, 500);
    world.step(told("a", Report::All(vec![])));
    world.step(heard(1, reading("a")));
    for _ in 0..8 {
        world.pass(1000);
        world.step(told("a", changes(&[])));
    }
    assert_eq!(unread(&mut world), (UNREAD, true));
}

/// After a gap the box guesses until the list comes, and the list ends what is gone.
#[test]
fn a_gap_is_made_good_by_the_list() {
    let mut world = world(vec![engine("a", "ready", 0)]);
    followed(&mut world, 500);
    world.step(told("a", Report::All(vec![SHARED])));
    world.pass(2000);
    world.step(told("a", Report::Gap));
    world.step(told("a", changes(&[Change::Kept(OWN)])));
    let at = world.now;
    let send = world.prompt(&[SHARED, OWN]).remove(0);
    assert!(
        !send.basis.told,
        "changes after a gap are not its whole word"
    );
    world.now = at + Millis(1500);
    world.step(told("a", Report::All(vec![])));
    world.pass(1500);
    world.step(told("a", changes(&[])));
    assert_eq!(unread(&mut world), (UNREAD, true));
}

/// An engine that says nothing any more is guessed again.
#[test]
fn a_silent_engine_is_guessed() {
    let mut world = world(vec![engine("a", "ready", 0)]);
    followed(&mut world, 500);
    world.step(told("a", Report::All(vec![SHARED])));
    world.pass(5000);
    assert_eq!(unread(&mut world), (OWN.tokens, false));
}

/// A new life under the name holds nothing, and news of the old one says nothing of it.
#[test]
fn news_of_an_earlier_life_is_dropped() {
    let mut world = world(vec![life("a", "ready", 0, 5)]);
    followed(&mut world, 500);
    world.step(news(Listing::Put(life("a", "ready", 0, 9))));
    assert_eq!(followed(&mut world, 500), ["a"], "it is followed anew");
    world.step(Event::EngineReport {
        backend: "a".parse().expect("a name"),
        incarnation: life("a", "ready", 0, 5).incarnation,
        news: Report::All(vec![SHARED]),
    });
    assert_eq!(unread(&mut world), (UNREAD, false));
}

fn word(name: &str, kept: &[u64], gone: &[(u64, u64)]) -> Corrections {
    let gone = gone.iter().map(|(part, age)| Eviction {
        part: *part,
        age: Millis(*age),
    });
    Corrections {
        valid_for: Millis(9000),
        engines: vec![EngineCorrections {
            backend: NameHash::of(name),
            life: engine(name, "ready", 0).life(),
            kept: kept.to_vec(),
            gone: gone.collect(),
        }],
    }
}

/// Engines of a region, and boxes that follow them; each engine keeps the shared part.
struct Region {
    crowd: Crowd,
    follows: BTreeMap<String, Vec<usize>>,
}

const BOXES: usize = 6;

impl Region {
    fn new(boxes: usize, engines: usize) -> Self {
        let envelope = record::envelope(TELLING.into()).expect("it reads");
        let config: Arc<Config> =
            Arc::new(record::parse_config(&envelope, &places()).expect("it reads"));
        let mut crowd = Crowd::on_platform(boxes, config);
        let backends = |n| Backend {
            region: "perth".parse().expect("a name"),
            ..engine(&format!("e{n}"), "ready", 0)
        };
        let list = Listing::List {
            backends: (0..engines).map(backends).collect(),
            grace: Millis(0),
        };
        for number in 0..boxes {
            crowd.step(number, news(list.clone()));
        }
        let follows = BTreeMap::new();
        Self { crowd, follows }
    }

    /// Lets time pass; engines that are followed answer at once, and are heard each second.
    fn pass(&mut self, millis: u64) {
        for step in 0..millis / 100 {
            self.crowd.now = self.crowd.now + Millis(100);
            for (number, effect) in self.crowd.tick() {
                match effect {
                    Effect::FollowEngine { backend, .. } => {
                        let all = told(backend.as_str(), Report::All(vec![SHARED]));
                        self.crowd.step(number, all);
                        self.follows
                            .entry(backend.to_string())
                            .or_default()
                            .push(number);
                    }
                    Effect::UnfollowEngine(backend) => {
                        let boxes = self.follows.entry(backend.to_string()).or_default();
                        boxes.retain(|n| *n != number);
                    }
                    _ => {}
                }
            }
            if step % 10 == 0 {
                for (name, boxes) in self.follows.clone() {
                    for number in boxes {
                        self.crowd.step(number, told(&name, changes(&[])));
                    }
                }
            }
        }
    }

    fn kill(&mut self, number: usize) {
        self.crowd.boxes[number] = None;
        for boxes in self.follows.values_mut() {
            boxes.retain(|n| *n != number);
        }
    }

    /// The engines that no box follows, or more than one.
    fn not_once(&self, engines: usize) -> Vec<usize> {
        let boxes = |n: &usize| self.follows.get(&format!("e{n}")).map_or(0, Vec::len);
        (0..engines).filter(|n| boxes(n) != 1).collect()
    }

    /// What each box that runs takes the engine of the region to read, and whether by its own word.
    fn beliefs(&mut self) -> Vec<(u32, bool)> {
        let mut found = Vec::new();
        for number in 0..self.crowd.boxes.len() {
            if self.crowd.boxes[number].is_none() {
                continue;
            }
            let arrival = World::arrival(&[SHARED, OWN]);
            let effects = self.crowd.step(number, Event::Arrived(arrival));
            let sends = harness::solo::sends(&effects);
            found.push((sends[0].basis.unread, sends[0].basis.told));
        }
        found
    }
}

/// Nobody knows what engines keep when all boxes start: each engine is asked, and all boxes know.
#[test]
fn all_boxes_that_start_know_within_a_second() {
    let mut region = Region::new(BOXES, 1);
    region.pass(1000);
    assert_eq!(region.beliefs(), vec![(OWN.tokens, true); BOXES]);
}

#[test]
fn each_engine_has_one_follower_and_another_after_its_end() {
    let mut region = Region::new(BOXES, 12);
    region.pass(5000);
    assert!(region.not_once(12).is_empty(), "{:?}", region.follows);
    let first = region.follows["e0"][0];
    region.kill(first);
    region.pass(5000);
    assert!(region.not_once(12).is_empty(), "{:?}", region.follows);
}

/// What one box hears, all boxes of the region believe.
#[test]
fn a_correction_reaches_all_boxes() {
    let mut region = Region::new(BOXES, 1);
    region.pass(15_000);
    let follower = region.follows["e0"][0];
    let gone = told("e0", changes(&[Change::Gone(SHARED.id)]));
    region.crowd.step(follower, gone);
    region.pass(2000);
    assert_eq!(region.beliefs(), vec![(UNREAD, true); BOXES]);
}

/// Engines whose parts come and go all the time: 9,000 bytes a second are all that a box may spend, and it follows
/// 16 engines of a thousand at most.
#[test]
fn bytes_and_engines_are_bounded() {
    let mut region = Region::new(40, 1000);
    region.crowd.weighed = Some(vec![BTreeMap::new(); 40]);
    for second in 0..20 {
        region.pass(1000);
        for (name, boxes) in region.follows.clone() {
            let part = |n| Part {
                id: n,
                tokens: 2000,
            };
            let came = (0..20).map(|n| Change::Kept(part(100 + 20 * second + n)));
            let left = (0..20).map(|n| Change::Gone(80 + 20 * second + n));
            let all: Vec<Change> = came.chain(left).collect();
            for number in boxes {
                region.crowd.step(number, told(&name, changes(&all)));
            }
        }
    }
    let mut counts = vec![0; 40];
    region
        .follows
        .values()
        .flatten()
        .for_each(|n| counts[*n] += 1);
    assert!(counts.iter().all(|count| *count <= 16), "{counts:?}");
    let sent = region.crowd.weighed.iter().flatten();
    let bytes = sent.filter_map(|kinds| kinds.get("kept")).max().copied();
    let bytes = bytes.expect("somebody tells");
    assert!(bytes <= 9000 * 20, "{bytes} bytes in 20 s");
}

#[test]
fn only_corrections_are_told() {
    let mut region = Region::new(2, 1);
    region.pass(2000);
    let follower = region.follows["e0"][0];
    region.crowd.weighed = Some(vec![BTreeMap::new(); 2]);
    region.pass(1000);
    let kept = told("e0", changes(&[Change::Kept(SHARED)]));
    region.crowd.step(follower, kept);
    region.pass(1000);
    let weighed = region.crowd.weighed.as_ref().expect("it is weighed");
    let messages = weighed[follower].get("kept").copied().unwrap_or(0);
    assert!(
        messages < 250,
        "one word in two seconds at most: {messages} bytes"
    );
}

/// Whatever boxes say, it is read again as it was written, and the box goes on.
#[test]
fn any_word_passes() {
    type Row = (u32, u32, Vec<u64>, Vec<(u64, u64)>);
    let secret = "0123456789abcdef".parse().expect("a secret");
    check!()
        .with_type::<(u64, Vec<Row>)>()
        .for_each(|(lasts, rows)| {
            let words = rows
                .iter()
                .map(|(backend, life, kept, gone)| EngineCorrections {
                    backend: NameHash(*backend),
                    life: NameHash(*life),
                    kept: kept.clone(),
                    gone: gone
                        .iter()
                        .map(|(part, age)| Eviction {
                            part: *part,
                            age: Millis(*age),
                        })
                        .collect(),
                });
            let mut engines: Vec<EngineCorrections> = words.collect();
            if let Some(first) = engines.first_mut() {
                first.backend = NameHash::of("a");
                first.life = engine("a", "ready", 0).life();
            }
            let body = Body::Corrections(Corrections {
                valid_for: Millis(*lasts),
                engines,
            });
            let Event::Received(frame) = heard(1, body) else {
                return;
            };
            let bytes = frame.encode(&secret);
            assert_eq!(Frame::decode(&secret, &bytes), Ok(frame.clone()));
            let mut world = world(vec![engine("a", "ready", 0)]);
            world.pass(1000);
            world.step(Event::Received(frame));
            world.pass(500);
            let send = world.prompt(&[SHARED, OWN]).remove(0);
            assert_eq!(target(&send), "a");
        });
}
