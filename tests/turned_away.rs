//! A box that gets no answer from the platform's store learns of backend servers from the other
//! boxes.
//!
//! Guards against boxes that act on an outdated server list: cold servers of an evacuated failure
//! domain got 22 requests in a second from two boxes alone, where 17.5 were allowed. The store had
//! stopped answering three of nine boxes 0.1 s before the evacuation. The six others sent nothing
//! there from 0.1 s after it on; the three went on for 8 s, also when the servers were cold at the
//! end of the evacuation, until the store was back.
//!
//! The cause was that boxes exchanged configurations, but no evacuations and no changes of servers
//! (leaving, added, cold), which each box got from the store alone. It shows in the log as
//! `sent … to=S cold=0ms store=r17 store_age=9301ms` of a box without the store, beside
//! `store: failure domain D is evacuated: true.` of its neighbours 6 s before.

mod harness;

use std::time::Duration;

use harness::{
    cloud::{Cloud, CloudBox, NEWS},
    crowd::{Crowd, TICK},
    solo::news,
};
use nix::sys::signal::Signal;
use petreldrum::{
    config::Builder,
    fleet::{Change, Revision, Roster},
    reducer::{effect::Effect, event::Event},
    unit::Millis,
};
use petreldrum_standin::registry::{Fault, Registry};
use tokio::time::sleep;

/// Time for a heartbeat, for the wait for the store's own update, and for a fetch from a peer.
const BY_PEERS: Duration = Duration::from_millis(2000);

/// Time for a digest, for the wait for the store's own update, for a heartbeat, and for a tick of
/// each of the three boxes on the way.
const BY_ANOTHER_REGION: Millis = Millis(1800);

/// Starts servers `i-1` and `i-2` and a box 0 that reaches the store, and one more box in each of
/// `regions`, which the returned store no longer answers.
async fn with_store_cut(regions: &[&str]) -> (Cloud, Registry) {
    let mut cloud = Cloud::serving(&["i-1", "i-2"]).await;
    let store = cloud.another_store().await;
    for region in regions {
        cloud.add_box(region).await;
    }
    cloud.settled().await;
    sleep(NEWS).await;
    store.set_fault(Fault::Silent);
    (cloud, store)
}

/// Returns the backend servers that ran eight requests sent to a box. An empty name stands for an
/// error of the box itself.
async fn serving_backends(process: &CloudBox) -> Vec<String> {
    let mut names = Vec::new();
    for number in 0..8 {
        let answer = process.send("/safe/x", &format!("n{number}"), "").await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let ran = answer.status.is_success();
        let name = text.split(':').next().filter(|_| ran).unwrap_or_default();
        names.push(name.to_owned());
    }
    names.sort();
    names.dedup();
    names
}

#[tokio::test]
async fn hears_of_servers_by_its_region() {
    let (mut cloud, store) = with_store_cut(&["atl"]).await;
    let address = cloud.workers["i-1"].address;
    cloud.register("i-1", address, "atl", "draining");
    sleep(BY_PEERS).await;
    assert_eq!(
        serving_backends(&cloud.boxes[1]).await,
        ["i-2"],
        "i-1 is leaving"
    );

    cloud.add_worker("i-3", "atl").await;
    cloud.registry.remove("servers/i-2");
    sleep(BY_PEERS).await;
    assert_eq!(
        serving_backends(&cloud.boxes[1]).await,
        ["i-3"],
        "i-2 is gone"
    );

    let empty = serde_json::json!({});
    cloud.registry.put("op/evacuate/atl-a", &empty);
    sleep(BY_PEERS).await;
    assert_eq!(
        serving_backends(&cloud.boxes[1]).await,
        [""],
        "all are evacuated"
    );

    cloud.registry.remove("op/evacuate/atl-a");
    sleep(BY_PEERS).await;
    assert_eq!(
        serving_backends(&cloud.boxes[1]).await,
        ["i-3"],
        "the evacuation has ended"
    );

    // The store answers again and has changes that the other boxes did not report.
    cloud.register("i-1", address, "atl", "ready");
    cloud.registry.remove("servers/i-3");
    store.set_fault(Fault::None);
    sleep(BY_PEERS + petreldrum::fleet::OUTAGE_GRACE.duration()).await;
    assert_eq!(serving_backends(&cloud.boxes[1]).await, ["i-1"]);
}

/// Guards against a box that learns nothing more from its only informed neighbour, because that one
/// has closed its listeners and completes its last requests.
#[tokio::test]
async fn hears_of_servers_by_a_stopping_neighbour() {
    let (cloud, _store) = with_store_cut(&["atl"]).await;
    // Sent to both servers; runs until the time limit of its route.
    let held = cloud.boxes[0].begin("/open/x", "held", "silent");
    let rest = async {
        sleep(Duration::from_millis(100)).await;
        cloud.boxes[0].signal(Signal::SIGTERM);
        // Longer than its listeners for callers stay open.
        sleep(Duration::from_millis(500)).await;
        let empty = serde_json::json!({});
        cloud.registry.put("op/evacuate/atl-a", &empty);
        sleep(BY_PEERS).await;
        assert_eq!(
            serving_backends(&cloud.boxes[1]).await,
            [""],
            "all are evacuated"
        );
    };
    tokio::join!(held, rest);
}

#[tokio::test]
async fn hears_of_servers_by_another_region() {
    let (mut cloud, _store) = with_store_cut(&["mcn", "mcn"]).await;
    cloud.add_worker("i-far", "mcn").await;
    sleep(BY_PEERS).await;
    for process in &cloud.boxes[1..] {
        assert_eq!(
            serving_backends(process).await,
            ["i-far"],
            "not served by the box's own region"
        );
    }
    let empty = serde_json::json!({});
    cloud.registry.put("op/evacuate/mcn-a", &empty);
    sleep(BY_PEERS).await;
    for process in &cloud.boxes[1..] {
        let names = serving_backends(process).await;
        assert!(!names.contains(&"i-far".to_owned()), "{names:?}");
    }
}

/// Brings a box up to the first revision of the store.
fn learn_first_revision(crowd: &mut Crowd, number: usize) {
    let list = Change::List {
        backends: vec![],
        grace: Millis(0),
    };
    crowd.step(number, news(list));
    crowd.step(number, Event::Synced(Revision::first(1)));
}

/// Returns two boxes that know the store up to its first revision.
fn pair() -> Crowd {
    let config = std::sync::Arc::new(Builder::default().build());
    let mut pair = Crowd::on_platform(2, config);
    (0..2).for_each(|number| learn_first_revision(&mut pair, number));
    pair.pass(3000);
    pair
}

/// Returns the time until the boxes of a region without the store know a revision that the store
/// sent to another region. Boxes start `start_interval` ms apart, and the revision comes `phase` ms
/// after they have settled.
fn propagation_lag(start_interval: u64, phase: u64) -> Millis {
    let config = std::sync::Arc::new(Builder::default().build());
    let mut crowd = Crowd::across_regions(6, config);
    for number in 0..6 {
        crowd.pass(start_interval);
        crowd.launch(number);
        learn_first_revision(&mut crowd, number);
    }
    crowd.pass(3000 + phase);
    for number in 0..6 {
        let revision = if number % 3 == 0 { 2 } else { 1 };
        crowd.step(number, Event::Synced(Revision::first(revision)));
    }
    let since = crowd.now;
    let knows = |crowd: &Crowd, number: usize| {
        let state = crowd.boxes[number].as_ref().expect("the box is running");
        let roster = state.roster(crowd.clock(number), None);
        roster.expect("the box knows a list").revision == Revision::first(2)
    };
    while ![1, 4].iter().all(|number| knows(&crowd, *number)) {
        crowd.now = crowd.now + Millis(TICK);
        for (number, effect) in crowd.tick() {
            let Effect::FetchRoster { peer, since } = effect else {
                continue;
            };
            let source = crowd.by_peer(peer).expect("the peer is a box");
            let state = crowd.boxes[source].as_ref().expect("the box is running");
            let roster = state.roster(crowd.clock(source), since);
            crowd.step(number, Event::Roster(roster.expect("the box knows a list")));
        }
    }
    crowd.now.since(since)
}

/// Guards against a second wait: a box that had known for a while that another region had a later
/// revision waited for the store once more before it fetched that revision from its neighbour.
#[test]
fn news_of_another_region_reach_all_boxes_soon() {
    let start_interval = (0..600).step_by(TICK as usize);
    let phases = (0..1500).step_by(TICK as usize);
    for (start_interval, phase) in start_interval
        .flat_map(|start_interval| phases.clone().map(move |phase| (start_interval, phase)))
    {
        let lag = propagation_lag(start_interval, phase);
        assert!(
            lag <= BY_ANOTHER_REGION,
            "lag {lag}, boxes started {start_interval} ms apart, phase {phase}"
        );
    }
}

/// Returns how often box 1 fetches the list from the other box within `millis`.
fn count_fetches(pair: &mut Crowd, millis: u64) -> usize {
    let mut count = 0;
    for _ in 0..millis / TICK {
        pair.now = pair.now + Millis(TICK);
        let effects = pair.tick();
        let is_fetch = |(number, effect): &&(usize, Effect)| {
            *number == 1 && matches!(effect, Effect::FetchRoster { .. })
        };
        count += effects.iter().filter(is_fetch).count();
    }
    count
}

#[test]
fn a_store_that_tells_both_is_not_passed_by() {
    let mut pair = pair();
    for revision in 2..20 {
        pair.step(0, Event::Synced(Revision::first(revision)));
        assert_eq!(
            count_fetches(&mut pair, 200),
            0,
            "fetched before the store had time to answer"
        );
        pair.step(1, Event::Synced(Revision::first(revision)));
        assert_eq!(
            count_fetches(&mut pair, 800),
            0,
            "fetched although the store has answered"
        );
    }
    pair.step(0, Event::Synced(Revision::first(20)));
    let fetches = count_fetches(&mut pair, 3000);
    assert!((4..=6).contains(&fetches), "{fetches} fetches in 3 s");
}

#[test]
fn news_never_run_backwards() {
    let mut pair = pair();
    let roster = |revision| {
        Event::Roster(Roster {
            revision: Revision::first(revision),
            evacuated: ["a".parse().expect("valid name")].into(),
            ..Roster::default()
        })
    };
    let evacuated = |pair: &Crowd| {
        let state = pair.boxes[1].as_ref().expect("the box is running");
        let known = state.roster(pair.now, None).expect("the box knows a list");
        (known.evacuated.len(), known.revision)
    };
    pair.step(1, roster(12));
    assert_eq!(evacuated(&pair), (1, Revision::first(12)));
    // The store's watch resumes from its last revision and passes through older states.
    for (revision, expected) in [(2, 1), (11, 1), (13, 0)] {
        let domains = [].into();
        let revision = Revision::first(revision);
        pair.step(1, Event::Evacuated { domains, revision });
        assert_eq!(evacuated(&pair).0, expected, "at {revision}");
    }
    pair.step(1, Event::Synced(Revision::first(13)));
    pair.step(1, roster(12));
    assert_eq!(
        evacuated(&pair),
        (0, Revision::first(13)),
        "an outdated list was applied"
    );
}
