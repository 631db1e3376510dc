//! Client sockets: reads in short parts, and the difference between the end of an answer and a reset
//! on its way.
//!
//! An answer without a length ends with its connection (RFC 9112, section 6.3). A peer that ends its
//! side (TCP FIN) while the request is still being written may reset the connection right after it,
//! and no read reports that reset any more. Such an end counts only once the peer has acknowledged
//! all of the request.

use std::{
    io,
    mem::offset_of,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use nix::{getsockopt_impl, libc, sockopt_impl, sys::socket::GetSockOpt as _};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::gateway::dial;

/// Maximum number of bytes per read of an answer: one less than twice hyper's first buffer, which
/// therefore doubles once at most.
const MAX_READ_BYTES: usize = (16 << 10) - 1;
/// Time between two looks at the rest of a request; the kernel does not signal acknowledgements. A
/// peer that acknowledges nothing is lost after [`dial`]'s acknowledgement timeout, and one that
/// reads slowly is waited for as long as for the next bytes of its answer.
const RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The start of the kernel's `struct tcp_info` (tcp(7)): older kernels return a shorter one than the
/// library knows.
#[derive(Clone, Copy, Debug)]
#[repr(C)]
pub struct Info {
    _state: [u8; 24],
    /// Segments that were sent and not acknowledged.
    unacknowledged: u32,
    _counters: [u32; 29],
    /// Bytes that were not sent yet.
    unsent: u32,
}

const _: () = assert!(offset_of!(Info, unacknowledged) == offset_of!(libc::tcp_info, tcpi_unacked));
const _: () = assert!(offset_of!(Info, unsent) == offset_of!(libc::tcp_info, tcpi_notsent_bytes));

sockopt_impl!(
    /// The state of a TCP connection.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    Info
);

/// The state of a connection, shared by its socket and the pool.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Whether bytes of the answer to the last request have arrived.
    answering: AtomicBool,
    /// Whether the peer has ended its side.
    ended: AtomicBool,
}

impl State {
    /// Marks the start of a request: what arrives from now on belongs to its answer.
    pub(crate) fn begin_request(&self) {
        self.answering.store(false, Ordering::Release);
    }

    /// Reports whether the peer has ended its side; nothing more can be asked on the connection.
    pub(crate) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }
}

/// A connection to a backend server, a box or the platform.
pub(crate) struct Socket {
    stream: TcpStream,
    state: Arc<State>,
    /// Whether the kernel did not take all of the last write.
    write_blocked: bool,
    /// Runs while the end of the connection is in doubt.
    recheck: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, state: Arc<State>) -> Self {
        Self {
            stream,
            state,
            write_blocked: false,
            recheck: None,
        }
    }

    /// Reports whether the peer may still reset the connection because of bytes that it was sent.
    fn is_end_in_doubt(&self) -> bool {
        if !self.state.answering.load(Ordering::Acquire) {
            // The end of a connection without an answer is a failure in any case.
            return false;
        }
        let is_queued = match TcpInfo.get(&self.stream) {
            Ok(info) => info.unacknowledged > 0 || info.unsent > 0,
            Err(error) => {
                log::debug!("socket: cannot read the state of a connection: {error}");
                false
            }
        };
        self.write_blocked || is_queued
    }

    /// Completes once it is known whether the peer's end of the connection was followed by a reset.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if let Some(recheck) = &mut self.recheck {
                ready!(recheck.as_mut().poll(cx));
                self.recheck = None;
            }
            let in_doubt = self.is_end_in_doubt();
            // Looked at last: a reset that comes meanwhile leaves nothing unacknowledged.
            if let Some(error) = self.stream.take_error()? {
                return Poll::Ready(Err(error));
            }
            if !in_doubt {
                return Poll::Ready(Ok(()));
            }
            self.recheck = Some(Box::pin(sleep(RECHECK_INTERVAL)));
        }
    }

    /// Records how much of a write the kernel took.
    fn record_write(&mut self, polled: &Poll<io::Result<usize>>, bytes: usize) {
        self.write_blocked = !matches!(polled, Poll::Ready(Ok(written)) if *written == bytes);
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.recheck.is_none() {
            let before = buffer.filled().len();
            ready!(dial::read_part(
                &mut self.stream,
                cx,
                buffer,
                MAX_READ_BYTES
            ))?;
            if buffer.filled().len() > before {
                self.state.answering.store(true, Ordering::Release);
                return Poll::Ready(Ok(()));
            }
            self.state.ended.store(true, Ordering::Release);
        }
        self.poll_end(cx)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(&polled, bytes.len());
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.record_write(&polled, bytes.iter().map(|part| part.len()).sum());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
