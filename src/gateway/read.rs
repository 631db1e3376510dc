//! Reads the parts of a request: its body, the model that it names, and its idempotency key.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri, body::Incoming, http::request::Parts};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    config::Kind,
    content::Content,
    gateway::{
        Shell,
        bodies::{Failure, Reservation},
        connections::Connection,
        exchange::Ingress,
        head,
    },
    id::Service,
    memory::prompt::Prompt,
    pin::{self, Pin},
    platform,
    reducer::{effect::Reply, event::Key},
    settings::Interface,
    unit::Millis,
    verdict::Verdict,
};

/// How long a caller waits after it found no memory for its request.
const FULL_RETRY_AFTER: Millis = Millis(1000);
/// Number of bytes at the start of a prompt that identify its prefix.
const MAX_PREFIX_BYTES: usize = 1024;

/// Builds a refusal of a request that was not sent anywhere.
pub(crate) fn deny(status: u16, reason: &str) -> Reply {
    Reply::new(status, Verdict::NotRun, reason)
}

/// Rejects a request with a long head if there is no memory for it.
pub(crate) fn check_head(request: &Parts) -> Result<(), Reply> {
    let connection = request.extensions.get::<Connection>();
    if connection.is_some_and(Connection::is_over_budget) {
        let reply = deny(503, "this box holds too many long heads");
        return Err(reply.with_retry_after(FULL_RETRY_AFTER));
    }
    Ok(())
}

/// Reads a request body within the size and time limits, and reserves memory for it.
pub(crate) async fn read_body(
    shell: &Shell,
    body: &mut Incoming,
) -> Result<(Bytes, Option<Reservation>), Reply> {
    let read = shell.bodies.read(body, shell.settings.max_body).await;
    read.map_err(|failure| {
        let refused = &shell.metrics.refused_bodies;
        refused.with_label_values(&[failure.as_str()]).inc();
        match failure {
            Failure::TooLarge => deny(413, "the body is too large"),
            Failure::Full => {
                deny(503, "this box holds too many bodies").with_retry_after(FULL_RETRY_AFTER)
            }
            Failure::Slow => deny(408, "the body did not arrive in time"),
            Failure::Broken => deny(400, "the body does not read"),
        }
    })
}

#[derive(Deserialize)]
struct ModelBody<'a> {
    model: Option<String>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// The fields of a model request that routing uses.
#[derive(Default)]
pub(crate) struct Routing {
    pub(crate) model: Option<Service>,
    pub(crate) prefix: u64,
}

/// The attributes of a request besides its path, read according to the interface in use.
pub(crate) struct Attributes {
    pub(crate) routing: Routing,
    pub(crate) key: Key,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) content: Content,
    /// Time left until the response must have begun.
    pub(crate) time_left: Option<Millis>,
}

/// Reads the attributes of a request. On a relayed request the time left is the one set by the
/// sending box.
pub(crate) fn read_attributes(
    shell: &Shell,
    parts: &Parts,
    uri: &Uri,
    body: &[u8],
    door: Ingress,
) -> Result<Attributes, Reply> {
    let headers = &parts.headers;
    let platform = shell.settings.interface == Interface::Platform;
    // Between boxes with petreldrum's own interface the `Host` is that of the receiving box.
    let host = platform.then(|| head::host(headers)).flatten();
    let content = Content::of(
        &shell.settings.cluster_secret,
        parts.method.as_str(),
        host.as_deref().unwrap_or_default(),
        &uri.to_string(),
        body,
    );
    match shell.settings.interface {
        Interface::Own => Ok(Attributes {
            routing: read_routing(shell, uri.path(), body)?,
            key: read_key(shell, headers, &parts.method, uri, body)?,
            prompt: None,
            content,
            time_left: head::time_left(headers),
        }),
        Interface::Platform => Ok(Attributes {
            routing: Routing::default(),
            key: Key::Absent,
            prompt: platform::head::prompt(headers),
            content,
            time_left: match door {
                Ingress::Public => platform::head::time_left(headers),
                Ingress::Peer => head::time_left(headers),
            },
        }),
    }
}

/// Reads the fields that routing uses from the body of a model request.
fn read_routing(shell: &Shell, path: &str, body: &[u8]) -> Result<Routing, Reply> {
    let current = shell.current.borrow().clone();
    let kind = current.and_then(|c| c.config.route(None, path).map(|r| r.kind));
    if kind != Some(Kind::Model) {
        return Ok(Routing::default());
    }
    let prompt: ModelBody<'_> = serde_json::from_slice(body)
        .map_err(|e| deny(400, &format!("the body is not a model request: {e}")))?;
    let text = prompt.messages.or(prompt.prompt).map_or("", RawValue::get);
    let prefix_bytes = &text.as_bytes()[..text.len().min(MAX_PREFIX_BYTES)];
    Ok(Routing {
        model: prompt.model.and_then(|name| name.parse().ok()),
        prefix: xxhash_rust::xxh3::xxh3_64(prefix_bytes),
    })
}

/// Reads the idempotency key and hashes the content of the request.
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
    let text = key.to_str().ok().filter(|k| k.len() <= pin::MAX_KEY_BYTES);
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
