//! Backend servers that say how many requests a second they take from all boxes together.
//!
//! A server that named a limit of 1 a second got 138 requests in 4 s from the three boxes of its region, and
//! one that named 5.5 got 136. Each box chose them by their slots, which were free, and no answer that named
//! a limit changed that: after `backend=w-1 limit=1/s` the same box goes on with `sent ... to=w-1 wait=0ms
//! free=8 limit=1/s`. Now the boxes of a region share what a server takes.

mod harness;

use std::time::{Duration, Instant};

use harness::{cloud::Cloud, eventually};
use petreldrum_standin::worker::Worker;
use tokio::time::sleep;

/// Boxes of one region.
const BOXES: usize = 3;
/// From when on all boxes must keep to a limit, after it was named first.
const FORCE: Duration = Duration::from_secs(5);
/// The span over which a server's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// What a server with this limit may get in a window: half as much again, and five more.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

async fn cloud(workers: &[&str]) -> Cloud {
    let mut cloud = Cloud::serving(workers).await;
    for _ in 1..BOXES {
        cloud.add_box("atl").await;
    }
    cloud.settled().await;
    // Boxes that just started use no share of a limit.
    sleep(Duration::from_millis(2500)).await;
    cloud
}

/// The most requests that came in one window from `since` on.
fn worst(worker: &Worker, since: Instant) -> usize {
    let mut arrivals = worker.arrivals();
    arrivals.retain(|at| *at >= since);
    let ends = arrivals.iter().enumerate().map(|(last, end)| {
        let within = arrivals[..=last].iter();
        within
            .filter(|at| end.duration_since(**at) < WINDOW)
            .count()
    });
    ends.max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_boxes_together_keep_to_it() {
    let cloud = cloud(&["w-1", "w-2", "w-3", "w-4"]).await;
    let limits = [("w-1", 1.0), ("w-2", 3.9)];
    for (name, limit) in limits {
        cloud.workers[name].name_limit(Some(&limit.to_string()));
    }
    let named = Instant::now();
    let answers = cloud.press_all("a", FORCE + WINDOW + WINDOW).await;
    for (name, limit) in limits {
        let worker = &cloud.workers[name];
        let worst = worst(worker, named + FORCE);
        assert!(
            worst <= allowed(limit),
            "{name} takes {limit} a second and got {worst} in 4 s"
        );
        // What it takes is used.
        let used = worker.arrivals();
        let used = used.iter().filter(|at| **at >= named + FORCE).count();
        let least = limit * (WINDOW + WINDOW).as_secs_f64() * 0.5;
        assert!(used as f64 >= least, "{name} got {used} in 8 s");
    }
    let served = answers.iter().filter(|a| a.status.is_success()).count();
    assert_eq!(served, answers.len(), "the other servers take the rest");
}

/// Every server that may take them is limited: callers get what the limits allow, and the rest hears at once
/// that it did not run, and when to come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_does_not_fit_is_refused_at_once() {
    let cloud = cloud(&["w-1", "w-2"]).await;
    for worker in cloud.workers.values() {
        worker.name_limit(Some("3"));
    }
    let named = Instant::now();
    let answers = cloud.press_all("b", FORCE + WINDOW).await;
    let (served, refused): (Vec<_>, Vec<_>) = answers
        .iter()
        .partition(|answer| answer.status.is_success());
    assert!(!served.is_empty() && refused.len() > 100);
    for answer in refused {
        assert_eq!(answer.status.as_u16(), 503);
        assert!(answer.headers.contains_key("retry-after"));
    }
    for (name, worker) in &cloud.workers {
        let worst = worst(worker, named + FORCE);
        assert!(worst <= allowed(3.0), "{name} got {worst} in 4 s");
        let used = worker.arrivals();
        let used = used.iter().filter(|at| **at >= named + FORCE).count();
        assert!(used >= 6, "{name} got {used} in 4 s");
    }
    // Once they name nothing, all are served again.
    for worker in cloud.workers.values() {
        worker.name_limit(None);
    }
    eventually("the end is heard", async || {
        let answers = cloud.press_all("c", Duration::from_millis(500)).await;
        answers.iter().all(|answer| answer.status.is_success())
    })
    .await;
}

/// Refusals and errors may be made before whoever names the limit has seen the request. Where one without the
/// header ended a limit, the boxes went on at full speed until the next answer: `backend=w-1 limit=none` after
/// each such error, and `limit=1/s` after the next request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_error_that_names_nothing_ends_no_limit() {
    let cloud = Cloud::serving(&["w-1"]).await;
    cloud.workers["w-1"].name_limit(Some("4"));
    sleep(Duration::from_millis(2500)).await;
    let entry = &cloud.boxes[0];
    let answer = entry.send("/safe/x", "first", "").await;
    assert!(answer.status.is_success());
    for number in 0..4 {
        sleep(Duration::from_millis(400)).await;
        let mode = ["bare-error", "full"][number % 2];
        let answer = entry.send("/once/x", &format!("e-{number}"), mode).await;
        assert!(!answer.status.is_success());
    }
    let log = entry.log.text();
    assert!(log.contains("peers: backend=w-1 limit=4/s"), "{log}");
    assert!(!log.contains("limit=none told-by"), "{log}");
}
