//! Serves the list of boxes that a caller may send requests to.

use std::sync::Arc;

use hyper::{Response, StatusCode};

use crate::{
    gateway::{Shell, body::Body, core::Command, head, read::deny},
    pin::{self, Pin},
    reducer::{
        effect::{Entry, Reply},
        event::{Credential, Event},
    },
    unit::Millis,
};

/// How long callers may use the listed boxes.
const BOX_LIST_TTL: Millis = Millis(10_000);

/// Returns the boxes that the holder of `credential` may use.
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
        Some(Command::Boxes(boxes)) => Ok(list_boxes(shell, &boxes)),
        Some(Command::Reply(reply)) => Err(reply),
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
                expiry: entry.uptime + pin::PIN_LIFETIME,
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
    let content = serde_json::json!({ "boxes": rows, "use_for_ms": BOX_LIST_TTL });
    head::json_response(StatusCode::OK, &content)
}
