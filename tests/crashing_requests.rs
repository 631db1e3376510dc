//! Requests that crash each backend server that runs them and are sent again under other ids.
//!
//! Guards against one request crashing 20 backend servers, 11 of them long after the third. Callers
//! sent the same content again under new ids to any box, and the boxes tracked requests by id
//! alone, so each one counted as the first; a box also moved a broken stream to the next server by
//! itself. In the log 62 attempts of three boxes at one server broke within 5 ms, 53 ms after that
//! server's batch had begun, and no line showed that one of them had been at each server that
//! crashed.

mod harness;

use std::time::Duration;

use harness::{cloud::Cloud, eventually};
use nix::sys::signal::Signal;
use petreldrum_standin::http::Answer;
use tokio::time::sleep;

/// Backend servers that a content may crash before it is quarantined.
const MAX_CRASHED_SERVERS: usize = 3;

/// Replaces crashed backend servers, as a platform does; returns how many there were.
async fn replace_crashed(cloud: &mut Cloud, last_worker: &mut usize) -> usize {
    let crashed = cloud.workers.iter().filter(|(_, w)| w.has_ended());
    let crashed: Vec<String> = crashed.map(|(name, _)| name.clone()).collect();
    for name in &crashed {
        *last_worker += 1;
        cloud.workers.remove(name);
        cloud.registry.remove(&format!("servers/{name}"));
        cloud.add_worker(&format!("w-{last_worker}"), "atl").await;
    }
    crashed.len()
}

/// Sends the same content under a new id, to one box after the other; `mode` selects how the server
/// crashes.
async fn repeat(cloud: &Cloud, number: usize, mode: &str) -> Answer {
    let entry = &cloud.boxes[number % cloud.boxes.len()];
    let id = format!("deadly-{number}");
    let begun = entry.begin_with("/stream/x", &id, mode, "deadly".to_owned());
    begun.await.finish().await
}

/// Repeats the content and replaces crashed servers; returns how many crashed, and the last answer.
async fn repeat_often(
    cloud: &mut Cloud,
    last_worker: &mut usize,
    times: usize,
    mode: &str,
) -> (usize, Option<Answer>) {
    let mut crashed = 0;
    let mut last = None;
    for number in 0..times {
        last = Some(repeat(cloud, number, mode).await);
        sleep(Duration::from_millis(200)).await;
        crashed += replace_crashed(cloud, last_worker).await;
    }
    (crashed, last)
}

#[tokio::test]
async fn crashing_content_is_quarantined_at_every_box() {
    let mut cloud = Cloud::serving(&["w-1", "w-2", "w-3", "w-4"]).await;
    cloud.add_box("atl").await;
    cloud.settled().await;
    let (crashed, last) = repeat_often(&mut cloud, &mut 4, 10, "crash").await;
    assert!(
        crashed <= MAX_CRASHED_SERVERS,
        "{crashed} servers crashed under one content"
    );
    let last = last.expect("box answers");
    assert_eq!(last.status.as_u16(), 503, "it did not run this time");
    let wait = last.headers.get("retry-after").expect("retry-after is set");
    let wait: f64 = wait
        .to_str()
        .expect("header is ASCII")
        .parse()
        .expect("header is a number of seconds");
    assert!(wait >= 60.0, "retry-after is {wait} s");
    // Other contents with the same path are served.
    let entry = &cloud.boxes[0];
    eventually("another content is served", async || {
        let other = entry.begin_with("/stream/x", "other", "stream", "harmless".to_owned());
        let answer = other.await.finish().await;
        answer.status.is_success() && answer.whole
    })
    .await;
}

/// Kills the only box and starts another one in its place.
async fn replace_box(cloud: &mut Cloud) {
    cloud.boxes[0].signal(Signal::SIGKILL);
    cloud.boxes[0].wait().await;
    cloud.boxes.clear();
    cloud.add_box("atl").await;
    cloud.settled().await;
}

#[tokio::test]
async fn quarantine_survives_the_end_of_all_boxes() {
    let mut cloud = Cloud::serving(&["w-1", "w-2", "w-3", "w-4"]).await;
    let mut last_worker = 4;
    let (crashed, _) = repeat_often(&mut cloud, &mut last_worker, 4, "crash").await;
    assert_eq!(crashed, MAX_CRASHED_SERVERS);
    eventually("the quarantine is written to the store", async || {
        cloud.registry.calls("write") > 0
    })
    .await;
    replace_box(&mut cloud).await;
    let answer = repeat(&cloud, 9, "crash").await;
    assert_eq!(answer.status.as_u16(), 503);
    assert_eq!(replace_crashed(&mut cloud, &mut last_worker).await, 0);
}

// A store that is restored from a copy lacks what the boxes wrote since.
#[tokio::test]
async fn quarantine_survives_a_restored_store() {
    let mut cloud = Cloud::serving(&["w-1", "w-2", "w-3", "w-4"]).await;
    let copy = cloud.registry.copy();
    let mut last_worker = 4;
    let (crashed, _) = repeat_often(&mut cloud, &mut last_worker, 4, "crash").await;
    assert_eq!(crashed, MAX_CRASHED_SERVERS);
    eventually("the quarantine is written to the store", async || {
        cloud.registry.calls("write") > 0
    })
    .await;
    let written = cloud.registry.calls("write");
    cloud.restore_store(&copy).await;
    eventually("the quarantine is written again", async || {
        cloud.registry.calls("write") > written
    })
    .await;
    replace_box(&mut cloud).await;
    let answer = repeat(&cloud, 9, "crash").await;
    assert_eq!(answer.status.as_u16(), 503);
}

/// A crashing process closes its connections and its port one after the other. Under load a box
/// probed the port 50 us after its connection broke and found it still open: the crash did not
/// count, and a fourth server crashed (`broken at=w-2`, then `knock: backend=w-2 closed=false`, in
/// 3 of 10 runs beside ten busy processes).
#[tokio::test]
async fn crash_counts_when_the_port_closes_last() {
    let mut cloud = Cloud::serving(&["w-1", "w-2", "w-3", "w-4"]).await;
    let (crashed, _) = repeat_often(&mut cloud, &mut 4, 6, "crash-slowly").await;
    assert_eq!(crashed, MAX_CRASHED_SERVERS);
}
