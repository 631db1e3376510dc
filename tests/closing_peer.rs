//! Peers that close a connection as soon as it stands do a box no harm.

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

/// What a puller says first.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];
const PEERS: usize = 12;
/// Connections after which a box that this harms has ended long ago.
const ENOUGH: usize = 1000;

/// A peer that greets and closes, as one that ends just then; it counts.
fn closing_peer(count: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
    let address = listener.local_addr().expect("an address");
    let count = count.clone();
    let greet = |mut stream: TcpStream| {
        stream.write_all(&GREETING)?;
        stream.read_exact(&mut [0; GREETING.len()])
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            count.fetch_add(usize::from(greet(stream).is_ok()), Ordering::Relaxed);
        }
    });
    address
}

/// A message to a connection that closed while it was set up was sent through memory that was free.
#[tokio::test]
async fn ends_nobody() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let count = Arc::default();
    for _ in 0..PEERS {
        cloud.seed(0, closing_peer(&count));
    }
    cloud.boxes[0].signal(Signal::SIGHUP);
    let is_up = || cloud.boxes[0].is_ready();
    eventually(
        "many connections were closed, or the box has ended",
        || async { count.load(Ordering::Relaxed) > ENOUGH || !is_up().await },
    )
    .await;
    assert!(is_up().await, "the box has ended");
    let log = cloud.boxes[0].log.text();
    assert!(!log.contains("panicked"), "{log}");
}
