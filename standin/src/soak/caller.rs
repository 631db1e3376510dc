//! Callers: they look boxes up, keep connections open, and repeat what may be repeated.

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
    fleet::Door,
    record::{Answer, Attempt, Book, Kind, LookUp, Ms, Outcome},
    server::{asked, path_of_id, piece_of},
};
use crate::http::call;

/// How long a caller waits for an answer.
pub const LIMIT: Ms = 4000;
const SECOND: Duration = Duration::from_secs(1);
/// How long a look-up holds; the stubborn hold it three times as long.
const HOLD: Duration = Duration::from_secs(2);
/// Boxes that a caller asks for a look-up.
const LOOKS: usize = 3;
/// Time between two requests of a caller.
const PAUSES: std::ops::Range<u64> = 20..100;
/// Requests of each kind, in a hundred; the rest asks for versioned routes.
const MIX: [(Kind, u32); 5] = [
    (Kind::Safe, 35),
    (Kind::Once, 25),
    (Kind::Stream, 15),
    (Kind::Home, 10),
    (Kind::Other, 8),
];

/// One caller.
pub struct Caller {
    book: Book,
    doors: Arc<Vec<Door>>,
    region: usize,
    /// Whether it keeps to a connection until the process is gone, and to old look-ups for longer.
    stubborn: bool,
    random: StdRng,
    number: usize,
    requests: u64,
    known: Vec<usize>,
    failed: BTreeSet<usize>,
    looked: Option<Instant>,
    channel: Option<Channel>,
}

struct Channel {
    entry: usize,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Caller {
    /// A caller of a region; its number tells it from others.
    pub fn new(book: &Book, doors: Arc<Vec<Door>>, seed: u64, number: usize) -> Self {
        Self {
            book: book.clone(),
            doors,
            region: number % REGIONS.len(),
            stubborn: (number / REGIONS.len()).is_multiple_of(2),
            random: StdRng::seed_from_u64(seed ^ (number as u64) << 32),
            number,
            requests: 0,
            known: Vec::new(),
            failed: BTreeSet::new(),
            looked: None,
            channel: None,
        }
    }

    /// Sends requests until it is told to stop.
    pub async fn run(mut self, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::Relaxed) {
            let kind = self.kind();
            let (outcome, again) = self.attempt(kind).await;
            if let Some(wait) = self.repeats(kind, &outcome, again) {
                sleep(wait).await;
                // A repeat goes over a connection of its own.
                self.channel = None;
                self.attempt(kind).await;
            }
            sleep(Duration::from_millis(self.random.random_range(PAUSES))).await;
        }
    }

    fn kind(&mut self) -> Kind {
        let mut drawn = self.random.random_range(0..100);
        for (kind, share) in MIX {
            if drawn < share {
                return kind;
            }
            drawn -= share;
        }
        let record = self.book.record();
        let newest = record.versions.iter().rev().take(2);
        let newest: Vec<u64> = newest.map(|v| v.number).collect();
        drop(record);
        let number = newest.choose(&mut self.random).copied();
        Kind::Versioned(number.unwrap_or(1))
    }

    /// Whether the caller sends again, and after how long.
    fn repeats(&self, kind: Kind, outcome: &Outcome, after: Option<Duration>) -> Option<Duration> {
        let wait = after.unwrap_or_default();
        let wait = wait.min(Duration::from_millis(LIMIT / 3));
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

    /// Sends one request with an id of its own.
    async fn attempt(&mut self, kind: Kind) -> (Outcome, Option<Duration>) {
        let Some(entry) = self.connect().await else {
            sleep(Duration::from_millis(100)).await;
            return (Outcome::Unsent, None);
        };
        self.requests += 1;
        let id = format!("{}-{}-{}", piece_of(kind), self.number, self.requests);
        let place = {
            let sent = self.book.now();
            let mut record = self.book.record();
            record.attempts.push(Attempt {
                id: id.clone(),
                kind,
                entry,
                sent,
                end: None,
            });
            record.attempts.len() - 1
        };
        let limit = Duration::from_millis(LIMIT);
        let exchange = timeout(limit, self.exchange(&id)).await;
        let (outcome, close, again) = exchange.unwrap_or((Outcome::GaveUp, true, None));
        let now = self.book.now();
        self.book.record().attempts[place].end = Some((now, outcome.clone()));
        if close {
            self.channel = None;
        }
        if matches!(outcome, Outcome::Unsent | Outcome::Closed | Outcome::GaveUp) {
            self.failed.insert(entry);
        }
        (outcome, again)
    }

    async fn exchange(&mut self, id: &str) -> (Outcome, bool, Option<Duration>) {
        let Some(channel) = self.channel.as_mut() else {
            return (Outcome::Unsent, true, None);
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(path_of_id(id))
            .header("host", HOST)
            .header("request-id", id)
            .header("deadline-ms", LIMIT)
            .body(Full::new(Bytes::from(asked(id))))
            .expect("the request is well formed");
        match channel.sender.send_request(request).await {
            Err(error) if error.is_canceled() => (Outcome::Unsent, true, None),
            Err(_) => (Outcome::Closed, true, None),
            Ok(response) => {
                let headers = response.headers();
                let text = |name: &str| {
                    let value = headers.get(name).and_then(|v| v.to_str().ok());
                    value.map(str::to_owned)
                };
                let closes = text(CONNECTION.as_str()).is_some_and(|v| v.contains("close"));
                let again = text(RETRY_AFTER.as_str()).and_then(|v| v.parse().ok());
                let again = again.and_then(|s| Duration::try_from_secs_f64(s).ok());
                let signature = text("response-signature");
                let status = response.status().as_u16();
                let (body, whole) = read(response.into_body()).await;
                let answer = Answer {
                    status,
                    signature,
                    body,
                    whole,
                };
                (Outcome::Answer(answer), closes || !whole, again)
            }
        }
    }

    /// A connection to some box; the number of the box.
    async fn connect(&mut self) -> Option<usize> {
        self.look_up().await;
        if let Some(channel) = &self.channel {
            let named = self.known.contains(&channel.entry);
            if (named || self.stubborn) && !channel.sender.is_closed() {
                return Some(channel.entry);
            }
            self.channel = None;
        }
        let mut entries: Vec<usize> = self.known.clone();
        entries.retain(|entry| !self.failed.contains(entry));
        let entry = *entries.choose(&mut self.random)?;
        self.channel = open(entry, self.doors[entry].public).await;
        if self.channel.is_none() {
            self.failed.insert(entry);
        }
        self.channel.is_some().then_some(entry)
    }

    /// Looks boxes up unless the last answer still holds.
    async fn look_up(&mut self) {
        let hold = if self.stubborn { 3 * HOLD } else { HOLD };
        let useless = self.known.iter().all(|entry| self.failed.contains(entry));
        if self.looked.is_some_and(|at| at.elapsed() < hold) && !useless {
            return;
        }
        let mut order: Vec<usize> = (0..self.doors.len()).collect();
        order.shuffle(&mut self.random);
        order.sort_by_key(|entry| self.doors[*entry].region != self.region);
        for by in order.into_iter().take(LOOKS) {
            if let Some(named) = self.ask(by).await {
                let at = self.book.now();
                self.known.clone_from(&named);
                self.failed.clear();
                self.looked = Some(Instant::now());
                self.book.record().look_ups.push(LookUp { by, at, named });
                return;
            }
        }
        // Longer than the look-up holds where none is to be had.
        self.failed.clear();
    }

    async fn ask(&self, by: usize) -> Option<Vec<usize>> {
        let region = self.region;
        let (name, domain) = (REGIONS[region], domain(region));
        let path = format!("/v1/resolve?name={HOST}&region={name}&zone={domain}");
        let address = self.doors[by].directory;
        let answer = timeout(SECOND, call(address, Method::GET, &path, &[], "")).await;
        let answer = answer.ok()?.ok().filter(|a| a.status.is_success())?;
        let content = answer.json();
        let rows = content["addresses"].as_array()?;
        let number = |row: &serde_json::Value| {
            let address: SocketAddr = row.as_str()?.parse().ok()?;
            self.doors.iter().position(|door| door.public == address)
        };
        let named: Vec<usize> = rows.iter().filter_map(number).collect();
        (!named.is_empty()).then_some(named)
    }
}

async fn open(entry: usize, address: SocketAddr) -> Option<Channel> {
    let stream = timeout(SECOND, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::spawn(async move {
        // Its error comes to whoever waits for the answer.
        let _ = connection.await;
    });
    Some(Channel {
        entry,
        sender,
        task,
    })
}

/// Reads a body to its end or its cut.
async fn read(mut body: Incoming) -> (String, bool) {
    let mut all = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => all.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return (String::from_utf8_lossy(&all).into_owned(), false),
        }
    }
    (String::from_utf8_lossy(&all).into_owned(), true)
}
