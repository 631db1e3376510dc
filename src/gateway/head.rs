//! Request and response heads: petreldrum's own headers, and which headers are not forwarded.

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, HeaderValue,
        RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode, utf8_percent_encode};
use serde_json::json;

use crate::{
    fleet::Revision, gateway::body::Body, platform, reducer::effect::Reply, settings::Interface,
    unit::Millis, verdict::Verdict,
};

/// States whether the request may have run; set on responses.
pub const VERDICT: &str = "petreldrum-verdict";
/// Milliseconds left until the response must have begun.
pub const DEADLINE_MS: &str = "petreldrum-deadline-ms";
/// The box that answered the request.
pub const BOX: &str = "petreldrum-box";
/// The region whose backend server answered.
pub const REGION: &str = "petreldrum-region";
/// A new prefix for idempotency keys.
pub const KEY_PREFIX: &str = "petreldrum-key-prefix";
/// Between boxes: the cluster secret.
pub const SECRET: &str = "petreldrum-secret";
/// Between boxes: why the request was forwarded, [`HOP_RELAY`] or [`HOP_PASS`].
pub const HOP: &str = "petreldrum-hop";
/// Between boxes: how many more backend servers may run the request.
pub const RUNS: &str = "petreldrum-runs";
/// Between boxes, on a request: the sender requires a checksum of the response head, and reads
/// bodies framed as records.
pub const CHECKED: &str = "petreldrum-checked";
/// Between boxes, on a response: the body is framed as records.
pub const RECORDS: &str = "petreldrum-records";
/// Between boxes, on a response: the checksum of the head.
pub const CHECK: &str = "petreldrum-check";
/// Between boxes: the region of the sending box.
pub const FROM: &str = "petreldrum-from";
/// Between boxes: the customer whose API key the sending box verified.
pub const CUSTOMER: &str = "petreldrum-caller";
/// Between boxes: the responding box is stopping and no backend server received the request, which
/// another box of its region may accept.
pub const LEAVING: &str = "petreldrum-leaving";
/// Marks a request that was relayed by the region that the caller reached.
pub const HOP_RELAY: &str = "relay";
/// Marks a request that was passed to the box that its idempotency key names.
pub const HOP_PASS: &str = "pass";
/// The idempotency key of a request that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The alternative to `Authorization` for the API key.
pub const API_KEY: &str = "x-api-key";
/// The path at which a box serves its configuration to other boxes.
pub const CONFIG_PATH: &str = "/petreldrum/config";
/// The path at which a box serves its list of registered backend servers to other boxes.
pub const SERVER_LIST_PATH: &str = "/petreldrum/roster";
/// The query parameter with the revision of the list that the requesting box already has.
const SINCE: &str = "since";

/// Returns the path of the list of backend servers, or of its changes after `since`.
pub fn server_list_path(since: Option<Revision>) -> String {
    let query = since.map(|revision| format!("?{SINCE}={revision}"));
    SERVER_LIST_PATH.to_owned() + &query.unwrap_or_default()
}

/// Reads the revision that the requesting box already has.
pub fn server_list_since(query: Option<&str>) -> Option<Revision> {
    let since = platform::lookup::query_value(query, SINCE)?;
    since.parse().ok()
}

const OWN_PREFIX: &str = "petreldrum-";
const HOP_BY_HOP: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
const HOP_BY_HOP_LEGACY: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authorization"];

/// Removes hop-by-hop headers and petreldrum's own headers.
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
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in named.iter().chain(&own).chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_LEGACY {
        headers.remove(name);
    }
}

/// Returns the headers of a request that are forwarded. On the platform's interface the API key is
/// removed only when the request is sent, as the configuration decides about it.
pub(crate) fn forwarded_request(mut headers: HeaderMap, interface: Interface) -> HeaderMap {
    strip(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove("expect");
    match interface {
        Interface::Own => {
            headers.remove(AUTHORIZATION);
            headers.remove(HOST);
            headers.remove(API_KEY);
        }
        Interface::Platform => platform::head::remove_system_headers(&mut headers),
    }
    headers
}

/// Builds the response to a request whose length is given in two ways; it closes the connection, as
/// the bytes that follow are not reliable.
pub(crate) fn ambiguous_length() -> Response<Body> {
    let reply = Reply::new(400, Verdict::NotRun, "the length is told twice");
    let mut response = problem(&reply, None, Interface::Own);
    platform::head::close(response.headers_mut());
    response
}

/// Returns the headers of a response that are forwarded to the caller.
pub(crate) fn forwarded_response(mut headers: HeaderMap) -> HeaderMap {
    strip(&mut headers);
    headers
}

/// Returns the API key in `headers`.
pub(crate) fn api_key(headers: &HeaderMap) -> Option<&[u8]> {
    if let Some(value) = headers.get(API_KEY) {
        return Some(value.as_bytes());
    }
    bearer(headers)
}

/// Returns the bearer token in `headers`.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, token) = value.split_at_checked("Bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"Bearer ").then_some(token)
}

/// Returns the time left according to `headers`; an invalid value counts as absent.
pub(crate) fn time_left(headers: &HeaderMap) -> Option<Millis> {
    headers
        .get(DEADLINE_MS)?
        .to_str()
        .ok()?
        .parse()
        .ok()
        .map(Millis)
}

/// Returns the caller's request id.
pub(crate) fn caller_request_id(headers: &HeaderMap) -> Option<String> {
    let request_id = headers.get(platform::head::REQUEST_ID)?;
    request_id.to_str().ok().map(str::to_owned)
}

/// Returns the `Host` in `headers`.
pub(crate) fn host(headers: &HeaderMap) -> Option<String> {
    headers.get(HOST)?.to_str().ok().map(str::to_owned)
}

/// Returns how many more backend servers may run the request, as set by another box.
pub(crate) fn runs(headers: &HeaderMap) -> Option<u32> {
    headers.get(RUNS)?.to_str().ok()?.parse().ok()
}

/// Returns the verdict of another box.
pub(crate) fn verdict(headers: &HeaderMap) -> Option<Verdict> {
    headers.get(VERDICT)?.to_str().ok()?.parse().ok()
}

/// Converts `text` to a header value. Names and numbers contain no invalid bytes; other text that
/// does becomes `?`.
pub(crate) fn value(text: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::from_str(&text.to_string()).unwrap_or_else(|_| HeaderValue::from_static("?"))
}

/// Characters that stand for themselves in a name between boxes: those of this project's own names.
const PLAIN: &AsciiSet = &NON_ALPHANUMERIC.remove(b'.').remove(b'_').remove(b'-');

/// Converts a name of any text to a header value between boxes.
pub(crate) fn encode_name(name: &str) -> HeaderValue {
    value(utf8_percent_encode(name, PLAIN))
}

/// Reads a name that [`encode_name`] wrote; `None` if it is not one.
pub(crate) fn decode_name(value: &HeaderValue) -> Option<String> {
    let name = percent_decode(value.as_bytes()).decode_utf8().ok()?;
    Some(name.into_owned())
}

fn title(status: StatusCode) -> &'static str {
    status.canonical_reason().unwrap_or("error")
}

/// Returns the status code of `reply`. On the platform some status codes guarantee that the request
/// did not run, and are replaced by 502 if it may have.
fn status(reply: &Reply, interface: Interface) -> StatusCode {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let promises_not_run = platform::head::NOT_RUN_STATUSES.contains(&status);
    match interface {
        Interface::Platform if promises_not_run && !reply.verdict.is_not_run() => {
            StatusCode::BAD_GATEWAY
        }
        Interface::Platform | Interface::Own => status,
    }
}

/// Builds a problem+json response from `reply`, with `key_prefix` if one is offered.
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
    let mut response = full_response(status, "application/problem+json", content.to_string());
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

/// Frames a streamed body as records, so that the receiving box detects missing bytes. A body with
/// a length needs no records, as a missing part shows by itself.
pub(crate) fn with_records(response: Response<Body>, method: &Method) -> Response<Body> {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    let has_no_body = *method == Method::HEAD || bodiless.contains(&response.status());
    if has_no_body || response.headers().contains_key(CONTENT_LENGTH) {
        return response;
    }
    let mut response = response.map(Body::into_records);
    if matches!(response.body(), Body::Records(_)) {
        let headers = response.headers_mut();
        headers.insert(RECORDS, value(true));
    }
    response
}

/// Builds a response whose body is complete in memory.
pub(crate) fn full_response(
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

/// Builds a JSON response.
pub(crate) fn json_response(status: StatusCode, content: &impl serde::Serialize) -> Response<Body> {
    match serde_json::to_vec(content) {
        Ok(bytes) => full_response(status, "application/json", bytes),
        Err(error) => {
            log::error!("http: cannot serialize a response: {error}");
            full_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "")
        }
    }
}
