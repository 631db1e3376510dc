//! The end of a planned stop: what a box cannot finish before it is killed is refused, not passed on.

mod harness;

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use harness::{
    clients::Client,
    cloud::{Cloud, HOST},
    eventually,
    solo::{Solo, caller, replies, sends, server},
};
use nix::sys::signal::Signal::{SIGKILL, SIGTERM};
use petreldrum::{
    reducer::{
        Grace,
        effect::{Effect, Reply},
        event::{Cause, Event},
    },
    settings::Settings,
    unit::Millis,
    verdict::Verdict,
};
use petreldrum_standin::worker::MODE;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

/// Time that the users' platform leaves a process after SIGTERM.
const GRACE: Millis = Millis(8000);
/// Time for which a stopping box takes requests as before.
const LINGER: Millis = Millis(3000);
/// Slots of the backend server.
const SLOTS: u32 = 8;

/// A request that may not be repeated.
struct Request {
    id: String,
    /// When its head is sent and when its body is complete, relative to SIGTERM.
    head: i64,
    whole: i64,
    /// How long its backend server works on it.
    work: u64,
    /// Its time limit.
    limit: u64,
}

/// What its caller heard, `None` unless the answer is complete, and how long after the body.
struct Heard {
    request: Request,
    status: Option<u16>,
    took: Duration,
}

/// Returns the status of a complete answer.
fn status(heard: &str) -> Option<u16> {
    let (head, body) = heard.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let length = lines.find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.parse().ok())?
    });
    (length == Some(body.len())).then_some(status)
}

async fn send(address: SocketAddr, stopped: Instant, request: Request) -> Heard {
    let at = |millis: i64| match millis {
        0.. => stopped + Duration::from_millis(millis.unsigned_abs()),
        _ => stopped - Duration::from_millis(millis.unsigned_abs()),
    };
    sleep_until(at(request.head)).await;
    let Request {
        id, work, limit, ..
    } = &request;
    let head = format!(
        "POST /late/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\n\
         deadline-ms: {limit}\r\n{MODE}: work-{work}\r\ncontent-length: 4\r\n\r\n"
    );
    let mut client = Client::open(address).await.expect("the box listens");
    client.write(head.as_bytes()).await;
    sleep_until(at(request.whole)).await;
    client.write(b"body").await;
    let sent = Instant::now();
    let heard = client.hear().await;
    Heard {
        request,
        status: status(&heard),
        took: sent.elapsed(),
    }
}

/// Starts two boxes in atl, one in mcn, one backend server in `region`, and a route whose answers may
/// take 6 s.
async fn cloud(region: &str) -> Cloud {
    let mut cloud = Cloud::start().await;
    cloud.limits = "linger = 3s\ngrace = 8s\n";
    let content = json!({
        "version": 1, "tenants": [], "limits": {},
        "routes": [{
            "name": "late", "host": HOST, "pathPrefix": "/late/", "kind": "non_idempotent",
            "timeoutMs": 6000, "targetLatencyMs": 6000, "priority": 0, "service": "app",
            "maxAttempts": 1, "homeRegions": [],
        }],
        "services": [{ "name": "app", "healthPath": "/health" }],
    });
    cloud.registry.put("op/config", &content);
    cloud.add_worker("app", region).await;
    for region in ["atl", "atl", "mcn"] {
        cloud.add_box(region).await;
    }
    cloud.settled().await;
    eventually("requests are served", || async {
        cloud.boxes[0].send("/late/x", "first", "").await.status == 200
    })
    .await;
    cloud
}

/// Stops the first box and kills it at the end of the grace; returns what the callers heard.
async fn stop(cloud: &Cloud, requests: Vec<Request>) -> Vec<Heard> {
    let first = requests.iter().map(|request| request.head).min();
    let before = first.unwrap_or_default().min(0).unsigned_abs();
    let stopped = Instant::now() + Duration::from_millis(before + 100);
    let process = &cloud.boxes[0];
    let callers = requests
        .into_iter()
        .map(|r| send(process.public, stopped, r));
    let end = async {
        sleep_until(stopped).await;
        process.signal(SIGTERM);
        sleep_until(stopped + GRACE.duration()).await;
        process.signal(SIGKILL);
    };
    tokio::join!(join_all(callers), end).0
}

/// Asserts that each caller heard a complete answer, and that what was refused did not run.
async fn assert_answered(cloud: &Cloud, heard: &[Heard]) {
    sleep(Duration::from_millis(200)).await;
    let row = |heard: &Heard| {
        let id = &heard.request.id;
        let row = format!(
            "{id} {:?} {:?} runs={}",
            heard.status,
            heard.took,
            cloud.runs(id)
        );
        println!("{row}");
        let fault = match (heard.status, cloud.runs(id)) {
            (None, _) | (Some(503), 1..) | (Some(200), 0) | (_, 2..) => true,
            (Some(_), _) => false,
        };
        fault.then_some(row)
    };
    let faults: Vec<String> = heard.iter().filter_map(row).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

// Bodies that became complete after the listeners had closed were passed on and cut by the kill.
async fn assert_late_bodies(region: &str) {
    let cloud = cloud(region).await;
    let request = |number: usize, (work, limit): (u64, u64)| Request {
        id: format!("body-{work}-{limit}-{number}"),
        head: 800,
        whole: 3200 + 200 * number as i64,
        work,
        limit,
    };
    let kinds = [(2000, 6000), (5000, 6000), (6000, 20_000), (1000, 3000)];
    let requests = (0..4).flat_map(|n| kinds.map(|kind| request(n, kind)));
    let heard = stop(&cloud, requests.collect()).await;
    assert_answered(&cloud, &heard).await;
    for row in heard {
        let Request { id, limit, .. } = &row.request;
        match limit {
            // Work that ends in time is done.
            3000 => assert_eq!(row.status, Some(200), "{id}"),
            _ => {
                assert_eq!(row.status, Some(503), "{id}");
                assert!(row.took < Duration::from_secs(1), "{id}: {:?}", row.took);
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn late_bodies() {
    assert_late_bodies("atl").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_bodies_for_another_region() {
    assert_late_bodies("mcn").await;
}

// Requests that waited for a slot were passed on late in the grace and cut by the kill.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_requests() {
    let cloud = cloud("atl").await;
    let busy = (0..SLOTS).map(|number| Request {
        id: format!("busy-{number}"),
        head: -500,
        whole: -500,
        work: 4500 + 200 * u64::from(number),
        limit: 6000,
    });
    let waiting = (0..8).map(|number| Request {
        id: format!("waiting-{number}"),
        head: 600 + 250 * number,
        whole: 600 + 250 * number,
        work: 3500,
        limit: 6000,
    });
    let heard = stop(&cloud, busy.chain(waiting).collect()).await;
    assert_answered(&cloud, &heard).await;
}

// Requests that were passed on in time and whose work lasts longer than the grace were cut by the kill.
#[tokio::test(flavor = "multi_thread")]
async fn long_work_hears_before_the_kill() {
    let cloud = cloud("atl").await;
    let requests = (0..4).map(|number| Request {
        id: format!("long-{number}"),
        head: 2200 + 100 * number,
        whole: 2200 + 100 * number,
        work: 10_000,
        limit: 6000,
    });
    let heard = stop(&cloud, requests.collect()).await;
    assert_answered(&cloud, &heard).await;
    let statuses = heard.iter().map(|row| row.status);
    assert!(statuses.eq([Some(504); 4]), "they may have run");
}

/// A box before `servers` with one slot each, with a route whose answers may take 6 s.
fn solo(servers: &[&str], more: &str) -> Solo {
    let servers: String = servers
        .iter()
        .map(|name| server(name, "perth", 1))
        .collect();
    let text = format!(
        "[region perth]\n[region bunbury]\n[route read]\nprefix=/read\nkind=application\n\
         repeatable=true\nhold=6s\n{more}\n{}{servers}[selector all]\n",
        caller("a", "")
    );
    Solo::new(&text)
}

fn one_slot() -> Solo {
    solo(&["one"], "")
}

fn stop_event() -> Event {
    Event::Stop(Some(Grace {
        linger: LINGER,
        length: GRACE,
    }))
}

fn refusals(effects: &[Effect]) -> Vec<Reply> {
    let replies = replies(effects).into_iter();
    replies.filter(|reply| reply.stopping).collect()
}

#[test]
fn only_requests_with_time_left_start() {
    let mut solo = one_slot();
    solo.step(stop_event());
    solo.pass(LINGER.0 - 100);
    let before = sends(&solo.arrive("a", Some(6000))).remove(0);
    solo.ended(&before);
    solo.pass(100);
    let late = refusals(&solo.arrive("a", Some(6000)));
    assert_eq!((late[0].status, late[0].verdict), (503, Verdict::NotRun));
    assert!(
        late[0].retry_after < Some(Millis(1000)),
        "another box can take it at once"
    );
    assert_eq!(sends(&solo.arrive("a", Some(3000))).len(), 1);
}

#[test]
fn nothing_is_refused_without_a_grace() {
    let mut solo = one_slot();
    solo.step(Event::Stop(None));
    solo.pass(GRACE.0);
    assert_eq!(sends(&solo.arrive("a", Some(6000))).len(), 1);
}

#[test]
fn waiting_requests_are_refused_at_once() {
    let mut solo = one_slot();
    let running = sends(&solo.arrive("a", Some(6000))).remove(0);
    solo.step(stop_event());
    solo.arrive("a", Some(6000));
    solo.pass(2000);
    solo.arrive("a", Some(6000));
    assert!(refusals(&solo.pass(900)).is_empty());
    let refused = solo.pass(100);
    assert_eq!(refusals(&refused).len(), 1, "the first one still has time");
    assert!(sends(&refused).is_empty());
    solo.begun(&running);
    assert_eq!(sends(&solo.ended(&running)).len(), 1);
}

#[test]
fn retries_need_time_as_well() {
    let mut solo = one_slot();
    solo.step(stop_event());
    solo.pass(2000);
    let sent = sends(&solo.arrive("a", Some(6000))).remove(0);
    solo.pass(2000);
    let failed = solo.failed(&sent, Verdict::NotRun, Cause::Refused);
    assert!(sends(&failed).is_empty());
    assert_eq!(refusals(&failed).len(), 1);
}

#[test]
fn unanswered_requests_are_given_up_before_the_kill() {
    let mut solo = solo(&["one", "two"], "");
    solo.step(stop_event());
    solo.pass(2500);
    sends(&solo.arrive("a", Some(6000))).remove(0);
    let begun = sends(&solo.arrive("a", Some(6000))).remove(0);
    solo.begun(&begun);
    assert!(replies(&solo.pass(GRACE.0 - 3000)).is_empty());
    let given_up = replies(&solo.pass(400));
    assert_eq!(given_up.len(), 1, "an answer in progress goes on");
    assert_eq!(given_up[0].verdict, Verdict::MayHaveRun);
}

#[test]
fn streams_continue_elsewhere() {
    let mut solo = solo(&["one", "two"], "stream_gap=1s\nresumable=true");
    solo.step(stop_event());
    solo.pass(2500);
    let sent = sends(&solo.arrive("a", Some(6000))).remove(0);
    solo.begun(&sent);
    solo.pass(2000);
    let cut = solo.step(Event::StreamCut {
        request: sent.request,
        attempt: sent.attempt,
    });
    let resumed = sends(&cut);
    assert_eq!(resumed.len(), 1, "its caller has a part of the answer");
    assert_ne!(resumed[0].target, sent.target);
}

#[test]
fn grace_is_longer_than_linger() {
    let settings = |limits: &str| {
        let text = format!(
            "[box]\nname=a\nregion=perth\nfailure_domain=p\n[listen]\npublic=127.0.0.1:1\n\
             peer=127.0.0.1:2\ngossip=127.0.0.1:3\nadmin=127.0.0.1:4\n\
             admin_token=0123456789abcdef\n[peers]\nsecret=0123456789abcdef\n\
             [platform]\nstore=127.0.0.1:5\n[limits]\n{limits}"
        );
        Settings::parse("file", &text).map_err(|faults| faults.to_string())
    };
    let read = settings("linger=3s\ngrace=8s\n").expect("valid settings");
    assert_eq!(read.grace, Some(GRACE));
    let error = settings("linger=3s\ngrace=3s\n").expect_err("no time is left");
    assert!(error.contains("must be longer than linger"), "{error}");
}
