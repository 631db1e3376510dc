//! Requests that a box relays to one that is stopping.

mod harness;

use std::time::Duration;

use futures_util::future::join;
use harness::{cloud::Cloud, eventually};
use nix::sys::signal::Signal;
use tokio::time::sleep;

/// Time in which a relayed request reaches its server, which rejects it later.
const WAY: Duration = Duration::from_millis(150);

/// Guards against retries of requests that a server has rejected which the retry budget does not
/// count, since the box that had relayed them there was stopping.
#[tokio::test]
async fn rejections_behind_a_stopping_box_are_charged() {
    let cloud = Cloud::across(&["i-1"]).await;
    cloud.workers["i-1"].answer_always("slow-full");
    let stop = async {
        sleep(WAY).await;
        cloud.boxes[1].signal(Signal::SIGTERM);
    };
    let (answer, ()) = join(cloud.boxes[0].send("/safe/x", "one", ""), stop).await;
    assert_ne!(answer.status, 200);
    assert!(!cloud.workers["i-1"].seen("one").is_empty());
    let retries = || {
        let log = cloud.boxes[0].log.text();
        let lines = log.lines().filter(|line| line.contains("id=one "));
        let retries = lines.filter(|line| line.contains("repeat="));
        retries.map(str::to_owned).collect::<Vec<String>>()
    };
    eventually("the retry is logged", || async { !retries().is_empty() }).await;
    let retries = retries();
    let free = retries.iter().find(|line| line.contains("repeat=free"));
    assert_eq!(free, None, "a server got the request before");
}
