//! A stream whose engine leaves continues at another engine, and its caller receives one whole
//! answer.

mod harness;

use std::time::Duration;

use futures_util::future::join_all;
use harness::{
    cloud::{Cloud, HOST},
    eventually,
};
use hyper::Method;
use petreldrum_standin::{
    http::{Answer, call},
    runs::Way,
    worker::{EVENTS, SIZED_STREAM, UNFRAMED_STREAM},
};
use serde_json::json;
use tokio::time::sleep;

/// Time for a stream to start and send some events.
const SOME_EVENTS: Duration = Duration::from_millis(250);

/// Starts a box and engine `i-1`, with a route whose streams may be neither repeated nor resumed
/// (`/flow/`) and one whose streams may (`/again/`).
async fn one_engine() -> Cloud {
    let cloud = Cloud::serving(&["i-1"]).await;
    configure(&cloud).await;
    cloud
}

async fn configure(cloud: &Cloud) {
    let route = |prefix: &str, resumable: bool, attempts: u32| {
        json!({
            "name": prefix, "host": HOST, "pathPrefix": format!("/{prefix}/"), "kind": "streaming",
            "timeoutMs": 6000, "targetLatencyMs": 800, "priority": 0, "service": "app",
            "maxAttempts": attempts, "resumable": resumable, "gapAimMs": 600, "homeRegions": [],
        })
    };
    let content = json!({
        "version": 2,
        "routes": [route("flow", false, 1), route("again", true, 3)],
        "services": [{
            "name": "app", "healthPath": "/health", "coldPerS": 0.0,
            "engine": { "kvTokens": 90000, "kvBytes": 35136, "linkMbps": 550000, "moves": true, "handle_s": 6 },
        }],
        "limits": {},
    });
    cloud.registry.put("op/config", &content);
    eventually("the route is in force", || async {
        let answer = cloud.boxes[0].send("/flow/x", "first", "").await;
        answer.status.is_success()
    })
    .await;
}

/// Registers engine `i-1` as about to end.
fn withdraw(cloud: &Cloud, region: &str) {
    let content = json!({
        "service": "app", "address": cloud.workers["i-1"].address, "zone": format!("{region}-a"),
        "version": "v1", "slots": 8, "state": "draining", "coldRemainingMs": 0, "sequence": 2,
        "timeLeftMs": 2500,
    });
    cloud.registry.put("servers/i-1", &content);
}

/// Starts a stream at `i-1`, adds `i-2` and withdraws `i-1`, which handles the calls of the move in
/// the given `way`.
async fn moved(way: Way) -> (Cloud, Answer) {
    moved_in_mode("stream", way).await
}

/// Does the same as [`moved`] with a stream that the engines answer in `mode`.
async fn moved_in_mode(mode: &str, way: Way) -> (Cloud, Answer) {
    let mut cloud = one_engine().await;
    let begun = cloud.boxes[0].begin("/flow/x", "one", mode).await;
    sleep(SOME_EVENTS).await;
    cloud.workers["i-1"].runs.take(way);
    cloud.add_worker("i-2", "atl").await;
    sleep(harness::cloud::NEWS / 2).await;
    withdraw(&cloud, "atl");
    let answer = begun.finish().await;
    (cloud, answer)
}

/// Returns the id of each event, in order, with the engine that sent it.
fn events(answer: &Answer) -> Vec<(u32, String)> {
    let text = String::from_utf8_lossy(&answer.body);
    let event = |event: &str| {
        let (id, data) = event.split_once('\n').expect("two lines");
        let id = id.trim_start_matches("id: ").parse().expect("a number");
        (id, data.trim_start_matches("data: ").to_owned())
    };
    text.split_terminator("\n\n").map(event).collect()
}

fn assert_whole(answer: &Answer) -> Vec<String> {
    let events = events(answer);
    let ids: Vec<u32> = events.iter().map(|(id, _)| *id).collect();
    assert!(answer.whole, "it ends with {ids:?}");
    assert_eq!(ids, (1..=EVENTS).collect::<Vec<_>>());
    events.into_iter().map(|(_, engine)| engine).collect()
}

async fn metric(cloud: &Cloud, line: &str) -> bool {
    let answer = call(cloud.boxes[0].metrics, Method::GET, "/metrics", &[], "").await;
    let text = answer.expect("the metrics endpoint answers").body;
    String::from_utf8_lossy(&text).contains(line)
}

#[tokio::test]
async fn it_is_one_whole_answer() {
    let (cloud, answer) = moved(Way::Good).await;
    let engines = assert_whole(&answer);
    assert_eq!((engines[0].as_str(), engines[19].as_str()), ("i-1", "i-2"));
    let seen = cloud.workers["i-2"].seen("one");
    assert_eq!(seen.len(), 1, "it goes on once");
    assert!(
        cloud.workers["i-1"].runs.freed().is_empty(),
        "the copy was used"
    );
    assert!(metric(&cloud, r#"moves_total{end="there"} 1"#).await);
}

#[tokio::test]
async fn it_goes_back_where_the_last_part_has_no_room() {
    let (cloud, answer) = moved(Way::LastRefused).await;
    let engines = assert_whole(&answer);
    assert!(engines.iter().all(|engine| engine == "i-1"));
    assert_eq!(cloud.workers["i-1"].seen("one").len(), 2);
    assert!(cloud.workers["i-2"].seen("one").is_empty());
}

/// A stream that continued with a length ended as complete without the first part of its last event,
/// where that event arrived in two parts.
#[tokio::test]
async fn last_event_of_a_continued_stream_is_whole() {
    let mut cloud = one_engine().await;
    let begun = cloud.boxes[0].begin("/flow/x", "one", "stream").await;
    cloud.add_worker("i-2", "atl").await;
    cloud.workers["i-2"].answer_always(SIZED_STREAM);
    sleep(harness::cloud::NEWS / 2).await;
    withdraw(&cloud, "atl");
    let engines = assert_whole(&begun.finish().await);
    assert_eq!((engines[0].as_str(), engines[19].as_str()), ("i-1", "i-2"));
}

/// The answer to the call that stops the run was lost, and by then the stream had closed without
/// its final event.
#[tokio::test]
async fn a_lost_answer_is_asked_for_again() {
    let (cloud, answer) = moved(Way::LastLost).await;
    assert_whole(&answer);
    assert_eq!(cloud.workers["i-1"].runs.calls(), 3);
}

#[tokio::test]
async fn a_stream_that_ends_first_is_whole_where_it_is() {
    let (cloud, answer) = moved(Way::LastLate).await;
    let engines = assert_whole(&answer);
    assert!(engines.iter().all(|engine| engine == "i-1"));
    assert!(cloud.workers["i-2"].seen("one").is_empty());
    eventually("the copy is freed", || async {
        cloud.workers["i-1"].runs.freed() == ["h-one"]
    })
    .await;
}

/// A caller that disconnected during a move left an unused copy behind.
#[tokio::test]
async fn a_caller_that_leaves_frees_the_copy() {
    let mut cloud = one_engine().await;
    let mut begun = cloud.boxes[0].begin("/flow/x", "one", "stream").await;
    begun.next().await;
    cloud.workers["i-1"].runs.take(Way::LastLate);
    cloud.add_worker("i-2", "atl").await;
    sleep(harness::cloud::NEWS / 2).await;
    withdraw(&cloud, "atl");
    eventually("the run is being stopped", || async {
        cloud.workers["i-1"].runs.calls() == 2
    })
    .await;
    drop(begun);
    eventually("the copy is freed", || async {
        !cloud.workers["i-1"].runs.freed().is_empty()
    })
    .await;
    assert!(cloud.workers["i-2"].seen("one").is_empty());
}

/// A stream without a length or chunks ended as complete with its first part: its engine had stopped
/// the run, the answer to that call was lost, and the repeated call was answered with 404.
#[tokio::test]
async fn stopped_stream_is_not_complete_after_a_lost_answer() {
    for way in [
        Way::LastReset,
        Way::LastHalf,
        Way::LastLost,
        Way::LastExpired,
    ] {
        let (_cloud, answer) = moved_in_mode(UNFRAMED_STREAM, way).await;
        let delivered = events(&answer).len();
        assert_eq!(
            answer.whole,
            delivered == EVENTS as usize,
            "{way:?}: {delivered} events"
        );
        // The run continues from its first copy, unless that has expired.
        assert_eq!(answer.whole, way != Way::LastExpired, "{way:?}");
    }
}

/// A way to answer the call that stops a run, and whether its stream is whole over any route.
const ANSWERS: [(Way, bool); 11] = [
    (Way::Good, true),
    (Way::LastSlow, true),
    (Way::LastRefused, true),
    (Way::LastUnheard, true),
    (Way::LastReset, true),
    (Way::LastHalf, true),
    (Way::LastNameless, true),
    (Way::LastEnded, false),
    (Way::LastExpired, false),
    (Way::LastBusy, false),
    (Way::LastSilent, false),
];
/// Route and mode of each stream.
const STREAMS: [(&str, &str); 4] = [
    ("/flow/x", UNFRAMED_STREAM),
    ("/flow/x", "stream"),
    ("/again/x", UNFRAMED_STREAM),
    ("/again/x", "stream"),
];

/// Streams to the first box from `i-1`, which then leaves and answers calls in the given `way`, and
/// checks what callers receive.
async fn assert_no_false_end(mut cloud: Cloud, region: &str, way: Way, whole: bool) {
    configure(&cloud).await;
    let mut begun = Vec::new();
    for (number, (path, mode)) in STREAMS.iter().enumerate() {
        let id = format!("one-{number}");
        begun.push(cloud.boxes[0].begin(path, &id, mode).await);
    }
    cloud.workers["i-1"].runs.take(way);
    cloud.add_worker("i-2", region).await;
    sleep(harness::cloud::NEWS / 2).await;
    withdraw(&cloud, region);
    let answers = join_all(begun.into_iter().map(|begun| begun.finish())).await;
    let calls = cloud.workers["i-1"].runs.calls() as usize;
    assert!(calls >= 2 * STREAMS.len(), "{way:?}: {calls} calls");
    for (number, answer) in answers.iter().enumerate() {
        let stream = STREAMS[number];
        let ids: Vec<u32> = events(answer).iter().map(|(id, _)| *id).collect();
        let count = ids.len() as u32;
        assert_eq!(ids, (1..=count).collect::<Vec<_>>(), "{way:?} {stream:?}");
        assert!(
            !answer.whole || count == EVENTS,
            "{way:?} {stream:?}: complete after {count} events"
        );
        assert!(answer.whole || !whole, "{way:?} {stream:?}: cut at {count}");
        let id = format!("one-{number}");
        let engines = cloud.workers.values();
        let mut spans: Vec<_> = engines.flat_map(|worker| worker.runs.spans(&id)).collect();
        spans.sort_unstable();
        let apart = spans.windows(2).all(|pair| pair[0].1 <= pair[1].0);
        assert!(apart, "{way:?} {stream:?}: it ran twice at a time");
    }
}

#[tokio::test]
async fn no_answer_of_an_engine_ends_a_stream_early() {
    for (way, whole) in ANSWERS {
        assert_no_false_end(Cloud::serving(&["i-1"]).await, "atl", way, whole).await;
    }
}

#[tokio::test]
async fn nor_over_a_relay() {
    for (way, whole) in ANSWERS {
        assert_no_false_end(Cloud::across(&["i-1"]).await, "mcn", way, whole).await;
    }
}

/// Guards against a run that starts anew at another engine because no header can hold the handle of
/// its copy.
#[tokio::test]
async fn runs_with_unusable_handles_stay_whole() {
    for suffix in ["\n", "\r\nx: y", "\0", "\u{7f}", " ", "\t"] {
        let mut cloud = one_engine().await;
        cloud.workers["i-1"].runs.end_handles_with(suffix);
        let begun = cloud.boxes[0].begin("/flow/x", "one", "stream").await;
        sleep(SOME_EVENTS).await;
        cloud.add_worker("i-2", "atl").await;
        sleep(harness::cloud::NEWS / 2).await;
        withdraw(&cloud, "atl");
        let answer = begun.finish().await;
        let engines = assert_whole(&answer);
        assert!(engines.iter().all(|engine| engine == "i-1"), "{suffix:?}");
        assert!(cloud.workers["i-2"].seen("one").is_empty(), "{suffix:?}");
    }
}
