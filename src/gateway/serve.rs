//! HTTP listeners: limits on connections, head sizes and stalled peers, and a graceful shutdown
//! that lets requests in flight finish.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use eyre::WrapErr;
use hyper::{
    Request, Response, Version,
    body::{Body as HttpBody, Frame, Incoming, SizeHint},
    header::{CONNECTION, CONTENT_LENGTH},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, Sleep, timeout},
};

use crate::gateway::{
    body::Body,
    connections::{Connection, Connections},
    dial,
    framing::{Flags, Scanner},
    head,
    stream::Truncated,
};

/// Time limit for an idle connection, and for the arrival of a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection whose peer accepts no bytes for this long is closed.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of bytes per read; see [`dial::read_part`]. After one long body each caller's idle
/// connection held 120 KiB. One byte less than hyper's first buffer never fills it.
const MAX_READ_BYTES: usize = 8191;
/// Time that a stopping listener leaves requests to become complete; they may take much longer than a
/// process is given to stop.
const INCOMPLETE_TIMEOUT: Duration = Duration::from_secs(1);

/// A TCP stream whose writes fail after [`WRITE_STALL_TIMEOUT`] without progress. One that is closed
/// before an answer without framing is complete is reset.
struct WriteTimeoutStream {
    stream: TcpStream,
    timer: Option<Pin<Box<Sleep>>>,
    scanner: Scanner,
    connection: Connection,
    /// Whether the connection is reset when it is closed, also by the end of the process.
    resets: bool,
}

impl WriteTimeoutStream {
    /// Sets whether a close resets the connection. Without a reset, the client of an answer without
    /// framing takes any close for the end of the answer.
    fn set_resets(&mut self, resets: bool) -> io::Result<()> {
        if self.resets != resets {
            let linger = resets.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.resets = resets;
        }
        Ok(())
    }

    /// Prepares the connection for the next bytes of an answer.
    fn begin_write(&mut self) -> io::Result<()> {
        match self.connection.is_unframed() {
            true => self.set_resets(true),
            false => Ok(()),
        }
    }

    fn check_stall(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.connection.set_blocked(polled.is_pending());
        if let Poll::Ready(Ok(written)) = polled {
            self.connection.record_written(written);
        }
        if polled.is_ready() {
            self.timer = None;
            return polled;
        }
        let deadline = Instant::now() + WRITE_STALL_TIMEOUT;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = dial::read_part(&mut self.stream, cx, buffer, MAX_READ_BYTES);
        let head = self.scanner.read(&buffer.filled()[before..]);
        self.connection.set_head(head);
        polled
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_stall(cx, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library shuts a connection down only after it has written a complete answer.
        self.set_resets(false)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.check_stall(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of an answer; its end is the end of the answer.
struct Answer {
    body: Body,
    connection: Connection,
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        ready!(self.connection.poll_queue(cx));
        let next = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &next {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.connection.record_queued(bytes);
        }
        Poll::Ready(next)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.connection.end_answer();
    }
}

/// Binds a listener to `address`; `name` describes its clients in the error message.
pub(crate) async fn bind(address: SocketAddr, name: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen for {name} on {address}"))
}

/// Reports whether the length of `response` is known, so that its end shows.
fn is_sized(response: &Response<Body>) -> bool {
    response.headers().contains_key(CONTENT_LENGTH) || response.body().size_hint().exact().is_some()
}

/// Accepts connections until `stop` is true, then returns once all complete requests are answered.
pub(crate) async fn run<F, Fut>(
    listener: TcpListener,
    max_head: usize,
    connections: Arc<Connections>,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let (stream, admitted) = tokio::select! {
            accepted = connections.accept(&listener, "http") => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        if let Err(error) = dial::configure_accepted(&stream) {
            log::debug!("http: connection: {error}");
        }
        let handler = handler.clone();
        let flags = Flags::default();
        let scanner = Scanner::new(flags.clone());
        let served = admitted.clone();
        let service = service_fn(move |mut request: Request<Incoming>| {
            let flags = flags.clone();
            let connection = served.clone();
            if request.body().is_end_stream() {
                connection.begin_answer();
            }
            request.extensions_mut().insert(connection.clone());
            let version = request.version();
            let answer = (!flags.is_ambiguous(request.headers())).then(|| handler(request));
            async move {
                let response = match answer {
                    Some(answer) => answer.await,
                    None => head::ambiguous_length(),
                };
                if version == Version::HTTP_10 && !is_sized(&response) {
                    connection.begin_unframed();
                }
                let closes = response.headers().get(CONNECTION);
                flags.mark_answered(closes.is_some_and(|value| value == "close"));
                Ok::<_, Infallible>(response.map(|body| Answer { body, connection }))
            }
        });
        let stream = WriteTimeoutStream {
            stream,
            timer: None,
            scanner,
            connection: admitted.clone(),
            resets: false,
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(max_head)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                // A request that is complete is answered, even if the connection is to be closed.
                biased;
                result = connection => {
                    if let Err(error) = result {
                        log::debug!("http: connection: {error}");
                    }
                }
                () = admitted.evicted() => log::debug!("http: connection evicted"),
            }
        });
    }
    drop(listener);
    let mut answered = pin!(graceful.shutdown());
    if timeout(INCOMPLETE_TIMEOUT, &mut answered).await.is_err() {
        connections.evict_waiting();
        answered.await;
    }
}
