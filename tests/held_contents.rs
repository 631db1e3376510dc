//! Which contents are quarantined because backend servers crashed while running them, and which are
//! not.
//!
//! Tens of requests break with each server that crashes, and one of them is the cause. On a day on
//! which six waves of crashes took three in five servers each, 327 strikes fell on contents that
//! had caused no crash.

mod harness;

use harness::solo::{BASE, Solo, arrival, caller, replies, sends, server};
use petreldrum::{
    content::{Content, Fingerprint},
    id::{self, Incarnation},
    quarantine::{Step, Strike, weight},
    reducer::{
        effect::{Effect, Reply, Send},
        event::{Cause, Event},
    },
    unit::Millis,
    verdict::Verdict,
    wire::{Body, Frame, Marks, NameHash},
};

fn strike(content: Fingerprint, life: u32) -> Strike {
    Strike {
        content,
        life: NameHash(life),
        weight: weight(None),
    }
}

/// Returns a box with four backend servers.
fn solo() -> Solo {
    let servers: Vec<String> = ["sa", "sb", "sc", "sd"]
        .iter()
        .map(|name| server(name, "perth", 4))
        .collect();
    Solo::new(&(BASE.to_owned() + &caller("a", "") + &servers.concat() + "[selector all]\n"))
}

fn send_content(solo: &mut Solo, request: u64, number: u64) -> Vec<Effect> {
    let mut event = arrival(request, "a", None);
    if let Event::Arrived(arrival) = &mut event {
        arrival.content = Content(number);
    }
    solo.step(event)
}

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::new(&"a".parse().expect("valid name"), Content(number))
}

fn probes(effects: &[Effect]) -> Vec<id::Backend> {
    let probe = |e: &Effect| match e {
        Effect::Probe { backend, .. } => Some(backend.clone()),
        _ => None,
    };
    effects.iter().filter_map(probe).collect()
}

fn probe_results(solo: &mut Solo, backends: Vec<id::Backend>, closed: bool) -> Vec<Effect> {
    let events = backends
        .into_iter()
        .map(|backend| Event::Probed { backend, closed });
    events.flat_map(|event| solo.step(event)).collect()
}

/// Crashes the attempt's backend server, or breaks only its connection; returns the resulting
/// effects.
fn break_attempt(solo: &mut Solo, send: &Send, closed: bool) -> Vec<Effect> {
    let mut effects = solo.failed(send, Verdict::MayHaveRun, Cause::Broken);
    let backends = probes(&effects);
    effects.extend(probe_results(solo, backends, closed));
    effects
}

/// Sends a content until it is no longer forwarded; returns the number of broken attempts and the
/// last answer.
fn send_until_refused(solo: &mut Solo, closed: bool) -> (usize, Option<Reply>) {
    let mut broken = 0;
    let mut answer = None;
    for request in 1..=4 {
        let mut effects = send_content(solo, request, 9);
        while let Some(send) = sends(&effects).pop() {
            broken += 1;
            effects = break_attempt(solo, &send, closed);
        }
        answer = replies(&effects).pop();
        solo.pass(3000);
    }
    (broken, answer)
}

#[test]
fn resets_quarantine_nothing() {
    let mut solo = solo();
    let (broken, _) = send_until_refused(&mut solo, false);
    assert!(broken > 3, "the servers are alive: {broken} attempts");
    assert!(!sends(&send_content(&mut solo, 50, 9)).is_empty());
}

#[test]
fn crashes_quarantine_and_the_caller_is_answered_at_once() {
    let mut solo = solo();
    let (broken, answer) = send_until_refused(&mut solo, true);
    assert_eq!(broken, 3);
    let answer = answer.expect("box answers");
    assert_eq!(answer.verdict, Verdict::NotRun, "this time it did not run");
    assert!(answer.retry_after >= Some(Millis(60_000)));
    assert!(
        !sends(&send_content(&mut solo, 60, 8)).is_empty(),
        "another content"
    );
    let effects = solo.step(Event::Pardoned(fingerprint(9)));
    let is_cleared = effects
        .iter()
        .any(|e| matches!(e, Effect::Quarantine(Step::Cleared { .. })));
    assert!(is_cleared);
    assert!(
        !sends(&send_content(&mut solo, 61, 9)).is_empty(),
        "an operator cleared it"
    );
}

/// Returns a box that received reports of two servers that crashed while running a content.
fn solo_with_two_reported_crashes() -> Solo {
    let mut solo = solo();
    for life in [1, 2] {
        receive_marks(
            &mut solo,
            life,
            vec![strike(fingerprint(9), life as u32)],
            vec![],
        );
    }
    solo
}

#[test]
fn next_attempt_waits_for_the_probe_of_the_last_server() {
    let mut solo = solo_with_two_reported_crashes();
    let send = sends(&send_content(&mut solo, 1, 9)).remove(0);
    let effects = solo.failed(&send, Verdict::MayHaveRun, Cause::Broken);
    assert!(sends(&effects).is_empty(), "a fourth server is not risked");
    let second = send_content(&mut solo, 2, 9);
    assert!(sends(&second).is_empty(), "nor for another request");
    let backends = probes(&effects);
    assert_eq!(backends.len(), 1);
    let effects = probe_results(&mut solo, backends, true);
    assert_eq!(replies(&effects).len(), 2, "both are answered at once");
    assert!(sends(&effects).is_empty());
}

#[test]
fn one_crash_delays_no_request() {
    let mut solo = solo();
    let first: Vec<Send> = (1..=12)
        .flat_map(|r| sends(&send_content(&mut solo, r, 9)))
        .collect();
    let mut at_one_server: Vec<&Send> = first
        .iter()
        .filter(|s| s.target == first[0].target)
        .collect();
    let last = at_one_server
        .pop()
        .expect("several requests are at one server");
    for send in at_one_server {
        solo.failed(send, Verdict::MayHaveRun, Cause::Broken);
    }
    // Three of the server's requests broke, and it is not known yet whether the server is alive.
    let again = solo.failed(last, Verdict::MayHaveRun, Cause::Broken);
    assert_eq!(sends(&again).len(), 1);
}

#[test]
fn missing_probe_result_delays_requests_briefly() {
    let mut solo = solo_with_two_reported_crashes();
    let send = sends(&send_content(&mut solo, 1, 9)).remove(0);
    let effects = solo.failed(&send, Verdict::MayHaveRun, Cause::Broken);
    assert!(sends(&effects).is_empty());
    assert_eq!(sends(&solo.pass(500)).len(), 1);
}

#[test]
fn request_continues_where_the_server_is_alive() {
    let mut solo = solo_with_two_reported_crashes();
    let send = sends(&send_content(&mut solo, 1, 9)).remove(0);
    let effects = solo.failed(&send, Verdict::MayHaveRun, Cause::Broken);
    let backends = probes(&effects);
    assert_eq!(sends(&probe_results(&mut solo, backends, false)).len(), 1);
}

/// Delivers strikes and clearances reported by another box.
fn receive_marks(
    solo: &mut Solo,
    seq: u64,
    strikes: Vec<Strike>,
    cleared: Vec<Fingerprint>,
) -> Vec<Effect> {
    solo.step(Event::Received(Frame {
        from: "other".parse().expect("valid name"),
        incarnation: Incarnation(1),
        seq,
        body: Body::Marks(Marks {
            strikes,
            cleared,
            spread: false,
            parts: Default::default(),
        }),
    }))
}

#[test]
fn reports_of_other_boxes_abort_requests_in_flight() {
    let mut solo = solo();
    let first = sends(&send_content(&mut solo, 1, 9)).remove(0);
    let second = sends(&send_content(&mut solo, 2, 9)).remove(0);
    solo.begun(&second);
    let strikes = (1..=3).map(|life| strike(fingerprint(9), life)).collect();
    let effects = receive_marks(&mut solo, 1, strikes, vec![]);
    let aborted: Vec<id::Request> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::Abort { request, .. } => Some(*request),
            _ => None,
        })
        .collect();
    assert_eq!(aborted, [first.request], "its answer had not begun");
    assert_eq!(replies(&effects)[0].verdict, Verdict::MayHaveRun);
    // The other request had begun: it may not be moved.
    let effects = break_attempt(&mut solo, &second, true);
    assert!(sends(&effects).is_empty());
    let effects = receive_marks(&mut solo, 2, vec![], vec![fingerprint(9)]);
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, Effect::Quarantine(Step::Cleared { held: true, .. })))
    );
    assert_eq!(sends(&send_content(&mut solo, 3, 9)).len(), 1);
}

#[test]
fn starting_box_learns_quarantine_from_any_digest() {
    let mut reporting_box = solo();
    reporting_box.digest(4, 0);
    send_until_refused(&mut reporting_box, true);
    reporting_box.digest(4, 0);
    let effects = reporting_box.pass(2000);
    let digest = effects.into_iter().find_map(|e| match e {
        Effect::Gossip { frame, .. } => match frame.body {
            Body::Digest(digest) => Some(digest),
            _ => None,
        },
        _ => None,
    });
    let mut digest = digest.expect("box sends a digest to the other region");
    assert_eq!(digest.held.len(), 1);
    digest.region = "bunbury".parse().expect("valid name");
    let mut new_box = solo();
    new_box.step(Event::Received(Frame {
        from: "far".parse().expect("valid name"),
        incarnation: Incarnation(1),
        seq: 1,
        body: Body::Digest(digest),
    }));
    let effects = send_content(&mut new_box, 1, 9);
    assert!(sends(&effects).is_empty());
    assert_eq!(replies(&effects)[0].verdict, Verdict::NotRun);
}

#[test]
fn truncated_answers_count_too() {
    let mut solo = solo();
    for request in 1..=3 {
        let send = sends(&send_content(&mut solo, request, 9)).remove(0);
        solo.begun(&send);
        let effects = solo.step(Event::Ended {
            request: send.request,
            attempt: send.attempt,
            whole: false,
            timing: Default::default(),
        });
        let backends = probes(&effects);
        assert_eq!(
            backends.len(),
            1,
            "no other server may continue this answer"
        );
        probe_results(&mut solo, backends, true);
        solo.pass(6000);
    }
    assert!(sends(&send_content(&mut solo, 4, 9)).is_empty());
}

// An answer that ends with its connection ends like one whose server crashed between two events.
#[test]
fn answers_that_end_with_their_connection_clear_nothing() {
    let mut solo = solo();
    for request in [1, 3, 5] {
        let send = sends(&send_content(&mut solo, request, 9)).remove(0);
        solo.begun(&send);
        let (request, attempt) = (send.request, send.attempt);
        solo.step(Event::Inconclusive { request, attempt });
        solo.ended(&send);
        // The server shows to have crashed when the next request finds nothing at its port.
        let mut probed = Vec::new();
        for other in 0..8 {
            let next = sends(&send_content(
                &mut solo,
                100 * request.0 + other,
                100 + other,
            ))
            .remove(0);
            if next.target != send.target {
                solo.begun(&next);
                solo.ended(&next);
                continue;
            }
            let effects = solo.failed(&next, Verdict::NotRun, Cause::Unreachable);
            probed = probes(&effects);
            break;
        }
        assert_eq!(probed.len(), 1, "the server is probed");
        probe_results(&mut solo, probed, true);
        solo.pass(6000);
    }
    assert!(sends(&send_content(&mut solo, 7, 9)).is_empty());
}

#[test]
fn leaving_servers_are_not_probed() {
    let mut solo = solo();
    let send = sends(&send_content(&mut solo, 1, 9)).remove(0);
    let leaving: Vec<String> = ["sa", "sb", "sc", "sd"]
        .iter()
        .map(|name| server(name, "perth", 4) + "leaving=true\n")
        .collect();
    let text = BASE.to_owned() + &caller("a", "") + &leaving.concat() + "[selector all]\n";
    solo.configure(&text);
    let effects = solo.failed(&send, Verdict::MayHaveRun, Cause::Broken);
    assert!(probes(&effects).is_empty());
}
