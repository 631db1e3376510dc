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

// A box that sends nothing there is told by the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn boxes_that_were_not_told_by_the_server_stop_too() {
    let cloud = cloud(2).await;
    cloud.registry.set_fault(Fault::Silent);
    cloud.workers["w-1"].say("Server-Leaving", Some("1"));
    cloud.boxes[0].press("a", Duration::from_secs(1)).await;
    assert!(!cloud.workers["w-1"].arrivals().is_empty());
    let since = Instant::now();
    cloud.boxes[1].press("b", Duration::from_secs(1)).await;
    assert_eq!(arrivals(&cloud, "w-1", since), 0);
}

// A request that is turned away brings the word as well as one that is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_say_it_too() {
    let cloud = cloud(1).await;
    let worker = &cloud.workers["w-1"];
    worker.answer_always("full");
    worker.say("Server-Leaving", Some("1"));
    cloud.press_all("a", Duration::from_secs(2)).await;
    assert!(worker.arrivals().len() <= 3, "{}", worker.arrivals().len());
    let log = cloud.boxes[0].log.text();
    assert!(log.contains("backend=w-1 state=leaving told-by=itself"));
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
