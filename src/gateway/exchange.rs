//! Handles one request: reads it, carries out the reducer's orders and streams the response back.

use std::{future::poll_fn, sync::Arc};

use bytes::Bytes;
use hyper::{
    Method, Request, Response, StatusCode, Uri, body::Incoming, header::CONTENT_LENGTH,
    http::request::Parts,
};
use tokio::sync::mpsc;

use crate::{
    config::KeyHash,
    gateway::{
        Shell, ask,
        attempt::{AttemptFailure, Prepared, Upstream, try_once},
        body::Body,
        checksum::Checksum,
        clock::BootInstant,
        connections,
        core::{Command, Handle},
        head, pack,
        read::{self, deny},
        replay::Answer,
        resume::Resume,
        stream::{Piece, STALL_TIMEOUT, Source, Stream, Truncated},
        trace::Span,
    },
    id, platform,
    reducer::{
        effect::{Reply, Send, Target},
        event::{Arrival, Credential, Event, Hop, Key},
    },
    settings::Interface,
    verdict::Verdict,
};

/// Maximum number of response pieces queued for a slow caller, of up to 16 KiB each.
const ANSWER_QUEUE_PIECES: usize = 2;

/// The listener that received a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ingress {
    Public,
    Peer,
}

/// A received request; the unread part of its body is discarded after the response.
struct Inbound {
    parts: Parts,
    body: Incoming,
}

/// Notifies the reducer if the sender of a request disconnects before the response.
struct DisconnectGuard {
    core: Handle,
    request: id::Request,
    armed: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.armed {
            self.core.tell(Event::Disconnected(self.request));
        }
    }
}

/// Serves one request of a caller or of another box.
pub(crate) async fn serve(
    shell: Arc<Shell>,
    request: Request<Incoming>,
    door: Ingress,
) -> Response<Body> {
    let name = match door {
        Ingress::Public => "receive",
        Ingress::Peer => "receive relayed",
    };
    let span = shell.tracer.receive(name, request.headers());
    let (parts, body) = request.into_parts();
    let mut incoming = Inbound { parts, body };
    let result = match door {
        Ingress::Public => serve_public(&shell, &mut incoming, &span).await,
        Ingress::Peer => serve_peer(&shell, &mut incoming, &span).await,
    };
    let mut response = result.unwrap_or_else(|reply| {
        // The request was refused before it reached the reducer: an earlier request with the same
        // key may have run.
        let headers = &incoming.parts.headers;
        let relayed = headers
            .get(head::HOP)
            .is_some_and(|hop| hop == head::HOP_RELAY);
        let keyed =
            headers.contains_key(head::IDEMPOTENCY_KEY) && !(door == Ingress::Peer && relayed);
        let verdict = if keyed {
            Verdict::MayHaveRun
        } else {
            reply.verdict
        };
        answer_reply(&shell, &Reply { verdict, ..reply }, door)
    });
    span.set_attribute("http.response.status_code", response.status().as_u16());
    let checked = door == Ingress::Peer && incoming.parts.headers.contains_key(head::CHECKED);
    if checked {
        response = head::with_records(response, &incoming.parts.method);
    }
    let headers = response.headers_mut();
    shell.discard.rest(incoming.body, headers);
    if shell.settings.interface == Interface::Own {
        headers.insert(head::BOX, head::value(&shell.settings.name));
    }
    if let Some(trace) = span.trace_id() {
        headers.insert("trace-id", head::value(trace));
    }
    if shell.is_stopping() {
        platform::head::close(headers);
    }
    if checked {
        Checksum::add(&mut response);
    }
    response
}

fn answer_reply(shell: &Shell, reply: &Reply, door: Ingress) -> Response<Body> {
    let labels = [reply.status.to_string(), reply.verdict.to_string()];
    shell.metrics.replies.with_label_values(&labels).inc();
    let prefix = reply
        .offer_key
        .then(|| shell.new_pin().prefix(&shell.settings.cluster_secret));
    let mut response = head::problem(reply, prefix.as_deref(), shell.settings.interface);
    // The other box does not charge the retry of a request that no backend server received.
    if door == Ingress::Peer && shell.is_stopping() && !reply.arrived {
        let headers = response.headers_mut();
        headers.insert(head::LEAVING, head::value(true));
    }
    response
}

async fn serve_public(
    shell: &Arc<Shell>,
    inbound: &mut Inbound,
    span: &Span,
) -> Result<Response<Body>, Reply> {
    let headers = &inbound.parts.headers;
    let key = match shell.settings.interface {
        Interface::Platform => head::bearer(headers),
        Interface::Own => head::api_key(headers),
    };
    let credential = key.map_or(Credential::Missing, |key| Credential::Key(KeyHash::of(key)));
    if shell.settings.interface == Interface::Platform {
        return forward(shell, inbound, credential, Hop::Direct, span).await;
    }
    match inbound.parts.uri.path() {
        "/petreldrum/health" => {
            return Ok(head::full_response(StatusCode::OK, "text/plain", "alive\n"));
        }
        "/petreldrum/ready" => return Ok(shell.readiness().await),
        "/petreldrum/ask" => return ask::answer(shell, credential).await,
        _ => {}
    }
    shell.check_credential(&credential)?;
    forward(shell, inbound, credential, Hop::Direct, span).await
}

async fn serve_peer(
    shell: &Arc<Shell>,
    inbound: &mut Inbound,
    span: &Span,
) -> Result<Response<Body>, Reply> {
    let headers = &inbound.parts.headers;
    let secret = headers.get(head::SECRET).map(|v| v.as_bytes());
    if !secret.is_some_and(|s| shell.is_cluster_secret(s)) {
        return Err(deny(403, "this listener is for boxes of the system"));
    }
    if inbound.parts.uri.path() == head::CONFIG_PATH {
        let current = shell.current.borrow().clone();
        let current = current.ok_or_else(|| deny(404, "no configuration is in force"))?;
        shell.metrics.count_sent("config", current.packed.len());
        return Ok(head::full_response(
            StatusCode::OK,
            pack::CONTENT_TYPE,
            current.packed,
        ));
    }
    if inbound.parts.uri.path() == head::SERVER_LIST_PATH {
        let since = head::server_list_since(inbound.parts.uri.query());
        let packed = shell.packed_roster(since).await;
        let packed = packed.map_err(|error| deny(500, &format!("{error:#}")))?;
        let packed = packed.ok_or_else(|| deny(404, "no list of backend servers is known"))?;
        let kind = since.map_or("list", |_| "changes");
        shell.metrics.count_sent(kind, packed.len());
        return Ok(head::full_response(
            StatusCode::OK,
            pack::CONTENT_TYPE,
            packed,
        ));
    }
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let customer = headers.get(head::CUSTOMER).and_then(head::decode_name);
    let customer = customer.map(Into::into);
    let customer = customer.ok_or_else(|| deny(400, "the relayed request names no customer"))?;
    let hop = match (text(head::HOP), text(head::FROM).map(str::parse)) {
        (Some(head::HOP_RELAY), Some(Ok(region))) => Hop::Relay(region),
        (Some(head::HOP_PASS), _) => Hop::Pass,
        _ => return Err(deny(400, "the relayed request names no hop")),
    };
    forward(shell, inbound, Credential::Verified(customer), hop, span).await
}

/// Reads a request, submits it to the reducer and carries out the reducer's orders.
async fn forward(
    shell: &Arc<Shell>,
    inbound: &mut Inbound,
    credential: Credential,
    hop: Hop,
    span: &Span,
) -> Result<Response<Body>, Reply> {
    let received_at = BootInstant::now();
    let label = match hop {
        Hop::Direct => "direct",
        Hop::Relay(_) => "relay",
        Hop::Pass => "pass",
    };
    let door = match hop {
        Hop::Direct => Ingress::Public,
        Hop::Relay(_) | Hop::Pass => Ingress::Peer,
    };
    shell.metrics.requests.with_label_values(&[label]).inc();
    let parts = &inbound.parts;
    if parts.method == Method::CONNECT {
        return Err(deny(405, "CONNECT is not served"));
    }
    read::check_head(parts)?;
    let (body, memory) = read::read_body(shell, &mut inbound.body).await?;
    connections::begin_answer(parts);
    let path = parts.uri.path().to_owned();
    let uri = parts
        .uri
        .path_and_query()
        .cloned()
        .map_or(Uri::from_static("/"), Uri::from);
    let headers = &parts.headers;
    let attributes = read::read_attributes(shell, parts, &uri, &body, door)?;
    let id = shell.next_request();
    span.set_attribute("request", id);
    let arrival = Arrival {
        request: id,
        tag: head::caller_request_id(headers),
        credential,
        host: head::host(headers),
        path,
        model: attributes.routing.model,
        prefix: attributes.routing.prefix,
        prompt: attributes.prompt,
        content: attributes.content,
        draw: rand::random(),
        runs: (door == Ingress::Peer)
            .then(|| head::runs(headers))
            .flatten(),
        key: attributes.key,
        left: attributes.time_left,
        hop,
    };
    let detached = matches!(arrival.key, Key::Good(_));
    let prepared = Arc::new(Prepared {
        method: parts.method.clone(),
        uri,
        headers: head::forwarded_request(parts.headers.clone(), shell.settings.interface),
        body,
        _memory: memory,
        span: span.clone(),
        door,
        received_at,
    });
    let mut guard = DisconnectGuard {
        core: shell.core.clone(),
        request: id,
        armed: true,
    };
    let orders = shell.core.open(Event::Arrived(arrival));
    let result = if detached {
        // The request continues after its caller disconnects, so that a re-send finds its response.
        let task = tokio::spawn(drive(shell.clone(), prepared, id, orders));
        task.await.unwrap_or_else(|_| Err(task_failed()))
    } else {
        drive(shell.clone(), prepared, id, orders).await
    };
    guard.armed = false;
    Ok(result.unwrap_or_else(|reply| answer_reply(shell, &reply, door)))
}

/// Builds the reply for a request whose task failed; whether the request ran is unknown.
fn task_failed() -> Reply {
    Reply::new(500, Verdict::MayHaveRun, "the box lost the request")
}

/// Carries out the reducer's orders until a response begins.
async fn drive(
    shell: Arc<Shell>,
    prepared: Arc<Prepared>,
    request: id::Request,
    mut orders: mpsc::UnboundedReceiver<Command>,
) -> Result<Response<Body>, Reply> {
    // The last error response of a backend server, returned if no attempt succeeds.
    let mut error: Option<(Send, Box<Upstream>)> = None;
    loop {
        let Some(order) = orders.recv().await else {
            return Err(task_failed());
        };
        let send = match order {
            Command::Send(send) => *send,
            Command::Abort | Command::Detach | Command::Stopping | Command::Complete => continue,
            Command::Reply(reply) => {
                let (send, upstream) = error.ok_or(reply)?;
                return Ok(build_response(&shell, &prepared, &send, *upstream, orders));
            }
            Command::Replay(answer) => return replay_response(&shell, answer),
            Command::Boxes(_) => return Err(task_failed()),
        };
        let attempt = send.attempt;
        tokio::select! {
            biased;
            result = try_once(&shell, &prepared, &send, None) => match result {
                Ok(upstream) => {
                    shell.core.tell(Event::Begun { request, attempt });
                    let took = prepared.received_at.elapsed().as_secs_f64();
                    shell.metrics.first_byte.observe(took);
                    return Ok(build_response(&shell, &prepared, &send, upstream, orders));
                }
                Err(AttemptFailure { verdict, cause, answer }) => {
                    error = answer.map(|upstream| (send, upstream)).or(error);
                    shell.core.tell(Event::Failed {
                        request,
                        attempt,
                        verdict,
                        cause,
                    });
                }
            },
            order = orders.recv() => match order {
                // Dropping the attempt closes its connection, which cancels the request at the
                // target.
                Some(Command::Abort | Command::Detach) => {}
                Some(Command::Reply(reply)) => return Err(reply),
                _ => return Err(task_failed()),
            },
        }
    }
}

fn replay_response(shell: &Shell, answer: id::Request) -> Result<Response<Body>, Reply> {
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

/// Builds the response to the caller from an upstream response.
fn build_response(
    shell: &Arc<Shell>,
    prepared: &Arc<Prepared>,
    send: &Send,
    upstream: Upstream,
    orders: mpsc::UnboundedReceiver<Command>,
) -> Response<Body> {
    let (verdict, region) = match &send.target {
        Target::Backend { .. } => (Verdict::Ran, shell.settings.region.clone()),
        Target::Relay { region, .. } => (Verdict::Ran, region.clone()),
        Target::Pass { .. } => {
            let verdict = head::verdict(upstream.response.headers());
            (
                verdict.unwrap_or(Verdict::MayHaveRun),
                shell.settings.region.clone(),
            )
        }
    };
    let status = upstream.response.status();
    let mut headers = head::forwarded_response(upstream.response.headers().clone());
    let platform = shell.settings.interface == Interface::Platform;
    if prepared.door == Ingress::Peer || !platform {
        headers.insert(head::VERDICT, head::value(verdict));
        headers.insert(head::REGION, head::value(region));
    }
    let source = Source {
        request: send.request,
        attempt: send.attempt,
    };
    let core = shell.core.clone();
    let can_resume = send.resumable || send.movable;
    let can_resume = can_resume && !upstream.response.headers().contains_key(CONTENT_LENGTH);
    let resume = can_resume.then(|| Resume::new(shell.clone(), prepared.clone(), send.resumable));
    let pulse = shell.signs.recorder(&send.target);
    let received_at = prepared.received_at;
    let metrics = shell.metrics.clone();
    let mut stream = Stream::new(upstream, core, metrics, orders, source, received_at, resume);
    stream.pulse = pulse;
    let body = if send.record {
        let answer = Answer {
            status,
            headers: headers.clone(),
            body: Bytes::new(),
        };
        Body::Buffered(buffer_answer(shell.clone(), stream, source.request, answer))
    } else {
        Body::Stream(Box::new(stream))
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Reads a stream to its end, even if the caller has disconnected, and stores the response for
/// re-sends.
fn buffer_answer(
    shell: Arc<Shell>,
    mut stream: Stream,
    request: id::Request,
    answer: Answer,
) -> mpsc::Receiver<Result<Bytes, Truncated>> {
    let (sender, receiver) = mpsc::channel(ANSWER_QUEUE_PIECES);
    tokio::spawn(async move {
        let mut caller = Some(sender);
        let mut recording = Some(shell.replay.record());
        loop {
            match poll_fn(|cx| stream.poll_piece(cx)).await {
                Piece::Data(bytes) => {
                    recording = recording.and_then(|mut r| r.push(&bytes).then_some(r));
                    caller = send_piece(caller, Ok(bytes)).await;
                    if caller.is_none() && recording.is_none() {
                        // It cannot be replayed: nobody can be given the rest, which may be endless.
                        return stream.end(false);
                    }
                }
                Piece::End => {
                    // Stored before the end is reported, so that a re-send always finds it.
                    if let Some(recording) = recording {
                        recording.finish(request, answer);
                    }
                    return stream.end(true);
                }
                Piece::Truncated | Piece::Aborted | Piece::Moving => {
                    stream.end(false);
                    send_piece(caller, Err(Truncated)).await;
                    return;
                }
            }
        }
    });
    receiver
}

type CallerChannel = Option<mpsc::Sender<Result<Bytes, Truncated>>>;

/// Sends a piece to the caller; one that accepts nothing for [`STALL_TIMEOUT`] is dropped.
async fn send_piece(caller: CallerChannel, piece: Result<Bytes, Truncated>) -> CallerChannel {
    let sender = caller?;
    let sent = sender.send_timeout(piece, STALL_TIMEOUT).await;
    sent.is_ok().then_some(sender)
}
