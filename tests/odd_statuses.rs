//! Answers of backend servers whose status is not one of a final answer.

mod harness;

use std::net::SocketAddr;

use harness::{
    World, backend,
    cloud::{Cloud, NEWS},
    eventually, preamble,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Statuses outside the range of RFC 9110, section 15, and a switch of protocols that no caller asked
/// for.
const UNUSABLE: [&str; 11] = [
    "000", "001", "099", "0", "20", "1000", "2OO", "101", "600", "700", "999",
];
/// Statuses that precede the final answer.
const INTERIM: [&str; 3] = ["100", "103", "199"];
/// Final statuses at the ends of the range.
const FINAL: [&str; 3] = ["200", "404", "599"];

/// A backend server that answers with the status that the path ends with.
async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream));
        }
    });
    address
}

async fn answer(mut stream: TcpStream) {
    let mut request = vec![0; 16 << 10];
    while let Ok(read @ 1..) = stream.read(&mut request).await {
        let request = String::from_utf8_lossy(&request[..read]);
        let path = request.split(' ').nth(1).unwrap_or_default();
        let status = path.rsplit('/').next().unwrap_or_default();
        let id = request.lines().find(|l| l.starts_with("request-id: "));
        let id = id.unwrap_or("x-none: x");
        let rest = format!("{id}\r\nresponse-signature: s\r\ncontent-length: 2\r\n\r\nok");
        let text = match INTERIM.contains(&status) {
            true => format!("HTTP/1.1 {status} Soon\r\n\r\nHTTP/1.1 200 OK\r\n{rest}"),
            false => format!("HTTP/1.1 {status} Odd\r\n{rest}"),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Returns the status that a caller is to get for a server's status.
fn expected(status: &str) -> u16 {
    match status {
        _ if UNUSABLE.contains(&status) => 502,
        _ if INTERIM.contains(&status) => 200,
        _ => status.parse().expect("a final status"),
    }
}

fn statuses() -> impl Iterator<Item = &'static str> {
    UNUSABLE.into_iter().chain(INTERIM).chain(FINAL)
}

// Statuses over 599, and 101, reached callers as answers.
#[tokio::test]
async fn statuses_are_passed_on_if_final() {
    let world = World::start(&["perth"], 1).await;
    let text = preamble(&["perth"], "perth")
        + &backend(
            "app",
            server().await,
            "perth",
            "booking, slots",
            "slots = 9",
        )
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.places("/slots/200", None).await;
    let entry = world.get("perth-1");
    for status in statuses() {
        eventually("requests are served", || async {
            entry.call("/slots/200", &[], &json!({})).await.status == 200
        })
        .await;
        let path = format!("/booking/{status}");
        let key = entry.key(status).await;
        let headers = [("idempotency-key", key.as_str())];
        let answer = entry.call(&path, &headers, &json!({})).await;
        assert_eq!(answer.status.as_u16(), expected(status), "{status}");
    }
}

// The same on the platform, for streams and requests that may run once, by one box and over two.
#[tokio::test]
async fn statuses_on_the_platform() {
    for regions in [&["atl"][..], &["mcn", "atl"]] {
        let mut cloud = Cloud::start().await;
        cloud.configure(1);
        cloud.register("odd", server().await, "atl", "ready");
        for region in regions {
            cloud.add_box(region).await;
        }
        cloud.settled().await;
        sleep(NEWS).await;
        let entry = &cloud.boxes[0];
        for status in statuses() {
            for route in ["once", "stream"] {
                eventually("requests are served", || async {
                    entry.send("/safe/200", "sound", "").await.status == 200
                })
                .await;
                let path = format!("/{route}/{status}");
                let answer = entry.send(&path, &format!("{route}-{status}"), "").await;
                let what = format!("{path} over {} boxes", regions.len());
                assert_eq!(answer.status.as_u16(), expected(status), "{what}");
            }
        }
    }
}
