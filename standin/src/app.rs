//! Stand-in for an application service that counts executions by the `id` in the request body.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::Response;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::http::{Body, Service, Whole, json as json_answer, whole};

/// Response header that marks a request as refused without being run.
pub const REFUSED: &str = "x-app-refused";

/// Configurable behaviour of the service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Behaviour {
    /// Duration of an execution in milliseconds; it is counted when it starts.
    pub run_ms: u64,
    /// Whether all requests are refused.
    pub refuse: bool,
    /// Whether the connection is closed without an answer after a request has run.
    pub lose_reply: bool,
}

/// The application service; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct App {
    behaviour: Arc<Mutex<Behaviour>>,
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Service for App {
    async fn answer(&self, request: Whole) -> Option<Response<Body>> {
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        match request.uri().path() {
            "/_behave" => {
                if let Ok(new) = serde_json::from_value(body) {
                    *self.behaviour.lock().expect("the lock is never poisoned") = new;
                }
                return Some(json_answer(&json!("set")));
            }
            "/_counts" => {
                let runs = self
                    .runs
                    .lock()
                    .expect("the lock is never poisoned")
                    .clone();
                return Some(json_answer(&json!(runs)));
            }
            _ => {}
        }
        let behaviour = *self.behaviour.lock().expect("the lock is never poisoned");
        if behaviour.refuse {
            let mut answer = whole(hyper::StatusCode::SERVICE_UNAVAILABLE, "leaving");
            let yes = hyper::header::HeaderValue::from_static("yes");
            answer.headers_mut().insert(REFUSED, yes);
            return Some(answer);
        }
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        let run = {
            let mut runs = self.runs.lock().expect("the lock is never poisoned");
            let count = runs.entry(id.clone()).or_default();
            *count += 1;
            *count
        };
        sleep(Duration::from_millis(behaviour.run_ms)).await;
        if behaviour.lose_reply {
            return None;
        }
        let path = request.uri().path();
        Some(json_answer(&json!({ "id": id, "run": run, "path": path })))
    }
}
