//! Callers that pause while they read an answer.

mod harness;

use std::time::Duration;

use harness::cloud::{Cloud, CloudBox, HOST};
use petreldrum_standin::worker::{LONG_ANSWER_BYTES, MODE};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::sleep,
};

/// Sends a request, pauses and returns the number of bytes of the answer's body.
async fn read_after(pause: Duration, process: &CloudBox) -> usize {
    let mut stream = TcpStream::connect(process.public)
        .await
        .expect("the box accepts");
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: long\r\nDeadline-Ms: 9000\r\n\
         {MODE}: long\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    sleep(pause).await;
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n");
    let body = end.map_or(0, |end| bytes.len() - end - 4);
    assert!(read.is_ok(), "{read:?} after {body} bytes");
    body
}

// A caller that read nothing for 2.5 s lost an answer that could not be repeated: the box took its
// closed receive window for a lost connection.
#[tokio::test]
async fn caller_that_pauses_gets_its_whole_answer() {
    for cloud in [
        Cloud::serving(&["i-1"]).await,
        Cloud::across(&["i-1"]).await,
    ] {
        let pause = Duration::from_millis(2500);
        assert_eq!(read_after(pause, &cloud.boxes[0]).await, LONG_ANSWER_BYTES);
    }
}
