//! Memory cost of callers' idle connections.

mod harness;

use harness::cloud::{Cloud, HOST};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Connections that callers keep open.
const CONNECTIONS: usize = 60;
/// Size of a long prompt, in bytes.
const BODY_BYTES: usize = 50_000;
/// Memory that a connection may cost, in KiB: 200 connections fit the 12 MB that a box may use.
const MAX_KIB_PER_CONNECTION: usize = 40;

/// Returns the anonymous resident memory of a process, in KiB.
fn memory(pid: u32) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("process is running");
    let row = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let number = row
        .expect("status has the row")
        .trim()
        .trim_end_matches(" kB");
    number.parse().expect("row holds a number")
}

async fn post(stream: &mut TcpStream, id: &str) {
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 4000\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("request is sent");
    let body = vec![b'a'; BODY_BYTES];
    stream.write_all(&body).await.expect("request is sent");
    let mut answer = vec![0; 4096];
    let length = stream.read(&mut answer).await.expect("answer arrives");
    assert!(answer[..length].starts_with(b"HTTP/1.1 200"), "{id}");
}

/// Guards against connections that keep two buffers as long as the longest head after one long
/// body.
#[tokio::test]
async fn long_bodies_leave_no_buffers() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let (pid, public) = (cloud.boxes[0].pid(), cloud.boxes[0].public);
    let before = memory(pid);
    let mut open = Vec::new();
    for number in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(public).await.expect("connection opens");
        for round in 0..3 {
            post(&mut stream, &format!("{number}-{round}")).await;
        }
        open.push(stream);
    }
    let per_connection = (memory(pid) - before) / CONNECTIONS;
    assert!(
        per_connection <= MAX_KIB_PER_CONNECTION,
        "{per_connection} KiB a connection"
    );
}
