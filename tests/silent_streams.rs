//! Streams of a backend server that falls silent while all others are full.

mod harness;

use std::time::Duration;

use futures_util::future::join_all;
use harness::{
    cloud::{Cloud, HOST, NEWS},
    eventually,
};
use hyper::Method;
use petreldrum_standin::{
    http::{Answer, Begun, begin},
    worker::{EVENTS, MODE, SILENT, Worker},
};
use serde_json::json;
use tokio::{task::JoinHandle, time::sleep};

/// Slots of each server.
const SLOTS: usize = 64;
const TIME_LIMIT_MS: u64 = 7000;
/// How long the servers stay full after they rejected streams.
const FULL_TIME: Duration = Duration::from_secs(1);
/// Servers that are full.
const FULL: [&str; 4] = ["f-1", "f-2", "f-3", "f-4"];

/// Returns how often servers may get one of `streams` again in a window of ten seconds, in which each
/// test ends: the slack of the boxes' settings and a fifth of the requests.
fn allowed(streams: usize) -> f64 {
    50.0 + 0.2 * streams as f64
}

/// Starts the server `i-1` and boxes in these regions.
async fn platform(regions: &[&str]) -> Cloud {
    let mut cloud = Cloud::start().await;
    let route = json!({
        "name": "again", "host": HOST, "pathPrefix": "/again/", "kind": "streaming",
        "timeoutMs": TIME_LIMIT_MS, "targetLatencyMs": 800, "priority": 0, "service": "app",
        "maxAttempts": 3, "resumable": true, "gapAimMs": 600, "homeRegions": [],
    });
    let content = json!({
        "version": 1, "routes": [route], "limits": {},
        "services": [{ "name": "app", "healthPath": "/health", "coldPerS": 0.0 }],
    });
    cloud.registry.put("op/config", &content);
    add_server(&mut cloud, "i-1", None).await;
    for region in regions {
        cloud.add_box(region).await;
    }
    cloud.settled().await;
    eventually("all boxes reach the server", || async {
        let sends = cloud.boxes.iter().map(|b| b.send("/again/x", "first", ""));
        join_all(sends).await.iter().all(|a| a.status == 200)
    })
    .await;
    cloud
}

/// Starts a server that answers all requests in `mode`, if one is given.
async fn add_server(cloud: &mut Cloud, name: &str, mode: Option<&str>) {
    let worker = Worker::start(name).await.expect("the worker starts");
    if let Some(mode) = mode {
        worker.answer_always(mode);
    }
    let content = json!({
        "service": "app", "address": worker.address, "zone": "atl-a", "version": "v1",
        "slots": SLOTS, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
    });
    cloud.registry.put(&format!("servers/{name}"), &content);
    cloud.workers.insert(name.to_owned(), worker);
}

fn id(number: usize) -> String {
    format!("stream-{number}")
}

/// Begins streams at `i-1`, through all boxes, which falls silent once the others are known. Returns
/// their answers.
async fn begin_streams(cloud: &mut Cloud, streams: usize) -> Vec<JoinHandle<Answer>> {
    let time_limit = TIME_LIMIT_MS.to_string();
    let begun = (0..streams).map(|number| {
        let (entry, id) = (&cloud.boxes[number % cloud.boxes.len()], id(number));
        let (entry, time_limit) = (entry.public, &time_limit);
        async move {
            let headers = [
                ("host", HOST),
                ("request-id", id.as_str()),
                ("deadline-ms", time_limit),
                (MODE, "stream"),
            ];
            let begun = begin(entry, Method::POST, "/again/x", &headers, String::new()).await;
            begun.expect("the box answers")
        }
    });
    let begun = join_all(begun).await;
    for name in FULL {
        add_server(cloud, name, Some("full")).await;
    }
    sleep(NEWS).await;
    cloud.workers["i-1"].answer_always(SILENT);
    let finish = |begun: Begun| tokio::spawn(begun.finish());
    begun.into_iter().map(finish).collect()
}

/// Counts the arrivals at all servers beyond the first of each stream.
fn repeats(cloud: &Cloud, streams: usize) -> usize {
    let arrivals: usize = (0..streams).map(|number| cloud.runs(&id(number))).sum();
    arrivals - streams
}

/// Reports whether a stream has all its events, each once and in order.
fn is_complete(answer: &Answer) -> bool {
    let text = String::from_utf8_lossy(&answer.body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    answer.whole && ids.eq((1..=EVENTS).map(|id| id.to_string()))
}

/// Guards against streams that are sent to full servers again and again, beyond the retry budget of
/// the boxes.
#[tokio::test]
async fn streams_off_a_silent_server_keep_to_the_budget() {
    let streams = 48;
    let mut cloud = platform(&["atl", "mcn", "atl", "mcn", "atl", "mcn"]).await;
    for answer in begin_streams(&mut cloud, streams).await {
        let answer = answer.await.expect("the caller ends");
        assert!(!answer.whole, "no server could finish it");
    }
    let repeats = repeats(&cloud, streams);
    assert!(repeats > 0, "no stream was sent on");
    let allowed = allowed(streams);
    assert!(repeats as f64 <= allowed, "{repeats} > {allowed}");
}

/// Guards against streams that are given up although a slot becomes free within their time limit and
/// the budget has attempts left.
#[tokio::test]
async fn streams_go_on_once_a_slot_is_free() {
    let streams = 4;
    let mut cloud = platform(&["atl", "mcn"]).await;
    let answers = begin_streams(&mut cloud, streams).await;
    eventually("streams are rejected", || async {
        repeats(&cloud, streams) >= streams
    })
    .await;
    sleep(FULL_TIME).await;
    for name in FULL {
        cloud.workers[name].answer_always("stream");
    }
    for answer in answers {
        let answer = answer.await.expect("the caller ends");
        assert!(is_complete(&answer), "{answer:?}");
    }
    let (repeats, allowed) = (repeats(&cloud, streams), allowed(streams));
    assert!(repeats as f64 <= allowed, "{repeats} > {allowed}");
}
