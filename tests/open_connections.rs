//! Clients that open more connections than a box may hold.

mod harness;

use std::net::SocketAddr;

use harness::clients::{Lone, TURN, Usage, head, trickle};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Descriptors of the box, fewer than the clients of the crowd.
const MOST_DESCRIPTORS: u64 = 300;
const CROWD: usize = 400;
/// Time in which the crowd has connected.
const OPEN: Duration = Duration::from_secs(2);
/// Time limit of an ordinary caller; without one the test would wait for ever.
const PATIENCE: Duration = Duration::from_secs(20);

async fn assert_serves_beside(lone: &Lone, what: &str, address: SocketAddr, start: &[u8]) {
    let usage = Usage::of(lone.process().pid());
    let byte: &[u8] = if start.is_empty() { b"" } else { b"a" };
    let crowd = trickle(address, CROWD, start, byte);
    sleep(OPEN).await;
    let served = timeout(PATIENCE, lone.assert_serves(what)).await;
    assert!(served.is_ok(), "{what}: no answer beside the crowd");
    let evicted = lone.process().metric("evicted_connections_total").await;
    assert!(evicted > 0.0, "{what}: no connection was counted");
    drop(crowd);
    usage.assert_descriptors(what).await;
    lone.assert_serves(what).await;
}

// Connections without a request took all descriptors, and nobody was answered while they stayed.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_request() {
    let _turn = TURN.lock().await;
    let heads = format!("{}\r\nx-more: ", head("/slots/all", "").trim_end());
    for (what, start) in [("idle", Vec::new()), ("slow heads", heads.into_bytes())] {
        let lone = Lone::start_limited(MOST_DESCRIPTORS).await;
        assert_serves_beside(&lone, what, lone.process().public, &start).await;
    }
}

// The listeners for boxes and operators could be used up in the same way.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_at_inner_listeners() {
    let _turn = TURN.lock().await;
    for what in ["peer", "gossip", "admin"] {
        let lone = Lone::start_limited(MOST_DESCRIPTORS).await;
        let process = lone.process();
        let address = match what {
            "peer" => process.peer,
            "gossip" => process.gossip,
            _ => process.admin,
        };
        assert_serves_beside(&lone, what, address, b"").await;
    }
}
