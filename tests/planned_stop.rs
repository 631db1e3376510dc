//! A planned stop cuts off no request in flight, and new callers use other boxes.

mod harness;

use std::time::Duration;

use harness::{SECRET, Standin, World, backend, chat, eventually, preamble, streamed, tokens};
use hyper::Method;
use nix::sys::signal::Signal::SIGTERM;
use petreldrum_standin::http::call;
use serde_json::json;
use tokio::time::sleep;

const REGIONS: [&str; 2] = ["perth", "bunbury"];
const PATH: &str = "/v1/chat/completions";

#[tokio::test]
async fn box_stops() {
    let mut world = World::start(&REGIONS, 2).await;
    let (engine, app) = (Standin::start("engine").await, Standin::start("app").await);
    let text = preamble(&REGIONS, "perth")
        + &backend("engine", engine.address, "bunbury", "referral", "")
        + &backend("app", app.address, "perth", "booking", "")
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.places("/booking/new", None).await;
    world.places("/v1/chat", Some("referral")).await;
    engine.post("/_behave", json!({ "token_ms": 15 })).await;
    app.post("/_behave", json!({ "run_ms": 2500 })).await;

    // A stream through both boxes that stop, which lasts longer than their listeners stay open, and
    // a booking.
    let perth = world.get("perth-1");
    let mut begun = perth.begin(PATH, &[], &chat("long", 250)).await;
    assert!(begun.next().await.is_some());
    let relay = match world.get("bunbury-1").status().await.requests {
        0 => "bunbury-2",
        _ => "bunbury-1",
    };
    let key = perth.key("x").await;
    let headers = [("idempotency-key", key.as_str())];
    let body = json!({ "id": "x" });
    let booking = perth.begin("/booking/new", &headers, &body);
    let stop = async {
        eventually("the booking runs", || async { app.runs("x").await == 1 }).await;
        world.get("perth-1").signal(SIGTERM);
        world.get(relay).signal(SIGTERM);
    };
    let (booking, ()) = tokio::join!(booking, stop);
    assert_eq!(booking.finish().await.json()["run"], 1);

    // New callers are directed to other boxes, and are served.
    let other = world.get("perth-2");
    eventually("ask leaves the box out", || async {
        other
            .ask()
            .await
            .iter()
            .all(|b| b["box"] != "perth-1" && b["box"] != relay)
    })
    .await;
    assert_eq!(
        streamed(&other.chat("new", 2).await),
        Some(tokens("new", 2))
    );

    // The first chunk was read above.
    let answer = begun.finish().await;
    assert!(answer.whole && answer.body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(
        String::from_utf8_lossy(&answer.body)
            .matches("long#")
            .count(),
        249
    );
    for name in ["perth-1", relay] {
        let process = world.boxes.get_mut(name).expect("a box");
        assert!(
            process.wait().await,
            "{name} ends by itself, without an error"
        );
    }
}

/// Guards against boxes that cannot fetch the configuration of a box that completes its last
/// requests.
#[tokio::test]
async fn stopping_box_answers_other_boxes() {
    let world = World::start(&["perth"], 1).await;
    let app = Standin::start("app").await;
    let text = preamble(&["perth"], "perth")
        + &backend("app", app.address, "perth", "booking", "")
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    app.post("/_behave", json!({ "run_ms": 3000 })).await;
    let perth = world.get("perth-1");
    let key = perth.key("x").await;
    let booking = perth.book(&key, "x");
    let rest = async {
        eventually("the booking runs", || async { app.runs("x").await == 1 }).await;
        perth.signal(SIGTERM);
        // Longer than its listeners for callers stay open.
        sleep(Duration::from_millis(1500)).await;
        let secret = [("petreldrum-secret", SECRET)];
        let path = "/petreldrum/config";
        let answer = call(perth.peer, Method::GET, path, &secret, "").await;
        answer.is_ok_and(|answer| answer.status.is_success())
    };
    let (booking, answered) = tokio::join!(booking, rest);
    assert!(booking.status.is_success(), "the booking is completed");
    assert!(answered, "the configuration is fetched");
}

#[tokio::test]
async fn server_stops() {
    let world = World::start(&["perth"], 2).await;
    let (engine, other) = (
        Standin::start("engine").await,
        Standin::start("engine").await,
    );
    let text = |more: &str| {
        preamble(&["perth"], "perth")
            + &backend("engine", engine.address, "perth", "referral", more)
            + &backend("other", other.address, "perth", "referral", "")
            + "[selector rest]\n"
    };
    engine.post("/_behave", json!({ "token_ms": 10 })).await;
    other.post("/_behave", json!({ "token_ms": 10 })).await;
    world.configure("perth-1", 0, &text("")).await;
    let perth = world.get("perth-1");
    let mut streams = Vec::new();
    for index in 0..12 {
        let mut begun = perth
            .begin(PATH, &[], &chat(&format!("s{index}"), 150))
            .await;
        assert!(begun.next().await.is_some());
        streams.push(begun);
    }
    assert!(engine.counts().await["started"].as_u64() > Some(0));
    world.configure("perth-2", 1, &text("leaving = true")).await;
    for begun in streams {
        let answer = begun.finish().await;
        assert!(answer.whole && answer.body.ends_with(b"data: [DONE]\n\n"));
    }
}
