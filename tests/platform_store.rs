//! Service continues through every kind of failure of the platform's store.

mod harness;

use harness::{
    cloud::{Cloud, NEWS},
    eventually,
};
use petreldrum_standin::registry::Fault;
use tokio::time::sleep;

/// Reports whether a request to this path is served; the path selects a configuration version.
async fn served(cloud: &Cloud, path: &str, id: &str) -> bool {
    cloud.boxes[0].send(path, id, "").await.status.is_success()
}

/// Starts one box whose store is silent long enough for the pending watch to time out and for
/// further calls to be lost.
async fn after_a_silence() -> Cloud {
    let cloud = Cloud::serving(&["i-1"]).await;
    cloud.registry.set_fault(Fault::Silent);
    sleep(std::time::Duration::from_secs(8)).await;
    cloud.registry.set_fault(Fault::None);
    cloud
}

#[tokio::test]
async fn pages_and_news() {
    let mut cloud = Cloud::serving(&["i-1", "i-2", "i-3", "i-4", "i-5"]).await;
    assert!(served(&cloud, "/v1/x", "a").await);
    cloud.configure(2);
    eventually("the change is in force", || served(&cloud, "/v2/x", "b")).await;
    let old = cloud.boxes[0].send("/v1/x", "c", "").await;
    assert_eq!(old.status.as_u16(), 404);
    for name in ["i-1", "i-2", "i-3", "i-4", "i-5"] {
        cloud.registry.remove(&format!("servers/{name}"));
    }
    cloud.add_worker("i-6", "atl").await;
    sleep(NEWS).await;
    for number in 0..10 {
        let answer = cloud.boxes[0]
            .send("/safe/x", &format!("n{number}"), "")
            .await;
        assert!(answer.body.starts_with(b"i-6:"), "the others are gone");
    }
}

#[tokio::test]
async fn lost_history_is_read_again() {
    let cloud = Cloud::serving(&["i-1", "i-2"]).await;
    cloud.registry.set_fault(Fault::Reset);
    sleep(NEWS).await;
    cloud.configure(2);
    cloud.registry.remove("servers/i-1");
    cloud.registry.forget();
    cloud.registry.set_fault(Fault::None);
    eventually("the change is found", || served(&cloud, "/v2/x", "a")).await;
    sleep(petreldrum::fleet::OUTAGE_GRACE.duration()).await;
    for number in 0..10 {
        let answer = cloud.boxes[0]
            .send("/safe/x", &format!("n{number}"), "")
            .await;
        assert!(answer.body.starts_with(b"i-2:"), "i-1 left in the gap");
    }
}

#[tokio::test]
async fn outages_take_nobody_out() {
    let cloud = Cloud::serving(&["i-1"]).await;
    for fault in [Fault::Reset, Fault::Busy, Fault::TooMany, Fault::Silent] {
        cloud.registry.set_fault(fault);
        sleep(NEWS).await;
        // The entry expires while the store is unavailable, and is registered again afterwards.
        cloud.registry.remove("servers/i-1");
        assert!(served(&cloud, "/safe/x", "during").await, "{fault:?}");
        cloud.registry.set_fault(Fault::None);
        sleep(NEWS).await;
        assert!(served(&cloud, "/safe/x", "after").await, "{fault:?}");
        let address = cloud.workers["i-1"].address;
        cloud.register("i-1", address, "atl", "ready");
        sleep(petreldrum::fleet::OUTAGE_GRACE.duration()).await;
        assert!(served(&cloud, "/safe/x", "later").await, "{fault:?}");
    }
}

#[tokio::test]
async fn evacuation_and_leaving() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    let address = cloud.workers["i-1"].address;
    cloud.register("i-1", address, "atl", "draining");
    eventually("no request is sent to it", || async {
        !served(&cloud, "/safe/x", "a").await
    })
    .await;
    cloud.add_worker("i-2", "atl").await;
    eventually("the other serves", || served(&cloud, "/safe/x", "b")).await;
    let nothing = serde_json::json!({});
    cloud.registry.put("op/evacuate/atl-a", &nothing);
    eventually("its domain is empty", || async {
        !served(&cloud, "/safe/x", "c").await
    })
    .await;
    cloud.registry.remove("op/evacuate/atl-a");
    eventually("it is back", || served(&cloud, "/safe/x", "d")).await;
}

#[tokio::test]
async fn turned_away_hears_by_its_peers() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    let other = cloud.another_store().await;
    cloud.add_box("atl").await;
    cloud.settled().await;
    for (version, fault) in [(2, Fault::Busy), (3, Fault::TooMany), (4, Fault::Silent)] {
        other.set_fault(fault);
        cloud.configure(version);
        let path = format!("/v{version}/x");
        let turned_away = &cloud.boxes[1];
        eventually("the change is in force", || async {
            turned_away.send(&path, "a", "").await.status == 200
        })
        .await;
    }
}

#[tokio::test]
async fn few_calls_at_rest() {
    let cloud = Cloud::serving(&["i-1"]).await;
    sleep(NEWS).await;
    let before = cloud.registry.calls("watch") + cloud.registry.calls("range");
    sleep(std::time::Duration::from_secs(3)).await;
    let after = cloud.registry.calls("watch") + cloud.registry.calls("range");
    assert!(
        after - before <= 1,
        "a held watch: {} calls",
        after - before
    );
}

#[tokio::test]
async fn regions_help_each_other() {
    let mut cloud = Cloud::start().await;
    cloud.configure(1);
    cloud.add_worker("i-1", "mcn").await;
    cloud.add_box("atl").await;
    cloud.add_box("mcn").await;
    cloud.settled().await;
    eventually("a relay is served", || served(&cloud, "/once/x", "a")).await;
    let mut begun = cloud.boxes[0].begin("/stream/x", "far", "stream").await;
    assert!(begun.next().await.is_some());
    drop(begun);
    let worker = cloud.workers["i-1"].clone();
    eventually("the run is stopped through the relay", || async {
        worker.left().contains(&"far".to_owned())
    })
    .await;
    let named = cloud.boxes[0].resolve("mcn").await;
    assert_eq!(named, [cloud.boxes[1].public.to_string()]);
}

#[tokio::test]
async fn pages_are_not_read_anew() {
    let cloud = Cloud::serving(&["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"]).await;
    cloud.registry.set_fault(Fault::Reset);
    sleep(NEWS).await;
    cloud.configure(2);
    cloud.registry.forget();
    // A reader that starts over after each lost page never reaches the last page.
    cloud.registry.set_fault(Fault::Uneven);
    eventually("the change is found", || served(&cloud, "/v2/x", "a")).await;
}

#[tokio::test]
async fn news_come_soon_after_a_silence() {
    let cloud = after_a_silence().await;
    cloud.configure(2);
    sleep(std::time::Duration::from_secs(2)).await;
    assert!(served(&cloud, "/v2/x", "a").await, "the change is in force");
}

/// In a fleet, a watch is renewed only after a delay so that changes are batched; every change is
/// still received.
#[tokio::test]
async fn changes_gather() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    for _ in 1..14 {
        cloud.add_box("atl").await;
    }
    cloud.settled().await;
    sleep(std::time::Duration::from_secs(2)).await;
    let before = cloud.registry.calls("watch");
    for version in 2..=61 {
        cloud.configure(version);
        sleep(std::time::Duration::from_millis(4)).await;
    }
    eventually("the last change is in force", || {
        served(&cloud, "/v61/x", "a")
    })
    .await;
    let calls = (cloud.registry.calls("watch") - before) / 14;
    assert!(calls <= 30, "60 changes, {calls} calls a box");
}

#[test]
fn larger_fleets_gather_for_longer() {
    let gathering = |boxes| petreldrum::fleet::batch_delay(boxes).duration();
    assert!(
        gathering(9).is_zero(),
        "a few boxes receive changes at once"
    );
    for boxes in [30, 79, 92, 360, 3000] {
        let pause = gathering(boxes).as_secs_f64();
        assert!(pause <= 1.0, "changes are due within seconds");
        let calls = boxes as f64 / pause;
        assert!(
            calls <= 130.0 || boxes > 92,
            "{boxes} boxes: {calls} a second"
        );
    }
}

#[tokio::test]
async fn a_leave_is_heard_soon_after_a_silence() {
    let cloud = after_a_silence().await;
    let address = cloud.workers["i-1"].address;
    cloud.register("i-1", address, "atl", "draining");
    sleep(std::time::Duration::from_secs(2)).await;
    assert!(
        !served(&cloud, "/safe/x", "a").await,
        "no request is sent to it"
    );
}
