//! Each caller gets the whole answer to its own request, or can see that it was truncated.

mod harness;

use harness::{Standin, World, backend, chat, eventually, preamble, streamed, tokens};
use serde_json::json;
use std::sync::Arc;

const REGIONS: [&str; 2] = ["perth", "bunbury"];

async fn world(engine: &Standin, app: &Standin, region: &str) -> World {
    let world = World::start(&REGIONS, 1).await;
    let text = preamble(&REGIONS, "perth")
        + &backend("engine", engine.address, region, "referral", "slots = 64")
        + &backend("app", app.address, region, "booking, slots", "slots = 64")
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.places("/booking/new", None).await;
    world.places("/v1/chat", Some("referral")).await;
    world
}

#[tokio::test]
async fn own_answer_in_parallel() {
    let (engine, app) = (Standin::start("engine").await, Standin::start("app").await);
    let world = Arc::new(world(&engine, &app, "bunbury").await);
    let mut tasks = Vec::new();
    for index in 0..60 {
        let world = world.clone();
        tasks.push(tokio::spawn(async move {
            let perth = world.get("perth-1");
            let content = format!("caller-{index}");
            let answer = perth.chat(&content, 5 + index % 7).await;
            let whole = streamed(&answer) == Some(tokens(&content, 5 + index % 7));
            let key = perth.key(&content).await;
            let booked = perth.book(&key, &content).await.json();
            (whole, booked["id"] == content && booked["run"] == 1)
        }));
    }
    for task in tasks {
        assert_eq!(task.await.expect("the task ends"), (true, true));
    }
}

#[tokio::test]
async fn cut_is_seen() {
    let (engine, app) = (Standin::start("engine").await, Standin::start("app").await);
    for region in REGIONS {
        let world = world(&engine, &app, region).await;
        engine.post("/_behave", json!({ "cut": true })).await;
        let answer = world.get("perth-1").chat("cut", 8).await;
        assert!(!answer.whole, "the HTTP client does not see the truncation");
        assert!(
            !answer.body.is_empty(),
            "the part before the truncation did not arrive"
        );
        assert_eq!(streamed(&answer), None);
        engine.post("/_behave", json!({})).await;
        let answer = world.get("perth-1").chat("next", 4).await;
        assert_eq!(streamed(&answer), Some(tokens("next", 4)));
    }
}

#[tokio::test]
async fn leaving_caller_cancels() {
    let (engine, app) = (Standin::start("engine").await, Standin::start("app").await);
    let world = world(&engine, &app, "bunbury").await;
    let perth = world.get("perth-1");
    let path = "/v1/chat/completions";
    let mut begun = perth.begin(path, &[], &chat("long", 100_000)).await;
    assert!(begun.next().await.is_some());
    drop(begun);
    eventually("the engine cancels the run", || async {
        engine.counts().await["cancelled"] == 1
    })
    .await;
    eventually("no request is in flight", || async {
        perth.status().await.requests == 0 && world.get("bunbury-1").status().await.requests == 0
    })
    .await;
}
