//! Backend servers that restart under the same name, and registry entries of foreign writers.
//!
//! Guards against state kept across a restart: boxes went on with the cached prompt parts and the
//! state of the earlier incarnation, because a name was taken for one incarnation. The entry of a
//! restarted server has a later start time; an entry of an earlier incarnation may still be written
//! late. An unreadable entry of another writer names no server and must not hide the servers beside
//! it.

mod harness;

use harness::{
    cloud::{Cloud, NEWS},
    engines::{SHARED, World, life, target},
    solo::{news, places},
};
use petreldrum::{fleet::Change, memory::prompt::Part, platform::record};
use serde_json::json;
use tokio::time::sleep;

const OWN: Part = Part { id: 2, tokens: 500 };

fn put(world: &mut World, state: &str, born: u64) {
    world.step(news(Change::Put(life("a", state, 0, born))));
}

/// Returns how many tokens of a prompt with a long shared part the engine still has to read, or
/// `None` if the prompt is not sent.
fn unread(world: &mut World) -> Option<u32> {
    let sent = world.prompt(&[SHARED, OWN]);
    let send = sent.first()?;
    assert_eq!(target(send), "a");
    Some(send.basis.unread)
}

#[test]
fn new_lives_hold_nothing() {
    let mut world = World::new(vec![life("a", "ready", 0, 1000)]);
    world.asked(500);
    assert_eq!(unread(&mut world), Some(SHARED.tokens + OWN.tokens));
    assert_eq!(
        unread(&mut world),
        Some(OWN.tokens),
        "the part is cached now"
    );
    put(&mut world, "ready", 1000);
    assert_eq!(unread(&mut world), Some(OWN.tokens), "the same incarnation");
    put(&mut world, "ready", 2000);
    assert_eq!(unread(&mut world), Some(SHARED.tokens + OWN.tokens));
}

#[test]
fn new_lives_do_not_leave() {
    let mut world = World::new(vec![life("a", "draining", 0, 1000)]);
    world.asked(500);
    assert_eq!(unread(&mut world), None);
    put(&mut world, "ready", 2000);
    assert!(unread(&mut world).is_some());
    // Late write of an earlier incarnation.
    put(&mut world, "draining", 1000);
    assert!(unread(&mut world).is_some());
    put(&mut world, "draining", 2000);
    assert_eq!(unread(&mut world), None);
}

#[test]
fn entries_read_whole_or_name_nobody() {
    let good = json!({ "service": "s", "address": "10.0.0.1:1", "zone": "atl-a", "slots": 4,
        "state": "ready", "coldRemainingMs": 0, "born": 1_700_000_000_000_u64 });
    let reads = |entry: &serde_json::Value| {
        let name = "i-1".parse().expect("valid name");
        record::parse_server(&name, entry.to_string().as_bytes(), &places()).is_ok()
    };
    assert!(reads(&good));
    let malformed = [
        ("service", json!(7)),
        ("address", json!("here")),
        ("zone", json!("elsewhere")),
        ("slots", json!("four")),
        ("slots", json!(-1)),
        ("state", json!("resting")),
        ("state", json!(true)),
        ("coldRemainingMs", json!("soon")),
        ("born", json!(1.5)),
        ("born", json!("1700000000000")),
    ];
    for (field, value) in malformed {
        let mut entry = good.clone();
        entry[field] = value.clone();
        assert!(!reads(&entry), "{field}: {value}");
    }
    for field in ["service", "address", "zone", "slots", "state"] {
        let mut entry = good.clone();
        entry.as_object_mut().expect("an object").remove(field);
        assert!(!reads(&entry), "without {field}");
    }
}

#[tokio::test]
async fn other_writers_hide_nobody() {
    let mut cloud = Cloud::start().await;
    cloud.configure(1);
    cloud.add_worker("one", "atl").await;
    cloud
        .registry
        .put_bytes("servers/torn", b"{\"service\":\"app\",\"addr");
    cloud.registry.put_bytes("servers/bytes", &[0xff, 0xfe, 0]);
    cloud.registry.put_bytes("servers/", b"");
    cloud.registry.put("servers/odd name!", &json!({}));
    cloud.add_box("atl").await;
    cloud.settled().await;
    assert_eq!(cloud.boxes[0].send("/safe/x", "a", "").await.status, 200);
    // A server whose entry was overwritten by another writer is no longer listed.
    cloud.add_worker("two", "atl").await;
    sleep(NEWS).await;
    cloud.registry.put_bytes("servers/one", b"gone wild");
    sleep(NEWS).await;
    for number in 0..8 {
        let id = format!("b-{number}");
        assert_eq!(cloud.boxes[0].send("/safe/x", &id, "").await.status, 200);
        assert_eq!(cloud.workers["one"].seen(&id).len(), 0, "{id}");
    }
    let address = cloud.workers["one"].address;
    cloud.register("one", address, "atl", "ready");
    sleep(NEWS).await;
    assert_eq!(cloud.boxes[0].send("/safe/x", "c", "").await.status, 200);
}
