//! Client connections to backend servers, boxes and the platform, and whether a failed request may
//! have run.

use std::{
    collections::HashMap,
    io::{self, ErrorKind},
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead as _, ReadBuf},
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    gateway::{
        clock::BootInstant,
        socket::{Socket, State},
    },
    platform,
    verdict::Verdict,
};

/// Network distance of a peer, which sets the timeout for opening a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// A peer in the same region. A connection opens within a few milliseconds, while a machine
    /// that is down does not answer at all. A lost SYN is retransmitted only after a second, so
    /// trying another peer is faster than waiting.
    SameRegion,
    /// A peer in another region; the timeout is three times the longest round trip between regions.
    OtherRegion,
}

impl Distance {
    fn connect_timeout(self) -> Duration {
        match self {
            Self::SameRegion => Duration::from_millis(150),
            Self::OtherRegion => Duration::from_millis(400),
        }
    }
}

/// Time without an acknowledgement of sent data after which a peer counts as unreachable: several
/// times the longest round trip, so that a lost packet can be retransmitted.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a peer counts as unreachable.
const KEEPALIVE_PROBES: u32 = 2;
/// Idle connections are dropped this long before the peer's own idle timeout closes them.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle timeout of connections whose peer announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a port that was found open is checked again. Without the second check, 12 servers
/// instead of 3 crashed in a test of six crashing requests whose servers closed their ports 40 ms
/// after their connections. A crashed server takes at least a second to start again, so its port is
/// still closed at the second check.
const RECHECK_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

type Sender = http1::SendRequest<Full<Bytes>>;

/// The reason why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was opened, and nothing was sent.
    Unreachable,
    /// The connection broke after some of the request may have been sent.
    Broken,
}

impl Failure {
    /// Returns whether the request may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Unreachable => Verdict::NotRun,
            Self::Broken => Verdict::MayHaveRun,
        }
    }
}

struct PooledConnection {
    sender: Sender,
    state: Arc<State>,
    task: JoinHandle<()>,
    /// When it may no longer be reused.
    expires: BootInstant,
}

impl PooledConnection {
    fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.state.is_ended()
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A pool of idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<PooledConnection>>>,
}

/// The connection that carries a response. Dropping it closes the connection, [`Lease::return_to_pool`]
/// returns it to the pool.
pub struct Lease {
    pool: Arc<Pool>,
    address: SocketAddr,
    connection: PooledConnection,
    idle: Duration,
}

impl Lease {
    /// Returns the connection to the pool; the response body must have been read to its end.
    pub fn return_to_pool(self) {
        let Self {
            pool,
            address,
            mut connection,
            idle,
        } = self;
        let now = BootInstant::now();
        connection.expires = now + idle;
        let mut pools = pool.idle.lock().expect("the pool's lock is never poisoned");
        let connections = pools.entry(address).or_default();
        connections.retain(|l| !l.is_closed() && l.expires > now);
        if connections.len() < MAX_IDLE_PER_ADDRESS && !connection.is_closed() && !idle.is_zero() {
            connections.push(connection);
        }
    }
}

/// Reports whether `address` refuses connections; a timeout counts as not closed, because it proves
/// nothing either way.
///
/// A process that exits may close its port later than its connections, so an open port is checked a
/// second time.
pub(crate) async fn is_port_closed(address: SocketAddr) -> bool {
    if refuses_connection(address).await {
        return true;
    }
    sleep(RECHECK_DELAY).await;
    refuses_connection(address).await
}

async fn refuses_connection(address: SocketAddr) -> bool {
    let connected = timeout(
        Distance::SameRegion.connect_timeout(),
        TcpStream::connect(address),
    )
    .await;
    let closed = [ErrorKind::ConnectionRefused, ErrorKind::ConnectionReset];
    matches!(connected, Ok(Err(error)) if closed.contains(&error.kind()))
}

/// Reads at most `most` bytes. hyper doubles a connection's buffer each time a read fills it, up to
/// 400 KiB, keeps it while the connection is open, and passes it on as one piece.
pub(crate) fn read_part(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
    most: usize,
) -> Poll<io::Result<()>> {
    let most = most.min(buffer.remaining());
    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
    let polled = Pin::new(stream).poll_read(cx, &mut part);
    let read = part.filled().len();
    buffer.advance(read);
    polled
}

async fn connect(address: SocketAddr, distance: Distance) -> Result<PooledConnection, Failure> {
    let connected = timeout(distance.connect_timeout(), TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(Failure::Unreachable),
    };
    if let Err(error) = configure_socket(&stream) {
        log::debug!("dial: {address}: {error}");
    }
    let state = Arc::new(State::default());
    let socket = Socket::new(stream, state.clone());
    let handshake = http1::handshake(TokioIo::new(socket)).await;
    let (sender, connection) = handshake.map_err(|_| Failure::Unreachable)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::trace!("dial: {address}: {error}");
        }
    });
    Ok(PooledConnection {
        sender,
        state,
        task,
        expires: BootInstant::now(),
    })
}

/// Configures a connection to a peer that reads what it is sent as soon as it arrives: as
/// [`configure_accepted`] does, and with the acknowledgement timeout.
pub(crate) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    configure_accepted(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT))
}

/// Disables Nagle's algorithm, and enables keepalive probes, so that the loss of a peer is detected.
///
/// The acknowledgement timeout also ends a connection whose peer is alive and reads nothing for that
/// long, as a caller may, or a box that passes an answer on to such a caller.
pub(crate) fn configure_accepted(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Removes a `Content-Length` beside a `Transfer-Encoding`, which overrides it (RFC 9112, section 6.3);
/// returns whether there was one.
fn remove_overridden_length(headers: &mut HeaderMap) -> bool {
    let is_overridden = headers.contains_key(TRANSFER_ENCODING);
    is_overridden && headers.remove(CONTENT_LENGTH).is_some()
}

/// The transfer coding of a body. The HTTP library decodes `chunked`, and ignores others (RFC 9112,
/// section 6.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Coding {
    /// None that changes the body.
    Identity,
    Chunked,
    /// One that is not decoded, or several.
    Unknown,
}

impl Coding {
    fn of(headers: &HeaderMap) -> Self {
        let mut coding = Self::Identity;
        for field in headers.get_all(TRANSFER_ENCODING) {
            let Ok(names) = field.to_str() else {
                return Self::Unknown;
            };
            let names = names.split(',').map(str::trim);
            for name in names.filter(|name| !name.is_empty()) {
                coding = match coding {
                    _ if name.eq_ignore_ascii_case("identity") => continue,
                    Self::Identity if name.eq_ignore_ascii_case("chunked") => Self::Chunked,
                    _ => return Self::Unknown,
                };
            }
        }
        coding
    }
}

/// Reports whether `status` is one of a final answer (RFC 9110, section 15). The HTTP library reads
/// the final answer after others of 100 to 199, but for 101, and passes on those over 599.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

impl Pool {
    /// Sends `request` to `address`. With `fresh` it gets a new connection: on a pooled one that
    /// the peer closes while it is idle, whether the request ran would be unknown.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        fresh: bool,
        distance: Distance,
    ) -> Result<(Response<Incoming>, Lease), Failure> {
        while let Some(mut connection) = self.idle_connection(address, fresh) {
            if connection.sender.ready().await.is_err() {
                continue;
            }
            connection.state.begin_request();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.lease(address, connection, response),
                Err(mut error) => match error.take_message() {
                    // hyper returned the request without having written it.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Broken),
                },
            }
        }
        let mut connection = connect(address, distance).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.lease(address, connection, response),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => Failure::Unreachable,
                None => Failure::Broken,
            }),
        }
    }

    fn lease(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: PooledConnection,
        mut response: Response<Incoming>,
    ) -> Result<(Response<Incoming>, Lease), Failure> {
        if !is_final(response.status()) {
            log::debug!("dial: {address}: status {}", response.status().as_u16());
            return Err(Failure::Broken);
        }
        let coding = Coding::of(response.headers());
        if coding == Coding::Unknown {
            let codings = response.headers().get_all(TRANSFER_ENCODING);
            let codings: Vec<_> = codings.iter().collect();
            log::debug!("dial: {address}: transfer codings {codings:?}");
            return Err(Failure::Broken);
        }
        let headers = response.headers_mut();
        let has_two_lengths = remove_overridden_length(headers);
        if coding == Coding::Identity {
            // The end of such a body is that of its connection.
            headers.remove(TRANSFER_ENCODING);
        }
        let advertised = platform::head::keep_alive(response.headers());
        let idle = advertised.map_or(DEFAULT_IDLE_TIMEOUT, |advertised| {
            advertised.saturating_sub(IDLE_MARGIN)
        });
        // Where the body ends is in doubt, and so is where the next answer begins.
        let idle = match has_two_lengths {
            true => Duration::ZERO,
            false => idle,
        };
        let lease = Lease {
            pool: self.clone(),
            address,
            connection,
            idle,
        };
        Ok((response, lease))
    }

    /// Closes the idle connections to `address`, because requests sent on them might never be
    /// answered.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
        idle.remove(&address);
    }

    fn idle_connection(&self, address: SocketAddr, fresh: bool) -> Option<PooledConnection> {
        if fresh {
            return None;
        }
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
        let connections = idle.get_mut(&address)?;
        let now = BootInstant::now();
        while let Some(connection) = connections.pop() {
            if connection.expires > now && !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}
