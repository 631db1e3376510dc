//! Stand-in for the platform's list of live and leaving boxes and its client directory.
//!
//! The list changes only when a test sets it, so it can lag behind the boxes.

use std::sync::{Arc, Mutex};

use hyper::{Response, StatusCode};
use serde_json::{Value, json};

use crate::http::{Body, Service, Whole, json as json_answer, whole};

/// The list and the directory; clones share their content.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    content: Arc<Mutex<Lists>>,
}

#[derive(Debug, Default)]
struct Lists {
    list: Vec<Value>,
    directory: Vec<Value>,
}

impl Service for Platform {
    async fn answer(&self, request: Whole) -> Option<Response<Body>> {
        let mut content = self.content.lock().expect("the lock is never poisoned");
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let rows = body.as_array().cloned().unwrap_or_default();
        Some(match request.uri().path() {
            "/v1/list" => json_answer(&json!({ "boxes": content.list })),
            "/v1/directory" => json_answer(&json!({ "boxes": content.directory })),
            "/_list" => {
                content.list = rows;
                json_answer(&json!("set"))
            }
            "/_directory" => {
                content.directory = rows;
                json_answer(&json!("set"))
            }
            _ => whole(StatusCode::NOT_FOUND, "no such path"),
        })
    }
}
