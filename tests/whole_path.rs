//! End-to-end requests through separate processes: 3 regions of 2 boxes.

mod harness;

use harness::{Standin, World, backend, eventually, preamble, streamed, tokens};
use hyper::Method;
use petreldrum_standin::http::call;
use serde_json::json;

const REGIONS: [&str; 3] = ["perth", "bunbury", "geraldton"];

#[tokio::test]
async fn serves_end_to_end() {
    let collector = Standin::start("collector").await;
    let world = World::start_traced(&REGIONS, 2, Some(collector.address)).await;
    let (near, far) = (
        Standin::start("engine").await,
        Standin::start("engine").await,
    );
    let app = Standin::start("app").await;
    let text = preamble(&REGIONS, "perth")
        + &backend(
            "near",
            near.address,
            "perth",
            "referral",
            "labels = place=near",
        )
        + &backend(
            "far",
            far.address,
            "geraldton",
            "referral",
            "labels = place=far",
        )
        + &backend("app", app.address, "perth", "booking, slots", "")
        + "[selector other]\ncallers = team=other\nroutes = kind=chat\nbackends = place=far\n"
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.hears("perth", 2).await;
    world.places("/booking/new", None).await;
    world.places("/v1/chat", Some("referral")).await;
    let perth = world.get("perth-1");

    // A streamed answer from the caller's own region.
    let answer = perth.chat("letter", 12).await;
    assert_eq!(streamed(&answer), Some(tokens("letter", 12)));
    assert_eq!(answer.header("petreldrum-verdict"), "ran");
    assert_eq!(answer.header("petreldrum-region"), "perth");

    // A booking that runs once, however often it is sent.
    let key = perth.key("b1").await;
    for _ in 0..3 {
        let answer = perth.book(&key, "b1").await;
        assert_eq!(answer.json()["run"], 1);
    }
    assert_eq!(app.runs("b1").await, 1);

    // A repeatable call of the application.
    let answer = perth.call("/slots/free", &[], &json!({ "id": "s" })).await;
    assert_eq!(answer.json()["path"], "/slots/free");

    // A request that another region must run.
    let headers = [("x-api-key", harness::OTHER_KEY)];
    let body = harness::chat("away", 5).to_string();
    let path = "/v1/chat/completions";
    let answer = call(perth.public, Method::POST, path, &headers, body)
        .await
        .expect("the request is answered");
    assert_eq!(streamed(&answer), Some(tokens("away", 5)));
    assert_eq!(answer.header("petreldrum-region"), "geraldton");
    assert_eq!(far.counts().await["finished"], 1);

    // Spans of the caller's hop, the relay and the send to the backend server.
    eventually("spans of every hop are exported", || async {
        let counts = collector.counts().await;
        ["receive", "send", "relay"]
            .iter()
            .all(|hop| counts[hop].as_u64() >= Some(1))
    })
    .await;
}

#[tokio::test]
async fn refuses_bad_input() {
    let world = World::start(&["perth"], 1).await;
    let app = Standin::start("app").await;
    let text = preamble(&["perth"], "perth")
        + &backend("app", app.address, "perth", "booking", "")
        + "[selector rest]\nroutes = kind!=chat\n";
    world.configure("perth-1", 0, &text).await;
    let perth = world.get("perth-1");
    let send = async |headers: &[(&str, &str)], path: &str, body: String| {
        call(perth.public, Method::POST, path, headers, body)
            .await
            .expect("the request is answered")
    };
    let key = ("x-api-key", harness::API_KEY);

    let answer = send(&[], "/booking/x", String::new()).await;
    assert_eq!(
        (answer.status.as_u16(), answer.header("petreldrum-verdict")),
        (401, "not-run")
    );
    let answer = send(&[("x-api-key", "wrong")], "/booking/x", String::new()).await;
    assert_eq!(answer.status.as_u16(), 401);
    let answer = send(&[key], "/nowhere", String::new()).await;
    assert_eq!(
        (answer.status.as_u16(), answer.header("petreldrum-verdict")),
        (404, "not-run")
    );
    let answer = send(&[key], "/slots/x", String::new()).await;
    assert_eq!(
        (answer.status.as_u16(), answer.header("petreldrum-verdict")),
        (503, "not-run")
    );
    assert!(
        answer
            .header("retry-after")
            .parse::<u64>()
            .is_ok_and(|s| s >= 1)
    );
    let answer = send(&[key], "/v1/chat/completions", "not json".to_owned()).await;
    assert_eq!(answer.status.as_u16(), 400);
    let answer = send(&[key], "/booking/x", String::new()).await;
    assert_eq!(
        (answer.status.as_u16(), answer.header("petreldrum-verdict")),
        (428, "not-run")
    );
    assert!(answer.header("petreldrum-key-prefix").ends_with('~'));
    let long = "a".repeat(40_000);
    let answer = send(&[key, ("x-long", &long)], "/booking/x", String::new()).await;
    assert_eq!(answer.status.as_u16(), 431);
    let answer = send(&[key], "/booking/x", "a".repeat((1 << 20) + 1)).await;
    assert_eq!(
        (answer.status.as_u16(), answer.header("petreldrum-verdict")),
        (413, "not-run")
    );

    // Input that is not HTTP: the connection is closed cleanly, and the box keeps running.
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let mut stream = tokio::net::TcpStream::connect(perth.public)
        .await
        .expect("the connection opens");
    stream
        .write_all(b"GARBAGE\r\n\r\n")
        .await
        .expect("the bytes are written");
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("a clean close");
    assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 400"));

    // Headers cannot make a caller pass for a box, and the peer listener refuses clients that are
    // no box.
    let spoof = [
        key,
        ("petreldrum-hop", "relay"),
        ("petreldrum-caller", "ward"),
    ];
    let answer = send(&spoof, "/nowhere", String::new()).await;
    assert_eq!(answer.status.as_u16(), 404);
    let answer = call(perth.peer, Method::POST, "/booking/x", &spoof, "")
        .await
        .expect("the request is answered");
    assert_eq!(answer.status.as_u16(), 403);
    assert!(perth.is_ready().await);
    assert_eq!(app.counts().await, json!({}));
}
