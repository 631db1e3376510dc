//! Answers with neither a content length nor chunked encoding: complete ones reach the caller as
//! complete, and truncated ones as truncated.

mod harness;

use harness::{
    World, backend,
    cloud::{Cloud, CloudBox},
    eventually, preamble,
};
use petreldrum_standin::{
    http::Answer,
    script::{End, Script},
    worker::{EVENTS, SCRIPTED},
};

const REGIONS: [&str; 2] = ["perth", "bunbury"];
/// Maximum number of streams that are sent until one of them breaks.
const MAX_STREAMS: u32 = 20;
const FIRST_EVENT: &str = "id: 1\ndata: i-1\n\n";

/// Returns streams that end inside an event, or before their first one.
fn broken() -> Vec<Script> {
    let streams: [&[&str]; 14] = [
        &[FIRST_EVENT, "id: 2\nda"],
        &["id: 1\ndata: i-1\n\nid: 2\nda"],
        &["id: 1\nda", "ta: i-1\n", "\nid: 2\n"],
        &[FIRST_EVENT, "id: 2\ndata: i-1\n"],
        &[FIRST_EVENT, "id: 2\ndata: i-1"],
        &["id: 1\r\ndata: i-1\r\n\r\nid: 2\r\ndata: i-1\r\n"],
        &["id: 1\r\ndata: i-1\r\n\r", "\nid: 2\r\ndata: i-1\r", "\n"],
        &["id: 1\rdata: i-1\r\rid: 2\rdata: i-1\r"],
        &["id: 1\r\ndata: i-1\r\n\r"],
        &["id: 1\nda"],
        &[],
        &[": hello\n\n"],
        &[FIRST_EVENT, ": he"],
        &[FIRST_EVENT, "data: [DONE]\n\n", "data: mo"],
    ];
    streams.into_iter().map(Script::stream).collect()
}

/// Returns answers that are complete.
fn whole() -> Vec<Script> {
    let streams: [&[&str]; 9] = [
        &[FIRST_EVENT],
        &["id: 1\ndata: i-1\n", "\n", "id: 2\nda", "ta: i-1\n\n"],
        &["id: 1\r\ndata: i-1\r\n\r\n"],
        &["id: 1\r\ndata: i-1\r\n\r", "\n"],
        &["id: 1\rdata: i-1\r\r"],
        &[FIRST_EVENT, ": bye\n"],
        &[FIRST_EVENT, ": bye\n\n"],
        &[FIRST_EVENT, "data: [DONE]\n\n"],
        &["weight-versions: 3\nid: 1\ndata: i-1\n\n"],
    ];
    let streams = streams.into_iter().map(Script::stream);
    let plain = Script {
        kind: "text/plain".to_owned(),
        writes: vec!["data: no".to_owned(), " stream".to_owned()],
        end: End::Close,
    };
    streams.chain([plain]).collect()
}

async fn send_script(process: &CloudBox, path: &str, id: &str, script: &Script) -> Answer {
    let body = serde_json::to_string(script).expect("a script can be written as JSON");
    let begun = process.begin_with(path, id, SCRIPTED, body).await;
    begun.finish().await
}

/// Returns the ids of the events of a stream.
fn ids(body: &[u8]) -> Vec<u32> {
    let text = String::from_utf8_lossy(body);
    let id = |line: &str| line.trim_end().strip_prefix("id: ")?.parse().ok();
    text.lines().filter_map(id).collect()
}

// Guards against a stream that broke inside an event and reached its caller framed as complete.
#[tokio::test]
async fn broken_stream_is_not_framed_as_complete() {
    let cloud = Cloud::serving(&["i-1"]).await;
    for (number, script) in broken().iter().enumerate() {
        for path in ["/once/x", "/stream/x"] {
            let id = format!("{}-{number}", &path[1..5]);
            let answer = send_script(&cloud.boxes[0], path, &id, script).await;
            assert!(!answer.whole, "{path} {:?}", script.writes);
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(script.body().starts_with(&text), "{path} {text:?}");
            assert_eq!(cloud.runs(&id), 1);
        }
    }
}

/// Sends streams until one begins at i-1, where it breaks, and checks that it is resumed at i-2,
/// which answers with whole streams.
async fn assert_resumed(script: &Script) {
    let cloud = Cloud::serving(&["i-1", "i-2"]).await;
    cloud.workers["i-2"].answer_always("stream");
    for number in 0..MAX_STREAMS {
        let id = format!("one-{number}");
        let answer = send_script(&cloud.boxes[0], "/stream/x", &id, script).await;
        assert!(answer.whole, "{:?}", script.writes);
        let all: Vec<u32> = (1..=EVENTS).collect();
        assert_eq!(ids(&answer.body), all, "{:?}", script.writes);
        if !cloud.workers["i-1"].seen(&id).is_empty() {
            assert_eq!(cloud.runs(&id), 2);
            return;
        }
    }
    panic!("no stream began at i-1: {:?}", script.writes);
}

// Guards against broken streams with neither length nor chunks that were not resumed at another
// server.
#[tokio::test]
async fn broken_stream_goes_on_elsewhere() {
    let newlines = |script: &Script| !script.body().contains('\r');
    for script in broken().iter().filter(|script| newlines(script)) {
        assert_resumed(script).await;
    }
}

// Guards against a box that relays a broken answer in chunks, so that the next box takes it for
// complete.
#[tokio::test]
async fn broken_stream_is_seen_behind_a_relay() {
    let cloud = Cloud::across(&["i-1"]).await;
    let answer = cloud.boxes[0].send("/once/x", "none", "bodiless").await;
    assert_eq!((answer.status.as_u16(), answer.whole), (204, true));
    for (number, script) in broken().iter().enumerate() {
        let id = format!("one-{number}");
        let answer = send_script(&cloud.boxes[0], "/once/x", &id, script).await;
        assert!(!answer.whole, "{:?}", script.writes);
    }
    for (number, script) in whole().iter().enumerate() {
        let id = format!("two-{number}");
        let answer = send_script(&cloud.boxes[0], "/once/x", &id, script).await;
        assert!(answer.whole, "{:?}", script.writes);
        assert_eq!(answer.body, script.body());
    }
}

// Guards against a broken stream that is logged as whole, so that its server is never suspected.
#[tokio::test]
async fn broken_stream_counts_as_broken() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let script = Script::stream(&[FIRST_EVENT, "id: 2\nda"]);
    send_script(&cloud.boxes[0], "/once/x", "one", &script).await;
    eventually("the break is logged", || async {
        let log = cloud.boxes[0].log.text();
        let is_own = |line: &&str| line.contains("id=one ");
        let lines: Vec<&str> = log.lines().filter(is_own).collect();
        lines.iter().any(|l| l.contains("whole=false"))
            && lines.iter().any(|l| l.contains("broken at=i-1"))
    })
    .await;
}

#[tokio::test]
async fn whole_answers_stay_whole() {
    let cloud = Cloud::serving(&["i-1"]).await;
    for (number, script) in whole().iter().enumerate() {
        for path in ["/once/x", "/stream/x"] {
            let id = format!("{}-{number}", &path[1..5]);
            let answer = send_script(&cloud.boxes[0], path, &id, script).await;
            assert!(answer.whole, "{path} {:?}", script.writes);
            assert_eq!(answer.body, script.body(), "{path}");
            assert_eq!(cloud.runs(&id), 1, "{path} {:?}", script.writes);
        }
    }
}

#[tokio::test]
async fn reset_is_no_end() {
    let cloud = Cloud::serving(&["i-1"]).await;
    for (number, mut script) in whole().into_iter().enumerate() {
        script.end = End::Reset;
        let id = format!("one-{number}");
        let answer = send_script(&cloud.boxes[0], "/once/x", &id, &script).await;
        assert!(!answer.whole, "{:?}", script.writes);
    }
}

/// Starts boxes whose engine and application answer with `script`.
async fn world(script: &Script, region: &str) -> World {
    let world = World::start(&REGIONS, 1).await;
    let server = script.clone().serve().await.expect("the server starts");
    let text = preamble(&REGIONS, "perth")
        + &backend("engine", server, region, "referral", "slots = 64")
        + &backend("app", server, region, "booking, slots", "slots = 64")
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.places("/booking/new", None).await;
    world.places("/v1/chat", Some("referral")).await;
    world
}

// Guards against whole answers without a length that reached callers of the gateway's own interface
// as truncated.
#[tokio::test]
async fn our_own_interface_tells_them_apart_too() {
    let complete = Script::stream(&["data: a\n\n", "data: [DONE]\n\n"]);
    let truncated = Script::stream(&["data: a\n\n", "data: b"]);
    for region in REGIONS {
        for (script, is_whole) in [(&complete, true), (&truncated, false)] {
            let world = world(script, region).await;
            for _ in 0..8 {
                let answer = world.get("perth-1").chat("x", 2).await;
                assert_eq!(answer.status, 200);
                assert_eq!(answer.whole, is_whole, "{region} {:?}", script.writes);
            }
        }
    }
}

// Guards against a broken stream that is kept under its idempotency key and replayed.
#[tokio::test]
async fn broken_stream_is_not_replayed() {
    let truncated = Script::stream(&["data: a\n\n", "data: b"]);
    let world = world(&truncated, "perth").await;
    let key = world.get("perth-1").key("x").await;
    let first = world.get("perth-1").book(&key, "x").await;
    assert!(!first.whole);
    let again = world.get("perth-1").book(&key, "x").await;
    assert_eq!(again.status, 409, "a broken answer was replayed");
}

#[tokio::test]
async fn whole_answer_is_replayed() {
    let complete = Script::stream(&["data: a\n\n"]);
    let world = world(&complete, "perth").await;
    let key = world.get("perth-1").key("x").await;
    for _ in 0..2 {
        let answer = world.get("perth-1").book(&key, "x").await;
        assert_eq!((answer.whole, answer.body), (true, complete.body().into()));
    }
}
