//! Lists of the store whose pages were answered by replicas of different ages.

mod harness;

use std::{collections::BTreeSet, time::Duration};

use futures_util::future::join_all;
use harness::{
    cloud::{Cloud, NEWS},
    eventually,
};
use petreldrum_standin::registry::{Fault, PageAges};
use serde_json::json;
use tokio::time::sleep;

/// How far a replica lags.
const LAG: Duration = Duration::from_secs(3);
/// Ages of pages of which one is old.
const UNEVEN: [PageAges; 2] = [
    PageAges {
        first: Duration::ZERO,
        later: LAG,
    },
    PageAges {
        first: LAG,
        later: Duration::ZERO,
    },
];
/// Servers of a list of several pages.
const SERVERS: [&str; 4] = ["i-1", "i-2", "i-3", "i-4"];
/// Keys that fill the first page, before those of the operator.
const FIRST_PAGE: [&str; 3] = ["a-1", "a-2", "a-3"];
/// Requests sent at the same time, so that each server in use gets some.
const REQUESTS: usize = 12;

/// Starts a platform whose servers have been registered for longer than a replica lags.
async fn platform() -> Cloud {
    let mut cloud = Cloud::start().await;
    cloud.configure(1);
    for name in SERVERS {
        cloud.add_worker(name, "atl").await;
    }
    sleep(LAG + NEWS).await;
    cloud
}

/// Registers the first and the last server, which stand on different pages, in this state.
fn register_outer(cloud: &Cloud, state: &str) {
    for name in ["i-1", "i-4"] {
        cloud.register(name, cloud.workers[name].address, "atl", state);
    }
}

/// Starts a box that reads pages of these ages.
async fn add_box(cloud: &mut Cloud, ages: PageAges) {
    cloud.registry.set_page_ages(ages);
    cloud.add_box("atl").await;
    cloud.settled().await;
}

/// Returns the servers that answer requests to the last box.
async fn answering(cloud: &Cloud) -> BTreeSet<String> {
    let sender = cloud.boxes.last().expect("a box");
    let answers = (0..REQUESTS).map(|number| async move {
        let answer = sender.send("/safe/x", &number.to_string(), "slow").await;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let (server, _) = body.split_once(':').unwrap_or((&body, ""));
        server.to_owned()
    });
    join_all(answers).await.into_iter().collect()
}

/// Asserts that just these servers answer.
async fn assert_answering(cloud: &Cloud, servers: &[&str], ages: PageAges) {
    let expected = servers.iter().map(|name| (*name).to_owned()).collect();
    assert_eq!(answering(cloud).await, expected, "{ages:?}");
}

/// Guards against draining servers that stay in use because the page that names them is older than
/// the revision from which the box watches.
#[tokio::test]
async fn servers_that_drain_on_a_newer_page_get_no_requests() {
    for ages in UNEVEN {
        let mut cloud = platform().await;
        register_outer(&cloud, "draining");
        add_box(&mut cloud, ages).await;
        assert_answering(&cloud, &["i-2", "i-3"], ages).await;
    }
}

/// Guards against servers that stay unknown, or known though they are gone.
#[tokio::test]
async fn servers_that_come_and_go_between_pages_are_followed() {
    for ages in UNEVEN {
        let mut cloud = platform().await;
        for name in ["i-1", "i-4"] {
            cloud.registry.remove(&format!("servers/{name}"));
        }
        for name in ["h-1", "j-1"] {
            cloud.add_worker(name, "atl").await;
        }
        add_box(&mut cloud, ages).await;
        assert_answering(&cloud, &["h-1", "i-2", "i-3", "j-1"], ages).await;
    }
}

/// Guards against changes that a newer page holds already and that the watch then undoes.
#[tokio::test]
async fn reported_changes_undo_no_newer_page() {
    for ages in UNEVEN {
        let mut cloud = platform().await;
        for state in ["draining", "ready", "draining"] {
            register_outer(&cloud, state);
        }
        add_box(&mut cloud, ages).await;
        assert_answering(&cloud, &["i-2", "i-3"], ages).await;
        let log = cloud.boxes[0].log.text();
        assert!(!log.contains("i-1: in use"), "{ages:?}: {log}");
    }
}

/// Guards against evacuations and configurations that are missed between pages.
#[tokio::test]
async fn evacuations_and_configurations_are_followed() {
    for ages in UNEVEN {
        let mut cloud = Cloud::start().await;
        for key in FIRST_PAGE {
            cloud.registry.put(key, &json!({}));
        }
        cloud.configure(1);
        cloud.add_worker("i-1", "atl").await;
        sleep(LAG + NEWS).await;
        cloud.configure(2);
        cloud.registry.put("op/evacuate/atl-a", &json!({}));
        add_box(&mut cloud, ages).await;
        eventually("the evacuation is followed", || async {
            cloud.boxes[0].send("/safe/x", "a", "").await.status == 503
        })
        .await;
        cloud.registry.remove("op/evacuate/atl-a");
        eventually("the configuration is in force", || async {
            cloud.boxes[0].send("/v2/x", "b", "").await.status == 200
        })
        .await;
    }
}

/// Guards against a box that tells others of a newer revision than it knows.
#[tokio::test]
async fn other_boxes_get_no_gap() {
    for ages in UNEVEN {
        let mut cloud = platform().await;
        register_outer(&cloud, "draining");
        add_box(&mut cloud, ages).await;
        let other = cloud.another_store().await;
        other.set_fault(Fault::Silent);
        cloud.add_box("atl").await;
        cloud.settled().await;
        assert_answering(&cloud, &["i-2", "i-3"], ages).await;
    }
}
