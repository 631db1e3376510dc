//! A backend server that is leaving gets no new work, whichever signal comes, with the store down.

mod harness;

use harness::{Standin, World, backend, eventually, preamble};
use serde_json::json;

const REGIONS: [&str; 2] = ["perth", "bunbury"];

fn text(servers: [&Standin; 2], more: &str) -> String {
    let header = "refusal_header = x-engine-refused\n";
    preamble(&REGIONS, "perth")
        + &backend(
            "leaves",
            servers[0].address,
            "perth",
            "referral",
            &format!("{header}{more}"),
        )
        + &backend("stays", servers[1].address, "perth", "referral", header)
        + "[selector rest]\n"
}

async fn used(world: &World, name: &str) -> bool {
    let mut used = false;
    for process in world.boxes.values().filter(|b| b.region == "perth") {
        let status = process.status().await;
        used |= status
            .backends
            .iter()
            .any(|b| b.name.as_str() == name && b.used);
    }
    used
}

/// Sends work by every box; all is served, none by the server that leaves.
async fn none_for(world: &World, server: &Standin) {
    let before = server.counts().await["started"].clone();
    for index in 0..12 {
        for process in world.boxes.values() {
            let answer = process.chat(&format!("p{index}"), 2).await;
            assert_eq!(answer.status.as_u16(), 200);
        }
    }
    assert_eq!(server.counts().await["started"], before);
}

#[tokio::test]
async fn three_signals() {
    let world = World::start(&REGIONS, 2).await;
    let (leaves, stays) = (
        Standin::start("engine").await,
        Standin::start("engine").await,
    );
    let servers = [&leaves, &stays];
    world.configure("perth-1", 0, &text(servers, "")).await;
    world.places("/v1/chat", Some("referral")).await;

    // By the configuration.
    world
        .configure("bunbury-1", 1, &text(servers, "leaving = true"))
        .await;
    assert!(!used(&world, "leaves").await);
    none_for(&world, &leaves).await;
    world.configure("perth-1", 2, &text(servers, "")).await;
    assert!(used(&world, "leaves").await);

    // By the platform's list, with the store down; few boxes read it, all hear of it.
    world.store.post("/_fault", json!("down")).await;
    let row = json!([{ "address": leaves.address, "state": "leaving" }]);
    world.platform.post("/_list", row).await;
    eventually("the list is heard", || async {
        !used(&world, "leaves").await
    })
    .await;
    none_for(&world, &leaves).await;
    world.platform.post("/_list", json!([])).await;
    eventually("the list is heard", || async {
        used(&world, "leaves").await
    })
    .await;

    // By its own refusals: each is tried elsewhere, and the server is left alone.
    leaves.post("/_behave", json!({ "refuse": true })).await;
    none_for(&world, &leaves).await;
    for index in 0..40 {
        let answer = world.get("perth-1").chat(&format!("r{index}"), 2).await;
        assert_eq!(answer.status.as_u16(), 200);
    }
    let refused = leaves.counts().await["refused"].as_u64().unwrap_or(0);
    assert!(
        refused <= 30,
        "asked {refused} times in {} requests",
        40 + 48
    );
}
