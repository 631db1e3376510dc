//! Requests that state the length of their body in two ways.

mod harness;

use harness::clients::{Client, Lone, TURN, head};
use std::time::Duration;
use tokio::time::sleep;

const LENGTHS: &str = "connection: close\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n";
const BODY: &str = "0\r\n\r\n";
/// Time between head and body, so that the box reads them apart.
const PAUSE: Duration = Duration::from_millis(300);

// Lines that end without a carriage return hid the second length, and the request was served.
#[tokio::test(flavor = "multi_thread")]
async fn two_lengths_are_refused_with_any_line_end() {
    let _turn = TURN.lock().await;
    let lone = Lone::start("").await;
    let plain = head("/slots/all", LENGTHS);
    let mixed = plain
        .replace("x-api-key", "\r\nx-api-key")
        .replacen("\r\n\r\n", "\n", 1);
    for start in [plain.clone(), plain.replace("\r\n", "\n"), mixed] {
        let mut client = Client::open(lone.process().public).await;
        let client = client.as_mut().expect("the box accepts");
        assert!(client.write(start.as_bytes()).await);
        sleep(PAUSE).await;
        client.write(BODY.as_bytes()).await;
        let heard = client.hear().await;
        assert!(heard.starts_with("HTTP/1.1 400 "), "{start:?}: {heard}");
    }
}

// A head that came in one packet with the request before it was not looked at.
#[tokio::test(flavor = "multi_thread")]
async fn two_lengths_are_not_served_behind_another_request() {
    let _turn = TURN.lock().await;
    let lone = Lone::start("").await;
    let first = head("/slots/all", "content-length: 2\r\n");
    let next = head("/slots/all", LENGTHS);
    let mut client = Client::open(lone.process().public).await;
    let client = client.as_mut().expect("the box accepts");
    let sent = format!("{first}{{}}{next}{BODY}");
    assert!(client.write(sent.as_bytes()).await);
    let heard = client.hear().await;
    assert_eq!(heard.matches("HTTP/1.1 200 ").count(), 1, "{heard}");
    assert_eq!(heard.matches("HTTP/1.1 400 ").count(), 1, "{heard}");
}

// The body of a refused request hid the start of the next head, whose two lengths went unnoticed.
#[tokio::test(flavor = "multi_thread")]
async fn two_lengths_are_not_served_after_a_refused_body() {
    let _turn = TURN.lock().await;
    let lone = Lone::start("").await;
    let refused = "POST /slots/all HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\n";
    let mut client = Client::open(lone.process().public).await;
    let client = client.as_mut().expect("the box accepts");
    let next = head("/slots/all", LENGTHS);
    for part in [refused, "aa\r\n\r\naa", &next, BODY] {
        client.write(part.as_bytes()).await;
        sleep(PAUSE).await;
    }
    let heard = client.hear().await;
    assert!(heard.starts_with("HTTP/1.1 401 "), "{heard}");
    assert!(!heard.contains("HTTP/1.1 200 "), "{heard}");
}
