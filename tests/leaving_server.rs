//! A backend server that is leaving gets no new work, whichever signal announces it, also with the
//! store down.

mod harness;

use harness::{Standin, World, backend, eventually, preamble};
use serde_json::json;

const REGIONS: [&str; 2] = ["perth", "bunbury"];

fn text(servers: [&Standin; 2], extra: &str) -> String {
    let header = "refusal_header = x-engine-refused\n";
    preamble(&REGIONS, "perth")
        + &backend(
            "leaves",
            servers[0].address,
            "perth",
            "referral",
            &format!("{header}{extra}"),
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

/// Sends work through every box and asserts that all is served, none of it by `server`.
async fn assert_avoided(world: &World, server: &Standin) {
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
async fn leaving_server_is_avoided_for_each_signal() {
    let world = World::start(&REGIONS, 2).await;
    let (leaves, stays) = (
        Standin::start("engine").await,
        Standin::start("engine").await,
    );
    let servers = [&leaves, &stays];
    world.configure("perth-1", 0, &text(servers, "")).await;
    world.places("/v1/chat", Some("referral")).await;

    // Signalled by the configuration.
    world
        .configure("bunbury-1", 1, &text(servers, "leaving = true"))
        .await;
    assert!(!used(&world, "leaves").await);
    assert_avoided(&world, &leaves).await;
    world.configure("perth-1", 2, &text(servers, "")).await;
    assert!(used(&world, "leaves").await);

    // Signalled by the platform's list, with the store down; few boxes read the list, and all get
    // the update.
    world.store.post("/_fault", json!("down")).await;
    let row = json!([{ "address": leaves.address, "state": "leaving" }]);
    world.platform.post("/_list", row).await;
    eventually("the list is received", || async {
        !used(&world, "leaves").await
    })
    .await;
    assert_avoided(&world, &leaves).await;
    world.platform.post("/_list", json!([])).await;
    eventually("the list is received", || async {
        used(&world, "leaves").await
    })
    .await;

    // Signalled by the server's refusals: refused requests are retried elsewhere, and the server is
    // avoided.
    leaves.post("/_behave", json!({ "refuse": true })).await;
    assert_avoided(&world, &leaves).await;
    for index in 0..40 {
        let answer = world.get("perth-1").chat(&format!("r{index}"), 2).await;
        assert_eq!(answer.status.as_u16(), 200);
    }
    let refused = leaves.counts().await["refused"].as_u64().unwrap_or(0);
    assert!(
        refused <= 30,
        "refused {refused} times in {} requests",
        40 + 48
    );
}

/// Guards against rows of another writer that hide the leaving servers in the platform's list.
#[tokio::test]
async fn odd_rows_hide_no_leaving_server() {
    let world = World::start(&REGIONS, 1).await;
    let (leaves, stays) = (
        Standin::start("engine").await,
        Standin::start("engine").await,
    );
    world
        .configure("perth-1", 0, &text([&leaves, &stays], ""))
        .await;
    world.places("/v1/chat", Some("referral")).await;
    let odd = [
        json!(null),
        json!({}),
        json!(["127.0.0.1:9", "leaving"]),
        json!({ "address": "nowhere", "state": "live" }),
        json!({ "address": 7, "state": "leaving" }),
        json!({ "address": "127.0.0.1:9", "state": "paused" }),
    ];
    for odd in odd {
        let row = json!({ "address": leaves.address, "state": "leaving" });
        let rows = json!([odd, row, odd]);
        world.platform.post("/_list", rows).await;
        eventually(&format!("the list is received beside {odd}"), || async {
            !used(&world, "leaves").await
        })
        .await;
        world.platform.post("/_list", json!([])).await;
        eventually("the empty list is received", || async {
            used(&world, "leaves").await
        })
        .await;
    }
}
