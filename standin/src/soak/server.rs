//! Backend servers of the soak; each start is a separate life with its own name, address and
//! record.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{
    Request, Response, StatusCode, Version, body::Incoming, header::HeaderValue,
    server::conn::http1 as server, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, watch},
    time::{sleep, timeout},
};

use super::{
    PlantedFault,
    plan::Malfunction,
    record::{Arrival, Kind, Life, Ms, Part, Recorder},
};
use crate::{
    http::{Body, stream, whole},
    script::EVENT_STREAM,
};

/// Events of a complete stream.
pub const EVENTS: u32 = 10;
/// Requests that a server runs concurrently.
pub const SLOTS: usize = 8;
/// Requests that may wait for a slot.
const MAX_WAITING: usize = 16;
const WORK_TIME: Duration = Duration::from_millis(20);
const SLOW_WORK_TIME: Duration = Duration::from_millis(600);
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Complete events of an unframed stream before it breaks off inside the next one.
const BREAK_AFTER: u32 = 4;
/// How long connections with an unframed stream outlast their server, to send the incomplete event.
const LAST_BYTES_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a server that ends waits for its running requests.
const LAST_WORK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Parameters of a new backend server.
pub struct ServerOptions {
    /// Its name.
    pub name: String,
    /// Number of its region.
    pub region: usize,
    /// Whether it belongs to the other service.
    pub other: bool,
    /// How long it is cold after its start.
    pub cold: Ms,
    /// Address to reuse; none for a new port.
    pub address: Option<SocketAddr>,
    /// Deliberate faults of the server.
    pub planted_faults: Vec<PlantedFault>,
}

/// A life of a backend server; clones share it.
#[derive(Clone)]
pub struct Server {
    /// Its index in the record's lives.
    pub life: usize,
    /// Its name.
    pub name: String,
    /// Number of its region.
    pub region: usize,
    /// Whether it belongs to the other service.
    pub other: bool,
    /// The address it listens on.
    pub address: SocketAddr,
    recorder: Recorder,
    planted_faults: Arc<Vec<PlantedFault>>,
    malfunction: Arc<Mutex<Option<Malfunction>>>,
    cold_until: Ms,
    draining: watch::Sender<bool>,
    end: watch::Sender<bool>,
    slots: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
    answers: Arc<AtomicU64>,
}

impl Server {
    /// Starts a server and records its life.
    pub async fn start(recorder: &Recorder, options: ServerOptions) -> eyre::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(options.address.unwrap_or(any)).await?;
        let now = recorder.now();
        let cold_until = now + options.cold;
        let life = {
            let mut record = recorder.record();
            record.lives.push(Life {
                name: options.name.clone(),
                region: options.region,
                other: options.other,
                start: now,
                cold_until,
                leaves: None,
                end: None,
            });
            record.lives.len() - 1
        };
        let server = Self {
            life,
            name: options.name,
            region: options.region,
            other: options.other,
            address: listener.local_addr()?,
            recorder: recorder.clone(),
            planted_faults: Arc::new(options.planted_faults),
            malfunction: Arc::default(),
            cold_until,
            draining: watch::Sender::new(false),
            end: watch::Sender::new(false),
            slots: Arc::new(Semaphore::new(SLOTS)),
            waiting: Arc::default(),
            answers: Arc::default(),
        };
        tokio::spawn(server.clone().listen(listener));
        Ok(server)
    }

    /// Returns the remaining time for which it is cold.
    pub fn cold_left(&self) -> Ms {
        self.cold_until.saturating_sub(self.recorder.now())
    }

    /// Begins a malfunction, or ends it with `None`.
    pub fn set_malfunction(&self, malfunction: Option<Malfunction>) {
        *self.malfunction.lock().expect("the lock is never poisoned") = malfunction;
    }

    /// Makes its health check answer 503 from now on.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Ends the server at once.
    pub fn crash(&self) {
        let now = self.recorder.now();
        let mut record = self.recorder.record();
        record.lives[self.life].end.get_or_insert(now);
        drop(record);
        self.end.send_replace(true);
    }

    /// Ends the server when its running requests are done, but after 1.5 s at the latest.
    pub async fn finish(&self) {
        let all = self.slots.acquire_many(SLOTS as u32);
        let _ = timeout(LAST_WORK_TIMEOUT, all).await;
        self.crash();
    }

    fn has_planted(&self, plant: PlantedFault) -> bool {
        self.planted_faults.contains(&plant)
    }

    async fn listen(self, listener: TcpListener) {
        let mut end = self.end.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = end.wait_for(|end| *end) => return,
            };
            if let Ok((socket, _)) = accepted {
                tokio::spawn(self.clone().serve(socket));
            }
        }
    }

    async fn serve(self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut end = self.end.subscribe();
        let unframed = AtomicBool::new(false);
        let handler = service_fn(|request| self.answer(request, &unframed));
        let served = server::Builder::new().serve_connection(TokioIo::new(socket), handler);
        tokio::pin!(served);
        let ended = tokio::select! {
            _ = &mut served => false,
            _ = end.wait_for(|end| *end) => true,
        };
        if ended && unframed.load(Ordering::Relaxed) {
            let _ = timeout(LAST_BYTES_TIMEOUT, served).await;
        }
    }

    fn malfunction(&self) -> Option<Malfunction> {
        *self.malfunction.lock().expect("the lock is never poisoned")
    }

    /// Answers one request, and sets `is_unframed` if a stream has neither a length nor chunked
    /// framing.
    async fn answer(
        &self,
        request: Request<Incoming>,
        is_unframed: &AtomicBool,
    ) -> std::io::Result<Response<Body>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(std::io::Error::other)?;
        let body = body.to_bytes();
        let path = head.uri.path().to_owned();
        let text = |name: &str| {
            let value = head.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let malfunction = self.malfunction();
        if path == "/health" {
            return self.health(malfunction).await;
        }
        let id = text("request-id");
        if id.is_empty() {
            return Ok(whole(StatusCode::NOT_FOUND, ""));
        }
        let target = text("target-instance");
        let misdirected = !target.is_empty() && target != self.name;
        let arrival = self.record_arrival(&id, misdirected, &path, &body);
        if misdirected {
            return Ok(self.refusal(arrival, 421));
        }
        if malfunction == Some(Malfunction::Dark) {
            return std::future::pending().await;
        }
        if malfunction == Some(Malfunction::Full)
            || self.waiting.load(Ordering::Relaxed) >= MAX_WAITING
        {
            return Ok(self.refusal(arrival, 503));
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let waiting_guard = WaitingGuard(self.waiting.clone());
        let slot = self.slots.clone().acquire_owned().await;
        drop(waiting_guard);
        let slot = slot.map_err(std::io::Error::other)?;
        let kind = kind_of_path(&path);
        let runs = 1 + u32::from(self.has_planted(PlantedFault::Twice) && kind == Some(Kind::Once));
        self.recorder.record().arrivals[arrival].runs += runs;
        if malfunction == Some(Malfunction::Slow) {
            sleep(SLOW_WORK_TIME).await;
        }
        if self.has_planted(PlantedFault::FalseRefusal) && kind == Some(Kind::Once) {
            return Ok(self.refusal(arrival, 503));
        }
        let turn = self.answers.fetch_add(1, Ordering::Relaxed);
        if malfunction == Some(Malfunction::Lying) && turn.is_multiple_of(2) {
            self.recorder.record().arrivals[arrival].status = 500;
            let failed = whole(StatusCode::INTERNAL_SERVER_ERROR, "failed");
            return Ok(self.signed(failed, &id, arrival));
        }
        self.recorder.record().arrivals[arrival].status = 200;
        if kind == Some(Kind::Stream) {
            let last = text("last-event-id").parse().unwrap_or(0);
            let unframed = malfunction == Some(Malfunction::Unframed);
            is_unframed.store(unframed, Ordering::Relaxed);
            let end = match unframed && turn.is_multiple_of(2) {
                true => EVENTS.min(last + BREAK_AFTER),
                false => EVENTS,
            };
            let mut answer = self.events(last, end, unframed, slot);
            if unframed {
                // For HTTP/1.0, hyper writes neither a length nor chunks.
                *answer.version_mut() = Version::HTTP_10;
            }
            return Ok(self.signed(answer, &id, arrival));
        }
        sleep(WORK_TIME).await;
        let foreign = self.has_planted(PlantedFault::ForeignAnswer) && kind == Some(Kind::Safe);
        let content = if foreign {
            response_body(&self.name, "another")
        } else {
            response_body(&self.name, &id)
        };
        Ok(self.signed(whole(StatusCode::OK, content), &id, arrival))
    }

    async fn health(&self, malfunction: Option<Malfunction>) -> std::io::Result<Response<Body>> {
        if malfunction == Some(Malfunction::Dark) {
            return std::future::pending().await;
        }
        let status = match *self.draining.borrow() {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::OK,
        };
        let mut answer = whole(status, "");
        let headers = answer.headers_mut();
        headers.insert("served-by", header_value(&self.name));
        headers.insert("cold-ms", HeaderValue::from(self.cold_left()));
        Ok(answer)
    }

    fn record_arrival(&self, id: &str, misdirected: bool, path: &str, body: &Bytes) -> usize {
        let at = self.recorder.now();
        let mut record = self.recorder.record();
        // The id, which no box changes, determines the path and body that the caller sent.
        let intact = **body == *request_body(id).as_bytes() && path == path_for_id(id);
        let number = record.arrivals.len();
        record.arrivals.push(Arrival {
            number,
            id: id.to_owned(),
            life: self.life,
            at,
            intact,
            misdirected,
            runs: 0,
            status: 0,
        });
        number
    }

    fn refusal(&self, arrival: usize, status: u16) -> Response<Body> {
        self.recorder.record().arrivals[arrival].status = status;
        let status = StatusCode::from_u16(status).expect("the status is a valid HTTP status");
        let mut answer = whole(status, "");
        let headers = answer.headers_mut();
        headers.insert("not-executed", HeaderValue::from_static("1"));
        headers.insert("served-by", header_value(&self.name));
        answer
    }

    fn signed(&self, mut answer: Response<Body>, id: &str, arrival: usize) -> Response<Body> {
        let headers = answer.headers_mut();
        headers.insert("request-id", header_value(id));
        headers.insert(
            "response-signature",
            header_value(&signature(&self.name, arrival)),
        );
        answer
    }

    /// Streams the events after `last` up to `end`; an incomplete unframed stream ends inside the
    /// next event.
    fn events(
        &self,
        last: u32,
        end: u32,
        unframed: bool,
        slot: tokio::sync::OwnedSemaphorePermit,
    ) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(1);
        let skipped = self
            .has_planted(PlantedFault::SkippedEvent)
            .then_some(EVENTS / 2);
        let name = self.name.clone();
        let mut crash = self.end.subscribe();
        tokio::spawn(async move {
            let _slot = slot;
            let (mut last_sent, mut crashed) = (last, false);
            for number in (last + 1..=end).filter(|n| Some(*n) != skipped) {
                let event = format!("id: {number}\ndata: {name}\n\n");
                tokio::select! {
                    sent = sender.send(Ok(Bytes::from(event))) => if sent.is_err() { return },
                    _ = crash.wait_for(|end| *end) => {
                        crashed = true;
                        break;
                    }
                }
                last_sent = number;
                sleep(EVENT_PAUSE).await;
            }
            if unframed && last_sent < EVENTS {
                let half = format!("id: {}\nda", last_sent + 1);
                let _ = sender.send(Ok(Bytes::from(half))).await;
            } else if crashed {
                // Without an error, hyper would write the last chunk.
                let _ = sender.send(Err(std::io::Error::other("crashed"))).await;
            }
        });
        let mut answer = stream(receiver);
        let kind = HeaderValue::from_static(EVENT_STREAM);
        answer.headers_mut().insert("content-type", kind);
        answer
    }

    /// Returns the part that a disturbance of this server affects.
    pub fn part(&self) -> Part {
        Part::Server(self.life)
    }
}

struct WaitingGuard(Arc<AtomicUsize>);

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("names are valid header values")
}

/// Returns the signature of a server for one arrival.
pub fn signature(server: &str, arrival: usize) -> String {
    format!("{server}/{arrival}")
}

/// Returns the body of a server's answer.
pub fn response_body(server: &str, id: &str) -> String {
    format!("{server} has run {id}")
}

/// Returns the body of a caller's request.
pub fn request_body(id: &str) -> String {
    format!("please run {id}")
}

/// Returns the path of a request, whose id begins with the path's first segment.
pub fn path_for_id(id: &str) -> String {
    let segment = id.split('-').next().unwrap_or_default();
    format!("/{segment}/x")
}

/// Returns the first segment of the paths of a kind.
pub fn path_prefix(kind: Kind) -> String {
    match kind {
        Kind::Safe => "safe".to_owned(),
        Kind::Once => "once".to_owned(),
        Kind::Stream => "stream".to_owned(),
        Kind::Home => "home".to_owned(),
        Kind::Other => "other".to_owned(),
        Kind::Versioned(number) => format!("v{number}"),
    }
}

fn kind_of_path(path: &str) -> Option<Kind> {
    let kinds = [
        Kind::Safe,
        Kind::Once,
        Kind::Stream,
        Kind::Home,
        Kind::Other,
    ];
    let segment = path.split('/').nth(1).unwrap_or_default();
    kinds.into_iter().find(|kind| path_prefix(*kind) == segment)
}
