//! Callers that ask for long answers and do not read them.

mod harness;

use std::net::SocketAddr;

use harness::clients::{CONNECTION_KIB, CROWD, Lone, TURN, Usage, head};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const ANSWER_BYTES: usize = 16 << 20;
const PIECE_BYTES: usize = 64 << 10;
/// Memory for the answers of keyed requests, in KiB.
const REPLAY_KIB: u64 = 16 << 10;
/// Time in which the answers reach the box as far as it takes them.
const PAUSE: Duration = Duration::from_secs(3);
/// Requests that a caller sends without waiting.
const PIPELINED: usize = 100_000;
/// Callers that read on in the end.
const READERS: usize = 4;

/// A backend server whose answers to paths that end in `/long` are long, with or without chunks.
async fn long_answers(chunked: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, chunked));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, chunked: bool) {
    let mut request = vec![0; 16 << 10];
    while let Ok(read @ 1..) = stream.read(&mut request).await {
        let long = request[..read].windows(6).any(|part| part == b"/long ");
        let size = if long { ANSWER_BYTES } else { PIECE_BYTES };
        let piece = vec![b'a'; PIECE_BYTES];
        let (framing, part, end) = match chunked {
            true => {
                let part = [b"10000\r\n", &piece[..], b"\r\n"].concat();
                ("transfer-encoding: chunked".to_owned(), part, "0\r\n\r\n")
            }
            false => (format!("content-length: {size}"), piece, ""),
        };
        let start = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
        let mut open = stream.write_all(start.as_bytes()).await.is_ok();
        for _ in 0..size / PIECE_BYTES {
            open = open && stream.write_all(&part).await.is_ok();
        }
        if !open || stream.write_all(end.as_bytes()).await.is_err() {
            return;
        }
    }
}

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
        let mut callers = Vec::new();
        for number in 0..CROWD {
            let key = match path {
                "/booking/long" => format!("idempotency-key: {prefix}{number}\r\n"),
                _ => String::new(),
            };
            let lines = format!("{key}content-length: 0\r\nconnection: close\r\n");
            let request = head(path, &lines);
            let stream = TcpStream::connect(process.public).await;
            let mut stream = stream.expect("the box accepts");
            let sent = stream.write_all(request.as_bytes()).await;
            sent.expect("the request is sent");
            callers.push(stream);
        }
        sleep(PAUSE).await;
        usage.assert_memory(budget_kib + CROWD as u64 * CONNECTION_KIB, what);
        lone.assert_serves(what).await;
        for mut caller in callers.drain(..READERS) {
            let mut bytes = Vec::new();
            let read = caller.read_to_end(&mut bytes).await;
            assert!(read.is_ok(), "{what}: {read:?} after {}", bytes.len());
            assert!(bytes.len() > ANSWER_BYTES, "{what}: {}", bytes.len());
        }
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
