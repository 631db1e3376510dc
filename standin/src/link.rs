//! Simulated network link between regions: a TCP relay with a delay, cuts and byte loss.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use eyre::WrapErr;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until},
};

const CHUNK_BYTES: usize = 16 << 10;
/// Most chunks in flight in one direction.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// Time after which a connection that has lost bytes is closed.
const CLOSE_AFTER_LOSS: Duration = Duration::from_millis(150);

/// A gap in the return direction: some bytes are dropped, and later ones are delivered.
#[derive(Clone, Copy, Debug, Default)]
struct Loss {
    /// Bytes still to be delivered before the gap.
    skip: usize,
    /// Bytes still to be dropped.
    size: usize,
}

impl Loss {
    /// Returns `bytes` without the dropped part, or `None` if nothing is dropped from them.
    fn apply(&mut self, bytes: &Bytes) -> Option<Bytes> {
        let from = self.skip.min(bytes.len());
        let to = (from + self.size).min(bytes.len());
        self.skip -= from;
        self.size -= to - from;
        let remaining = [&bytes[..from], &bytes[to..]].concat();
        (to > from).then(|| remaining.into())
    }
}

/// State shared by all connections of a link.
#[derive(Clone, Debug, Default)]
struct Shared {
    loss: Arc<Mutex<Loss>>,
    returned_bytes: Arc<AtomicU64>,
}

impl Shared {
    /// Counts returned bytes and applies the loss; reports whether any were dropped.
    fn return_bytes(&self, bytes: Bytes) -> (Bytes, bool) {
        self.returned_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let mut loss = self.loss.lock().expect("the lock is never poisoned");
        match loss.apply(&bytes) {
            Some(remaining) => (remaining, true),
            None => (bytes, false),
        }
    }
}

/// A running link; dropping it closes its connections.
pub struct Link {
    /// Address on which the link listens.
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
    target: watch::Sender<Option<SocketAddr>>,
    shared: Shared,
}

impl Link {
    /// Starts the relay; each byte reaches the target set by [`Link::point`] after `delay`.
    pub async fn start(delay: Duration) -> eyre::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .wrap_err("cannot listen for a link")?;
        let address = listener.local_addr()?;
        let cut = watch::Sender::new(false);
        let state = cut.subscribe();
        let target = watch::Sender::new(None);
        let current_target = target.subscribe();
        let shared = Shared::default();
        let connection_shared = shared.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let target = *current_target.borrow();
                if let Some(target) = target.filter(|_| !*state.borrow()) {
                    let connection_shared = connection_shared.clone();
                    tokio::spawn(relay(
                        client,
                        target,
                        delay,
                        connection_shared,
                        state.clone(),
                    ));
                }
            }
        });
        Ok(Self {
            address,
            cut,
            target,
            shared,
        })
    }

    /// Relays new connections to `target`.
    pub fn point(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Drops `size` bytes of the return direction after the next `skip` ones, delivers later bytes
    /// for a short time and then closes the connection. This simulates a network that delivers the
    /// last bytes that a sender wrote before it gave up.
    pub fn lose(&self, skip: usize, size: usize) {
        let mut loss = self.shared.loss.lock().expect("the lock is never poisoned");
        *loss = Loss { skip, size };
    }

    /// Returns the number of bytes that the return direction has received from the target.
    pub fn carried_back(&self) -> u64 {
        self.shared.returned_bytes.load(Ordering::Relaxed)
    }

    /// Cuts or restores the link; a cut closes every connection.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    delay: Duration,
    shared: Shared,
    mut cut: watch::Receiver<bool>,
) {
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), target_stream.set_nodelay(true));
    let ((client_read, client_write), (target_read, target_write)) =
        (client.into_split(), target_stream.into_split());
    let lost = watch::Sender::new(false);
    let mut loss_signal = lost.subscribe();
    let back = |bytes| {
        let (remaining, dropped) = shared.return_bytes(bytes);
        if dropped {
            lost.send_replace(true);
        }
        remaining
    };
    let forward = copy(client_read, target_write, delay, |bytes| bytes);
    let relayed = async { tokio::join!(forward, copy(target_read, client_write, delay, back)) };
    let closed_after_loss = async {
        let _ = loss_signal.wait_for(|lost| *lost).await;
        sleep(CLOSE_AFTER_LOSS).await;
    };
    tokio::select! {
        _ = relayed => {}
        () = closed_after_loss => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: Duration,
    carry: impl Fn(Bytes) -> Bytes,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_IN_FLIGHT);
    let read = async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(size) = from.read(&mut chunk).await {
            let due = Instant::now() + delay;
            let bytes = carry(Bytes::copy_from_slice(&chunk[..size]));
            if size == 0 || sender.send((due, bytes)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, bytes)) = receiver.recv().await {
            sleep_until(due).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}
