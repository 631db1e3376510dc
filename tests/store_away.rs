//! A box that starts while the store is unreachable takes the list of backend servers from its
//! peers.

mod harness;

use harness::{
    cloud::{Cloud, NEWS},
    eventually,
};
use petreldrum_standin::registry::Fault;
use tokio::time::sleep;

#[tokio::test]
async fn starts_by_a_peer() {
    let mut cloud = Cloud::serving(&["i-1", "i-2"]).await;
    let address = cloud.workers["i-2"].address;
    cloud.register("i-2", address, "atl", "draining");
    sleep(NEWS).await;
    cloud.registry.set_fault(Fault::Reset);
    cloud.add_box("atl").await;
    let new_box = &cloud.boxes[1];
    eventually("the new box is ready", || new_box.is_ready()).await;
    for number in 0..6 {
        let id = format!("n{number}");
        let answer = new_box.send("/safe/x", &id, "").await;
        assert!(
            answer.body.starts_with(b"i-1:"),
            "sent to the server that is leaving"
        );
    }
}

#[tokio::test]
async fn starts_by_another_region() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    cloud.add_worker("i-far", "mcn").await;
    sleep(NEWS).await;
    cloud.registry.set_fault(Fault::Silent);
    cloud.add_box("mcn").await;
    let new_box = &cloud.boxes[1];
    eventually("the new box is ready", || new_box.is_ready()).await;
    let answer = new_box.send("/once/x", "a", "").await;
    assert!(
        answer.body.starts_with(b"i-far:"),
        "not served by the box's own region"
    );
}

#[tokio::test]
async fn the_store_has_the_last_word() {
    let mut cloud = Cloud::serving(&["i-1", "i-2"]).await;
    cloud.registry.set_fault(Fault::Reset);
    cloud.add_box("atl").await;
    eventually("the new box is ready", || cloud.boxes[1].is_ready()).await;
    cloud.registry.remove("servers/i-1");
    cloud.registry.set_fault(Fault::None);
    sleep(NEWS + petreldrum::fleet::OUTAGE_GRACE.duration()).await;
    for number in 0..6 {
        let id = format!("n{number}");
        let answer = cloud.boxes[1].send("/safe/x", &id, "").await;
        assert!(
            answer.body.starts_with(b"i-2:"),
            "sent to i-1, which the store no longer lists"
        );
    }
}

#[tokio::test]
async fn evacuations_are_told_too() {
    let mut cloud = Cloud::serving(&["i-1"]).await;
    let empty = serde_json::json!({});
    cloud.registry.put("op/evacuate/atl-a", &empty);
    sleep(NEWS).await;
    cloud.registry.set_fault(Fault::Reset);
    cloud.add_box("atl").await;
    let new_box = &cloud.boxes[1];
    eventually("the new box is ready", || new_box.is_ready()).await;
    let answer = new_box.send("/safe/x", "a", "").await;
    assert_eq!(answer.status.as_u16(), 503);
    assert_eq!(cloud.runs("a"), 0);
}
