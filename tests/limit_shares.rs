//! A server's request limit holds over all boxes of its region through restarts, pauses and network
//! partitions, and the capacity within the limit is used.
//!
//! Two failures are guarded against. Shared among three boxes as the rate for cold servers is, a
//! limit far below one request a second per box is exceeded by the permits that each box may save
//! up. Sent only to the box that received the answer, the limit is obeyed by that box alone.

mod harness;

use harness::limits::{FORCE, Scene, WINDOW, allowed};
use petreldrum::unit::{Millis, Time};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

/// Limits of the servers of one region; the last two servers name none.
const LIMITS: [Option<f64>; 7] = [
    Some(0.0),
    Some(0.2),
    Some(1.0),
    Some(3.9),
    Some(50.0),
    None,
    None,
];
/// Requests per second over the whole region, far above what the limited servers accept.
const DEMAND: f64 = 300.0;

/// Asserts that the requests each server received from `since` on are within its limit.
fn assert_within_limits(scene: &Scene, since: Time, context: &str) {
    for (server, limit) in scene.limits.iter().enumerate() {
        let Some(limit) = limit else {
            continue;
        };
        let worst = scene.worst(server, since);
        assert!(
            worst <= allowed(*limit),
            "{context}: a server that takes {limit} a second got {worst} in 4 s"
        );
    }
}

#[test]
fn it_holds_and_is_used_at_every_size() {
    for boxes in [3, 26, 100] {
        let mut scene = Scene::new(boxes, LIMITS.len(), DEMAND / boxes as f64);
        scene.limits = LIMITS.to_vec();
        scene.pass(FORCE.0);
        let since = scene.crowd.now;
        scene.pass(20_000);
        assert_within_limits(&scene, since, &format!("{boxes} boxes"));
        for (server, limit) in LIMITS.iter().enumerate().take(5) {
            let used = scene.arrivals(server, since).len() as f64 / 20.0;
            // One request every ten seconds probes whether the limit is still in force.
            let least = limit.unwrap_or_default().max(0.1) * 0.5;
            assert!(
                used >= least,
                "{boxes} boxes use {used} a second of {limit:?}"
            );
        }
        assert!(
            scene.refused.is_empty(),
            "the other servers accept the rest"
        );
    }
}

#[test]
fn what_does_not_fit_is_refused_at_once() {
    let limit = 2.0;
    let mut scene = Scene::new(3, 4, 20.0);
    scene.limits = vec![Some(limit); 4];
    scene.pass(FORCE.0);
    let (since, served, refused) = (scene.crowd.now, scene.served, scene.refused.len());
    scene.pass(20_000);
    assert_within_limits(&scene, since, "all are limited");
    let used = (scene.served - served) as f64 / 20.0;
    assert!(used >= 0.7 * 4.0 * limit, "{used} a second are served");
    let refused = &scene.refused[refused..];
    assert!(refused.len() as f64 >= 0.7 * 20.0 * (60.0 - used));
    for (_, reply) in refused {
        assert_eq!(reply.status, 503);
        assert!(reply.verdict.is_not_run() && reply.limited);
        // Four servers at two requests a second can accept a refused caller within seconds, but not
        // at once.
        let wait = reply.retry_after.expect("a retry time");
        assert!((Millis(250)..Millis(15_000)).contains(&wait), "{wait}");
    }
}

/// Starts, stops, suspends and partitions boxes while two servers are limited.
fn churn(boxes: usize, seed: u64) -> Scene {
    let mut random = StdRng::seed_from_u64(seed);
    let mut scene = Scene::new(boxes, 4, DEMAND / boxes as f64);
    scene.limits[0] = Some(1.0);
    scene.limits[1] = Some(5.5);
    scene.pass(FORCE.0);
    for _ in 0..12 {
        let one = random.random_range(0..boxes);
        let other = random.random_range(0..boxes);
        match random.random_range(0..5) {
            0 => scene.crowd.boxes[one] = None,
            1 => scene.launch(one),
            2 => scene.crowd.frozen.push(one),
            3 => scene.crowd.frozen.clear(),
            _ if scene.crowd.cut.is_empty() => {
                let (near, far): (Vec<_>, Vec<_>) =
                    (0..boxes).partition(|number| *number <= one.min(other));
                let pairs = near.iter().flat_map(|a| far.iter().map(|b| (*a, *b)));
                scene.crowd.cut = pairs.flat_map(|(a, b)| [(a, b), (b, a)]).collect();
            }
            _ => scene.crowd.cut.clear(),
        }
        scene.pass(random.random_range(200..4000));
    }
    scene
}

#[test]
fn it_holds_while_boxes_come_and_go() {
    for boxes in [3, 9, 26] {
        for seed in 0..6 {
            let scene = churn(boxes, seed);
            let since = Time(20_000) + FORCE;
            assert_within_limits(&scene, since, &format!("{boxes} boxes, seed {seed}"));
        }
    }
}

#[test]
fn its_end_is_heard_soon_by_all() {
    // A server with a limit near zero is probed once every ten seconds.
    for (limit, recovery_ms) in [(1.0, 4000), (5.5, 2000), (0.0, 21_000)] {
        for boxes in [3, 26] {
            let mut scene = Scene::new(boxes, 3, DEMAND / boxes as f64);
            scene.limits[0] = Some(limit);
            scene.pass(FORCE.0);
            scene.limits[0] = None;
            scene.pass(recovery_ms);
            let since = scene.crowd.now;
            scene.pass(2000);
            let used = scene.arrivals(0, since).len();
            assert!(
                used >= 60,
                "{boxes} boxes send {used} requests in 2 s after a limit of {limit}"
            );
        }
    }
}

#[test]
fn a_lower_limit_and_its_end_hold_at_once() {
    let mut scene = Scene::new(9, 4, DEMAND / 9.0);
    for limit in [Some(10.0), Some(1.0), None, Some(1.0), Some(0.2)] {
        scene.limits[0] = limit;
        scene.pass(FORCE.0);
        let since = scene.crowd.now;
        scene.pass(WINDOW.0 + 2000);
        if limit.is_some() {
            assert_within_limits(&scene, since, &format!("{limit:?}"));
        }
    }
}

/// Each box saves up a permit while there are no requests. If all boxes of a large region shared a
/// limit, a server that accepts one request a second would receive a hundred at once when load
/// starts.
#[test]
fn work_that_begins_all_at_once_holds() {
    for boxes in [3, 26, 100] {
        let mut scene = Scene::new(boxes, LIMITS.len(), DEMAND / boxes as f64);
        scene.limits = LIMITS.to_vec();
        scene.pass(FORCE.0);
        let demand = std::mem::take(&mut scene.demand);
        scene.pass(30_000);
        let since = scene.crowd.now;
        scene.demand = demand;
        scene.pass(6000);
        assert_within_limits(&scene, since, &format!("{boxes} boxes"));
    }
}

/// One answer to one box is enough: the other boxes are notified within two ticks. They do not have
/// to wait for a heartbeat, which reaches each box only every 15 s in a region of a hundred.
#[test]
fn one_answer_tells_all_boxes_at_once() {
    let mut scene = Scene::new(100, 1, 0.0);
    scene.limits[0] = Some(2.0);
    scene.ask();
    scene.pass(300);
    let boxes = scene.crowd.boxes.iter().flatten();
    assert_eq!(boxes.filter(|state| state.limited() == 1).count(), 100);
}

/// A box that has just started learns the limit from the first heartbeat it receives.
#[test]
fn a_box_that_starts_knows_it_at_once() {
    let mut scene = Scene::new(26, 3, 1.0);
    scene.limits[0] = Some(0.2);
    scene.pass(20_000);
    scene.launch(4);
    scene.pass(400);
    let state = scene.crowd.boxes[4].as_ref().expect("the box runs");
    assert_eq!(state.limited(), 1);
}
