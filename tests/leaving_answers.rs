//! Backend servers that announce in their answers that they leave.

mod harness;

use std::time::{Duration, Instant};

use harness::cloud::Cloud;
use petreldrum_standin::registry::Fault;
use tokio::time::sleep;

/// Time after the announcement from which a server must get no more requests.
const TIME_TO_FORCE: Duration = Duration::from_secs(3);

/// Starts boxes of one region with three backend servers.
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

// While the store is unavailable, the server's registration still shows it as ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_server_gets_no_requests_while_the_store_is_away() {
    let cloud = cloud(3).await;
    cloud.registry.set_fault(Fault::Silent);
    cloud.workers["w-1"].say("Server-Leaving", Some("1"));
    let announced = Instant::now();
    let answers = cloud.press_all("a", TIME_TO_FORCE * 2).await;
    assert!(
        arrivals(&cloud, "w-1", announced) > 0,
        "the server answered at least once"
    );
    let late = arrivals(&cloud, "w-1", announced + TIME_TO_FORCE);
    assert_eq!(
        late, 0,
        "requests reached a server that had announced its departure"
    );
    let served = answers.iter().filter(|a| a.status.is_success()).count();
    assert_eq!(served, answers.len(), "the other servers take them");
}

// A box that sends nothing to the server learns of the departure from other boxes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn boxes_without_contact_to_the_server_stop_too() {
    let cloud = cloud(2).await;
    cloud.registry.set_fault(Fault::Silent);
    cloud.workers["w-1"].say("Server-Leaving", Some("1"));
    cloud.boxes[0].press("a", Duration::from_secs(1)).await;
    assert!(!cloud.workers["w-1"].arrivals().is_empty());
    let since = Instant::now();
    cloud.boxes[1].press("b", Duration::from_secs(1)).await;
    assert_eq!(arrivals(&cloud, "w-1", since), 0);
}

// A refusal carries the announcement as well as a served answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_announce_it_too() {
    let cloud = cloud(1).await;
    let worker = &cloud.workers["w-1"];
    worker.answer_always("full");
    worker.say("Server-Leaving", Some("1"));
    cloud.press_all("a", Duration::from_secs(2)).await;
    assert!(worker.arrivals().len() <= 3, "{}", worker.arrivals().len());
    let log = cloud.boxes[0].log.text();
    assert!(log.contains("backend=w-1 state=leaving told-by=itself"));
}

// A registration written before the announcement may arrive after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_registration_does_not_end_the_departure() {
    let cloud = cloud(1).await;
    let worker = &cloud.workers["w-1"];
    worker.say("Server-Leaving", Some("1"));
    cloud.press_all("a", Duration::from_secs(1)).await;
    assert!(
        !worker.arrivals().is_empty(),
        "the server answered at least once"
    );
    cloud.register("w-1", worker.address, "atl", "ready");
    sleep(Duration::from_millis(500)).await;
    let since = Instant::now();
    cloud.press_all("b", Duration::from_secs(1)).await;
    assert_eq!(arrivals(&cloud, "w-1", since), 0);
}
