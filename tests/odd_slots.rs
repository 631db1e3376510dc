//! Entries of backend servers with more slots than can be.

mod harness;

use harness::cloud::{Cloud, NEWS};
use serde_json::json;
use tokio::time::sleep;

/// Guards against sums of slots that pass the end of their type.
#[tokio::test]
async fn regions_with_odd_slots_are_served() {
    let cloud = Cloud::across(&["i-1"]).await;
    let address = cloud.workers["i-1"].address;
    for number in 2..5 {
        let entry = json!({
            "service": "app", "address": address, "zone": "mcn-a", "version": "v1",
            "slots": u32::MAX, "state": "ready", "coldRemainingMs": 0, "born": u64::MAX,
        });
        cloud.registry.put(&format!("servers/o-{number}"), &entry);
    }
    sleep(NEWS).await;
    for number in 2..5 {
        cloud.registry.put(&format!("servers/p-{number}"), &json!({
            "service": "app", "address": address, "zone": "mcn-a", "version": "v1",
            "slots": u32::MAX, "state": "draining", "coldRemainingMs": 1e300, "timeLeftMs": 1e300,
        }));
    }
    sleep(3 * NEWS).await;
    for entry in &cloud.boxes {
        for number in 0..10 {
            let id = format!("{}-{number}", entry.public);
            let answer = entry.send("/safe/x", &id, "").await;
            assert_eq!(answer.status.as_u16(), 200, "request {id}");
        }
    }
    for entry in &cloud.boxes {
        let log = entry.log.text();
        assert!(!log.contains("panicked"), "{log}");
    }
}
