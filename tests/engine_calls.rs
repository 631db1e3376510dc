//! The calls by which a box hears what an engine keeps, and what it does when they fail.

mod harness;

use std::time::Duration;

use harness::{
    cloud::{Cloud, HOST},
    eventually,
};
use hyper::Method;
use petreldrum_standin::{
    http::{call, start},
    memory::{Manner, Memory},
};
use serde_json::json;
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);

/// A box before one engine, which tells where `most` is over zero.
async fn world(most: u32) -> (Cloud, Memory) {
    let mut cloud = Cloud::start().await;
    let route = json!({
        "name": "r", "host": HOST, "pathPrefix": "/p/", "kind": "streaming", "timeoutMs": 3000,
        "targetLatencyMs": 800, "priority": 0, "service": "app", "maxAttempts": 2,
        "resumable": false, "gapAimMs": 600, "homeRegions": [],
    });
    let engine = json!({"kvTokens": 100_000, "most": most});
    let service = json!({"name": "app", "coldPerS": 0, "engine": engine});
    let config = json!({"version": 1, "routes": [route], "services": [service]});
    cloud.registry.put("op/config", &config);
    let memory = Memory::default();
    memory.keep(0xa, 9000);
    let address = start(memory.clone()).await.expect("it starts");
    cloud.register("i-1", address, "atl", "ready");
    cloud.add_box("atl").await;
    cloud.settled().await;
    (cloud, memory)
}

/// What came of the calls of this kind.
async fn count(cloud: &Cloud, kind: &str) -> f64 {
    let address = cloud.boxes[0].metrics;
    let answer = call(address, Method::GET, "/metrics", &[], "").await;
    let text = String::from_utf8(answer.expect("it answers").body.to_vec()).expect("it is text");
    let line = format!("petreldrum_engine_news_total{{kind=\"{kind}\"}} ");
    let value = text
        .lines()
        .find_map(|l| l.strip_prefix(&line)?.parse().ok());
    value.unwrap_or(0.0)
}

async fn counted(cloud: &Cloud, kind: &str, least: f64) {
    eventually(kind, || async { count(cloud, kind).await >= least }).await;
}

async fn logged(cloud: &Cloud, line: &str) {
    eventually(line, || async { cloud.boxes[0].log.text().contains(line) }).await;
}

#[tokio::test]
async fn nothing_is_called_where_nothing_is_offered() {
    let (cloud, memory) = world(0).await;
    sleep(SECOND).await;
    let calls = memory.calls(60 * SECOND);
    assert!(
        !calls.iter().any(|path| path == "/v1/kv-events"),
        "{calls:?}"
    );
    assert_eq!(count(&cloud, "list").await, 0.0);
}

/// A quiet engine is called once a second, and one that has something to tell at any time twice.
#[tokio::test]
async fn calls_are_held_and_few() {
    let (cloud, memory) = world(12).await;
    counted(&cloud, "changes", 1.0).await;
    sleep(3 * SECOND).await;
    let quiet = memory.calls(3 * SECOND).len();
    assert!(quiet <= 4, "{quiet} calls in 3 s");
    for part in 0..60 {
        memory.keep(part, 2000);
        sleep(Duration::from_millis(50)).await;
    }
    let busy = memory.calls(3 * SECOND).len();
    assert!((4..=7).contains(&busy), "{busy} calls in 3 s");
    assert_eq!(count(&cloud, "gap").await, 0.0);
}

#[tokio::test]
async fn lost_events_bring_a_new_list() {
    let (cloud, memory) = world(12).await;
    counted(&cloud, "changes", 1.0).await;
    memory.keep(0xb, 9000);
    memory.lose_events();
    counted(&cloud, "gap", 1.0).await;
    counted(&cloud, "list", 2.0).await;
    logged(&cloud, "backend=i-1 parts=2").await;
}

#[tokio::test]
async fn a_new_epoch_brings_a_new_list() {
    let (cloud, memory) = world(12).await;
    counted(&cloud, "changes", 1.0).await;
    memory.start_again();
    counted(&cloud, "gap", 1.0).await;
    counted(&cloud, "list", 2.0).await;
    logged(&cloud, "backend=i-1 parts=0").await;
}

/// An engine that turns calls away, or answers none, is called ever less often, and heard again after.
#[tokio::test]
async fn refusals_and_silence_are_not_hammered() {
    for manner in [Manner::Busy, Manner::Mute] {
        let (cloud, memory) = world(12).await;
        counted(&cloud, "changes", 1.0).await;
        memory.treat(manner);
        counted(&cloud, "failed", 2.0).await;
        sleep(3 * SECOND).await;
        let calls = memory.calls(3 * SECOND).len();
        assert!(calls <= 3, "{manner:?}: {calls} calls in 3 s");
        memory.treat(Manner::Open);
        let before = count(&cloud, "changes").await;
        counted(&cloud, "changes", before + 1.0).await;
        assert_eq!(
            count(&cloud, "list").await,
            1.0,
            "{manner:?}: nothing was missed"
        );
    }
}
