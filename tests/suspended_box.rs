//! A box whose machine was suspended takes nothing that it believed for new.
//!
//! The steady clock and the runtime's stand still while a machine is suspended, so a box that woke saw no
//! gap: heartbeats, load, allotments and idle connections were as old as before for it, and it went on at
//! once. Found by reading; the test of the clock itself fails only on a machine that has been suspended, and
//! `suspended_run` shows a process whose machine was.

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
    let before = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).expect("it reads"));
    let moment = BootInstant::now();
    let after = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).expect("it reads"));
    assert!(before <= moment.since_boot() && moment.since_boot() <= after);
}

#[test]
fn no_work_before_it_has_heard_the_news() {
    let text =
        BASE.to_owned() + &caller("a", "") + &server("near", "perth", 4) + "[selector all]\n";
    let mut solo = Solo::new(&text);
    assert_eq!(sends(&solo.arrive("a", None)).len(), 1);
    solo.now = solo.now + Millis(4000);
    // The first thing that it notices may be a request.
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
