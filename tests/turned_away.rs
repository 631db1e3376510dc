//! A box that the platform's store turns away hears of backend servers by the other boxes.
//!
//! Symptom: cold servers of an evacuated failure domain got 22 requests in a second where 17.5 were
//! allowed, from two boxes alone.
//!
//! Sequence: the store fell silent for three of nine boxes; 0.1 s later a domain was evacuated. The
//! six others sent nothing there from 0.1 s after that on. The three went on for 8 s, also when the
//! servers got cold at the end of the evacuation, and until the store was back.
//!
//! Cause: boxes told each other of configurations, but not of evacuations or of servers that leave,
//! come or get cold: for these each box had the store alone. The lines that settled it are
//! `sent … to=S cold=0ms store=r17 store_age=9301ms` of a box that is cut, beside
//! `store: failure domain D is evacuated: true.` of its neighbours 6 s before.

mod harness;

use std::time::Duration;

use harness::{
    cloud::{Cloud, CloudBox, NEWS},
    crowd::{Crowd, TICK},
    solo::news,
};
use petreldrum::{
    config::Builder,
    fleet::{Change, Revision, Roster},
    reducer::{effect::Effect, event::Event},
    unit::Millis,
};
use petreldrum_standin::registry::{Fault, Registry};
use tokio::time::sleep;

/// Time for a heartbeat, for the store's own news, which would be soon enough, and to ask.
const BY_PEERS: Duration = Duration::from_millis(2000);

/// Time for a digest, for the store's own news, for a heartbeat, and for a tick of each of the three boxes on the way.
const BY_ANOTHER_REGION: Millis = Millis(1800);

/// Servers `i-1` and `i-2`; box 0 hears the store, and the later ones in `regions` do not any more.
async fn cut(regions: &[&str]) -> (Cloud, Registry) {
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

/// The backend servers that ran some requests of a box; an empty name is its own answer.
async fn serving(process: &CloudBox) -> Vec<String> {
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
    let (mut cloud, store) = cut(&["atl"]).await;
    let address = cloud.workers["i-1"].address;
    cloud.register("i-1", address, "atl", "draining");
    sleep(BY_PEERS).await;
    assert_eq!(serving(&cloud.boxes[1]).await, ["i-2"], "i-1 is leaving");

    cloud.add_worker("i-3", "atl").await;
    cloud.registry.remove("servers/i-2");
    sleep(BY_PEERS).await;
    assert_eq!(serving(&cloud.boxes[1]).await, ["i-3"], "i-2 is gone");

    let nothing = serde_json::json!({});
    cloud.registry.put("op/evacuate/atl-a", &nothing);
    sleep(BY_PEERS).await;
    assert_eq!(serving(&cloud.boxes[1]).await, [""], "all are evacuated");

    cloud.registry.remove("op/evacuate/atl-a");
    sleep(BY_PEERS).await;
    assert_eq!(serving(&cloud.boxes[1]).await, ["i-3"], "and back");

    // The store tells again what the others told before, and more.
    cloud.register("i-1", address, "atl", "ready");
    cloud.registry.remove("servers/i-3");
    store.set_fault(Fault::None);
    sleep(BY_PEERS + petreldrum::fleet::OUTAGE_GRACE.duration()).await;
    assert_eq!(serving(&cloud.boxes[1]).await, ["i-1"]);
}

#[tokio::test]
async fn hears_of_servers_by_another_region() {
    let (mut cloud, _store) = cut(&["mcn", "mcn"]).await;
    cloud.add_worker("i-far", "mcn").await;
    sleep(BY_PEERS).await;
    for process in &cloud.boxes[1..] {
        assert_eq!(serving(process).await, ["i-far"], "its own region serves");
    }
    let nothing = serde_json::json!({});
    cloud.registry.put("op/evacuate/mcn-a", &nothing);
    sleep(BY_PEERS).await;
    for process in &cloud.boxes[1..] {
        let names = serving(process).await;
        assert!(!names.contains(&"i-far".to_owned()), "{names:?}");
    }
}

/// Lets a box know the store up to its first change.
fn know_first(crowd: &mut Crowd, number: usize) {
    let list = Change::List {
        backends: vec![],
        grace: Millis(0),
    };
    crowd.step(number, news(list));
    crowd.step(number, Event::Synced(Revision::first(1)));
}

/// Two boxes that know the store up to its first change.
fn pair() -> Crowd {
    let config = std::sync::Arc::new(Builder::default().build());
    let mut pair = Crowd::on_platform(2, config);
    (0..2).for_each(|number| know_first(&mut pair, number));
    pair.pass(3000);
    pair
}

/// How long it takes until the boxes of a region that does not hear the store any more know what box 0 of another
/// one heard, where they start one `apart` after the other and that comes `phase` ms later.
fn lag_elsewhere(apart: u64, phase: u64) -> Millis {
    let config = std::sync::Arc::new(Builder::default().build());
    let mut crowd = Crowd::across_regions(6, config);
    for number in 0..6 {
        crowd.pass(apart);
        crowd.launch(number);
        know_first(&mut crowd, number);
    }
    crowd.pass(3000 + phase);
    for number in 0..6 {
        let revision = if number % 3 == 0 { 2 } else { 1 };
        crowd.step(number, Event::Synced(Revision::first(revision)));
    }
    let since = crowd.now;
    let knows = |crowd: &Crowd, number: usize| {
        let state = crowd.boxes[number].as_ref().expect("it runs");
        let roster = state.roster(crowd.clock(number), None);
        roster.expect("it knows a list").revision == Revision::first(2)
    };
    while ![1, 4].iter().all(|number| knows(&crowd, *number)) {
        crowd.now = crowd.now + Millis(TICK);
        for (number, effect) in crowd.tick() {
            let Effect::FetchRoster { peer, since } = effect else {
                continue;
            };
            let asked = crowd.by_peer(peer).expect("it is a box");
            let state = crowd.boxes[asked].as_ref().expect("it runs");
            let roster = state.roster(crowd.clock(asked), since);
            crowd.step(number, Event::Roster(roster.expect("it knows a list")));
        }
    }
    crowd.now.since(since)
}

/// A box that knew for a while that another region has more news took them from its neighbour only after it had
/// waited for the store once more.
#[test]
fn news_of_another_region_reach_all_boxes_soon() {
    let apart = (0..600).step_by(TICK as usize);
    let phases = (0..1500).step_by(TICK as usize);
    for (apart, phase) in apart.flat_map(|apart| phases.clone().map(move |phase| (apart, phase))) {
        let lag = lag_elsewhere(apart, phase);
        assert!(
            lag <= BY_ANOTHER_REGION,
            "{lag}, {apart} apart, phase {phase}"
        );
    }
}

/// How often box 1 asks the other one within a span.
fn asked(pair: &mut Crowd, millis: u64) -> usize {
    let mut count = 0;
    for _ in 0..millis / TICK {
        pair.now = pair.now + Millis(TICK);
        let effects = pair.tick();
        let asks = |(number, effect): &&(usize, Effect)| {
            *number == 1 && matches!(effect, Effect::FetchRoster { .. })
        };
        count += effects.iter().filter(asks).count();
    }
    count
}

#[test]
fn a_store_that_tells_both_is_not_passed_by() {
    let mut pair = pair();
    for revision in 2..20 {
        pair.step(0, Event::Synced(Revision::first(revision)));
        assert_eq!(asked(&mut pair, 200), 0, "the store has some time");
        pair.step(1, Event::Synced(Revision::first(revision)));
        assert_eq!(asked(&mut pair, 800), 0, "it has told");
    }
    pair.step(0, Event::Synced(Revision::first(20)));
    let often = asked(&mut pair, 3000);
    assert!((4..=6).contains(&often), "{often} times in 3 s");
}

#[test]
fn news_never_run_backwards() {
    let mut pair = pair();
    let roster = |revision| {
        Event::Roster(Roster {
            revision: Revision::first(revision),
            evacuated: ["a".parse().expect("a name")].into(),
            ..Roster::default()
        })
    };
    let evacuated = |pair: &Crowd| {
        let state = pair.boxes[1].as_ref().expect("it runs");
        let known = state.roster(pair.now, None).expect("it knows a list");
        (known.evacuated.len(), known.revision)
    };
    pair.step(1, roster(12));
    assert_eq!(evacuated(&pair), (1, Revision::first(12)));
    // The store's watch goes on from what it told last, and passes through older states.
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
        "an old list is none"
    );
}
