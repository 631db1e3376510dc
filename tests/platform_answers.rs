//! Faulty answers of the platform's backend servers: what callers receive, and how often the
//! request ran.

mod harness;

use harness::cloud::{Cloud, HOST};
use nix::sys::signal::Signal;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

#[tokio::test]
async fn whole_path() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let answer = cloud.boxes[0].send("/once/x?y=1", "one", "").await;
    assert_eq!((answer.status.as_u16(), answer.whole), (200, true));
    assert_eq!(&answer.body[..], b"i-1:one");
    assert_eq!(answer.header("response-signature"), "signed");
    let seen = cloud.workers["i-1"].seen("one").remove(0);
    assert_eq!(seen.line, "POST /once/x?y=1 HTTP/1.1");
    assert_eq!(seen.body, b"one");
    let header = |name: &str| seen.headers.get(name).cloned().unwrap_or_default();
    assert_eq!(header("host"), HOST);
    assert_eq!(header("target-instance"), "i-1");
    let left: u64 = header("deadline-ms").parse().expect("a number");
    assert!(
        (1..=3000).contains(&left),
        "the route's time, not more: {left}"
    );
}

#[tokio::test]
async fn what_may_not_repeat_runs_once() {
    let cloud = Cloud::serving(&["i-1", "i-2"]).await;
    let process = &cloud.boxes[0];
    let cases = [
        ("promise", 502),
        ("unsigned", 502),
        ("other", 502),
        ("garbage", 502),
        ("lost", 502),
        ("error", 500),
    ];
    for (mode, status) in cases {
        let id = format!("once-{mode}");
        let answer = process.send("/once/x", &id, mode).await;
        assert_eq!(answer.status.as_u16(), status, "{mode}");
        assert_eq!(cloud.runs(&id), 1, "{mode}");
        let signed = answer.header("response-signature") == "signed";
        assert_eq!(
            signed,
            mode == "error",
            "{mode}: a signature vouches for its status"
        );
    }
}

#[tokio::test]
async fn proof_of_no_run_moves_on() {
    let cloud = Cloud::serving(&["i-1", "i-2"]).await;
    let answer = cloud.boxes[0].send("/once/x", "full", "full").await;
    assert_eq!(answer.status.as_u16(), 503, "both are full");
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(cloud.runs("full"), 2, "offered to both");
    // Another backend server took over the address; it says so and runs nothing.
    let address = cloud.workers["i-1"].address;
    cloud.registry.remove("servers/i-1");
    cloud.registry.remove("servers/i-2");
    cloud.register("i-9", address, "atl", "ready");
    tokio::time::sleep(harness::cloud::NEWS).await;
    let answer = cloud.boxes[0].send("/once/x", "moved", "").await;
    assert_eq!(answer.status.as_u16(), 503);
}

#[tokio::test]
async fn ends_are_told_apart() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let process = &cloud.boxes[0];
    let answer = process.send("/once/x", "unframed", "unframed").await;
    assert_eq!(
        (answer.whole, &answer.body[..]),
        (true, &b"i-1:unframed"[..])
    );
    let answer = process.send("/once/x", "cut", "cut").await;
    assert!(!answer.whole, "an end before the length is a cut");
}

#[tokio::test]
async fn early_answers_spoil_no_connection() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let process = &cloud.boxes[0];
    for number in 0..5 {
        let id = format!("early-{number}");
        let body = "x".repeat(900 << 10);
        let begun = process.begin_with("/safe/x", &id, "early", body.clone());
        let answer = begun.await.finish().await;
        assert_eq!(answer.status.as_u16(), 503, "refused before it was in");
        let seen = cloud.workers["i-1"].seen(&id);
        assert!(seen.iter().all(|s| s.body == body.as_bytes()));
        let next = process.send("/safe/x", &format!("next-{number}"), "").await;
        assert_eq!(next.status.as_u16(), 200);
    }
    let bodies = (0..5).flat_map(|n| cloud.workers["i-1"].seen(&format!("next-{n}")));
    assert!(bodies.into_iter().all(|s| s.body.starts_with(b"next-")));
}

#[tokio::test]
async fn surplus_answers_reach_nobody() {
    let cloud = Cloud::serving(&["i-1"]).await;
    for number in 0..20 {
        let id = format!("surplus-{number}");
        let answer = cloud.boxes[0].send("/safe/x", &id, "surplus").await;
        assert_eq!(answer.body, format!("i-1:{id}"));
    }
}

#[tokio::test]
async fn connections_are_kept() {
    let cloud = Cloud::serving(&["i-1"]).await;
    for number in 0..20 {
        let answer = cloud.boxes[0]
            .send("/safe/x", &format!("k{number}"), "")
            .await;
        assert!(answer.whole);
    }
    let opened = cloud.workers["i-1"].connections();
    assert!(
        opened <= 2,
        "{opened} connections for one request at a time"
    );
    assert!(cloud.workers["i-1"].left().is_empty());
}

#[tokio::test]
async fn leaving_callers_stop_the_run() {
    let cloud = Cloud::serving(&["i-1"]).await;
    let mut begun = cloud.boxes[0].begin("/stream/x", "left", "stream").await;
    assert!(begun.next().await.is_some());
    drop(begun);
    let worker = &cloud.workers["i-1"];
    harness::eventually("the run is stopped", || async {
        worker.left().contains(&"left".to_owned())
    })
    .await;
}

#[tokio::test]
async fn silence_moves_what_may_repeat() {
    let cloud = Cloud::serving(&["i-1", "i-2"]).await;
    let answer = cloud.boxes[0].send("/safe/x", "silent", "silent").await;
    assert_eq!(answer.status.as_u16(), 504, "both are silent");
    assert_eq!(cloud.runs("silent"), 2, "as many as the route permits");
    let answer = cloud.boxes[0]
        .send("/once/x", "silent-once", "silent")
        .await;
    assert_eq!(answer.status.as_u16(), 504);
    assert_eq!(cloud.runs("silent-once"), 1);
}

#[tokio::test]
async fn two_lengths_are_refused() {
    let cloud = Cloud::serving(&["i-1"]).await;
    for order in [
        ["Content-Length: 4", "Transfer-Encoding: chunked"],
        ["Transfer-Encoding: chunked", "Content-Length: 4"],
    ] {
        let inner = "POST /once/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: inner\r\n\
                     Content-Length: 0\r\n\r\n";
        let text = format!(
            "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: outer\r\n{}\r\n{}\r\n\r\n\
             0\r\n\r\n{inner}",
            order[0], order[1]
        );
        let mut stream = TcpStream::connect(cloud.boxes[0].public)
            .await
            .expect("the box listens");
        stream
            .write_all(text.as_bytes())
            .await
            .expect("the box reads the request");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "and closed");
    }
    assert_eq!(cloud.runs("outer") + cloud.runs("inner"), 0);
}

#[tokio::test]
async fn planned_stop_cuts_nothing() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    cloud.add_box("atl").await;
    cloud.settled().await;
    let two = &cloud.boxes[1];
    harness::eventually("both are listed", || async {
        two.resolve("atl").await.len() == 2
    })
    .await;
    let begun = cloud.boxes[0].begin("/stream/x", "stop", "stream").await;
    cloud.boxes[0].signal(Signal::SIGTERM);
    harness::eventually("it is not ready", || async {
        !cloud.boxes[0].is_ready().await
    })
    .await;
    let two = &cloud.boxes[1];
    harness::eventually("it is no longer listed", || async {
        two.resolve("atl").await.len() == 1
    })
    .await;
    let answer = begun.finish().await;
    assert!(answer.whole);
    assert_eq!(answer.body.windows(3).filter(|w| w == b"id:").count(), 20);
    assert!(cloud.boxes[0].wait().await);
}
