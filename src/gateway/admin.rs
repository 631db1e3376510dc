//! The operators' interface: status, configuration, dry runs, metrics, the planned stop.

use std::{sync::Arc, time::Duration};

use http_body_util::{BodyExt as _, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    config::{Ask, Config, Envelope, Record, Version},
    gateway::{
        Shell,
        body::Body,
        directory::{METRICS_PATH, METRICS_TYPE},
        follow, head,
        order::{Desk, mark, newest},
        store::{Stored, Swap},
    },
    id::{self, Service},
    ini::Faults,
    reducer::{
        event::{Event, Source},
        order,
    },
};

/// Names who changes the configuration.
pub const AUTHOR: &str = "x-author";
/// Names the version that a change is based on.
pub const IF_MATCH: &str = "if-match";
/// Where orders for roll-outs are given, and taken back.
pub const ROLLOUT_PATH: &str = "/rollout";
/// Largest configuration, in bytes of text: the store holds values up to a megabyte.
pub const MAX_TEXT: usize = 900 << 10;
/// How often and how far apart an unsettled write is looked for.
const SETTLE: (u32, Duration) = (5, Duration::from_millis(400));

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Change {
    /// It is accepted and will be in force everywhere within seconds.
    Accepted {
        /// Its number.
        version: Version,
    },
    /// Somebody changed the configuration meanwhile.
    Conflict {
        /// The number that stands.
        version: Version,
        /// Who wrote it.
        author: String,
    },
    /// It does not check; nothing was written.
    Invalid {
        /// Every fault, with section and key.
        faults: Vec<String>,
    },
    /// The store did not say whether it was written; `config get` will tell.
    Unknown {
        /// The mark of the write.
        write: String,
    },
    /// The store could not be read; nothing was written.
    Unavailable {
        /// Why.
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

/// A dry run's question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    /// The customer.
    #[serde(alias = "caller")]
    pub customer: id::Customer,
    /// The path.
    pub path: String,
    /// The model, for a model route.
    pub model: Option<Service>,
}

fn plain(status: StatusCode, text: &str) -> Response<Body> {
    head::whole(status, "text/plain", format!("{text}\n"))
}

/// Serves one request of an operator.
pub(crate) async fn serve(shell: Arc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/health") => return plain(StatusCode::OK, "alive"),
        (&Method::GET, "/ready") => return shell.readiness().await,
        (&Method::GET, METRICS_PATH) => {
            return head::whole(StatusCode::OK, METRICS_TYPE, shell.metrics.text());
        }
        _ => {}
    }
    let token = head::bearer(&parts.headers);
    if !token.is_some_and(|t| shell.is_admin(t)) {
        return plain(
            StatusCode::UNAUTHORIZED,
            "the bearer token is wrong or missing",
        );
    }
    let body = match Limited::new(body, MAX_TEXT).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
    };
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/status") => match shell.core.status().await {
            Some(status) => head::json_answer(StatusCode::OK, &status),
            None => plain(StatusCode::SERVICE_UNAVAILABLE, "the box is stopping"),
        },
        (&Method::GET, "/config") => read(&shell).await,
        (&Method::PUT, "/config") => change(&shell, &parts.headers, &body).await,
        (&Method::POST, "/explain") => explain(&shell, &body).await,
        (&Method::POST, ROLLOUT_PATH) => start_rollout(&shell, &parts.headers, &body).await,
        (&Method::DELETE, ROLLOUT_PATH) => stop_rollout(&shell, &parts.headers, &body).await,
        (&Method::POST, "/pardon") => pardon(&shell, &body),
        (&Method::POST, "/drain") => {
            shell.stop();
            plain(
                StatusCode::ACCEPTED,
                "the box finishes what is in flight and stops",
            )
        }
        _ => plain(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Gives an order for a roll-out.
async fn start_rollout(shell: &Shell, headers: &HeaderMap, body: &[u8]) -> Response<Body> {
    let ask: order::Ask = match serde_json::from_slice(body) {
        Ok(ask) => ask,
        Err(error) => return plain(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let Some(author) = text(headers, AUTHOR) else {
        return plain(StatusCode::BAD_REQUEST, "an order needs X-Author");
    };
    let outcome = Desk::of(shell).start(author, &ask).await;
    head::json_answer(outcome.status(), &outcome)
}

/// Takes an order for a roll-out back; the body names the service.
async fn stop_rollout(shell: &Shell, headers: &HeaderMap, body: &[u8]) -> Response<Body> {
    let service: Service = match str::from_utf8(body).unwrap_or_default().trim().parse() {
        Ok(service) => service,
        Err(error) => return plain(StatusCode::BAD_REQUEST, &format!("service: {error}")),
    };
    let Some(author) = text(headers, AUTHOR) else {
        return plain(StatusCode::BAD_REQUEST, "an order needs X-Author");
    };
    let outcome = Desk::of(shell).stop(author, &service).await;
    head::json_answer(outcome.status(), &outcome)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Lets a content run again, here and at every box that hears of it.
fn pardon(shell: &Shell, body: &[u8]) -> Response<Body> {
    let text = str::from_utf8(body).unwrap_or_default();
    match text.trim().parse() {
        Ok(content) => {
            shell.core.tell(Event::Pardoned(content));
            plain(StatusCode::ACCEPTED, "it may run again")
        }
        Err(error) => plain(StatusCode::UNPROCESSABLE_ENTITY, error),
    }
}

/// The configuration in the store, or the one in force where the store does not answer.
async fn read(shell: &Shell) -> Response<Body> {
    let current = shell.current.borrow().clone();
    match (shell.store.read().await, current) {
        (
            Ok(Stored {
                record: Some(record),
                ..
            }),
            _,
        ) => head::json_answer(StatusCode::OK, &record),
        (Ok(_), None) => plain(StatusCode::NOT_FOUND, "there is no configuration yet"),
        (Ok(_) | Err(_), Some(current)) => head::json_answer(StatusCode::OK, &*current.record),
        (Err(error), None) => plain(
            StatusCode::SERVICE_UNAVAILABLE,
            &format!("the store does not answer: {error:#}"),
        ),
    }
}

async fn explain(shell: &Shell, body: &[u8]) -> Response<Body> {
    let question: Question = match serde_json::from_slice(body) {
        Ok(question) => question,
        Err(error) => return plain(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let ask = Ask {
        host: None,
        draw: 0,
        customer: question.customer,
        path: question.path,
        model: question.model,
    };
    match shell.core.explain(ask, 0).await {
        Some(Ok(explanation)) => head::json_answer(StatusCode::OK, &explanation),
        Some(Err(reason)) => plain(StatusCode::NOT_FOUND, &reason),
        None => plain(StatusCode::SERVICE_UNAVAILABLE, "the box is stopping"),
    }
}

async fn change(shell: &Shell, headers: &HeaderMap, body: &[u8]) -> Response<Body> {
    let base: Option<Version> = text(headers, IF_MATCH).and_then(|v| v.parse().ok());
    let (Some(base), Some(author)) = (base, text(headers, AUTHOR)) else {
        let need = "a change needs If-Match (the version it is based on) and X-Author";
        return plain(StatusCode::BAD_REQUEST, need);
    };
    let Ok(config) = str::from_utf8(body) else {
        return plain(StatusCode::BAD_REQUEST, "the configuration is not UTF-8");
    };
    let change = put(shell, base, author, config).await;
    log::info!("admin: change by {author:?} on {base}: {change:?}.");
    head::json_answer(change.status(), &change)
}

/// Writes a configuration that is based on `base`, by compare-and-swap; the roll-outs stay as they are.
async fn put(shell: &Shell, base: Version, author: &str, text: &str) -> Change {
    let mut envelope = Envelope {
        version: Version(0),
        write: mark(),
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
    let newest = newest(stored.record.as_ref(), in_force.as_deref());
    let known = newest.map_or(base == Version(0), |record| record.is_known(base));
    if !known {
        return conflict(newest);
    }
    let standing = newest.map_or(Version(0), |record| record.envelope.version);
    envelope.version = Version(standing.0 + 1);
    let rollouts = newest.map(|record| record.rollouts.clone());
    let record = Record {
        rollouts: rollouts.unwrap_or_default(),
        ..envelope.into()
    };
    match shell.store.swap(stored.revision, &record).await {
        Ok(Swap::Done) => accepted(shell, record),
        Ok(Swap::Lost) => match shell.store.read().await {
            Ok(winner) => conflict(winner.record.as_ref()),
            Err(_) => conflict(newest),
        },
        Err(error) => {
            log::warn!("admin: a write's reply was lost: {error:#}.");
            settle(shell, stored, record).await
        }
    }
}

/// The box that made a change has it at once.
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

/// Reads until the fate of a write shows; `before` is what stood before it.
async fn settle(shell: &Shell, before: Stored, record: Record) -> Change {
    let (tries, pause) = SETTLE;
    for _ in 0..tries {
        sleep(pause).await;
        let Ok(now) = shell.store.read().await else {
            continue;
        };
        let Some(found) = &now.record else {
            continue;
        };
        if found.envelope.write == record.envelope.write {
            return accepted(shell, record);
        }
        if found.envelope.version == record.envelope.version {
            // Another write took this number, so this one lost and cannot take effect any more.
            return conflict(Some(found));
        }
        if now.revision != before.revision {
            // A later change stands; whether it followed this one cannot be seen.
            break;
        }
    }
    let write = record.envelope.write;
    Change::Unknown { write }
}
