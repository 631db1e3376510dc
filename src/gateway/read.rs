//! Reads the parts of a request: its body, the model that it names, and its idempotency key.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Uri,
    body::{Body as _, Incoming},
    http::request::Parts,
};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::{sync::OwnedSemaphorePermit, time::timeout};

use crate::{
    config::Kind,
    content::Content,
    gateway::{Shell, exchange::Ingress, head},
    id::Service,
    memory::prompt::Prompt,
    pin::{self, Pin},
    platform,
    reducer::{effect::Reply, event::Key},
    settings::Interface,
    unit::Millis,
    verdict::Verdict,
};

/// Time limit for the arrival of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of bytes at the start of a prompt that identify its prefix.
const MAX_PREFIX_BYTES: usize = 1024;
/// Bytes of body memory per semaphore permit.
pub(crate) const BODY_MEMORY_UNIT_BYTES: u64 = 1024;

/// Builds a refusal of a request that was not sent anywhere.
pub(crate) fn deny(status: u16, reason: &str) -> Reply {
    Reply::new(status, Verdict::NotRun, reason)
}

/// Reads a request body within the size and time limits, and reserves memory for it.
pub(crate) async fn read_body(
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
    let permits = hint
        .exact()
        .unwrap_or(limit)
        .div_ceil(BODY_MEMORY_UNIT_BYTES);
    let memory = shell.bodies.clone().try_acquire_many_owned(permits as u32);
    let full = || deny(503, "this box holds too many bodies").with_retry_after(Millis(1000));
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
