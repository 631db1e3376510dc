//! Which limits reported by other boxes a box accepts: those for the current incarnation of a known
//! backend server, and the newest.

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

struct Fixture {
    world: World,
    seq: u64,
}

impl Fixture {
    /// Returns a box that has run for a while, with these backend servers.
    fn new(servers: Vec<Backend>) -> Self {
        let mut world = World::new(servers);
        world.pass(5000);
        Self { world, seq: 0 }
    }

    /// Delivers a limit reported by another box.
    fn receive(&mut self, server: &Backend, rate: Option<f64>, age: u64) -> Vec<Effect> {
        self.receive_all(vec![Limit {
            backend: NameHash::of(server.name.as_str()),
            life: server.life(),
            rate: rate.map(Rate),
            age: Millis(age),
        }])
    }

    fn receive_all(&mut self, limits: Vec<Limit>) -> Vec<Effect> {
        self.seq += 1;
        let frame = Frame {
            from: "other".parse().expect("valid name"),
            incarnation: Incarnation(9),
            seq: self.seq,
            body: Body::Limits(limits),
        };
        self.world.step(Event::Received(frame))
    }

    /// Returns the limit that this box assumes for a backend server.
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
fn reported_limit_holds_and_names_its_sender() {
    let one = engine("one", "ready", 0);
    let mut fixture = Fixture::new(vec![one.clone(), engine("two", "ready", 0)]);
    fixture.receive(&one, Some(2.0), 300);
    fixture.world.pass(100);
    let limit = fixture.limit("one").expect("backend server has a limit");
    assert_eq!(limit.rate, Rate(2.0));
    assert_eq!(
        limit.teller.expect("limit names its sender").as_str(),
        "other"
    );
    assert!(limit.share.0 > 1.0 && limit.share.0 <= 2.0);
    assert_eq!(limit.age, Millis(400));
    assert!(fixture.limit("two").is_none());
    fixture.receive(&one, None, 100);
    assert!(fixture.limit("one").is_none());
}

#[test]
fn limit_of_another_incarnation_is_ignored() {
    let (first, second) = (life("one", "ready", 0, 5), life("one", "ready", 0, 6));
    let mut fixture = Fixture::new(vec![first.clone()]);
    fixture.receive(&second, Some(2.0), 0);
    assert!(
        fixture.limit("one").is_none(),
        "an incarnation that is not known yet"
    );
    fixture.receive(&first, Some(2.0), 0);
    assert!(fixture.limit("one").is_some());
    fixture.world.step(news(Change::Put(second)));
    assert!(
        fixture.limit("one").is_none(),
        "a new incarnation has no limit"
    );
    fixture.receive(&first, Some(2.0), 0);
    assert!(
        fixture.limit("one").is_none(),
        "an incarnation that has ended"
    );
}

#[test]
fn invalid_limits_are_ignored() {
    let one = engine("one", "ready", 0);
    let mut fixture = Fixture::new(vec![one.clone()]);
    for rate in [f64::NAN, f64::INFINITY, -2.0] {
        fixture.receive(&one, Some(rate), 0);
        assert!(fixture.limit("one").is_none(), "{rate}");
    }
    let stranger = engine("stranger", "ready", 0);
    fixture.receive(&stranger, Some(1.0), 0);
    assert_eq!(fixture.world.state.limited(), 0);
    fixture.receive(&one, Some(1.0), u64::MAX);
    assert_eq!(fixture.world.state.limited(), 1);
}

/// Messages that waited while a box was suspended seem as young as when they were sent. The end of
/// a limit in one of them may be older than the limit that the box received last.
#[test]
fn resumed_box_ignores_limit_ends_in_old_messages() {
    let one = engine("one", "ready", 0);
    let mut fixture = Fixture::new(vec![one.clone()]);
    fixture.receive(&one, Some(1.0), 0);
    fixture.world.now = fixture.world.now + Millis(4000);
    fixture.receive(&one, None, 0);
    fixture.receive(&one, Some(9.0), 0);
    let limit = fixture.limit("one").expect("backend server has a limit");
    assert_eq!(limit.rate, Rate(1.0));
    fixture.world.pass(1500);
    fixture.receive(&one, None, 0);
    assert!(fixture.limit("one").is_none());
}

/// A box reports a limit that it read itself to the others once, within a tick, however many
/// answers repeat it.
#[test]
fn change_is_sent_once_and_unreadable_limit_noted_once() {
    let one = engine("one", "ready", 0);
    let mut fixture = Fixture::new(vec![one.clone()]);
    let mut notes = 0;
    for word in [Announcement::Rate(Rate(1.0)), Announcement::Unreadable] {
        for _ in 0..20 {
            fixture.world.now = fixture.world.now + Millis(10);
            let (backend, sent) = (one.name.clone(), fixture.world.now);
            let effects = fixture.world.step(Event::Limited {
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
        fixture.limit("one").is_none(),
        "what cannot be read is no limit"
    );
}

/// Boxes that start together do not know each other yet, and each would take itself for the only
/// one.
#[test]
fn a_box_that_just_started_has_no_share() {
    let one = engine("one", "ready", 0);
    let mut fixture = Fixture {
        world: World::new(vec![one.clone()]),
        seq: 0,
    };
    fixture.world.pass(300);
    fixture.receive(&one, Some(2.0), 0);
    fixture.world.pass(1000);
    assert_eq!(
        fixture
            .limit("one")
            .expect("backend server has a limit")
            .share,
        Rate(0.0)
    );
    fixture.world.pass(1000);
    assert!(
        fixture
            .limit("one")
            .expect("backend server has a limit")
            .share
            .0
            > 1.0
    );
}

/// Limit messages stay small: nothing if there is no limit, and about a kilobyte at most.
#[test]
fn limits_cost_few_bytes() {
    let secret: Secret = "0123456789abcdef".parse().expect("valid secret");
    let size = |count: u32| {
        let limit = |number: u32| Limit {
            backend: NameHash(u32::MAX - number),
            life: NameHash(u32::MAX - number),
            rate: Some(Rate(3.9)),
            age: Millis(4000),
        };
        let frame = Frame {
            from: "other".parse().expect("valid name"),
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
