//! Backend servers that turn requests away and say how long they want nothing from the box that sent them.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    Standin,
    cloud::Cloud,
    engines::{World, engine, life},
    eventually,
    solo::{news, replies, sends},
};
use petreldrum::{
    config::Backend,
    fleet::Change,
    pushback::Pushback,
    reducer::event::{Cause, Event},
    unit::Millis,
    verdict::Verdict,
};
use petreldrum_standin::worker::Worker;
use serde_json::json;

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

/// Callers hear at once that nothing can take their requests, and do not come back before something may.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_hear_at_once_when_all_servers_rest() {
    let cloud = cloud(&["w-1", "w-2"]).await;
    let since = Instant::now();
    cloud.workers.values().for_each(push_back);
    let entry = &cloud.boxes[0];
    for number in 0..4 {
        entry.send("/safe/x", &format!("first-{number}"), "").await;
    }
    let begun = Instant::now();
    for number in 0..50 {
        let asked = Instant::now();
        let answer = entry.send("/safe/x", &format!("r-{number}"), "").await;
        assert_eq!(answer.status.as_u16(), 503);
        assert!(asked.elapsed() < SLACK, "it waited {:?}", asked.elapsed());
        let wait = answer.headers["retry-after"].to_str().expect("text");
        let wait: f64 = wait.parse().expect("seconds");
        let left = REST.saturating_sub(begun.elapsed() + SLACK);
        assert!(wait >= left.as_secs_f64(), "{wait} s, {left:?} are left");
    }
    for worker in cloud.workers.values() {
        let worst = worst(worker, since);
        assert!(worst <= MOST, "{worst} requests within a rest");
    }
}

#[tokio::test]
async fn refusals_over_the_own_interface_say_it_too() {
    let world = harness::World::start(&["perth"], 1).await;
    let (one, two) = (
        Standin::start("engine").await,
        Standin::start("engine").await,
    );
    let header = "refusal_header = x-engine-refused\n";
    let text = harness::preamble(&["perth"], "perth")
        + &harness::backend("one", one.address, "perth", "referral", header)
        + &harness::backend("two", two.address, "perth", "referral", header)
        + "[selector rest]\n";
    world.configure("perth-1", 0, &text).await;
    world.places("/v1/chat", Some("referral")).await;
    one.post("/_behave", json!({ "refuse": true, "retry_after": 30.0 }))
        .await;
    let entry = world.get("perth-1");
    for number in 0..40 {
        let answer = entry.chat(&format!("{number} p"), 2).await;
        assert_eq!(answer.status.as_u16(), 200);
    }
    eventually("it is counted", async || {
        entry.metric("pushed_back_backends").await == 1.0
    })
    .await;
    let refused = one.counts().await["refused"].clone();
    assert_eq!(refused, 1);
}

#[test]
fn times_are_read() {
    let read = |fields: &[&str]| Pushback::read(fields.iter().map(|field| field.as_bytes()));
    let span = |millis| Pushback::Pause(Millis(millis));
    assert_eq!(read(&[]), Pushback::Absent);
    assert_eq!(read(&["3"]), span(3000));
    assert_eq!(read(&[" 0.25 "]), span(250));
    assert_eq!(read(&["0"]), span(0));
    assert_eq!(read(&["1", "x", "4"]), span(4000), "the longest holds");
    assert_eq!(
        read(&["1e9"]),
        span(600_000),
        "it is asked again after that"
    );
    for odd in [
        "",
        "-1",
        "NaN",
        "inf",
        "1e309",
        "2, 3",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ] {
        assert_eq!(read(&[odd]), Pushback::Unreadable, "{odd}");
    }
    assert_eq!(Pushback::read([&b"\xff"[..]]), Pushback::Unreadable);
}

fn pushed_back(backend: &Backend, millis: u64) -> Event {
    Event::PushedBack {
        backend: backend.name.clone(),
        incarnation: backend.incarnation,
        word: Pushback::Pause(Millis(millis)),
    }
}

#[test]
fn one_request_goes_first_after_the_rest() {
    let one = engine("one", "ready", 0);
    let mut world = World::new(vec![one.clone()]);
    world.pass(5000);
    world.step(pushed_back(&one, 3000));
    // A shorter time, as an answer to an earlier request may name it, takes nothing off.
    world.step(pushed_back(&one, 1000));
    world.pass(2000);
    assert!(world.prompt(&[]).is_empty(), "2 s of 3 s");
    world.pass(1100);
    let first = world.prompt(&[]);
    assert_eq!(first.len(), 1);
    assert!(
        world.prompt(&[]).is_empty(),
        "the first one is not answered"
    );
    let (request, attempt) = (first[0].request, first[0].attempt);
    world.step(Event::Begun { request, attempt });
    assert_eq!(
        world.prompt(&[]).len(),
        2,
        "the one that waited, and the next"
    );
}

/// An answer that began on its way before the rest says nothing of the rest.
#[test]
fn answers_to_earlier_requests_do_not_end_the_rest() {
    let one = engine("one", "ready", 0);
    let mut world = World::new(vec![one.clone()]);
    world.pass(5000);
    let early = world.prompt(&[]);
    world.step(pushed_back(&one, 3000));
    let (request, attempt) = (early[0].request, early[0].attempt);
    world.step(Event::Begun { request, attempt });
    world.pass(1000);
    assert!(world.prompt(&[]).is_empty());
}

#[test]
fn a_time_of_zero_asks_for_nothing() {
    let one = engine("one", "ready", 0);
    let mut world = World::new(vec![one.clone()]);
    world.pass(5000);
    world.step(pushed_back(&one, 0));
    assert_eq!(world.prompt(&[]).len(), 1);
    assert_eq!(world.prompt(&[]).len(), 1, "nobody has to go first");
}

#[test]
fn a_new_life_asked_for_nothing() {
    let (first, second) = (life("one", "ready", 0, 5), life("one", "ready", 0, 6));
    let mut world = World::new(vec![first.clone()]);
    world.pass(5000);
    world.step(pushed_back(&first, 3000));
    world.step(news(Change::Put(second)));
    assert_eq!(world.prompt(&[]).len(), 1);
    world.step(pushed_back(&first, 3000));
    assert_eq!(world.prompt(&[]).len(), 1, "an answer of the earlier life");
}

/// A rest that ends within the time of a request is waited for.
#[test]
fn short_rests_are_waited_for() {
    let one = engine("one", "ready", 0);
    let mut world = World::new(vec![one.clone()]);
    world.pass(5000);
    let first = world.prompt(&[]);
    world.step(pushed_back(&one, 500));
    let (request, attempt) = (first[0].request, first[0].attempt);
    let effects = world.step(Event::Failed {
        request,
        attempt,
        verdict: Verdict::NotRun,
        cause: Cause::Full,
    });
    assert!(replies(&effects).is_empty() && sends(&effects).is_empty());
}
