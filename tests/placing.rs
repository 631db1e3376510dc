//! Placement by one box: where it sends a request, when it queues one and when it refuses one.

mod harness;

use harness::solo::{BASE, Solo, caller, replies, sends, server};
use petreldrum::{
    reducer::{
        effect::{Effect, Target},
        event::Cause,
    },
    unit::Millis,
    verdict::Verdict,
};

fn region(target: &Target) -> &str {
    match target {
        Target::Backend { .. } => "perth",
        Target::Relay { region, .. } => region.as_str(),
        Target::Pass { .. } => panic!("there is no key"),
    }
}

fn text(parts: &[String]) -> String {
    BASE.to_owned() + &parts.concat() + "[selector all]\n"
}

/// Reports whether the only effect is that the request was queued.
fn waits(effects: &[Effect]) -> bool {
    matches!(effects, [Effect::Queued { .. }])
}

#[test]
fn ended_relays_free_slots() {
    let mut solo = Solo::new(&text(&[caller("a", ""), server("far", "bunbury", 4)]));
    solo.digest(4, 0);
    for number in 0..40 {
        let sent = sends(&solo.arrive("a", None));
        assert_eq!(sent.len(), 1, "request {number} goes at once");
        solo.begun(&sent[0]);
        solo.ended(&sent[0]);
    }
}

#[test]
fn late_outcome_changes_nothing() {
    let parts = [
        caller("a", ""),
        server("one", "perth", 4),
        server("two", "perth", 4),
    ];
    let mut solo = Solo::new(&text(&parts));
    let first = sends(&solo.arrive("a", None)).remove(0);
    let second = sends(&solo.failed(&first, Verdict::NotRun, Cause::Unreachable)).remove(0);
    assert_ne!(first.target, second.target, "elsewhere");
    solo.begun(&first);
    assert!(solo.ended(&first).is_empty());
    assert!(
        solo.state.holds(second.request),
        "the second attempt is still in flight"
    );
    solo.ended(&second);
    assert_eq!(solo.state.busy(), 0);
}

#[test]
fn callers_take_turns() {
    let parts = [
        caller("a", "rate=1000/s"),
        caller("b", "rate=1000/s"),
        server("one", "perth", 1),
    ];
    let mut solo = Solo::new(&text(&parts));
    let mut running = sends(&solo.arrive("a", None)).remove(0);
    // One caller fills the queue before the other arrives; its backlog must not delay the other.
    let long = Some(2600);
    for _ in 0..3 {
        assert!(waits(&solo.arrive("a", long)));
    }
    for _ in 0..2 {
        assert!(waits(&solo.arrive("b", long)));
    }
    let mut order = Vec::new();
    while solo.state.busy() > 0 {
        solo.begun(&running);
        let effects = solo.ended(&running);
        let Some(next) = sends(&effects).pop() else {
            break;
        };
        order.push(next.customer.to_string());
        running = next;
    }
    assert_eq!(order, ["a", "b", "a", "b", "a"]);
}

#[test]
fn tightened_while_waiting() {
    let parts = [caller("a", ""), server("one", "perth", 1)];
    let mut solo = Solo::new(&text(&parts));
    let running = sends(&solo.arrive("a", None)).remove(0);
    solo.arrive("a", None);
    assert_eq!(solo.state.waiting(), 1);
    let narrow = BASE.to_owned() + &parts.concat() + "[selector all]\nregions=bunbury\n";
    let effects = solo.configure(&narrow);
    let refused = replies(&effects);
    assert_eq!(
        (refused.len(), refused[0].status, refused[0].verdict),
        (1, 503, Verdict::NotRun)
    );
    assert!(sends(&solo.ended(&running)).is_empty());
    assert_eq!(solo.state.busy(), 0);
}

#[test]
fn refused_at_once() {
    let parts = [caller("a", "rate=1000/s"), server("one", "perth", 1)];
    let mut solo = Solo::new(&text(&parts));
    solo.arrive("a", None);
    // The server's answers are expected to take half a second each.
    let refused = replies(&solo.arrive("a", Some(300)));
    assert_eq!(
        (refused[0].status, refused[0].verdict),
        (503, Verdict::NotRun)
    );
    assert!(refused[0].retry_after >= Some(Millis(500)));
    // A queued request that is not served in time is refused at its deadline, not later.
    solo.arrive("a", Some(900));
    let refused = replies(&solo.pass(900));
    assert_eq!((refused.len(), refused[0].verdict), (1, Verdict::NotRun));
    // A request that was sent may have run.
    let effects = solo.pass(1200);
    assert_eq!(replies(&effects)[0].verdict, Verdict::MayHaveRun);
}

#[test]
fn breaker_opens_and_ramps() {
    let parts = [caller("a", "rate=1000/s"), server("one", "perth", 10)];
    let mut solo = Solo::new(&text(&parts));
    for _ in 0..3 {
        let sent = sends(&solo.arrive("a", None)).remove(0);
        solo.failed(&sent, Verdict::MayHaveRun, Cause::Broken);
    }
    assert!(sends(&solo.arrive("a", None)).is_empty(), "open");
    solo.pass(2100);
    let probe = sends(&solo.arrive("a", None)).remove(0);
    assert!(
        sends(&solo.arrive("a", None)).is_empty(),
        "one probe at a time"
    );
    solo.begun(&probe);
    solo.ended(&probe);
    let at_once = |solo: &mut Solo| {
        let sent: Vec<_> = (0..20)
            .flat_map(|_| sends(&solo.arrive("a", None)))
            .collect();
        let count = sent.len();
        for send in sent {
            solo.begun(&send);
            solo.ended(&send);
        }
        solo.pass(3000);
        count
    };
    let cold = at_once(&mut solo);
    assert!(
        cold < 8,
        "a returned server gets {cold} of 10 slots at first"
    );
}

#[test]
fn retries_are_a_share() {
    let names = ["one", "two", "tri"];
    let servers: String = names.map(|n| server(n, "perth", 1000)).concat();
    let mut solo = Solo::new(&text(&[caller("a", "rate=100000/s"), servers]));
    let (mut requests, mut retries) = (0, 0);
    for _ in 0..1000 {
        let mut next = sends(&solo.arrive("a", None)).pop();
        requests += 1;
        while let Some(send) = next {
            // These failures do not open a breaker.
            next = sends(&solo.failed(&send, Verdict::NotRun, Cause::Late)).pop();
            retries += u32::from(next.is_some());
        }
    }
    assert!(retries >= 100, "retries happen");
    assert!(
        retries <= requests / 5 + 20,
        "{retries} retries of {requests}"
    );
}

#[test]
fn rate_is_kept() {
    let parts = [
        caller("a", "rate=10/s"),
        caller("b", ""),
        server("one", "perth", 1000),
    ];
    let mut solo = Solo::new(&text(&parts));
    let mut served = 0;
    for _ in 0..50 {
        served += (0..10).flat_map(|_| sends(&solo.arrive("a", None))).count();
        solo.pass(100);
    }
    assert!(
        (60..=75).contains(&served),
        "{served} in 5 s at 10/s and a burst of 20"
    );
    let refused = replies(&solo.arrive("a", None));
    assert!(refused.is_empty() || refused[0].status == 429);
    assert_eq!(
        sends(&solo.arrive("b", None)).len(),
        1,
        "other callers are served"
    );
}

#[test]
fn leaves_home_by_weights() {
    let parts = [
        caller("a", "rate=1000/s"),
        server("one", "perth", 2),
        server("far", "bunbury", 50),
    ];
    let home = |weights: &str| {
        let mut solo = Solo::new(&(weights.to_owned() + &text(&parts)));
        solo.digest(50, 0);
        let sent: Vec<_> = (0..6)
            .flat_map(|_| sends(&solo.arrive("a", None)))
            .collect();
        sent.iter().filter(|s| region(&s.target) == "perth").count()
    };
    // Both slots at home are used first.
    assert_eq!(home("[weights]\naway=100\n"), 2);
    // If staying at home outweighs any wait, no request leaves.
    let mut solo = Solo::new(&("[weights]\naway=1000000\n".to_owned() + &text(&parts)));
    solo.digest(50, 0);
    let sent: Vec<_> = (0..6)
        .flat_map(|_| sends(&solo.arrive("a", None)))
        .collect();
    assert!(sent.iter().all(|s| region(&s.target) == "perth"));
    assert_eq!((sent.len(), solo.state.waiting()), (2, 4));
}

#[test]
fn returned_region_is_spared() {
    let parts = [caller("a", "rate=1000/s"), server("far", "bunbury", 50)];
    let mut solo = Solo::new(&text(&parts));
    solo.digest(50, 0);
    solo.pass(8000);
    assert_eq!(replies(&solo.arrive("a", None)).len(), 1, "silent");
    solo.digest(50, 0);
    let status = solo.state.explain(
        solo.now,
        petreldrum::config::Query {
            host: None,
            random: 0,
            customer: "a".parse().expect("a name"),
            path: "/read/x".to_owned(),
            model: None,
        },
        0,
    );
    let free = status.expect("the explanation is available").candidates[0].free;
    assert!(free <= 15, "{free} of 50 slots at once");
}

/// Each of many servers is found unreachable once. Every request is retried elsewhere, because none
/// of the failed attempts arrived, so none takes from the retry budget.
#[test]
fn what_never_arrived_takes_no_budget() {
    let names: Vec<String> = (0..60).map(|n| format!("s{n}{}", n % 10)).collect();
    let servers = names.iter().map(|name| server(name, "perth", 1000));
    let servers: String = servers.collect();
    let mut solo = Solo::new(&text(&[caller("a", "rate=100000/s"), servers]));
    let mut fail = |cause, verdict| {
        let first = sends(&solo.arrive("a", None)).remove(0);
        let retries = sends(&solo.failed(&first, verdict, cause));
        for send in &retries {
            solo.begun(send);
            solo.ended(send);
        }
        retries.len()
    };
    let unreachable: usize = (0..60)
        .map(|_| fail(Cause::Unreachable, Verdict::NotRun))
        .sum();
    assert_eq!(unreachable, 60);
    let errored: usize = (0..60)
        .map(|_| fail(Cause::Errored, Verdict::MayHaveRun))
        .sum();
    assert!(errored < 60, "what may have arrived does: {errored}");
}
