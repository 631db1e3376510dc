//! Request heads that never end.

mod harness;

use harness::clients::{Lone, TURN, Usage, head, trickle, unfinished_head};
use std::time::Duration;
use tokio::time::sleep;

/// The longest heads that the users' platform is configured for.
const LIMITS: &str = "max_head = 64KiB\n";
const HEAD_BYTES: usize = 60 << 10;
const CROWD: usize = 512;
/// Memory for all unfinished heads together, and for a connection beside them, in KiB: what idle
/// connections may cost.
const HEADS_KIB: u64 = 16 << 10;
const CONNECTION_KIB: u64 = 40;
/// Time in which the heads have arrived.
const PAUSE: Duration = Duration::from_secs(3);

async fn assert_bounded(start: &str) {
    let lone = Lone::start(LIMITS).await;
    let usage = Usage::of(lone.process().pid());
    let crowd = trickle(lone.process().public, CROWD, start.as_bytes(), b"a");
    sleep(PAUSE).await;
    usage.assert_memory(HEADS_KIB + CROWD as u64 * CONNECTION_KIB, "heads");
    lone.assert_serves("beside the crowd").await;
    drop(crowd);
    usage.assert_descriptors("heads").await;
}

// Each unfinished head cost up to twice the longest head, over all connections.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end() {
    let _turn = TURN.lock().await;
    assert_bounded(&unfinished_head(HEAD_BYTES)).await;
}

// A complete head was held as well, for as long as its body took to arrive.
#[tokio::test(flavor = "multi_thread")]
async fn heads_that_wait_for_their_body() {
    let _turn = TURN.lock().await;
    let long = "a".repeat(HEAD_BYTES);
    let lines = format!("content-length: 60000\r\nx-long: {long}\r\n");
    assert_bounded(&head("/slots/all", &lines)).await;
}
