//! Peers that close a connection right after the handshake must not crash a box.

mod harness;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use harness::{cloud::Cloud, eventually};
use nix::sys::signal::Signal;

/// Protocol header that a pull socket sends first.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];
const PEERS: usize = 12;
/// Number of closed connections by which a faulty box would have crashed.
const MIN_CLOSED_CONNECTIONS: usize = 1000;

/// Starts a peer that completes the handshake, closes the connection at once and counts these
/// connections.
fn closing_peer(count: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener binds");
    let address = listener.local_addr().expect("valid address");
    let count = count.clone();
    let handshake = |mut stream: TcpStream| {
        stream.write_all(&GREETING)?;
        stream.read_exact(&mut [0; GREETING.len()])
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            count.fetch_add(usize::from(handshake(stream).is_ok()), Ordering::Relaxed);
        }
    });
    address
}

/// Guards against a use after free: a message to a connection that closed during its setup was sent
/// through freed memory.
#[tokio::test]
async fn closing_peers_do_not_crash_a_box() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let count = Arc::default();
    for _ in 0..PEERS {
        cloud.seed(0, closing_peer(&count));
    }
    cloud.boxes[0].signal(Signal::SIGHUP);
    let is_ready = || cloud.boxes[0].is_ready();
    eventually(
        "enough connections were closed, or the box exited",
        || async { count.load(Ordering::Relaxed) > MIN_CLOSED_CONNECTIONS || !is_ready().await },
    )
    .await;
    assert!(is_ready().await, "the box exited");
    let log = cloud.boxes[0].log.text();
    assert!(!log.contains("panicked"), "{log}");
}
