//! A box whose machine was suspended must not treat its state from before as current.
//!
//! The monotonic clock and the runtime's clock stop while a machine is suspended, so a box that
//! resumed saw no gap: heartbeats, load, allotments and idle connections seemed as recent as
//! before, and it took requests at once. Found by reading the code. The test of the clock fails
//! only on a machine that has been suspended; `suspended_run` tests a process with a simulated
//! suspension.

mod harness;

use std::time::Duration;

use harness::solo::{BASE, Solo, caller, replies, sends, server};
use nix::time::{ClockId, clock_gettime};
use petreldrum::{
    gateway::clock::BootInstant,
    reducer::{
        effect::{Alarm, Effect},
        event::Event,
    },
    unit::Millis,
    verdict::Verdict,
};

#[test]
fn the_clock_counts_a_suspension() {
    let before =
        Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the clock can be read"));
    let moment = BootInstant::now();
    let after =
        Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the clock can be read"));
    assert!(before <= moment.since_boot() && moment.since_boot() <= after);
}

#[test]
fn no_work_before_it_has_heard_the_news() {
    let text =
        BASE.to_owned() + &caller("a", "") + &server("near", "perth", 4) + "[selector all]\n";
    let mut solo = Solo::new(&text);
    assert_eq!(sends(&solo.arrive("a", None)).len(), 1);
    solo.now = solo.now + Millis(4000);
    // The first event after the suspension may be a request.
    let effects = solo.arrive("a", None);
    let alarm = effects
        .iter()
        .any(|e| matches!(e, Effect::Alarm(Alarm::Suspended(_))));
    assert!(alarm);
    assert!(sends(&effects).is_empty());
    assert_eq!(replies(&effects)[0].verdict, Verdict::NotRun);
    solo.pass(1000);
    solo.step(Event::Tick);
    assert_eq!(sends(&solo.arrive("a", None)).len(), 1);
}
