//! A server's limit holds over all boxes of its region, whatever happens to them, and what it takes is used.
//!
//! Shared among three boxes by the way of cold servers, a limit far below one a second a box is over its bound
//! by what each box may save up; told to the box alone that heard an answer, it is kept by that box alone.

mod harness;

use harness::limits::{FORCE, Scene, WINDOW, allowed};
use petreldrum::unit::{Millis, Time};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

/// The limits of the servers of one region; the last servers name none.
const LIMITS: [Option<f64>; 7] = [
    Some(0.0),
    Some(0.2),
    Some(1.0),
    Some(3.9),
    Some(50.0),
    None,
    None,
];
/// Requests a second of the whole region: far more than the limited servers take.
const DEMAND: f64 = 300.0;

/// What servers got from `since` on is within their limits.
fn assert_holds(scene: &Scene, since: Time, what: &str) {
    for (server, limit) in scene.limits.iter().enumerate() {
        let Some(limit) = limit else {
            continue;
        };
        let worst = scene.worst(server, since);
        assert!(
            worst <= allowed(*limit),
            "{what}: a server that takes {limit} a second got {worst} in 4 s"
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
        assert_holds(&scene, since, &format!("{boxes} boxes"));
        for (server, limit) in LIMITS.iter().enumerate().take(5) {
            let used = scene.arrivals(server, since).len() as f64 / 20.0;
            // One request in ten seconds finds out whether the limit still stands.
            let least = limit.unwrap_or_default().max(0.1) * 0.5;
            assert!(
                used >= least,
                "{boxes} boxes use {used} a second of {limit:?}"
            );
        }
        assert!(scene.refused.is_empty(), "the others take the rest");
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
    assert_holds(&scene, since, "all are limited");
    let used = (scene.served - served) as f64 / 20.0;
    assert!(used >= 0.7 * 4.0 * limit, "{used} a second are served");
    let refused = &scene.refused[refused..];
    assert!(refused.len() as f64 >= 0.7 * 20.0 * (60.0 - used));
    for (_, reply) in refused {
        assert_eq!(reply.status, 503);
        assert!(reply.verdict.is_not_run() && reply.limited);
        // Four servers of two a second let a refused caller in within seconds, not at once.
        let wait = reply.retry_after.expect("a time to come back");
        assert!((Millis(250)..Millis(15_000)).contains(&wait), "{wait}");
    }
}

/// Boxes start, stop, stand still and are cut off from each other while two servers are limited.
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
            assert_holds(&scene, since, &format!("{boxes} boxes, seed {seed}"));
        }
    }
}

#[test]
fn its_end_is_heard_soon_by_all() {
    // A server that takes next to nothing is asked once in ten seconds.
    for (limit, patience) in [(1.0, 4000), (5.5, 2000), (0.0, 21_000)] {
        for boxes in [3, 26] {
            let mut scene = Scene::new(boxes, 3, DEMAND / boxes as f64);
            scene.limits[0] = Some(limit);
            scene.pass(FORCE.0);
            scene.limits[0] = None;
            scene.pass(patience);
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
            assert_holds(&scene, since, &format!("{limit:?}"));
        }
    }
}

/// Each box saves up a permit while nobody asks. Were all boxes of a large region to share a limit, a server
/// that takes one request a second would get a hundred at once when work begins.
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
        assert_holds(&scene, since, &format!("{boxes} boxes"));
    }
}

/// One answer to one box is enough: the others are told within two ticks, and not with a heartbeat that comes
/// to each of them every 15 s in a region of a hundred.
#[test]
fn one_answer_tells_all_boxes_at_once() {
    let mut scene = Scene::new(100, 1, 0.0);
    scene.limits[0] = Some(2.0);
    scene.ask();
    scene.pass(300);
    let boxes = scene.crowd.boxes.iter().flatten();
    assert_eq!(boxes.filter(|state| state.limited() == 1).count(), 100);
}

/// A box that just started is told with the first heartbeat that it hears.
#[test]
fn a_box_that_starts_knows_it_at_once() {
    let mut scene = Scene::new(26, 3, 1.0);
    scene.limits[0] = Some(0.2);
    scene.pass(20_000);
    scene.launch(4);
    scene.pass(400);
    let state = scene.crowd.boxes[4].as_ref().expect("it runs");
    assert_eq!(state.limited(), 1);
}
