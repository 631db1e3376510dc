//! Answers of backend servers in whose head the name of a field is not one.

mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
};

use harness::{
    API_KEY,
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

const BODY: &str = "all of the answer's body";
/// Request header of requests that are answered in the form under test.
const ODD: &str = "x-odd";
const ROUTES: [&str; 3] = ["/safe/x", "/once/x", "/stream/x"];

/// Bytes that no name of a field holds (RFC 9110, section 5.6.2): control bytes, blanks, separators and
/// what is no ASCII.
const BYTES: [u8; 17] = [
    0, 1, 7, 8, b'\t', 0x0b, 0x0c, b'\r', 0x1b, 0x1f, b' ', 0x7f, 0x80, 0xa0, b'(', b'/', b'"',
];
/// Names into which such a byte is put.
const NAMES: [&str; 3] = ["X-Note", "Content-Length", "Transfer-Encoding"];

/// Where the byte stands in the name.
const POSITIONS: [&str; 3] = ["start", "middle", "end"];

/// A head that no sound server sends.
#[derive(Clone, Debug)]
struct Case {
    line: Vec<u8>,
    /// Whether the line stands before the other fields.
    first: bool,
    framing: &'static str,
}

/// Returns the line of a field with `byte` in its name.
fn line(name: &str, byte: u8, position: &str) -> Vec<u8> {
    let at = match position {
        "start" => 0,
        "middle" => name.len() / 2,
        _ => name.len(),
    };
    let value = if name == "Transfer-Encoding" {
        "chunked"
    } else {
        "29"
    };
    let mut line = name.as_bytes().to_vec();
    line.insert(at, byte);
    line.extend_from_slice(format!(": {value}\r\n").as_bytes());
    line
}

fn cases() -> Vec<Case> {
    let mut lines = Vec::new();
    for name in NAMES {
        for byte in BYTES {
            lines.extend(POSITIONS.map(|position| line(name, byte, position)));
        }
    }
    lines.extend([
        b"X-Note\r\n".to_vec(),
        b": 29\r\n".to_vec(),
        b" X-Note: 29\r\n".to_vec(),
    ]);
    let mut cases = Vec::new();
    for (number, line) in lines.into_iter().enumerate() {
        for (form, framing) in ["length", "chunks", "close"].into_iter().enumerate() {
            // Each line stands in both places, with one framing or another.
            let first = (number + form) % 2 == 0;
            cases.push(Case {
                line: line.clone(),
                first,
                framing,
            });
        }
    }
    cases
}

/// Returns an answer with this body and the odd line of `case`.
fn answer(id: &str, body: &str, case: Option<&Case>) -> Vec<u8> {
    let own = format!("Request-Id: {id}\r\nResponse-Signature: signed\r\n");
    let length = body.len();
    let (framing, body) = match case.map(|case| case.framing) {
        Some("chunks") => {
            let chunks = format!("{length:x}\r\n{body}\r\n0\r\n\r\n");
            ("Transfer-Encoding: chunked\r\n".to_owned(), chunks)
        }
        Some("close") => (String::new(), body.to_owned()),
        _ => (format!("Content-Length: {length}\r\n"), body.to_owned()),
    };
    let odd = case.map_or(&[][..], |case| &case.line);
    let (before, after) = match case.is_some_and(|case| case.first) {
        true => (odd, &[][..]),
        false => (&[][..], odd),
    };
    let own = own + &framing;
    [
        b"HTTP/1.1 200 OK\r\n",
        before,
        own.as_bytes(),
        after,
        b"\r\n",
        body.as_bytes(),
    ]
    .concat()
}

/// A backend server that answers odd requests with the case that is set.
#[derive(Clone, Default)]
struct Server {
    case: Arc<Mutex<Option<Case>>>,
    odd: Arc<AtomicUsize>,
}

impl Server {
    async fn start(&self) -> SocketAddr {
        let server = self.clone();
        let address = raw::serve(move |head| server.respond(head)).await;
        address.expect("the server starts")
    }

    fn respond(&self, head: &Head) -> raw::Answer {
        let case = self
            .case
            .lock()
            .expect("the lock is never poisoned")
            .clone();
        let case = case.filter(|_| !head.field(ODD).is_empty());
        self.odd.fetch_add(usize::from(case.is_some()), Relaxed);
        raw::Answer {
            bytes: answer(head.field("request-id"), BODY, case.as_ref()),
            half: false,
            end: End::Close,
        }
    }

    fn set(&self, case: &Case) {
        *self.case.lock().expect("the lock is never poisoned") = Some(case.clone());
    }
}

/// Returns what is wrong with the answer to an odd answer: it must be an error of the box's own.
fn fault(answer: eyre::Result<Answer>) -> Option<String> {
    match answer {
        Ok(answer)
            if answer.status == 502 && answer.whole && !answer.headers.contains_key("x-note") =>
        {
            None
        }
        other => Some(format!("{other:?}")),
    }
}

/// Sends a request whose body differs from that of all others.
async fn ask(cloud: &Cloud, path: &str, odd: &str) -> eyre::Result<Answer> {
    static SENT: AtomicUsize = AtomicUsize::new(0);
    let body = SENT.fetch_add(1, Relaxed).to_string();
    let headers = [
        ("host", HOST),
        ("request-id", "one"),
        ("deadline-ms", "4000"),
        (ODD, odd),
    ];
    call(cloud.boxes[0].public, Method::POST, path, &headers, body).await
}

/// Asserts that the boxes of `regions` pass on none of the cases, and serve the requests beside them.
async fn assert_no_answers(regions: &[&str]) {
    let server = Server::default();
    let mut cloud = Cloud::start().await;
    cloud.add_boxes_before(server.start().await, regions).await;
    let mut wrong = Vec::new();
    for (number, case) in cases().iter().enumerate() {
        eventually("a sound answer arrives", || async {
            let sound = ask(&cloud, "/safe/x", "").await;
            sound.is_ok_and(|sound| sound.whole && sound.body == BODY)
        })
        .await;
        server.set(case);
        let path = ROUTES[number % ROUTES.len()];
        let sent = server.odd.load(Relaxed);
        let answer = ask(&cloud, path, "yes").await;
        wrong.extend(fault(answer).map(|fault| format!("{path} {case:?}: {fault}")));
        assert!(server.odd.load(Relaxed) > sent, "{case:?} was sent");
    }
    assert_eq!(wrong, Vec::<String>::new());
}

/// Heads with a blank or a control byte in the name of a field are no answers, and the next answer
/// is sound.
#[tokio::test]
async fn odd_names_are_no_answers() {
    assert_no_answers(&["atl"]).await;
}

/// The same over another box.
#[tokio::test]
async fn odd_names_are_no_answers_over_a_relay() {
    assert_no_answers(&["mcn", "atl"]).await;
}

/// The same over the gateway's own interface.
#[tokio::test]
async fn odd_names_are_no_answers_on_our_own_interface() {
    let server = Server::default();
    let lone = Lone::before(server.start().await, "").await;
    let entry = lone.process();
    let prefix = entry.key("").await;
    for (number, case) in cases().iter().enumerate() {
        eventually("a sound answer arrives", || async {
            lone.ordinary("sound").await.body == BODY
        })
        .await;
        server.set(case);
        let key = format!("{prefix}{number}");
        let headers = [
            ("x-api-key", API_KEY),
            ("idempotency-key", &key),
            (ODD, "yes"),
        ];
        let sent = server.odd.load(Relaxed);
        let answer = call(entry.public, Method::POST, "/booking/new", &headers, "").await;
        assert_eq!(fault(answer), None, "{case:?}");
        assert!(server.odd.load(Relaxed) > sent, "{case:?} was sent");
    }
}

/// The same in answers to calls to the store and to engines.
#[tokio::test]
async fn odd_names_are_no_answers_to_calls() {
    let list = r#"{"epoch":1,"nextPageToken":2,"held":[["","a",5,"m"]]}"#;
    let page = r#"{"items":[],"truncated":false,"asOf":3}"#;
    let pool: Arc<Pool> = Arc::default();
    let serve = async |content: &'static str, case: Option<Case>| {
        let address = raw::serve(move |_| raw::Answer {
            bytes: answer("", content, case.as_ref()),
            half: false,
            end: End::Close,
        });
        address.await.expect("the server starts")
    };
    for case in cases().into_iter().map(Some).chain([None]) {
        let is_sound = case.is_none();
        let engine = serve(list, case.clone()).await;
        let listed = engine::list_cached(&pool, engine).await;
        assert_eq!(listed.is_ok(), is_sound, "{case:?}: {listed:?}");
        let client = store::Client::new(serve(page, case.clone()).await, pool.clone());
        let listing = client.range("", store::Freshness::Stale).await;
        assert_eq!(listing.is_ok(), is_sound, "{case:?}: {listing:?}");
    }
}
