//! A machine starts while a server drains, and the store answers the second page of its stale list
//! from an older moment than the first page.

#[path = "../lib-2/mod.rs"]
mod lib;

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use lib::{answer, ask, entry, finish, free_address, serve, Gateway, Place, Record, Store, Temp};

/// `contactMs`, `drainMs` and what a draining server stays beyond it ("at times many seconds").
const CONTACT_S: f64 = 5.0;
const DRAIN_S: f64 = 3.0;
const STAY_S: f64 = 8.0;
/// Clients that send at the same time.
const CLIENTS: usize = 12;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-a","host":"svc.example","pathPrefix":"/a/","kind":"non_idempotent","timeoutMs":1200,"targetLatencyMs":400,"priority":2,"service":"app","maxAttempts":1,"sticky":false,"resumable":false,"homeRegions":[]}],"services":[{"name":"app","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false},{"name":"far","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":10000,"idleTimeoutMs":30000}}"#;

type Arrivals = Arc<Mutex<Vec<(f64, String)>>>;

/// A server that runs each request for 60 ms.
fn server(id: &'static str, address: SocketAddr, record: &Record) -> Arrivals {
    let arrivals = Arrivals::default();
    let (seen, record) = (arrivals.clone(), record.clone());
    let listener = TcpListener::bind(address).expect("a server's address");
    serve(listener, move |stream, request| {
        if request.target() == "/health" {
            return answer(stream, "200 OK", &format!("Served-By: {id}\r\n"), b"");
        }
        let number = request.header("request-id").unwrap_or_default().to_owned();
        if request.header("target-instance") != Some(id) {
            let headers = format!("Request-Id: {number}\r\nNot-Executed: 1\r\n");
            return answer(stream, "421 Misdirected Request", &headers, b"");
        }
        record.line(&format!("server {id} runs {number}"));
        seen.lock().unwrap().push((record.now(), number.clone()));
        thread::sleep(Duration::from_millis(60));
        let headers = format!("Request-Id: {number}\r\nResponse-Signature: {id}.{number}\r\n");
        answer(stream, "200 OK", &headers, id.as_bytes())
    });
    arrivals
}

/// Sends one request of a client.
fn book(record: &Record, public: SocketAddr) {
    let id = lib::request_id();
    let text = format!(
        "POST /a/x HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2500\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\nbook",
        lib::HOST
    );
    let got = ask(public, text.as_bytes(), Duration::from_secs(3), |_| {});
    let got = got.map_or_else(|error| error.to_string(), |answer| answer.first.clone());
    record.line(&format!("client sent {id}: {got}"));
}

fn run(record: &Record) -> i32 {
    let temp = Temp::new();
    let address = free_address();
    let store = Store::start(address, record);
    store.put("op/config", Some(CONFIG));
    // A region of 510 servers, whose entries fill the first page of the list.
    for number in 0..510 {
        let far: SocketAddr = format!("127.0.2.1:{}", 20_000 + number).parse().unwrap();
        let text = entry("far", far, "z-b", 8, "ready");
        store.put(&format!("servers/i-{number:04}"), Some(&text));
    }
    let (first, second) = (free_address(), free_address());
    let leaving = server("i-x1", first, record);
    let staying = server("i-x2", second, record);
    store.put(
        "servers/i-x1",
        Some(&entry("app", first, "z-a", 6, "ready")),
    );
    store.put(
        "servers/i-x2",
        Some(&entry("app", second, "z-a", 6, "ready")),
    );
    thread::sleep(Duration::from_millis(3500));

    let revision = store.put(
        "servers/i-x1",
        Some(&entry("app", first, "z-a", 6, "draining")),
    );
    let acknowledged = record.now();
    record.line(&format!(
        "the store acknowledges at revision {revision} that i-x1 drains"
    ));
    // Stale reads are 3 s old in both cases; with the trouble, first pages are not old.
    let old = Duration::from_secs(3);
    store.set_lag(if lib::trouble() {
        (Duration::ZERO, old)
    } else {
        (old, old)
    });
    thread::sleep(Duration::from_millis(500));

    let gossip = free_address();
    let mut gateway = Gateway::start(
        &temp,
        &Place {
            name: "edge-1",
            region: "north",
            zone: "z-a",
            store: address,
            seeds: &gossip.to_string(),
            gossip,
            domains: "z-a/north,z-b/south",
            advertised: None,
        },
    );
    let started = record.now();
    record.line("the machine starts");
    if !gateway.wait_ready(Duration::from_secs(5)) {
        return finish(record, 2, "the machine is not ready in time");
    }
    record.line("the machine is ready");
    let until = acknowledged + DRAIN_S + STAY_S;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, public) = (record.clone(), gateway.public);
            thread::spawn(move || {
                while record.now() < until {
                    book(&record, public);
                    thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    store.put("servers/i-x1", None);
    record.line("i-x1 has left");
    if !gateway.is_running() {
        return finish(record, 2, "the machine ended");
    }
    // The machine is in touch once it has run for `contactMs` without a start.
    let from = (acknowledged + DRAIN_S).max(started + CONTACT_S + 0.5);
    let late = leaving
        .lock()
        .unwrap()
        .iter()
        .filter(|(at, _)| *at > from)
        .count();
    let all = leaving.lock().unwrap().len();
    let others = staying.lock().unwrap().len();
    if others == 0 {
        return finish(record, 2, "the staying server got nothing");
    }
    let text = format!(
        "i-x1 got {all} requests, {late} of them over {DRAIN_S} s after its notice was acknowledged \
         from a machine in touch; i-x2 got {others}"
    );
    finish(record, i32::from(late > 0), &text)
}

fn main() {
    let record = Record::create();
    std::process::exit(run(&record));
}
