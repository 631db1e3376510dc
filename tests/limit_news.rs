//! What a box takes of others' word on limits: of this life of a server of its region, and what is newest.

mod harness;

use harness::{
    engines::{World, engine, life},
    solo::news,
};
use petreldrum::{
    config::Backend,
    fleet::Change,
    id::Incarnation,
    limit::Announcement,
    reducer::{
        effect::Effect,
        event::Event,
        status::{self, Status},
    },
    settings::Secret,
    unit::{Millis, Rate},
    wire::{Body, Frame, Limit, NameHash},
};

struct Scene {
    world: World,
    seq: u64,
}

impl Scene {
    /// A box that has run for a while, before these servers.
    fn new(servers: Vec<Backend>) -> Self {
        let mut world = World::new(servers);
        world.pass(5000);
        Self { world, seq: 0 }
    }

    /// Another box tells of a limit.
    fn tell(&mut self, server: &Backend, rate: Option<f64>, age: u64) -> Vec<Effect> {
        self.tell_all(vec![Limit {
            backend: NameHash::of(server.name.as_str()),
            life: server.life(),
            rate: rate.map(Rate),
            age: Millis(age),
        }])
    }

    fn tell_all(&mut self, limits: Vec<Limit>) -> Vec<Effect> {
        self.seq += 1;
        let frame = Frame {
            from: "other".parse().expect("a name"),
            incarnation: Incarnation(9),
            seq: self.seq,
            body: Body::Limits(limits),
        };
        self.world.step(Event::Received(frame))
    }

    /// What this box believes of a server.
    fn limit(&self, name: &str) -> Option<status::Limit> {
        let status: Status = self.world.state.status(self.world.now);
        let row = status
            .backends
            .into_iter()
            .find(|b| b.name.as_str() == name);
        row.expect("the server is known").limit
    }
}

#[test]
fn others_word_holds_and_names_who_told_it() {
    let one = engine("one", "ready", 0);
    let mut scene = Scene::new(vec![one.clone(), engine("two", "ready", 0)]);
    scene.tell(&one, Some(2.0), 300);
    scene.world.pass(100);
    let limit = scene.limit("one").expect("it is limited");
    assert_eq!(limit.rate, Rate(2.0));
    assert_eq!(limit.teller.expect("a box told it").as_str(), "other");
    assert!(limit.share.0 > 1.0 && limit.share.0 <= 2.0);
    assert_eq!(limit.age, Millis(400));
    assert!(scene.limit("two").is_none());
    scene.tell(&one, None, 100);
    assert!(scene.limit("one").is_none());
}

#[test]
fn word_of_another_life_is_left_aside() {
    let (first, second) = (life("one", "ready", 0, 5), life("one", "ready", 0, 6));
    let mut scene = Scene::new(vec![first.clone()]);
    scene.tell(&second, Some(2.0), 0);
    assert!(scene.limit("one").is_none(), "a life that is not known yet");
    scene.tell(&first, Some(2.0), 0);
    assert!(scene.limit("one").is_some());
    scene.world.step(news(Change::Put(second)));
    assert!(scene.limit("one").is_none(), "a new life names nothing");
    scene.tell(&first, Some(2.0), 0);
    assert!(scene.limit("one").is_none(), "a life that is over");
}

#[test]
fn nonsense_changes_nothing() {
    let one = engine("one", "ready", 0);
    let mut scene = Scene::new(vec![one.clone()]);
    for rate in [f64::NAN, f64::INFINITY, -2.0] {
        scene.tell(&one, Some(rate), 0);
        assert!(scene.limit("one").is_none(), "{rate}");
    }
    let stranger = engine("stranger", "ready", 0);
    scene.tell(&stranger, Some(1.0), 0);
    assert_eq!(scene.world.state.limited(), 0);
    scene.tell(&one, Some(1.0), u64::MAX);
    assert_eq!(scene.world.state.limited(), 1);
}

/// Messages that waited while a box stood still seem to be as young as when they were sent. The end of a limit
/// that stands in one of them may lie before the limit that the box heard of last.
#[test]
fn a_box_that_woke_takes_no_end_from_old_messages() {
    let one = engine("one", "ready", 0);
    let mut scene = Scene::new(vec![one.clone()]);
    scene.tell(&one, Some(1.0), 0);
    scene.world.now = scene.world.now + Millis(4000);
    scene.tell(&one, None, 0);
    scene.tell(&one, Some(9.0), 0);
    let limit = scene.limit("one").expect("it is limited");
    assert_eq!(limit.rate, Rate(1.0));
    scene.world.pass(1500);
    scene.tell(&one, None, 0);
    assert!(scene.limit("one").is_none());
}

/// What it heard itself it tells the others once, within a tick, however many answers say the same.
#[test]
fn a_change_is_told_once_and_an_odd_word_noted_once() {
    let one = engine("one", "ready", 0);
    let mut scene = Scene::new(vec![one.clone()]);
    let mut notes = 0;
    for word in [Announcement::Rate(Rate(1.0)), Announcement::Unreadable] {
        for _ in 0..20 {
            scene.world.now = scene.world.now + Millis(10);
            let (backend, sent) = (one.name.clone(), scene.world.now);
            let effects = scene.world.step(Event::Limited {
                backend,
                word,
                sent,
            });
            notes += effects
                .iter()
                .filter(|e| matches!(e, Effect::Noted(_)))
                .count();
        }
    }
    assert_eq!(notes, 2, "a line a change, and not one an answer");
    assert!(
        scene.limit("one").is_none(),
        "what cannot be read is no limit"
    );
}

/// Boxes that start together do not know each other yet, and each would take itself for the only one.
#[test]
fn a_box_that_just_started_has_no_share() {
    let one = engine("one", "ready", 0);
    let mut scene = Scene {
        world: World::new(vec![one.clone()]),
        seq: 0,
    };
    scene.world.pass(300);
    scene.tell(&one, Some(2.0), 0);
    scene.world.pass(1000);
    assert_eq!(scene.limit("one").expect("it is limited").share, Rate(0.0));
    scene.world.pass(1000);
    assert!(scene.limit("one").expect("it is limited").share.0 > 1.0);
}

/// What is told stays small: nothing where nobody names a limit, and about a kilobyte at most.
#[test]
fn limits_cost_few_bytes() {
    let secret: Secret = "0123456789abcdef".parse().expect("a secret");
    let size = |count: u32| {
        let limit = |number: u32| Limit {
            backend: NameHash(u32::MAX - number),
            life: NameHash(u32::MAX - number),
            rate: Some(Rate(3.9)),
            age: Millis(4000),
        };
        let frame = Frame {
            from: "other".parse().expect("a name"),
            incarnation: Incarnation(9),
            seq: 1,
            body: Body::Limits((0..count).map(limit).collect()),
        };
        frame.encode(&secret).len()
    };
    let one = size(2) - size(1);
    assert!(one <= 24, "{one} bytes a server");
    assert!(size(48) <= 1200, "{} bytes a message", size(48));
}
