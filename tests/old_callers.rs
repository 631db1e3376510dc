//! Callers that speak HTTP/1.0, to whom the close of their connection ends an answer without a length.

mod harness;

use std::{io, net::SocketAddr, time::Duration};

use harness::{
    API_KEY, BoxProcess,
    clients::Lone,
    cloud::{Cloud, HOST},
    eventually,
};
use nix::sys::signal::Signal;
use petreldrum_standin::raw::{self, End, Head};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Request header with the form of the answer and the end of the connection.
const FORM: &str = "x-form";
const BODY: &str = "all of the answer's body";
/// Number of times that a long answer repeats the body: more than a box and the kernel hold.
const LONG: usize = 1 << 19;
const EVENT_BODY: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// Time in which an answer ends.
const ANSWER_TIME: Duration = Duration::from_secs(10);
/// Time in which the start of an answer reaches its caller.
const BEGIN_TIME: Duration = Duration::from_millis(300);

/// Answers that end before they are complete.
const BROKEN: [&str; 6] = [
    "text reset",
    "events reset",
    "cut-events close",
    "chunks close",
    "chunks reset",
    "short close",
];
const SOUND: [&str; 4] = [
    "text close",
    "events close",
    "whole-chunks keep",
    "sized keep",
];
const ROUTES: [&str; 2] = ["/once/x", "/safe/x"];
const PLACES: [&[&str]; 2] = [&["atl"], &["mcn", "atl"]];

fn respond(head: &Head) -> raw::Answer {
    let id = head.field("request-id");
    let start = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: signed\r\n");
    let (form, end) = head.field(FORM).split_once(' ').unwrap_or_default();
    let (length, short) = (BODY.len(), BODY.len() + 1);
    let chunk = format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{BODY}\r\n");
    let events = "Content-Type: text/event-stream\r\n\r\n";
    let rest = match form {
        "text" => format!("\r\n{BODY}"),
        "events" => format!("{events}{EVENT_BODY}"),
        "cut-events" => format!("{events}{EVENT_BODY}id: 3"),
        "chunks" => chunk,
        "whole-chunks" => format!("{chunk}0\r\n\r\n"),
        "long" => format!("\r\n{}", BODY.repeat(LONG)),
        "short" => format!("Content-Length: {short}\r\n\r\n{BODY}"),
        _ => format!("Content-Length: {length}\r\n\r\n{BODY}"),
    };
    raw::Answer {
        bytes: (start + &rest).into(),
        half: false,
        end: match end {
            "close" => End::Close,
            "reset" => End::LateReset,
            "silent" => End::Silent,
            _ => End::Keep,
        },
    }
}

async fn connect(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the box listens");
    let mut head = format!("POST {path} HTTP/1.0\r\nContent-Length: 0\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the box reads");
    stream
}

/// Returns the body of an answer that looks whole to its caller.
async fn read(mut stream: TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let ended: io::Result<usize> = timeout(ANSWER_TIME, stream.read_to_end(&mut bytes))
        .await
        .expect("the answer ends");
    ended.ok()?;
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let body = bytes.split_off(end);
    let head = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let length = length.map_or(body.len(), |length| length.parse().unwrap_or(usize::MAX));
    (head.contains(" 200 ") && body.len() == length).then_some(body)
}

async fn cloud(regions: &[&str]) -> Cloud {
    let address = raw::serve(respond).await.expect("the server starts");
    let mut cloud = Cloud::start().await;
    cloud.add_boxes_before(address, regions).await;
    cloud
}

/// Sends a request over HTTP/1.0 whose answer has this form.
async fn ask(cloud: &Cloud, path: &str, id: &str, form: &str) -> TcpStream {
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Ms", "4000"),
        (FORM, form),
    ];
    connect(cloud.boxes[0].public, path, &headers).await
}

async fn served(cloud: &Cloud) {
    eventually("a sound answer arrives", || async {
        let stream = ask(cloud, "/safe/x", "sound", "sized keep").await;
        read(stream)
            .await
            .is_some_and(|body| body == BODY.as_bytes())
    })
    .await;
}

fn body(form: &str) -> &'static str {
    match form.starts_with("events") {
        true => EVENT_BODY,
        false => BODY,
    }
}

// Guards against broken answers that end with an ordinary close, which such callers take for their
// end.
#[tokio::test]
async fn broken_answers_are_reset() {
    let mut wrong = Vec::new();
    for regions in PLACES {
        let cloud = cloud(regions).await;
        for path in ROUTES {
            for form in BROKEN {
                served(&cloud).await;
                let answer = read(ask(&cloud, path, "broken", form).await).await;
                wrong.extend(answer.map(|_| format!("{regions:?} {path} {form}")));
            }
        }
    }
    assert_eq!(wrong, Vec::<String>::new(), "look whole");
}

// Guards against whole answers that such callers lose.
#[tokio::test]
async fn whole_answers_are_whole() {
    for regions in PLACES {
        let cloud = cloud(regions).await;
        for path in ROUTES {
            for form in SOUND {
                served(&cloud).await;
                let answer = read(ask(&cloud, path, "sound", form).await).await;
                let case = format!("{regions:?} {path} {form}");
                assert_eq!(answer.as_deref(), Some(body(form).as_bytes()), "{case}");
            }
        }
    }
}

// Guards against a reset that discards the end of a whole answer whose caller reads late.
#[tokio::test]
async fn long_answers_are_whole() {
    let cloud = cloud(&["atl"]).await;
    served(&cloud).await;
    let stream = ask(&cloud, "/once/x", "long", "long close").await;
    sleep(BEGIN_TIME).await;
    let answer = read(stream).await.expect("a whole answer");
    assert_eq!(answer.len(), BODY.len() * LONG);
}

// Guards against half an answer that looks whole because its box was killed.
#[tokio::test]
async fn answers_of_killed_boxes_are_reset() {
    let cloud = cloud(&["atl"]).await;
    served(&cloud).await;
    let stream = ask(&cloud, "/once/x", "killed", "chunks silent").await;
    sleep(BEGIN_TIME).await;
    cloud.boxes[0].signal(Signal::SIGKILL);
    assert_eq!(read(stream).await, None, "half an answer looks whole");
}

/// Sends a request over HTTP/1.0 through the gateway's own interface.
async fn book(entry: &BoxProcess, path: &str, key: &str, form: &str) -> Option<Vec<u8>> {
    let headers = [
        ("Host", "a"),
        ("x-api-key", API_KEY),
        ("idempotency-key", key),
        (FORM, form),
    ];
    read(connect(entry.public, path, &headers).await).await
}

/// The same over the gateway's own interface, also for answers that are kept by a key.
#[tokio::test]
async fn broken_answers_are_reset_on_our_own_interface() {
    let address = raw::serve(respond).await.expect("the server starts");
    let lone = Lone::before(address, "").await;
    let entry = lone.process();
    let prefix = entry.key("").await;
    let mut cases = 0;
    for path in ["/slots/x", "/booking/new"] {
        for form in BROKEN.into_iter().chain(SOUND) {
            eventually("a sound answer arrives", || {
                cases += 1;
                let key = format!("{prefix}{cases}");
                async move { book(entry, "/slots/x", &key, "sized keep").await.is_some() }
            })
            .await;
            let key = format!("{prefix}{form}").replace(' ', "-");
            let answer = book(entry, path, &key, form).await;
            let whole = SOUND.contains(&form).then(|| body(form).as_bytes());
            assert_eq!(answer.as_deref(), whole, "{path} {form}");
        }
    }
}
