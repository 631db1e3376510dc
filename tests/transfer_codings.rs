//! Answers in transfer codings that a box does not decode.

mod harness;

use std::sync::Arc;

use harness::{
    clients::Lone,
    cloud::{Cloud, HOST},
    eventually,
};
use hyper::Method;
use petreldrum::{
    gateway::dial::Pool,
    platform::{engine, store},
};
use petreldrum_standin::{
    http::{Answer, call},
    raw::{self, End, Head},
};
use serde_json::json;

/// Request header with the number of the answer's coding; without it the answer is sound.
const CODING: &str = "x-coding";
const BODY: &str = "all of the answer's body";
const CUT_EVENT: &str = "id: 1\ndata: one\n\nid: 2";
const ROUTES: [&str; 3] = ["/safe/x", "/once/x", "/stream/x"];
const PLACES: [&[&str]; 2] = [&["atl"], &["mcn", "atl"]];

/// Header lines with codings other than a single `chunked`.
const UNDECODED: [&[&str]; 11] = [
    &["gzip"],
    &["gzip, chunked"],
    &["chunked, gzip"],
    &["xchunked"],
    &["chunked x"],
    &["chunked;q=1"],
    &["chunked, chunked"],
    &["gzip", "chunked"],
    &["chunked", "gzip"],
    &["chunked", "chunked"],
    &["identity, gzip"],
];
/// Header lines that leave the body as it is, and those of chunks.
const PLAIN: [&[&str]; 3] = [&["identity"], &[""], &[","]];
const CHUNKED: [&[&str]; 4] = [
    &["chunked"],
    &["Chunked"],
    &["identity, chunked"],
    &[", chunked"],
];

fn codings() -> impl Iterator<Item = &'static [&'static str]> {
    UNDECODED.into_iter().chain(PLAIN).chain(CHUNKED)
}

/// Returns an answer with this body in one chunk if its last coding is `chunked`.
fn answer(lines: &[&str], id: &str, body: &str) -> String {
    let mut text = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: signed\r\n");
    if body == CUT_EVENT {
        text += "Content-Type: text/event-stream\r\n";
    }
    for line in lines {
        text += &format!("Transfer-Encoding: {line}\r\n");
    }
    let last = lines.last().and_then(|line| line.rsplit(',').next());
    let is_chunked = last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"));
    let length = body.len();
    match is_chunked {
        true => format!("{text}\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"),
        false => format!("{text}\r\n{body}"),
    }
}

fn respond(head: &Head) -> raw::Answer {
    let id = head.field("request-id");
    let mut words = head.field(CODING).split(' ');
    let number = words.next().and_then(|word| word.parse().ok());
    let coding = number.and_then(|number| codings().nth(number));
    let body = if words.next() == Some("cut") {
        CUT_EVENT
    } else {
        BODY
    };
    raw::Answer {
        bytes: answer(coding.unwrap_or(&["chunked"]), id, body).into(),
        half: false,
        end: End::Close,
    }
}

async fn cloud(regions: &[&str]) -> Cloud {
    let address = raw::serve(respond).await.expect("the server starts");
    let mut cloud = Cloud::start().await;
    cloud.add_boxes_before(address, regions).await;
    cloud
}

/// Sends a request that is answered like `coding`, after one with a sound answer.
async fn ask(cloud: &Cloud, path: &str, coding: &str) -> Answer {
    let send = async |path: &str, coding: &str| {
        let headers = [
            ("host", HOST),
            ("request-id", "one"),
            ("deadline-ms", "4000"),
            (CODING, coding),
        ];
        let public = cloud.boxes[0].public;
        call(public, Method::POST, path, &headers, "").await
    };
    eventually("a sound answer arrives", async || {
        let sound = send("/safe/x", "").await;
        sound.is_ok_and(|sound| sound.whole && sound.body == BODY)
    })
    .await;
    send(path, coding).await.expect("the box answers")
}

// Guards against coded bytes that reach callers as the body, framed as whole and without a word of
// their coding.
#[tokio::test]
async fn undecoded_answers_are_not_passed_on() {
    let mut wrong = Vec::new();
    for regions in PLACES {
        let cloud = cloud(regions).await;
        for path in ROUTES {
            for (number, lines) in UNDECODED.iter().enumerate() {
                let answer = ask(&cloud, path, &number.to_string()).await;
                if answer.status != 502 {
                    wrong.push(format!("{regions:?} {path} {lines:?}: {}", answer.status));
                }
            }
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
}

#[tokio::test]
async fn other_answers_are_passed_on() {
    for regions in PLACES {
        let cloud = cloud(regions).await;
        for path in ROUTES {
            for (number, lines) in codings().enumerate().skip(UNDECODED.len()) {
                let answer = ask(&cloud, path, &number.to_string()).await;
                let case = format!("{regions:?} {path} {lines:?}");
                assert_eq!(
                    (answer.status.as_u16(), answer.whole),
                    (200, true),
                    "{case}"
                );
                assert_eq!(answer.body, BODY, "{case}");
            }
        }
    }
}

// Guards against a stream that ends inside an event and counts as whole, because a coding that
// changes nothing is named.
#[tokio::test]
async fn cut_streams_without_a_coding_are_cut() {
    let cloud = cloud(&["atl"]).await;
    let mut wrong = Vec::new();
    for (number, lines) in codings()
        .enumerate()
        .skip(UNDECODED.len())
        .take(PLAIN.len())
    {
        let answer = ask(&cloud, "/once/x", &format!("{number} cut")).await;
        wrong.extend(answer.whole.then_some(lines));
    }
    assert!(wrong.is_empty(), "framed as whole: {wrong:?}");
}

/// The same over the gateway's own interface.
#[tokio::test]
async fn undecoded_answers_are_not_passed_on_by_our_own_interface() {
    let address = raw::serve(respond).await.expect("the server starts");
    let lone = Lone::before(address, "").await;
    let entry = lone.process();
    for (number, lines) in codings().enumerate() {
        eventually("a sound answer arrives", || async {
            let sound = lone.ordinary("sound").await;
            sound.whole && sound.body == BODY
        })
        .await;
        let key = entry.key(&number.to_string()).await;
        let headers = [
            ("idempotency-key", key.as_str()),
            (CODING, &number.to_string()),
        ];
        let answer = entry.call("/booking/new", &headers, &json!({})).await;
        let expected = if number < UNDECODED.len() { 502 } else { 200 };
        assert_eq!(answer.status, expected, "{lines:?}");
        assert_eq!(answer.body == BODY, expected == 200, "{lines:?}");
    }
}

// Guards against the same in answers to calls to the store and to engines.
#[tokio::test]
async fn undecoded_answers_to_calls_are_none() {
    let list = r#"{"epoch":1,"nextPageToken":2,"held":[["","a",5,"m"]]}"#;
    let page = r#"{"items":[],"truncated":false,"asOf":3}"#;
    let pool: Arc<Pool> = Arc::default();
    for (number, lines) in codings().enumerate() {
        let serve = async |content: &'static str| {
            let address = raw::serve(move |_| raw::Answer {
                bytes: answer(lines, "", content)
                    .replace("Request-Id: \r\n", "")
                    .into(),
                half: false,
                end: End::Close,
            });
            address.await.expect("the server starts")
        };
        let is_sound = number >= UNDECODED.len();
        let listed = engine::list_cached(&pool, serve(list).await).await;
        assert_eq!(listed.is_ok(), is_sound, "{lines:?}: {listed:?}");
        let client = store::Client::new(serve(page).await, pool.clone());
        let listing = client.range("", store::Freshness::Stale).await;
        assert_eq!(listing.is_ok(), is_sound, "{lines:?}: {listing:?}");
    }
}
