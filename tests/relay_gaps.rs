//! When bytes are lost between boxes, nothing after the gap reaches a caller.

mod harness;

use std::{cell::Cell, ops::Range, time::Duration};

use harness::{SECRET, Standin, World, backend, chat, eventually, preamble, streamed, tokens};
use hyper::Method;
use petreldrum_standin::{http::call, link::Link};
use serde_json::json;

const REGIONS: [&str; 2] = ["perth", "bunbury"];
const CHAT_PATH: &str = "/v1/chat/completions";
const TOKENS: u64 = 12;
/// Length of the last chunk of a chunked body, in bytes.
const LAST_CHUNK_BYTES: usize = 5;

/// Starts a box in perth, and one in bunbury behind a link, where the engine is.
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

/// The answer that a caller received.
struct Received {
    whole: bool,
    /// Whether a box refused the request, so that no answer began.
    refused: bool,
    text: String,
    /// Bytes of the answer carried between the boxes.
    size: usize,
}

/// Sends a request and drops the bytes at these positions of the answer between the boxes, unless
/// they were already carried when the answer began.
async fn fetch_losing(world: &World, link: &Link, lost: Range<usize>) -> Received {
    let before = link.carried_back();
    let carried = || (link.carried_back() - before) as usize;
    let body = chat("x", TOKENS);
    let begun = world.get("perth-1").begin(CHAT_PATH, &[], &body).await;
    link.lose(lost.start.saturating_sub(carried()), lost.len());
    let answer = begun.finish().await;
    link.lose(0, 0);
    Received {
        whole: answer.whole && answer.status == 200,
        refused: answer.header("petreldrum-verdict") == "not-run",
        text: String::from_utf8_lossy(&answer.body).into_owned(),
        size: carried(),
    }
}

/// Counts the reports of boxes that their process stood still, as on a machine that stalls. Such a
/// box refuses requests for a second.
fn standstills(world: &World) -> usize {
    let logs = world.boxes.values().map(|process| process.log.text());
    logs.map(|log| log.matches("the process stood still").count())
        .sum()
}

/// Waits until a request is served, and returns the number of standstills reported before it.
async fn serves_again(world: &World, link: &Link) -> usize {
    let reported = Cell::new(0);
    eventually("the region serves again", || async {
        reported.set(standstills(world));
        fetch_losing(world, link, 0..0).await.whole
    })
    .await;
    reported.get()
}

/// Does the same as [`fetch_losing`], and repeats it if the request was refused because a box has
/// stood still since `reported` standstills were counted.
async fn fetch_answer_losing(
    world: &World,
    link: &Link,
    lost: Range<usize>,
    mut reported: usize,
) -> Received {
    loop {
        let received = fetch_losing(world, link, lost.clone()).await;
        if !received.refused {
            return received;
        }
        let cause = format!("{lost:?}: a standstill that explains {:?}", received.text);
        eventually(&cause, || async { standstills(world) > reported }).await;
        reported = serves_again(world, link).await;
    }
}

// A short network failure between regions left a gap in a relayed stream, and the stream continued
// after it.
#[tokio::test]
async fn stream_does_not_go_on_behind_a_gap() {
    let engine = Standin::start("engine").await;
    let (world, link) = world(&engine).await;
    let reported = standstills(&world);
    let all = fetch_answer_losing(&world, &link, 0..0, reported).await;
    assert!(all.whole, "nothing is lost yet");
    let mut cases = Vec::new();
    for start in (0..all.size).step_by(all.size / 12) {
        for lost in [1, 7, 64, 300] {
            cases.push(start..start + lost);
        }
    }
    // The whole end of the body but its last chunk is lost.
    let end = all.size - LAST_CHUNK_BYTES;
    cases.extend([40, 100, all.size / 2].map(|lost| end - lost..end));
    for lost in cases {
        let reported = serves_again(&world, &link).await;
        let received = fetch_answer_losing(&world, &link, lost.clone(), reported).await;
        assert!(!received.whole, "{lost:?} of {} lost", all.size);
        assert!(
            all.text.starts_with(&received.text),
            "{lost:?}: {:?}",
            received.text
        );
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
    let plain = call(peer, Method::POST, CHAT_PATH, &headers, body.clone()).await;
    let plain = plain.expect("the box answers");
    assert_eq!(streamed(&plain), Some(tokens("x", TOKENS)));
    assert!(plain.header("petreldrum-records").is_empty());
    let checked_headers = [&headers[..], &[("petreldrum-checked", "true")]].concat();
    let checked = call(peer, Method::POST, CHAT_PATH, &checked_headers, body).await;
    let checked = checked.expect("the box answers");
    assert_eq!(checked.header("petreldrum-records"), "true");
    assert_eq!(checked.header("petreldrum-check").len(), 16);
}
