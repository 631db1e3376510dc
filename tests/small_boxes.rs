//! Crowds at a box with little memory.

mod harness;

use harness::clients::{
    Lone, PUSH_GREETING, TURN, Usage, flood_by, head, message, peak_memory, trickle,
    unfinished_head,
};
use std::time::Duration;
use tokio::time::sleep;

const MEMORY_KIB: u64 = 96 << 10;
const LIMITS: &str = "memory = 96MiB\nmax_body = 64KiB\nmax_head = 64KiB\n";
/// Clients with bodies that lack their end: more than half of the memory.
const BODIES: usize = 1024;
const BODY_BYTES: usize = 60 << 10;
const HEADS: usize = 512;
const SENDERS: usize = 512;
/// Time in which the bodies and heads have arrived.
const PAUSE: Duration = Duration::from_secs(1);

const MESSAGE_BYTES: usize = 256 << 10;

// The limits on what clients can take did not follow the memory of the box, and exceeded it together.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_stay_within_the_memory_of_the_box() {
    let _turn = TURN.lock().await;
    let lone = Lone::start(LIMITS).await;
    let process = lone.process();
    let usage = Usage::of(process.pid());

    let start = head("/slots/all", "content-length: 65536\r\n");
    let start = [start.as_bytes(), &[b'a'; BODY_BYTES]].concat();
    let bodies = trickle(process.public, BODIES, &start, b"a");
    let unfinished = unfinished_head(BODY_BYTES);
    let heads = trickle(process.public, HEADS, unfinished.as_bytes(), b"a");
    sleep(PAUSE).await;
    flood_by(
        SENDERS,
        process.gossip,
        PUSH_GREETING,
        &message(MESSAGE_BYTES),
    )
    .await;

    let peak = peak_memory(process.pid());
    assert!(peak <= MEMORY_KIB, "{peak} KiB, {MEMORY_KIB} allowed");
    drop((bodies, heads));
    usage.assert_descriptors("small box").await;
    lone.assert_serves("small box").await;
}
