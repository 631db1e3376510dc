//! The platform's store comes back from a copy some seconds old: its revisions are given out again.

mod harness;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use harness::{
    cloud::Cloud,
    engines::{World, life},
    eventually,
};
use petreldrum::{
    config::Backend,
    fleet::{Change, Era, OUTAGE_GRACE, RESTORE_GRACE, Revision},
    reducer::event::Event,
    unit::Millis,
};
use petreldrum_standin::registry::Copy;
use tokio::time::sleep;

/// By when news of the store must be in force.
const FORCE: Duration = Duration::from_secs(3);

/// Two boxes and three servers, which know ten changes more than the copy has.
async fn cloud() -> (Cloud, Copy) {
    let mut cloud = Cloud::serving(&["w-1", "w-2", "w-3"]).await;
    cloud.add_box("atl").await;
    cloud.settled().await;
    let copy = cloud.registry.copy();
    for version in 2..12 {
        cloud.configure(version);
    }
    for entry in &cloud.boxes {
        eventually("the last change is known", async || {
            entry.log.text().contains("configuration v11 is in force")
        })
        .await;
    }
    (cloud, copy)
}

async fn read_again(cloud: &Cloud) {
    for entry in &cloud.boxes {
        eventually("everything is read again", async || {
            entry.log.text().matches("read everything").count() > 1
        })
        .await;
    }
}

fn arrivals(cloud: &Cloud, name: &str, since: Instant) -> usize {
    let arrivals = cloud.workers[name].arrivals();
    arrivals.iter().filter(|at| **at > since).count()
}

async fn nothing_goes_to(cloud: &Cloud, name: &str) {
    let since = Instant::now();
    let answers = cloud.press_all("a", Duration::from_secs(2)).await;
    let late = arrivals(cloud, name, since);
    assert_eq!(late, 0, "requests came to a server that leaves");
    assert!(answers.iter().all(|answer| answer.status.is_success()));
}

// The number of the news is lower than those that the boxes knew before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_leaves_in_a_new_era_gets_no_more() {
    let (cloud, copy) = cloud().await;
    cloud.restore_store(&copy).await;
    read_again(&cloud).await;
    let address = cloud.workers["w-1"].address;
    cloud.register("w-1", address, "atl", "draining");
    sleep(FORCE).await;
    nothing_goes_to(&cloud, "w-1").await;
}

// The store knows the number that a watch goes on from, and means another change by it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_watch_from_a_number_given_out_again_misses_nothing() {
    let (cloud, copy) = cloud().await;
    let address = cloud.workers["w-1"].address;
    cloud.restore_store(&copy).await;
    cloud.register("w-1", address, "atl", "draining");
    for version in 2..20 {
        cloud.configure(version);
    }
    read_again(&cloud).await;
    let log = cloud.boxes[0].log.text();
    assert!(log.contains("it came back from a copy; reading everything again"));
    nothing_goes_to(&cloud, "w-1").await;
}

#[test]
fn revisions_are_read_as_they_are_written() {
    let revision = Revision {
        era: Era(2),
        number: 17,
    };
    assert_eq!(revision.to_string(), "e2r17");
    assert_eq!("e2r17".parse(), Ok(revision));
    assert!(Revision::first(100) < revision);
    for odd in ["", "17", "e2", "er", "e2r", "r17", "e2r-1", "e2r1x"] {
        assert!(odd.parse::<Revision>().is_err(), "{odd}");
    }
}

fn at(era: u64, number: u64) -> Revision {
    let era = Era(era);
    Revision { era, number }
}

fn list(backends: &[Backend], revision: Revision) -> Event {
    let change = Change::List {
        backends: backends.to_vec(),
        grace: OUTAGE_GRACE,
    };
    Event::Fleet { change, revision }
}

fn put(backend: &Backend, revision: Revision) -> Event {
    let change = Change::Put(backend.clone());
    Event::Fleet { change, revision }
}

fn gone(backend: &Backend, revision: Revision) -> Event {
    let change = Change::Removed {
        name: backend.name.clone(),
        grace: Millis(0),
    };
    Event::Fleet { change, revision }
}

fn evacuated(domains: &[&str], revision: Revision) -> Event {
    let domains = domains.iter().map(|d| d.parse().expect("a name"));
    Event::Evacuated {
        domains: domains.collect::<BTreeSet<_>>(),
        revision,
    }
}

/// A box that knows these servers up to number 20 of the first era.
fn world(backends: &[Backend]) -> World {
    let mut world = World::new(backends.to_vec());
    world.step(list(backends, at(1, 20)));
    world.step(Event::Synced(at(1, 20)));
    world.pass(5000);
    world
}

/// Whether requests may go to the one server.
fn is_served(world: &World) -> bool {
    let status = world.state.status(world.now);
    status.backends.iter().any(|backend| backend.used)
}

// The copy is older than the server's word, and the server has not written again yet.
#[test]
fn a_server_that_was_leaving_stays_so() {
    let one = life("one", "ready", 0, 5);
    let mut world = world(std::slice::from_ref(&one));
    world.step(put(&life("one", "draining", 0, 5), at(1, 21)));
    world.step(list(std::slice::from_ref(&one), at(2, 17)));
    assert!(!is_served(&world), "the copy says that it takes work");
    world.pass(20_000);
    assert!(!is_served(&world));
    assert_eq!(world.state.departing(), 1, "others are told");
    world.step(put(&life("one", "ready", 0, 6), at(2, 18)));
    assert!(is_served(&world), "another life");
}

#[test]
fn a_server_that_was_gone_is_out_until_it_writes_again() {
    let one = life("one", "ready", 0, 5);
    let mut world = world(std::slice::from_ref(&one));
    world.step(gone(&one, at(1, 21)));
    world.step(list(std::slice::from_ref(&one), at(2, 17)));
    assert!(!is_served(&world));
    // A second reading, and a second copy, say no more than the first.
    world.step(list(std::slice::from_ref(&one), at(2, 17)));
    world.step(list(std::slice::from_ref(&one), at(3, 16)));
    assert!(!is_served(&world));
    world.step(put(&one, at(3, 18)));
    assert!(is_served(&world));
}

#[test]
fn what_the_copy_still_tells_after_a_while_is_believed() {
    let one = life("one", "ready", 0, 5);
    let mut world = world(std::slice::from_ref(&one));
    world.step(gone(&one, at(1, 21)));
    world.step(list(std::slice::from_ref(&one), at(2, 17)));
    let roster = world.state.roster(world.now, None).expect("a list");
    assert_eq!(roster.backends.len(), 1, "others hear what the store tells");
    world.pass(RESTORE_GRACE.0 - 200);
    assert!(!is_served(&world));
    world.pass(300);
    assert!(is_served(&world));
}

#[test]
fn a_server_that_the_copy_lacks_is_believed_until_it_writes_again() {
    let (one, two) = (life("one", "ready", 0, 5), life("two", "ready", 0, 5));
    let mut world = world(&[one.clone(), two.clone()]);
    world.step(list(std::slice::from_ref(&one), at(2, 17)));
    assert_eq!(world.state.roster(world.now, None).map(known), Some(2));
    world.step(put(&two, at(2, 18)));
    world.pass(OUTAGE_GRACE.0 + 100);
    assert_eq!(world.state.roster(world.now, None).map(known), Some(2));
}

fn known(roster: petreldrum::fleet::Roster) -> usize {
    roster.backends.len()
}

#[test]
fn an_evacuation_that_the_copy_lacks_holds_until_it_is_told_again() {
    let one = life("one", "ready", 0, 5);
    let mut world = world(std::slice::from_ref(&one));
    world.step(evacuated(&["atl-a"], at(1, 21)));
    world.step(evacuated(&[], at(2, 17)));
    world.step(list(std::slice::from_ref(&one), at(2, 17)));
    assert!(!is_served(&world), "the copy is older than the order");
    world.step(evacuated(&["atl-a"], at(2, 18)));
    world.pass(RESTORE_GRACE.0 + 1000);
    assert!(!is_served(&world), "it was told again");
    world.step(evacuated(&[], at(2, 19)));
    assert!(is_served(&world));
}

#[test]
fn an_evacuation_that_is_not_told_again_ends() {
    let one = life("one", "ready", 0, 5);
    let mut world = world(std::slice::from_ref(&one));
    world.step(evacuated(&["atl-a"], at(1, 21)));
    world.step(evacuated(&[], at(2, 17)));
    world.pass(RESTORE_GRACE.0 + 100);
    assert!(is_served(&world));
}

// Boxes learn of a new era one after the other.
#[test]
fn lists_of_an_earlier_era_are_old() {
    let one = life("one", "ready", 0, 5);
    let leaving = life("one", "draining", 0, 5);
    let mut late = world(std::slice::from_ref(&one));
    let mut early = world(std::slice::from_ref(&one));
    late.step(Event::Synced(at(1, 30)));
    early.step(list(std::slice::from_ref(&one), at(2, 17)));
    early.step(put(&leaving, at(2, 18)));
    early.step(Event::Synced(at(2, 18)));
    // The late box knows a higher number, of an earlier era: it is sent the whole list.
    let roster = early.state.roster(early.now, Some(late.state.revision()));
    let roster = roster.expect("a list");
    assert_eq!(roster.since, None);
    late.step(Event::Roster(roster));
    assert_eq!(late.state.revision(), at(2, 18));
    assert!(!is_served(&late));
    // What the earlier era still tells is dropped.
    late.step(put(&one, at(1, 31)));
    assert!(!is_served(&late));
    let old = world(std::slice::from_ref(&one));
    let old = old.state.roster(old.now, None).expect("a list");
    late.step(Event::Roster(old));
    assert_eq!(late.state.revision(), at(2, 18));
}
