//! An answer that begins while the box decides to move the request is delivered and not cut.

mod harness;

use std::time::Duration;

use harness::cloud::Cloud;
use nix::sys::signal::Signal::SIGTERM;
use petreldrum_standin::worker::EVENTS;
use tokio::time::timeout;

/// Answers begin around the time at which the box stops waiting for them, some in the very tick in
/// which it checks for silent attempts.
#[tokio::test]
async fn answers_racing_with_a_move_are_whole() {
    let mut cloud = Cloud::start().await;
    cloud.configure(1);
    for number in 0..25 {
        cloud.add_worker(&format!("i-{number}"), "atl").await;
    }
    cloud.add_box("atl").await;
    cloud.settled().await;
    for round in 0..4 {
        let sends = (0..120).map(|number| {
            let id = format!("crossed-{round}-{number}");
            let mode = format!("stream-after-{}", 500 + number);
            let process = &cloud.boxes[0];
            async move {
                let answer = process.send("/stream/x", &id, &mode).await;
                (id, answer)
            }
        });
        for (id, answer) in futures_util::future::join_all(sends).await {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(answer.whole, "{id} was cut after {text:?}");
            if answer.status.is_success() {
                let events = text.matches("id: ").count();
                assert_eq!(events, EVENTS as usize, "{id}: each event once: {text:?}");
            }
        }
    }
    // A request that was lost track of would keep the box from exiting.
    cloud.boxes[0].signal(SIGTERM);
    let exited = timeout(Duration::from_secs(2), cloud.boxes[0].wait()).await;
    assert!(exited.expect("no request was lost"));
}
