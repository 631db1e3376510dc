//! A planned stop of a box while clients hold on to it.

mod harness;

use harness::clients::{CROWD, Lone, TURN, head, trickle};
use nix::sys::signal::Signal;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time that the users' platform leaves a process after SIGTERM.
const GRACE: Duration = Duration::from_secs(8);
/// Time in which the crowd has begun.
const BEGUN: Duration = Duration::from_secs(1);

// Requests that never become complete kept a stopping box until it was killed.
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_requests_do_not_delay_a_stop() {
    let _turn = TURN.lock().await;
    let start = head("/slots/all", "content-length: 65536\r\n");
    let unfinished = format!("{}\r\nx-more: ", start.trim_end());
    for (what, start) in [("heads", unfinished), ("bodies", start)] {
        let mut lone = Lone::start("").await;
        let crowd = trickle(lone.process().public, CROWD, start.as_bytes(), b"a");
        sleep(BEGUN).await;
        let process = lone.world.boxes.get_mut("perth-1").expect("the box");
        process.signal(Signal::SIGTERM);
        let ended = timeout(GRACE, process.wait()).await;
        assert!(ended == Ok(true), "{what}: the box runs on");
        drop(crowd);
    }
}
