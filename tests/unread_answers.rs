//! Callers that ask for long answers and do not read them.

mod harness;

use harness::{
    clients::{CONNECTION_KIB, CROWD, Lone, TURN, Usage, head},
    unread::{ask_all, assert_whole, long_answers},
};
use std::time::Duration;
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpStream,
    time::{sleep, timeout},
};

/// Memory for the answers of keyed requests, in KiB.
const REPLAY_KIB: u64 = 16 << 10;
/// Time in which the answers reach the box as far as it takes them.
const PAUSE: Duration = Duration::from_secs(3);
/// Requests that a caller sends without waiting.
const PIPELINED: usize = 100_000;

// Each answer that was not read cost about 1 MiB, whatever the number of such callers.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_nobody_reads() {
    let _turn = TURN.lock().await;
    for (what, path, budget_kib) in [
        ("length", "/slots/long", 0),
        ("chunks", "/slots/long", 0),
        ("keyed chunks", "/booking/long", REPLAY_KIB),
    ] {
        let server = long_answers(what != "length").await;
        let lone = Lone::before(server, "").await;
        let process = lone.process();
        let usage = Usage::of(process.pid());
        let prefix = process.key("").await;
        let requests = (0..CROWD).map(|number| {
            let key = match path {
                "/booking/long" => format!("idempotency-key: {prefix}{number}\r\n"),
                _ => String::new(),
            };
            let lines = format!("{key}content-length: 0\r\nconnection: close\r\n");
            head(path, &lines)
        });
        let mut callers = ask_all(process.public, requests).await;
        sleep(PAUSE).await;
        usage.assert_memory(budget_kib + CROWD as u64 * CONNECTION_KIB, what);
        lone.assert_serves(what).await;
        assert_whole(&mut callers, what).await;
        drop(callers);
        usage.assert_descriptors(what).await;
    }
}

// Requests that are sent without waiting are answered into a queue that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_that_nobody_reads() {
    let _turn = TURN.lock().await;
    let lone = Lone::start("").await;
    let process = lone.process();
    let admin = process.admin;
    for (what, address, path) in [
        ("health", process.public, "/petreldrum/health"),
        ("metrics", admin, "/metrics"),
        ("no key", process.public, "/slots/all"),
    ] {
        let usage = Usage::of(process.pid());
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
        let requests: std::sync::Arc<str> = request.repeat(PIPELINED).into();
        let mut callers = Vec::new();
        for _ in 0..CROWD {
            let stream = TcpStream::connect(address).await;
            let mut stream = stream.expect("the box accepts");
            let requests = requests.clone();
            let sending = tokio::spawn(async move {
                let sent = timeout(PAUSE, stream.write_all(requests.as_bytes())).await;
                drop(sent);
                sleep(PAUSE).await;
            });
            callers.push(sending);
        }
        sleep(PAUSE).await;
        usage.assert_memory(CROWD as u64 * CONNECTION_KIB, what);
        for caller in callers {
            caller.abort();
        }
        usage.assert_descriptors(what).await;
        lone.assert_serves(what).await;
    }
}
