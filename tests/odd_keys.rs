//! Entries of another writer whose keys hold characters that a query must not.

mod harness;

use futures_util::{
    future::join_all,
    stream::{self, StreamExt as _},
};
use harness::{
    cloud::{Cloud, NEWS},
    eventually,
};
use petreldrum_standin::registry::Quirk;
use serde_json::{Value, json};
use tokio::time::sleep;

const KEYS: [&str; 10] = [
    "a b", "a&b", "a#b", "a%", "a%41", "a+b", "a=b", "a\"b", "a\nb", "\u{e4}",
];

/// Guards against boxes that never read past such an entry at the end of a page, or read the same
/// page for ever.
#[tokio::test]
async fn entries_after_odd_keys_are_read() {
    let clouds = KEYS.map(|key| async move {
        let mut cloud = Cloud::start().await;
        cloud.configure(1);
        cloud.registry.put("other/1", &json!({}));
        // It ends a page of the stand-in for the store.
        cloud.registry.put(&format!("other/{key}"), &json!({}));
        cloud.add_worker("i-1", "atl").await;
        cloud.add_box("atl").await;
        let entry = &cloud.boxes[0];
        eventually(&format!("{key:?}: a box is ready"), || entry.is_ready()).await;
        sleep(NEWS).await;
        let answer = entry.send("/safe/x", "one", "").await;
        assert_eq!(answer.status.as_u16(), 200, "{key:?}");
        assert_eq!(
            cloud.registry.calls("range"),
            2,
            "{key:?}: one call for each page"
        );
    });
    join_all(clouds).await;
}

/// What follows `i-1` in the names of other writers' entries among the backend servers, so that it
/// ends a page of the stand-in for the store.
const NAMES: [&str; 22] = [
    " b", "&b", "&after=z", "#b", "+b", "%", "%41", "%2", "%%%", "=b", "?b", "\"b", "\\b", ";b",
    "/b", "/../b", "\nb", "\0b", "\u{7f}b", "\u{e4}", "{[b]}", "& +#%",
];
/// Cases that run at the same time, with two boxes each.
const CONCURRENT_CASES: usize = 6;
const REQUESTS: usize = 10;

/// A complete entry of a backend server that does not exist.
fn complete_entry() -> Value {
    json!({
        "service": "app", "address": "127.0.0.1:9", "zone": "atl-a", "version": "v1", "slots": 8,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1,
    })
}

/// Restarts both boxes of a region while an entry with this name stands in a list of several pages.
async fn restart_beside(name: &str, content: &Value, quirk: Quirk) {
    let mut cloud = Cloud::start().await;
    cloud.registry.set_quirk(quirk);
    cloud.configure(1);
    for name in ["i-1", "i-2", "i-3", "i-4"] {
        cloud.add_worker(name, "atl").await;
    }
    cloud.add_box("atl").await;
    cloud.add_box("atl").await;
    cloud.settled().await;
    let key = format!("servers/i-1{name}");
    cloud.registry.put(&key, content);
    cloud.registry.end_pages_at(&key);
    cloud.restart_boxes("atl").await;
    let case = format!("{key:?}, {quirk:?}");
    for entry in &cloud.boxes {
        eventually(&format!("{case}: a box is ready"), || entry.is_ready()).await;
    }
    sleep(NEWS).await;
    for (number, entry) in cloud.boxes.iter().enumerate() {
        for request in 0..REQUESTS {
            let id = format!("{number}-{request}");
            let answer = entry.send("/safe/x", &id, "").await;
            assert_eq!(answer.status.as_u16(), 200, "{case}");
        }
    }
    cloud.registry.remove("servers/i-4");
    cloud.add_worker("j-1", "atl").await;
    for gone in ["servers/i-1", "servers/i-2", "servers/i-3"] {
        cloud.registry.remove(gone);
    }
    cloud.boxes[0].served_by("j-1", &case).await;
}

async fn restart_beside_all(quirk: Quirk) {
    let cases = NAMES.iter().flat_map(|name| {
        [json!({}), complete_entry()].map(|content| async move {
            restart_beside(name, &content, quirk).await;
        })
    });
    stream::iter(cases)
        .buffer_unordered(CONCURRENT_CASES)
        .collect::<()>()
        .await;
}

/// Guards against boxes that serve nothing after a restart because of such an entry.
#[tokio::test]
async fn boxes_restart_beside_odd_names() {
    restart_beside_all(Quirk::None).await;
}

/// The same, if the store decodes queries as forms.
#[tokio::test]
async fn boxes_restart_where_queries_are_forms() {
    restart_beside_all(Quirk::FormQueries).await;
}

/// Guards against boxes that request the same page for ever where the store does not decode queries.
#[tokio::test]
async fn boxes_restart_where_queries_are_verbatim() {
    restart_beside_all(Quirk::VerbatimQueries).await;
}
