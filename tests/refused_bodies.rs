//! Bodies over the limit, announced or just sent, at each listener.

mod harness;

use std::net::SocketAddr;

use harness::{
    clients::{CONNECTION_KIB, CROWD, Client, Lone, TURN, Usage, flood_all, head},
    cloud::Cloud,
};

const LIMITS: &str = "max_body = 64KiB\nbody_memory = 1MiB\n";
/// Memory that a box may take for the crowd, in KiB: all of `body_memory`, and the connections.
const MOST_KIB: u64 = (1 << 10) + CROWD as u64 * CONNECTION_KIB;

const ANNOUNCED: &str = "content-length: 1073741824\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Returns a chunk of 64 KiB.
fn chunk() -> Vec<u8> {
    [b"10000\r\n".as_slice(), &[b'a'; 64 << 10], b"\r\n"].concat()
}

/// What a client sends: the start, and what it repeats.
type Sent = (&'static str, String, Vec<u8>);

fn plain() -> Vec<u8> {
    vec![b'a'; 64 << 10]
}

async fn assert_bounded(lone: &Lone, address: SocketAddr, (what, start, piece): Sent) {
    let usage = Usage::of(lone.process().pid());
    flood_all(address, start.as_bytes(), &piece).await;
    usage.assert_memory(MOST_KIB, what);
    usage.assert_descriptors(what).await;
    lone.assert_serves(what).await;
}

// A box collected the rest of each refused body, and ran out of memory with some 15 such callers.
#[tokio::test(flavor = "multi_thread")]
async fn callers_with_bodies_over_the_limit() {
    let _turn = TURN.lock().await;
    let book = |lines: &str| head("/slots/all", lines);
    let keyless = format!("POST /slots/all HTTP/1.1\r\nhost: x\r\n{ANNOUNCED}\r\n");
    let health = format!("GET /petreldrum/health HTTP/1.1\r\nhost: x\r\n{ANNOUNCED}\r\n");
    let sent: [Sent; 6] = [
        ("announced", book(ANNOUNCED), plain()),
        ("chunks", book(CHUNKED), chunk()),
        ("one chunk", book(CHUNKED) + "fffffffffff\r\n", plain()),
        (
            "expected",
            book(&format!("expect: 100-continue\r\n{ANNOUNCED}")),
            plain(),
        ),
        ("no key", keyless, plain()),
        ("health", health, plain()),
    ];
    for case in sent {
        let lone = Lone::start(LIMITS).await;
        assert_bounded(&lone, lone.process().public, case).await;
    }
}

// The pieces of a body in small chunks took many times the memory of its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn callers_with_small_chunks() {
    let _turn = TURN.lock().await;
    let lone = Lone::start(LIMITS).await;
    let start = head("/slots/all", CHUNKED);
    let sent = ("small chunks", start, b"1\r\na\r\n".repeat(8 << 10));
    assert_bounded(&lone, lone.process().public, sent).await;
}

// Whoever reaches the listener for boxes or operators was read in full, without a secret.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_at_inner_listeners() {
    let _turn = TURN.lock().await;
    for what in ["peer", "admin"] {
        let lone = Lone::start(LIMITS).await;
        let address = match what {
            "peer" => lone.process().peer,
            _ => lone.process().admin,
        };
        let start = head("/config", ANNOUNCED);
        assert_bounded(&lone, address, (what, start, plain())).await;
    }
}

// The listeners of the platform are of the same kind as those for callers.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_at_optional_listeners() {
    let _turn = TURN.lock().await;
    for what in ["public", "ready", "directory", "metrics"] {
        let cloud = Cloud::serving(&["i-1"]).await;
        let process = &cloud.boxes[0];
        let address = match what {
            "public" => process.public,
            "ready" => process.ready,
            "directory" => process.directory,
            _ => process.metrics,
        };
        let usage = Usage::of(process.pid());
        flood_all(address, head("/safe/x", ANNOUNCED).as_bytes(), &plain()).await;
        usage.assert_memory(MOST_KIB, what);
        usage.assert_descriptors(what).await;
        let answer = process.send("/safe/x", "after", "").await;
        assert_eq!(answer.status.as_u16(), 200, "{what}");
    }
}

// A refusal was lost to a reset when a listener closed a connection with unread bytes.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_its_client() {
    let _turn = TURN.lock().await;
    let lone = Lone::start(LIMITS).await;
    let process = lone.process();
    let over = "connection: close\r\ncontent-length: 4194304\r\n";
    let wrong = format!("PUT /config HTTP/1.1\r\nhost: x\r\nauthorization: Bearer x\r\n{over}\r\n");
    for (address, start, status) in [
        (process.public, head("/slots/all", over), "413"),
        (process.peer, head("/slots/all", over), "403"),
        (process.admin, wrong, "401"),
    ] {
        let mut client = Client::open(address).await.expect("the box accepts");
        assert!(client.write(start.as_bytes()).await);
        for _ in 0..64 {
            client.write(&plain()).await;
        }
        let heard = client.hear().await;
        let expected = format!("HTTP/1.1 {status} ");
        assert!(heard.starts_with(&expected), "{start}: {heard}");
    }
}
