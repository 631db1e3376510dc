//! Reads what comes with a request: its body, the model it names, its idempotency key.

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
    gateway::{Shell, exchange::Door, head},
    id::Service,
    memory::prompt::Prompt,
    pin::{self, Pin},
    platform,
    reducer::{effect::Reply, event::Key},
    settings::Interface,
    unit::Millis,
    verdict::Verdict,
};

/// How long a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of the prompt that name its prefix.
const PREFIX_BYTES: usize = 1024;
/// Body memory is counted in pieces of this many bytes.
pub(crate) const PIECE: u64 = 1024;

/// A refusal before anything was sent.
pub(crate) fn deny(status: u16, reason: &str) -> Reply {
    Reply::new(status, Verdict::NotRun, reason)
}

/// Reads a body within the limits, and takes its share of the memory for bodies.
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
struct ModelBody<'a> {
    model: Option<String>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// What routing needs of a model request.
#[derive(Default)]
pub(crate) struct Routing {
    pub(crate) model: Option<Service>,
    pub(crate) prefix: u64,
}

/// What a request tells of itself besides its path, in the way of the interface.
pub(crate) struct Told {
    pub(crate) routing: Routing,
    pub(crate) key: Key,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) content: Content,
    /// Time left for it.
    pub(crate) left: Option<Millis>,
}

/// Reads what a request tells of itself; another box says itself how much time is left.
pub(crate) fn read_told(
    shell: &Shell,
    parts: &Parts,
    uri: &Uri,
    body: &[u8],
    door: Door,
) -> Result<Told, Reply> {
    let headers = &parts.headers;
    let platform = shell.settings.interface == Interface::Platform;
    // Between boxes of our own interface the host is the receiving box's.
    let host = platform.then(|| head::host(headers)).flatten();
    let content = Content::of(
        &shell.settings.cluster_secret,
        parts.method.as_str(),
        host.as_deref().unwrap_or_default(),
        &uri.to_string(),
        body,
    );
    match shell.settings.interface {
        Interface::Own => Ok(Told {
            routing: read_prompt(shell, uri.path(), body)?,
            key: read_key(shell, headers, &parts.method, uri, body)?,
            prompt: None,
            content,
            left: head::left(headers),
        }),
        Interface::Platform => Ok(Told {
            routing: Routing::default(),
            key: Key::Absent,
            prompt: platform::head::prompt(headers),
            content,
            left: match door {
                Door::Public => platform::head::left(headers),
                Door::Peer => head::left(headers),
            },
        }),
    }
}

/// Reads what routing needs of a model request's body.
fn read_prompt(shell: &Shell, path: &str, body: &[u8]) -> Result<Routing, Reply> {
    let current = shell.current.borrow().clone();
    let kind = current.and_then(|c| c.config.route(None, path).map(|r| r.kind));
    if kind != Some(Kind::Model) {
        return Ok(Routing::default());
    }
    let prompt: ModelBody<'_> = serde_json::from_slice(body)
        .map_err(|e| deny(400, &format!("the body is not a model request: {e}")))?;
    let text = prompt.messages.or(prompt.prompt).map_or("", RawValue::get);
    let beginning = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
    Ok(Routing {
        model: prompt.model.and_then(|name| name.parse().ok()),
        prefix: xxhash_rust::xxh3::xxh3_64(beginning),
    })
}

/// Reads the idempotency key.
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
