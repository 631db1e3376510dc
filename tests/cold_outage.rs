//! Backend servers that become cold while the platform's store is silent, which only they can tell.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    cloud::Cloud,
    cold::{RATE, Region},
};
use petreldrum::{fleet::Revision, reducer::event::Event, unit::Millis};
use petreldrum_standin::registry::Fault;
use tokio::time::sleep;

/// Most requests that a cold server may get in a second.
fn allowed(rate: f64) -> f64 {
    rate * 1.5 + 3.0
}

/// Most requests in any second among those that arrived from `from` to `until`.
fn max_in_a_second(arrivals: &[Instant], from: Instant, until: Instant) -> usize {
    let cold: Vec<Instant> = arrivals
        .iter()
        .copied()
        .filter(|at| (from..until).contains(at))
        .collect();
    let within = |first: &Instant| {
        let second = *first..*first + Duration::from_secs(1);
        cold.iter().filter(|at| second.contains(*at)).count()
    };
    cold.iter().map(within).max().unwrap_or(0)
}

/// Lets the store answer all boxes for a while.
fn pass_informed(region: &mut Region, seconds: u64) {
    for _ in 0..seconds {
        for number in 0..region.crowd.boxes.len() {
            region.crowd.step(number, Event::Synced(Revision::first(1)));
        }
        region.pass(1000);
    }
}

/// Lets the store fall silent, which box 0 notices, and the server become cold later.
fn lose_store(region: &mut Region, cold_after: u64, cold_for: u64) {
    region.crowd.step(0, Event::StoreSilent);
    let from = region.crowd.now + Millis(cold_after);
    region.cold_span = Some((from, from + Millis(cold_for)));
}

// Four engines fell over on each of three seeds: a failure domain was evacuated and its engines
// became cold while the platform's store answered nobody.
#[tokio::test]
async fn servers_that_become_cold_during_an_outage_keep_their_rate() {
    let mut cloud = Cloud::start().await;
    cloud.configure_cold_rate(1, RATE);
    cloud.add_worker("i-1", "atl").await;
    for _ in 0..3 {
        cloud.add_box("atl").await;
    }
    cloud.settled().await;
    let press = cloud.press_all("r", Duration::from_secs(14));
    let outage = async {
        sleep(Duration::from_secs(4)).await;
        cloud.registry.set_fault(Fault::Silent);
        sleep(Duration::from_secs(2)).await;
        let (from, worker) = (Instant::now(), &cloud.workers["i-1"]);
        worker.become_cold(Duration::from_secs(4));
        sleep(Duration::from_secs(4)).await;
        let until = Instant::now();
        cloud.registry.set_fault(Fault::None);
        (from, until)
    };
    let (answers, (from, until)) = tokio::join!(press, outage);
    let count = max_in_a_second(&cloud.workers["i-1"].arrivals(), from, until);
    assert!(
        (1..=allowed(RATE) as usize).contains(&count),
        "{count} requests in a second to a cold server"
    );
    assert!(answers.iter().any(|answer| answer.status == 200));
}

// A cold server got all that its callers asked for until the store was heard again, whatever the
// number of boxes.
#[test]
fn boxes_learn_from_a_server_that_it_is_cold() {
    for (size, rate) in [(1, 4.0), (2, 2.1), (3, 8.0), (5, 8.0), (9, 8.0), (12, 60.0)] {
        let mut region = Region::checked(size, rate);
        pass_informed(&mut region, 3);
        lose_store(&mut region, 2000, 3000);
        region.pass(6000);
        let count = region.max_while_cold();
        assert!(
            count as f64 <= allowed(rate),
            "{count} in a second from {size} boxes at {rate}"
        );
        assert!(count > 0, "a cold server is used");
    }
}

// In a region of more boxes than a cold server takes requests, the first one that learns it tells the
// others.
#[test]
fn large_regions_learn_it_from_each_other() {
    for size in [26, 60] {
        let mut region = Region::checked(size, RATE);
        // 130 requests a second from all boxes together.
        region.step_ms = size as u64 * 1000 / 130 / 2 * 2;
        pass_informed(&mut region, 3);
        lose_store(&mut region, 2000, 3000);
        region.pass(6000);
        let count = region.max_while_cold();
        assert!(
            count as f64 <= allowed(RATE),
            "{count} in a second from {size} boxes"
        );
    }
}

/// A warm server is asked while the store is silent, and gets what it got before.
#[test]
fn outage_costs_warm_servers_nothing() {
    for size in [1, 3, 9] {
        let mut region = Region::checked(size, RATE);
        region.step_ms = 20;
        pass_informed(&mut region, 3);
        let checks = region.checks;
        pass_informed(&mut region, 2);
        assert_eq!(region.checks, checks, "the store tells which are cold");
        let before = region.sent.len();
        region.crowd.step(0, Event::StoreSilent);
        region.pass(8000);
        let sent = region.sent.len() - before;
        let asked = size * 8000 / 20;
        assert!(sent * 100 >= asked * 99, "{sent} of {asked} requests sent");
        let checks = region.checks - checks;
        assert!((1..=sent).contains(&checks), "{checks} checks");
        pass_informed(&mut region, 4);
        let checks = region.checks;
        pass_informed(&mut region, 2);
        assert_eq!(region.checks, checks, "checks end with the outage");
    }
}

/// Boxes that can't be told of a cold server, because they are cut from the others or suspended, or
/// because they start, ask it themselves.
#[test]
fn boxes_out_of_touch_keep_the_rate() {
    for fault in ["cut", "frozen", "started"] {
        let mut region = Region::checked(3, RATE);
        pass_informed(&mut region, 3);
        match fault {
            "cut" => region.crowd.cut = vec![(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)],
            "frozen" => region.crowd.frozen = vec![1],
            _ => {}
        }
        for number in 0..3 {
            if fault != "frozen" || number != 1 {
                region.crowd.step(number, Event::StoreSilent);
            }
        }
        let from = region.crowd.now + Millis(2000);
        region.cold_span = Some((from, from + Millis(4000)));
        region.pass(2500);
        region.crowd.frozen.clear();
        if fault == "started" {
            region.crowd.launch(2);
        }
        region.pass(4000);
        let count = region.max_while_cold();
        assert!(
            count as f64 <= allowed(RATE),
            "{fault}: {count} in a second"
        );
    }
}

/// A server that answers no check, because it is full or the path to it is lost, gets no more than a
/// cold one.
#[test]
fn server_that_answers_no_check_counts_as_cold() {
    let mut region = Region::checked(3, RATE);
    region.unanswered = true;
    pass_informed(&mut region, 3);
    lose_store(&mut region, 1000, 4000);
    region.pass(6000);
    let count = region.max_while_cold();
    assert!(
        count as f64 <= allowed(RATE) && count > 0,
        "{count} in a second"
    );
}

/// The box that learns that the store is silent tells its region, and a box that hears of it asks the
/// store, which ends the checks if it answers.
#[test]
fn store_that_is_silent_for_one_box_is_asked_by_the_others() {
    use petreldrum::reducer::effect::Effect;
    let mut region = Region::checked(2, RATE);
    pass_informed(&mut region, 3);
    region.crowd.step(0, Event::StoreSilent);
    let effects = region.crowd.tick();
    let asks = |(number, effect): &(usize, Effect)| *number == 1 && *effect == Effect::RecheckStore;
    assert!(effects.iter().any(asks), "box 1 asks the store");
    region.crowd.step(1, Event::Synced(Revision::first(1)));
    let clock = region.crowd.clock(1);
    let state = region.crowd.boxes[1].as_ref().expect("box 1 runs");
    assert!(!state.is_store_silent(clock));
}
