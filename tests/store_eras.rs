//! The platform's store is restored from a copy some seconds old, so it assigns revisions a second
//! time. Each restore starts a new era; revisions are ordered by era first.

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

/// Time within which a change in the store must take effect.
const EFFECT_TIME: Duration = Duration::from_secs(3);

/// Starts two boxes and three servers. The boxes know ten changes that the returned copy lacks.
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
        eventually("the store is read again in full", async || {
            entry.log.text().matches("read everything").count() > 1
        })
        .await;
    }
}

fn arrivals(cloud: &Cloud, name: &str, since: Instant) -> usize {
    let arrivals = cloud.workers[name].arrivals();
    arrivals.iter().filter(|at| **at > since).count()
}

async fn assert_no_requests(cloud: &Cloud, name: &str) {
    let since = Instant::now();
    let answers = cloud.press_all("a", Duration::from_secs(2)).await;
    let late = arrivals(cloud, name, since);
    assert_eq!(late, 0, "requests came to a server that leaves");
    assert!(answers.iter().all(|answer| answer.status.is_success()));
}

// The revision of the change is lower than those that the boxes knew before the restore.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_leaves_in_a_new_era_gets_no_more() {
    let (cloud, copy) = cloud().await;
    cloud.restore_store(&copy).await;
    read_again(&cloud).await;
    let address = cloud.workers["w-1"].address;
    cloud.register("w-1", address, "atl", "draining");
    sleep(EFFECT_TIME).await;
    assert_no_requests(&cloud, "w-1").await;
}

// The restored store has assigned the revision from which a watch resumes to another change.
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
    assert_no_requests(&cloud, "w-1").await;
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
    for malformed in ["", "17", "e2", "er", "e2r", "r17", "e2r-1", "e2r1x"] {
        assert!(malformed.parse::<Revision>().is_err(), "{malformed}");
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
    let domains = domains.iter().map(|d| d.parse().expect("valid name"));
    Event::Evacuated {
        domains: domains.collect::<BTreeSet<_>>(),
        revision,
    }
}

/// Returns a box that knows these servers up to revision 20 of the first era.
fn world(backends: &[Backend]) -> World {
    let mut world = World::new(backends.to_vec());
    world.step(list(backends, at(1, 20)));
    world.step(Event::Synced(at(1, 20)));
    world.pass(5000);
    world
}

/// Reports whether requests may go to any server.
fn is_served(world: &World) -> bool {
    let status = world.state.status(world.now);
    status.backends.iter().any(|backend| backend.used)
}

// The copy is older than the server's announcement that it leaves, and the server has not written
// again.
#[test]
fn a_server_that_was_leaving_stays_so() {
    let one = life("one", "ready", 0, 5);
    let mut world = world(std::slice::from_ref(&one));
    world.step(put(&life("one", "draining", 0, 5), at(1, 21)));
    world.step(list(std::slice::from_ref(&one), at(2, 17)));
    assert!(
        !is_served(&world),
        "the outdated entry of the copy was used"
    );
    world.pass(20_000);
    assert!(!is_served(&world));
    assert_eq!(
        world.state.departing(),
        1,
        "the departure is sent to other boxes"
    );
    world.step(put(&life("one", "ready", 0, 6), at(2, 18)));
    assert!(is_served(&world), "a new incarnation");
}

#[test]
fn a_server_that_was_gone_is_out_until_it_writes_again() {
    let one = life("one", "ready", 0, 5);
    let mut world = world(std::slice::from_ref(&one));
    world.step(gone(&one, at(1, 21)));
    world.step(list(std::slice::from_ref(&one), at(2, 17)));
    assert!(!is_served(&world));
    // Reading the copy again, or a second restore, does not change that.
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
    let roster = world
        .state
        .roster(world.now, None)
        .expect("the box knows a list");
    assert_eq!(
        roster.backends.len(),
        1,
        "other boxes get the list of the store"
    );
    world.pass(RESTORE_GRACE.0 - 200);
    assert!(!is_served(&world));
    world.pass(300);
    assert!(is_served(&world));
}

// The server is removed once more while it is withheld, so it is not among the servers in use.
#[test]
fn a_withheld_server_that_goes_again_is_told_as_gone() {
    let one = life("one", "ready", 0, 5);
    let mut teller = world(std::slice::from_ref(&one));
    let mut told = world(std::slice::from_ref(&one));
    for world in [&mut teller, &mut told] {
        world.step(gone(&one, at(1, 21)));
        world.step(list(std::slice::from_ref(&one), at(2, 17)));
        world.step(Event::Synced(at(2, 17)));
    }
    teller.step(list(&[], at(2, 18)));
    teller.step(Event::Synced(at(2, 18)));
    let roster = teller.state.roster(teller.now, Some(at(2, 17)));
    let roster = roster.expect("the box knows a list");
    assert_eq!(roster.since, Some(at(2, 17)), "changes alone are sent");
    assert_eq!(roster.removed, std::slice::from_ref(&one.name));
    told.step(Event::Roster(roster));
    assert_eq!(told.state.revision(), at(2, 18));
    told.pass(RESTORE_GRACE.0 + 200);
    assert!(!is_served(&told));
}

#[test]
fn a_server_that_the_copy_lacks_is_believed_until_it_writes_again() {
    let (one, two) = (life("one", "ready", 0, 5), life("two", "ready", 0, 5));
    let mut world = world(&[one.clone(), two.clone()]);
    world.step(list(std::slice::from_ref(&one), at(2, 17)));
    assert_eq!(
        world.state.roster(world.now, None).map(backend_count),
        Some(2)
    );
    world.step(put(&two, at(2, 18)));
    world.pass(OUTAGE_GRACE.0 + 100);
    assert_eq!(
        world.state.roster(world.now, None).map(backend_count),
        Some(2)
    );
}

fn backend_count(roster: petreldrum::fleet::Roster) -> usize {
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
    assert!(!is_served(&world), "the evacuation was written again");
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

// Boxes learn of a new era at different times.
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
    // The late box knows a higher revision of an earlier era, so it is sent the whole list.
    let roster = early.state.roster(early.now, Some(late.state.revision()));
    let roster = roster.expect("the box knows a list");
    assert_eq!(roster.since, None);
    late.step(Event::Roster(roster));
    assert_eq!(late.state.revision(), at(2, 18));
    assert!(!is_served(&late));
    // Changes of the earlier era are dropped.
    late.step(put(&one, at(1, 31)));
    assert!(!is_served(&late));
    let old = world(std::slice::from_ref(&one));
    let old = old
        .state
        .roster(old.now, None)
        .expect("the box knows a list");
    late.step(Event::Roster(old));
    assert_eq!(late.state.revision(), at(2, 18));
}
