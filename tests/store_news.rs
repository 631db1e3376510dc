//! In a large region a few boxes, the hubs, follow the platform's store and pass its changes on to
//! the others.
//!
//! Guards against the cost of every box following the store by itself, where calls grow as boxes
//! times changes: at 295 boxes, 9,364 calls to the store were the largest cost of a day.

mod harness;

use std::{collections::BTreeSet, sync::Arc};

use bolero::check;
use harness::crowd::{Crowd, TICK, address};
use petreldrum::{
    config::{Backend, Builder, Labels},
    fleet::{Change, Era, OUTAGE_GRACE, RESTORE_GRACE, Revision},
    reducer::{
        effect::{Effect, Follow},
        event::Event,
    },
    unit::Millis,
    wire::Body,
};

/// Number of boxes of the region, in two failure domains, and of the small region that is fuzzed.
const BOXES: usize = 30;
const FUZZED_BOXES: usize = 8;
/// Time between two answers of the store to a follower, in ticks.
const ANSWER_TICKS: u64 = 10;

/// Simulated store.
#[derive(Default)]
struct Store {
    /// Changes, by revision from 1 on.
    changes: Vec<Change>,
    /// Boxes whose calls the store refuses.
    refused: BTreeSet<usize>,
    /// Number of restores from a copy.
    era: Era,
}

/// A region of boxes and its store.
struct Region {
    crowd: Crowd,
    store: Store,
    follow: Vec<Follow>,
    /// Number of changes that each box got from the store directly.
    sent: Vec<usize>,
    /// Era of the last answer of the store to each box.
    sent_era: Vec<Era>,
    /// Number of fetches of the server list from another box.
    fetched: usize,
    ticks: u64,
}

fn backend(number: u64, leaving: bool) -> Backend {
    Backend {
        name: format!("s{number}").parse().expect("valid name"),
        address: address(100 + number as u16),
        region: "perth".parse().expect("valid name"),
        domain: "a".parse().expect("valid name"),
        serves: vec!["read".parse().expect("valid name")],
        labels: Labels::default(),
        slots: 4,
        price: 0.0,
        leaving,
        time_left: None,
        headers: Default::default(),
        release: None,
        cold: Millis(0),
        incarnation: None,
    }
}

impl Region {
    fn new() -> Self {
        Self::of(BOXES)
    }

    fn of(boxes: usize) -> Self {
        let mut region = Self {
            crowd: Crowd::in_two_domains(boxes, Arc::new(Builder::default().build())),
            store: Store::default(),
            follow: vec![Follow::Direct; boxes],
            sent: vec![0; boxes],
            sent_era: vec![Era::default(); boxes],
            fetched: 0,
            ticks: 0,
        };
        for number in 0..boxes {
            region.send_all(number);
        }
        region.pass(5000);
        region
    }

    fn until(&self) -> Revision {
        self.at(self.store.changes.len())
    }

    fn at(&self, number: usize) -> Revision {
        let (era, number) = (self.store.era, number as u64);
        Revision { era, number }
    }

    /// Restores the store from a copy that lacks its last changes.
    fn restore(&mut self, lacks: usize) {
        let left = self.store.changes.len().saturating_sub(lacks);
        self.store.changes.truncate(left);
        self.store.era.0 += 1;
    }

    /// Sends the whole list of the store to a box.
    fn send_all(&mut self, number: usize) {
        let mut backends = std::collections::BTreeMap::new();
        for change in &self.store.changes {
            match change {
                Change::Put(backend) => {
                    backends.insert(backend.name.clone(), backend.clone());
                }
                Change::Removed { name, .. } => {
                    backends.remove(name);
                }
                Change::List { .. } => {}
            }
        }
        let backends: Vec<Backend> = backends.into_values().collect();
        let doubt = match self.sent_era[number] == self.store.era {
            true => Millis(0),
            false => OUTAGE_GRACE,
        };
        let change = Change::List {
            backends,
            grace: doubt,
        };
        let revision = self.until();
        self.step(number, Event::Fleet { change, revision });
        self.step(number, Event::Synced(revision));
        self.sent[number] = self.store.changes.len();
        self.sent_era[number] = self.store.era;
    }

    /// Sends new changes of the store to a box that follows it.
    fn answer(&mut self, number: usize) {
        if self.follow[number] == Follow::Forwarded || self.store.refused.contains(&number) {
            return;
        }
        if self.sent_era[number] != self.store.era {
            return self.send_all(number);
        }
        let new = self.store.changes[self.sent[number]..].to_vec();
        for (at, change) in new.into_iter().enumerate() {
            let revision = self.at(self.sent[number] + at + 1);
            self.step(number, Event::Fleet { change, revision });
        }
        self.sent[number] = self.store.changes.len();
        let revision = self.until();
        self.step(number, Event::Synced(revision));
    }

    fn step(&mut self, number: usize, event: Event) {
        let before = self.revision(number);
        let effects = self.crowd.step(number, event);
        assert!(
            self.revision(number) >= before,
            "the known revision went backwards"
        );
        for effect in effects {
            self.carry_out(number, effect);
        }
    }

    fn carry_out(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Follow(follow) => {
                let resumes = self.follow[number] == Follow::Forwarded;
                self.follow[number] = follow;
                if resumes && !self.store.refused.contains(&number) {
                    self.send_all(number);
                }
            }
            Effect::FetchRoster { peer, since } => {
                self.fetched += 1;
                let now = self.crowd.now;
                let other =
                    (0..self.sent.len()).find(|n| address(1000 + 10 * *n as u16 + 1) == peer);
                let state = other.and_then(|n| self.crowd.boxes[n].as_ref());
                if let Some(roster) = state.and_then(|state| state.roster(now, since)) {
                    self.step(number, Event::Roster(roster));
                }
            }
            _ => {}
        }
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / TICK {
            self.crowd.now = self.crowd.now + Millis(TICK);
            self.ticks += 1;
            for (number, effect) in self.crowd.tick() {
                self.carry_out(number, effect);
            }
            for number in 0..self.sent.len() {
                if (self.ticks + number as u64).is_multiple_of(ANSWER_TICKS) {
                    self.answer(number);
                }
            }
        }
    }

    fn revision(&self, number: usize) -> Revision {
        let state = self.crowd.boxes[number].as_ref();
        state.map_or(Revision::first(0), |state| state.revision())
    }

    fn hubs(&self) -> Vec<usize> {
        let hub = |n: &usize| self.follow[*n] == Follow::Hub && self.crowd.boxes[*n].is_some();
        (0..self.sent.len()).filter(hub).collect()
    }

    /// Writes the entry of a server to the store.
    fn change(&mut self, number: u64, leaving: bool) {
        let change = Change::Put(backend(number, leaving));
        self.store.changes.push(change);
    }

    /// Returns the live boxes that do not know the latest revision.
    fn behind(&self) -> Vec<usize> {
        let until = self.until();
        let behind = |n: &usize| self.crowd.boxes[*n].is_some() && self.revision(*n) < until;
        (0..self.sent.len()).filter(behind).collect()
    }

    /// Performs a change of the store, or starts or ends a fault that keeps boxes from learning of
    /// it.
    fn inject(&mut self, kind: u8, leaving: bool, which: u8) {
        let number = usize::from(which) % FUZZED_BOXES;
        match kind {
            0 => self.change(u64::from(which % 8), leaving),
            1 => {
                let name = backend(u64::from(which % 8), false).name;
                let doubt = Millis(0);
                self.store
                    .changes
                    .push(Change::Removed { name, grace: doubt });
            }
            2 => self.store.refused.extend(self.hubs()),
            3 => self.store.refused.clear(),
            4 => self.crowd.frozen.push(number),
            5 => self.crowd.frozen.clear(),
            _ => {
                let hubs = self.hubs();
                self.crowd.cut = hubs.iter().map(|hub| (*hub, number)).collect();
            }
        }
        self.pass(u64::from(which % 16) * TICK);
    }

    /// Ends all faults and checks that all boxes then know the same.
    fn settle(&mut self) {
        self.store.refused.clear();
        self.crowd.frozen.clear();
        self.crowd.cut.clear();
        self.pass(5000);
        assert!(self.behind().is_empty(), "{:?}", self.behind());
        let leaving = |n: usize| (0..8).map(move |s| (n, s));
        for (number, server) in (0..FUZZED_BOXES).flat_map(leaving) {
            let knows = self.knows_leaving(number, server);
            assert_eq!(knows, self.knows_leaving(0, server), "box {number}");
        }
    }

    fn knows_leaving(&self, number: usize, server: u64) -> bool {
        let state = self.crowd.boxes[number].as_ref().expect("the box is alive");
        let roster = state
            .roster(self.crowd.now, None)
            .expect("the box knows a list");
        let name = backend(server, true).name;
        roster.backends.iter().any(|b| b.name == name && b.leaving)
    }
}

#[test]
fn only_hubs_follow() {
    let region = Region::new();
    let followers = region.follow.iter().filter(|f| **f != Follow::Forwarded);
    assert_eq!(followers.count(), 4, "two of each failure domain");
    assert_eq!(region.hubs().len(), 4);
}

#[test]
fn small_regions_have_none() {
    let mut crowd = Crowd::on_platform(3, Arc::new(Builder::default().build()));
    let mut followed = Vec::new();
    for _ in 0..100 {
        crowd.now = crowd.now + Millis(TICK);
        followed.extend(crowd.tick());
    }
    assert!(!followed.iter().any(|(_, e)| matches!(e, Effect::Follow(_))));
}

#[test]
fn news_reach_all_boxes_at_once() {
    let mut region = Region::new();
    region.change(1, false);
    region.pass(2000);
    region.change(1, true);
    // A hub learns of it within the store's answer interval, and the others two ticks later.
    region.pass(ANSWER_TICKS * TICK + 2 * TICK);
    assert!(
        region.behind().is_empty(),
        "{:?} have not got the change",
        region.behind()
    );
    for number in 0..BOXES {
        assert!(region.knows_leaving(number, 1), "box {number}");
    }
    assert_eq!(region.fetched, 0, "a box missed a change");
}

/// The platform's shortest bound on how soon a change must be known is 3 s.
#[test]
fn dead_hubs_are_replaced_in_time() {
    let mut region = Region::new();
    region.change(1, false);
    region.pass(2000);
    for hub in region.hubs() {
        region.crowd.boxes[hub] = None;
    }
    region.change(1, true);
    region.pass(3000);
    assert!(region.behind().is_empty(), "{:?}", region.behind());
    region.pass(10_000);
    assert_eq!(region.hubs().len(), 4, "other boxes became hubs");
    let alone = region.follow.iter().zip(&region.crowd.boxes);
    let alone = alone.filter(|(f, state)| **f == Follow::Direct && state.is_some());
    assert_eq!(alone.count(), 0);
}

#[test]
fn frozen_hubs_are_replaced_in_time() {
    let mut region = Region::new();
    region.crowd.frozen = region.hubs();
    region.store.refused = region.hubs().into_iter().collect();
    region.change(1, true);
    region.pass(3000);
    let frozen = region.crowd.frozen.clone();
    let behind: Vec<usize> = region.behind();
    assert!(behind.iter().all(|n| frozen.contains(n)), "{behind:?}");
}

/// The store refuses calls of the hubs and serves the other boxes.
#[test]
fn hubs_without_word_are_left_in_time() {
    let mut region = Region::new();
    region.store.refused = region.hubs().into_iter().collect();
    region.change(1, true);
    region.pass(3000);
    let behind = region.behind();
    let refused = &region.store.refused;
    assert!(behind.iter().all(|n| refused.contains(n)), "{behind:?}");
    region.store.refused.clear();
    region.pass(5000);
    let followers = region.follow.iter().filter(|f| **f != Follow::Forwarded);
    assert_eq!(followers.count(), 4, "two hubs in each failure domain");
    assert!(region.behind().is_empty(), "{:?}", region.behind());
}

#[test]
fn who_missed_news_asks_for_all() {
    let mut region = Region::new();
    let hubs = region.hubs();
    let member = (0..BOXES)
        .find(|n| !hubs.contains(n))
        .expect("a box that is no hub");
    region.crowd.cut = hubs.iter().map(|hub| (*hub, member)).collect();
    region.change(1, true);
    region.pass(1200);
    region.crowd.cut.clear();
    region.pass(800);
    assert!(region.fetched > 0, "the box fetched no list");
    assert!(region.knows_leaving(member, 1));
}

/// Fuzzes changes of the store and faults (boxes that freeze, hubs that the store refuses, messages
/// of hubs that are lost) in any order: the revision that a box knows never goes backwards, and at
/// the end all boxes know the same.
#[test]
fn news_settle_after_any_trouble() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|actions| {
        let mut region = Region::of(FUZZED_BOXES);
        for (kind, which) in actions.iter().take(16) {
            region.inject(kind % 7, kind % 2 == 0, *which);
        }
        region.settle();
    });
}

/// The same with a store that is also restored from copies.
#[test]
fn news_settle_though_the_store_comes_back_from_copies() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|actions| {
        let mut region = Region::of(FUZZED_BOXES);
        for (kind, which) in actions.iter().take(16) {
            match kind % 9 {
                7 | 8 => region.restore(usize::from(*which % 4)),
                kind => region.inject(kind, kind % 2 == 0, *which),
            }
        }
        // Wait until changes that the copies lacked are no longer in doubt.
        region.pass(RESTORE_GRACE.0);
        region.settle();
    });
}

/// Guards against incomplete updates from a box that has just become a hub. A box kept changes for
/// the others only while it was a hub. One that became a hub between a change and the end of its
/// batch passed on an update that looked complete (`since` and `until` were right) and lacked the
/// change. Found by reading the code; a batch is now delivered without a tick in between.
#[test]
fn a_hub_tells_what_it_was_told_before_it_was_one() {
    let mut region = Region::new();
    for hub in region.hubs() {
        region.crowd.boxes[hub] = None;
    }
    let alive = |region: &Region, number: &usize| region.crowd.boxes[*number].is_some();
    let others: Vec<usize> = (0..BOXES).filter(|n| alive(&region, n)).collect();
    for number in &others {
        let change = Change::Put(backend(1, false));
        let revision = Revision::first(1);
        let event = Event::Fleet { change, revision };
        drop(region.crowd.step(*number, event));
    }
    let mut new_hub = None;
    while new_hub.is_none() {
        region.crowd.now = region.crowd.now + Millis(TICK);
        let effects = region.crowd.tick();
        let hub = |(number, effect): &(usize, Effect)| match effect {
            Effect::Follow(Follow::Hub) => Some(*number),
            _ => None,
        };
        new_hub = effects.iter().find_map(hub);
    }
    let hub = new_hub.expect("a box becomes a hub");
    let effects = region.crowd.step(hub, Event::Synced(Revision::first(1)));
    let news = effects.iter().find_map(|effect| match effect {
        Effect::Gossip { frame, .. } => match &frame.body {
            Body::StoreUpdate(news) => Some(news.clone()),
            _ => None,
        },
        _ => None,
    });
    let news = news.expect("the hub passes the change on");
    assert!(news.since.is_none() || news.changes.len() == 1);
}
