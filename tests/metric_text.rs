//! Metrics of a box, as a collector scrapes them.

mod harness;

use harness::{cloud::Cloud, eventually};
use hyper::Method;
use petreldrum_standin::{http::call, registry::Fault};

/// Returns the value of the metric line that begins with `line`, or `None` if there is none.
async fn value(cloud: &Cloud, line: &str) -> Option<f64> {
    let address = cloud.boxes[0].metrics;
    let answer = call(address, Method::GET, "/metrics", &[], "").await;
    let text = String::from_utf8(answer.expect("the box answers").body.to_vec())
        .expect("the metrics are UTF-8");
    let mut lines = text.lines();
    lines.find_map(|l| l.strip_prefix(line)?.trim().parse().ok())
}

#[tokio::test]
async fn requests_and_times() {
    let cloud = Cloud::serving(&["i-1"]).await;
    for number in 0..3 {
        let id = format!("n{number}");
        let answer = cloud.boxes[0].send("/safe/x", &id, "").await;
        assert!(answer.status.is_success());
    }
    for name in ["first_byte", "waited", "whole", "pause"] {
        let line = format!("petreldrum_{name}_seconds_count ");
        eventually("three are counted", || async {
            value(&cloud, &line).await == Some(3.0)
        })
        .await;
    }
    assert_eq!(value(&cloud, "petreldrum_repeats_total ").await, Some(0.0));
    assert!(value(&cloud, "petreldrum_connections ").await >= Some(1.0));
    assert_eq!(
        value(&cloud, "petreldrum_store_read_seconds_count ").await,
        Some(1.0)
    );
}

#[tokio::test]
async fn a_lost_store_shows() {
    let cloud = Cloud::serving(&["i-1"]).await;
    assert_eq!(value(&cloud, "petreldrum_store_failures ").await, Some(0.0));
    cloud.registry.set_fault(Fault::Busy);
    eventually("failures are counted", || async {
        value(&cloud, "petreldrum_store_failures ").await >= Some(2.0)
    })
    .await;
    let refused = "petreldrum_store_calls_total{call=\"watch\",outcome=\"refused\"} ";
    assert!(value(&cloud, refused).await >= Some(2.0));
    cloud.registry.set_fault(Fault::None);
    eventually("the store is available again", || async {
        value(&cloud, "petreldrum_store_failures ").await == Some(0.0)
    })
    .await;
}

#[tokio::test]
async fn bytes_between_boxes_by_kind() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    cloud.add_box("atl").await;
    for line in [
        "petreldrum_gossip_bytes_total{direction=\"sent\",kind=\"heartbeat\"} ",
        "petreldrum_gossip_bytes_total{direction=\"received\",kind=\"heartbeat\"} ",
    ] {
        eventually("heartbeats are counted", || async {
            value(&cloud, line).await > Some(0.0)
        })
        .await;
    }
}
