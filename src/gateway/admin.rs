//! The admin API: status, configuration, routing dry runs, roll-outs, metrics and graceful
//! shutdown.

use std::{sync::Arc, time::Duration};

use http_body_util::{BodyExt as _, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming, http::request::Parts,
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    config::{Config, Envelope, Query, Record, Version},
    gateway::{
        Shell,
        body::Body,
        connections,
        directory::{METRICS_PATH, METRICS_TYPE},
        follow, head,
        order::{Writer, newer_record, write_id},
        store::{Stored, Swap},
    },
    id::{self, Service},
    ini::Faults,
    reducer::{
        event::{Event, Source},
        order,
    },
};

/// The header that names the author of a change.
pub const AUTHOR: &str = "x-author";
/// The header that names the version that a change is based on.
pub const IF_MATCH: &str = "if-match";
/// The path at which roll-outs are started and stopped.
pub const ROLLOUT_PATH: &str = "/rollout";
/// Largest accepted request body, and so the largest configuration text; the store holds values of
/// at most one megabyte.
pub const MAX_BODY_BYTES: usize = 900 << 10;
/// The number and interval of the reads that check whether a write with unknown outcome took
/// effect.
const WRITE_CHECKS: (u32, Duration) = (5, Duration::from_millis(400));

/// The outcome of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Change {
    /// The change is accepted and will be active on all boxes within seconds.
    Accepted {
        /// The version of the new configuration.
        version: Version,
    },
    /// The configuration was changed concurrently; nothing was written.
    Conflict {
        /// The version of the stored configuration.
        version: Version,
        /// The author of the stored configuration.
        author: String,
    },
    /// The configuration is invalid; nothing was written.
    Invalid {
        /// All faults, each with its section and key.
        faults: Vec<String>,
    },
    /// The store did not confirm whether the change was written; `config get` shows the result.
    Unknown {
        /// The unique identifier of the write.
        write: String,
    },
    /// The store could not be read; nothing was written.
    Unavailable {
        /// The error that the store returned.
        reason: String,
    },
}

impl Change {
    fn status(&self) -> StatusCode {
        match self {
            Self::Accepted { .. } => StatusCode::OK,
            Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The request of a routing dry run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    /// The customer that sends the request.
    #[serde(alias = "caller")]
    pub customer: id::Customer,
    /// The path of the request.
    pub path: String,
    /// The requested model, for a model route.
    pub model: Option<Service>,
}

fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    head::full_response(status, "text/plain", format!("{text}\n"))
}

/// Serves one request to the admin API.
pub(crate) async fn serve(shell: Arc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let (parts, mut body) = request.into_parts();
    let mut response = respond(&shell, &parts, &mut body).await;
    shell.discard.rest(body, response.headers_mut());
    response
}

async fn respond(shell: &Arc<Shell>, parts: &Parts, body: &mut Incoming) -> Response<Body> {
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/health") => return text_response(StatusCode::OK, "alive"),
        (&Method::GET, "/ready") => return shell.readiness().await,
        (&Method::GET, METRICS_PATH) => {
            return head::full_response(StatusCode::OK, METRICS_TYPE, shell.metrics.text());
        }
        _ => {}
    }
    let token = head::bearer(&parts.headers);
    if !token.is_some_and(|t| shell.is_admin(t)) {
        return text_response(
            StatusCode::UNAUTHORIZED,
            "the bearer token is wrong or missing",
        );
    }
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
    };
    connections::begin_answer(parts);
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/status") => match shell.core.status().await {
            Some(status) => head::json_response(StatusCode::OK, &status),
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "the box is stopping"),
        },
        (&Method::GET, "/config") => get_config(shell).await,
        (&Method::PUT, "/config") => put_config(shell, &parts.headers, &body).await,
        (&Method::POST, "/explain") => explain(shell, &body).await,
        (&Method::POST, ROLLOUT_PATH) => start_rollout(shell, &parts.headers, &body).await,
        (&Method::DELETE, ROLLOUT_PATH) => stop_rollout(shell, &parts.headers, &body).await,
        (&Method::POST, "/pardon") => pardon(shell, &body),
        (&Method::POST, "/drain") => {
            shell.stop();
            text_response(
                StatusCode::ACCEPTED,
                "the box finishes what is in flight and stops",
            )
        }
        _ => text_response(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Starts a roll-out.
async fn start_rollout(shell: &Shell, headers: &HeaderMap, body: &[u8]) -> Response<Body> {
    let ask: order::Request = match serde_json::from_slice(body) {
        Ok(ask) => ask,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let Some(author) = header_text(headers, AUTHOR) else {
        return text_response(StatusCode::BAD_REQUEST, "an order needs X-Author");
    };
    let outcome = Writer::of(shell).start(author, &ask).await;
    head::json_response(outcome.status(), &outcome)
}

/// Stops a roll-out; the body names the service.
async fn stop_rollout(shell: &Shell, headers: &HeaderMap, body: &[u8]) -> Response<Body> {
    let service: Service = match str::from_utf8(body).unwrap_or_default().trim().parse() {
        Ok(service) => service,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, &format!("service: {error}")),
    };
    let Some(author) = header_text(headers, AUTHOR) else {
        return text_response(StatusCode::BAD_REQUEST, "an order needs X-Author");
    };
    let outcome = Writer::of(shell).stop(author, &service).await;
    head::json_response(outcome.status(), &outcome)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Releases a quarantined content on this box and on all boxes that receive the update.
fn pardon(shell: &Shell, body: &[u8]) -> Response<Body> {
    let content = str::from_utf8(body).unwrap_or_default();
    match content.trim().parse() {
        Ok(content) => {
            shell.core.tell(Event::Pardoned(content));
            text_response(StatusCode::ACCEPTED, "it may run again")
        }
        Err(error) => text_response(StatusCode::UNPROCESSABLE_ENTITY, error),
    }
}

/// Returns the configuration in the store, or the active one if the store holds none or does not
/// answer.
async fn get_config(shell: &Shell) -> Response<Body> {
    let current = shell.current.borrow().clone();
    match (shell.store.read().await, current) {
        (
            Ok(Stored {
                record: Some(record),
                ..
            }),
            _,
        ) => head::json_response(StatusCode::OK, &record),
        (Ok(_), None) => text_response(StatusCode::NOT_FOUND, "there is no configuration yet"),
        (Ok(_) | Err(_), Some(current)) => head::json_response(StatusCode::OK, &*current.record),
        (Err(error), None) => text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            &format!("the store does not answer: {error:#}"),
        ),
    }
}

async fn explain(shell: &Shell, body: &[u8]) -> Response<Body> {
    let question: Question = match serde_json::from_slice(body) {
        Ok(question) => question,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let ask = Query {
        host: None,
        random: 0,
        customer: question.customer,
        path: question.path,
        model: question.model,
    };
    match shell.core.explain(ask, 0).await {
        Some(Ok(explanation)) => head::json_response(StatusCode::OK, &explanation),
        Some(Err(reason)) => text_response(StatusCode::NOT_FOUND, &reason),
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "the box is stopping"),
    }
}

async fn put_config(shell: &Shell, headers: &HeaderMap, body: &[u8]) -> Response<Body> {
    let base: Option<Version> = header_text(headers, IF_MATCH).and_then(|v| v.parse().ok());
    let (Some(base), Some(author)) = (base, header_text(headers, AUTHOR)) else {
        let message = "a change needs If-Match (the version it is based on) and X-Author";
        return text_response(StatusCode::BAD_REQUEST, message);
    };
    let Ok(config) = str::from_utf8(body) else {
        return text_response(StatusCode::BAD_REQUEST, "the configuration is not UTF-8");
    };
    let change = write_config(shell, base, author, config).await;
    log::info!("admin: configuration change by {author:?} based on {base}: {change:?}.");
    head::json_response(change.status(), &change)
}

/// Writes a configuration that is based on `base` by compare-and-swap; roll-outs are carried over
/// unchanged.
async fn write_config(shell: &Shell, base: Version, author: &str, text: &str) -> Change {
    let mut envelope = Envelope {
        version: Version(0),
        write: write_id(),
        author: author.to_owned(),
        text: text.to_owned(),
    };
    if let Err(Faults(faults)) = Config::parse("configuration", &envelope) {
        let faults = faults.iter().map(ToString::to_string).collect();
        return Change::Invalid { faults };
    }
    let stored = match shell.store.read().await {
        Ok(stored) => stored,
        Err(error) => {
            let reason = format!("{error:#}");
            return Change::Unavailable { reason };
        }
    };
    let in_force = shell.current.borrow().clone().map(|c| c.record);
    let newest = newer_record(stored.record.as_ref(), in_force.as_deref());
    let base_is_current = newest.map_or(base == Version(0), |record| record.is_known(base));
    if !base_is_current {
        return conflict(newest);
    }
    let latest_version = newest.map_or(Version(0), |record| record.envelope.version);
    envelope.version = Version(latest_version.0 + 1);
    let rollouts = newest.map(|record| record.rollouts.clone());
    let record = Record {
        rollouts: rollouts.unwrap_or_default(),
        ..envelope.into()
    };
    match shell.store.swap(stored.revision, &record).await {
        Ok(Swap::Done) => accepted(shell, record),
        Ok(Swap::Conflict) => match shell.store.read().await {
            Ok(winner) => conflict(winner.record.as_ref()),
            Err(_) => conflict(newest),
        },
        Err(error) => {
            log::warn!("admin: the store did not confirm a write: {error:#}.");
            confirm_write(shell, stored, record).await
        }
    }
}

/// Offers the written configuration to this box at once, without waiting for the store watch.
fn accepted(shell: &Shell, record: Record) -> Change {
    let version = record.envelope.version;
    follow::offer(&shell.core, &shell.settings, record, Source::Store);
    Change::Accepted { version }
}

fn conflict(winner: Option<&Record>) -> Change {
    let winner = winner.map(|record| &record.envelope);
    Change::Conflict {
        version: winner.map_or(Version(0), |e| e.version),
        author: winner.map_or(String::new(), |e| e.author.clone()),
    }
}

/// Reads the store until the outcome of an unconfirmed write is known; `before` is the record read
/// before the write.
async fn confirm_write(shell: &Shell, before: Stored, record: Record) -> Change {
    let (checks, interval) = WRITE_CHECKS;
    for _ in 0..checks {
        sleep(interval).await;
        let Ok(after) = shell.store.read().await else {
            continue;
        };
        let Some(found) = &after.record else {
            continue;
        };
        if found.envelope.write == record.envelope.write {
            return accepted(shell, record);
        }
        if found.envelope.version == record.envelope.version {
            // Another write took this version, so this write has lost and can no longer take
            // effect.
            return conflict(Some(found));
        }
        if after.revision != before.revision {
            // The store holds a later change; it is not known whether that was based on this write.
            break;
        }
    }
    let write = record.envelope.write;
    Change::Unknown { write }
}
