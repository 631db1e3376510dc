//! Backend servers that send bytes without end, in a head or a body, until their connection is
//! closed.

mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use harness::{
    API_KEY, World, backend,
    clients::peak_memory,
    cloud::{Cloud, NEWS},
    eventually, preamble,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Time within which a caller hears that a server sends no answer.
const NO_ANSWER_TIME: Duration = Duration::from_secs(2);
/// Deadline of the requests, with time to hear of it.
const DEADLINE: Duration = Duration::from_secs(5);
/// Most memory that one endless answer may take, in KiB.
const MAX_GROWTH_KIB: u64 = 16 << 10;

/// A backend server that sends `start`, with the headers that name the request and the server at
/// `(names)`, and then `filler` again and again.
#[derive(Clone)]
struct Endless {
    start: &'static str,
    filler: &'static str,
    pause: Duration,
    /// Connections on which it is sending.
    open: Arc<AtomicUsize>,
}

impl Endless {
    fn new(start: &'static str, filler: &'static str) -> Self {
        Self {
            start,
            filler,
            pause: Duration::ZERO,
            open: Arc::default(),
        }
    }

    async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let server = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().answer(stream));
            }
        });
        address
    }

    async fn answer(self, mut stream: TcpStream) {
        let mut request = vec![0; 64 << 10];
        let read = stream.read(&mut request).await.unwrap_or(0);
        if read == 0 {
            return;
        }
        let request = String::from_utf8_lossy(&request[..read]);
        let id = request
            .lines()
            .find(|line| line.starts_with("request-id: "));
        let names = format!("{}\r\nresponse-signature: s", id.unwrap_or("request-id: x"));
        let start = self.start.replace("(names)", &names);
        self.open.fetch_add(1, Ordering::SeqCst);
        let filler = self.filler.repeat(match self.pause {
            Duration::ZERO => 1024,
            _ => 1,
        });
        let mut sent = stream.write_all(start.as_bytes()).await;
        while sent.is_ok() {
            sleep(self.pause).await;
            sent = stream.write_all(filler.as_bytes()).await;
        }
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    async fn assert_closed(&self, what: &str) {
        eventually(what, || async { self.open.load(Ordering::SeqCst) == 0 }).await;
    }
}

/// Starts a box before this server alone.
async fn cloud(server: &Endless) -> Cloud {
    let mut cloud = Cloud::start().await;
    cloud.configure(1);
    cloud.register("endless", server.serve().await, "atl", "ready");
    cloud.add_box("atl").await;
    cloud.settled().await;
    sleep(NEWS).await;
    cloud
}

const HEAD: &str = "HTTP/1.1 200 OK\r\n";

#[tokio::test]
async fn endless_heads_are_no_answers() {
    let servers = [
        Endless::new("", "no answer "),
        Endless::new(HEAD, "x-more: bytes\r\n"),
        Endless::new(HEAD, "x"),
    ];
    for server in servers {
        let what = format!("{:?}, then {:?}", server.start, server.filler);
        let cloud = cloud(&server).await;
        let before = peak_memory(cloud.boxes[0].pid());
        let start = Instant::now();
        let answer = cloud.boxes[0].send("/once/x", "one", "").await;
        assert_eq!(answer.status.as_u16(), 502, "{what}");
        assert!(
            start.elapsed() < NO_ANSWER_TIME,
            "{what}: {:?}",
            start.elapsed()
        );
        server.assert_closed(&what).await;
        let growth = peak_memory(cloud.boxes[0].pid()) - before;
        assert!(growth < MAX_GROWTH_KIB, "{what}: {growth} KiB");
    }
}

#[tokio::test]
async fn heads_that_may_still_end_last_until_the_deadline() {
    let slow = Endless {
        pause: Duration::from_millis(50),
        ..Endless::new(HEAD, "x-more: bytes\r\n")
    };
    let interim = Endless::new("", "HTTP/1.1 100 Continue\r\n\r\n");
    for server in [slow, interim] {
        let cloud = cloud(&server).await;
        let before = peak_memory(cloud.boxes[0].pid());
        let answer = timeout(DEADLINE, cloud.boxes[0].send("/once/x", "one", ""));
        let answer = answer.await.expect("the caller hears of the deadline");
        assert_eq!(answer.status.as_u16(), 504, "{:?}", server.filler);
        server.assert_closed(server.filler).await;
        let growth = peak_memory(cloud.boxes[0].pid()) - before;
        assert!(growth < MAX_GROWTH_KIB, "{:?}: {growth} KiB", server.filler);
    }
}

#[tokio::test]
async fn endless_body_ends_with_its_caller() {
    let heads = [
        ("HTTP/1.1 200 OK\r\n(names)\r\n\r\n", "bytes "),
        (
            "HTTP/1.1 200 OK\r\n(names)\r\ncontent-type: text/event-stream\r\n\r\n",
            "data: ",
        ),
        (
            "HTTP/1.1 200 OK\r\n(names)\r\ntransfer-encoding: chunked\r\n\r\n",
            "4\r\nmore\r\n",
        ),
    ];
    for (start, filler) in heads {
        for path in ["/once/x", "/stream/x"] {
            let server = Endless::new(start, filler);
            let cloud = cloud(&server).await;
            let before = peak_memory(cloud.boxes[0].pid());
            let mut begun = cloud.boxes[0].begin(path, "one", "").await;
            assert_eq!(begun.status().as_u16(), 200);
            assert!(begun.next().await.is_some());
            // The caller reads nothing for a while.
            sleep(Duration::from_secs(1)).await;
            drop(begun);
            server.assert_closed(&format!("{path} {start:?}")).await;
            let growth = peak_memory(cloud.boxes[0].pid()) - before;
            assert!(growth < MAX_GROWTH_KIB, "{path} {start:?}: {growth} KiB");
        }
    }
}

/// A request with a key goes on when its caller leaves, so that its answer can be replayed.
#[tokio::test]
async fn endless_body_of_a_keyed_request_is_given_up() {
    let server = Endless::new("HTTP/1.1 200 OK\r\n\r\n", "bytes ");
    let world = World::start(&["perth"], 1).await;
    let text = preamble(&["perth"], "perth")
        + &backend(
            "app",
            server.serve().await,
            "perth",
            "booking, slots",
            "slots = 64",
        )
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.places("/booking/new", None).await;
    let entry = world.get("perth-1");
    let key = entry.key("x").await;
    let headers = [("x-api-key", API_KEY), ("idempotency-key", key.as_str())];
    let body = serde_json::json!({ "id": "x" });
    let mut begun = entry.begin("/booking/new", &headers, &body).await;
    assert_eq!(begun.status().as_u16(), 200);
    assert!(begun.next().await.is_some());
    drop(begun);
    server.assert_closed("nobody can be given the answer").await;
}

#[tokio::test]
async fn bytes_after_a_whole_body_belong_to_no_answer() {
    let server = Endless::new(
        "HTTP/1.1 200 OK\r\n(names)\r\ncontent-length: 5\r\n\r\nwhole",
        "more",
    );
    let cloud = cloud(&server).await;
    for number in 0..5 {
        let id = format!("id-{number}");
        let answer = cloud.boxes[0].send("/safe/x", &id, "").await;
        // A request that is sent just before the bytes arrive may have run, and no other server
        // could take it.
        match answer.status.as_u16() {
            200 => assert!(answer.whole && answer.body == "whole", "request {number}"),
            status => assert_eq!(status, 502, "request {number}"),
        }
        assert!(number > 0 || answer.status == 200);
    }
    server.assert_closed("the connections are closed").await;
}
