//! Stand-in for a model engine that reports its prompt cache, as a full list and as events.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::http::{Body, Service, Whole, decoded, json as json_answer, whole};

/// Interval at which a long-polling call checks for events.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How the engine answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// Calls are answered.
    #[default]
    Open,
    /// Calls are refused with status 429.
    Busy,
    /// Calls are never answered.
    Mute,
}

#[derive(Debug, Default)]
struct Inner {
    manner: Manner,
    epoch: u64,
    held: Vec<(u64, u32)>,
    events: Vec<(u64, &'static str, u64, u32)>,
    next_event: u64,
    /// What the tokens of pages begin with; without it, they are numbers.
    token_prefix: Option<String>,
    /// Number of the oldest event that is still available.
    first_event: u64,
    calls: Vec<(Instant, String)>,
}

/// The prompt cache of an engine; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Memory(Arc<Mutex<Inner>>);

impl Inner {
    /// Returns the token of the next page.
    fn token(&self) -> Value {
        match &self.token_prefix {
            Some(prefix) => json!(format!("{prefix}{}", self.next_event)),
            None => json!(self.next_event),
        }
    }

    /// Returns the number of the event that a token refers to; `None` if the token is another
    /// engine's.
    fn event(&self, token: &str) -> Option<u64> {
        let prefix = self.token_prefix.as_deref().unwrap_or_default();
        token.strip_prefix(prefix)?.parse().ok()
    }
}

impl Memory {
    fn with<T>(&self, operation: impl FnOnce(&mut Inner) -> T) -> T {
        operation(&mut self.0.lock().expect("the lock is never poisoned"))
    }

    /// Adds a part of a prompt with this number of tokens; zero tokens evict the part.
    pub fn keep(&self, part: u64, tokens: u32) {
        self.with(|inner| {
            inner.held.retain(|(held, _)| *held != part);
            if tokens > 0 {
                inner.held.push((part, tokens));
            }
            let change = if tokens > 0 { "+" } else { "-" };
            inner.events.push((inner.next_event, change, part, tokens));
            inner.next_event += 1;
        });
    }

    /// Discards the event history, so that clients that have not read it get an event gap.
    pub fn lose_events(&self) {
        self.with(|inner| {
            inner.events.clear();
            inner.first_event = inner.next_event;
        });
    }

    /// Restarts the engine: the cache and events are empty, and the epoch is incremented.
    pub fn start_again(&self) {
        self.with(|inner| {
            *inner = Inner {
                epoch: inner.epoch + 1,
                calls: std::mem::take(&mut inner.calls),
                ..Inner::default()
            };
        });
    }

    /// Makes the tokens of pages texts that begin with `prefix`.
    pub fn begin_tokens_with(&self, prefix: &str) {
        self.with(|inner| inner.token_prefix = Some(prefix.to_owned()));
    }

    /// Sets how further calls are answered.
    pub fn treat(&self, manner: Manner) {
        self.with(|inner| inner.manner = manner);
    }

    /// Returns the paths of the calls received within the last `span`.
    pub fn calls(&self, span: Duration) -> Vec<String> {
        self.with(|inner| {
            let recent = inner.calls.iter().filter(|(at, _)| at.elapsed() <= span);
            recent.map(|(_, path)| path.clone()).collect()
        })
    }

    fn list(&self) -> Value {
        self.with(|inner| {
            let row = |(part, tokens): &(u64, u32)| json!(["", format!("{part:x}"), tokens, "m"]);
            let held: Vec<Value> = inner.held.iter().map(row).collect();
            json!({"epoch": inner.epoch, "nextPageToken": inner.token(), "held": held})
        })
    }

    /// Returns the events from number `since` on, or `None` if there is nothing to report yet.
    fn events(&self, since: u64) -> Option<Value> {
        self.with(|inner| {
            let newer = inner.events.iter().filter(|(number, ..)| *number >= since);
            let row = |(number, change, part, tokens): &(u64, &str, u64, u32)| {
                json!([number, change, "", format!("{part:x}"), tokens, "m"])
            };
            let events: Vec<Value> = newer.map(row).collect();
            let lost = since < inner.first_event;
            let reportable = lost || since > inner.next_event || !events.is_empty();
            let answer = json!({
                "epoch": inner.epoch, "nextPageToken": inner.token(), "lost": lost, "events": events,
            });
            reportable.then_some(answer)
        })
    }

    async fn wait(&self, since: u64, wait: Duration) -> Value {
        let began = Instant::now();
        loop {
            if let Some(answer) = self.events(since) {
                return answer;
            }
            if began.elapsed() >= wait {
                return self.with(|inner| {
                    json!({"epoch": inner.epoch, "nextPageToken": inner.token(), "lost": false, "events": []})
                });
            }
            sleep(EVENT_POLL_INTERVAL).await;
        }
    }
}

impl Service for Memory {
    async fn answer(&self, request: Whole) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        let manner = self.with(|inner| {
            inner.calls.push((Instant::now(), path.clone()));
            inner.manner
        });
        match manner {
            Manner::Open => {}
            Manner::Busy => return Some(whole(StatusCode::TOO_MANY_REQUESTS, "")),
            Manner::Mute => std::future::pending().await,
        }
        let number = |text: Option<&str>| text.and_then(|t| t.parse().ok()).unwrap_or(0);
        let answer = match path.as_str() {
            "/v1/kv-list" => self.list(),
            "/v1/kv-events" => {
                let query = request.uri().query().unwrap_or_default();
                let since = query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix("since="));
                let since = decoded(since.unwrap_or_default());
                let Some(since) = self.with(|inner| inner.event(&since)) else {
                    return Some(whole(StatusCode::BAD_REQUEST, "an unknown token"));
                };
                let wait = request.headers().get("wait-ms");
                let wait = number(wait.and_then(|value| value.to_str().ok()));
                self.wait(since, Duration::from_millis(wait)).await
            }
            _ => return Some(whole(StatusCode::NOT_FOUND, "")),
        };
        Some(json_answer(&answer))
    }
}
