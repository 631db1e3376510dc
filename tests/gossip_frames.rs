//! Strangers at the listener for messages between boxes.

mod harness;

use harness::clients::{CONNECTION_KIB, CROWD, Lone, TURN, Usage, flood_all};

/// The greeting of a PUSH socket, then a message that announces 1 GiB.
const GREETING: &[u8] = &[0, b'S', b'P', 0, 0, 0x50, 0, 0];
const LENGTH: u64 = 1 << 30;

// A box kept messages of any size from anybody in memory until they were complete.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_announce_endless_messages() {
    let _turn = TURN.lock().await;
    let mut lone = Lone::start("").await;
    let (pid, gossip) = (lone.process().pid(), lone.process().gossip);
    let greeted = [GREETING, &LENGTH.to_be_bytes()].concat();
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
