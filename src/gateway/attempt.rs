//! One attempt to run a request at a backend server or another box.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{AUTHORIZATION, HOST, HeaderName, HeaderValue, RETRY_AFTER},
};

use crate::{
    gateway::{
        Shell,
        bodies::Reservation,
        checksum::Checksum,
        clock::BootInstant,
        delimiter::{Delimiter, Sender},
        dial::{Distance, Failure, Lease},
        exchange::Ingress,
        head,
        trace::Span,
    },
    limit::Announcement,
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

/// Values of the leaving header that announce that a backend server is leaving; other values are
/// ignored.
const LEAVING_VALUES: [&[u8]; 2] = [b"1", b"true"];

/// A request that was read completely and can be sent more than once.
pub(crate) struct Prepared {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The memory reserved for the body, released with it.
    pub(crate) _memory: Option<Reservation>,
    pub(crate) span: Span,
    pub(crate) received_at: BootInstant,
    /// The listener that received the request.
    pub(crate) door: Ingress,
}

/// A response whose head has arrived and whose body is still to be read.
pub(crate) struct Upstream {
    pub(crate) response: Response<Incoming>,
    pub(crate) delimiter: Delimiter,
    pub(crate) lease: Lease,
    pub(crate) span: Span,
}

/// The failure of an attempt.
pub(crate) struct AttemptFailure {
    /// Whether the request may have run at the target.
    pub(crate) verdict: Verdict,
    pub(crate) cause: Cause,
    /// An error response of the backend server; it goes to the caller if there is no further
    /// attempt.
    pub(crate) answer: Option<Box<Upstream>>,
}

impl AttemptFailure {
    fn new(verdict: Verdict, cause: Cause) -> Self {
        Self {
            verdict,
            cause,
            answer: None,
        }
    }
}

/// Sends a request to one target and reads the head of its response. A resumed stream continues
/// after `last_event`.
pub(crate) async fn try_once(
    shell: &Arc<Shell>,
    prepared: &Prepared,
    send: &Send,
    last_event: Option<&str>,
) -> Result<Upstream, AttemptFailure> {
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
        // The process was suspended between the decision and now.
        count("late");
        return Err(AttemptFailure::new(Verdict::NotRun, Cause::Late));
    }
    let (address, mut request, span) = build_request(shell, prepared, send);
    if let Some(last) = last_event {
        let headers = request.headers_mut();
        headers.insert(platform::head::LAST_EVENT, head::value(last));
    }
    if let Some(origin) = &send.continues {
        platform::head::set_run_origin(request.headers_mut(), origin);
    }
    if let Target::Backend { .. } = send.target {
        let warmth = send.basis.warmth.as_str();
        shell.metrics.sends.with_label_values(&[warmth]).inc();
    }
    let distance = match send.target {
        Target::Backend { .. } => Distance::SameRegion,
        Target::Relay { .. } | Target::Pass { .. } => Distance::OtherRegion,
    };
    let fresh = !send.repeatable;
    let sent = shell.pool.send(address, request, fresh, distance).await;
    let (response, lease) = sent.map_err(|failure| {
        count("failed");
        let cause = match failure {
            Failure::Unreachable => Cause::Unreachable,
            Failure::Broken => Cause::Broken,
        };
        AttemptFailure::new(failure.verdict(), cause)
    })?;
    span.set_attribute("http.response.status_code", response.status().as_u16());
    let sender = match send.target {
        Target::Backend { .. } => Sender::Backend,
        Target::Relay { .. } | Target::Pass { .. } => Sender::Box,
    };
    if sender == Sender::Box && !Checksum::matches(&response) {
        count("failed");
        shell.metrics.relay_gaps.inc();
        let (request, attempt) = (send.request, send.attempt.0);
        log::warn!(
            "attempt: box_id={request} attempt={attempt} response head from {address} does not match its checksum"
        );
        return Err(AttemptFailure::new(Verdict::MayHaveRun, Cause::Broken));
    }
    let refused = refusal(shell, prepared, &send.target, &response);
    let ran = refused.is_none() && response.status().is_success();
    let not_run = refused.is_some_and(|(verdict, _)| verdict.is_not_run());
    let rejected = not_run || response.status() == StatusCode::SERVICE_UNAVAILABLE;
    if concerns_backend(shell, prepared, &response) {
        let headers = response.headers();
        report_limits(shell, send, headers, now, ran);
        report_departure(shell, send, headers);
        if rejected {
            report_pushback(shell, send, headers);
        }
    }
    let upstream = Upstream {
        delimiter: Delimiter::of(&response, sender),
        response,
        lease,
        span,
    };
    match refused {
        None => {
            count("answered");
            Ok(upstream)
        }
        Some((Verdict::Ran, cause)) => {
            count("errored");
            Err(AttemptFailure {
                verdict: Verdict::Ran,
                cause,
                answer: Some(Box::new(upstream)),
            })
        }
        Some((verdict, cause)) => {
            count("refused");
            count_rejection(shell, send, cause);
            Err(AttemptFailure::new(verdict, cause))
        }
    }
}

/// Counts a request that a backend server rejected.
fn count_rejection(shell: &Shell, send: &Send, cause: Cause) {
    let is_backend = matches!(send.target, Target::Backend { .. });
    if is_backend && matches!(cause, Cause::Full | Cause::Refused) {
        let brittle = if send.basis.brittle.is_some() {
            "yes"
        } else {
            "no"
        };
        let counter = shell.metrics.rejections.with_label_values(&[brittle]);
        counter.inc();
    }
}

/// Reports whether the headers of a response concern the backend server that was addressed: a
/// response to another request, or for another server, says nothing about this one.
fn concerns_backend(shell: &Shell, prepared: &Prepared, response: &Response<Incoming>) -> bool {
    let (status, headers) = (response.status(), response.headers());
    match shell.settings.interface {
        Interface::Platform => platform::head::matches_request(&prepared.headers, status, headers),
        Interface::Own => true,
    }
}

/// Returns the values of a header whose name the configuration or the platform may set.
fn fields<'a>(headers: &'a HeaderMap, name: Option<&String>) -> impl Iterator<Item = &'a [u8]> {
    let fields = name.into_iter().flat_map(|name| headers.get_all(name));
    fields.map(HeaderValue::as_bytes)
}

/// Reports a backend server that announces in `headers` that it is leaving.
fn report_departure(shell: &Shell, send: &Send, headers: &HeaderMap) {
    let Target::Backend {
        name,
        headers: names,
        incarnation,
        ..
    } = &send.target
    else {
        return;
    };
    let announces_leaving = |field: &[u8]| LEAVING_VALUES.contains(&field.trim_ascii());
    if fields(headers, names.leaving.as_ref()).any(announces_leaving) {
        shell.core.tell(Event::Departing {
            backend: name.clone(),
            incarnation: *incarnation,
        });
    }
}

/// Reports how long a backend server that rejected a request asks this box to send it nothing.
fn report_pushback(shell: &Shell, send: &Send, headers: &HeaderMap) {
    let Target::Backend {
        name, incarnation, ..
    } = &send.target
    else {
        return;
    };
    let fields = headers.get_all(RETRY_AFTER).iter();
    let word = pushback::Pushback::read(fields.map(HeaderValue::as_bytes));
    if word != pushback::Pushback::Absent {
        shell.core.tell(Event::PushedBack {
            backend: name.clone(),
            incarnation: *incarnation,
            word,
        });
    }
}

/// Returns what the header `name` announces, if that is to be reported; `is_known` tells whether the
/// server is known to announce something. The absence of an announcement is reported only if the
/// request `ran` successfully: refusals and errors may be produced before the component that sets the
/// header has seen the request.
fn announcement(
    headers: &HeaderMap,
    name: Option<&String>,
    is_known: bool,
    ran: bool,
) -> Option<Announcement> {
    let word = Announcement::read(fields(headers, name));
    let is_due = match word {
        Announcement::Rate(_) => true,
        Announcement::Unreadable => ran,
        Announcement::Absent => ran && is_known,
    };
    is_due.then_some(word)
}

/// Reports the limits that a backend server announces: on requests, and on rejections while it is
/// brittle.
fn report_limits(shell: &Shell, send: &Send, headers: &HeaderMap, sent: Time, ran: bool) {
    let Target::Backend {
        name,
        headers: names,
        ..
    } = &send.target
    else {
        return;
    };
    let is_known = send.basis.limit.is_some();
    if let Some(word) = announcement(headers, names.limit.as_ref(), is_known, ran) {
        let backend = name.clone();
        shell.core.tell(Event::Limited {
            backend,
            word,
            sent,
        });
    }
    let is_known = send.basis.brittle.is_some();
    if let Some(word) = announcement(headers, names.brittle.as_ref(), is_known, ran) {
        let backend = name.clone();
        shell.core.tell(Event::Brittle {
            backend,
            word,
            sent,
        });
    }
}

/// Classifies a response on the platform that is not the result of the request; none if it is the
/// result.
fn classify_platform_answer(
    prepared: &Prepared,
    response: &Response<Incoming>,
) -> Option<(Verdict, Cause)> {
    let (status, headers) = (response.status(), response.headers());
    let outcome = platform::head::classify_answer(&prepared.headers, status, headers);
    let cause = match outcome {
        Outcome::Answer => return None,
        Outcome::Error => Cause::Errored,
        Outcome::Full => Cause::Full,
        Outcome::Replaced => Cause::Replaced,
        Outcome::Unusable => Cause::Broken,
    };
    Some((outcome.verdict(), cause))
}

/// Returns the verdict and the cause if a response is not the result of the request; none if it is
/// the result.
fn refusal(
    shell: &Shell,
    prepared: &Prepared,
    target: &Target,
    response: &Response<Incoming>,
) -> Option<(Verdict, Cause)> {
    let headers = response.headers();
    match target {
        Target::Backend { .. } if shell.settings.interface == Interface::Platform => {
            classify_platform_answer(prepared, response)
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
        // The box that the key names decides; its response is passed on unchanged.
        Target::Pass { .. } => None,
    }
}

fn build_request(
    shell: &Shell,
    prepared: &Prepared,
    send: &Send,
) -> (SocketAddr, Request<Full<Bytes>>, Span) {
    let mut headers = prepared.headers.clone();
    let left = send.not_after.since(shell.clock.now());
    let platform = shell.settings.interface == Interface::Platform;
    // A configuration with customers may have arrived after the request did.
    if shell.has_keys() {
        headers.remove(AUTHORIZATION);
    }
    let header_name = |name: &'static str| HeaderName::from_static(name);
    let (address, name) = match &send.target {
        Target::Backend { address, name, .. } => {
            if platform {
                let customer = (!send.anonymous).then_some(&send.customer);
                platform::head::set_backend_headers(
                    &mut headers,
                    name,
                    customer,
                    send.priority,
                    left,
                );
                if let Some(source) = send.fetch {
                    platform::head::set_fetch_source(&mut headers, source);
                }
            }
            (*address, "send to backend server")
        }
        Target::Relay { peer, .. } => {
            headers.insert(header_name(head::HOP), head::value(head::HOP_RELAY));
            (*peer, "relay to region")
        }
        Target::Pass { peer } => {
            headers.insert(header_name(head::HOP), head::value(head::HOP_PASS));
            (*peer, "pass to key's box")
        }
    };
    let to_box = !matches!(send.target, Target::Backend { .. });
    if to_box || !platform {
        headers.insert(head::DEADLINE_MS, head::value(left.0));
    }
    if to_box {
        headers.insert(header_name(head::CHECKED), head::value(true));
        headers.insert(header_name(head::RUNS), head::value(send.runs));
        headers.insert(header_name(head::FROM), head::value(&shell.settings.region));
        let customer = head::encode_name(send.customer.as_str());
        headers.insert(header_name(head::CUSTOMER), customer);
        let secret = shell.settings.cluster_secret.expose();
        headers.insert(header_name(head::SECRET), head::value(secret));
    }
    if !platform {
        headers.insert(HOST, head::value(address));
    }
    let span = shell.tracer.send(name, &prepared.span, &mut headers);
    span.set_attribute("server.address", address);
    let mut request = Request::new(Full::new(prepared.body.clone()));
    *request.method_mut() = prepared.method.clone();
    *request.uri_mut() = prepared.uri.clone();
    *request.headers_mut() = headers;
    (address, request, span)
}
