//! HTTP listeners: bounded connections, heads and stalls, and a planned stop that cuts nothing.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use eyre::WrapErr;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::{Instant, Sleep, sleep},
};

use crate::gateway::{
    body::Body,
    dial,
    framing::{Flags, Scanner},
    head,
    metrics::Metrics,
};

/// Connections open at one listener.
const MAX_CONNECTIONS: usize = 4096;
/// How long a connection may be idle, and a request's head may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// A peer that takes no bytes for this long is cut.
const WRITE_STALL: Duration = Duration::from_secs(60);
/// Most bytes of one read. hyper doubles a connection's buffer, up to the longest head, each time a read
/// fills it, and keeps it as long as the connection is open: after one long body each caller's idle
/// connection held 120 KiB. One byte less than its first buffer never fills it.
const READ: usize = 8191;
/// Wait after the system refused to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A stream whose writes fail when the other side takes nothing for long.
struct Stalling {
    stream: TcpStream,
    timer: Option<Pin<Box<Sleep>>>,
    scanner: Scanner,
}

impl Stalling {
    fn watch<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.timer = None;
            return polled;
        }
        let deadline = Instant::now() + WRITE_STALL;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for Stalling {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let most = READ.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        self.scanner.read(part.filled());
        let read = part.filled().len();
        buffer.advance(read);
        polled
    }
}

impl AsyncWrite for Stalling {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.watch(cx, polled)
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
        self.watch(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Binds `address`.
pub(crate) async fn bind(address: SocketAddr, name: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen for {name} on {address}"))
}

/// Serves `listener` until `stop`, then ends when the last request in flight has its answer.
pub(crate) async fn run<F, Fut>(
    listener: TcpListener,
    max_head: usize,
    metrics: Arc<Metrics>,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("http: accept: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            metrics.refused_connections.inc();
            continue;
        };
        if let Err(error) = dial::tune(&stream) {
            log::debug!("http: connection: {error}");
        }
        let handler = handler.clone();
        let flags = Flags::default();
        let scanner = Scanner::new(flags.clone());
        let service = service_fn(move |request| {
            let flags = flags.clone();
            let answer = (!flags.is_ambiguous()).then(|| handler(request));
            async move {
                let response = match answer {
                    Some(answer) => answer.await,
                    None => head::ambiguous(),
                };
                flags.answered();
                Ok::<_, Infallible>(response)
            }
        });
        let stream = Stalling {
            stream,
            timer: None,
            scanner,
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(max_head)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        let open = metrics.connections.clone();
        open.inc();
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("http: connection: {error}");
            }
            open.dec();
            drop(place);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
