//! Connections to backend servers, boxes and the platform, and what a failure says of the request.

use std::{
    collections::HashMap,
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{gateway::clock::Moment, platform, verdict::Verdict};

/// How long a connection may take to open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// Inside a region it takes a few milliseconds, and a machine that is gone says nothing. A lost
    /// opening packet is sent again only after a second: it is better to go elsewhere.
    Near,
    /// Three times the longest way to another region and back.
    Far,
}

impl Distance {
    fn patience(self) -> Duration {
        match self {
            Self::Near => Duration::from_millis(150),
            Self::Far => Duration::from_millis(400),
        }
    }
}

/// A peer that does not acknowledge what was written for this long is gone: several times the
/// longest round trip, so that a lost packet is sent again in time.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A silent peer is asked whether it is there after this long, and as often again.
const PROBE: Duration = Duration::from_secs(1);
/// Unanswered probes after which a peer is gone.
const PROBES: u32 = 2;
/// An idle connection is left this long before its other side closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How long an idle connection is used where the other side does not say.
const IDLE: Duration = Duration::from_secs(30);
/// How much later an open port is looked at again: without it 12 servers that close their ports 40 ms after
/// their connections ended in place of 3, in a test of six deadly requests; a server takes a second and more to
/// start again.
const KNOCK_AGAIN: Duration = Duration::from_millis(100);
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
    /// When it is not used any more.
    expires: Moment,
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
    idle: Duration,
}

impl Lease {
    /// Keeps the connection for another request; the answer's body was read to its end.
    pub fn give_back(self) {
        let Self {
            pool,
            address,
            mut link,
            idle,
        } = self;
        let now = Moment::now();
        link.expires = now + idle;
        let mut pools = pool.idle.lock().expect("the pool's lock is never poisoned");
        let links = pools.entry(address).or_default();
        links.retain(|l| !l.sender.is_closed() && l.expires > now);
        if links.len() < MAX_IDLE && !link.sender.is_closed() && !idle.is_zero() {
            links.push(link);
        }
    }
}

/// Whether nothing listens at `address`: a machine that stays silent tells nothing either way.
///
/// A process that ends may close its port after its connections, so an open one is looked at again.
pub(crate) async fn is_closed(address: SocketAddr) -> bool {
    if refuses(address).await {
        return true;
    }
    sleep(KNOCK_AGAIN).await;
    refuses(address).await
}

async fn refuses(address: SocketAddr) -> bool {
    let dialled = timeout(Distance::Near.patience(), TcpStream::connect(address)).await;
    let closed = [ErrorKind::ConnectionRefused, ErrorKind::ConnectionReset];
    matches!(dialled, Ok(Err(error)) if closed.contains(&error.kind()))
}

async fn connect(address: SocketAddr, distance: Distance) -> Result<Link, Failure> {
    let dialled = timeout(distance.patience(), TcpStream::connect(address)).await;
    let stream = match dialled {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(Failure::Unreachable),
    };
    if let Err(error) = tune(&stream) {
        log::debug!("dial: {address}: {error}");
    }
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|_| Failure::Unreachable)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::trace!("dial: {address}: {error}");
        }
    });
    Ok(Link {
        sender,
        task,
        expires: Moment::now(),
    })
}

/// Small writes go out at once, and a peer that is gone is noticed.
pub(crate) fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT))
}

impl Pool {
    /// Sends `request` to `address`; a `fresh` one gets a connection of its own, so that a
    /// connection closed while idle cannot leave its fate unknown.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        fresh: bool,
        distance: Distance,
    ) -> Result<(Response<Incoming>, Lease), Failure> {
        while let Some(mut link) = self.idle_link(address, fresh) {
            if link.sender.ready().await.is_err() {
                continue;
            }
            match link.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.lease(address, link, response)),
                Err(mut error) => match error.take_message() {
                    // Handed back unwritten.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Broken),
                },
            }
        }
        let mut link = connect(address, distance).await?;
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok(self.lease(address, link, response)),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => Failure::Unreachable,
                None => Failure::Broken,
            }),
        }
    }

    fn lease(
        self: &Arc<Self>,
        address: SocketAddr,
        link: Link,
        response: Response<Incoming>,
    ) -> (Response<Incoming>, Lease) {
        let told = platform::head::keep_alive(response.headers());
        let idle = told.map_or(IDLE, |told| told.saturating_sub(IDLE_MARGIN));
        let lease = Lease {
            pool: self.clone(),
            address,
            link,
            idle,
        };
        (response, lease)
    }

    /// Closes the idle connections to `address`: what were written there might never be answered.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
        idle.remove(&address);
    }

    fn idle_link(&self, address: SocketAddr, fresh: bool) -> Option<Link> {
        if fresh {
            return None;
        }
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
        let links = idle.get_mut(&address)?;
        let now = Moment::now();
        while let Some(link) = links.pop() {
            if link.expires > now && !link.sender.is_closed() {
                return Some(link);
            }
        }
        None
    }
}
