//! Messages between boxes over nng: one PULL listener, one PUSH link an addressee.
//!
//! A link holds few messages and drops what does not fit; a silent addressee never holds up the
//! others. Links write nng's framing themselves: its own PUSH socket sends through freed memory where a
//! peer closes while the connection is set up, and panics where that happens during the handshake.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use anng::{Socket, pipes::TcpOptions, protocols::pipeline0};
use eyre::WrapErr;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::{Semaphore, mpsc},
    time::{sleep, timeout},
};

use crate::{
    gateway::{core::Handle, dial::tune, metrics::Metrics},
    reducer::event::Event,
    settings::Secret,
    wire::Frame,
};

/// Messages that wait for one addressee.
const BACKLOG: usize = 16;
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// A dial takes two round trips, 220 ms to another region. A box without power says nothing, and a
/// lost opening packet is sent again only after a second: it is better to dial anew.
const DIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait before the first further dial, and the longest: a seed that comes back is found soon.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));
/// Dials at the same time to addressees that answered the last one, or were not dialled yet: a box that
/// meets a whole region does not open all connections at once.
const FIRST_DIALS: usize = 4;
/// Dials at the same time to addressees that did not answer the last one: most are dead and take all
/// of [`DIAL_TIMEOUT`], and must not hold up the others.
const FURTHER_DIALS: usize = 2;
/// A link without a message for this long is taken down.
const IDLE: Duration = Duration::from_secs(60);

/// What each side of a connection says first: the protocol's mark, and the kind of its socket.
const PUSHER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
const PULLER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// The listener for messages.
pub(crate) struct Listener {
    socket: Socket<pipeline0::Pull0>,
    /// Where it listens.
    pub(crate) address: SocketAddr,
}

/// Binds `address`.
pub(crate) async fn bind(address: SocketAddr) -> eyre::Result<Listener> {
    let socket = pipeline0::Pull0::socket().wrap_err("cannot make an nng socket")?;
    let bound = socket.listen_tcp(address, &TcpOptions::default()).await;
    let bound = bound.and_then(|listener| listener.local_addr());
    let address = bound.wrap_err_with(|| format!("cannot listen for gossip on {address}"))?;
    Ok(Listener { socket, address })
}

/// Tells `core` of every frame with a right signature.
pub(crate) fn listen(listener: Listener, secret: Secret, core: Handle, metrics: Arc<Metrics>) {
    let mut socket = listener.socket;
    tokio::spawn(async move {
        loop {
            let message = match socket.pull().await {
                Ok(message) => message,
                Err(error) => {
                    log::warn!("gossip: receive: {error:?}");
                    sleep(BACKOFF.0).await;
                    continue;
                }
            };
            match Frame::decode(&secret, message.as_slice()) {
                Ok(frame) => {
                    metrics.count_received(frame.body.kind(), message.len());
                    core.tell(Event::Heard(frame));
                }
                Err(error) => {
                    metrics.count_received("unreadable", message.len());
                    log::debug!("gossip: dropped a message: {error}");
                }
            }
        }
    });
}

/// The dials that may be under way at the same time; the others wait for their turn.
struct Dials {
    first: Semaphore,
    further: Semaphore,
}

impl Dials {
    /// Dials `to`; `again` says that the last dial there failed.
    async fn dial(&self, to: SocketAddr, again: bool) -> Option<TcpStream> {
        let line = if again { &self.further } else { &self.first };
        let _turn = line.acquire().await.ok()?;
        match timeout(DIAL_TIMEOUT, greet(to)).await {
            Ok(Ok(stream)) => Some(stream),
            Ok(Err(error)) => {
                log::debug!("gossip: dial {to}: {error}");
                None
            }
            Err(_) => {
                log::debug!("gossip: dial {to}: no answer in time");
                None
            }
        }
    }
}

/// Connects to a puller.
async fn greet(to: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to).await?;
    tune(&stream)?;
    stream.write_all(&PUSHER).await?;
    let mut greeting = [0; PULLER.len()];
    stream.read_exact(&mut greeting).await?;
    match greeting == PULLER {
        true => Ok(stream),
        false => Err(io::Error::other("it does not pull")),
    }
}

/// Writes one message: its length and its bytes.
async fn push(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = (bytes.len() as u64).to_be_bytes();
    stream.write_all(&[&length, bytes].concat()).await
}

/// Waits until the other side closes; a puller sends nothing.
async fn closed(stream: &mut TcpStream) {
    let mut bytes = [0; PULLER.len()];
    while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
}

/// The outgoing links of one box.
pub(crate) struct Links {
    secret: Secret,
    metrics: Arc<Metrics>,
    dials: Arc<Dials>,
    open: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    pub(crate) fn new(secret: Secret, metrics: Arc<Metrics>) -> Self {
        let dials = Dials {
            first: Semaphore::new(FIRST_DIALS),
            further: Semaphore::new(FURTHER_DIALS),
        };
        Self {
            secret,
            metrics,
            dials: Arc::new(dials),
            open: HashMap::new(),
        }
    }

    /// Sends `frame` to `to`, or drops it where the addressee is slow.
    pub(crate) fn send(&mut self, to: SocketAddr, frame: &Frame) {
        let bytes = frame.encode(&self.secret);
        let (kind, size) = (frame.body.kind(), bytes.len());
        if self.open.get(&to).is_none_or(|link| link.is_closed()) {
            // Only a new link looks at all others: each message would be the square of a region.
            self.open.retain(|_, link| !link.is_closed());
        }
        let link = self.open.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(BACKLOG);
            tokio::spawn(run(to, receiver, self.dials.clone()));
            sender
        });
        match link.try_send(bytes) {
            Ok(()) => self.metrics.count_sent(kind, size),
            Err(_) => self.metrics.count_dropped(kind, size),
        }
    }
}

async fn run(to: SocketAddr, mut messages: mpsc::Receiver<Vec<u8>>, dials: Arc<Dials>) {
    let mut backoff = BACKOFF.0;
    let mut again = false;
    loop {
        let Some(mut stream) = dials.dial(to, again).await else {
            again = true;
            sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF.1);
            if messages.is_closed() {
                return;
            }
            continue;
        };
        (backoff, again) = (BACKOFF.0, false);
        loop {
            let next = tokio::select! {
                next = timeout(IDLE, messages.recv()) => next,
                () = closed(&mut stream) => break,
            };
            let Ok(Some(bytes)) = next else {
                return;
            };
            let pushed = timeout(SEND_TIMEOUT, push(&mut stream, &bytes)).await;
            if !matches!(pushed, Ok(Ok(()))) {
                break;
            }
        }
        log::debug!("gossip: {to} does not read; dialling again");
        sleep(backoff).await;
    }
}
