//! The platform's store comes back from a copy some seconds old: its revisions are given out again.

mod harness;

use std::time::{Duration, Instant};

use harness::{cloud::Cloud, eventually};
use petreldrum_standin::registry::Fault;
use tokio::time::sleep;

/// By when news of the store must be in force.
const FORCE: Duration = Duration::from_secs(3);

/// Two boxes and three servers. The store comes back from a copy that lacks the last changes.
async fn cloud() -> Cloud {
    let mut cloud = Cloud::serving(&["w-1", "w-2", "w-3"]).await;
    cloud.add_box("atl").await;
    cloud.settled().await;
    let copy = cloud.registry.copy();
    for version in 2..12 {
        cloud.configure(version);
    }
    for entry in &cloud.boxes {
        eventually("the last change is known", async || {
            entry.log.text().contains("configuration v11 is in force")
        })
        .await;
    }
    cloud.registry.set_fault(Fault::Silent);
    sleep(Duration::from_millis(500)).await;
    cloud.registry.restore(&copy);
    cloud.registry.set_fault(Fault::None);
    for entry in &cloud.boxes {
        eventually("everything is read again", async || {
            entry.log.text().matches("read everything").count() > 1
        })
        .await;
    }
    cloud
}

fn arrivals(cloud: &Cloud, name: &str, since: Instant) -> usize {
    let arrivals = cloud.workers[name].arrivals();
    arrivals.iter().filter(|at| **at > since).count()
}

// The number of the news is lower than those that the boxes knew before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_leaves_in_a_new_era_gets_no_more() {
    let cloud = cloud().await;
    let address = cloud.workers["w-1"].address;
    cloud.register("w-1", address, "atl", "draining");
    sleep(FORCE).await;
    let since = Instant::now();
    let answers = cloud.press_all("a", Duration::from_secs(2)).await;
    let late = arrivals(&cloud, "w-1", since);
    assert_eq!(late, 0, "requests came to a server that leaves");
    assert!(answers.iter().all(|answer| answer.status.is_success()));
}
