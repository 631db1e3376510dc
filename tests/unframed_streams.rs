//! Answers with neither a length nor chunks: whole ones arrive whole, and broken ones as broken.

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
/// Streams that are sent, at most, until one of them breaks.
const TURNS: u32 = 20;
const ONE: &str = "id: 1\ndata: i-1\n\n";

/// Streams that ended inside an event, or before their first one.
fn broken() -> Vec<Script> {
    let streams: [&[&str]; 14] = [
        &[ONE, "id: 2\nda"],
        &["id: 1\ndata: i-1\n\nid: 2\nda"],
        &["id: 1\nda", "ta: i-1\n", "\nid: 2\n"],
        &[ONE, "id: 2\ndata: i-1\n"],
        &[ONE, "id: 2\ndata: i-1"],
        &["id: 1\r\ndata: i-1\r\n\r\nid: 2\r\ndata: i-1\r\n"],
        &["id: 1\r\ndata: i-1\r\n\r", "\nid: 2\r\ndata: i-1\r", "\n"],
        &["id: 1\rdata: i-1\r\rid: 2\rdata: i-1\r"],
        &["id: 1\r\ndata: i-1\r\n\r"],
        &["id: 1\nda"],
        &[],
        &[": hello\n\n"],
        &[ONE, ": he"],
        &[ONE, "data: [DONE]\n\n", "data: mo"],
    ];
    streams.into_iter().map(Script::stream).collect()
}

/// Answers that ended where they should.
fn whole() -> Vec<Script> {
    let streams: [&[&str]; 9] = [
        &[ONE],
        &["id: 1\ndata: i-1\n", "\n", "id: 2\nda", "ta: i-1\n\n"],
        &["id: 1\r\ndata: i-1\r\n\r\n"],
        &["id: 1\r\ndata: i-1\r\n\r", "\n"],
        &["id: 1\rdata: i-1\r\r"],
        &[ONE, ": bye\n"],
        &[ONE, ": bye\n\n"],
        &[ONE, "data: [DONE]\n\n"],
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

async fn play(process: &CloudBox, path: &str, id: &str, script: &Script) -> Answer {
    let body = serde_json::to_string(script).expect("a script is JSON");
    let begun = process.begin_with(path, id, SCRIPTED, body).await;
    begun.finish().await
}

/// The ids of the events of a stream.
fn ids(body: &[u8]) -> Vec<u32> {
    let text = String::from_utf8_lossy(body);
    let id = |line: &str| line.trim_end().strip_prefix("id: ")?.parse().ok();
    text.lines().filter_map(id).collect()
}

// A stream that broke inside an event reached its caller framed as complete.
#[tokio::test]
async fn broken_stream_is_not_framed_as_complete() {
    let cloud = Cloud::serving(&["i-1"]).await;
    for (number, script) in broken().iter().enumerate() {
        for path in ["/once/x", "/stream/x"] {
            let id = format!("{}-{number}", &path[1..5]);
            let answer = play(&cloud.boxes[0], path, &id, script).await;
            assert!(!answer.whole, "{path} {:?}", script.writes);
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(script.body().starts_with(&text), "{path} {text:?}");
            assert_eq!(cloud.runs(&id), 1);
        }
    }
}

/// Sends streams until one begins at i-1, where it breaks; i-2 brings whole ones.
async fn goes_on(script: &Script) {
    let cloud = Cloud::serving(&["i-1", "i-2"]).await;
    cloud.workers["i-2"].answer_always("stream");
    for turn in 0..TURNS {
        let id = format!("one-{turn}");
        let answer = play(&cloud.boxes[0], "/stream/x", &id, script).await;
        assert!(answer.whole, "{:?}", script.writes);
        let all: Vec<u32> = (1..=EVENTS).collect();
        assert_eq!(ids(&answer.body), all, "{:?}", script.writes);
        if !cloud.workers["i-1"].seen(&id).is_empty() {
            assert_eq!(cloud.runs(&id), 2);
            return;
        }
    }
    panic!("no stream began where it breaks: {:?}", script.writes);
}

// Nothing went on elsewhere after a stream broke without a length or chunks.
#[tokio::test]
async fn broken_stream_goes_on_elsewhere() {
    let newlines = |script: &Script| !script.body().contains('\r');
    for script in broken().iter().filter(|script| newlines(script)) {
        goes_on(script).await;
    }
}

// A box framed in chunks what another box could then no longer tell from a whole answer.
#[tokio::test]
async fn broken_stream_is_seen_behind_a_relay() {
    let cloud = Cloud::across(&["i-1"]).await;
    let answer = cloud.boxes[0].send("/once/x", "none", "bodiless").await;
    assert_eq!((answer.status.as_u16(), answer.whole), (204, true));
    for (number, script) in broken().iter().enumerate() {
        let id = format!("one-{number}");
        let answer = play(&cloud.boxes[0], "/once/x", &id, script).await;
        assert!(!answer.whole, "{:?}", script.writes);
    }
    for (number, script) in whole().iter().enumerate() {
        let id = format!("two-{number}");
        let answer = play(&cloud.boxes[0], "/once/x", &id, script).await;
        assert!(answer.whole, "{:?}", script.writes);
        assert_eq!(answer.body, script.body());
    }
}

// A box told a broken stream as whole, so its server was never suspected.
#[tokio::test]
async fn broken_stream_counts_as_broken() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let script = Script::stream(&[ONE, "id: 2\nda"]);
    play(&cloud.boxes[0], "/once/x", "one", &script).await;
    eventually("the log tells of the break", || async {
        let log = cloud.boxes[0].log.text();
        let of_it = |line: &&str| line.contains("id=one ");
        let lines: Vec<&str> = log.lines().filter(of_it).collect();
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
            let answer = play(&cloud.boxes[0], path, &id, script).await;
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
        let answer = play(&cloud.boxes[0], "/once/x", &id, &script).await;
        assert!(!answer.whole, "{:?}", script.writes);
    }
}

/// A world whose model and application answer as `script` says.
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

// Whole answers without a length reached callers of our own interface as cut.
#[tokio::test]
async fn our_own_interface_tells_them_apart_too() {
    let done = Script::stream(&["data: a\n\n", "data: [DONE]\n\n"]);
    let half = Script::stream(&["data: a\n\n", "data: b"]);
    for region in REGIONS {
        for (script, is_whole) in [(&done, true), (&half, false)] {
            let world = world(script, region).await;
            for _ in 0..8 {
                let answer = world.get("perth-1").chat("x", 2).await;
                assert_eq!(answer.status, 200);
                assert_eq!(answer.whole, is_whole, "{region} {:?}", script.writes);
            }
        }
    }
}

// A broken stream was kept under its key and given to those who sent the key again.
#[tokio::test]
async fn broken_stream_is_not_replayed() {
    let half = Script::stream(&["data: a\n\n", "data: b"]);
    let world = world(&half, "perth").await;
    let key = world.get("perth-1").key("x").await;
    let first = world.get("perth-1").book(&key, "x").await;
    assert!(!first.whole);
    let again = world.get("perth-1").book(&key, "x").await;
    assert_eq!(again.status, 409, "its answer is not known");
}

#[tokio::test]
async fn whole_answer_is_replayed() {
    let done = Script::stream(&["data: a\n\n"]);
    let world = world(&done, "perth").await;
    let key = world.get("perth-1").key("x").await;
    for _ in 0..2 {
        let answer = world.get("perth-1").book(&key, "x").await;
        assert_eq!((answer.whole, answer.body), (true, done.body().into()));
    }
}
