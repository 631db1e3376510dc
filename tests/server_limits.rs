//! Rate limits that backend servers announce in their answers, for all boxes together.
//!
//! Guards against boxes that ignore such a limit: a server that announced 1 request/s got 138
//! requests in 4 s from the three boxes of its region, and one that announced 5.5 got 136. Each box
//! chose servers by their free slots alone: after `backend=w-1 limit=1/s` the same box went on with
//! `sent ... to=w-1 wait=0ms free=8 limit=1/s`. The boxes of a region must share the limit.

mod harness;

use std::time::{Duration, Instant};

use harness::{cloud::Cloud, eventually};
use petreldrum_standin::worker::Worker;
use tokio::time::sleep;

/// Number of boxes, all in one region.
const BOXES: usize = 3;
/// Time after the first announcement of a limit by which all boxes must keep to it.
const EFFECT_TIME: Duration = Duration::from_secs(5);
/// Window over which a server's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the requests that a server with this limit may get in a window: 1.5 times the limit plus
/// 5.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

async fn cloud(workers: &[&str]) -> Cloud {
    let mut cloud = Cloud::serving(workers).await;
    for _ in 1..BOXES {
        cloud.add_box("atl").await;
    }
    cloud.settled().await;
    // Boxes that have just started use no share of a limit yet.
    sleep(Duration::from_millis(2500)).await;
    cloud
}

/// Returns the highest number of requests in any window after `since`.
fn max_in_window(worker: &Worker, since: Instant) -> usize {
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
    let announced = Instant::now();
    let answers = cloud.press_all("a", EFFECT_TIME + WINDOW + WINDOW).await;
    for (name, limit) in limits {
        let worker = &cloud.workers[name];
        let max_in_window = max_in_window(worker, announced + EFFECT_TIME);
        assert!(
            max_in_window <= allowed(limit),
            "{name} takes {limit} a second and got {max_in_window} in 4 s"
        );
        // At least half of the limit must be used.
        let used = worker.arrivals();
        let used = used
            .iter()
            .filter(|at| **at >= announced + EFFECT_TIME)
            .count();
        let min_used = limit * (WINDOW + WINDOW).as_secs_f64() * 0.5;
        assert!(used as f64 >= min_used, "{name} got {used} in 8 s");
    }
    let served = answers.iter().filter(|a| a.status.is_success()).count();
    assert_eq!(
        served,
        answers.len(),
        "the other servers serve the remaining requests"
    );
}

/// With a limit on every server, requests beyond the limits are refused at once with 503 and
/// `retry-after`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_does_not_fit_is_refused_at_once() {
    let cloud = cloud(&["w-1", "w-2"]).await;
    for worker in cloud.workers.values() {
        worker.name_limit(Some("3"));
    }
    let announced = Instant::now();
    let answers = cloud.press_all("b", EFFECT_TIME + WINDOW).await;
    let (served, refused): (Vec<_>, Vec<_>) = answers
        .iter()
        .partition(|answer| answer.status.is_success());
    assert!(!served.is_empty() && refused.len() > 100);
    for answer in refused {
        assert_eq!(answer.status.as_u16(), 503);
        assert!(answer.headers.contains_key("retry-after"));
    }
    for (name, worker) in &cloud.workers {
        let max_in_window = max_in_window(worker, announced + EFFECT_TIME);
        assert!(
            max_in_window <= allowed(3.0),
            "{name} got {max_in_window} in 4 s"
        );
        let used = worker.arrivals();
        let used = used
            .iter()
            .filter(|at| **at >= announced + EFFECT_TIME)
            .count();
        assert!(used >= 6, "{name} got {used} in 4 s");
    }
    // Once the servers announce no limit, all requests are served again.
    for worker in cloud.workers.values() {
        worker.name_limit(None);
    }
    eventually("the limits have ended", async || {
        let answers = cloud.press_all("c", Duration::from_millis(500)).await;
        answers.iter().all(|answer| answer.status.is_success())
    })
    .await;
}

/// Refusals and errors may be produced before the component that announces the limit sees the
/// request. When such an answer without the header ended a limit, boxes sent at full speed until
/// the next answer: `backend=w-1 limit=none` after each such error, and `limit=1/s` after the next
/// request.
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
