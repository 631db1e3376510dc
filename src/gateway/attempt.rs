//! One attempt of a request at one place.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    body::Incoming,
    header::{HOST, HeaderName},
};
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::{
    gateway::{
        Shell,
        dial::{Failure, Lease},
        head,
        trace::Span,
    },
    reducer::{
        effect::{Send, Target},
        event::Cause,
    },
    verdict::Verdict,
};

/// A request that was read whole and may be sent more than once.
pub(crate) struct Prepared {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The body's share of the memory for bodies, given back with it.
    pub(crate) _memory: Option<OwnedSemaphorePermit>,
    pub(crate) span: Span,
    pub(crate) came: Instant,
}

/// An answer that begins.
pub(crate) struct Found {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
    pub(crate) span: Span,
}

/// Tries a request once; an error says whether it may have run, and why there is no answer.
pub(crate) async fn try_once(
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
) -> (SocketAddr, Request<Full<Bytes>>, Span) {
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
