//! A repeatable request is moved off a backend server that does not answer, once another server can
//! take it.

mod harness;

use harness::solo::{Solo, caller, sends, server};
use petreldrum::reducer::effect::{Effect, Send, Target};

fn text(route: &str, servers: &[&str]) -> String {
    let servers = servers.iter().map(|name| server(name, "perth", 4));
    "[region perth]\n[region bunbury]\n[route read]\nprefix=/read\nkind=application\n".to_owned()
        + route
        + "\n"
        + &caller("a", "rate=1000/s")
        + &servers.collect::<String>()
        + "[selector all]\n"
}

const REPEATABLE: &str = "repeatable=true\ntarget=400ms\nattempts=2";
/// Time in ms, well past three times the expected time and half the target.
const STALL_MS: u64 = 1200;

fn name(send: &Send) -> String {
    match &send.target {
        Target::Backend { name, .. } => name.to_string(),
        other => panic!("not a backend server: {other:?}"),
    }
}

fn aborts(effects: &[Effect]) -> usize {
    let abort = |e: &&Effect| matches!(e, Effect::Abort { .. });
    effects.iter().filter(abort).count()
}

#[test]
fn moves_once_and_in_order() {
    let mut solo = Solo::new(&text(REPEATABLE, &["one", "two"]));
    let first = sends(&solo.arrive("a", None)).remove(0);
    assert!(sends(&solo.pass(200)).is_empty(), "moved too early");
    let effects = solo.pass(STALL_MS);
    let second = sends(&effects).remove(0);
    assert_ne!(name(&first), name(&second));
    let abort = effects
        .iter()
        .position(|e| matches!(e, Effect::Abort { .. }));
    let send = effects.iter().position(|e| matches!(e, Effect::Send(_)));
    assert!(
        abort < send,
        "the first attempt is aborted before the second starts"
    );
    assert!(
        sends(&solo.pass(STALL_MS)).is_empty(),
        "at most two attempts"
    );
}

#[test]
fn stays_without_another_place() {
    let mut solo = Solo::new(&text(REPEATABLE, &["one"]));
    assert_eq!(sends(&solo.arrive("a", None)).len(), 1);
    let effects = solo.pass(STALL_MS);
    assert_eq!((sends(&effects).len(), aborts(&effects)), (0, 0));
    assert_eq!(
        solo.state.busy(),
        1,
        "the request still waits for its answer"
    );
}

#[test]
fn never_what_may_not_repeat() {
    let route = "repeatable=false\nkeyed=false\ntarget=400ms\nattempts=2";
    let mut solo = Solo::new(&text(route, &["one", "two"]));
    assert_eq!(sends(&solo.arrive("a", None)).len(), 1);
    let effects = solo.pass(STALL_MS);
    assert_eq!((sends(&effects).len(), aborts(&effects)), (0, 0));
}

#[test]
fn begun_answers_are_left_alone() {
    let mut solo = Solo::new(&text(REPEATABLE, &["one", "two"]));
    let first = sends(&solo.arrive("a", None)).remove(0);
    solo.begun(&first);
    let effects = solo.pass(STALL_MS);
    assert_eq!((sends(&effects).len(), aborts(&effects)), (0, 0));
}

#[test]
fn only_as_many_as_the_route_says() {
    let route = "repeatable=true\ntarget=400ms\nattempts=1";
    let mut solo = Solo::new(&text(route, &["one", "two"]));
    assert_eq!(sends(&solo.arrive("a", None)).len(), 1);
    assert!(sends(&solo.pass(STALL_MS)).is_empty());
}
