//! A model engine that tells what it keeps of prompts: a list, and events as they come.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::http::{Body, Service, Whole, json as json_answer, whole};

/// How often a held call looks for events.
const POLL: Duration = Duration::from_millis(10);

/// How it treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// It answers.
    #[default]
    Open,
    /// It turns calls away.
    Busy,
    /// It says nothing.
    Mute,
}

#[derive(Debug, Default)]
struct Inner {
    manner: Manner,
    epoch: u64,
    held: Vec<(u64, u32)>,
    events: Vec<(u64, &'static str, u64, u32)>,
    next: u64,
    /// Events before this one are not remembered.
    first: u64,
    calls: Vec<(Instant, String)>,
}

/// The engine's memory; clones share one state.
#[derive(Clone, Debug, Default)]
pub struct Memory(Arc<Mutex<Inner>>);

impl Memory {
    fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        act(&mut self.0.lock().expect("the lock is never poisoned"))
    }

    /// It keeps a part of so many tokens; none where it gives the part up.
    pub fn keep(&self, part: u64, tokens: u32) {
        self.with(|inner| {
            inner.held.retain(|(held, _)| *held != part);
            if tokens > 0 {
                inner.held.push((part, tokens));
            }
            let sign = if tokens > 0 { "+" } else { "-" };
            inner.events.push((inner.next, sign, part, tokens));
            inner.next += 1;
        });
    }

    /// It forgets its events: whoever does not know them has missed them.
    pub fn lose_events(&self) {
        self.with(|inner| {
            inner.events.clear();
            inner.first = inner.next;
        });
    }

    /// It starts again and keeps nothing.
    pub fn start_again(&self) {
        self.with(|inner| {
            *inner = Inner {
                epoch: inner.epoch + 1,
                calls: std::mem::take(&mut inner.calls),
                ..Inner::default()
            };
        });
    }

    /// It treats calls in this manner from now on.
    pub fn treat(&self, manner: Manner) {
        self.with(|inner| inner.manner = manner);
    }

    /// The paths of the calls of the last `span`.
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
            json!({"epoch": inner.epoch, "nextPageToken": inner.next, "held": held})
        })
    }

    /// The events since `since`; none where there are none yet.
    fn events(&self, since: u64) -> Option<Value> {
        self.with(|inner| {
            let later = inner.events.iter().filter(|(number, ..)| *number >= since);
            let row = |(number, sign, part, tokens): &(u64, &str, u64, u32)| {
                json!([number, sign, "", format!("{part:x}"), tokens, "m"])
            };
            let events: Vec<Value> = later.map(row).collect();
            let lost = since < inner.first;
            let any = lost || since > inner.next || !events.is_empty();
            let answer = json!({
                "epoch": inner.epoch, "nextPageToken": inner.next, "lost": lost, "events": events,
            });
            any.then_some(answer)
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
                    json!({"epoch": inner.epoch, "nextPageToken": inner.next, "lost": false, "events": []})
                });
            }
            sleep(POLL).await;
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
                let since = number(query.strip_prefix("since="));
                let wait = request.headers().get("wait-ms");
                let wait = number(wait.and_then(|value| value.to_str().ok()));
                self.wait(since, Duration::from_millis(wait)).await
            }
            _ => return Some(whole(StatusCode::NOT_FOUND, "")),
        };
        Some(json_answer(&answer))
    }
}
