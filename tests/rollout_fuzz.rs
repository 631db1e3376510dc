//! Fuzzes roll-outs with random sequences of orders, server starts, crashes and store outages. No
//! box may panic, and at most one final result may be written per order.

use bolero::check;
use petreldrum::rollout::Standing;
use petreldrum::unit::Millis;
use petreldrum_standin::releases::{Fault, Scene};

/// Maximum number of actions in one run.
const MAX_ACTIONS: usize = 10;

/// Performs one action, chosen by `what` and `which`, and lets simulated time pass afterwards.
fn perform(scene: &mut Scene, what: u8, which: u8) {
    let which = usize::from(which);
    let releases = ["v1", "v2", "v3"];
    let spans = [0, 500, 3000, 12_000, u64::MAX];
    match what % 9 {
        0 => scene.give_order(releases[which % 3], Millis(spans[which % 5])),
        1 => scene.withdraw(),
        2 => scene.start_servers(
            6,
            releases[which % 3],
            Millis(1000),
            &["perth", "geraldton"],
        ),
        3 => scene.crash(which % scene.servers.len()),
        4 => scene.remove(which % scene.servers.len()),
        5 => scene.restart(which % scene.crowd.boxes.len()),
        6 => scene.store.down = !scene.store.down,
        7 => scene.fault = [Fault::None, Fault::Fails(0.5), Fault::Slow(0.5)][which % 3],
        _ => {}
    }
    scene.pass(100 + 20 * (which as u64 % 64));
}

#[test]
fn any_sequence_ends_each_order_once() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|actions| {
        let mut scene = Scene::new(6, 6, 60.0, 1);
        for (what, which) in actions.iter().take(MAX_ACTIONS) {
            perform(&mut scene, *what, *which);
        }
        scene.store.down = false;
        scene.pass(3000);
        // At most one final result is written per order.
        let ends = scene
            .store
            .ends
            .iter()
            .filter(|(_, e)| *e != Standing::Active);
        let orders = actions
            .iter()
            .take(MAX_ACTIONS)
            .filter(|(what, _)| what % 9 == 0);
        assert!(ends.count() <= orders.count());
    });
}
