//! One request and its answer: reads it, follows the reducer's orders, streams the answer back.

use std::{future::poll_fn, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::{Body as _, Incoming},
    header::{HOST, HeaderName},
    http::request::Parts,
};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::{
    sync::{OwnedSemaphorePermit, mpsc},
    time::{Instant, timeout},
};

use crate::{
    config::{KeyHash, Kind},
    gateway::{
        Shell,
        body::{Body, Cut, Piece, STALL, Source, Stream},
        core::{Handle, Order},
        dial::{Failure, Lease},
        head, pack,
        replay::{Answer, MAX_ANSWER},
        trace::Span,
    },
    id::{self, Service},
    pin::{self, Pin},
    reducer::{
        effect::{Entry, Reply, Send, Target},
        event::{Arrival, Cause, Credential, Event, Hop, Key},
    },
    unit::Millis,
    verdict::Verdict,
};

/// How long a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How much of a refused body is read, and for how long.
const DISCARD_BYTES: usize = 16 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of the prompt that name its prefix.
const PREFIX_BYTES: usize = 1024;
/// Body memory is counted in pieces of this many bytes.
pub(crate) const PIECE: u64 = 1024;
/// Pieces of an answer that wait for a slow caller.
const BACKLOG: usize = 8;
/// How long the boxes of an "ask" may be used.
const ASK_LIFE: Millis = Millis(10_000);

/// Which listener a request came by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Door {
    Public,
    Peer,
}

/// A request that was read whole and may be sent more than once.
struct Prepared {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    _memory: Option<OwnedSemaphorePermit>,
    span: Span,
    came: Instant,
}

/// A request as it comes; what is left of its body is discarded after the answer.
struct Inbound {
    parts: Parts,
    body: Incoming,
}

/// Reads on for a while after a request was refused: a connection that is closed while its sender
/// still writes is reset, and the answer is lost with it.
async fn discard(body: Incoming) {
    let rest = Limited::new(body, DISCARD_BYTES).collect();
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}

fn deny(status: u16, reason: &str) -> Reply {
    Reply::new(status, Verdict::NotRun, reason)
}

/// Tells the reducer when the one who sent the request goes away before the answer.
struct Guard {
    core: Handle,
    request: id::Request,
    armed: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.armed {
            self.core.tell(Event::Gone(self.request));
        }
    }
}

/// Serves one request of a caller or of another box.
pub(crate) async fn serve(
    shell: Arc<Shell>,
    request: Request<Incoming>,
    door: Door,
) -> Response<Body> {
    let name = match door {
        Door::Public => "receive",
        Door::Peer => "receive relayed",
    };
    let span = shell.tracer.receive(name, request.headers());
    let (parts, body) = request.into_parts();
    let mut incoming = Inbound { parts, body };
    let result = match door {
        Door::Public => public(&shell, &mut incoming, &span).await,
        Door::Peer => peer(&shell, &mut incoming, &span).await,
    };
    if !incoming.body.is_end_stream() {
        tokio::spawn(discard(incoming.body));
    }
    let mut response = result.unwrap_or_else(|reply| {
        // Refused before the reducer saw it: earlier sends of its key may have run.
        let headers = &incoming.parts.headers;
        let relayed = headers
            .get(head::HOP)
            .is_some_and(|hop| hop == head::HOP_RELAY);
        let keyed = headers.contains_key(head::IDEMPOTENCY_KEY) && !(door == Door::Peer && relayed);
        let verdict = if keyed {
            Verdict::MayHaveRun
        } else {
            reply.verdict
        };
        answer_reply(&shell, &Reply { verdict, ..reply })
    });
    span.note("http.response.status_code", response.status().as_u16());
    let headers = response.headers_mut();
    headers.insert(head::BOX, head::value(&shell.settings.name));
    headers.insert("trace-id", head::value(span.trace_id()));
    response
}

fn answer_reply(shell: &Shell, reply: &Reply) -> Response<Body> {
    let labels = [reply.status.to_string(), reply.verdict.to_string()];
    shell.metrics.replies.with_label_values(&labels).inc();
    let prefix = reply
        .offer_key
        .then(|| shell.own_pin().prefix(&shell.settings.cluster_secret));
    head::problem(reply, prefix.as_deref())
}

async fn public(
    shell: &Arc<Shell>,
    inbound: &mut Inbound,
    span: &Span,
) -> Result<Response<Body>, Reply> {
    let credential = match head::api_key(&inbound.parts.headers) {
        Some(key) => Credential::Key(KeyHash::of(key)),
        None => Credential::Missing,
    };
    match inbound.parts.uri.path() {
        "/petreldrum/health" => return Ok(head::whole(StatusCode::OK, "text/plain", "alive\n")),
        "/petreldrum/ready" => return Ok(shell.readiness().await),
        "/petreldrum/ask" => return ask(shell, credential).await,
        _ => {}
    }
    shell.known(&credential)?;
    forward(shell, inbound, credential, Hop::Direct, span).await
}

async fn peer(
    shell: &Arc<Shell>,
    inbound: &mut Inbound,
    span: &Span,
) -> Result<Response<Body>, Reply> {
    let headers = &inbound.parts.headers;
    let secret = headers.get(head::SECRET).map(|v| v.as_bytes());
    if !secret.is_some_and(|s| shell.is_secret(s)) {
        return Err(deny(403, "this listener is for boxes of the system"));
    }
    if inbound.parts.uri.path() == head::CONFIG_PATH {
        let current = shell.current.borrow().clone();
        let current = current.ok_or_else(|| deny(404, "no configuration is in force"))?;
        return Ok(head::whole(StatusCode::OK, pack::TYPE, current.packed));
    }
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let caller = text(head::CALLER).and_then(|name| name.parse().ok());
    let caller = caller.ok_or_else(|| deny(400, "the relayed request names no caller"))?;
    let hop = match (text(head::HOP), text(head::FROM).map(str::parse)) {
        (Some(head::HOP_RELAY), Some(Ok(region))) => Hop::Relay(region),
        (Some(head::HOP_PASS), _) => Hop::Pass,
        _ => return Err(deny(400, "the relayed request names no hop")),
    };
    forward(shell, inbound, Credential::Vouched(caller), hop, span).await
}

async fn ask(shell: &Arc<Shell>, credential: Credential) -> Result<Response<Body>, Reply> {
    let request = shell.next_request();
    let mut orders = shell.core.open(Event::Asked {
        request,
        credential,
    });
    match orders.recv().await {
        Some(Order::Boxes(boxes)) => Ok(list_boxes(shell, &boxes)),
        Some(Order::Reply(reply)) => Err(reply),
        _ => Err(deny(503, "this box is stopping")),
    }
}

fn list_boxes(shell: &Shell, boxes: &[Entry]) -> Response<Body> {
    let secret = &shell.settings.cluster_secret;
    let rows: Vec<serde_json::Value> = boxes
        .iter()
        .map(|entry| {
            let pin = Pin {
                peer: entry.contact.peer,
                incarnation: entry.incarnation,
                expiry: entry.uptime + pin::LIFE,
            };
            serde_json::json!({
                "box": entry.contact.name,
                "region": entry.contact.region,
                "failure_domain": entry.contact.domain,
                "address": entry.contact.public,
                "key_prefix": pin.prefix(secret),
                "busy": entry.busy,
            })
        })
        .collect();
    let content = serde_json::json!({ "boxes": rows, "use_for_ms": ASK_LIFE });
    head::json_answer(StatusCode::OK, &content)
}

/// Reads a request, brings it to the reducer and follows its orders.
async fn forward(
    shell: &Arc<Shell>,
    inbound: &mut Inbound,
    credential: Credential,
    hop: Hop,
    span: &Span,
) -> Result<Response<Body>, Reply> {
    let came = Instant::now();
    let label = match hop {
        Hop::Direct => "direct",
        Hop::Relay(_) => "relay",
        Hop::Pass => "pass",
    };
    shell.metrics.requests.with_label_values(&[label]).inc();
    let parts = &inbound.parts;
    if parts.method == Method::CONNECT {
        return Err(deny(405, "CONNECT is not served"));
    }
    let (body, memory) = read_body(shell, &mut inbound.body).await?;
    let path = parts.uri.path().to_owned();
    let prompt = read_prompt(shell, &path, &body)?;
    let uri = parts
        .uri
        .path_and_query()
        .cloned()
        .map_or(Uri::from_static("/"), Uri::from);
    let id = shell.next_request();
    span.note("request", id);
    let arrival = Arrival {
        request: id,
        credential,
        path,
        model: prompt.model,
        prefix: prompt.prefix,
        key: read_key(shell, &parts.headers, &parts.method, &uri, &body)?,
        left: head::left(&parts.headers),
        hop,
    };
    let detached = matches!(arrival.key, Key::Good(_));
    let prepared = Prepared {
        method: parts.method.clone(),
        uri,
        headers: head::request(parts.headers.clone()),
        body,
        _memory: memory,
        span: span.clone(),
        came,
    };
    let mut guard = Guard {
        core: shell.core.clone(),
        request: id,
        armed: true,
    };
    let orders = shell.core.open(Event::Arrived(arrival));
    let driven = if detached {
        // The request goes on when its caller goes away, so that a re-send finds its answer.
        let task = tokio::spawn(drive(shell.clone(), prepared, id, orders));
        task.await.unwrap_or_else(|_| Err(lost()))
    } else {
        drive(shell.clone(), prepared, id, orders).await
    };
    guard.armed = false;
    Ok(driven.unwrap_or_else(|reply| answer_reply(shell, &reply)))
}

/// The task of a request broke; nothing is known of its run.
fn lost() -> Reply {
    Reply::new(500, Verdict::MayHaveRun, "the box lost the request")
}

async fn read_body(
    shell: &Shell,
    body: &mut Incoming,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), Reply> {
    let limit = shell.settings.max_body.0;
    let hint = body.size_hint();
    if hint.lower() > limit {
        return Err(deny(413, "the body is too large"));
    }
    if hint.exact() == Some(0) {
        return Ok((Bytes::new(), None));
    }
    let pieces = hint.exact().unwrap_or(limit).div_ceil(PIECE);
    let memory = shell.bodies.clone().try_acquire_many_owned(pieces as u32);
    let full = || deny(503, "this box holds too many bodies").after(Millis(1000));
    let memory = memory.map_err(|_| full())?;
    let read = Limited::new(body, limit as usize).collect();
    let collected = timeout(BODY_TIMEOUT, read)
        .await
        .map_err(|_| deny(408, "the body did not arrive in time"))?;
    match collected {
        Ok(body) => Ok((body.to_bytes(), Some(memory))),
        Err(error) if error.is::<LengthLimitError>() => Err(deny(413, "the body is too large")),
        Err(_) => Err(deny(400, "the body does not read")),
    }
}

#[derive(Deserialize)]
struct Prompt<'a> {
    model: Option<String>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

#[derive(Default)]
struct Read {
    model: Option<Service>,
    prefix: u64,
}

/// Reads what routing needs of a model request's body.
fn read_prompt(shell: &Shell, path: &str, body: &[u8]) -> Result<Read, Reply> {
    let current = shell.current.borrow().clone();
    let kind = current.and_then(|c| c.config.route(path).map(|r| r.kind));
    if kind != Some(Kind::Model) {
        return Ok(Read::default());
    }
    let prompt: Prompt<'_> = serde_json::from_slice(body)
        .map_err(|e| deny(400, &format!("the body is not a model request: {e}")))?;
    let text = prompt.messages.or(prompt.prompt).map_or("", RawValue::get);
    let beginning = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
    Ok(Read {
        model: prompt.model.and_then(|name| name.parse().ok()),
        prefix: xxhash_rust::xxh3::xxh3_64(beginning),
    })
}

fn read_key(
    shell: &Shell,
    headers: &HeaderMap,
    method: &Method,
    uri: &Uri,
    body: &[u8],
) -> Result<Key, Reply> {
    let mut keys = headers.get_all(head::IDEMPOTENCY_KEY).iter();
    let Some(key) = keys.next() else {
        return Ok(Key::Absent);
    };
    if keys.next().is_some() {
        return Err(deny(400, "there are two idempotency keys"));
    }
    let text = key.to_str().ok().filter(|k| k.len() <= pin::MAX_KEY);
    let Some(text) = text else {
        return Err(deny(400, "the idempotency key is too long or not ASCII"));
    };
    let pin = match Pin::read(&shell.settings.cluster_secret, text) {
        Ok(pin) => pin,
        Err(error) => return Ok(Key::Bad(error)),
    };
    let mut content = xxhash_rust::xxh3::Xxh3::new();
    content.update(method.as_str().as_bytes());
    content.update(uri.to_string().as_bytes());
    content.update(&[0]);
    content.update(body);
    Ok(Key::Good(pin::Key {
        pin,
        digest: pin::Digest::of(text),
        content: content.digest(),
    }))
}

/// Follows the reducer's orders until the answer begins.
async fn drive(
    shell: Arc<Shell>,
    prepared: Prepared,
    request: id::Request,
    mut orders: mpsc::UnboundedReceiver<Order>,
) -> Result<Response<Body>, Reply> {
    loop {
        let Some(order) = orders.recv().await else {
            return Err(lost());
        };
        let send = match order {
            Order::Send(send) => send,
            Order::Abort => continue,
            Order::Reply(reply) => return Err(reply),
            Order::Replay(answer) => return replayed(&shell, answer),
            Order::Boxes(_) => return Err(lost()),
        };
        let attempt = send.attempt;
        tokio::select! {
            biased;
            tried = try_once(&shell, &prepared, &send) => match tried {
                Ok(found) => {
                    shell.core.tell(Event::Begun { request, attempt });
                    let took = prepared.came.elapsed().as_secs_f64();
                    shell.metrics.first_byte.observe(took);
                    return Ok(stream(&shell, &send, found));
                }
                Err((verdict, cause)) => shell.core.tell(Event::Failed {
                    request,
                    attempt,
                    verdict,
                    cause,
                }),
            },
            order = orders.recv() => match order {
                // The drop of the attempt closes its connection and so cancels it there.
                Some(Order::Abort) => {}
                Some(Order::Reply(reply)) => return Err(reply),
                _ => return Err(lost()),
            },
        }
    }
}

fn replayed(shell: &Shell, answer: id::Request) -> Result<Response<Body>, Reply> {
    shell.metrics.replays.inc();
    let Some(answer) = shell.replay.get(answer) else {
        let reason = "it ran; its answer is no longer at hand";
        return Err(Reply::new(409, Verdict::Ran, reason));
    };
    let mut response = Response::new(Body::Whole(Some(answer.body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    Ok(response)
}

/// An answer that begins.
struct Found {
    response: Response<Incoming>,
    lease: Lease,
    span: Span,
}

async fn try_once(
    shell: &Arc<Shell>,
    prepared: &Prepared,
    send: &Send,
) -> Result<Found, (Verdict, Cause)> {
    let now = shell.clock.now();
    let label = match send.target {
        Target::Backend { .. } => "backend",
        Target::Relay { .. } => "relay",
        Target::Pass { .. } => "pass",
    };
    let count = |outcome: &str| {
        shell
            .metrics
            .attempts
            .with_label_values(&[label, outcome])
            .inc()
    };
    if now > send.not_after {
        // The process stood still between the decision and now.
        count("late");
        return Err((Verdict::NotRun, Cause::Late));
    }
    let (address, request, span) = outgoing(shell, prepared, send);
    let sent = shell.pool.send(address, request, !send.repeatable).await;
    let (response, lease) = sent.map_err(|failure| {
        count("failed");
        let cause = match failure {
            Failure::Unreachable => Cause::Unreachable,
            Failure::Broken => Cause::Broken,
        };
        (failure.verdict(), cause)
    })?;
    span.note("http.response.status_code", response.status().as_u16());
    if let Some(refused) = refusal(&send.target, response.headers()) {
        count("refused");
        return Err(refused);
    }
    count("answered");
    Ok(Found {
        response,
        lease,
        span,
    })
}

/// Whether an answer says that the request did not run, or may not have.
fn refusal(target: &Target, headers: &HeaderMap) -> Option<(Verdict, Cause)> {
    match target {
        Target::Backend { refusal_header, .. } => {
            let header = refusal_header.as_ref()?;
            headers
                .contains_key(header)
                .then_some((Verdict::NotRun, Cause::Refused))
        }
        Target::Relay { .. } => match head::verdict(headers) {
            Some(Verdict::Ran) => None,
            Some(Verdict::NotRun) => Some((Verdict::NotRun, Cause::Refused)),
            Some(Verdict::MayHaveRun) | None => Some((Verdict::MayHaveRun, Cause::Broken)),
        },
        // The box that owns the key has the last word.
        Target::Pass { .. } => None,
    }
}

fn outgoing(
    shell: &Shell,
    prepared: &Prepared,
    send: &Send,
) -> (std::net::SocketAddr, Request<Full<Bytes>>, Span) {
    let mut headers = prepared.headers.clone();
    let left = send.not_after.since(shell.clock.now());
    headers.insert(head::LEFT, head::value(left.0));
    let own = |name: &'static str| HeaderName::from_static(name);
    let (address, name) = match &send.target {
        Target::Backend { address, .. } => (*address, "send to backend server"),
        Target::Relay { peer, .. } => {
            headers.insert(own(head::HOP), head::value(head::HOP_RELAY));
            (*peer, "relay to region")
        }
        Target::Pass { peer } => {
            headers.insert(own(head::HOP), head::value(head::HOP_PASS));
            (*peer, "pass to key's box")
        }
    };
    if !matches!(send.target, Target::Backend { .. }) {
        headers.insert(own(head::FROM), head::value(&shell.settings.region));
        headers.insert(own(head::CALLER), head::value(&send.caller));
        let secret = shell.settings.cluster_secret.expose();
        headers.insert(own(head::SECRET), head::value(secret));
    }
    headers.insert(HOST, head::value(address));
    let span = shell.tracer.send(name, &prepared.span, &mut headers);
    span.note("server.address", address);
    let mut request = Request::new(Full::new(prepared.body.clone()));
    *request.method_mut() = prepared.method.clone();
    *request.uri_mut() = prepared.uri.clone();
    *request.headers_mut() = headers;
    (address, request, span)
}

/// Makes the answer to the caller out of one that begins.
fn stream(shell: &Arc<Shell>, send: &Send, found: Found) -> Response<Body> {
    let (verdict, region) = match &send.target {
        Target::Backend { .. } => (Verdict::Ran, shell.settings.region.clone()),
        Target::Relay { region, .. } => (Verdict::Ran, region.clone()),
        Target::Pass { .. } => {
            let verdict = head::verdict(found.response.headers());
            (
                verdict.unwrap_or(Verdict::MayHaveRun),
                shell.settings.region.clone(),
            )
        }
    };
    let status = found.response.status();
    let mut headers = head::response(found.response.headers().clone());
    headers.insert(head::VERDICT, head::value(verdict));
    headers.insert(head::REGION, head::value(region));
    let source = Source {
        request: send.request,
        attempt: send.attempt,
    };
    let core = shell.core.clone();
    let stream = Stream::new(found.response, found.lease, core, source, found.span);
    let body = if send.record {
        let answer = Answer {
            status,
            headers: headers.clone(),
            body: Bytes::new(),
        };
        Body::Kept(keep(shell.clone(), stream, source.request, answer))
    } else {
        Body::Stream(Box::new(stream))
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Reads a stream to its end, whether or not the caller still listens, and keeps the answer.
fn keep(
    shell: Arc<Shell>,
    mut stream: Stream,
    request: id::Request,
    mut answer: Answer,
) -> mpsc::Receiver<Result<Bytes, Cut>> {
    let (sender, receiver) = mpsc::channel(BACKLOG);
    tokio::spawn(async move {
        let mut listener = Some(sender);
        let mut kept = Some(Vec::new());
        loop {
            match poll_fn(|cx| stream.poll_piece(cx)).await {
                Piece::Data(bytes) => {
                    if let Some(all) = kept.as_mut() {
                        all.extend_from_slice(&bytes);
                    }
                    kept = kept.filter(|all| all.len() <= MAX_ANSWER);
                    listener = hand_on(listener, Ok(bytes)).await;
                }
                Piece::End => {
                    // Kept before the end is told, so that a re-send never finds it missing.
                    if let Some(all) = kept {
                        answer.body = all.into();
                        shell.replay.keep(request, answer);
                    }
                    return stream.end(true);
                }
                Piece::Cut => {
                    stream.end(false);
                    hand_on(listener, Err(Cut)).await;
                    return;
                }
            }
        }
    });
    receiver
}

type Listener = Option<mpsc::Sender<Result<Bytes, Cut>>>;

/// Gives a piece to the caller; one that takes nothing for long is left.
async fn hand_on(listener: Listener, piece: Result<Bytes, Cut>) -> Listener {
    let sender = listener?;
    let sent = sender.send_timeout(piece, STALL).await;
    sent.is_ok().then_some(sender)
}
