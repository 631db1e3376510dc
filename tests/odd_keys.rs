//! Entries of another writer whose keys hold characters that a query must not.

mod harness;

use futures_util::future::join_all;
use harness::{
    cloud::{Cloud, NEWS},
    eventually,
};
use serde_json::json;
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
