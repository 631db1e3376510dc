//! Connections to backend servers, boxes and the platform, and what a failure says of the request.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::verdict::Verdict;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Idle connections kept for one address.
const MAX_IDLE: usize = 16;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection: nothing was written.
    Unreachable,
    /// The connection broke after something may have been written.
    Broken,
}

impl Failure {
    /// Whether the request may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Unreachable => Verdict::NotRun,
            Self::Broken => Verdict::MayHaveRun,
        }
    }
}

struct Link {
    sender: Sender,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Link>>>,
}

/// Holds the connection of an answer; dropped before [`Lease::give_back`], it closes it.
pub struct Lease {
    pool: Arc<Pool>,
    address: SocketAddr,
    link: Link,
}

impl Lease {
    /// Keeps the connection for another request; the answer's body was read to its end.
    pub fn give_back(self) {
        let Self {
            pool,
            address,
            link,
        } = self;
        let mut idle = pool.idle.lock().expect("the pool's lock is never poisoned");
        let links = idle.entry(address).or_default();
        links.retain(|l| !l.sender.is_closed());
        if links.len() < MAX_IDLE && !link.sender.is_closed() {
            links.push(link);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Link, Failure> {
    let dialled = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match dialled {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(Failure::Unreachable),
    };
    let _ = stream.set_nodelay(true);
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|_| Failure::Unreachable)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::trace!("dial: {address}: {error}");
        }
    });
    Ok(Link { sender, task })
}

impl Pool {
    /// Sends `request` to `address`; a `fresh` one gets a connection of its own, so that a
    /// connection closed while idle cannot leave its fate unknown.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<(Response<Incoming>, Lease), Failure> {
        while let Some(mut link) = self.idle_link(address, fresh) {
            if link.sender.ready().await.is_err() {
                continue;
            }
            match link.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, self.lease(address, link))),
                Err(mut error) => match error.take_message() {
                    // Handed back unwritten.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Broken),
                },
            }
        }
        let mut link = connect(address).await?;
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok((response, self.lease(address, link))),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => Failure::Unreachable,
                None => Failure::Broken,
            }),
        }
    }

    fn lease(self: &Arc<Self>, address: SocketAddr, link: Link) -> Lease {
        Lease {
            pool: self.clone(),
            address,
            link,
        }
    }

    fn idle_link(&self, address: SocketAddr, fresh: bool) -> Option<Link> {
        if fresh {
            return None;
        }
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
        idle.get_mut(&address)?.pop()
    }
}
