//! The request queue: which requests wait, which one gets a free slot first, and which are refused
//! with a retry time.

mod harness;

use harness::solo::{Solo, arrival, caller, replies, sends, server};
use petreldrum::{
    reducer::{
        effect::{Effect, Send},
        event::{Credential, Event, Hop},
    },
    unit::Millis,
    verdict::Verdict,
};

/// Returns a box with one server that has one slot and is expected to take half a second per
/// answer.
fn one_slot() -> Solo {
    let text = "[region perth]\n[region bunbury]\n\
        [route read]\nprefix=/read\nkind=application\nrepeatable=true\ntarget=800ms\nhold=4s\n\
        attempts=1\n"
        .to_owned()
        + &caller("a", "rate=1000/s")
        + &server("one", "perth", 1)
        + "[selector all]\n";
    Solo::new(&text)
}

fn is_queued(effects: &[Effect]) -> bool {
    matches!(effects, [Effect::Queued { .. }])
}

fn finish(solo: &mut Solo, send: &Send) -> Vec<Send> {
    solo.begun(send);
    sends(&solo.ended(send))
}

#[test]
fn in_time_before_late() {
    let mut solo = one_slot();
    let running = sends(&solo.arrive("a", None)).remove(0);
    assert!(is_queued(&solo.arrive("a", None)));
    solo.pass(900);
    assert!(
        is_queued(&solo.arrive("a", None)),
        "the second request is late already"
    );
    let next = finish(&mut solo, &running);
    assert_eq!(
        next[0].request.0, 3,
        "the third request can still be in time"
    );
    let next = finish(&mut solo, &next[0]);
    assert_eq!(next[0].request.0, 2, "the late request comes last");
}

#[test]
fn late_ones_are_given_up_early() {
    let mut solo = one_slot();
    solo.arrive("a", None);
    assert!(is_queued(&solo.arrive("a", None)));
    assert!(replies(&solo.pass(1500)).is_empty());
    let given_up = replies(&solo.pass(200));
    assert_eq!(given_up.len(), 1, "not refused after two fifths of its 4 s");
    assert_eq!(
        (given_up[0].status, given_up[0].verdict),
        (503, Verdict::NotRun)
    );
    assert!(given_up[0].retry_after.is_some());
}

#[test]
fn refused_at_once_and_spread() {
    let mut solo = one_slot();
    let mut refusals = Vec::new();
    for _ in 0..40 {
        refusals.extend(replies(&solo.arrive("a", None)));
    }
    assert!(
        refusals.len() >= 30,
        "requests that cannot begin in time are refused"
    );
    let delays: Vec<Millis> = refusals.iter().filter_map(|r| r.retry_after).collect();
    assert_eq!(delays.len(), refusals.len());
    assert!(
        delays
            .iter()
            .all(|w| (Millis(280)..=Millis(1950)).contains(w))
    );
}

// Guards against relayed requests that wait here until their deadline, while their own region has
// room again.
#[test]
fn relays_go_back_while_they_can_still_be_served_elsewhere() {
    let mut solo = one_slot();
    solo.arrive("a", None);
    let mut relay = arrival(77, "a", Some(Millis(4000)));
    if let Event::Arrived(arrival) = &mut relay {
        arrival.credential = Credential::Verified("a".parse().expect("valid name"));
        arrival.hop = Hop::Relay("bunbury".parse().expect("valid name"));
    }
    assert!(is_queued(&solo.step(relay)));
    assert!(
        replies(&solo.pass(100)).is_empty(),
        "refused before a slot could become free"
    );
    let returned = replies(&solo.pass(200));
    assert_eq!(returned.len(), 1);
    assert_eq!(returned[0].verdict, Verdict::NotRun);
}
