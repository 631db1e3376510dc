//! Backend servers of the soak: each start is a life of its own, with a name, a port and a record.

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
    Plant,
    plan::Illness,
    record::{Arrival, Book, Kind, Life, Ms, Part},
};
use crate::{
    http::{Body, stream, whole},
    script::EVENT_STREAM,
};

/// Events of a whole stream.
pub const EVENTS: u32 = 10;
/// Requests that a server runs at once.
pub const SLOTS: usize = 8;
/// Requests that may wait for a slot.
const WAITING: usize = 16;
const WORK: Duration = Duration::from_millis(20);
const SLOW_WORK: Duration = Duration::from_millis(600);
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Events of an unframed stream that breaks off, before the half one.
const BREAK_AFTER: u32 = 4;
/// How long the connections of such streams outlast their server, to bring the half event.
const LAST_BYTES: Duration = Duration::from_millis(100);
/// How long a server that ends leaves its running requests.
const LAST_WORK: Duration = Duration::from_millis(1500);

/// How a life begins.
pub struct Birth {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: usize,
    /// Whether it is of the other service.
    pub other: bool,
    /// How long it is cold.
    pub cold: Ms,
    /// An address that was used before; none for a fresh port.
    pub address: Option<SocketAddr>,
    /// What it does wrong on purpose.
    pub plants: Vec<Plant>,
}

/// A life of a backend server; clones share it.
#[derive(Clone)]
pub struct Server {
    /// Its number in the record.
    pub life: usize,
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: usize,
    /// Whether it is of the other service.
    pub other: bool,
    /// Where it listens.
    pub address: SocketAddr,
    book: Book,
    plants: Arc<Vec<Plant>>,
    illness: Arc<Mutex<Option<Illness>>>,
    cold_until: Ms,
    draining: watch::Sender<bool>,
    end: watch::Sender<bool>,
    slots: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
    answers: Arc<AtomicU64>,
}

impl Server {
    /// Starts a life.
    pub async fn start(book: &Book, birth: Birth) -> eyre::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(birth.address.unwrap_or(any)).await?;
        let now = book.now();
        let cold_until = now + birth.cold;
        let life = {
            let mut record = book.record();
            record.lives.push(Life {
                name: birth.name.clone(),
                region: birth.region,
                other: birth.other,
                start: now,
                cold_until,
                leaves: None,
                end: None,
            });
            record.lives.len() - 1
        };
        let server = Self {
            life,
            name: birth.name,
            region: birth.region,
            other: birth.other,
            address: listener.local_addr()?,
            book: book.clone(),
            plants: Arc::new(birth.plants),
            illness: Arc::default(),
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

    /// How long it is still cold.
    pub fn cold_left(&self) -> Ms {
        self.cold_until.saturating_sub(self.book.now())
    }

    /// Gets things wrong from now on, or no longer.
    pub fn fall_ill(&self, illness: Option<Illness>) {
        *self.illness.lock().expect("the lock is never poisoned") = illness;
    }

    /// Its health check says from now on that it leaves.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Ends at once.
    pub fn crash(&self) {
        let now = self.book.now();
        let mut record = self.book.record();
        record.lives[self.life].end.get_or_insert(now);
        drop(record);
        self.end.send_replace(true);
    }

    /// Ends when its running requests are done, or soon anyway.
    pub async fn finish(&self) {
        let all = self.slots.acquire_many(SLOTS as u32);
        let _ = timeout(LAST_WORK, all).await;
        self.crash();
    }

    fn has(&self, plant: Plant) -> bool {
        self.plants.contains(&plant)
    }

    async fn listen(self, listener: TcpListener) {
        let mut end = self.end.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = end.wait_for(|end| *end) => return,
            };
            if let Ok((channel, _)) = accepted {
                tokio::spawn(self.clone().serve(channel));
            }
        }
    }

    async fn serve(self, channel: TcpStream) {
        let _ = channel.set_nodelay(true);
        let mut end = self.end.subscribe();
        let unframed = AtomicBool::new(false);
        let handler = service_fn(|request| self.answer(request, &unframed));
        let served = server::Builder::new().serve_connection(TokioIo::new(channel), handler);
        tokio::pin!(served);
        let ended = tokio::select! {
            _ = &mut served => false,
            _ = end.wait_for(|end| *end) => true,
        };
        if ended && unframed.load(Ordering::Relaxed) {
            let _ = timeout(LAST_BYTES, served).await;
        }
    }

    fn illness(&self) -> Option<Illness> {
        *self.illness.lock().expect("the lock is never poisoned")
    }

    /// Answers one request; `is_unframed` is whether the connection's answer has neither a length nor
    /// chunks.
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
        let illness = self.illness();
        if path == "/health" {
            return self.health(illness).await;
        }
        let id = text("request-id");
        if id.is_empty() {
            return Ok(whole(StatusCode::NOT_FOUND, ""));
        }
        let target = text("target-instance");
        let misdirected = !target.is_empty() && target != self.name;
        let arrival = self.note(&id, misdirected, &path, &body);
        if misdirected {
            return Ok(self.refusal(arrival, 421));
        }
        if illness == Some(Illness::Dark) {
            return std::future::pending().await;
        }
        if illness == Some(Illness::Full) || self.waiting.load(Ordering::Relaxed) >= WAITING {
            return Ok(self.refusal(arrival, 503));
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let waits = Waits(self.waiting.clone());
        let slot = self.slots.clone().acquire_owned().await;
        drop(waits);
        let slot = slot.map_err(std::io::Error::other)?;
        let kind = kind_of(&path);
        let runs = 1 + u32::from(self.has(Plant::Twice) && kind == Some(Kind::Once));
        self.book.record().arrivals[arrival].runs += runs;
        if illness == Some(Illness::Slow) {
            sleep(SLOW_WORK).await;
        }
        if self.has(Plant::FalseRefusal) && kind == Some(Kind::Once) {
            return Ok(self.refusal(arrival, 503));
        }
        let turn = self.answers.fetch_add(1, Ordering::Relaxed);
        if illness == Some(Illness::Lying) && turn.is_multiple_of(2) {
            self.book.record().arrivals[arrival].status = 500;
            let failed = whole(StatusCode::INTERNAL_SERVER_ERROR, "failed");
            return Ok(self.signed(failed, &id, arrival));
        }
        self.book.record().arrivals[arrival].status = 200;
        if kind == Some(Kind::Stream) {
            let last = text("last-event-id").parse().unwrap_or(0);
            let unframed = illness == Some(Illness::Unframed);
            is_unframed.store(unframed, Ordering::Relaxed);
            let end = match unframed && turn.is_multiple_of(2) {
                true => EVENTS.min(last + BREAK_AFTER),
                false => EVENTS,
            };
            let mut answer = self.events(last, end, unframed, slot);
            if unframed {
                // The library then writes neither a length nor chunks.
                *answer.version_mut() = Version::HTTP_10;
            }
            return Ok(self.signed(answer, &id, arrival));
        }
        sleep(WORK).await;
        let foreign = self.has(Plant::ForeignAnswer) && kind == Some(Kind::Safe);
        let content = if foreign {
            body_of(&self.name, "another")
        } else {
            body_of(&self.name, &id)
        };
        Ok(self.signed(whole(StatusCode::OK, content), &id, arrival))
    }

    async fn health(&self, illness: Option<Illness>) -> std::io::Result<Response<Body>> {
        if illness == Some(Illness::Dark) {
            return std::future::pending().await;
        }
        let status = match *self.draining.borrow() {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::OK,
        };
        let mut answer = whole(status, "");
        let headers = answer.headers_mut();
        headers.insert("served-by", value(&self.name));
        headers.insert("cold-ms", HeaderValue::from(self.cold_left()));
        Ok(answer)
    }

    fn note(&self, id: &str, misdirected: bool, path: &str, body: &Bytes) -> usize {
        let at = self.book.now();
        let mut record = self.book.record();
        // What the caller meant stands in the id, which no box changes.
        let intact = **body == *asked(id).as_bytes() && path == path_of_id(id);
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
        self.book.record().arrivals[arrival].status = status;
        let status = StatusCode::from_u16(status).expect("a status");
        let mut answer = whole(status, "");
        let headers = answer.headers_mut();
        headers.insert("not-executed", HeaderValue::from_static("1"));
        headers.insert("served-by", value(&self.name));
        answer
    }

    fn signed(&self, mut answer: Response<Body>, id: &str, arrival: usize) -> Response<Body> {
        let headers = answer.headers_mut();
        headers.insert("request-id", value(id));
        headers.insert("response-signature", value(&signature(&self.name, arrival)));
        answer
    }

    /// Streams the events after `last` up to `end`; an unframed stream that is not whole ends
    /// inside the next one.
    fn events(
        &self,
        last: u32,
        end: u32,
        unframed: bool,
        slot: tokio::sync::OwnedSemaphorePermit,
    ) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(1);
        let skipped = self.has(Plant::SkippedEvent).then_some(EVENTS / 2);
        let name = self.name.clone();
        let mut crash = self.end.subscribe();
        tokio::spawn(async move {
            let _slot = slot;
            let (mut made, mut crashed) = (last, false);
            for number in (last + 1..=end).filter(|n| Some(*n) != skipped) {
                let event = format!("id: {number}\ndata: {name}\n\n");
                tokio::select! {
                    sent = sender.send(Ok(Bytes::from(event))) => if sent.is_err() { return },
                    _ = crash.wait_for(|end| *end) => {
                        crashed = true;
                        break;
                    }
                }
                made = number;
                sleep(EVENT_PAUSE).await;
            }
            if unframed && made < EVENTS {
                let half = format!("id: {}\nda", made + 1);
                let _ = sender.send(Ok(Bytes::from(half))).await;
            } else if crashed {
                // Without an error the library would write the last chunk.
                let _ = sender.send(Err(std::io::Error::other("crashed"))).await;
            }
        });
        let mut answer = stream(receiver);
        let kind = HeaderValue::from_static(EVENT_STREAM);
        answer.headers_mut().insert("content-type", kind);
        answer
    }

    /// What of the record is disturbed while it gets things wrong.
    pub fn part(&self) -> Part {
        Part::Server(self.life)
    }
}

struct Waits(Arc<AtomicUsize>);

impl Drop for Waits {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("names are plain text")
}

/// The mark of a server's run.
pub fn signature(server: &str, arrival: usize) -> String {
    format!("{server}/{arrival}")
}

/// A server's answer.
pub fn body_of(server: &str, id: &str) -> String {
    format!("{server} has run {id}")
}

/// A caller's request body.
pub fn asked(id: &str) -> String {
    format!("please run {id}")
}

/// The path of a request, whose id begins with its first piece.
pub fn path_of_id(id: &str) -> String {
    let piece = id.split('-').next().unwrap_or_default();
    format!("/{piece}/x")
}

/// The first piece of a kind's paths.
pub fn piece_of(kind: Kind) -> String {
    match kind {
        Kind::Safe => "safe".to_owned(),
        Kind::Once => "once".to_owned(),
        Kind::Stream => "stream".to_owned(),
        Kind::Home => "home".to_owned(),
        Kind::Other => "other".to_owned(),
        Kind::Versioned(number) => format!("v{number}"),
    }
}

fn kind_of(path: &str) -> Option<Kind> {
    let kinds = [
        Kind::Safe,
        Kind::Once,
        Kind::Stream,
        Kind::Home,
        Kind::Other,
    ];
    let piece = path.split('/').nth(1).unwrap_or_default();
    kinds.into_iter().find(|kind| piece_of(*kind) == piece)
}
