//! A backend server whose streams all fall silent has failed: streams that may be resumed elsewhere
//! are moved.

mod harness;

use harness::solo::{Solo, caller, replies, sends, server};
use petreldrum::{
    detector::Detector,
    reducer::{
        effect::{Effect, Note, Send, Target},
        event::{Activity, Cause, Event},
    },
    unit::{Millis, Time},
    verdict::Verdict,
    wire::NameHash,
};

const TICK: Millis = Millis(100);
const STREAM: &str = "repeatable=true\nattempts=2\nstream_gap=600ms\nresumable=true\n";

/// Returns the configuration of a route with two backend servers.
fn text(route: &str) -> String {
    let servers = ["one", "two"].map(|name| server(name, "perth", 64));
    "[region perth]\n[region bunbury]\n[route read]\nprefix=/read\nkind=application\n\
     target=800ms\n"
        .to_owned()
        + route
        + &caller("a", "rate=1000/s")
        + &servers.concat()
        + "[selector all]\n"
}

fn server_name(send: &Send) -> &str {
    match &send.target {
        Target::Backend { name, .. } => name.as_str(),
        other => panic!("not a backend server: {other:?}"),
    }
}

/// Begins streams so that both backend servers have two or more.
fn begin_streams(solo: &mut Solo) -> Vec<Send> {
    let begun = |_| {
        let send = sends(&solo.arrive("a", None)).remove(0);
        solo.begun(&send);
        send
    };
    let streams: Vec<Send> = (0..8).map(begun).collect();
    for name in ["one", "two"] {
        assert!(streams.iter().filter(|s| server_name(s) == name).count() >= 2);
    }
    streams
}

/// Advances time while only the streams of `alive` deliver data.
fn pass_with_alive(solo: &mut Solo, millis: u64, alive: &[&str]) -> Vec<Effect> {
    let mut effects = Vec::new();
    for _ in 0..millis / TICK.0 {
        let sign = |name: &&str| Activity {
            backend: NameHash::of(name),
            pause: Millis(40),
        };
        effects.extend(solo.step(Event::StreamsActive(alive.iter().map(sign).collect())));
        effects.extend(solo.pass(TICK.0));
    }
    effects
}

fn count_left(effects: &[Effect]) -> usize {
    let leave = |e: &&Effect| matches!(e, Effect::DetachStream { .. });
    effects.iter().filter(leave).count()
}

#[test]
fn streams_move_to_another_server() {
    let mut solo = Solo::new(&text(STREAM));
    let streams = begin_streams(&mut solo);
    let on_one = streams.iter().filter(|s| server_name(s) == "one").count();
    assert_eq!(
        count_left(&pass_with_alive(&mut solo, 300, &["one", "two"])),
        0
    );
    let effects = pass_with_alive(&mut solo, 600, &["two"]);
    assert_eq!(
        count_left(&effects),
        on_one,
        "all streams of the failed server, and no others"
    );
    let again = sends(&effects);
    assert_eq!(again.len(), on_one);
    assert!(again.iter().all(|send| server_name(send) == "two"));
    let order = |find: fn(&Effect) -> bool| effects.iter().position(find);
    assert!(
        order(|e| matches!(e, Effect::DetachStream { .. }))
            < order(|e| matches!(e, Effect::Send(_))),
        "the first is stopped before the second starts"
    );
    assert!(effects.iter().any(|e| matches!(e, Effect::CloseIdle(_))));
    let fresh = sends(&solo.arrive("a", None)).remove(0);
    assert_eq!(server_name(&fresh), "two", "new requests avoid it");
}

#[test]
fn streams_that_may_not_move_stay() {
    let once = "repeatable=false\nkeyed=false\nattempts=2\nstream_gap=600ms\nresumable=false\n";
    let used_up = "repeatable=true\nattempts=1\nstream_gap=600ms\nresumable=true\n";
    for route in [once, used_up] {
        let mut solo = Solo::new(&text(route));
        let streams = begin_streams(&mut solo);
        let effects = pass_with_alive(&mut solo, 900, &["two"]);
        assert_eq!(count_left(&effects), 0);
        assert!(sends(&effects).is_empty());
        assert_eq!(solo.state.busy(), streams.len(), "silence ends no answer");
    }
}

#[test]
fn no_stream_moves_to_another_failed_server() {
    let mut solo = Solo::new(&text(STREAM));
    begin_streams(&mut solo);
    assert_eq!(count_left(&pass_with_alive(&mut solo, 2000, &[])), 0);
}

#[test]
fn suspended_box_marks_no_server_as_failed() {
    let mut solo = Solo::new(&text(STREAM));
    begin_streams(&mut solo);
    solo.now = solo.now + Millis(2500);
    let effects = solo.step(Event::Tick);
    assert_eq!(
        count_left(&effects),
        0,
        "the box received nothing while suspended"
    );
}

#[test]
fn server_is_used_again_once_it_delivers() {
    let mut solo = Solo::new(&text(STREAM));
    begin_streams(&mut solo);
    pass_with_alive(&mut solo, 900, &["two"]);
    solo.step(Event::StreamsActive(vec![Activity {
        backend: NameHash::of("one"),
        pause: Millis(900),
    }]));
    let targets = (0..8).map(|_| sends(&solo.arrive("a", None)).remove(0));
    let targets: Vec<Send> = targets.collect();
    assert!(targets.iter().any(|send| server_name(send) == "one"));
}

#[test]
fn silence_limit_follows_pauses() {
    let time_to_failure = |detector: &mut Detector, streams| {
        (1..100)
            .find(|_| detector.record_silence(TICK, streams, Time(1000)))
            .map(|ticks| ticks * 100)
    };
    assert_eq!(time_to_failure(&mut Detector::default(), 5), Some(400));
    assert_eq!(
        time_to_failure(&mut Detector::default(), 2),
        Some(700),
        "two are few"
    );
    assert_eq!(
        time_to_failure(&mut Detector::default(), 1),
        None,
        "it may be preempted"
    );
    assert_eq!(
        time_to_failure(&mut Detector::default(), 0),
        None,
        "there is no stream"
    );
    let mut slow = Detector::default();
    slow.record_data(Millis(1000), Time(1000));
    assert_eq!(time_to_failure(&mut slow, 5), Some(1600));
    assert!(
        slow.record_data(Millis(0), Time(1100)),
        "the server was marked as failed"
    );
    assert!(!slow.record_data(Millis(0), Time(1200)));
}

#[test]
fn one_stream_alone_stays() {
    let mut solo = Solo::new(&text(STREAM));
    let send = sends(&solo.arrive("a", None)).remove(0);
    solo.begun(&send);
    assert_eq!(count_left(&pass_with_alive(&mut solo, 3000, &[])), 0);
    assert_eq!(solo.state.busy(), 1);
}

/// A box that takes a stream off its backend server must find another place for it, since nothing
/// else can finish the answer.
#[test]
fn a_moved_stream_that_is_refused_is_tried_again() {
    let mut solo = Solo::new(&text(STREAM));
    begin_streams(&mut solo);
    let moved = sends(&pass_with_alive(&mut solo, 600, &["two"]));
    assert!(!moved.is_empty());
    let mut open = moved;
    for _ in 0..12 {
        let effects: Vec<Effect> = open
            .iter()
            .flat_map(|send| solo.failed(send, Verdict::NotRun, Cause::Full))
            .collect();
        assert!(replies(&effects).is_empty(), "no answer is cut");
        open = sends(&effects);
        open.extend(sends(&pass_with_alive(&mut solo, 100, &["two"])));
    }
    assert!(!open.is_empty(), "the streams are still retried");
}

/// Guards against a server that stays marked as failed unless an answer begins there within 100 ms.
/// The server is silent for a second and its streams move; a later request goes there as a probe,
/// and the next tick moves that one too, at the cost of the retry budget. Each tick moved every
/// request in flight at a failed server, not only those that were there when it failed.
#[test]
fn probe_request_is_not_moved_early() {
    let mut solo = Solo::new(&text(STREAM));
    begin_streams(&mut solo);
    pass_with_alive(&mut solo, 900, &["two"]);
    let mut probe = None;
    for _ in 0..200 {
        pass_with_alive(&mut solo, 100, &["two"]);
        let send = sends(&solo.arrive("a", None)).remove(0);
        if server_name(&send) == "one" {
            probe = Some(send);
            break;
        }
        solo.begun(&send);
        solo.ended(&send);
    }
    let probe = probe.expect("a request probes the failed server");
    let effects = pass_with_alive(&mut solo, 400, &["two"]);
    let again = sends(&effects);
    let moved = again.iter().any(|send| send.request == probe.request);
    assert!(!moved, "its answer may begin after 400 ms");
    let (request, attempt) = (probe.request, probe.attempt);
    let effects = solo.step(Event::Begun { request, attempt });
    let regained = |e: &Effect| matches!(e, Effect::Noted(Note::Recovered(_)));
    assert!(
        effects.iter().any(regained),
        "the recovery is noted for the log"
    );
}
