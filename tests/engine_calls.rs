//! The calls by which a box follows the cache contents of an engine, and the handling of their
//! failures.

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

/// Starts a box with one engine, which reports its cache contents if `most` is above zero.
async fn start_cloud(most: u32) -> (Cloud, Memory) {
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
    let address = start(memory.clone()).await.expect("engine starts");
    cloud.register("i-1", address, "atl", "ready");
    cloud.add_box("atl").await;
    cloud.settled().await;
    (cloud, memory)
}

/// Returns how many calls had a result of this kind, from the metrics.
async fn count(cloud: &Cloud, kind: &str) -> f64 {
    let address = cloud.boxes[0].metrics;
    let answer = call(address, Method::GET, "/metrics", &[], "").await;
    let text =
        String::from_utf8(answer.expect("box responds").body.to_vec()).expect("body is UTF-8");
    let line = format!("petreldrum_engine_news_total{{kind=\"{kind}\"}} ");
    let value = text
        .lines()
        .find_map(|l| l.strip_prefix(&line)?.parse().ok());
    value.unwrap_or(0.0)
}

async fn wait_for_count(cloud: &Cloud, kind: &str, least: f64) {
    eventually(kind, || async { count(cloud, kind).await >= least }).await;
}

async fn wait_for_log(cloud: &Cloud, line: &str) {
    eventually(line, || async { cloud.boxes[0].log.text().contains(line) }).await;
}

#[tokio::test]
async fn engines_that_offer_no_updates_are_not_called() {
    let (cloud, memory) = start_cloud(0).await;
    sleep(SECOND).await;
    let calls = memory.calls(60 * SECOND);
    assert!(
        !calls.iter().any(|path| path == "/v1/kv-events"),
        "{calls:?}"
    );
    assert_eq!(count(&cloud, "list").await, 0.0);
}

/// An idle engine is called once a second, and one that always has changes to report twice a
/// second.
#[tokio::test]
async fn long_polls_keep_calls_few() {
    let (cloud, memory) = start_cloud(12).await;
    wait_for_count(&cloud, "changes", 1.0).await;
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
async fn lost_events_cause_a_new_list() {
    let (cloud, memory) = start_cloud(12).await;
    wait_for_count(&cloud, "changes", 1.0).await;
    memory.keep(0xb, 9000);
    memory.lose_events();
    wait_for_count(&cloud, "gap", 1.0).await;
    wait_for_count(&cloud, "list", 2.0).await;
    wait_for_log(&cloud, "backend=i-1 parts=2").await;
}

#[tokio::test]
async fn new_epoch_causes_a_new_list() {
    let (cloud, memory) = start_cloud(12).await;
    wait_for_count(&cloud, "changes", 1.0).await;
    memory.start_again();
    wait_for_count(&cloud, "gap", 1.0).await;
    wait_for_count(&cloud, "list", 2.0).await;
    wait_for_log(&cloud, "backend=i-1 parts=0").await;
}

/// An engine that refuses calls or does not answer is called with growing backoff, and followed
/// again after it recovers.
#[tokio::test]
async fn refusing_and_silent_engines_are_called_with_backoff() {
    for manner in [Manner::Busy, Manner::Mute] {
        let (cloud, memory) = start_cloud(12).await;
        wait_for_count(&cloud, "changes", 1.0).await;
        memory.treat(manner);
        wait_for_count(&cloud, "failed", 2.0).await;
        sleep(3 * SECOND).await;
        let calls = memory.calls(3 * SECOND).len();
        assert!(calls <= 3, "{manner:?}: {calls} calls in 3 s");
        memory.treat(Manner::Open);
        let before = count(&cloud, "changes").await;
        wait_for_count(&cloud, "changes", before + 1.0).await;
        assert_eq!(
            count(&cloud, "list").await,
            1.0,
            "{manner:?}: nothing was missed"
        );
    }
}
