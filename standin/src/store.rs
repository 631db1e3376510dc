//! Stand-in for the key-value service: range reads, compare-and-swap transactions, watches and
//! injected faults.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::http::{Body, Service, Whole, json as json_answer, stream, whole};

/// A fault injected into the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every connection is closed without an answer.
    Down,
    /// Every answer takes three seconds.
    Slow,
    /// The next write takes effect and its reply is lost; then the fault is cleared.
    LoseReply,
    /// The next write takes effect, its reply is lost, and the store stays down.
    LoseReplyThenDown,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Entry {
    value: String,
    revision: u64,
}

#[derive(Debug, Default)]
struct Inner {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    fault: Fault,
    calls: BTreeMap<String, u64>,
    open_watches: u64,
}

/// The key-value store; clones share their content.
#[derive(Clone, Debug)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            inner: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }
}

const SLOW_ANSWER_DELAY: Duration = Duration::from_secs(3);

impl Store {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the lock is never poisoned")
    }

    /// Writes `value` if the key's revision is `expected`, or unconditionally if that is `None`.
    /// Reports whether it was written.
    fn put(&self, key: &str, value: &str, expected: Option<&str>) -> bool {
        let mut inner = self.lock();
        let current = inner.entries.get(key).map_or(0, |e| e.revision);
        if expected.is_some_and(|e| e != current.to_string()) {
            return false;
        }
        inner.revision += 1;
        let revision = inner.revision;
        let entry = Entry {
            value: value.to_owned(),
            revision,
        };
        inner.entries.insert(key.to_owned(), entry);
        drop(inner);
        self.changed.send_replace(revision);
        true
    }

    fn range(&self, body: &Value) -> Value {
        let inner = self.lock();
        let key = body["key"].as_str().unwrap_or_default();
        let header = json!({ "revision": inner.revision.to_string() });
        match inner.entries.get(key) {
            None => json!({ "header": header }),
            Some(entry) => json!({ "header": header, "kvs": [kv(key, entry)], "count": "1" }),
        }
    }

    fn txn(&self, body: &Value) -> Value {
        let compare = &body["compare"][0];
        let key = compare["key"].as_str().unwrap_or_default();
        let expected = compare["mod_revision"].as_str().unwrap_or("0");
        let put = &body["success"][0]["request_put"];
        let value = put["value"].as_str().unwrap_or_default();
        json!({ "succeeded": self.put(key, value, Some(expected)) })
    }

    fn watch(&self, body: &Value) -> Response<Body> {
        let create = &body["create_request"];
        let key = create["key"].as_str().unwrap_or_default().to_owned();
        let start = create["start_revision"].as_str().unwrap_or("0");
        let mut next: u64 = start.parse().unwrap_or(0);
        let (sender, receiver) = mpsc::channel(4);
        let store = self.clone();
        let mut changed = self.changed.subscribe();
        store.lock().open_watches += 1;
        tokio::spawn(async move {
            let line = |content: Value| Ok(Bytes::from(format!("{content}\n")));
            let created = json!({ "result": { "created": true } });
            let mut open = sender.send(line(created)).await.is_ok();
            while open {
                let entry = store.lock().entries.get(&key).cloned();
                if let Some(entry) = entry.filter(|e| e.revision >= next) {
                    next = entry.revision + 1;
                    let event = json!({ "type": "PUT", "kv": kv(&key, &entry) });
                    let result = json!({ "result": { "events": [event] } });
                    open = sender.send(line(result)).await.is_ok();
                    continue;
                }
                tokio::select! {
                    more = changed.changed() => open = more.is_ok(),
                    () = sender.closed() => open = false,
                }
                if store.lock().fault == Fault::Down {
                    let _ = sender.send(Err(std::io::Error::other("down"))).await;
                    open = false;
                }
            }
            store.lock().open_watches -= 1;
        });
        stream(receiver)
    }

    fn control(&self, path: &str, body: &Value) -> Response<Body> {
        match path {
            "/_fault" => match serde_json::from_value(body.clone()) {
                Ok(fault) => {
                    self.lock().fault = fault;
                    let revision = self.lock().revision;
                    // Wakes the watches, so that they end if the store is down.
                    self.changed.send_replace(revision);
                    json_answer(&json!("set"))
                }
                Err(error) => whole(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/_set" => {
                let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
                self.put(&text("key"), &text("value"), None);
                json_answer(&json!("set"))
            }
            "/_counts" => {
                let inner = self.lock();
                json_answer(&json!({
                    "calls": inner.calls,
                    "open_watches": inner.open_watches,
                    "revision": inner.revision,
                }))
            }
            _ => whole(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn take_write_fault(&self) -> Fault {
        let mut inner = self.lock();
        let fault = inner.fault;
        match fault {
            Fault::LoseReply => inner.fault = Fault::None,
            Fault::LoseReplyThenDown => inner.fault = Fault::Down,
            _ => {}
        }
        fault
    }
}

fn kv(key: &str, entry: &Entry) -> Value {
    json!({ "key": key, "value": entry.value, "mod_revision": entry.revision.to_string() })
}

impl Service for Store {
    async fn answer(&self, request: Whole) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        if path.starts_with("/_") {
            return Some(self.control(&path, &body));
        }
        *self.lock().calls.entry(path.clone()).or_default() += 1;
        let fault = self.lock().fault;
        match fault {
            Fault::Down => return None,
            Fault::Slow => sleep(SLOW_ANSWER_DELAY).await,
            Fault::None | Fault::LoseReply | Fault::LoseReplyThenDown => {}
        }
        match path.as_str() {
            "/v3/kv/range" => Some(json_answer(&self.range(&body))),
            "/v3/kv/txn" => {
                let answer = self.txn(&body);
                let lost = matches!(
                    self.take_write_fault(),
                    Fault::LoseReply | Fault::LoseReplyThenDown
                );
                (!lost).then(|| json_answer(&answer))
            }
            "/v3/watch" => Some(self.watch(&body)),
            _ => Some(whole(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}
