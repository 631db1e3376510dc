//! Strangers at the listener for messages between boxes.

mod harness;

use harness::clients::{
    CONNECTION_KIB, CROWD, Lone, PUSH_GREETING, TURN, Usage, flood_all, flood_by, message,
};

/// What a message announces, 1 GiB.
const LENGTH: u64 = 1 << 30;
/// Length of a complete message, below the longest that a box accepts.
const LONG_MESSAGE_BYTES: usize = 256 << 10;
/// Senders of complete messages.
const SENDERS: usize = 512;
/// Memory for the long messages of all connections, and for a connection beside them, in KiB.
const MESSAGES_KIB: u64 = 8 << 10;
const SENDER_KIB: u64 = 40;

// A box kept messages of any size from anybody in memory until they were complete.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_announce_endless_messages() {
    let _turn = TURN.lock().await;
    let mut lone = Lone::start("").await;
    let (pid, gossip) = (lone.process().pid(), lone.process().gossip);
    let greeted = [PUSH_GREETING, &LENGTH.to_be_bytes()].concat();
    for (what, start) in [("greeted", greeted), ("no greeting", vec![])] {
        let usage = Usage::of(pid);
        flood_all(gossip, &start, &[b'a'; 64 << 10]).await;
        usage.assert_memory(CROWD as u64 * CONNECTION_KIB, what);
        usage.assert_descriptors(what).await;
        lone.assert_serves(what).await;
    }
    lone.world.start_box("bunbury-1", "bunbury").await;
    lone.world.hears("perth", 1).await;
}

// Complete messages that waited for the check of their signature were outside the budget.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_send_long_messages() {
    let _turn = TURN.lock().await;
    let mut lone = Lone::start("").await;
    let (pid, gossip) = (lone.process().pid(), lone.process().gossip);
    let usage = Usage::of(pid);
    flood_by(SENDERS, gossip, PUSH_GREETING, &message(LONG_MESSAGE_BYTES)).await;
    usage.assert_memory(MESSAGES_KIB + SENDERS as u64 * SENDER_KIB, "long messages");
    usage.assert_descriptors("long messages").await;
    lone.assert_serves("long messages").await;
    lone.world.start_box("bunbury-1", "bunbury").await;
    lone.world.hears("perth", 1).await;
}
