//! One attempt of a request at one place.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{AUTHORIZATION, HOST, HeaderName, HeaderValue, RETRY_AFTER},
};
use tokio::sync::OwnedSemaphorePermit;

use crate::{
    gateway::{
        Shell,
        checksum::Checksum,
        clock::Moment,
        delimiter::{Delimiter, Sender},
        dial::{Distance, Failure, Lease},
        exchange::Door,
        head,
        trace::Span,
    },
    limit::Word,
    platform::{self, head::Outcome},
    pushback,
    reducer::{
        effect::{Send, Target},
        event::{Cause, Event},
    },
    settings::Interface,
    unit::Time,
    verdict::Verdict,
};

/// Values by which a header says that its backend server is leaving; any other says nothing.
const LEAVING: [&[u8]; 2] = [b"1", b"true"];

/// A request that was read whole and may be sent more than once.
pub(crate) struct Prepared {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The body's share of the memory for bodies, given back with it.
    pub(crate) _memory: Option<OwnedSemaphorePermit>,
    pub(crate) span: Span,
    pub(crate) came: Moment,
    /// How it came.
    pub(crate) door: Door,
}

/// An answer that begins.
pub(crate) struct Found {
    pub(crate) response: Response<Incoming>,
    pub(crate) delimiter: Delimiter,
    pub(crate) lease: Lease,
    pub(crate) span: Span,
}

/// Why an attempt brought no answer that settles the request.
pub(crate) struct Miss {
    /// Whether the request may have run there.
    pub(crate) verdict: Verdict,
    /// Why.
    pub(crate) cause: Cause,
    /// An error of the backend server, which is the answer if there is no further attempt.
    pub(crate) answer: Option<Box<Found>>,
}

impl Miss {
    fn new(verdict: Verdict, cause: Cause) -> Self {
        Self {
            verdict,
            cause,
            answer: None,
        }
    }
}

/// Tries a request once; a stream goes on after `last_event`.
pub(crate) async fn try_once(
    shell: &Arc<Shell>,
    prepared: &Prepared,
    send: &Send,
    last_event: Option<&str>,
) -> Result<Found, Miss> {
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
        return Err(Miss::new(Verdict::NotRun, Cause::Late));
    }
    let (address, mut request, span) = outgoing(shell, prepared, send);
    if let Some(last) = last_event {
        let headers = request.headers_mut();
        headers.insert(platform::head::LAST_EVENT, head::value(last));
    }
    if let Some(origin) = &send.continues {
        platform::head::go_on(request.headers_mut(), origin);
    }
    let distance = match send.target {
        Target::Backend { .. } => Distance::Near,
        Target::Relay { .. } | Target::Pass { .. } => Distance::Far,
    };
    let fresh = !send.repeatable;
    let sent = shell.pool.send(address, request, fresh, distance).await;
    let (response, lease) = sent.map_err(|failure| {
        count("failed");
        let cause = match failure {
            Failure::Unreachable => Cause::Unreachable,
            Failure::Broken => Cause::Broken,
        };
        Miss::new(failure.verdict(), cause)
    })?;
    span.note("http.response.status_code", response.status().as_u16());
    let sender = match send.target {
        Target::Backend { .. } => Sender::Backend,
        Target::Relay { .. } | Target::Pass { .. } => Sender::Box,
    };
    if sender == Sender::Box && !Checksum::holds(&response) {
        count("failed");
        shell.metrics.relay_gaps.inc();
        let (request, attempt) = (send.request, send.attempt.0);
        log::warn!(
            "attempt: box_id={request} attempt={attempt} answered by {address} with a broken head"
        );
        return Err(Miss::new(Verdict::MayHaveRun, Cause::Broken));
    }
    let refused = refusal(shell, prepared, &send.target, &response);
    let ran = refused.is_none() && response.status().is_success();
    let not_run = refused.is_some_and(|(verdict, _)| verdict.is_not_run());
    let turned_away = not_run || response.status() == StatusCode::SERVICE_UNAVAILABLE;
    if is_answer(shell, prepared, &response) {
        let headers = response.headers();
        hear_limit(shell, send, headers, now, ran);
        hear_departure(shell, send, headers);
        if turned_away {
            hear_pushback(shell, send, headers);
        }
    }
    let found = Found {
        delimiter: Delimiter::of(&response, sender),
        response,
        lease,
        span,
    };
    match refused {
        None => {
            count("answered");
            Ok(found)
        }
        Some((Verdict::Ran, cause)) => {
            count("errored");
            Err(Miss {
                verdict: Verdict::Ran,
                cause,
                answer: Some(Box::new(found)),
            })
        }
        Some((verdict, cause)) => {
            count("refused");
            Err(Miss::new(verdict, cause))
        }
    }
}

/// Whether an answer may speak of the backend server itself: one to another request, or for another server, says
/// nothing of this one.
fn is_answer(shell: &Shell, prepared: &Prepared, response: &Response<Incoming>) -> bool {
    let (status, headers) = (response.status(), response.headers());
    match shell.settings.interface {
        Interface::Platform => platform::head::is_answer(&prepared.headers, status, headers),
        Interface::Own => true,
    }
}

/// The fields of a header that the configuration or the platform may name.
fn fields<'a>(headers: &'a HeaderMap, name: Option<&String>) -> impl Iterator<Item = &'a [u8]> {
    let fields = name.into_iter().flat_map(|name| headers.get_all(name));
    fields.map(HeaderValue::as_bytes)
}

/// Tells whether a backend server says that it is leaving.
fn hear_departure(shell: &Shell, send: &Send, headers: &HeaderMap) {
    let Target::Backend {
        name,
        headers: names,
        incarnation,
        ..
    } = &send.target
    else {
        return;
    };
    let yes = |field: &[u8]| LEAVING.contains(&field.trim_ascii());
    if fields(headers, names.leaving.as_ref()).any(yes) {
        shell.core.tell(Event::Departing {
            backend: name.clone(),
            incarnation: *incarnation,
        });
    }
}

/// Tells how long a backend server that turned a request away wants nothing from this box.
fn hear_pushback(shell: &Shell, send: &Send, headers: &HeaderMap) {
    let Target::Backend {
        name, incarnation, ..
    } = &send.target
    else {
        return;
    };
    let fields = headers.get_all(RETRY_AFTER).iter();
    let word = pushback::Word::read(fields.map(HeaderValue::as_bytes));
    if word != pushback::Word::Silent {
        shell.core.tell(Event::PushedBack {
            backend: name.clone(),
            incarnation: *incarnation,
            word,
        });
    }
}

/// Tells what a backend server says of its limit. An answer that names none says so only where the request
/// `ran` to a success: refusals and errors may be made before whoever names the limit has seen it.
fn hear_limit(shell: &Shell, send: &Send, headers: &HeaderMap, sent: Time, ran: bool) {
    let Target::Backend {
        name,
        headers: names,
        ..
    } = &send.target
    else {
        return;
    };
    let word = Word::read(fields(headers, names.limit.as_ref()));
    let limited = send.basis.limit.is_some();
    if word.rate().is_some() || ran && (limited || word == Word::Unreadable) {
        let backend = name.clone();
        shell.core.tell(Event::Limited {
            backend,
            word,
            sent,
        });
    }
}

/// What an answer on the platform says of the request, where it is not the answer to it.
fn judge(prepared: &Prepared, response: &Response<Incoming>) -> Option<(Verdict, Cause)> {
    let (status, headers) = (response.status(), response.headers());
    let outcome = platform::head::judge(&prepared.headers, status, headers);
    let cause = match outcome {
        Outcome::Answer => return None,
        Outcome::Error => Cause::Errored,
        Outcome::Full => Cause::Full,
        Outcome::Replaced => Cause::Replaced,
        Outcome::Unusable => Cause::Broken,
    };
    Some((outcome.verdict(), cause))
}

/// Whether an answer says that the request did not run, or may not have.
fn refusal(
    shell: &Shell,
    prepared: &Prepared,
    target: &Target,
    response: &Response<Incoming>,
) -> Option<(Verdict, Cause)> {
    let headers = response.headers();
    match target {
        Target::Backend { .. } if shell.settings.interface == Interface::Platform => {
            judge(prepared, response)
        }
        Target::Backend { headers: names, .. } => {
            let header = names.refusal.as_ref()?;
            headers
                .contains_key(header)
                .then_some((Verdict::NotRun, Cause::Refused))
        }
        Target::Relay { .. } => match head::verdict(headers) {
            Some(Verdict::Ran) => None,
            Some(Verdict::NotRun) if headers.contains_key(head::LEAVING) => {
                Some((Verdict::NotRun, Cause::Leaving))
            }
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
) -> (SocketAddr, Request<Full<Bytes>>, Span) {
    let mut headers = prepared.headers.clone();
    let left = send.not_after.since(shell.clock.now());
    let platform = shell.settings.interface == Interface::Platform;
    // Customers may have come with a configuration since the request did.
    if shell.has_keys() {
        headers.remove(AUTHORIZATION);
    }
    let own = |name: &'static str| HeaderName::from_static(name);
    let (address, name) = match &send.target {
        Target::Backend { address, name, .. } => {
            if platform {
                let customer = (!send.anonymous).then_some(&send.customer);
                platform::head::address(&mut headers, name, customer, send.priority, left);
                if let Some(source) = send.fetch {
                    platform::head::fetch(&mut headers, source);
                }
            }
            (*address, "send to backend server")
        }
        Target::Relay { peer, .. } => {
            headers.insert(own(head::HOP), head::value(head::HOP_RELAY));
            (*peer, "relay to region")
        }
        Target::Pass { peer } => {
            headers.insert(own(head::HOP), head::value(head::HOP_PASS));
            (*peer, "pass to key's box")
        }
    };
    let to_box = !matches!(send.target, Target::Backend { .. });
    if to_box || !platform {
        headers.insert(head::LEFT, head::value(left.0));
    }
    if to_box {
        headers.insert(own(head::CHECKED), head::value(true));
        headers.insert(own(head::RUNS), head::value(send.runs));
        headers.insert(own(head::FROM), head::value(&shell.settings.region));
        headers.insert(own(head::CUSTOMER), head::value(&send.customer));
        let secret = shell.settings.cluster_secret.expose();
        headers.insert(own(head::SECRET), head::value(secret));
    }
    if !platform {
        headers.insert(HOST, head::value(address));
    }
    let span = shell.tracer.send(name, &prepared.span, &mut headers);
    span.note("server.address", address);
    let mut request = Request::new(Full::new(prepared.body.clone()));
    *request.method_mut() = prepared.method.clone();
    *request.uri_mut() = prepared.uri.clone();
    *request.headers_mut() = headers;
    (address, request, span)
}
