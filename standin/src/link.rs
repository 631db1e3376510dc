//! A link between regions: a TCP relay that is slow, and may be cut.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::WrapErr;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};

const CHUNK: usize = 16 << 10;
/// Chunks under way in one direction.
const FLIGHT: usize = 256;

/// A running link.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
    target: watch::Sender<Option<SocketAddr>>,
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
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let target = *pointed.borrow();
                if let Some(target) = target.filter(|_| !*state.borrow()) {
                    tokio::spawn(relay(near, target, delay, state.clone()));
                }
            }
        });
        Ok(Self {
            address,
            cut,
            target,
        })
    }

    /// Relays to `target` from now on.
    pub fn point(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
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
    mut cut: watch::Receiver<bool>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    let both = async { tokio::join!(copy(near_in, far_out, delay), copy(far_in, near_out, delay)) };
    tokio::select! {
        _ = both => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(FLIGHT);
    let read = async move {
        let mut chunk = vec![0; CHUNK];
        while let Ok(size) = from.read(&mut chunk).await {
            let due = Instant::now() + delay;
            let bytes = Bytes::copy_from_slice(&chunk[..size]);
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
