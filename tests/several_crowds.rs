//! Crowds of several kinds at once.

mod harness;

use harness::{
    clients::{
        CONNECTION_KIB, CROWD, Lone, PUSH_GREETING, TURN, Usage, flood_all, head, trickle,
        unfinished_head,
    },
    unread::{ask_all, assert_whole, long_answers},
};
use std::time::Duration;
use tokio::{join, time::sleep};

const LIMITS: &str = "max_body = 64KiB\nbody_memory = 1MiB\nmax_head = 64KiB\n";
/// Memory for bodies, for the heads of all requests, and for long messages between boxes, in KiB.
const BUDGETS_KIB: u64 = (1 << 10) + (16 << 10) + (8 << 10);
/// Crowds of [`CROWD`] clients each.
const CROWDS: u64 = 6;
const HEAD_BYTES: usize = 60 << 10;
/// Time in which the slow clients have begun.
const BEGUN: Duration = Duration::from_secs(1);

const LONG_BODY: &str = "content-length: 1073741824\r\n";
/// What a message between boxes announces.
const MESSAGE_BYTES: u64 = 1 << 20;

// What each kind of client may take adds up to no more than the sum of the budgets.
#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_of_crowds_at_once() {
    let _turn = TURN.lock().await;
    let lone = Lone::before(long_answers(false).await, LIMITS).await;
    let process = lone.process();
    let usage = Usage::of(process.pid());

    let unfinished = unfinished_head(HEAD_BYTES);
    let body = head("/slots/all", "content-length: 65536\r\n");
    let heads = trickle(process.public, CROWD, unfinished.as_bytes(), b"a");
    let bodies = trickle(process.public, CROWD, body.as_bytes(), b"a");
    let asked = head("/slots/long", "content-length: 0\r\nconnection: close\r\n");
    let asked = std::iter::repeat_n(asked, CROWD);
    let mut unread = ask_all(process.public, asked).await;
    sleep(BEGUN).await;

    let message = [PUSH_GREETING, &MESSAGE_BYTES.to_be_bytes()].concat();
    let (refused, piece) = (head("/slots/all", LONG_BODY), [b'a'; 64 << 10]);
    join!(
        flood_all(process.public, refused.as_bytes(), &piece),
        flood_all(process.peer, refused.as_bytes(), &piece),
        flood_all(process.gossip, &message, &piece),
    );
    usage.assert_memory(BUDGETS_KIB + CROWDS * CROWD as u64 * CONNECTION_KIB, "all");
    lone.assert_serves("beside the slow crowds").await;
    assert_whole(&mut unread, "unread").await;
    drop((heads, bodies, unread));
    usage.assert_descriptors("all").await;
    lone.assert_serves("after").await;
}
