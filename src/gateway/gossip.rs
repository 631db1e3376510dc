//! Messages between boxes over nng's protocol: one PULL listener, and one PUSH connection per
//! addressee.
//!
//! Each link has a short queue and drops messages that do not fit, so that a silent addressee never
//! delays the others. Both sides implement nng's framing themselves: nng's own PUSH socket sends from
//! freed memory if a peer closes while the connection is set up, and panics if that happens during
//! the handshake; its PULL socket has no limits (see [`pull`]).

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{sleep, timeout},
};

use crate::{
    gateway::{
        connections::Connections,
        core::Handle,
        dial::configure_socket,
        metrics::Metrics,
        pull::{self, PULL_GREETING, PUSH_GREETING},
    },
    reducer::event::Event,
    settings::Secret,
    wire::Frame,
};

/// Received messages that may be queued. With more, a box that is short of processor time would work
/// through messages of many senders before it turns to the next request.
const RECEIVE_QUEUE_CAPACITY: usize = 1;
/// Messages that may be queued for one addressee.
const QUEUE_CAPACITY: usize = 16;
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for connecting and the handshake. They take two round trips, 220 ms to another
/// region. A box without power does not answer, and a lost SYN packet is sent again only after a
/// second, so dialling anew is faster.
const DIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait before the first retry, and the longest wait; it is short so that a seed that comes back is
/// found soon.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));
/// Concurrent dials to addressees that answered the last dial or were not dialled yet: a box that
/// joins a whole region must not open all connections at once.
const MAX_FIRST_DIALS: usize = 4;
/// Concurrent dials to addressees that did not answer the last dial. Most of them are dead and take
/// all of [`DIAL_TIMEOUT`]; they must not delay the dials to the others.
const MAX_RETRY_DIALS: usize = 2;
/// A link without a message for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Receives messages and passes each frame with a valid signature to `core`.
pub(crate) fn listen(
    listener: TcpListener,
    connections: Arc<Connections>,
    secret: Secret,
    core: Handle,
    metrics: Arc<Metrics>,
) {
    let (sender, mut messages) = mpsc::channel(RECEIVE_QUEUE_CAPACITY);
    tokio::spawn(pull::run(listener, connections, sender));
    tokio::spawn(async move {
        while let Some(message) = messages.recv().await {
            let bytes = &message.bytes;
            match Frame::decode(&secret, bytes) {
                Ok(frame) => {
                    metrics.count_received(frame.body.kind(), bytes.len());
                    core.tell(Event::Received(frame));
                }
                Err(error) => {
                    metrics.count_received("unreadable", bytes.len());
                    log::debug!("gossip: discarded an invalid message: {error}");
                }
            }
        }
    });
}

/// Limits on concurrent dials; further dials wait for a permit.
struct DialLimits {
    first: Semaphore,
    retry: Semaphore,
}

impl DialLimits {
    /// DialLimits `to`; `retry` is true if the last dial there failed.
    async fn dial(&self, to: SocketAddr, retry: bool) -> Option<TcpStream> {
        let limit = if retry { &self.retry } else { &self.first };
        let _permit = limit.acquire().await.ok()?;
        match timeout(DIAL_TIMEOUT, connect(to)).await {
            Ok(Ok(stream)) => Some(stream),
            Ok(Err(error)) => {
                log::debug!("gossip: dialling {to} failed: {error}");
                None
            }
            Err(_) => {
                log::debug!("gossip: dialling {to} timed out");
                None
            }
        }
    }
}

/// Connects to a PULL socket and exchanges greetings with it.
async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to).await?;
    configure_socket(&stream)?;
    stream.write_all(&PUSH_GREETING).await?;
    let mut greeting = [0; PULL_GREETING.len()];
    stream.read_exact(&mut greeting).await?;
    match greeting == PULL_GREETING {
        true => Ok(stream),
        false => Err(io::Error::other("peer is not an nng PULL socket")),
    }
}

/// Writes one message: its length as 8 bytes, then its content.
async fn push(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = (bytes.len() as u64).to_be_bytes();
    stream.write_all(&[&length, bytes].concat()).await
}

/// Waits until the other side closes the connection; a PULL socket sends nothing after its
/// greeting.
async fn wait_closed(stream: &mut TcpStream) {
    let mut bytes = [0; PULL_GREETING.len()];
    while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
}

/// The outgoing links of this box, by address.
pub(crate) struct Links {
    secret: Secret,
    metrics: Arc<Metrics>,
    dials: Arc<DialLimits>,
    open: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    pub(crate) fn new(secret: Secret, metrics: Arc<Metrics>) -> Self {
        let dials = DialLimits {
            first: Semaphore::new(MAX_FIRST_DIALS),
            retry: Semaphore::new(MAX_RETRY_DIALS),
        };
        Self {
            secret,
            metrics,
            dials: Arc::new(dials),
            open: HashMap::new(),
        }
    }

    /// Queues `frame` for `to`, or drops it if the queue of that addressee is full.
    pub(crate) fn send(&mut self, to: SocketAddr, frame: &Frame) {
        let bytes = frame.encode(&self.secret);
        let (kind, size) = (frame.body.kind(), bytes.len());
        if self.open.get(&to).is_none_or(|link| link.is_closed()) {
            // Closed links are removed only when a link is created: a scan for each message would
            // make the cost quadratic in the size of a region.
            self.open.retain(|_, link| !link.is_closed());
        }
        let link = self.open.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(run(to, receiver, self.dials.clone()));
            sender
        });
        match link.try_send(bytes) {
            Ok(()) => self.metrics.count_sent(kind, size),
            Err(_) => self.metrics.count_dropped(kind, size),
        }
    }
}

async fn run(to: SocketAddr, mut messages: mpsc::Receiver<Vec<u8>>, dials: Arc<DialLimits>) {
    let mut backoff = BACKOFF.0;
    let mut retry = false;
    loop {
        let Some(mut stream) = dials.dial(to, retry).await else {
            retry = true;
            sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF.1);
            if messages.is_closed() {
                return;
            }
            continue;
        };
        (backoff, retry) = (BACKOFF.0, false);
        loop {
            let next = tokio::select! {
                next = timeout(IDLE_TIMEOUT, messages.recv()) => next,
                () = wait_closed(&mut stream) => break,
            };
            let Ok(Some(bytes)) = next else {
                return;
            };
            let pushed = timeout(SEND_TIMEOUT, push(&mut stream, &bytes)).await;
            if !matches!(pushed, Ok(Ok(()))) {
                break;
            }
        }
        log::debug!("gossip: connection to {to} closed or send failed; dialling again");
        sleep(backoff).await;
    }
}
