//! What callers' connections cost a box while nothing runs on them.

mod harness;

use harness::cloud::{Cloud, HOST};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Connections that callers keep open.
const CONNECTIONS: usize = 60;
/// A long prompt, in bytes.
const BODY: usize = 50_000;
/// What one of them may cost, in KiB: 200 of them in the 12 MB that a box is to take.
const EACH: usize = 40;

/// Memory of a process that no file backs, in KiB.
fn memory(pid: u32) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
    let row = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let number = row.expect("a row").trim().trim_end_matches(" kB");
    number.parse().expect("a number")
}

async fn post(stream: &mut TcpStream, id: &str) {
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 4000\r\n\
         content-length: {BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    let body = vec![b'a'; BODY];
    stream.write_all(&body).await.expect("it is sent");
    let mut answer = vec![0; 4096];
    let length = stream.read(&mut answer).await.expect("it is answered");
    assert!(answer[..length].starts_with(b"HTTP/1.1 200"), "{id}");
}

/// Each connection kept a buffer as long as the longest head, twice, after one long body.
#[tokio::test]
async fn long_bodies_leave_no_buffers() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let (pid, at) = (cloud.boxes[0].pid(), cloud.boxes[0].public);
    let before = memory(pid);
    let mut open = Vec::new();
    for number in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(at).await.expect("it connects");
        for round in 0..3 {
            post(&mut stream, &format!("{number}-{round}")).await;
        }
        open.push(stream);
    }
    let each = (memory(pid) - before) / CONNECTIONS;
    assert!(each <= EACH, "{each} KiB a connection");
}
