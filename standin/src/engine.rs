//! Stand-in for a model engine: OpenAI-style requests, SSE token streams, slots, a prefix cache and
//! refusals.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    sync::{Semaphore, mpsc},
    time::sleep,
};

use crate::http::{Body, Service, Whole, json as json_answer, stream, whole};

/// Response header that marks a request as refused without being run.
pub const REFUSED: &str = "x-engine-refused";
/// Response header with the number of requests per second that the engine accepts.
pub const LIMIT: &str = "x-engine-limit";
/// Response header with the rejections per second that the engine tolerates.
pub const BRITTLE: &str = "x-engine-brittle";
/// Capacity of the prefix cache.
const MAX_CACHED_PREFIXES: usize = 32;
const DEFAULT_TOKENS: u64 = 8;

/// Configurable behaviour of the engine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Behaviour {
    /// Milliseconds to the first token if the prompt's prefix is cached.
    pub first_ms: u64,
    /// Additional milliseconds to the first token if the prefix is not cached.
    pub cold_ms: u64,
    /// Milliseconds between tokens.
    pub token_ms: u64,
    /// Whether all requests are refused.
    pub refuse: bool,
    /// The `Retry-After` value of refusals, in seconds.
    pub retry_after: Option<f64>,
    /// Whether each stream is broken off after two tokens.
    pub cut: bool,
    /// Whether the connection is closed without an answer.
    pub reset: bool,
    /// The limit reported in answers: requests per second accepted from all boxes together.
    pub limit: Option<f64>,
    /// The rejections per second that answers say to be tolerated.
    pub brittle: Option<f64>,
    /// Requests that may wait for a slot; further ones are rejected.
    pub queue: Option<usize>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            first_ms: 5,
            cold_ms: 0,
            token_ms: 2,
            refuse: false,
            retry_after: None,
            cut: false,
            reset: false,
            limit: None,
            brittle: None,
            queue: None,
        }
    }
}

/// Request counters of the engine.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Counts {
    started: u64,
    finished: u64,
    cancelled: u64,
    refused: u64,
    cold: u64,
}

/// The model engine; clones share their state.
#[derive(Clone, Debug)]
pub struct Engine {
    behaviour: Arc<Mutex<Behaviour>>,
    counts: Arc<Mutex<Counts>>,
    prefixes: Arc<Mutex<VecDeque<u64>>>,
    slots: Arc<Semaphore>,
    slot_count: usize,
    /// Requests that run or wait.
    in_flight: Arc<AtomicUsize>,
}

impl Engine {
    /// Creates an engine that runs `slots` requests concurrently and queues further ones.
    pub fn new(slots: usize, behaviour: Behaviour) -> Self {
        Self {
            behaviour: Arc::new(Mutex::new(behaviour)),
            counts: Arc::default(),
            prefixes: Arc::default(),
            slots: Arc::new(Semaphore::new(slots)),
            slot_count: slots,
            in_flight: Arc::default(),
        }
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock().expect("the lock is never poisoned"));
    }

    fn behaviour(&self) -> Behaviour {
        *self.behaviour.lock().expect("the lock is never poisoned")
    }

    /// Reports whether the prompt's prefix was cached, and caches it.
    fn warm(&self, prompt: &str) -> bool {
        let prefix = &prompt.as_bytes()[..prompt.len().min(64)];
        let hash = xxhash_rust::xxh3::xxh3_64(prefix);
        let mut cache = self.prefixes.lock().expect("the lock is never poisoned");
        let warm = cache.contains(&hash);
        cache.retain(|h| *h != hash);
        cache.push_back(hash);
        if cache.len() > MAX_CACHED_PREFIXES {
            cache.pop_front();
        }
        warm
    }

    fn complete(&self, body: &Value) -> Response<Body> {
        let prompt = match &body["messages"] {
            Value::Null => body["prompt"].to_string(),
            messages => {
                messages[messages.as_array().map_or(0, |m| m.len().saturating_sub(1))]["content"]
                    .as_str()
                    .unwrap_or_default()
                    .to_owned()
            }
        };
        let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
        let model = body["model"].clone();
        let (sender, receiver) = mpsc::channel(1);
        let engine = self.clone();
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let in_flight = engine.in_flight.clone();
            engine.generate(prompt, tokens, model, sender).await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
        });
        let mut response = stream(receiver);
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", kind);
        if let Some(limit) = self.behaviour().limit
            && let Ok(limit) = HeaderValue::from_str(&limit.to_string())
        {
            response.headers_mut().insert(LIMIT, limit);
        }
        self.announce_brittleness(response.headers_mut());
        response
    }

    /// Sets the header that says how many rejections are tolerated.
    fn announce_brittleness(&self, headers: &mut HeaderMap) {
        let tolerance = self.behaviour().brittle.map(|n| n.to_string());
        let tolerance = tolerance.and_then(|text| HeaderValue::from_str(&text).ok());
        if let Some(tolerance) = tolerance {
            headers.insert(BRITTLE, tolerance);
        }
    }

    /// Reports whether all slots are taken and no further request may wait.
    fn is_full(&self) -> bool {
        let queue = self.behaviour().queue;
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        queue.is_some_and(|queue| in_flight >= self.slot_count + queue)
    }

    async fn generate(
        self,
        prompt: String,
        tokens: u64,
        model: Value,
        sender: mpsc::Sender<std::io::Result<Bytes>>,
    ) {
        let Ok(_slot) = self.slots.clone().acquire_owned().await else {
            return;
        };
        let behaviour = self.behaviour();
        self.count(|c| c.started += 1);
        let warm = self.warm(&prompt);
        let mut delay_ms = behaviour.first_ms;
        if !warm {
            delay_ms += behaviour.cold_ms;
            self.count(|c| c.cold += 1);
        }
        for index in 0..tokens {
            tokio::select! {
                () = sleep(Duration::from_millis(delay_ms)) => {}
                () = sender.closed() => return self.count(|c| c.cancelled += 1),
            }
            delay_ms = behaviour.token_ms;
            if behaviour.cut && index == 2 {
                let _ = sender.send(Err(std::io::Error::other("cut"))).await;
                return;
            }
            let token = format!("{prompt}#{index} ");
            let chunk = json!({ "model": model, "choices": [{ "delta": { "content": token } }] });
            let line = Bytes::from(format!("data: {chunk}\n\n"));
            if sender.send(Ok(line)).await.is_err() {
                return self.count(|c| c.cancelled += 1);
            }
        }
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        let _ = sender.send(Ok(done)).await;
        self.count(|c| c.finished += 1);
    }
}

impl Service for Engine {
    async fn answer(&self, request: Whole) -> Option<Response<Body>> {
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let behaviour = self.behaviour();
        match request.uri().path() {
            "/_behave" => {
                if let Ok(new) = serde_json::from_value(body) {
                    *self.behaviour.lock().expect("the lock is never poisoned") = new;
                }
                Some(json_answer(&json!("set")))
            }
            "/_counts" => {
                let counts = *self.counts.lock().expect("the lock is never poisoned");
                Some(json_answer(&json!(counts)))
            }
            "/v1/chat/completions" | "/v1/completions" if behaviour.reset => None,
            "/v1/chat/completions" | "/v1/completions" if behaviour.refuse || self.is_full() => {
                self.count(|c| c.refused += 1);
                let mut answer = whole(StatusCode::SERVICE_UNAVAILABLE, "leaving");
                let yes = HeaderValue::from_static("yes");
                answer.headers_mut().insert(REFUSED, yes);
                self.announce_brittleness(answer.headers_mut());
                if let Some(seconds) = behaviour.retry_after {
                    let seconds = HeaderValue::from_str(&seconds.to_string());
                    let seconds = seconds.expect("a number is a valid header value");
                    answer.headers_mut().insert(RETRY_AFTER, seconds);
                }
                Some(answer)
            }
            "/v1/chat/completions" | "/v1/completions" => Some(self.complete(&body)),
            _ => Some(whole(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}
