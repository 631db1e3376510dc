//! Watches that the store answers at once, without a change.

mod harness;

use std::time::Duration;

use harness::cloud::{Cloud, NEWS};
use petreldrum_standin::registry::Quirk;
use tokio::time::sleep;

/// Time in which watches are counted.
const COUNTED: Duration = Duration::from_secs(3);
/// Watches of one box in that time: what a store for 2,000 reads a second bears of 360 boxes.
const MAX_WATCHES: u64 = 2_000 * COUNTED.as_secs() / 360;

/// Guards against boxes that call the store thousands of times a second.
#[tokio::test]
async fn hasty_watches_are_repeated_with_pauses() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    sleep(NEWS).await;
    cloud.registry.set_quirk(Quirk::HastyWatches);
    // The watch that is held already ends with a change.
    cloud.configure(2);
    sleep(NEWS).await;
    let before = cloud.registry.calls("watch");
    sleep(COUNTED).await;
    let watches = cloud.registry.calls("watch") - before;
    assert!(watches <= MAX_WATCHES, "{watches} watches in {COUNTED:?}");

    cloud.add_worker("i-2", "atl").await;
    cloud.registry.remove("servers/i-1");
    cloud.boxes[0].served_by("i-2", "hasty watches").await;
}
