//! Request and response heads: our header names, and what may not pass through.

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, HeaderValue,
        RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use serde_json::json;

use crate::{
    fleet::Revision, gateway::body::Body, platform, reducer::effect::Reply, settings::Interface,
    unit::Millis, verdict::Verdict,
};

/// Whether the request may have run; on every answer.
pub const VERDICT: &str = "petreldrum-verdict";
/// Milliseconds left until the answer must have begun.
pub const LEFT: &str = "petreldrum-deadline-ms";
/// The box that answered.
pub const BOX: &str = "petreldrum-box";
/// The region whose backend server answered.
pub const REGION: &str = "petreldrum-region";
/// A fresh key prefix.
pub const KEY_PREFIX: &str = "petreldrum-key-prefix";
/// Between boxes: the shared secret.
pub const SECRET: &str = "petreldrum-secret";
/// Between boxes: how the request goes, [`HOP_RELAY`] or [`HOP_PASS`].
pub const HOP: &str = "petreldrum-hop";
/// Between boxes: how many backend servers may still run the request.
pub const RUNS: &str = "petreldrum-runs";
/// Between boxes, on a request: its sender takes only answers whose head has a check, and reads bodies
/// in records.
pub const CHECKED: &str = "petreldrum-checked";
/// Between boxes, on an answer: its body comes in records.
pub const RECORDS: &str = "petreldrum-records";
/// Between boxes, on an answer: the check of its head.
pub const CHECK: &str = "petreldrum-check";
/// Between boxes: the region that sends.
pub const FROM: &str = "petreldrum-from";
/// Between boxes: the customer whose key was checked.
pub const CUSTOMER: &str = "petreldrum-caller";
/// Between boxes: the answering box is stopping, and another one of its region may do better.
pub const LEAVING: &str = "petreldrum-leaving";
/// A request sent by the region that its caller reached.
pub const HOP_RELAY: &str = "relay";
/// A request sent to the box that its key names.
pub const HOP_PASS: &str = "pass";
/// The key of a request that may not be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Another header for the API key.
pub const API_KEY: &str = "x-api-key";
/// Where a box gives its configuration to others.
pub const CONFIG_PATH: &str = "/petreldrum/config";
/// Where a box tells others of the registered backend servers that it knows.
pub const ROSTER_PATH: &str = "/petreldrum/roster";
/// The field of its query that names how far the asker knows them.
const SINCE: &str = "since";

/// The path to the list of servers, or to what changed of it after `since`.
pub fn roster_path(since: Option<Revision>) -> String {
    let query = since.map(|revision| format!("?{SINCE}={revision}"));
    ROSTER_PATH.to_owned() + &query.unwrap_or_default()
}

/// How far the asker for the list knows it.
pub fn roster_since(query: Option<&str>) -> Option<Revision> {
    let since = platform::door::value(query, SINCE)?;
    since.parse().ok()
}

const OWN: &str = "petreldrum-";
const HOP_BY_HOP: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
const HOP_BY_HOP_OLD: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authorization"];

/// Takes out what belongs to one connection, and our own headers.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN))
        .cloned()
        .collect();
    for name in named.iter().chain(&own).chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_OLD {
        headers.remove(name);
    }
}

/// What of a caller's head goes on: nothing of its connection. Whether an API key may is known at the send
/// only.
pub(crate) fn request(mut headers: HeaderMap, interface: Interface) -> HeaderMap {
    strip(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove("expect");
    match interface {
        Interface::Own => {
            headers.remove(AUTHORIZATION);
            headers.remove(HOST);
            headers.remove(API_KEY);
        }
        Interface::Platform => platform::head::strip(&mut headers),
    }
    headers
}

/// The answer to a request whose length is told twice; nothing after it can be believed.
pub(crate) fn ambiguous() -> Response<Body> {
    let reply = Reply::new(400, Verdict::NotRun, "the length is told twice");
    let mut response = problem(&reply, None, Interface::Own);
    platform::head::close(response.headers_mut());
    response
}

/// What of a place's head goes back to the caller.
pub(crate) fn response(mut headers: HeaderMap) -> HeaderMap {
    strip(&mut headers);
    headers
}

/// The API key that `headers` bring.
pub(crate) fn api_key(headers: &HeaderMap) -> Option<&[u8]> {
    if let Some(value) = headers.get(API_KEY) {
        return Some(value.as_bytes());
    }
    bearer(headers)
}

/// The bearer token that `headers` bring.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, token) = value.split_at_checked("Bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"Bearer ").then_some(token)
}

/// The time left that `headers` name; an unreadable one counts as absent.
pub(crate) fn left(headers: &HeaderMap) -> Option<Millis> {
    headers.get(LEFT)?.to_str().ok()?.parse().ok().map(Millis)
}

/// The caller's own name for a request.
pub(crate) fn tag(headers: &HeaderMap) -> Option<String> {
    let tag = headers.get(platform::head::REQUEST_ID)?;
    tag.to_str().ok().map(str::to_owned)
}

/// The host that `headers` name.
pub(crate) fn host(headers: &HeaderMap) -> Option<String> {
    headers.get(HOST)?.to_str().ok().map(str::to_owned)
}

/// How many backend servers may still run the request, as another box says.
pub(crate) fn runs(headers: &HeaderMap) -> Option<u32> {
    headers.get(RUNS)?.to_str().ok()?.parse().ok()
}

/// The verdict that another box gave.
pub(crate) fn verdict(headers: &HeaderMap) -> Option<Verdict> {
    headers.get(VERDICT)?.to_str().ok()?.parse().ok()
}

/// A header value of our own making; odd bytes cannot occur in names and numbers.
pub(crate) fn value(text: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::from_str(&text.to_string()).unwrap_or_else(|_| HeaderValue::from_static("?"))
}

fn title(status: StatusCode) -> &'static str {
    status.canonical_reason().unwrap_or("error")
}

/// The status of `reply`. On the platform some statuses promise that the request did not run, and
/// are given for nothing else.
fn status(reply: &Reply, interface: Interface) -> StatusCode {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let promise = platform::head::PROMISES.contains(&status);
    match interface {
        Interface::Platform if promise && !reply.verdict.is_not_run() => StatusCode::BAD_GATEWAY,
        Interface::Platform | Interface::Own => status,
    }
}

/// Writes `reply` as problem+json; `key_prefix` goes with it where one is offered.
pub(crate) fn problem(
    reply: &Reply,
    key_prefix: Option<&str>,
    interface: Interface,
) -> Response<Body> {
    let status = status(reply, interface);
    let mut content = json!({
        "type": "about:blank",
        "title": title(status),
        "status": status.as_u16(),
        "detail": reply.reason,
        "verdict": reply.verdict,
    });
    if let Some(prefix) = key_prefix {
        content["key_prefix"] = json!(prefix);
    }
    let mut response = whole(status, "application/problem+json", content.to_string());
    let headers = response.headers_mut();
    headers.insert(VERDICT, value(reply.verdict));
    if let Some(wait) = reply.retry_after {
        let seconds = match interface {
            Interface::Own => wait.retry_seconds().to_string(),
            Interface::Platform => platform::head::retry_after(wait),
        };
        headers.insert(RETRY_AFTER, value(seconds));
    }
    if let Some(prefix) = key_prefix {
        headers.insert(KEY_PREFIX, value(prefix));
    }
    response
}

/// Brings a body that comes piece by piece in records, so that the other box sees a gap. One with a
/// length shows that by itself.
pub(crate) fn recorded(response: Response<Body>, method: &Method) -> Response<Body> {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    let none = *method == Method::HEAD || bodiless.contains(&response.status());
    if none || response.headers().contains_key(CONTENT_LENGTH) {
        return response;
    }
    let mut response = response.map(Body::into_records);
    if matches!(response.body(), Body::Recorded(_)) {
        let headers = response.headers_mut();
        headers.insert(RECORDS, value(true));
    }
    response
}

/// An answer that is all at hand.
pub(crate) fn whole(
    status: StatusCode,
    content_type: &'static str,
    content: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Some(content.into())));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// A JSON answer.
pub(crate) fn json_answer(status: StatusCode, content: &impl serde::Serialize) -> Response<Body> {
    match serde_json::to_vec(content) {
        Ok(bytes) => whole(status, "application/json", bytes),
        Err(error) => {
            log::error!("http: cannot write an answer: {error}");
            whole(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "")
        }
    }
}
