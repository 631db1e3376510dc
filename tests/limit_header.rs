//! Limits over the product's own interface: the header that a backend server's section names.

mod harness;

use harness::{Standin, World, backend, eventually, preamble};
use serde_json::json;

/// Returns the sum of all boxes' shares of the limit.
async fn total_share(world: &World) -> f64 {
    let mut total_share = 0.0;
    for process in world.boxes.values() {
        let status = process.status().await;
        let limits = status.backends.iter().filter_map(|b| b.limit.as_ref());
        total_share += limits.map(|limit| limit.share.0).sum::<f64>();
    }
    total_share
}

#[tokio::test]
async fn limit_read_by_one_box_reaches_all() {
    let world = World::start(&["perth"], 3).await;
    let (limited, other) = (
        Standin::start("engine").await,
        Standin::start("engine").await,
    );
    let header = "limit_header = x-engine-limit\n";
    let text = preamble(&["perth"], "perth")
        + &backend("limited", limited.address, "perth", "referral", header)
        + &backend("other", other.address, "perth", "referral", header)
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.places("/v1/chat", Some("referral")).await;
    limited.post("/_behave", json!({ "limit": 0.4 })).await;

    // A single box sends requests and reads the limit; the others learn of it from that box.
    let sender = world.get("perth-1");
    // Prompts with a common prefix go to one backend server, others to either.
    for number in 0..40 {
        let answer = sender.chat(&format!("{number} p"), 2).await;
        assert_eq!(answer.status.as_u16(), 200);
    }
    eventually("the limit is read", async || {
        sender.metric("limited_backends").await == 1.0
    })
    .await;
    for process in world.boxes.values() {
        eventually("the limit is known", async || {
            let status = process.status().await;
            let row = status
                .backends
                .iter()
                .find(|b| b.name.as_str() == "limited");
            let limit = row.and_then(|row| row.limit.clone());
            limit.is_some_and(|limit| {
                let has_sender = limit.teller.is_some() || process.name == sender.name;
                limit.rate.0 == 0.4 && has_sender
            })
        })
        .await;
    }
    // Boxes that just started have no share yet.
    eventually("the limit is shared", async || {
        let total_share = total_share(&world).await;
        assert!(total_share <= 0.4, "{total_share} of 0.4 a second");
        total_share >= 0.3
    })
    .await;

    // A box without a share reports it.
    let question = json!({ "caller": "ward", "path": "/v1/chat", "model": "referral" });
    let mut left_out = 0;
    for process in world.boxes.values() {
        let answer = process
            .admin(hyper::Method::POST, "/explain", question.clone())
            .await;
        let reason = answer.json()["left_out"][0]["reason"].clone();
        left_out += usize::from(reason == "other boxes share the limit that it names");
    }
    assert_eq!(left_out, 1, "two of three boxes share so low a limit");
}
