//! Rows of the store that cannot be parsed, beside rows that can.

mod harness;

use futures_util::stream::{self, StreamExt as _};
use harness::{cloud::Cloud, eventually};
use serde_json::json;

/// The place of the rows in the order of keys.
const KEY: &str = "servers/i-1x";
/// Rows whose key is no text.
const NO_TEXT: [&[u8]; 5] = [
    br#"{"key":"servers/i-1\ud800","value":"e30=","revision":1}"#,
    br#"{"key":"servers/i-1\udc00x","value":"e30=","revision":1}"#,
    br#"{"key":"servers/i-1x\udcff","value":"e30=","revision":1}"#,
    br#"{"key":"servers/i-1\ud800\n\ud800","value":"e30=","revision":1}"#,
    b"{\"key\":\"servers/i-1\xff\",\"value\":\"e30=\",\"revision\":1}",
];
/// Rows without a key.
const NO_KEY: [&[u8]; 7] = [
    br#"{"value":"e30=","revision":1}"#,
    br#"{"key":null,"value":"e30=","revision":1}"#,
    br#"{"key":7,"value":"e30=","revision":1}"#,
    br#"{"key":"servers/i-1x","key":"servers/i-2","value":"","revision":1}"#,
    b"null",
    br#""servers/i-1x""#,
    br#"[["servers/i-1x"]]"#,
];
/// Rows of [`KEY`] whose other fields are not as documented.
const OTHERS_ODD: [&[u8]; 12] = [
    br#"{"key":"servers/i-1x","value":null,"revision":1}"#,
    br#"{"key":"servers/i-1x","value":7,"revision":1}"#,
    br#"{"key":"servers/i-1x","value":{"state":"ready"},"revision":1}"#,
    br#"{"key":"servers/i-1x","value":"\ud800","revision":1}"#,
    b"{\"key\":\"servers/i-1x\",\"value\":\"\xc3\x28\",\"revision\":1}",
    br#"{"key":"servers/i-1x","value":"e30=","revision":18446744073709551616}"#,
    br#"{"key":"servers/i-1x","value":"e30=","revision":18446744073709551615}"#,
    br#"{"key":"servers/i-1x","value":"e30=","revision":-1}"#,
    br#"{"key":"servers/i-1x","value":"e30=","revision":"1"}"#,
    br#"{"key":"servers/i-1x","value":"e30=","revision":null}"#,
    br#"{"key":"servers/i-1x","revision":1,"deleted":"yes"}"#,
    br#"{"key":"servers/i-1x","value":"e30=","revision":1e999,"lease":1e999}"#,
];
const NESTING_DEPTH: usize = 100_000;
/// Cases that run at the same time, with two processes each.
const CONCURRENT_CASES: usize = 6;

/// Returns a row with a list of lists in one field.
fn nested(field: &str) -> Vec<u8> {
    let lists = "[".repeat(NESTING_DEPTH) + &"]".repeat(NESTING_DEPTH);
    format!(r#"{{"key":"{KEY}","{field}":{lists},"revision":1}}"#).into()
}

async fn assert_served_by(cloud: &Cloud, name: &str, case: &str) {
    for (number, entry) in cloud.boxes.iter().enumerate() {
        entry.served_by(name, case).await;
        for request in 0..5 {
            let id = format!("{name}-{number}-{request}");
            let answer = entry.send("/safe/x", &id, "").await;
            assert_eq!(answer.status.as_u16(), 200, "{case}");
        }
    }
}

/// Writes `row` while boxes run, and then restarts them. Pages that reach the row end there if
/// `ends_pages` is set.
async fn run_beside(row: Vec<u8>, ends_pages: bool) {
    let case = String::from_utf8_lossy(&row[..row.len().min(80)]).into_owned();
    let mut cloud = Cloud::serving(&["i-1", "i-2", "i-3"]).await;
    cloud.add_box("atl").await;
    cloud.settled().await;
    cloud.registry.put_row(KEY, &row);
    if ends_pages {
        cloud.registry.end_pages_at(KEY);
    }
    cloud.add_worker("i-4", "atl").await;
    for name in ["i-1", "i-2", "i-3"] {
        cloud.registry.remove(&format!("servers/{name}"));
    }
    assert_served_by(&cloud, "i-4", &case).await;

    cloud.registry.put("servers/i-0", &json!({}));
    cloud.restart_boxes("atl").await;
    for entry in &cloud.boxes {
        eventually(&format!("{case}: a box is ready"), || entry.is_ready()).await;
    }
    assert_served_by(&cloud, "i-4", &case).await;
    cloud.configure(2);
    eventually(&format!("{case}: the change is in force"), || async {
        cloud.boxes[0].send("/v2/x", "two", "").await.status == 200
    })
    .await;
}

async fn run_beside_all(rows: impl IntoIterator<Item = Vec<u8>>, ends_pages: bool) {
    let tasks = rows
        .into_iter()
        .map(|row| tokio::spawn(run_beside(row, ends_pages)));
    let cases: Vec<_> = stream::iter(tasks)
        .buffer_unordered(CONCURRENT_CASES)
        .collect()
        .await;
    let failed = cases.iter().filter(|case| case.is_err()).count();
    assert_eq!(failed, 0, "of {} rows", cases.len());
}

/// Guards against rows that hide all others, in lists and among changes, by a key that is no text.
#[tokio::test]
async fn rows_whose_key_is_no_text_hide_no_others() {
    run_beside_all(NO_TEXT.map(<[u8]>::to_vec), true).await;
}

/// The same for rows that name no key.
#[tokio::test]
async fn rows_without_a_key_hide_no_others() {
    run_beside_all(NO_KEY.map(<[u8]>::to_vec), false).await;
}

/// The same for rows with other fields of another form.
#[tokio::test]
async fn rows_with_odd_fields_hide_no_others() {
    let nested = ["value", "key2", "revision2", "deleted"].map(nested);
    let odd = OTHERS_ODD.map(<[u8]>::to_vec);
    run_beside_all(odd.into_iter().chain(nested), true).await;
}
