//! HTTP server shared by the stand-ins, and an HTTP client for tests.

use std::{convert::Infallible, net::SocketAddr};

use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::{BodyExt as _, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    client::conn::http1 as client,
    server::conn::http1 as server,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinHandle,
};

/// Response body of a stand-in; an error in the stream closes the connection.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// A request whose body has been read completely.
pub type Whole = Request<Bytes>;

/// Request handler of a stand-in.
pub trait Service: Clone + Send + 'static {
    /// Answers one request; `None` closes the connection without an answer.
    fn answer(&self, request: Whole) -> impl Future<Output = Option<Response<Body>>> + Send;
}

/// Returns a response with a complete body.
pub fn whole(status: StatusCode, content: impl Into<Bytes>) -> Response<Body> {
    let full = Full::new(content.into()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(BoxBody::new(full));
    *response.status_mut() = status;
    response
}

/// Returns a JSON response with status 200.
pub fn json(content: &Value) -> Response<Body> {
    let mut response = whole(StatusCode::OK, content.to_string());
    let value = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", value);
    response
}

/// Decodes percent-encoded text (RFC 3986, section 2.1).
pub(crate) fn decoded(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let code = after.get(..2).and_then(|code| str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        let (byte, length) = match (first, code) {
            (b'%', Some(byte)) => (byte, 3),
            _ => (first, 1),
        };
        bytes.push(byte);
        rest = &rest[length..];
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns a response whose body is streamed from a channel.
pub fn stream(chunks: mpsc::Receiver<std::io::Result<Bytes>>) -> Response<Body> {
    let frames = ChunkStream(chunks);
    Response::new(BoxBody::new(StreamBody::new(frames)))
}

struct ChunkStream(mpsc::Receiver<std::io::Result<Bytes>>);

impl futures_core::Stream for ChunkStream {
    type Item = std::io::Result<Frame<Bytes>>;
    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0
            .poll_recv(cx)
            .map(|chunk| chunk.map(|p| p.map(Frame::data)))
    }
}

/// Listens on `address` and serves in a background task for the life of the process.
pub async fn serve(
    address: SocketAddr,
    service: impl Service + Sync,
) -> eyre::Result<(SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))?;
    let bound = listener.local_addr()?;
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(connection(stream, service.clone()));
        }
    });
    Ok((bound, task))
}

/// Serves on a loopback port that the operating system assigns.
pub async fn start(service: impl Service + Sync) -> eyre::Result<SocketAddr> {
    let (address, _) = serve(SocketAddr::from(([127, 0, 0, 1], 0)), service).await?;
    Ok(address)
}

async fn connection(stream: TcpStream, service: impl Service + Sync) {
    let handler = service_fn(move |request: Request<Incoming>| {
        let service = service.clone();
        async move {
            let (parts, body) = request.into_parts();
            let body = body
                .collect()
                .await
                .map_err(std::io::Error::other)?
                .to_bytes();
            let answer = service.answer(Request::from_parts(parts, body)).await;
            // hyper closes the connection without an answer when the handler fails.
            answer.ok_or_else(|| std::io::Error::other("no answer"))
        }
    });
    let _ = server::Builder::new()
        .serve_connection(TokioIo::new(stream), handler)
        .await;
}

/// A response as a test receives it.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: hyper::HeaderMap,
    /// The part of the body that was received.
    pub body: Bytes,
    /// Whether the body was received completely according to the HTTP framing.
    pub whole: bool,
}

impl Answer {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns a header as text, or an empty string if it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    }
}

/// A response whose headers have arrived and whose body is still to be read.
pub struct Begun {
    response: Response<Incoming>,
}

impl Begun {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the response headers.
    pub fn head(&self) -> &hyper::HeaderMap {
        self.response.headers()
    }

    /// Waits for the next bytes; returns `None` at the end or when the connection breaks.
    pub async fn next(&mut self) -> Option<Bytes> {
        let frame = self.response.body_mut().frame().await?;
        frame.ok()?.into_data().ok()
    }

    /// Reads the body until it ends or the connection breaks.
    pub async fn finish(self) -> Answer {
        let (parts, mut body) = self.response.into_parts();
        let mut all = Vec::new();
        let mut whole = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => all.extend(frame.into_data().unwrap_or_default()),
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        Answer {
            status: parts.status,
            headers: parts.headers,
            body: all.into(),
            whole,
        }
    }
}

/// Sends a request over a new connection and returns once the response headers arrive.
pub async fn begin(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> eyre::Result<Begun> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    if !headers.iter().any(|(name, _)| *name == "host") {
        request = request.header("host", address.to_string());
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into()))?;
    let response = sender.send_request(request).await?;
    Ok(Begun { response })
}

/// Sends a request and reads the complete response.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> eyre::Result<Answer> {
    let begun = begin(address, method, path, headers, body).await?;
    Ok(begun.finish().await)
}
