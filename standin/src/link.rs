//! A link between regions: a TCP relay that is slow, and may be cut.

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

const CHUNK: usize = 16 << 10;
/// Chunks under way in one direction.
const FLIGHT: usize = 256;

/// How long a connection that has lost bytes goes on.
const LOSS_LINGER: Duration = Duration::from_millis(150);

/// Bytes on their way back that vanish, though later ones arrive.
#[derive(Clone, Copy, Debug, Default)]
struct Loss {
    /// Bytes that still pass before.
    skip: usize,
    /// Bytes that vanish then.
    size: usize,
}

impl Loss {
    /// Takes out of `bytes` what vanishes.
    fn apply(&mut self, bytes: &Bytes) -> Option<Bytes> {
        let from = self.skip.min(bytes.len());
        let to = (from + self.size).min(bytes.len());
        self.skip -= from;
        self.size -= to - from;
        let left = [&bytes[..from], &bytes[to..]].concat();
        (to > from).then(|| left.into())
    }
}

/// What all connections of a link share.
#[derive(Clone, Debug, Default)]
struct Shared {
    loss: Arc<Mutex<Loss>>,
    back: Arc<AtomicU64>,
}

impl Shared {
    /// What of `bytes` on their way back arrives, and whether some of them vanish.
    fn carry(&self, bytes: Bytes) -> (Bytes, bool) {
        self.back.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let mut loss = self.loss.lock().expect("the lock is never poisoned");
        match loss.apply(&bytes) {
            Some(left) => (left, true),
            None => (bytes, false),
        }
    }
}

/// A running link.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
    target: watch::Sender<Option<SocketAddr>>,
    shared: Shared,
}

impl Link {
    /// Listens; each byte arrives `delay` later where [`Link::point`] says.
    pub async fn start(delay: Duration) -> eyre::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .wrap_err("cannot listen for a link")?;
        let address = listener.local_addr()?;
        let cut = watch::Sender::new(false);
        let state = cut.subscribe();
        let target = watch::Sender::new(None);
        let pointed = target.subscribe();
        let shared = Shared::default();
        let carrier = shared.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let target = *pointed.borrow();
                if let Some(target) = target.filter(|_| !*state.borrow()) {
                    let carrier = carrier.clone();
                    tokio::spawn(relay(near, target, delay, carrier, state.clone()));
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

    /// Relays to `target` from now on.
    pub fn point(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Loses the `size` bytes that come back after the next `skip` ones, passes later ones on for a
    /// moment, and closes their connection: so a network behaves that delivers the last of what a
    /// sender wrote before it gave up.
    pub fn lose(&self, skip: usize, size: usize) {
        let mut loss = self.shared.loss.lock().expect("the lock is never poisoned");
        *loss = Loss { skip, size };
    }

    /// Bytes that came back so far.
    pub fn carried_back(&self) -> u64 {
        self.shared.back.load(Ordering::Relaxed)
    }

    /// Cuts the link, or mends it; a cut closes every connection.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    delay: Duration,
    shared: Shared,
    mut cut: watch::Receiver<bool>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    let lost = watch::Sender::new(false);
    let mut loses = lost.subscribe();
    let back = |bytes| {
        let (left, vanished) = shared.carry(bytes);
        if vanished {
            lost.send_replace(true);
        }
        left
    };
    let there = copy(near_in, far_out, delay, |bytes| bytes);
    let both = async { tokio::join!(there, copy(far_in, near_out, delay, back)) };
    let breaks = async {
        let _ = loses.wait_for(|lost| *lost).await;
        sleep(LOSS_LINGER).await;
    };
    tokio::select! {
        _ = both => {}
        () = breaks => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: Duration,
    carry: impl Fn(Bytes) -> Bytes,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(FLIGHT);
    let read = async move {
        let mut chunk = vec![0; CHUNK];
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
