//! A backend server of the users' platform that misbehaves as each request asks it to.
//!
//! It writes bytes as they stand, since an HTTP library would not write what it must get wrong.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{runs::Runs, script::Script};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Events of a whole stream.
pub const EVENTS: u32 = 20;
/// The header by which a request says how it is to be answered.
pub const MODE: &str = "x-mode";
/// The mode in which the request's body is the [`Script`] of its answer.
pub const SCRIPTED: &str = "scripted";

/// How long a request that ends its server has run by then.
const CRASH_AFTER: Duration = Duration::from_millis(50);

/// How much later than its connections a server that ends slowly closes its port.
const PORT_LAG: Duration = Duration::from_millis(40);

/// How far the end of a server has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It runs.
    None,
    /// Its connections are closed, and its port is not yet.
    Connections,
    /// Nothing is left.
    Port,
}

/// A request as it came.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The first line.
    pub line: String,
    /// The headers, by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The backend server; clones share what was seen.
#[derive(Clone, Debug)]
pub struct Worker {
    name: String,
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    left: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicUsize>,
    /// When requests came.
    arrivals: Arc<Mutex<Vec<Instant>>>,
    /// What its answers say of itself: headers and their values.
    said: Arc<Mutex<BTreeMap<&'static str, String>>>,
    /// How it answers whatever a request asks for.
    always: Arc<Mutex<Option<String>>>,
    /// The streams that run here, and their copies.
    pub runs: Arc<Runs>,
    /// How far the end of the process has come.
    end: watch::Sender<End>,
}

impl Worker {
    /// Starts one on loopback.
    pub async fn start(name: &str) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let worker = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            seen: Arc::default(),
            left: Arc::default(),
            connections: Arc::default(),
            arrivals: Arc::default(),
            said: Arc::default(),
            always: Arc::default(),
            runs: Arc::default(),
            end: watch::Sender::new(End::None),
        };
        let served = worker.clone();
        tokio::spawn(async move {
            let mut end = served.end.subscribe();
            loop {
                let stream = tokio::select! {
                    Ok((stream, _)) = listener.accept() => stream,
                    _ = end.wait_for(|end| *end == End::Port) => return,
                };
                let worker = served.clone();
                worker.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    let mut end = worker.end.subscribe();
                    tokio::select! {
                        _ = worker.serve(stream) => {}
                        _ = end.wait_for(|end| *end != End::None) => {}
                    }
                });
            }
        });
        Ok(worker)
    }

    /// The requests that came with this id.
    pub fn seen(&self, id: &str) -> Vec<Seen> {
        let seen = self.seen.lock().expect("the lock is never poisoned");
        let same = |s: &&Seen| s.headers.get("request-id").is_some_and(|i| i == id);
        seen.iter().filter(same).cloned().collect()
    }

    /// The ids of requests whose connection was closed while they ran.
    pub fn left(&self) -> Vec<String> {
        self.left
            .lock()
            .expect("the lock is never poisoned")
            .clone()
    }

    /// When requests came.
    pub fn arrivals(&self) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().expect("the lock is never poisoned");
        arrivals.clone()
    }

    /// Its answers say from now on that it takes so many requests a second, or nothing.
    pub fn name_limit(&self, limit: Option<&str>) {
        self.say("Server-Limit", limit);
    }

    /// Its answers bear this header from now on, or no longer.
    pub fn say(&self, header: &'static str, value: Option<&str>) {
        let mut said = self.said.lock().expect("the lock is never poisoned");
        match value {
            Some(value) => said.insert(header, value.to_owned()),
            None => said.remove(header),
        };
    }

    /// It answers in `mode` from now on, whatever a request asks for.
    pub fn answer_always(&self, mode: &str) {
        let mut always = self.always.lock().expect("the lock is never poisoned");
        *always = Some(mode.to_owned());
    }

    fn said_lines(&self) -> String {
        let said = self.said.lock().expect("the lock is never poisoned");
        let lines = said
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        lines.collect()
    }

    /// Whether a request has ended it: nothing listens any more, and all its connections are closed.
    pub fn has_ended(&self) -> bool {
        *self.end.borrow() == End::Port
    }

    /// Connections that were opened to it so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = Vec::new();
        while let Some((mut request, length)) = read_head(&mut stream, &mut buffer).await? {
            let early = request
                .headers
                .get(MODE)
                .is_some_and(|mode| mode == "early");
            if early {
                // Before the body is in; the connection stays, and the rest is read after it.
                let id = request
                    .headers
                    .get("request-id")
                    .cloned()
                    .unwrap_or_default();
                self.answer(&mut stream, &id, "full", 0).await?;
            }
            if !read_body(&mut stream, &mut buffer, length, &mut request).await? {
                return Ok(());
            }
            if early {
                self.note(request);
                continue;
            }
            if let Some(answer) = self.runs.call(self.address, &request).await {
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            let id = request.headers.get("request-id").cloned();
            let always = self
                .always
                .lock()
                .expect("the lock is never poisoned")
                .clone();
            let asked = request.headers.get(MODE).cloned();
            let mode = always.or(asked).unwrap_or_default();
            let last = request.headers.get("last-event-id");
            let last: u32 = last.and_then(|l| l.parse().ok()).unwrap_or(0);
            let mine = request.headers.get("target-instance") == Some(&self.name);
            let admitted = self.runs.admit(self.address, &request.headers);
            // Whoever goes on with a stream brings the rest of it as usual.
            let scripted = mine && admitted && mode == SCRIPTED && last == 0;
            let script: Option<Script> = scripted
                .then(|| serde_json::from_slice(&request.body).ok())
                .flatten();
            self.note(request);
            let id = id.unwrap_or_default();
            if let Some(script) = script {
                let said = self.said_lines();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{said}Response-Signature: signed\r\n"
                );
                return script.play(stream, &head).await;
            }
            let mode = match (mine, admitted) {
                (false, _) => "replaced",
                (true, false) => "full",
                (true, true) => mode.as_str(),
            };
            if !self.answer(&mut stream, &id, mode, last).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn note(&self, request: Seen) {
        let mut arrivals = self.arrivals.lock().expect("the lock is never poisoned");
        arrivals.push(Instant::now());
        let mut seen = self.seen.lock().expect("the lock is never poisoned");
        seen.push(request);
    }

    /// Answers one request; false where the connection ends with it.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        id: &str,
        mode: &str,
        last: u32,
    ) -> std::io::Result<bool> {
        let said = self.said_lines();
        let head = |status: &str, more: &str| {
            format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{said}{more}")
        };
        let signed = "Response-Signature: signed\r\n";
        let body = format!("{}:{id}", self.name);
        let length = format!("Content-Length: {}\r\n\r\n", body.len());
        let good = head("200 OK", signed) + &length + &body;
        let (bytes, stays) = match mode {
            "full" => (
                head("503 Full", "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
                true,
            ),
            "promise" => (head("503 Hm", signed) + &length + &body, true),
            "error" => (head("500 Error", signed) + &length + &body, true),
            // Made before whoever names the limit has seen it.
            "bare-error" => (
                format!("HTTP/1.1 500 Error\r\nRequest-Id: {id}\r\n{signed}{length}{body}"),
                true,
            ),
            "unsigned" => (head("200 OK", "") + &length + &body, true),
            "replaced" => (
                "HTTP/1.1 421 Other\r\nServed-By: x\r\nContent-Length: 0\r\n\r\n".to_owned(),
                true,
            ),
            "other" => (
                good.replace(&format!("Request-Id: {id}"), "Request-Id: other"),
                true,
            ),
            "surplus" => (good.clone() + &good.replace(id, "surplus"), true),
            "unframed" => (head("200 OK", signed) + "\r\n" + &body, false),
            "bodiless" => (
                good.replace("200 OK", "204 No Content")
                    .replace(&(length.clone() + &body), "\r\n"),
                true,
            ),
            "cut" => (good[..good.len() - 2].to_owned(), false),
            "garbage" => ("%%% no protocol %%%\r\n\r\n".to_owned(), false),
            "lost" => (String::new(), false),
            mode if mode.starts_with("stream-after-") => {
                let wait = mode.rsplit('-').next().and_then(|ms| ms.parse().ok());
                sleep(Duration::from_millis(wait.unwrap_or_default())).await;
                return self
                    .stream(stream, id, &head("200 OK", signed), last, EVENTS)
                    .await;
            }
            "stream" | "break" | SCRIPTED => {
                let end = if mode == "break" && last == 0 {
                    5
                } else {
                    EVENTS
                };
                return self
                    .stream(stream, id, &head("200 OK", signed), last, end)
                    .await;
            }
            "crash" | "crash-slowly" => {
                let start = head("200 OK", signed) + "Transfer-Encoding: chunked\r\n\r\n";
                stream.write_all(start.as_bytes()).await?;
                sleep(CRASH_AFTER).await;
                let end = self.end.clone();
                if mode == "crash-slowly" {
                    end.send_replace(End::Connections);
                    tokio::spawn(async move {
                        sleep(PORT_LAG).await;
                        end.send_replace(End::Port);
                    });
                } else {
                    end.send_replace(End::Port);
                }
                return Ok(false);
            }
            "silent" => return self.wait(stream, id).await,
            "slow" => {
                sleep(Duration::from_millis(400)).await;
                (good, true)
            }
            _ => (good, true),
        };
        stream.write_all(bytes.as_bytes()).await?;
        Ok(stays)
    }

    /// Streams the events after `last` until the other side leaves or all are sent; fewer than all
    /// end within an event, and with the connection.
    async fn stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        head: &str,
        last: u32,
        end: u32,
    ) -> std::io::Result<bool> {
        let start =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        stream.write_all(start.as_bytes()).await?;
        let run = self.runs.begin(id);
        for number in last + 1..=end {
            if run.is_stopped() {
                return Ok(false);
            }
            let event = format!("id: {number}\ndata: {}\n\n", self.name);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                self.note_left(id);
                return Ok(false);
            }
            run.made(number);
            sleep(Duration::from_millis(50)).await;
        }
        if end < EVENTS {
            let half = format!("id: {}\nda", end + 1);
            let chunk = format!("{:x}\r\n{half}\r\n", half.len());
            stream.write_all(chunk.as_bytes()).await?;
            return Ok(false);
        }
        stream.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }

    /// Runs until the other side leaves.
    async fn wait(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<bool> {
        let mut byte = [0; 1];
        if !matches!(stream.read(&mut byte).await, Ok(n) if n > 0) {
            self.note_left(id);
        }
        Ok(false)
    }

    fn note_left(&self, id: &str) {
        let mut left = self.left.lock().expect("the lock is never poisoned");
        left.push(id.to_owned());
    }
}

/// Reads the head of a request and the length of its body; none at the end of the connection.
async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<(Seen, usize)>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length");
    let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
    let seen = Seen {
        line,
        headers,
        body: Vec::new(),
    };
    Ok(Some((seen, length)))
}

/// Reads the body of a request; false at the end of the connection.
async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
    request: &mut Seen,
) -> std::io::Result<bool> {
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(false);
        }
    }
    request.body = buffer.drain(..length).collect();
    Ok(true)
}
