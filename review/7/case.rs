//! A version of the configuration takes an API key away and adds a customer whose name has a blank.

#[path = "../lib-2/mod.rs"]
mod lib;

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use lib::{answer, ask, entry, finish, free_address, serve, Gateway, Place, Record, Store, Temp};

/// `configApplyMs`.
const APPLY_S: f64 = 5.0;
/// How long requests are sent after that.
const AFTER_S: f64 = 6.0;

/// Returns a configuration of one route and these customers.
fn config(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-a","host":"svc.example","pathPrefix":"/a/","kind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"service":"app","maxAttempts":1,"sticky":false,"resumable":false,"homeRegions":[],"public":false}}],"services":[{{"name":"app","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}}],"tenants":[{tenants}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// What a server ran: when, and the text of the body, which names the client's key.
type Runs = Arc<Mutex<Vec<(f64, String)>>>;

fn server(id: &'static str, address: SocketAddr, record: &Record) -> Runs {
    let runs = Runs::default();
    let (seen, record) = (runs.clone(), record.clone());
    let listener = TcpListener::bind(address).expect("a server's address");
    serve(listener, move |stream, request| {
        if request.target() == "/health" {
            return answer(stream, "200 OK", &format!("Served-By: {id}\r\n"), b"");
        }
        let number = request.header("request-id").unwrap_or_default().to_owned();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let tenant = request.header("tenant").unwrap_or("none");
        record.line(&format!(
            "server {id} runs {number} {body} for tenant {tenant:?}"
        ));
        seen.lock().unwrap().push((record.now(), body));
        let headers = format!("Request-Id: {number}\r\nResponse-Signature: {id}.{number}\r\n");
        answer(stream, "200 OK", &headers, b"done")
    });
    runs
}

/// Sends one request with `key`; returns the status of its answer.
fn send(record: &Record, public: SocketAddr, key: &str) -> u16 {
    let id = lib::request_id();
    let text = format!(
        "POST /a/x HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2500\r\n\
         Authorization: Bearer {key}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{key}",
        lib::HOST,
        key.len()
    );
    let got = ask(public, text.as_bytes(), Duration::from_secs(3), |_| {});
    let status = got.map_or(0, |answer| answer.status());
    record.line(&format!("client sent {id} with {key}: {status}"));
    status
}

fn run(record: &Record) -> i32 {
    let temp = Temp::new();
    let address = free_address();
    let store = Store::start(address, record);
    let first = config(7, r#"{"name":"t-perth","apiKeys":["key-one","key-two"]}"#);
    store.put("op/config", Some(&first));
    let at = free_address();
    let runs = server("i-x1", at, record);
    store.put("servers/i-x1", Some(&entry("app", at, "z-a", 6, "ready")));
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
            domains: "z-a/north",
            advertised: None,
        },
    );
    if !gateway.wait_ready(Duration::from_secs(5)) {
        return finish(record, 2, "the machine is not ready in time");
    }
    let before = [
        send(record, gateway.public, "key-one"),
        send(record, gateway.public, "key-two"),
    ];
    if before != [200, 200] {
        return finish(record, 2, "the first configuration is not served");
    }
    // The machine is in touch: `contactMs` after its start.
    thread::sleep(Duration::from_millis(6500));

    let name = if lib::trouble() {
        "Bunbury Hospital"
    } else {
        "t-bunbury"
    };
    let tenants = format!(
        r#"{{"name":"t-perth","apiKeys":["key-one"]}},{{"name":"{name}","apiKeys":["key-three"]}}"#
    );
    let revision = store.put("op/config", Some(&config(12, &tenants)));
    let acknowledged = record.now();
    record.line(&format!(
        "the store acknowledges version 12 at revision {revision}: key-two is gone, {name:?} is new"
    ));
    let due = acknowledged + APPLY_S;
    let (mut revoked, mut refused) = (0, 0);
    while record.now() < due + AFTER_S {
        let late = record.now() > due + 0.1;
        let statuses =
            ["key-one", "key-two", "key-three"].map(|key| send(record, gateway.public, key));
        if late {
            revoked += u32::from(statuses[1] == 200);
            refused += u32::from(statuses[2] == 401);
        }
        thread::sleep(Duration::from_millis(100));
    }
    if !gateway.is_running() {
        return finish(record, 2, "the machine ended");
    }
    let ran = runs.lock().unwrap();
    let ran = ran
        .iter()
        .filter(|(at, key)| *at > due + 0.2 && key == "key-two")
        .count();
    let text = format!(
        "over {APPLY_S} s after version 12: {ran} requests ran with the key that was taken away \
         ({revoked} answered 200), {refused} with the new key got 401"
    );
    finish(record, i32::from(ran > 0 || refused > 0), &text)
}

fn main() {
    let record = Record::create();
    std::process::exit(run(&record));
}
