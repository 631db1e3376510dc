//! Bytes that vanish between boxes: nothing that came behind them reaches a caller.

mod harness;

use std::{ops::Range, time::Duration};

use harness::{SECRET, Standin, World, backend, chat, eventually, preamble, streamed, tokens};
use hyper::Method;
use petreldrum_standin::{http::call, link::Link};
use serde_json::json;

const REGIONS: [&str; 2] = ["perth", "bunbury"];
const CHAT: &str = "/v1/chat/completions";
const TOKENS: u64 = 12;
/// The last chunk of a body.
const LAST_CHUNK: usize = 5;

/// A box in perth, and one in bunbury behind a link, where the engine is.
async fn world(engine: &Standin) -> (World, Link) {
    let mut world = World::start(&["perth"], 1).await;
    let link = Link::start(Duration::ZERO).await.expect("a link");
    let advertise = format!("[advertise]\npeer = {}\n", link.address);
    world
        .start_box_with("bunbury-1", "bunbury", &advertise)
        .await;
    link.point(world.get("bunbury-1").peer);
    let text = preamble(&REGIONS, "perth")
        + &backend(
            "engine",
            engine.address,
            "bunbury",
            "referral",
            "slots = 64",
        )
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.places("/v1/chat", Some("referral")).await;
    engine.post("/_behave", json!({ "token_ms": 10 })).await;
    (world, link)
}

/// What a caller gets.
struct Got {
    whole: bool,
    text: String,
    /// Bytes that came back between the boxes for it.
    size: usize,
}

/// Asks, and loses the bytes at these positions of what comes back between the boxes, as far as
/// they are still to come when the answer begins.
async fn ask(world: &World, link: &Link, lost: Range<usize>) -> Got {
    let before = link.carried_back();
    let carried = || (link.carried_back() - before) as usize;
    let body = chat("x", TOKENS);
    let begun = world.get("perth-1").begin(CHAT, &[], &body).await;
    link.lose(lost.start.saturating_sub(carried()), lost.len());
    let answer = begun.finish().await;
    link.lose(0, 0);
    Got {
        whole: answer.whole && answer.status == 200,
        text: String::from_utf8_lossy(&answer.body).into_owned(),
        size: carried(),
    }
}

// A relayed stream went on behind a gap that a short cut between regions had left in it.
#[tokio::test]
async fn stream_does_not_go_on_behind_a_gap() {
    let engine = Standin::start("engine").await;
    let (world, link) = world(&engine).await;
    let all = ask(&world, &link, 0..0).await;
    assert!(all.whole, "nothing is lost yet");
    let mut cases = Vec::new();
    for start in (0..all.size).step_by(all.size / 12) {
        for lost in [1, 7, 64, 300] {
            cases.push(start..start + lost);
        }
    }
    // All of the end but the last chunk.
    let end = all.size - LAST_CHUNK;
    cases.extend([40, 100, all.size / 2].map(|lost| end - lost..end));
    for lost in cases {
        eventually("the region serves again", || async {
            ask(&world, &link, 0..0).await.whole
        })
        .await;
        let got = ask(&world, &link, lost.clone()).await;
        assert!(!got.whole, "{lost:?} of {} lost", all.size);
        assert!(all.text.starts_with(&got.text), "{lost:?}: {:?}", got.text);
    }
}

#[tokio::test]
async fn box_that_does_not_ask_gets_plain_bodies() {
    let engine = Standin::start("engine").await;
    let (world, _link) = world(&engine).await;
    let peer = world.get("bunbury-1").peer;
    let headers = [
        ("petreldrum-secret", SECRET),
        ("petreldrum-hop", "relay"),
        ("petreldrum-from", "perth"),
        ("petreldrum-caller", "ward"),
    ];
    let body = chat("x", TOKENS).to_string();
    let plain = call(peer, Method::POST, CHAT, &headers, body.clone()).await;
    let plain = plain.expect("the box answers");
    assert_eq!(streamed(&plain), Some(tokens("x", TOKENS)));
    assert!(plain.header("petreldrum-records").is_empty());
    let asking = [&headers[..], &[("petreldrum-checked", "true")]].concat();
    let checked = call(peer, Method::POST, CHAT, &asking, body).await;
    let checked = checked.expect("the box answers");
    assert_eq!(checked.header("petreldrum-records"), "true");
    assert_eq!(checked.header("petreldrum-check").len(), 16);
}
