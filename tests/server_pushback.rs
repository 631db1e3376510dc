//! Backend servers that refuse requests with `Retry-After`: the box that sent them must pause for
//! that time.

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

/// Pause that the servers ask for.
const PAUSE: Duration = Duration::from_secs(3);
/// Time after a refusal in which requests already in flight may still arrive, and bound on how long
/// a refusal may take.
const SLACK: Duration = Duration::from_millis(500);
/// Maximum number of requests between `SLACK` and the end of the pause.
const MAX_REQUESTS: usize = 2;

async fn cloud(workers: &[&str]) -> Cloud {
    let cloud = Cloud::serving(workers).await;
    cloud.settled().await;
    cloud
}

/// Makes the worker refuse every request from now on.
fn refuse_all(worker: &Worker) {
    worker.say("Retry-After", Some(&PAUSE.as_secs().to_string()));
    worker.answer_always("full");
}

/// Returns the highest number of requests within the pause that one answer asked for. Each request
/// is answered at once, so its arrival is the start of a pause.
fn max_in_pause(worker: &Worker, since: Instant) -> usize {
    let mut arrivals = worker.arrivals();
    arrivals.retain(|at| *at >= since);
    let within = |answered: &Instant| {
        let pause = *answered + SLACK..*answered + PAUSE;
        arrivals.iter().filter(|at| pause.contains(*at)).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_asks_for_rest_gets_no_more_within_it() {
    let cloud = cloud(&["w-1", "w-2", "w-3", "w-4"]).await;
    let since = Instant::now();
    let paused = ["w-1", "w-2"].map(|name| &cloud.workers[name]);
    paused.into_iter().for_each(refuse_all);
    let answers = cloud.press_all("a", PAUSE * 3).await;
    for worker in paused {
        assert!(
            !worker.arrivals().is_empty(),
            "the worker got no request to refuse"
        );
        let max_in_pause = max_in_pause(worker, since);
        assert!(
            max_in_pause <= MAX_REQUESTS,
            "{max_in_pause} requests within a pause"
        );
    }
    let served = answers.iter().filter(|a| a.status.is_success()).count();
    assert_eq!(
        served,
        answers.len(),
        "the other servers serve the requests"
    );
}

/// When all servers have asked for a pause, callers are refused at once, with a `retry-after` no
/// shorter than what is left of the pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_hear_at_once_when_all_servers_rest() {
    let cloud = cloud(&["w-1", "w-2"]).await;
    let since = Instant::now();
    cloud.workers.values().for_each(refuse_all);
    let entry = &cloud.boxes[0];
    for number in 0..4 {
        entry.send("/safe/x", &format!("first-{number}"), "").await;
    }
    let paused_at = Instant::now();
    for number in 0..50 {
        let asked = Instant::now();
        let answer = entry.send("/safe/x", &format!("r-{number}"), "").await;
        assert_eq!(answer.status.as_u16(), 503);
        assert!(asked.elapsed() < SLACK, "it waited {:?}", asked.elapsed());
        let wait = answer.headers["retry-after"].to_str().expect("text");
        let wait: f64 = wait.parse().expect("seconds");
        let left = PAUSE.saturating_sub(paused_at.elapsed() + SLACK);
        assert!(wait >= left.as_secs_f64(), "{wait} s, {left:?} are left");
    }
    for worker in cloud.workers.values() {
        let max_in_pause = max_in_pause(worker, since);
        assert!(
            max_in_pause <= MAX_REQUESTS,
            "{max_in_pause} requests within a pause"
        );
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
    eventually("the pause is counted", async || {
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
    assert_eq!(
        read(&["1", "x", "4"]),
        span(4000),
        "the longest time applies"
    );
    assert_eq!(read(&["1e9"]), span(600_000), "times are capped at 600 s");
    for malformed in [
        "",
        "-1",
        "NaN",
        "inf",
        "1e309",
        "2, 3",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ] {
        assert_eq!(read(&[malformed]), Pushback::Unreadable, "{malformed}");
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
    // A shorter time, such as in an answer to an earlier request, does not shorten the pause.
    world.step(pushed_back(&one, 1000));
    world.pass(2000);
    assert!(world.prompt(&[]).is_empty(), "2 s of 3 s");
    world.pass(1100);
    let first = world.prompt(&[]);
    assert_eq!(first.len(), 1);
    assert!(
        world.prompt(&[]).is_empty(),
        "sent before the first request was answered"
    );
    let (request, attempt) = (first[0].request, first[0].attempt);
    world.step(Event::Begun { request, attempt });
    assert_eq!(
        world.prompt(&[]).len(),
        2,
        "the queued request and the next one"
    );
}

/// An answer to a request that was sent before the pause does not end the pause.
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
    assert_eq!(world.prompt(&[]).len(), 1, "no probe is needed");
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
    assert_eq!(
        world.prompt(&[]).len(),
        1,
        "an answer of the earlier incarnation"
    );
}

/// A request is queued if the pause ends before the request's deadline.
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
