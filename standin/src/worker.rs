//! Stand-in for a backend server of the users' platform; each request selects how it is answered,
//! including malformed answers.
//!
//! Answers are written as raw bytes, since an HTTP library would not produce malformed ones.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    runs::{Reply, Runs},
    script::Script,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Number of events in a complete stream.
pub const EVENTS: u32 = 20;
/// Request header that selects the answer mode.
pub const MODE: &str = "x-mode";
/// The mode in which the request body is the [`Script`] of the answer.
pub const SCRIPTED: &str = "scripted";
/// The mode in which nothing is sent. If it is forced, streams in progress fall silent too; all
/// connections stay open.
pub const SILENT: &str = "silent";
/// The mode in which the answer is a stream with neither a length nor chunks, which ends with its
/// connection.
pub const UNFRAMED_STREAM: &str = "stream-unframed";

/// The mode in which the answer is a stream with a length, whose last event comes in two parts.
pub const SIZED_STREAM: &str = "stream-sized";

/// Size of the answer in mode `long`: more than the buffers of a connection hold.
pub const LONG_ANSWER_BYTES: usize = 8 << 20;
/// Beginning of the request line of a liveness check.
const LIVENESS_CHECK: &str = "GET /health ";
/// Time that a request runs before it crashes its server.
const CRASH_AFTER: Duration = Duration::from_millis(50);

/// Time before the rejection in mode `slow-full`.
const SLOW_REJECTION: Duration = Duration::from_millis(400);

/// Pause after each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Delay between closing the connections and closing the port in mode `crash-slowly`.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(40);

/// Shutdown phase of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shutdown {
    /// The server runs.
    Running,
    /// The connections are closed; the port is still open.
    ConnectionsClosed,
    /// The connections and the port are closed.
    PortClosed,
}

/// A received request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The request line.
    pub line: String,
    /// The headers, with lower-case names.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The backend server; clones share their state.
#[derive(Clone, Debug)]
pub struct Worker {
    name: String,
    /// Address on which the server listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    /// Ids of requests whose connection was closed while they ran.
    abandoned: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicUsize>,
    /// Arrival times of requests.
    arrivals: Arc<Mutex<Vec<Instant>>>,
    /// Additional headers on answers.
    extra_headers: Arc<Mutex<BTreeMap<&'static str, String>>>,
    /// Mode that overrides the mode selected by requests.
    forced_mode: Arc<Mutex<Option<String>>>,
    /// The running streams and their memory copies.
    pub runs: Arc<Runs>,
    /// When the server stops being cold; `None` if it never was.
    cold_until: Arc<Mutex<Option<Instant>>>,
    /// Shutdown phase of the server.
    shutdown: watch::Sender<Shutdown>,
}

impl Worker {
    /// Starts a server on loopback.
    pub async fn start(name: &str) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let worker = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            seen: Arc::default(),
            abandoned: Arc::default(),
            connections: Arc::default(),
            arrivals: Arc::default(),
            extra_headers: Arc::default(),
            forced_mode: Arc::default(),
            runs: Arc::default(),
            cold_until: Arc::default(),
            shutdown: watch::Sender::new(Shutdown::Running),
        };
        let acceptor = worker.clone();
        tokio::spawn(async move {
            let mut shutdown = acceptor.shutdown.subscribe();
            loop {
                let stream = tokio::select! {
                    Ok((stream, _)) = listener.accept() => stream,
                    _ = shutdown.wait_for(|phase| *phase == Shutdown::PortClosed) => return,
                };
                let worker = acceptor.clone();
                worker.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    let mut shutdown = worker.shutdown.subscribe();
                    tokio::select! {
                        _ = worker.serve(stream) => {}
                        _ = shutdown.wait_for(|phase| *phase != Shutdown::Running) => {}
                    }
                });
            }
        });
        Ok(worker)
    }

    /// Returns the received requests with this id.
    pub fn seen(&self, id: &str) -> Vec<Seen> {
        let seen = self.seen.lock().expect("the lock is never poisoned");
        let same = |s: &&Seen| s.headers.get("request-id").is_some_and(|i| i == id);
        seen.iter().filter(same).cloned().collect()
    }

    /// Returns the ids of requests whose connection was closed while they ran.
    pub fn left(&self) -> Vec<String> {
        self.abandoned
            .lock()
            .expect("the lock is never poisoned")
            .clone()
    }

    /// Returns the arrival times of requests.
    pub fn arrivals(&self) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().expect("the lock is never poisoned");
        arrivals.clone()
    }

    /// Sets or removes the `Server-Limit` header (requests per second) of further answers.
    pub fn name_limit(&self, limit: Option<&str>) {
        self.say("Server-Limit", limit);
    }

    /// Sets or removes a header of further answers.
    pub fn say(&self, header: &'static str, value: Option<&str>) {
        let mut extra_headers = self
            .extra_headers
            .lock()
            .expect("the lock is never poisoned");
        match value {
            Some(value) => extra_headers.insert(header, value.to_owned()),
            None => extra_headers.remove(header),
        };
    }

    /// Answers all further requests in `mode`, whatever mode they select.
    pub fn answer_always(&self, mode: &str) {
        let mut forced_mode = self.forced_mode.lock().expect("the lock is never poisoned");
        *forced_mode = Some(mode.to_owned());
    }

    fn forced_mode(&self) -> Option<String> {
        let forced_mode = self.forced_mode.lock().expect("the lock is never poisoned");
        forced_mode.clone()
    }

    fn extra_header_lines(&self) -> String {
        let extra_headers = self
            .extra_headers
            .lock()
            .expect("the lock is never poisoned");
        let lines = extra_headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        lines.collect()
    }

    /// Reports whether a request has crashed the server: its port and connections are closed.
    pub fn has_ended(&self) -> bool {
        *self.shutdown.borrow() == Shutdown::PortClosed
    }

    /// Returns the number of connections accepted so far.
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
                // Answers before the body has been received; the connection stays open, and the
                // body is read afterwards.
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
                self.record(request);
                continue;
            }
            match self.runs.call(self.address, &request).await {
                Some(Reply::Answer(bytes)) => {
                    stream.write_all(bytes.as_bytes()).await?;
                    continue;
                }
                Some(Reply::Reset(bytes)) => {
                    stream.write_all(bytes.as_bytes()).await?;
                    return stream.set_zero_linger();
                }
                None => {}
            }
            if request.line.starts_with(LIVENESS_CHECK) {
                stream.write_all(self.liveness().as_bytes()).await?;
                continue;
            }
            let id = request.headers.get("request-id").cloned();
            let forced_mode = self.forced_mode();
            let asked = request.headers.get(MODE).cloned();
            let mode = forced_mode.or(asked).unwrap_or_default();
            let last = request.headers.get("last-event-id");
            let last: u32 = last.and_then(|l| l.parse().ok()).unwrap_or(0);
            let addressed = request.headers.get("target-instance") == Some(&self.name);
            let admitted = self.runs.admit(self.address, &request.headers);
            // A resumed stream gets its remaining events in the usual way, not the script.
            let scripted = addressed && admitted && mode == SCRIPTED && last == 0;
            let script: Option<Script> = scripted
                .then(|| serde_json::from_slice(&request.body).ok())
                .flatten();
            self.record(request);
            let id = id.unwrap_or_default();
            if let Some(script) = script {
                let extra_headers = self.extra_header_lines();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{extra_headers}Response-Signature: signed\r\n"
                );
                return script.play(stream, &head).await;
            }
            let mode = match (addressed, admitted) {
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

    /// Returns the answer to a liveness check.
    fn liveness(&self) -> String {
        let cold = self.cold_left().as_millis();
        format!(
            "HTTP/1.1 200 OK\r\nServed-By: {}\r\nCold-Ms: {cold}\r\nContent-Length: 0\r\n\r\n",
            self.name
        )
    }

    /// Becomes cold for `span`, which only liveness checks tell.
    pub fn become_cold(&self, span: Duration) {
        let mut cold_until = self.cold_until.lock().expect("the lock is never poisoned");
        *cold_until = Some(Instant::now() + span);
    }

    /// Returns for how much longer the server is cold.
    pub fn cold_left(&self) -> Duration {
        let cold_until = self.cold_until.lock().expect("the lock is never poisoned");
        let left = |until: Instant| until.saturating_duration_since(Instant::now());
        cold_until.map_or(Duration::ZERO, left)
    }

    fn record(&self, request: Seen) {
        let mut arrivals = self.arrivals.lock().expect("the lock is never poisoned");
        arrivals.push(Instant::now());
        let mut seen = self.seen.lock().expect("the lock is never poisoned");
        seen.push(request);
    }

    /// Answers one request; returns false if the connection is closed afterwards.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        id: &str,
        mode: &str,
        last: u32,
    ) -> std::io::Result<bool> {
        let extra_headers = self.extra_header_lines();
        let head = |status: &str, more: &str| {
            format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{extra_headers}{more}")
        };
        let signed = "Response-Signature: signed\r\n";
        let body = format!("{}:{id}", self.name);
        let length = format!("Content-Length: {}\r\n\r\n", body.len());
        let success = head("200 OK", signed) + &length + &body;
        let full = head("503 Full", "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        let (bytes, keep_alive) = match mode {
            "full" => (full, true),
            "slow-full" => {
                sleep(SLOW_REJECTION).await;
                (full, true)
            }
            "promise" => (head("503 Hm", signed) + &length + &body, true),
            "error" => (head("500 Error", signed) + &length + &body, true),
            // An error without the additional headers, as from a component that does not add the
            // server's limit.
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
                success.replace(&format!("Request-Id: {id}"), "Request-Id: other"),
                true,
            ),
            "surplus" => (success.clone() + &success.replace(id, "surplus"), true),
            // A length beside chunks, which override it.
            "two-lengths" => {
                let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
                let lengths = "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
                (head("200 OK", signed) + lengths + &chunk, true)
            }
            "long" => {
                let body = "x".repeat(LONG_ANSWER_BYTES);
                let length = format!("Content-Length: {LONG_ANSWER_BYTES}\r\n\r\n");
                (head("200 OK", signed) + &length + &body, true)
            }
            "unframed" => (head("200 OK", signed) + "\r\n" + &body, false),
            "bodiless" => (
                success
                    .replace("200 OK", "204 No Content")
                    .replace(&(length.clone() + &body), "\r\n"),
                true,
            ),
            "cut" => (success[..success.len() - 2].to_owned(), false),
            "garbage" => ("%%% no protocol %%%\r\n\r\n".to_owned(), false),
            "lost" => (String::new(), false),
            mode if mode.starts_with("stream-after-") => {
                let wait = mode.rsplit('-').next().and_then(|ms| ms.parse().ok());
                sleep(Duration::from_millis(wait.unwrap_or_default())).await;
                return self
                    .stream(stream, id, &head("200 OK", signed), last, EVENTS)
                    .await;
            }
            UNFRAMED_STREAM => {
                let head = head("200 OK", signed);
                return self.stream_unframed(stream, id, &head, last).await;
            }
            SIZED_STREAM => {
                let event = |number| format!("id: {number}\ndata: {}\n\n", self.name);
                let events: String = (last + 1..=EVENTS).map(event).collect();
                let (first, rest) = events.split_at(events.len() - 5);
                let head = head("200 OK", signed) + "Content-Type: text/event-stream\r\n";
                let length = format!("Content-Length: {}\r\n\r\n", events.len());
                stream
                    .write_all((head + &length + first).as_bytes())
                    .await?;
                sleep(EVENT_INTERVAL).await;
                (rest.to_owned(), true)
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
                let shutdown = self.shutdown.clone();
                if mode == "crash-slowly" {
                    shutdown.send_replace(Shutdown::ConnectionsClosed);
                    tokio::spawn(async move {
                        sleep(PORT_CLOSE_DELAY).await;
                        shutdown.send_replace(Shutdown::PortClosed);
                    });
                } else {
                    shutdown.send_replace(Shutdown::PortClosed);
                }
                return Ok(false);
            }
            mode if mode.starts_with("work-") => {
                let work = mode.rsplit('-').next().and_then(|ms| ms.parse().ok());
                sleep(Duration::from_millis(work.unwrap_or_default())).await;
                (success, true)
            }
            SILENT => return self.wait(stream, id).await,
            "slow" => {
                sleep(Duration::from_millis(400)).await;
                (success, true)
            }
            _ => (success, true),
        };
        stream.write_all(bytes.as_bytes()).await?;
        Ok(keep_alive)
    }

    /// Streams the events after `last` up to `end`, or until the client disconnects. If `end` is
    /// less than [`EVENTS`], the stream breaks off inside the next event and the connection is
    /// closed.
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
            if self.forced_mode().as_deref() == Some(SILENT) {
                return self.wait(stream, id).await;
            }
            let event = format!("id: {number}\ndata: {}\n\n", self.name);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                self.record_abandoned(id);
                return Ok(false);
            }
            run.record_event(number);
            if !run.is_finishing() {
                sleep(EVENT_INTERVAL).await;
            }
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

    /// Streams the events after `last` without a length or chunks; the close of the connection ends
    /// the stream, whether the run is complete or was stopped.
    async fn stream_unframed(
        &self,
        stream: &mut TcpStream,
        id: &str,
        head: &str,
        last: u32,
    ) -> std::io::Result<bool> {
        let start = format!("{head}Content-Type: text/event-stream\r\n\r\n");
        stream.write_all(start.as_bytes()).await?;
        let run = self.runs.begin(id);
        for number in last + 1..=EVENTS {
            if run.is_stopped() {
                return Ok(false);
            }
            let event = format!("id: {number}\ndata: {}\n\n", self.name);
            if stream.write_all(event.as_bytes()).await.is_err() {
                self.record_abandoned(id);
                return Ok(false);
            }
            run.record_event(number);
            if !run.is_finishing() {
                sleep(EVENT_INTERVAL).await;
            }
        }
        Ok(false)
    }

    /// Keeps the request running without an answer until the client disconnects.
    async fn wait(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<bool> {
        let mut byte = [0; 1];
        if !matches!(stream.read(&mut byte).await, Ok(n) if n > 0) {
            self.record_abandoned(id);
        }
        Ok(false)
    }

    fn record_abandoned(&self, id: &str) {
        let mut abandoned = self.abandoned.lock().expect("the lock is never poisoned");
        abandoned.push(id.to_owned());
    }
}

/// Reads the head of a request; returns it with the content length, or `None` at the end of the
/// connection.
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

/// Reads the body of a request; returns false if the connection ends first.
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
