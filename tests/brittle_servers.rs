//! Backend servers that announce that they fall over if they have to reject many requests.

mod harness;

use harness::brittle::{CONTACT, Scene, Setup};

/// Time for which the servers let fewer requests wait, in ms.
const BRITTLE_MS: u64 = 12_000;

/// Nine boxes of three regions before 18 servers that run fewer requests than the configuration says,
/// under 1.35 times the load that fits.
const OVERLOAD: Setup = Setup {
    regions: 3,
    boxes: 9,
    servers: 18,
    configured: 12,
    slots: 4,
    queue: 8,
    brittle_queue: 1,
    run_ms: (230, 270),
    demand: 390.0,
    registered: false,
    seed: 0,
};

/// The same with servers that state their slots themselves.
const REGISTERED: Setup = Setup {
    configured: 4,
    registered: true,
    ..OVERLOAD
};

/// Guards against servers that fall over one after the other under the requests that they reject: 29
/// of 18 servers' falls, of 3 permitted.
#[test]
fn brittle_servers_stand_under_overload() {
    for seed in 0..4 {
        let mut scene = Scene::new(Setup { seed, ..OVERLOAD });
        scene.pass(4000);
        scene.become_brittle(3.0);
        let since = scene.crowd.now;
        scene.pass(BRITTLE_MS);
        let (served, capacity) = (scene.served_since(since), scene.capacity(BRITTLE_MS));
        assert!(scene.falls.len() <= scene.allowed_falls(), "seed {seed}");
        assert!(served as f64 >= 0.8 * capacity, "seed {seed}: {served}");
        assert_eq!(scene.replies_since(since, 502), 0, "seed {seed}");
    }
}

/// Servers that state their slots reject next to nothing, even if they tolerate few rejections.
#[test]
fn registered_servers_reject_hardly_anything() {
    for (tolerance, brittle_queue) in [(0.0, 1), (1.0, 0), (1.0, 1)] {
        let mut scene = Scene::new(Setup {
            brittle_queue,
            ..REGISTERED
        });
        scene.pass(4000);
        scene.become_brittle(tolerance);
        let since = scene.crowd.now;
        scene.pass(BRITTLE_MS);
        let (served, capacity) = (scene.served_since(since), scene.capacity(BRITTLE_MS));
        let falls = scene.falls.len();
        assert!(falls <= scene.allowed_falls(), "{falls} at {tolerance}");
        assert!(served as f64 >= 0.8 * capacity, "{served} at {tolerance}");
    }
}

/// Guards against brittle servers costing anything under light load.
#[test]
fn light_load_is_served_without_a_refusal() {
    for setup in [OVERLOAD, REGISTERED] {
        let mut scene = Scene::new(Setup {
            demand: 96.0,
            ..setup
        });
        scene.pass(4000);
        let since = scene.crowd.now;
        scene.become_brittle(3.0);
        scene.pass(BRITTLE_MS);
        assert_eq!(scene.replies.len(), 0, "{:?}", scene.replies.first());
        assert_eq!(scene.rejected_since(since), 0);
        assert_eq!(scene.falls.len(), 0);
    }
}

/// The whole room is used again within seconds after the servers stop saying that they are brittle: as
/// much is served as where they never said so.
#[test]
fn room_is_used_again_when_servers_are_sound() {
    for setup in [OVERLOAD, REGISTERED] {
        let served = [true, false].map(|brittle| {
            let mut scene = Scene::new(setup);
            scene.pass(4000);
            scene.tolerance = brittle.then_some(3.0);
            scene.pass(CONTACT.0 + BRITTLE_MS);
            scene.tolerance = None;
            scene.pass(2000);
            let boxes = scene.crowd.boxes.iter().flatten();
            let believed: usize = boxes.map(|state| state.brittle()).sum();
            assert_eq!(believed, 0, "servers that are believed to be brittle");
            let since = scene.crowd.now;
            scene.pass(4000);
            scene.served_since(since) as f64
        });
        assert!(served[0] >= 0.9 * served[1], "{served:?}");
    }
}

/// Guards against servers that never said so being taken for brittle for as long as others of their
/// service are.
#[test]
fn sound_servers_of_a_brittle_service_have_no_cap() {
    let mut scene = Scene::new(Setup {
        demand: 96.0,
        ..REGISTERED
    });
    scene.sound = (0..9).collect();
    scene.become_brittle(3.0);
    scene.pass(3000);
    let now = scene.crowd.clock(0);
    let status = scene.crowd.boxes[0].as_ref().map(|state| state.status(now));
    let mut rows = status.expect("the box runs").backends;
    rows.retain(|row| row.cap.is_some());
    assert_eq!(rows.len(), 3, "the brittle servers of the region: {rows:?}");
}

/// Boxes that die, start and stand still neither exceed the room nor leave it unused.
#[test]
fn servers_stand_while_boxes_come_and_go() {
    for (setup, seed) in [OVERLOAD, REGISTERED]
        .into_iter()
        .flat_map(|s| [(s, 1), (s, 2)])
    {
        let mut scene = Scene::new(Setup { seed, ..setup });
        scene.pass(4000);
        scene.become_brittle(3.0);
        for turn in 0..3 {
            let number = (seed as usize + 2 * turn) % 9;
            scene.kill(number);
            scene.pass(1500);
            scene.launch(number);
            scene.crowd.frozen = vec![(number + 1) % 9];
            scene.pass(1500);
            scene.crowd.frozen.clear();
            scene.pass(1000);
        }
        let falls = scene.falls.len();
        assert!(falls <= scene.allowed_falls(), "{falls}, seed {seed}");
    }
}

/// Sixty boxes before sixty servers: most boxes have no share of most servers.
#[test]
fn many_boxes_keep_many_servers_standing() {
    let mut scene = Scene::new(Setup {
        boxes: 60,
        servers: 60,
        demand: 1300.0,
        ..REGISTERED
    });
    scene.pass(4000);
    scene.become_brittle(1.0);
    let since = scene.crowd.now;
    scene.pass(6000);
    let (served, capacity) = (scene.served_since(since), scene.capacity(6000));
    let falls = scene.falls.len();
    assert!(falls <= scene.allowed_falls(), "{falls}");
    assert!(served as f64 >= 0.7 * capacity, "{served} of {capacity}");
}

/// Servers with fewer slots than configured that tolerate one rejection per second.
#[test]
fn intolerant_servers_with_wrong_slots_stand() {
    for seed in 10..18 {
        let mut scene = Scene::new(Setup { seed, ..OVERLOAD });
        scene.pass(4000);
        scene.become_brittle(1.0);
        scene.pass(BRITTLE_MS);
        let falls = scene.falls.len();
        assert!(falls <= scene.allowed_falls(), "{falls}, seed {seed}");
    }
}
