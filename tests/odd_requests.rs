//! Clients that speak another protocol, or break off.

mod harness;

use harness::clients::{CONNECTION_KIB, CROWD, Client, Lone, TURN, Usage, head};
use std::time::Duration;
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpStream,
    time::{sleep, timeout},
};

/// Time in which a box refuses or closes at the latest: that of an idle connection, and some more.
const CLOSE_TIME: Duration = Duration::from_secs(45);

/// What clients send, and the status that they hear, if any.
fn cases() -> Vec<(&'static str, Vec<u8>, Option<&'static str>)> {
    let lines = |lines: &str| head("/slots/all", lines).into_bytes();
    let key = harness::API_KEY;
    let tunnel =
        format!("CONNECT x:1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-api-key: {key}\r\n\r\n");
    let hello = [&[0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3][..], &[7; 506]].concat();
    vec![
        ("tunnel", tunnel.into_bytes(), Some("405")),
        ("http/2", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), None),
        ("tls", hello, None),
        (
            "two lengths",
            lines("content-length: 2\r\ncontent-length: 3\r\n"),
            Some("400"),
        ),
        (
            "two codings",
            lines("transfer-encoding: gzip\r\ntransfer-encoding: x\r\n"),
            Some("400"),
        ),
        (
            "length over 64 bits",
            lines("content-length: 99999999999999999999\r\n"),
            Some("400"),
        ),
        (
            "chunk over 64 bits",
            [
                lines("transfer-encoding: chunked\r\n"),
                b"fffffffffffffffff\r\n".to_vec(),
            ]
            .concat(),
            Some("400"),
        ),
    ]
}

// Such clients are refused or closed, and a box keeps nothing of them.
#[tokio::test(flavor = "multi_thread")]
async fn other_protocols_are_refused() {
    let _turn = TURN.lock().await;
    let lone = Lone::start("").await;
    let usage = Usage::of(lone.process().pid());
    for (what, sent, status) in cases() {
        let mut client = Client::open(lone.process().public).await;
        let client = client.as_mut().expect("the box accepts");
        client.write(&sent).await;
        let heard = timeout(CLOSE_TIME, client.hear()).await;
        let heard = heard.unwrap_or_else(|_| panic!("{what}: kept open"));
        assert!(!heard.starts_with("HTTP/1.1 2"), "{what}: {heard}");
        if let Some(status) = status {
            assert!(
                heard.starts_with(&format!("HTTP/1.1 {status} ")),
                "{what}: {heard}"
            );
        }
    }
    usage.assert_descriptors("other protocols").await;
    lone.assert_serves("other protocols").await;
}

// Clients that leave in the middle of a head, a body or a wait leave nothing behind.
#[tokio::test(flavor = "multi_thread")]
async fn clients_that_leave_midway() {
    let _turn = TURN.lock().await;
    let lone = Lone::start("").await;
    let usage = Usage::of(lone.process().pid());
    let whole = head("/slots/all", "content-length: 8\r\n") + "{\"id\":1}";
    for round in 0..CROWD * 8 {
        let end = whole.len() * (round % CROWD + 1) / CROWD;
        let stream = TcpStream::connect(lone.process().public).await;
        let mut stream = stream.expect("the box accepts");
        stream
            .write_all(&whole.as_bytes()[..end])
            .await
            .expect("it is sent");
        if round % 2 == 0 {
            // Closes its side alone, and waits a little.
            let _ = stream.shutdown().await;
            sleep(Duration::from_millis(1)).await;
        }
    }
    usage.assert_memory(CROWD as u64 * CONNECTION_KIB, "midway");
    usage.assert_descriptors("midway").await;
    lone.assert_serves("midway").await;
}
