//! Lists of the store whose pages do not lead to their end.

mod harness;

use std::time::Duration;

use harness::{
    cloud::{Cloud, NEWS},
    eventually,
};
use petreldrum_standin::registry::{Fault, Quirk};
use serde_json::json;
use tokio::time::sleep;

const QUIRKS: [Quirk; 2] = [Quirk::RepeatedPages, Quirk::EmptyPages];
/// Servers of a list of several pages; the first page of the stand-in holds two of them.
const SERVERS: [&str; 4] = ["i-1", "i-2", "i-3", "i-4"];
/// Time in which calls for pages are counted.
const COUNTED: Duration = Duration::from_secs(3);
/// Calls for pages of one box in that time: one attempt to read the list, with some calls to spare.
const MAX_CALLS: u64 = 5;

async fn assert_served(cloud: &Cloud, case: &str) {
    for number in 0..10 {
        let id = format!("{case}-{number}").replace([' ', ','], "-");
        let answer = cloud.boxes[0].send("/safe/x", &id, "").await;
        assert_eq!(answer.status.as_u16(), 200, "{case}");
    }
}

async fn assert_few_calls(cloud: &Cloud, case: &str) {
    let before = cloud.registry.calls("range");
    sleep(COUNTED).await;
    let calls = cloud.registry.calls("range") - before;
    assert!(calls <= MAX_CALLS, "{case}: {calls} calls in {COUNTED:?}");
}

/// Makes the boxes read the whole list again.
async fn lose_history(cloud: &Cloud) {
    cloud.registry.set_fault(Fault::Reset);
    sleep(NEWS).await;
    cloud.registry.put("other", &json!({}));
    cloud.registry.forget();
    cloud.registry.set_fault(Fault::None);
}

/// Guards against boxes that start and ask for pages without a pause, or never become ready.
#[tokio::test]
async fn boxes_start_with_what_can_be_read() {
    for quirk in QUIRKS {
        let case = format!("{quirk:?}");
        let mut cloud = Cloud::start().await;
        cloud.configure(1);
        for name in SERVERS {
            cloud.add_worker(name, "atl").await;
        }
        cloud.registry.set_quirk(quirk);
        cloud.add_box("atl").await;
        cloud.settled().await;
        sleep(NEWS).await;
        assert_served(&cloud, &case).await;
        assert_few_calls(&cloud, &case).await;
        for name in SERVERS {
            cloud.registry.remove(&format!("servers/{name}"));
        }
        cloud.add_worker("j-1", "atl").await;
        cloud.boxes[0].served_by("j-1", &case).await;
    }
}

/// Guards against servers that count as gone because their page could not be read.
#[tokio::test]
async fn servers_on_missing_pages_are_kept() {
    for quirk in QUIRKS {
        let case = format!("{quirk:?}");
        let cloud = Cloud::serving(&SERVERS).await;
        cloud.registry.put("op/evacuate/mcn-a", &json!({}));
        sleep(NEWS).await;
        cloud.registry.set_quirk(quirk);
        lose_history(&cloud).await;
        sleep(petreldrum::fleet::OUTAGE_GRACE.duration() + NEWS).await;
        // The others stand on pages that were not read.
        for name in ["i-1", "i-2"] {
            cloud.registry.remove(&format!("servers/{name}"));
        }
        sleep(petreldrum::fleet::OUTAGE_GRACE.duration() + NEWS).await;
        assert_served(&cloud, &case).await;
        assert_few_calls(&cloud, &case).await;
    }
}

/// Guards against lists that stay incomplete once all their pages can be read.
#[tokio::test]
async fn lists_are_completed_later() {
    let mut cloud = Cloud::start().await;
    cloud.configure(1);
    for name in SERVERS {
        cloud.add_worker(name, "atl").await;
    }
    cloud.registry.set_quirk(Quirk::RepeatedPages);
    cloud.add_box("atl").await;
    cloud.settled().await;
    cloud.registry.set_quirk(Quirk::None);
    for name in ["i-1", "i-2"] {
        cloud.registry.remove(&format!("servers/{name}"));
    }
    eventually("the other servers are known", || async {
        cloud.boxes[0].send("/safe/x", "one", "").await.status == 200
    })
    .await;
}

/// Guards against lists that end at a whole page of odd keys, and against a skipped server whose key
/// comes right after them.
#[tokio::test]
async fn pages_of_odd_keys_only_are_read() {
    for quirk in [Quirk::None, Quirk::FormQueries, Quirk::VerbatimQueries] {
        let case = format!("odd keys, {quirk:?}");
        let mut cloud = Cloud::start().await;
        cloud.registry.set_quirk(quirk);
        cloud.configure(1);
        for number in 0..7 {
            let key = format!("servers/a\u{e4}{number}");
            cloud.registry.put(&key, &json!({}));
        }
        cloud.add_worker("b", "atl").await;
        cloud.add_box("atl").await;
        cloud.settled().await;
        sleep(NEWS).await;
        assert_served(&cloud, &case).await;
        assert_few_calls(&cloud, &case).await;
    }
}
