//! Boxes that the store does not reach, and that heard of changes which nobody tells them.

mod harness;

use harness::{
    cold::{RATE, Region},
    crowd::TICK,
};
use petreldrum::{
    fleet::Revision,
    reducer::{effect::Effect, event::Event},
    unit::Millis,
    wire::Body,
};

/// Sizes of a region, with the box that the store does not reach as number 0.
const SIZES: [usize; 3] = [2, 3, 4];
/// Time from an evacuation until the evacuated servers become cold, in ms.
const WARM_MS: u64 = 5000;
/// Time that a stopping box takes to complete its requests, in ms.
const STOP_MS: u64 = 5400;

/// Delivers the store's answer to all boxes but number 0 each second.
fn pass_informed(region: &mut Region, seconds: u64, revision: u64) {
    for _ in 0..seconds {
        for number in 1..region.crowd.boxes.len() {
            let revision = Revision::first(revision);
            region.crowd.step(number, Event::Synced(revision));
        }
        region.pass(1000);
    }
}

/// Tells all boxes but number 0 that the backend server is evacuated.
fn evacuate(region: &mut Region, revision: u64) {
    let revision = Revision::first(revision);
    for number in 1..region.crowd.boxes.len() {
        let domains = ["a".parse().expect("valid name")].into();
        region
            .crowd
            .step(number, Event::Evacuated { domains, revision });
        region.crowd.step(number, Event::Synced(revision));
    }
}

/// Guards against a box that knows that it lacks changes and treats servers as warm, because the
/// boxes that have the changes do not answer, or have ended.
#[test]
fn box_that_lacks_changes_treats_servers_as_cold() {
    for (size, end) in SIZES
        .into_iter()
        .flat_map(|size| [(size, false), (size, true)])
    {
        let mut region = Region::warm(size, RATE);
        region.mute = (1..size).collect();
        pass_informed(&mut region, 2, 1);
        evacuate(&mut region, 2);
        region.pass(1000);
        if end {
            (1..size).for_each(|number| region.crowd.boxes[number] = None);
        }
        region.pass(3000);
        region.sent.clear();
        region.pass(3000);
        region.assert_rate_kept();
        if end {
            continue;
        }
        assert!(!region.sent.is_empty(), "some are served");
        region.mute.clear();
        region.pass(2000);
        let lag = region.crowd.boxes[0].as_ref().expect("the box runs");
        assert_eq!(lag.store_lag(region.crowd.clock(0)), Millis(0));
    }
}

/// Guards against a box that started after the store's last answer and states its own age as the age
/// of what it was told, so that its neighbours count as informed.
#[test]
fn starting_box_makes_no_knowledge_younger() {
    let mut region = Region::warm(2, RATE);
    region.pass(6000);
    let told_at = region.crowd.now;
    region.crowd.step(0, Event::Synced(Revision::first(1)));
    region.crowd.boxes[1] = None;
    region.pass(4000);
    region.crowd.launch(1);
    region.pass(2000);
    let mut claims = 0;
    for _ in 0..30 {
        region.crowd.now = region.crowd.now + Millis(TICK);
        let effects = region.crowd.tick();
        for (number, effect) in effects {
            let Effect::Gossip { frame, .. } = effect else {
                continue;
            };
            let Body::Heartbeat(heartbeat) = frame.body else {
                continue;
            };
            let age = heartbeat.store_age.0.filter(|_| number == 1);
            let oldest = region.crowd.now.since(told_at);
            assert!(age.is_none_or(|age| age >= oldest), "{age:?} of {oldest}");
            claims += usize::from(number == 1);
        }
    }
    assert!(claims > 0, "the box that started sends heartbeats");
}

/// Guards against a box that treats servers as warm after its last informed neighbour left by plan:
/// what the store reports after that reaches nobody here.
#[test]
fn box_whose_informed_neighbours_left_treats_servers_as_cold() {
    for (size, restarts) in SIZES
        .into_iter()
        .flat_map(|size| [(size, false), (size, true)])
    {
        let mut region = Region::warm(size, RATE);
        pass_informed(&mut region, 8, 1);
        for number in 1..size {
            region.crowd.step(number, Event::Stop(None));
        }
        region.pass(1000);
        (1..size).for_each(|number| region.crowd.boxes[number] = None);
        region.pass(1000);
        if restarts {
            (1..size).for_each(|number| region.crowd.launch(number));
        }
        region.pass(5000);
        // What the boxes that started send is not limited: the list is all that they know.
        region.crowd.frozen = (1..size).collect();
        region.sent.clear();
        region.pass(1000);
        region.assert_rate_kept();
        assert!(restarts || !region.sent.is_empty(), "some are served");
    }
}

/// Planned stops cost nothing where the store reaches nobody: what the stopping boxes know, all know.
#[test]
fn planned_stops_without_a_store_cost_nothing() {
    for size in [3, 4] {
        for away_s in [1, 3, 6] {
            let mut region = Region::warm(size, RATE);
            // Answers of the store come up to three seconds apart.
            for number in 0..size {
                let synced = Event::Synced(Revision::first(1));
                region.crowd.step(number, synced);
                region.pass(700);
            }
            region.pass(away_s * 1000);
            for number in 2..size {
                region.crowd.step(number, Event::Stop(None));
                region.pass(1000);
                region.crowd.boxes[number] = None;
                region.pass(1000);
                region.crowd.launch(number);
                region.pass(1000);
            }
            region.pass(4000);
            region.sent.clear();
            region.pass(1000);
            let rate = region.sent.len() as f64;
            assert!(rate > RATE * 4.0, "{rate} requests a second, {size} boxes");
        }
    }
}

/// A box that starts beside one that lacks changes gets a list that lacks them as well.
#[test]
fn starting_box_hears_what_its_neighbour_lacks() {
    let mut region = Region::warm(3, RATE);
    region.mute = vec![2];
    for _ in 0..2 {
        region.crowd.step(2, Event::Synced(Revision::first(1)));
        region.pass(1000);
    }
    region.crowd.step(2, Event::Synced(Revision::first(2)));
    region.pass(1000);
    region.crowd.boxes[2] = None;
    region.crowd.boxes[1] = None;
    region.pass(500);
    region.crowd.launch(1);
    region.pass(5000);
    region.sent.clear();
    region.pass(3000);
    region.assert_rate_kept();
}

/// Guards against a box that starts, that the store does not reach, and that has no list of servers
/// for as long as its only neighbour takes to stop.
#[test]
fn starting_box_gets_the_list_of_a_stopping_neighbour() {
    let mut region = Region::warm(2, RATE);
    region.crowd.step(1, Event::Stop(None));
    region.crowd.launch(0);
    region.pass(2000);
    let clock = region.crowd.clock(0);
    let started = region.crowd.boxes[0].as_ref().expect("the box runs");
    assert!(started.roster(clock, None).is_some(), "it has the list");
}

/// Guards against a box that floods cold servers of its evacuated domain: a cold server got 8
/// requests in a second, of 6.2 allowed.
///
/// Its neighbours had been told of the evacuation and were stopping, and it asked only boxes that
/// take work for what it lacked.
#[test]
fn box_hears_of_an_evacuation_from_stopping_neighbours() {
    for size in SIZES {
        let mut region = Region::warm(size, RATE);
        pass_informed(&mut region, 2, 1);
        evacuate(&mut region, 2);
        for number in 1..size {
            region.crowd.step(number, Event::Stop(None));
        }
        region.pass(WARM_MS);
        region.sent.clear();
        region.pass(STOP_MS - WARM_MS);
        (1..size).for_each(|number| region.crowd.boxes[number] = None);
        region.pass(2000);
        region.assert_rate_kept();
    }
}
