//! Answers callers that ask which boxes to use.

use std::sync::Arc;

use hyper::{Response, StatusCode};

use crate::{
    gateway::{Shell, body::Body, core::Order, head, read::deny},
    pin::{self, Pin},
    reducer::{
        effect::{Entry, Reply},
        event::{Credential, Event},
    },
    unit::Millis,
};

/// How long the boxes of an "ask" may be used.
const ASK_LIFE: Millis = Millis(10_000);

/// Answers one question of a caller.
pub(crate) async fn answer(
    shell: &Arc<Shell>,
    credential: Credential,
) -> Result<Response<Body>, Reply> {
    let request = shell.next_request();
    let mut orders = shell.core.open(Event::Asked {
        request,
        credential,
    });
    match orders.recv().await {
        Some(Order::Boxes(boxes)) => Ok(list_boxes(shell, &boxes)),
        Some(Order::Reply(reply)) => Err(reply),
        _ => Err(deny(503, "this box is stopping")),
    }
}

fn list_boxes(shell: &Shell, boxes: &[Entry]) -> Response<Body> {
    let secret = &shell.settings.cluster_secret;
    let rows: Vec<serde_json::Value> = boxes
        .iter()
        .map(|entry| {
            let pin = Pin {
                peer: entry.contact.peer,
                incarnation: entry.incarnation,
                expiry: entry.uptime + pin::LIFE,
            };
            serde_json::json!({
                "box": entry.contact.name,
                "region": entry.contact.region,
                "failure_domain": entry.contact.domain,
                "address": entry.contact.public,
                "key_prefix": pin.prefix(secret),
                "busy": entry.busy,
            })
        })
        .collect();
    let content = serde_json::json!({ "boxes": rows, "use_for_ms": ASK_LIFE });
    head::json_answer(StatusCode::OK, &content)
}
