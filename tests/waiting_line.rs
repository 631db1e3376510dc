//! Who waits, who goes first when a slot is free, and who is told to come back.

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

/// A server with one slot whose answers are expected to take half a second.
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

fn waits(effects: &[Effect]) -> bool {
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
    assert!(waits(&solo.arrive("a", None)));
    solo.pass(900);
    assert!(waits(&solo.arrive("a", None)), "the second is late by now");
    let next = finish(&mut solo, &running);
    assert_eq!(next[0].request.0, 3, "the third can still be in time");
    let next = finish(&mut solo, &next[0]);
    assert_eq!(next[0].request.0, 2, "then the late one");
}

#[test]
fn late_ones_are_given_up_early() {
    let mut solo = one_slot();
    solo.arrive("a", None);
    assert!(waits(&solo.arrive("a", None)));
    assert!(replies(&solo.pass(1500)).is_empty());
    let given_up = replies(&solo.pass(200));
    assert_eq!(given_up.len(), 1, "after two fifths of its four seconds");
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
    assert!(refusals.len() >= 30, "they could not begin in time");
    let waits: Vec<Millis> = refusals.iter().filter_map(|r| r.retry_after).collect();
    assert_eq!(waits.len(), refusals.len());
    assert!(
        waits
            .iter()
            .all(|w| (Millis(280)..=Millis(1950)).contains(w))
    );
}

// What another region sent waited here until its time was over, while its own region had room again.
#[test]
fn relays_go_back_while_they_can_still_be_served_elsewhere() {
    let mut solo = one_slot();
    solo.arrive("a", None);
    let mut relay = arrival(77, "a", Some(Millis(4000)));
    if let Event::Arrived(arrival) = &mut relay {
        arrival.credential = Credential::Verified("a".parse().expect("a name"));
        arrival.hop = Hop::Relay("bunbury".parse().expect("a name"));
    }
    assert!(waits(&solo.step(relay)));
    assert!(replies(&solo.pass(100)).is_empty(), "a slot may get free");
    let returned = replies(&solo.pass(200));
    assert_eq!(returned.len(), 1);
    assert_eq!(returned[0].verdict, Verdict::NotRun);
}
