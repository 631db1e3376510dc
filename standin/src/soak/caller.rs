//! Callers, which look up boxes, keep connections alive and retry what may be retried.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Method, Request,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
    header::{CONNECTION, RETRY_AFTER},
};
use hyper_util::rt::TokioIo;
use rand::{
    Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _, seq::SliceRandom as _,
};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{
    HOST, REGIONS, domain,
    fleet::Endpoints,
    record::{Answer, Attempt, Kind, LookUp, Ms, Outcome, Recorder},
    server::{path_for_id, path_prefix, request_body},
};
use crate::http::call;

/// How long a caller waits for an answer, also sent as the request's deadline.
pub const REQUEST_TIMEOUT_MS: Ms = 4000;
const IO_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a caller uses the result of a look-up; sticky callers use it three times as long.
const LOOK_UP_HOLD: Duration = Duration::from_secs(2);
/// Boxes that a caller tries for one look-up.
const MAX_LOOK_UP_ATTEMPTS: usize = 3;
/// Range of the pause between two requests of a caller.
const PAUSES_MS: std::ops::Range<u64> = 20..100;
/// Percentage of requests of each kind; the rest go to versioned routes.
const KIND_PERCENTAGES: [(Kind, u32); 5] = [
    (Kind::Safe, 35),
    (Kind::Once, 25),
    (Kind::Stream, 15),
    (Kind::Home, 10),
    (Kind::Other, 8),
];

/// A client of the boxes that sends one request at a time.
pub struct Caller {
    recorder: Recorder,
    endpoints: Arc<Vec<Endpoints>>,
    region: usize,
    /// Whether it keeps a connection until the box closes it, and uses look-ups for longer.
    sticky: bool,
    rng: StdRng,
    number: usize,
    requests: u64,
    resolved: Vec<usize>,
    failed: BTreeSet<usize>,
    resolved_at: Option<Instant>,
    connection: Option<Connection>,
}

struct Connection {
    entry: usize,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Caller {
    /// Creates a caller, whose number identifies it and determines its region.
    pub fn new(
        recorder: &Recorder,
        endpoints: Arc<Vec<Endpoints>>,
        seed: u64,
        number: usize,
    ) -> Self {
        Self {
            recorder: recorder.clone(),
            endpoints,
            region: number % REGIONS.len(),
            sticky: (number / REGIONS.len()).is_multiple_of(2),
            rng: StdRng::seed_from_u64(seed ^ (number as u64) << 32),
            number,
            requests: 0,
            resolved: Vec::new(),
            failed: BTreeSet::new(),
            resolved_at: None,
            connection: None,
        }
    }

    /// Sends requests until `stop` is set.
    pub async fn run(mut self, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::Relaxed) {
            let kind = self.draw_kind();
            let (outcome, retry_after) = self.attempt(kind).await;
            if let Some(wait) = self.retry_delay(kind, &outcome, retry_after) {
                sleep(wait).await;
                // A retry uses a new connection.
                self.connection = None;
                self.attempt(kind).await;
            }
            sleep(Duration::from_millis(self.rng.random_range(PAUSES_MS))).await;
        }
    }

    fn draw_kind(&mut self) -> Kind {
        let mut drawn = self.rng.random_range(0..100);
        for (kind, share) in KIND_PERCENTAGES {
            if drawn < share {
                return kind;
            }
            drawn -= share;
        }
        let record = self.recorder.record();
        let newest = record.versions.iter().rev().take(2);
        let newest: Vec<u64> = newest.map(|v| v.number).collect();
        drop(record);
        let number = newest.choose(&mut self.rng).copied();
        Kind::Versioned(number.unwrap_or(1))
    }

    /// Returns how long the caller waits before it retries, or `None` if it does not retry.
    fn retry_delay(
        &self,
        kind: Kind,
        outcome: &Outcome,
        after: Option<Duration>,
    ) -> Option<Duration> {
        let wait = after.unwrap_or_default();
        let wait = wait.min(Duration::from_millis(REQUEST_TIMEOUT_MS / 3));
        match outcome {
            Outcome::Unsent => Some(Duration::ZERO),
            Outcome::Closed | Outcome::GaveUp => (kind != Kind::Once).then_some(Duration::ZERO),
            Outcome::Answer(answer) => match answer.status {
                408 | 421 | 429 | 503 => Some(wait),
                200..=299 if answer.whole => None,
                400 | 401 | 404 | 413 | 431 => None,
                _ => (kind != Kind::Once).then_some(wait),
            },
        }
    }

    /// Sends one request with a fresh id; returns its outcome and the `Retry-After` of its answer.
    async fn attempt(&mut self, kind: Kind) -> (Outcome, Option<Duration>) {
        let Some(entry) = self.connect().await else {
            sleep(Duration::from_millis(100)).await;
            return (Outcome::Unsent, None);
        };
        self.requests += 1;
        let id = format!("{}-{}-{}", path_prefix(kind), self.number, self.requests);
        let index = {
            let sent = self.recorder.now();
            let mut record = self.recorder.record();
            record.attempts.push(Attempt {
                id: id.clone(),
                kind,
                entry,
                sent,
                end: None,
            });
            record.attempts.len() - 1
        };
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let exchange = timeout(limit, self.exchange(&id)).await;
        let (outcome, close, retry_after) = exchange.unwrap_or((Outcome::GaveUp, true, None));
        let now = self.recorder.now();
        self.recorder.record().attempts[index].end = Some((now, outcome.clone()));
        if close {
            self.connection = None;
        }
        if matches!(outcome, Outcome::Unsent | Outcome::Closed | Outcome::GaveUp) {
            self.failed.insert(entry);
        }
        (outcome, retry_after)
    }

    async fn exchange(&mut self, id: &str) -> (Outcome, bool, Option<Duration>) {
        let Some(connection) = self.connection.as_mut() else {
            return (Outcome::Unsent, true, None);
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(path_for_id(id))
            .header("host", HOST)
            .header("request-id", id)
            .header("deadline-ms", REQUEST_TIMEOUT_MS)
            .body(Full::new(Bytes::from(request_body(id))))
            .expect("the request is well formed");
        match connection.sender.send_request(request).await {
            Err(error) if error.is_canceled() => (Outcome::Unsent, true, None),
            Err(_) => (Outcome::Closed, true, None),
            Ok(response) => {
                let headers = response.headers();
                let text = |name: &str| {
                    let value = headers.get(name).and_then(|v| v.to_str().ok());
                    value.map(str::to_owned)
                };
                let must_close = text(CONNECTION.as_str()).is_some_and(|v| v.contains("close"));
                let retry_after = text(RETRY_AFTER.as_str()).and_then(|v| v.parse().ok());
                let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
                let signature = text("response-signature");
                let status = response.status().as_u16();
                let (body, whole) = read_body(response.into_body()).await;
                let answer = Answer {
                    status,
                    signature,
                    body,
                    whole,
                };
                (Outcome::Answer(answer), must_close || !whole, retry_after)
            }
        }
    }

    /// Ensures that a connection to some box is open and returns the number of the box.
    async fn connect(&mut self) -> Option<usize> {
        self.look_up().await;
        if let Some(connection) = &self.connection {
            let named = self.resolved.contains(&connection.entry);
            if (named || self.sticky) && !connection.sender.is_closed() {
                return Some(connection.entry);
            }
            self.connection = None;
        }
        let mut entries: Vec<usize> = self.resolved.clone();
        entries.retain(|entry| !self.failed.contains(entry));
        let mut entry = *entries.choose(&mut self.rng)?;
        if self.requests == 0 {
            entries.sort_unstable();
            entry = entries[self.first_box() % entries.len()];
        }
        self.connection = open_connection(entry, self.endpoints[entry].public).await;
        if self.connection.is_none() {
            self.failed.insert(entry);
        }
        self.connection.is_some().then_some(entry)
    }

    /// Returns the place, among the boxes of its region, of the one that the caller uses first. Each
    /// box has callers at the start then, sticky ones and others; they keep their connections, so
    /// that a box that none has drawn might stay unused for a whole run.
    fn first_box(&self) -> usize {
        self.number / REGIONS.len() / 2
    }

    /// Looks boxes up unless the last answer still holds.
    async fn look_up(&mut self) {
        let hold = if self.sticky {
            3 * LOOK_UP_HOLD
        } else {
            LOOK_UP_HOLD
        };
        let all_failed = self
            .resolved
            .iter()
            .all(|entry| self.failed.contains(entry));
        if self.resolved_at.is_some_and(|at| at.elapsed() < hold) && !all_failed {
            return;
        }
        let mut order: Vec<usize> = (0..self.endpoints.len()).collect();
        order.shuffle(&mut self.rng);
        order.sort_by_key(|entry| self.endpoints[*entry].region != self.region);
        if self.resolved_at.is_none() {
            let near = |entry: &&usize| self.endpoints[**entry].region == self.region;
            let near = order.iter().filter(near).count().max(1);
            order[..near].sort_unstable();
            order[..near].rotate_left(self.first_box() % near);
        }
        for by in order.into_iter().take(MAX_LOOK_UP_ATTEMPTS) {
            if let Some(named) = self.resolve(by).await {
                let at = self.recorder.now();
                self.resolved.clone_from(&named);
                self.failed.clear();
                self.resolved_at = Some(Instant::now());
                self.recorder
                    .record()
                    .look_ups
                    .push(LookUp { by, at, named });
                return;
            }
        }
        // No box answered: the caller keeps the old result beyond its hold time and tries
        // failed boxes again.
        self.failed.clear();
    }

    async fn resolve(&self, by: usize) -> Option<Vec<usize>> {
        let region = self.region;
        let (name, domain) = (REGIONS[region], domain(region));
        let path = format!("/v1/resolve?name={HOST}&region={name}&zone={domain}");
        let address = self.endpoints[by].directory;
        let answer = timeout(IO_TIMEOUT, call(address, Method::GET, &path, &[], "")).await;
        let answer = answer.ok()?.ok().filter(|a| a.status.is_success())?;
        let content = answer.json();
        let rows = content["addresses"].as_array()?;
        let number = |row: &serde_json::Value| {
            let address: SocketAddr = row.as_str()?.parse().ok()?;
            self.endpoints
                .iter()
                .position(|endpoint| endpoint.public == address)
        };
        let named: Vec<usize> = rows.iter().filter_map(number).collect();
        (!named.is_empty()).then_some(named)
    }
}

async fn open_connection(entry: usize, address: SocketAddr) -> Option<Connection> {
    let stream = timeout(IO_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::spawn(async move {
        // The pending request returns the error.
        let _ = connection.await;
    });
    Some(Connection {
        entry,
        sender,
        task,
    })
}

/// Reads a body until it ends or breaks off; reports whether it was complete.
async fn read_body(mut body: Incoming) -> (String, bool) {
    let mut all = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => all.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return (String::from_utf8_lossy(&all).into_owned(), false),
        }
    }
    (String::from_utf8_lossy(&all).into_owned(), true)
}
