//! Brittle backend servers over the product's own interface: the header that a server's section names.

mod harness;

use std::time::Duration;

use futures_util::future::join_all;
use harness::{Standin, World, backend, eventually, preamble};
use petreldrum::reducer::JOIN_GRACE;
use serde_json::json;
use tokio::time::sleep;

/// Slots of an engine, as started by the tests.
const SLOTS: usize = 8;
/// Tokens of an answer, and time between two of them: an answer takes 0.25 s.
const TOKENS: u64 = 25;
const TOKEN_MS: u64 = 10;

/// Sends requests to all boxes, more than the engines can run at once, and returns how many succeed.
async fn press(world: &World, each: u32) -> usize {
    let requests = world.boxes.values().flat_map(|process| {
        (0..each).map(move |number| async move {
            sleep(Duration::from_millis(20) * number).await;
            process.chat(&format!("{number} p"), TOKENS).await
        })
    });
    let answers = join_all(requests).await;
    let succeeded = answers.iter().filter(|answer| answer.status.is_success());
    succeeded.count()
}

/// Guards against boxes that go on filling the queues of brittle engines, as each is told by its own
/// answers alone, or not at all.
#[tokio::test]
async fn brittle_engines_reject_hardly_anything() {
    let world = World::start(&["perth"], 3).await;
    let engines = [
        Standin::start("engine").await,
        Standin::start("engine").await,
    ];
    let more = format!(
        "slots = {SLOTS}\nrefusal_header = x-engine-refused\nbrittle_header = x-engine-brittle\n"
    );
    let text = preamble(&["perth"], "perth")
        + &backend("one", engines[0].address, "perth", "referral", &more)
        + &backend("two", engines[1].address, "perth", "referral", &more)
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.places("/v1/chat", Some("referral")).await;
    let behave = |queue: usize, brittle: Option<f64>| json!({ "token_ms": TOKEN_MS, "queue": queue, "brittle": brittle });
    for engine in &engines {
        engine.post("/_behave", behave(16, Some(1.0))).await;
    }
    // Boxes that do not know their region yet have no share of brittle engines, and may never ask one
    // of the two.
    sleep(Duration::from_millis(JOIN_GRACE.0)).await;
    press(&world, 60).await;
    for engine in &engines {
        let started = engine.counts().await["started"].as_u64();
        assert!(started > Some(0), "an engine was not asked");
    }
    for process in world.boxes.values() {
        eventually("all boxes know that both are brittle", async || {
            process.metric("brittle_backends").await == 2.0
        })
        .await;
    }

    for engine in &engines {
        engine.post("/_behave", behave(0, Some(1.0))).await;
    }
    let before = engines[0].counts().await["refused"].as_u64();
    let succeeded = press(&world, 150).await;
    let refused = engines[0].counts().await["refused"].as_u64();
    let refused = refused.unwrap_or_default() - before.unwrap_or_default();
    // The load lasts for three seconds; the engine tolerates one rejection in each.
    assert!(refused <= 3, "{refused} rejected by one engine");
    assert!(succeeded >= 150, "{succeeded} of 450 are served");

    for engine in &engines {
        engine.post("/_behave", behave(16, None)).await;
    }
    press(&world, 60).await;
    for process in world.boxes.values() {
        eventually("all boxes know that both are sound", async || {
            process.metric("brittle_backends").await == 0.0
        })
        .await;
    }
}
