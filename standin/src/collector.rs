//! Stand-in for a trace collector (OTLP over HTTP) that counts messages and named spans.

use std::sync::{Arc, Mutex};

use hyper::{Response, StatusCode};
use serde_json::json;

use crate::http::{Body, Service, Whole, json as json_answer, whole};

/// The trace collector; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    bodies: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Service for Collector {
    async fn answer(&self, request: Whole) -> Option<Response<Body>> {
        let mut bodies = self.bodies.lock().expect("the lock is never poisoned");
        Some(match request.uri().path() {
            "/v1/traces" => {
                bodies.push(request.body().to_vec());
                whole(StatusCode::OK, "")
            }
            "/_counts" => {
                let count = |name: &str| {
                    let needle = name.as_bytes();
                    let occurrences = |body: &Vec<u8>| {
                        body.windows(needle.len()).filter(|w| *w == needle).count()
                    };
                    bodies.iter().map(occurrences).sum::<usize>()
                };
                json_answer(&json!({
                    "messages": bodies.len(),
                    "receive": count("receive"),
                    "send": count("send to backend server"),
                    "relay": count("relay to region"),
                }))
            }
            _ => whole(StatusCode::NOT_FOUND, "no such path"),
        })
    }
}
