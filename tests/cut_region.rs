//! A region that is partitioned from the others keeps serving its own callers, also with the store
//! down.

mod harness;

use harness::{Standin, World, backend, eventually, preamble, streamed, tokens};
use nix::sys::signal::Signal::{SIGCONT, SIGSTOP};
use serde_json::json;

const REGIONS: [&str; 2] = ["perth", "bunbury"];

#[tokio::test]
async fn partitioned_region_serves_its_callers() {
    let mut world = World::start(&REGIONS, 2).await;
    let (engine, app) = (Standin::start("engine").await, Standin::start("app").await);
    let text = preamble(&REGIONS, "perth")
        + &backend("engine", engine.address, "perth", "referral", "")
        + &backend("app", app.address, "perth", "booking", "")
        + "[selector rest]\n";
    world.configure("bunbury-1", 0, &text).await;

    // Everything outside the region is frozen: connections are accepted and nothing answers.
    world.store.post("/_fault", json!("down")).await;
    world.get("bunbury-1").signal(SIGSTOP);
    world.get("bunbury-2").signal(SIGSTOP);
    world.platform.signal(SIGSTOP);

    // A box that starts during the partition becomes ready through its peer.
    world
        .boxes
        .get_mut("perth-2")
        .expect("box exists")
        .kill()
        .await;
    world.start_box("perth-3", "perth").await;
    let (old, new) = (world.get("perth-1"), world.get("perth-3"));
    eventually("the new box is ready", || new.is_ready()).await;
    assert_eq!(new.version().await, 1);
    for (index, process) in [old, new].into_iter().cycle().take(10).enumerate() {
        let content = format!("cut-{index}");
        assert_eq!(
            streamed(&process.chat(&content, 3).await),
            Some(tokens(&content, 3))
        );
        let key = process.key(&content).await;
        assert_eq!(process.book(&key, &content).await.json()["run"], 1);
    }

    // The partition ends: the regions find each other again, and changes reach all boxes.
    world.get("bunbury-1").signal(SIGCONT);
    world.get("bunbury-2").signal(SIGCONT);
    world.platform.signal(SIGCONT);
    world.store.post("/_fault", json!("none")).await;
    world.boxes.remove("perth-2");
    world.configure("perth-1", 1, &text).await;
    world.hears("bunbury", 1).await;
}
