//! Backend servers that turn requests away and say how long they want nothing from the box that sent them.

mod harness;

use std::time::{Duration, Instant};

use harness::cloud::Cloud;
use petreldrum_standin::worker::Worker;

/// What the servers ask for.
const REST: Duration = Duration::from_secs(3);
/// Requests that were on their way may come for so long.
const SLACK: Duration = Duration::from_millis(500);
/// Requests that may come between then and the end.
const MOST: usize = 2;

async fn cloud(workers: &[&str]) -> Cloud {
    let cloud = Cloud::serving(workers).await;
    cloud.settled().await;
    cloud
}

/// Turns everything away from now on.
fn push_back(worker: &Worker) {
    worker.say("Retry-After", Some(&REST.as_secs().to_string()));
    worker.answer_always("full");
}

/// The most requests that came in the rest that one answer asked for; each is answered at once.
fn worst(worker: &Worker, since: Instant) -> usize {
    let mut arrivals = worker.arrivals();
    arrivals.retain(|at| *at >= since);
    let within = |answered: &Instant| {
        let rest = *answered + SLACK..*answered + REST;
        arrivals.iter().filter(|at| rest.contains(*at)).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_asks_for_rest_gets_no_more_within_it() {
    let cloud = cloud(&["w-1", "w-2", "w-3", "w-4"]).await;
    let since = Instant::now();
    let resting = ["w-1", "w-2"].map(|name| &cloud.workers[name]);
    resting.into_iter().for_each(push_back);
    let answers = cloud.press_all("a", REST * 3).await;
    for worker in resting {
        assert!(!worker.arrivals().is_empty(), "it could ask for rest");
        let worst = worst(worker, since);
        assert!(worst <= MOST, "{worst} requests within a rest");
    }
    let served = answers.iter().filter(|a| a.status.is_success()).count();
    assert_eq!(served, answers.len(), "the other servers take them");
}
