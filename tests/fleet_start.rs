//! When many boxes start together with many backend servers, the calls to engines, the store and
//! each other are bounded.

mod harness;

use std::{collections::BTreeMap, ops::Range, sync::Arc, time::Duration};

use bolero::check;
use harness::{
    SECRET,
    cloud::{Cloud, NEWS},
    crowd::Crowd,
    solo::places,
};
use hyper::Method;
use petreldrum::{
    config::{Backend, Config},
    fleet::{Change, Revision, Roster},
    gateway::pack,
    platform::record,
    reducer::{effect::Effect, event::Event},
    unit::Millis,
};
use petreldrum_standin::http::call;
use tokio::time::sleep;

const CONFIG: &str = r#"{"version":1,"routes":[],
    "services":[{"name":"s","coldPerS":9.7,"engine":{"kvTokens":335639}}]}"#;
const BOXES: usize = 60;
const ENGINES: usize = 600;

fn engine(number: usize, region: &str) -> Backend {
    let entry = br#"{"service":"s","address":"10.0.0.1:1","zone":"atl-a","slots":12,
        "state":"ready","coldRemainingMs":0}"#;
    let name = format!("engine-{number}").parse().expect("valid name");
    let backend = record::parse_server(&name, entry, &places()).expect("record is valid");
    Backend {
        region: region.parse().expect("valid name"),
        ..backend
    }
}

fn crowd_config() -> Arc<Config> {
    let envelope = record::envelope(CONFIG.into()).expect("record is valid");
    Arc::new(record::parse_config(&envelope, &places()).expect("record is valid"))
}

fn crowd() -> Crowd {
    Crowd::in_two_domains(BOXES, crowd_config())
}

/// Guards against each box querying all engines: sixty boxes of one region queried 600 engines
/// 36,000 times for their caches, all within the first tenths of a second, since each box took
/// itself for the responsible one while it knew no others. 984 boxes queried 9,552 engines 187,840
/// times before their first request, each time over a new connection.
#[test]
fn engines_are_queried_about_once_when_boxes_start() {
    let mut crowd = crowd();
    for number in 0..BOXES {
        apply_change(&mut crowd, number, list_of(0..ENGINES), 1);
    }
    let mut queried: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..60 {
        crowd.now = crowd.now + Millis(100);
        for (_, effect) in crowd.tick() {
            if let Effect::Inventory { backend, .. } = effect {
                *queried.entry(backend.to_string()).or_default() += 1;
            }
        }
    }
    let queries: usize = queried.values().sum();
    // Each box sends four queries before it knows the others.
    let most = ENGINES + 4 * BOXES;
    assert!(queries <= most, "{queries} queries, {most} at most");
    assert!(
        queried.len() * 10 >= ENGINES * 9,
        "{} engines",
        queried.len()
    );
}

/// A box's queries must not depend on which other boxes it knows. 984 boxes that start together
/// know few of the 328 of their region by their third second, so ranks among the known boxes let
/// each query some 180 engines: 180,017 queries before 2,935 requests.
#[test]
fn partitioned_boxes_query_few_engines() {
    let mut crowd = crowd();
    let pairs = (0..BOXES).flat_map(|one| (0..BOXES).map(move |other| (one, other)));
    crowd.cut = pairs.collect();
    for number in 0..BOXES {
        apply_change(&mut crowd, number, list_of(0..ENGINES), 1);
    }
    let mut queried = vec![0; BOXES];
    for _ in 0..60 {
        crowd.now = crowd.now + Millis(100);
        for (number, effect) in crowd.tick() {
            queried[number] += usize::from(matches!(effect, Effect::Inventory { .. }));
        }
    }
    let most = queried.iter().max().copied().unwrap_or(0);
    assert!(most <= 16, "a box asked {most} engines");
}

/// Guards against all starting boxes fetching the list from the box whose name comes first: with
/// 984 boxes some of those that were asked ran out of memory (`memory over the limit`, 310 MB), and
/// other boxes got no answer in time (`cannot fetch /petreldrum/roster`).
#[test]
fn starting_boxes_fetch_the_list_from_different_boxes() {
    let mut crowd = crowd();
    for number in 0..BOXES / 2 {
        apply_change(&mut crowd, number, list_of(1..2), 5);
    }
    let mut queried: BTreeMap<_, usize> = BTreeMap::new();
    let mut first: BTreeMap<usize, _> = BTreeMap::new();
    for _ in 0..60 {
        crowd.now = crowd.now + Millis(100);
        for (number, effect) in crowd.tick() {
            if let Effect::FetchRoster { peer, .. } = effect {
                first.entry(number).or_insert(peer);
            }
        }
    }
    for peer in first.values() {
        *queried.entry(*peer).or_default() += 1;
    }
    let most = queried.values().copied().max().unwrap_or(0);
    assert!(first.len() >= BOXES / 2, "{} boxes asked", first.len());
    assert!(most <= 6, "one box was asked by {most} of {}", first.len());
}

/// Guards against sending the whole list of backend servers to a box that missed a few changes: at
/// 10,002 servers that was 4.2 GB between failure domains before the first request.
#[tokio::test]
async fn box_that_missed_changes_gets_only_those() {
    let mut cloud = Cloud::start().await;
    cloud.configure(1);
    let address = "127.0.0.1:9".parse().expect("valid address");
    for number in 0..1000 {
        cloud.register(&format!("server-{number}"), address, "atl", "ready");
    }
    cloud.add_box("atl").await;
    cloud.settled().await;
    cloud.register("server-1000", address, "atl", "ready");
    cloud.registry.remove("servers/server-7");
    sleep(NEWS).await;
    let peer = cloud.boxes[0].peer;
    let fetch = async |path: &str| {
        let headers = [("petreldrum-secret", SECRET)];
        let answer = call(peer, Method::GET, path, &headers, "").await;
        let answer = answer.expect("box responds");
        assert!(answer.status.is_success(), "{path}: {}", answer.status);
        answer.body.len()
    };
    // The configuration is the first of the store's changes.
    let whole = fetch("/petreldrum/roster").await;
    let missed = fetch("/petreldrum/roster?since=e1r1001").await;
    assert!(
        missed * 4 < whole,
        "{missed} bytes for two changes, {whole} for all"
    );
}

/// Guards against a hub packing the same changes anew for each box of its failure domain that
/// missed them: 164 boxes on an eighth of a core got no store update for over 2 s, and all queried
/// the store themselves.
#[tokio::test]
async fn changes_are_packed_once_for_many() {
    let mut cloud = Cloud::start().await;
    cloud.configure(1);
    cloud.add_box("atl").await;
    cloud.settled().await;
    let address = "127.0.0.1:9".parse().expect("valid address");
    let peer = cloud.boxes[0].peer;
    let fetch = async || {
        let headers = [("petreldrum-secret", SECRET)];
        let path = "/petreldrum/roster?since=1";
        let answer = call(peer, Method::GET, path, &headers, "").await;
        answer.expect("box responds").body
    };
    let first = fetch().await;
    cloud.register("server-1", address, "atl", "ready");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(
        fetch().await,
        first,
        "the packed list is reused for a second"
    );
    sleep(Duration::from_millis(800)).await;
    assert_ne!(fetch().await, first, "then the later changes are included");
}

/// Guards against boxes that cannot forward received updates as changes because they treat
/// everything in between as unknown: at the start of the fleet, boxes fetched the whole list from
/// each other every second or two while backend servers registered (`tells of 2239 backend servers,
/// all`, seven times at one box in 12 s).
#[test]
fn changes_are_forwarded_by_boxes() {
    let mut crowd = Crowd::on_platform(3, crowd_config());
    for number in 0..3 {
        apply_change(&mut crowd, number, list_of(0..4), 1);
    }
    for revision in 2..20 {
        let change = Change::Put(engine(revision as usize, "perth"));
        apply_change(&mut crowd, 0, change.clone(), revision);
        if revision <= 10 {
            apply_change(&mut crowd, 2, change, revision);
        }
    }
    // The second box receives everything at once; the third knows half of it.
    fetch_missed(&mut crowd, 0, 1);
    let sender = crowd.boxes[1].as_ref().expect("box is running");
    let roster = sender.roster(crowd.now, Some(Revision::first(10)));
    let roster = roster.expect("box has a list of backend servers");
    assert_eq!(
        roster.since,
        Some(Revision::first(10)),
        "the answer holds only changes"
    );
    crowd.step(2, Event::Roster(roster));
    assert_eq!(list(&crowd, 0), list(&crowd, 2));
}

/// Returns a list of these engines.
fn list_of(numbers: Range<usize>) -> Change {
    Change::List {
        backends: numbers.map(|n| engine(n, "perth")).collect(),
        grace: Millis(0),
    }
}

/// Returns any change of one of eight engines, or a list that ends with the last of them.
fn change(what: u8, which: u8) -> Change {
    let which = usize::from(which % 8);
    match what % 4 {
        0 => Change::Removed {
            name: engine(which, "perth").name,
            grace: Millis(0),
        },
        1 => list_of(which..8),
        _ => Change::Put(Backend {
            slots: u32::from(what),
            ..engine(which, "perth")
        }),
    }
}

fn apply_change(crowd: &mut Crowd, number: usize, change: Change, revision: u64) {
    let revision = Revision::first(revision);
    crowd.step(number, Event::Fleet { change, revision });
    crowd.step(number, Event::Synced(revision));
}

/// The third box receives store updates through the second, and in part directly.
#[test]
fn forwarded_changes_lead_to_the_same_list() {
    check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|told| {
        let mut crowd = Crowd::on_platform(3, crowd_config());
        for number in 0..3 {
            apply_change(&mut crowd, number, list_of(4..8), 1);
        }
        let mut revision = 1;
        // Whether the third box has followed the store directly so far.
        let mut followed = true;
        for (what, which, fetch) in told {
            revision += 1;
            let change = change(*what, *which);
            apply_change(&mut crowd, 0, change.clone(), revision);
            followed &= fetch & 4 != 0;
            if followed {
                apply_change(&mut crowd, 2, change, revision);
            }
            if fetch & 1 != 0 {
                fetch_missed(&mut crowd, 0, 1);
            }
            if fetch & 2 != 0 {
                fetch_missed(&mut crowd, 1, 2);
            }
        }
        fetch_missed(&mut crowd, 0, 1);
        fetch_missed(&mut crowd, 1, 2);
        assert_eq!(list(&crowd, 0), list(&crowd, 1));
        assert_eq!(list(&crowd, 0), list(&crowd, 2));
    });
}

/// A change at the box that serves the list, and whether the other box fetches afterwards.
type MissedChange = (u8, u8, bool);

#[test]
fn missed_changes_lead_to_the_same_list() {
    check!().with_type::<Vec<MissedChange>>().for_each(|told| {
        let mut crowd = Crowd::on_platform(2, crowd_config());
        for number in 0..2 {
            apply_change(&mut crowd, number, list_of(0..4), 1);
        }
        let mut revision = 1;
        for (what, which, fetch) in told {
            revision += 1;
            apply_change(&mut crowd, 0, change(*what, *which), revision);
            if *fetch {
                fetch_remembered(&mut crowd);
            }
        }
        fetch_remembered(&mut crowd);
        assert_eq!(list(&crowd, 0), list(&crowd, 1));
    });
}

/// Lets the second box fetch the changes it missed from the first.
fn fetch_remembered(crowd: &mut Crowd) {
    let (since, told) = fetch_missed(crowd, 0, 1);
    assert_eq!(told, since, "all changes are remembered");
}

/// Lets a box fetch the changes it missed from another one, or the whole list where that one does
/// not remember them. Returns the revision from which it asked for changes, and the one from which
/// it got them.
fn fetch_missed(crowd: &mut Crowd, from: usize, to: usize) -> (Option<Revision>, Option<Revision>) {
    let (now, since) = (crowd.now, crowd.boxes[to].as_ref().map(|b| b.revision()));
    let sender = crowd.boxes[from].as_ref().expect("box is running");
    let roster = sender
        .roster(now, since)
        .expect("box has a list of backend servers");
    let told = roster.since;
    crowd.step(to, Event::Roster(roster));
    (since, told)
}

fn list(crowd: &Crowd, number: usize) -> Vec<(String, u32)> {
    let state = crowd.boxes[number].as_ref().expect("box is running");
    let all = state
        .roster(crowd.now, None)
        .expect("box has a list of backend servers");
    let rows = all.backends.iter().map(|b| (b.name.to_string(), b.slots));
    let mut rows: Vec<(String, u32)> = rows.collect();
    rows.sort();
    rows
}

/// Guards against lists that exceed the bound on what a box accepts from another (4 MiB): as text,
/// a list of 10,002 servers takes 3 MB and just fits, and one of twice as many did not, so that no
/// box would have received it.
#[test]
fn lists_of_twice_the_fleet_pass_between_boxes() {
    let backends: Vec<Backend> = (0..20_004).map(|n| engine(n, "perth")).collect();
    let roster = Roster {
        backends,
        ..Roster::default()
    };
    let packed = pack::pack(&roster).expect("list is packed");
    let unpacked: Roster = pack::unpack(&packed).expect("list is unpacked");
    assert_eq!(unpacked.backends.len(), 20_004);
    assert!(packed.len() < 1 << 20, "{} bytes", packed.len());
}

/// Guards against each box sending all boxes of the region to a new one, and getting the same back:
/// 300 boxes that started together sent 19 KB a second each for that, 100 sent 2 KB, and 984 most
/// of 4.3 MB each before the first request. If only a few send the list, the bytes a box grow with
/// the number of boxes.
#[test]
fn few_boxes_send_the_member_list_to_new_ones() {
    let members = |boxes: usize| {
        let mut crowd = Crowd::in_two_domains(boxes, crowd_config());
        crowd.weighed = Some(vec![BTreeMap::new(); boxes]);
        crowd.pass(10_000);
        for (number, state) in crowd.boxes.iter().enumerate() {
            let status = state.as_ref().expect("box is running").status(crowd.now);
            let known = status.boxes.len();
            assert_eq!(known, boxes - 1, "box {number} knows {known} of {boxes}");
        }
        let sent = crowd.weighed.iter().flatten();
        let bytes: usize = sent.filter_map(|kinds| kinds.get("members")).sum();
        bytes / boxes
    };
    let (few, many) = (members(40), members(160));
    assert!(
        many <= 6 * few,
        "{many} bytes a box at 160 boxes, {few} at 40"
    );
}
