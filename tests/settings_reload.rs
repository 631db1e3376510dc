//! Reloading of settings while a box runs, on SIGHUP.

mod harness;

use harness::{
    cloud::{Cloud, NEWS},
    eventually,
};
use nix::sys::signal::Signal;
use tokio::time::sleep;

#[tokio::test]
async fn hangup_cuts_nothing() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let stream = cloud.boxes[0].begin("/stream/x", "one", "stream").await;
    for _ in 0..3 {
        cloud.boxes[0].signal(Signal::SIGHUP);
        sleep(NEWS / 5).await;
    }
    assert!(stream.finish().await.whole);
    assert!(cloud.boxes[0].is_ready().await);
}

#[tokio::test]
async fn new_seeds_are_greeted() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    cloud.forget_seeds();
    cloud.add_box("atl").await;
    cloud.settled().await;
    sleep(NEWS).await;
    let (one, two) = (&cloud.boxes[0], &cloud.boxes[1]);
    assert_eq!(
        one.resolve("atl").await.len(),
        1,
        "the boxes know each other already"
    );
    cloud.seed(0, two.gossip);
    one.signal(Signal::SIGHUP);
    eventually("each box lists both", || async {
        one.resolve("atl").await.len() == 2 && two.resolve("atl").await.len() == 2
    })
    .await;
}

#[tokio::test]
async fn bad_settings_change_nothing() {
    let cloud = Cloud::serving(&["i-1"]).await;
    cloud.spoil_settings(0);
    cloud.boxes[0].signal(Signal::SIGHUP);
    sleep(NEWS).await;
    assert!(cloud.boxes[0].is_ready().await);
    let answer = cloud.boxes[0].send("/safe/x", "a", "").await;
    assert_eq!(answer.status.as_u16(), 200);
}
