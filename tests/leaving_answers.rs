//! Backend servers that say in their answers that they leave.

mod harness;

use std::time::{Duration, Instant};

use harness::cloud::Cloud;
use petreldrum_standin::registry::Fault;
use tokio::time::sleep;

/// By when after its word nothing more may come to a server.
const FORCE: Duration = Duration::from_secs(3);

/// Boxes of one region before three servers.
async fn cloud(boxes: usize) -> Cloud {
    let mut cloud = Cloud::serving(&["w-1", "w-2", "w-3"]).await;
    for _ in 1..boxes {
        cloud.add_box("atl").await;
    }
    cloud.settled().await;
    cloud
}

fn arrivals(cloud: &Cloud, name: &str, since: Instant) -> usize {
    let arrivals = cloud.workers[name].arrivals();
    arrivals.iter().filter(|at| **at > since).count()
}

// While the store is away its registration still says that it takes work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_said_it_leaves_gets_no_more_while_the_store_is_away() {
    let cloud = cloud(3).await;
    cloud.registry.set_fault(Fault::Silent);
    cloud.workers["w-1"].say("Server-Leaving", Some("1"));
    let said = Instant::now();
    let answers = cloud.press_all("a", FORCE * 2).await;
    assert!(arrivals(&cloud, "w-1", said) > 0, "it could say so");
    let late = arrivals(&cloud, "w-1", said + FORCE);
    assert_eq!(late, 0, "requests came to a server that had said it leaves");
    let served = answers.iter().filter(|a| a.status.is_success()).count();
    assert_eq!(served, answers.len(), "the other servers take them");
}

// An entry that was written before the word may arrive after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_old_registration_does_not_bring_it_back() {
    let cloud = cloud(1).await;
    let worker = &cloud.workers["w-1"];
    worker.say("Server-Leaving", Some("1"));
    cloud.press_all("a", Duration::from_secs(1)).await;
    assert!(!worker.arrivals().is_empty(), "it could say so");
    cloud.register("w-1", worker.address, "atl", "ready");
    sleep(Duration::from_millis(500)).await;
    let since = Instant::now();
    cloud.press_all("b", Duration::from_secs(1)).await;
    assert_eq!(arrivals(&cloud, "w-1", since), 0);
}
