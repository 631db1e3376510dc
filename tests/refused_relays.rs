//! What a region's refusals of relays say about other requests for it.

mod harness;

use harness::{
    cloud::Cloud,
    eventually,
    solo::{BASE, Solo, arrival, caller, replies, sends, server},
};
use petreldrum::{
    reducer::{
        effect::{Effect, Send, Target},
        event::{Cause, Event},
    },
    unit::Millis,
    verdict::Verdict,
};
use petreldrum_standin::worker::Worker;
use serde_json::json;

/// A second route, whose service has a backend server of its own.
const BOOK: &str = "[route book]\nprefix=/book\nkind=application\nrepeatable=true\ndeadline=2s\n";
/// Refused relays of one service; all of them are in flight at once.
const REFUSED: u64 = 12;
/// How long no request of a service is relayed to a region that refused one of them.
const COOLDOWN: u64 = 300;

/// A box whose requests all run in the other region, where two services have a server each.
fn box_without_servers() -> Solo {
    let book = server("y", "bunbury", 20).replace("serves=read", "serves=book");
    let servers = server("x", "bunbury", 20) + &book;
    let text = BASE.to_owned() + BOOK + &caller("a", "rate=1000/s") + &servers + "[selector all]\n";
    let mut solo = Solo::new(&text);
    solo.digest_of(&["read", "book"], 20);
    solo
}

fn request(solo: &mut Solo, number: u64, path: &str) -> Vec<Effect> {
    let mut event = arrival(number, "a", Some(Millis(900)));
    if let Event::Arrived(arrival) = &mut event {
        arrival.path = path.to_owned();
    }
    solo.step(event)
}

fn relay(effects: &[Effect]) -> Option<Send> {
    let sends = sends(effects);
    let relays = |send: &Send| matches!(send.target, Target::Relay { .. });
    sends.into_iter().find(relays)
}

/// Relays requests for `/read` that the other region refuses.
fn refuse_relays(solo: &mut Solo) {
    let relayed = (0..REFUSED).map(|number| {
        let effects = request(solo, number, "/read/x");
        relay(&effects).expect("the request is relayed")
    });
    for send in relayed.collect::<Vec<Send>>() {
        solo.failed(&send, Verdict::NotRun, Cause::Refused);
    }
}

// A region that had refused relays of one service got none of any other service for a while either:
// requests for sound servers were refused in calm.
#[test]
fn refused_service_is_not_the_region() {
    let mut solo = box_without_servers();
    refuse_relays(&mut solo);
    let effects = request(&mut solo, 100, "/book/x");
    let refusal = replies(&effects).pop().map(|reply| reply.reason);
    assert!(relay(&effects).is_some(), "refused: {refusal:?}");
}

#[test]
fn refused_service_waits_for_the_cooldown() {
    let mut solo = box_without_servers();
    refuse_relays(&mut solo);
    solo.pass(COOLDOWN - 100);
    let effects = request(&mut solo, 100, "/read/x");
    assert!(
        relay(&effects).is_none(),
        "relayed to a region that refuses"
    );
    // A new digest does not end the pause.
    solo.digest_of(&["read", "book"], 20);
    let effects = request(&mut solo, 101, "/read/x");
    assert!(
        relay(&effects).is_none(),
        "relayed to a region that refuses"
    );
    solo.pass(100);
    let effects = request(&mut solo, 102, "/read/x");
    assert!(relay(&effects).is_some(), "not relayed after the pause");
}

// Relays of one service in flight were taken off the free slots of every other service: until the
// region's next digest a request for an idle service was refused, since it "could not begin in time".
#[test]
fn relays_of_one_service_fill_no_other() {
    let mut solo = box_without_servers();
    solo.digest_of(&["read", "book"], 1);
    // Nine wait for 900 ms, as one of 100 ms runs at a time: the deadline of the next one.
    for number in 0..9 {
        let effects = request(&mut solo, number, "/read/x");
        assert!(relay(&effects).is_some(), "request {number} is relayed");
    }
    let effects = request(&mut solo, 9, "/read/x");
    assert!(
        relay(&effects).is_none(),
        "relayed to a service that is full"
    );
    let effects = request(&mut solo, 100, "/book/x");
    let refusal = replies(&effects).pop().map(|reply| reply.reason);
    assert!(relay(&effects).is_some(), "refused: {refusal:?}");
}

/// Adds a service `ledger` with a route and a backend server to a platform with one service.
async fn add_ledger(cloud: &mut Cloud) {
    let mut content = cloud
        .registry
        .content("op/config")
        .expect("a configuration");
    content["version"] = json!(2);
    let mut route = content["routes"][1].clone();
    route["name"] = json!("r-ledger");
    route["pathPrefix"] = json!("/ledger/");
    route["service"] = json!("ledger");
    let routes = content["routes"].as_array_mut().expect("a list");
    routes.push(route);
    let mut service = content["services"][0].clone();
    service["name"] = json!("ledger");
    let services = content["services"].as_array_mut().expect("a list");
    services.push(service);
    let worker = Worker::start("i-2").await.expect("the worker starts");
    let entry = json!({
        "service": "ledger", "address": worker.address, "zone": "mcn-a", "version": "v1",
        "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
    });
    cloud.registry.put("op/config", &content);
    cloud.registry.put("servers/i-2", &entry);
    cloud.workers.insert("i-2".to_owned(), worker);
    let far = &cloud.boxes[0];
    eventually("the second service is served over a relay", || async {
        far.send("/ledger/x", "first-ledger", "").await.status == 200
    })
    .await;
}

#[tokio::test]
async fn sound_service_beside_a_refused_one() {
    let mut cloud = Cloud::across(&["i-1"]).await;
    add_ledger(&mut cloud).await;
    let near = &cloud.boxes[0];
    for round in 0..3 {
        let refused = (0..REFUSED).map(|number| async move {
            let id = format!("refused-{round}-{number}");
            near.send("/safe/x", &id, "full").await.status
        });
        let statuses = futures_util::future::join_all(refused).await;
        assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
        let id = format!("sound-{round}");
        let answer = near.send("/ledger/x", &id, "").await;
        assert_eq!(answer.status, 200, "round {round}");
    }
}
