//! Engines that report their cache contents: which boxes follow them, and what the boxes assume
//! from it.

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

/// Returns the engines that the box begins to follow while time passes.
fn newly_followed(world: &mut World, millis: u64) -> Vec<String> {
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

fn engine_update(name: &str, news: Report) -> Event {
    Event::EngineReport {
        backend: name.parse().expect("valid name"),
        incarnation: engine(name, "ready", 0).incarnation,
        news,
    }
}

fn changes(changes: &[Change]) -> Report {
    Report::Changes(changes.to_vec())
}

/// Returns the tokens that the engine has to read of a prompt with the shared part, and whether the
/// estimate rests on the engine's own report.
fn unread(world: &mut World) -> (u32, bool) {
    let send = world.prompt(&[SHARED, OWN]).remove(0);
    (send.basis.unread, send.basis.told)
}

/// Returns a message from another box of the region.
fn message(seq: u64, body: Body) -> Event {
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
fn engines_that_offer_no_updates_are_not_followed() {
    let mut world = World::new(vec![engine("a", "ready", 0)]);
    assert!(newly_followed(&mut world, 5000).is_empty());
    world.step(engine_update("a", Report::All(vec![SHARED])));
    assert_eq!(unread(&mut world), (UNREAD, false));
}

#[test]
fn cold_and_leaving_engines_are_not_followed() {
    let mut world = world(vec![
        engine("cold", "ready", 2000),
        engine("leaving", "draining", 0),
    ]);
    assert!(newly_followed(&mut world, 1500).is_empty());
    assert_eq!(newly_followed(&mut world, 1500), ["cold"]);
    let left = Listing::Put(engine("cold", "draining", 0));
    world.step(news(left));
    world.now = world.now + Millis(400);
    let name = "cold".parse().expect("valid name");
    assert!(
        world
            .step(Event::Tick)
            .contains(&Effect::UnfollowEngine(name))
    );
}

#[test]
fn followed_engines_are_not_queried_as_well() {
    let mut world = world(vec![engine("a", "ready", 0)]);
    assert!(world.asked(5000).is_empty());
}

/// An engine's own report decides: an evicted part has to be read again, a kept one does not.
#[test]
fn report_of_the_engine_decides() {
    for (end, expected) in [(false, OWN.tokens), (true, UNREAD)] {
        let mut world = world(vec![engine("a", "ready", 0)]);
        newly_followed(&mut world, 500);
        world.step(engine_update("a", Report::All(vec![SHARED])));
        world.pass(1500);
        let change = if end {
            Change::Gone(SHARED.id)
        } else {
            Change::Kept(SHARED)
        };
        world.step(engine_update("a", changes(&[change])));
        assert_eq!(unread(&mut world), (expected, true));
    }
}

/// A delayed report of an eviction that happened before the engine was sent the part again changes
/// nothing.
#[test]
fn old_eviction_does_not_undo_a_newer_reading() {
    let mut world = world(vec![engine("a", "ready", 0)]);
    newly_followed(&mut world, 500);
    world.step(engine_update("a", Report::All(vec![SHARED])));
    world.pass(3000);
    world.step(message(1, reading("a")));
    world.pass(300);
    world.step(engine_update("a", changes(&[Change::Gone(SHARED.id)])));
    assert_eq!(unread(&mut world).0, OWN.tokens, "the part is being read");
}

/// The same where another box follows the engine: the age of the report counts.
#[test]
fn old_reports_of_other_boxes_do_not_undo_a_newer_reading() {
    for (age, expected) in [(2500, OWN.tokens), (0, UNREAD)] {
        let mut world = world(vec![engine("a", "ready", 0)]);
        world.now = Time(10);
        world.step(message(1, reading("a")));
        world.now = Time(2010);
        world.step(message(
            2,
            Body::Corrections(box_report("a", &[], &[(SHARED.id, age)])),
        ));
        assert_eq!(unread(&mut world), (expected, true), "age {age}");
    }
}

/// Parts that were sent but never read (refused, or the engine crashed) are no longer assumed to be
/// cached.
#[test]
fn parts_that_were_never_read_are_dropped() {
    let mut world = world(vec![engine("a", "ready", 0)]);
    newly_followed(&mut world, 500);
    world.step(engine_update("a", Report::All(vec![])));
    world.step(message(1, reading("a")));
    for _ in 0..8 {
        world.pass(1000);
        world.step(engine_update("a", changes(&[])));
    }
    assert_eq!(unread(&mut world), (UNREAD, true));
}

/// After a gap the box estimates until the list arrives, and the list removes evicted parts.
#[test]
fn list_repairs_a_gap() {
    let mut world = world(vec![engine("a", "ready", 0)]);
    newly_followed(&mut world, 500);
    world.step(engine_update("a", Report::All(vec![SHARED])));
    world.pass(2000);
    world.step(engine_update("a", Report::Gap));
    world.step(engine_update("a", changes(&[Change::Kept(OWN)])));
    let at = world.now;
    let send = world.prompt(&[SHARED, OWN]).remove(0);
    assert!(
        !send.basis.told,
        "changes after a gap are not the whole cache"
    );
    world.now = at + Millis(1500);
    world.step(engine_update("a", Report::All(vec![])));
    world.pass(1500);
    world.step(engine_update("a", changes(&[])));
    assert_eq!(unread(&mut world), (UNREAD, true));
}

/// The box goes back to estimates for an engine that stops reporting.
#[test]
fn silent_engine_is_estimated() {
    let mut world = world(vec![engine("a", "ready", 0)]);
    newly_followed(&mut world, 500);
    world.step(engine_update("a", Report::All(vec![SHARED])));
    world.pass(5000);
    assert_eq!(unread(&mut world), (OWN.tokens, false));
}

/// A new incarnation under the same name has an empty cache, and updates about the old one do not
/// apply to it.
#[test]
fn update_of_an_earlier_incarnation_is_dropped() {
    let mut world = world(vec![life("a", "ready", 0, 5)]);
    newly_followed(&mut world, 500);
    world.step(news(Listing::Put(life("a", "ready", 0, 9))));
    assert_eq!(
        newly_followed(&mut world, 500),
        ["a"],
        "the new incarnation is followed"
    );
    world.step(Event::EngineReport {
        backend: "a".parse().expect("valid name"),
        incarnation: life("a", "ready", 0, 5).incarnation,
        news: Report::All(vec![SHARED]),
    });
    assert_eq!(unread(&mut world), (UNREAD, false));
}

fn box_report(name: &str, kept: &[u64], gone: &[(u64, u64)]) -> Corrections {
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

/// Engines of a region, and boxes that follow them; each engine has the shared part cached.
struct Region {
    crowd: Crowd,
    follows: BTreeMap<String, Vec<usize>>,
}

const BOXES: usize = 6;

impl Region {
    fn new(boxes: usize, engines: usize) -> Self {
        let envelope = record::envelope(TELLING.into()).expect("record is valid");
        let config: Arc<Config> =
            Arc::new(record::parse_config(&envelope, &places()).expect("record is valid"));
        let mut crowd = Crowd::on_platform(boxes, config);
        let backends = |n| Backend {
            region: "perth".parse().expect("valid name"),
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

    /// Advances time; followed engines answer at once and send an update each second.
    fn pass(&mut self, millis: u64) {
        for step in 0..millis / 100 {
            self.crowd.now = self.crowd.now + Millis(100);
            for (number, effect) in self.crowd.tick() {
                match effect {
                    Effect::FollowEngine { backend, .. } => {
                        let all = engine_update(backend.as_str(), Report::All(vec![SHARED]));
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
                        self.crowd.step(number, engine_update(&name, changes(&[])));
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

    /// Returns the engines that are not followed by exactly one box.
    fn not_followed_once(&self, engines: usize) -> Vec<usize> {
        let boxes = |n: &usize| self.follows.get(&format!("e{n}")).map_or(0, Vec::len);
        (0..engines).filter(|n| boxes(n) != 1).collect()
    }

    /// Returns for each running box the tokens that it expects the region's engine to read, and
    /// whether the estimate rests on the engine's own report.
    fn estimates(&mut self) -> Vec<(u32, bool)> {
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

/// No box knows the engines' caches when all boxes start: each engine is queried, and all boxes get
/// the result.
#[test]
fn starting_boxes_know_the_caches_within_a_second() {
    let mut region = Region::new(BOXES, 1);
    region.pass(1000);
    assert_eq!(region.estimates(), vec![(OWN.tokens, true); BOXES]);
}

#[test]
fn each_engine_has_one_follower_and_another_after_its_end() {
    let mut region = Region::new(BOXES, 12);
    region.pass(5000);
    assert!(
        region.not_followed_once(12).is_empty(),
        "{:?}",
        region.follows
    );
    let first = region.follows["e0"][0];
    region.kill(first);
    region.pass(5000);
    assert!(
        region.not_followed_once(12).is_empty(),
        "{:?}",
        region.follows
    );
}

/// An update that one box receives reaches all boxes of the region.
#[test]
fn a_correction_reaches_all_boxes() {
    let mut region = Region::new(BOXES, 1);
    region.pass(15_000);
    let follower = region.follows["e0"][0];
    let gone = engine_update("e0", changes(&[Change::Gone(SHARED.id)]));
    region.crowd.step(follower, gone);
    region.pass(2000);
    assert_eq!(region.estimates(), vec![(UNREAD, true); BOXES]);
}

/// With engines whose parts change all the time, a box sends at most 9,000 bytes a second and
/// follows at most 16 engines of a thousand.
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
                region
                    .crowd
                    .step(number, engine_update(&name, changes(&all)));
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
    let bytes = bytes.expect("a box sends reports");
    assert!(bytes <= 9000 * 20, "{bytes} bytes in 20 s");
}

#[test]
fn only_corrections_are_sent() {
    let mut region = Region::new(2, 1);
    region.pass(2000);
    let follower = region.follows["e0"][0];
    region.crowd.weighed = Some(vec![BTreeMap::new(); 2]);
    region.pass(1000);
    let kept = engine_update("e0", changes(&[Change::Kept(SHARED)]));
    region.crowd.step(follower, kept);
    region.pass(1000);
    let weighed = region
        .crowd
        .weighed
        .as_ref()
        .expect("message sizes are recorded");
    let messages = weighed[follower].get("kept").copied().unwrap_or(0);
    assert!(
        messages < 250,
        "one report in two seconds at most: {messages} bytes"
    );
}

/// Any report decodes to what was encoded, and the box keeps working.
#[test]
fn any_report_round_trips() {
    type Row = (u32, u32, Vec<u64>, Vec<(u64, u64)>);
    let secret = "0123456789abcdef".parse().expect("valid secret");
    check!()
        .with_type::<(u64, Vec<Row>)>()
        .for_each(|(lasts, rows)| {
            let reports = rows
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
            let mut engines: Vec<EngineCorrections> = reports.collect();
            if let Some(first) = engines.first_mut() {
                first.backend = NameHash::of("a");
                first.life = engine("a", "ready", 0).life();
            }
            let body = Body::Corrections(Corrections {
                valid_for: Millis(*lasts),
                engines,
            });
            let Event::Received(frame) = message(1, body) else {
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
