//! Roll-outs ordered through the platform's store, with real processes: the boxes watch the
//! release, complete it or roll it back, and write the result once.

mod harness;

use std::time::{Duration, Instant};

use harness::{cloud::Cloud, eventually};
use petreldrum_standin::{registry::Fault, worker::Worker};
use serde_json::{Value, json};
use tokio::time::sleep;

const ORDER: &str = "op/rollout/app";
const STATUS: &str = "status/rollout/app";

/// Starts two boxes and two servers of release v1 in one region, and one of each in another.
async fn cloud() -> Cloud {
    let mut cloud = Cloud::start().await;
    cloud.configure(1);
    for (name, region) in [("old-1", "atl"), ("old-2", "atl"), ("old-3", "mcn")] {
        cloud.add_worker(name, region).await;
    }
    for region in ["atl", "atl", "mcn"] {
        cloud.add_box(region).await;
    }
    cloud.settled().await;
    cloud
}

/// Orders release v2 and starts its servers.
async fn order(cloud: &mut Cloud, seconds: f64, mode: Option<&str>) {
    let order = json!({ "service": "app", "targetVersion": "v2", "durationS": seconds });
    cloud.registry.put(ORDER, &order);
    for (name, region) in [("new-1", "atl"), ("new-2", "atl"), ("new-3", "mcn")] {
        let worker = Worker::start(name).await.expect("the worker starts");
        mode.iter().for_each(|mode| worker.answer_always(mode));
        cloud.register_release(name, worker.address, region, "ready", "v2");
        cloud.workers.insert(name.to_owned(), worker);
    }
}

fn state(cloud: &Cloud) -> Value {
    let status = cloud.registry.content(STATUS).unwrap_or_default();
    status["state"].clone()
}

fn arrivals(cloud: &Cloud, prefix: &str, since: Instant) -> usize {
    let workers = cloud
        .workers
        .iter()
        .filter(|(name, _)| name.starts_with(prefix));
    let later = workers.flat_map(|(_, worker)| worker.arrivals());
    later.filter(|at| *at > since).count()
}

/// Sends requests until `done` returns true or `timeout` has passed; returns the number of failed
/// requests.
async fn send_until(cloud: &Cloud, timeout: Duration, done: impl Fn(&Cloud) -> bool) -> usize {
    let (start, mut number, mut failed) = (Instant::now(), 0, 0);
    while start.elapsed() < timeout && !done(cloud) {
        let sends = (0..6).map(|one| {
            let id = format!("r{number}-{one}");
            let entry = &cloud.boxes[one % cloud.boxes.len()];
            async move { entry.send("/safe/x", &id, "").await.status.is_success() }
        });
        for send in sends {
            failed += usize::from(!send.await);
        }
        number += 1;
        sleep(Duration::from_millis(15)).await;
    }
    failed
}

/// Sends requests until the roll-out is rolled back, and for 1 s more so that all boxes learn of
/// it.
async fn rolled_back(cloud: &Cloud) {
    let timeout = Duration::from_secs(30);
    send_until(cloud, timeout, |c| state(c) == "rolled_back").await;
    assert_eq!(state(cloud), "rolled_back");
    send_until(cloud, Duration::from_secs(1), |_| false).await;
}

#[tokio::test]
async fn good_releases_take_over_in_time() {
    let mut cloud = cloud().await;
    send_until(&cloud, Duration::from_secs(2), |_| false).await;
    let ordered = Instant::now();
    order(&mut cloud, 8.0, None).await;
    let failed = send_until(&cloud, Duration::from_secs(20), |c| state(c) == "completed").await;
    assert_eq!(state(&cloud), "completed");
    assert!(
        ordered.elapsed() < Duration::from_secs(8),
        "roll-out ended after its deadline"
    );
    let status = cloud
        .registry
        .content(STATUS)
        .expect("the status is written");
    assert_eq!(status["targetVersion"], "v2");
    // Operators stop the old servers right away, so no request may still be on its way to them.
    let stopped = Instant::now();
    let failed_after = send_until(&cloud, Duration::from_secs(2), |_| false).await;
    assert_eq!(arrivals(&cloud, "old", stopped), 0);
    assert!(arrivals(&cloud, "new", stopped) > 0);
    assert_eq!(
        failed + failed_after,
        0,
        "requests failed during the roll-out"
    );
}

#[tokio::test]
async fn bad_releases_are_rolled_back() {
    let mut cloud = cloud().await;
    send_until(&cloud, Duration::from_secs(2), |_| false).await;
    order(&mut cloud, 60.0, Some("error")).await;
    let start = Instant::now();
    let failed = send_until(&cloud, Duration::from_secs(30), |c| {
        state(c) == "rolled_back"
    })
    .await;
    assert_eq!(state(&cloud), "rolled_back");
    let (new, old) = (
        arrivals(&cloud, "new", start),
        arrivals(&cloud, "old", start),
    );
    assert!(new <= old / 9 + 50, "{new} requests beside {old}");
    let stopped = Instant::now();
    let failed_after = send_until(&cloud, Duration::from_secs(2), |_| false).await;
    assert_eq!(arrivals(&cloud, "new", stopped), 0);
    assert_eq!(
        failed + failed_after,
        0,
        "requests that failed there were not retried elsewhere"
    );
    eventually("a box logs the judgement", || async {
        let logs = cloud.boxes.iter().map(|b| b.log.text());
        logs.into_iter()
            .any(|log| log.contains("judged=rolled-back"))
    })
    .await;
}

#[tokio::test]
async fn a_store_that_was_away_is_told_after_its_return() {
    let mut cloud = cloud().await;
    send_until(&cloud, Duration::from_secs(2), |_| false).await;
    order(&mut cloud, 60.0, Some("error")).await;
    eventually("the roll-out is active", || async {
        state(&cloud) == "active"
    })
    .await;
    cloud.registry.set_fault(Fault::Busy);
    send_until(&cloud, Duration::from_secs(6), |_| false).await;
    assert_eq!(
        state(&cloud),
        "active",
        "the status was written although the store refuses writes"
    );
    let held = Instant::now();
    send_until(&cloud, Duration::from_secs(2), |_| false).await;
    assert_eq!(
        arrivals(&cloud, "new", held),
        0,
        "requests reached the release while the store was unavailable"
    );
    cloud.registry.set_fault(Fault::None);
    eventually("the rollback is written", || async {
        state(&cloud) == "rolled_back"
    })
    .await;
}

// The store is restored from a copy that lacks the rollback, and the operator writes the order
// again under another revision.
#[tokio::test]
async fn an_end_that_the_store_lost_is_written_again() {
    let mut cloud = cloud().await;
    send_until(&cloud, Duration::from_secs(2), |_| false).await;
    order(&mut cloud, 60.0, Some("error")).await;
    eventually("the roll-out is active", || async {
        state(&cloud) == "active"
    })
    .await;
    let order = cloud.registry.content(ORDER).expect("the order is stored");
    let copy = cloud.registry.copy();
    rolled_back(&cloud).await;
    let since = Instant::now();
    cloud.restore_store(&copy).await;
    assert_eq!(
        state(&cloud),
        "active",
        "the restored store still has the rollback"
    );
    cloud.registry.put(ORDER, &order);
    rolled_back(&cloud).await;
    let failed = send_until(&cloud, Duration::from_secs(2), |_| false).await;
    assert_eq!((failed, arrivals(&cloud, "new", since)), (0, 0));
}

// The store is restored from a copy that lacks the order.
#[tokio::test]
async fn an_order_that_the_store_lost_holds_until_it_is_written_again() {
    let mut cloud = cloud().await;
    send_until(&cloud, Duration::from_secs(2), |_| false).await;
    let copy = cloud.registry.copy();
    order(&mut cloud, 60.0, Some("error")).await;
    rolled_back(&cloud).await;
    let order = cloud.registry.content(ORDER).expect("the order is stored");
    let since = Instant::now();
    cloud.restore_store(&copy).await;
    for (name, region) in [("new-1", "atl"), ("new-2", "atl"), ("new-3", "mcn")] {
        let address = cloud.workers[name].address;
        cloud.register_release(name, address, region, "ready", "v2");
    }
    send_until(&cloud, Duration::from_secs(3), |_| false).await;
    cloud.registry.put(ORDER, &order);
    rolled_back(&cloud).await;
    let failed = send_until(&cloud, Duration::from_secs(4), |_| false).await;
    assert_eq!((failed, arrivals(&cloud, "new", since)), (0, 0));
}

#[tokio::test]
async fn odd_orders_and_statuses_harm_nobody() {
    let cloud = cloud().await;
    let malformed: [&[u8]; 9] = [
        b"",
        b"null",
        b"{}",
        b"\xff\xfe",
        br#"{"targetVersion":7,"durationS":12}"#,
        br#"{"targetVersion":"","durationS":12}"#,
        br#"{"targetVersion":"v2","durationS":"soon"}"#,
        br#"{"targetVersion":"v2","durationS":-3}"#,
        br#"{"targetVersion":"v2","durationS":1e300}"#,
    ];
    for bytes in malformed {
        cloud.registry.put_bytes(ORDER, bytes);
        cloud.registry.put_bytes("op/rollout/%", bytes);
        sleep(Duration::from_millis(200)).await;
        cloud.registry.put_bytes(STATUS, bytes);
        let failed = send_until(&cloud, Duration::from_millis(300), |_| false).await;
        assert_eq!(failed, 0, "{}", String::from_utf8_lossy(bytes));
    }
    for process in &cloud.boxes {
        assert!(process.is_ready().await);
    }
}
