//! Backend servers that answer a long upload before they have read it, and then end the connection.

mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use harness::{
    API_KEY,
    clients::Lone,
    cloud::{Cloud, HOST},
    eventually,
};
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request};
use petreldrum::gateway::dial::{Distance, Failure, Pool};
use petreldrum_standin::{
    http::{Answer, call},
    raw::{self, End, Head},
};
use tokio::time::sleep;

/// Bytes of an upload: more than the kernel takes from a server that does not read.
const UPLOAD: usize = 3 << 20;
/// Lines of the section `limits` of boxes that accept such uploads.
const LIMITS: &str = "max_body = 4MiB\n";
/// Request header with the form of the answer, whether the server ends its side first, and the end
/// of the connection; without it the answer is sound.
const EARLY: &str = "x-early";
const BODY: &str = "some of the answer's body";
const EVENT_BODY: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// Number of times that each case is tried: how much of the upload arrives before its end differs.
const TRIES: usize = 2;
/// Time within which a caller hears that an answer broke off whose server reads nothing more.
const UNREAD_TIME: Duration = Duration::from_secs(10);
/// Time within which a call hears that a server has ended its side; well below the time after which
/// an unread upload ends the connection.
const FAILURE_TIME: Duration = Duration::from_millis(700);
/// Time in which the end of a connection arrives.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

const ROUTES: [&str; 3] = ["/safe/x", "/once/x", "/stream/x"];
/// Ends that break an answer whose end is that of its connection.
const BROKEN: [&str; 4] = ["whole reset", "whole unread", "half reset", "half unread"];
/// The end of a server that reads nothing more, and does not reset the connection either.
const SILENT: &str = "half silent";
/// Ends of servers that read the whole upload.
const SOUND: [&str; 4] = ["whole close", "half close", "half slow", "whole slow"];

/// Returns the answer of this form; with a length or chunks it ends early.
fn answer(form: &str, id: &str) -> String {
    let start = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: signed\r\n");
    match form {
        "sized" => {
            let length = BODY.len();
            format!("{start}Content-Length: {length}\r\n\r\n{BODY}")
        }
        "events" => format!("{start}Content-Type: text/event-stream\r\n\r\n{EVENT_BODY}"),
        "empty" => format!("{start}\r\n"),
        "length" => format!("{start}Content-Length: 100\r\n\r\n{BODY}"),
        "chunks" => {
            let length = BODY.len();
            format!("{start}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{BODY}\r\n")
        }
        "none" => String::new(),
        _ => format!("{start}Content-Type: text/plain\r\n\r\n{BODY}"),
    }
}

/// Returns the body of a sound answer of this form.
fn body(form: &str) -> &'static str {
    match form {
        "events" => EVENT_BODY,
        "empty" => "",
        _ => BODY,
    }
}

/// Answers as the request asks, and counts those answers.
fn respond(head: &Head, early: &AtomicUsize) -> raw::Answer {
    let id = head.field("request-id");
    let mut words = head.field(EARLY).split(' ');
    let (Some(form), Some(half), Some(end)) = (words.next(), words.next(), words.next()) else {
        return raw::Answer {
            bytes: answer("sized", id).into(),
            ..raw::Answer::default()
        };
    };
    early.fetch_add(1, Relaxed);
    let end = match end {
        "reset" => End::Reset,
        "unread" => End::Unread,
        "silent" => End::Silent,
        "slow" => End::Slow,
        _ => End::Close,
    };
    raw::Answer {
        bytes: answer(form, id).into(),
        half: half == "half",
        end,
    }
}

async fn server() -> (SocketAddr, Arc<AtomicUsize>) {
    let early = Arc::new(AtomicUsize::new(0));
    let count = early.clone();
    let address = raw::serve(move |head| respond(head, &count)).await;
    (address.expect("the server starts"), early)
}

/// The platform with one backend server behind one box, or behind the second of two.
struct Behind {
    cloud: Cloud,
    early: Arc<AtomicUsize>,
    sent: usize,
}

impl Behind {
    async fn start(regions: &[&str]) -> Self {
        let (address, early) = server().await;
        let mut cloud = Cloud::start().await;
        cloud.limits = LIMITS;
        cloud.add_boxes_before(address, regions).await;
        let sent = 0;
        Self { cloud, early, sent }
    }

    async fn send(&self, path: &str, id: &str, early: Option<&str>) -> Option<Answer> {
        let mut headers = vec![("host", HOST), ("request-id", id), ("deadline-ms", "60000")];
        headers.extend(early.map(|early| (EARLY, early)));
        let upload = early.map_or(0, |_| UPLOAD);
        let public = self.cloud.boxes[0].public;
        let answer = call(public, Method::POST, path, &headers, vec![b'u'; upload]);
        answer.await.ok()
    }

    /// Sends an upload that is answered like `early`; returns the answer if it looks whole.
    async fn upload(&mut self, path: &str, early: &str) -> Option<Answer> {
        eventually("a sound answer arrives", || async {
            let sound = self.send("/safe/x", "sound", None).await;
            sound.is_some_and(|sound| sound.body == BODY)
        })
        .await;
        self.sent += 1;
        let id = format!("0-{}", self.sent);
        let seen = self.early.load(Relaxed);
        let answer = self.send(path, &id, Some(early)).await;
        let arrived = self.early.load(Relaxed) > seen;
        assert!(arrived, "{path} {early}: the upload arrives");
        answer.filter(|answer| answer.whole && answer.status.is_success())
    }
}

const PLACES: [&[&str]; 2] = [&["atl"], &["mcn", "atl"]];

// Guards against a part of an answer without a length that reached callers as the whole: its server
// ended its side, and reset the connection while the upload was still being written.
#[tokio::test]
async fn reset_while_uploading_is_no_end() {
    let mut wrong = Vec::new();
    for regions in PLACES {
        let mut behind = Behind::start(regions).await;
        for form in ["text", "events", "empty", "length", "chunks"] {
            for (path, end) in ROUTES.iter().flat_map(|path| BROKEN.map(|end| (path, end))) {
                for _ in 0..TRIES {
                    let early = format!("{form} {end}");
                    let answer = behind.upload(path, &early).await;
                    wrong.extend(answer.map(|_| format!("{regions:?} {path} {early}")));
                }
            }
        }
    }
    assert_eq!(wrong, Vec::<String>::new(), "framed as whole");
}

// Guards against the same where the server leaves the connection open, and against a wait without an
// end for such a server.
#[tokio::test]
async fn unread_uploads_end_no_answer() {
    for regions in PLACES {
        let mut behind = Behind::start(regions).await;
        for form in ["text", "events"] {
            let begun = Instant::now();
            let early = format!("{form} {SILENT}");
            let answer = behind.upload("/once/x", &early).await;
            assert!(answer.is_none(), "{regions:?} {early}: framed as whole");
            assert!(begun.elapsed() < UNREAD_TIME, "{regions:?} {early}");
        }
    }
}

// Guards against answers that count as broken because they begin before the upload was read.
#[tokio::test]
async fn early_answers_of_servers_that_read_on_are_whole() {
    for regions in PLACES {
        let mut behind = Behind::start(regions).await;
        for form in ["text", "events"] {
            for (path, end) in ROUTES.iter().flat_map(|path| SOUND.map(|end| (path, end))) {
                let early = format!("{form} {end}");
                let answer = behind.upload(path, &early).await;
                let case = format!("{regions:?} {path} {early}");
                let answer = answer.unwrap_or_else(|| panic!("{case}: cut"));
                assert_eq!(answer.body, body(form), "{case}");
            }
        }
    }
}

// Guards against a broken answer that counts as whole, so that its server is never suspected.
#[tokio::test]
async fn reset_while_uploading_counts_as_broken() {
    let mut behind = Behind::start(&["atl"]).await;
    behind.upload("/once/x", "text half reset").await;
    let entry = &behind.cloud.boxes[0];
    eventually("the break is logged", || async {
        let log = entry.log.text();
        let lines: Vec<&str> = log.lines().filter(|l| l.contains("id=0-1 ")).collect();
        lines.iter().any(|l| l.contains("broken at=i-1"))
            && lines.iter().any(|l| l.contains("whole=false"))
    })
    .await;
}

/// The same over the gateway's own interface, where a broken answer must not be kept by its key.
#[tokio::test]
async fn reset_while_uploading_is_not_replayed() {
    let (address, early) = server().await;
    let lone = Lone::before(address, LIMITS).await;
    let entry = lone.process();
    let prefix = entry.key("").await;
    let mut sent = 0;
    for end in BROKEN.into_iter().chain([SILENT]).chain(SOUND) {
        eventually("a sound answer arrives", || async {
            lone.ordinary("sound").await.body == BODY
        })
        .await;
        sent += 1;
        let key = format!("{prefix}{sent}");
        let words = format!("text {end}");
        let headers = [
            ("x-api-key", API_KEY),
            ("idempotency-key", &key),
            (EARLY, &words),
        ];
        let upload = Bytes::from(vec![b'u'; UPLOAD]);
        for again in [false, true] {
            let answer = call(
                entry.public,
                Method::POST,
                "/booking/new",
                &headers,
                upload.clone(),
            );
            let answer = answer.await.ok();
            let whole = answer.filter(|answer| answer.whole && answer.status.is_success());
            let case = format!("{end} again={again}");
            assert_eq!(whole.is_some(), SOUND.contains(&end), "{case}");
            assert!(whole.is_none_or(|whole| whole.body == BODY), "{case}");
        }
        assert_eq!(early.load(Relaxed), sent, "{end}: the upload runs once");
    }
}

/// Sends an upload as calls to the store and to engines are sent, and reads its answer.
async fn ask(pool: &Arc<Pool>, address: SocketAddr, early: &str) -> Result<Option<Bytes>, Failure> {
    let request = Request::post("/v1/kv-txn").header(EARLY, early);
    let request = request.header("host", "a.example");
    let request = request.body(Full::new(Bytes::from(vec![b'u'; UPLOAD])));
    let request = request.expect("a request");
    let sent = pool.send(address, request, false, Distance::SameRegion);
    let (response, lease) = sent.await?;
    let body = response.into_body().collect().await;
    if body.is_ok() {
        lease.return_to_pool();
    }
    Ok(body.ok().map(|body| body.to_bytes()))
}

/// Asks a server of its own over a new connection.
async fn ask_once(early: &str) -> Result<Option<Bytes>, Failure> {
    let (address, _) = server().await;
    ask(&Arc::default(), address, early).await
}

// Guards against half an answer that calls to the store and to engines took for the whole.
#[tokio::test]
async fn calls_tell_resets_while_uploading_too() {
    for end in BROKEN.into_iter().chain([SILENT]) {
        for _ in 0..TRIES {
            let whole = ask_once(&format!("text {end}")).await.ok().flatten();
            assert_eq!(whole, None, "{end}");
        }
    }
    for end in SOUND {
        let whole = ask_once(&format!("text {end}")).await;
        assert_eq!(whole, Ok(Some(Bytes::from(BODY))), "{end}");
    }
}

// Guards against a wait for the rest of an upload whose server has ended its side without an answer.
#[tokio::test]
async fn servers_that_end_without_an_answer_fail_at_once() {
    for end in ["half silent", "half slow", "half unread"] {
        let begun = Instant::now();
        let answer = ask_once(&format!("none {end}")).await;
        assert_eq!(answer, Err(Failure::Broken), "{end}");
        assert!(begun.elapsed() < FAILURE_TIME, "{end}");
    }
}

// Guards against requests on a connection that its server has ended and that still holds an upload.
#[tokio::test]
async fn ended_connections_are_not_reused() {
    let (address, _) = server().await;
    let pool = Arc::default();
    for number in 0..TRIES {
        let begun = Instant::now();
        let answer = ask(&pool, address, &format!("sized {SILENT}")).await;
        assert_eq!(answer, Ok(Some(Bytes::from(BODY))), "{number}");
        assert!(begun.elapsed() < FAILURE_TIME, "{number}");
        sleep(ARRIVAL_TIME).await;
    }
}
