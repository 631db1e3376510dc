//! Callers that send their bodies slowly.

mod harness;

use harness::clients::{Lone, TURN, head, trickle};
use std::time::Duration;
use tokio::time::sleep;

/// Sixteen bodies of the longest size are all of `body_memory`.
const LIMITS: &str = "max_body = 64KiB\nbody_memory = 1MiB\n";
const SLOW_CALLERS: usize = 16;
/// Time in which the slow callers have begun.
const BEGUN: Duration = Duration::from_secs(1);

/// Tries of an ordinary caller that heeds Retry-After.
const TRIES: usize = 5;

const ANNOUNCED: &str = "content-length: 65536\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

// Bodies that had hardly begun held memory for all of what they announced, and everybody else heard
// 503.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_have_hardly_begun() {
    let _turn = TURN.lock().await;
    for (lines, byte) in [(ANNOUNCED, "a"), (CHUNKED, "1\r\na\r\n")] {
        let lone = Lone::start(LIMITS).await;
        let start = head("/slots/all", lines);
        let public = lone.process().public;
        let crowd = trickle(public, SLOW_CALLERS, start.as_bytes(), byte.as_bytes());
        sleep(BEGUN).await;
        assert_eq!(lone.ordinary("beside").await.status, 200, "{lines}");
        drop(crowd);
        lone.assert_serves(lines).await;
    }
}

// The same callers can send nearly all of a body at once, and then hold its memory.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_lack_their_end() {
    let _turn = TURN.lock().await;
    let lone = Lone::start(LIMITS).await;
    let start = head("/slots/all", ANNOUNCED);
    let start = [start.as_bytes(), &[b'a'; 60 << 10]].concat();
    let public = lone.process().public;
    let crowd = trickle(public, 4 * SLOW_CALLERS, &start, b"a");
    sleep(BEGUN).await;
    let mut heard = Vec::new();
    while heard.len() < TRIES && !heard.contains(&200) {
        let answer = lone.ordinary("beside").await;
        let wait = answer.header("retry-after").parse().unwrap_or(0);
        heard.push(answer.status.as_u16());
        sleep(Duration::from_secs(wait)).await;
    }
    assert!(heard.contains(&200), "{heard:?}");
    drop(crowd);
    lone.assert_serves("after").await;
}
