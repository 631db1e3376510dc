//! A run continues at another engine with its KV cache when its engine leaves, and at most one copy
//! is live at any moment.

mod harness;

use harness::{
    engines::{World, engine, target},
    solo::{news, places, replies, sends},
};
use hyper::StatusCode;
use petreldrum::{
    config::Backend,
    fleet::Change,
    id,
    memory::{
        prompt::Part,
        transfer::{Handle, Handover, Origin},
    },
    platform::{engine::parse_move_answer, record},
    reducer::{
        effect::{Effect, Move, MoveOutcome, Note, Send},
        event::{Cause, Event},
    },
    unit::Millis,
    verdict::Verdict,
};

/// Returns the configuration of a streaming route; `resumable` streams may also run twice.
fn config(resumable: bool, moves: bool) -> String {
    let attempts = if resumable { 2 } else { 1 };
    format!(
        r#"{{"version":1,"routes":[{{"name":"r","host":"h.example","pathPrefix":"/p/","kind":"streaming",
        "timeoutMs":8000,"targetLatencyMs":1000,"priority":1,"service":"s","maxAttempts":{attempts},
        "resumable":{resumable},"gapAimMs":400,"homeRegions":[]}}],"services":[{{"name":"s","coldPerS":9.7,
        "engine":{{"kvTokens":335639,"kvBytes":35136,"linkMbps":100000,"moves":{moves},"handle_s":6}}}}]}}"#
    )
}

fn entry(name: &str, more: &str) -> Backend {
    let port = 1 + name.as_bytes()[0];
    let entry = format!(
        r#"{{"service":"s","address":"10.0.0.1:{port}","zone":"atl-a","slots":64,"born":1{more}}}"#
    );
    let name = name.parse().expect("a name");
    record::parse_server(&name, entry.as_bytes(), &places()).expect("the entry parses")
}

fn ready(name: &str) -> Backend {
    entry(name, r#","state":"ready""#)
}

fn leaving(name: &str, left: u64) -> Backend {
    entry(name, &format!(r#","state":"draining","timeLeftMs":{left}"#))
}

/// A box and engine `a`, which runs one stream for each prompt length; the other engines register
/// afterwards.
struct Scene {
    world: World,
    streams: Vec<Send>,
}

impl Scene {
    fn new(config: &str, prompts: &[u32], others: &[Backend]) -> Self {
        let mut world = World::with("box", config, vec![ready("a")]);
        world.pass(4000);
        let mut streams = Vec::new();
        for (id, tokens) in prompts.iter().enumerate() {
            let part = Part {
                id: id as u64,
                tokens: *tokens,
            };
            let send = world.prompt(&[part]).remove(0);
            assert_eq!(
                (target(&send), send.movable),
                ("a", config.contains("\"moves\":true"))
            );
            world.step(Event::Begun {
                request: send.request,
                attempt: send.attempt,
            });
            streams.push(send);
        }
        for other in others {
            world.step(news(Change::Put(other.clone())));
        }
        Self { world, streams }
    }

    /// Starts one stream, which is not resumable, and registers engine `b`.
    fn with_one_stream() -> Self {
        Self::new(&config(false, true), &[4000], &[ready("b")])
    }

    fn leave(&mut self, left: u64) -> Vec<Effect> {
        self.world.step(news(Change::Put(leaving("a", left))))
    }

    /// Delivers the engine's answer to the call.
    fn answer(&mut self, call: &Move, result: Handover) -> Vec<Effect> {
        self.world.step(Event::Moved {
            request: call.request,
            attempt: call.attempt,
            from: call.from.address,
            result,
        })
    }

    /// Completes the first copy and returns the call that stops the run.
    fn stopping(&mut self) -> Move {
        let first = calls(&self.leave(3000)).remove(0);
        calls(&self.answer(&first, copied("h1"))).remove(0)
    }

    /// Stops the run and returns the request that continues it at `b`.
    fn continued_at_target(&mut self) -> Send {
        let last = self.stopping();
        sends(&self.answer(&last, copied("h2"))).remove(0)
    }

    fn broke(&mut self) -> Vec<Effect> {
        let Send {
            request, attempt, ..
        } = self.streams[0];
        self.world.step(Event::StreamCut { request, attempt })
    }

    fn failed(&mut self, send: &Send, verdict: Verdict, cause: Cause) -> Vec<Effect> {
        self.world.step(Event::Failed {
            request: send.request,
            attempt: send.attempt,
            verdict,
            cause,
        })
    }
}

fn copied(handle: &str) -> Handover {
    let handle = Handle(handle.to_owned());
    Handover::Copied { handle, events: 7 }
}

fn calls(effects: &[Effect]) -> Vec<Move> {
    let call = |e: &Effect| match e {
        Effect::Move(call) => Some(call.clone()),
        _ => None,
    };
    effects.iter().filter_map(call).collect()
}

fn freed(effects: &[Effect]) -> Vec<&str> {
    let free = |e: &'_ Effect| matches!(e, Effect::FreeCopy(_));
    let handle = |e| match e {
        &Effect::FreeCopy(Origin { ref handle, .. }) => handle.0.as_str(),
        _ => unreachable!(),
    };
    effects.iter().filter(|e| free(e)).map(handle).collect()
}

fn ends(effects: &[Effect]) -> Vec<MoveOutcome> {
    let end = |e: &Effect| match e {
        Effect::MoveEnded(carried) => Some(carried.end),
        _ => None,
    };
    effects.iter().filter_map(end).collect()
}

/// A stream on a withdrawn engine was lost if its route was not resumable.
#[test]
fn a_run_goes_on_with_its_memory() {
    let mut scene = Scene::with_one_stream();
    let effects = scene.leave(3000);
    let first = calls(&effects).remove(0);
    assert_eq!(
        (first.last, first.from.name.as_str(), first.to.name.as_str()),
        (false, "a", "b")
    );
    assert!(
        sends(&effects).is_empty(),
        "the run is live at one engine only"
    );
    let effects = scene.answer(&first, copied("h1"));
    let last = calls(&effects).remove(0);
    assert!(last.last && sends(&effects).is_empty());
    let continued = sends(&scene.answer(&last, copied("h2"))).remove(0);
    assert_eq!(target(&continued), "b");
    let origin = continued.continues.clone().expect("it continues the run");
    assert_eq!(
        (origin.address, origin.handle.0.as_str()),
        (first.from.address, "h2")
    );
    assert_eq!(
        continued.basis.number, 1,
        "it does not count as a further attempt"
    );
    let Send {
        request, attempt, ..
    } = continued;
    let effects = scene.world.step(Event::Begun { request, attempt });
    assert_eq!(
        (ends(&effects), freed(&effects).len()),
        (vec![MoveOutcome::Moved], 0)
    );
    let whole = true;
    let timing = Default::default();
    let effects = scene.world.step(Event::Ended {
        request,
        attempt,
        whole,
        timing,
    });
    assert!(ends(&effects).is_empty() && freed(&effects).is_empty());
    assert_eq!(scene.world.state.busy(), 0);
}

#[test]
fn nothing_moves_where_nothing_says_that_it_may() {
    let stays = |config: &str, left: Option<u64>| {
        let mut scene = Scene::new(config, &[4000], &[ready("b")]);
        let change = left.map_or(engine("a", "draining", 0), |left| leaving("a", left));
        let mut effects = scene.world.step(news(Change::Put(change)));
        effects.extend(scene.world.step(Event::Tick));
        calls(&effects).is_empty()
    };
    assert!(
        stays(&config(false, false), Some(3000)),
        "the service moves no runs"
    );
    assert!(stays(&config(false, true), None), "no end time is known");
    assert!(stays(&config(false, true), Some(50)), "too late");
    assert!(!stays(&config(false, true), Some(1000)));
}

#[test]
fn nobody_unfit_gets_a_run() {
    let unfit = [
        entry("b", r#","state":"ready","version":"2""#),
        entry("b", r#","state":"ready","coldRemainingMs":60000"#),
        leaving("b", 5000),
        engine("b", "draining", 0),
    ];
    for other in unfit {
        let mut scene = Scene::new(&config(false, true), &[4000], std::slice::from_ref(&other));
        assert!(calls(&scene.leave(3000)).is_empty(), "{other:?}");
    }
}

#[test]
fn those_worth_most_go_first_and_few_at_once() {
    let prompts = [500, 9000, 700, 600, 8000, 7000, 800];
    let mut scene = Scene::new(&config(false, true), &prompts, &[ready("b"), ready("c")]);
    let first = calls(&scene.leave(3000));
    let mut moved: Vec<u32> = first.iter().map(|call| call.tokens).collect();
    moved.sort_unstable();
    assert_eq!(moved, [800, 7000, 8000, 9000]);
    let effects = scene.world.step(Event::Tick);
    assert!(calls(&effects).is_empty(), "four moves are in progress");
    let effects = scene.answer(&first[0], Handover::Absent);
    assert_eq!(
        calls(&effects).len(),
        1,
        "the next takes the place of one that ended"
    );
}

/// A target without room must not end the run; the next engine is asked, at most three in all.
#[test]
fn a_refused_copy_leaves_the_run_alone() {
    let others = ["b", "c", "d", "e"].map(ready);
    let mut scene = Scene::new(&config(false, true), &[4000], &others);
    let mut call = calls(&scene.leave(3000)).remove(0);
    for _ in 0..2 {
        let effects = scene.answer(&call, Handover::Refused);
        assert_eq!(ends(&effects), [MoveOutcome::Refused]);
        let next = calls(&effects).remove(0);
        assert!(!next.last && next.to != call.to && sends(&effects).is_empty());
        call = next;
    }
    let effects = scene.answer(&call, Handover::Lost);
    assert!(
        calls(&effects).is_empty(),
        "the move is not retried without end"
    );
    assert!(calls(&scene.world.step(Event::Tick)).is_empty());
    assert_eq!(scene.world.state.busy(), 1, "the run goes on");
}

/// The last part of a copy found no room: without a return to the source, the stopped run would be
/// lost.
#[test]
fn a_stopped_run_goes_back_to_its_memory() {
    let mut scene = Scene::with_one_stream();
    let last = scene.stopping();
    let back = scene.answer(&last, Handover::Kept(Handle("h3".to_owned())));
    let back = sends(&back).remove(0);
    let handle = back.continues.clone().expect("the same run").handle;
    assert_eq!((target(&back), handle.0.as_str()), ("a", "h3"));
    let Send {
        request, attempt, ..
    } = back;
    let effects = scene.world.step(Event::Begun { request, attempt });
    assert_eq!(ends(&effects), [MoveOutcome::Returned]);
}

/// A leaving server accepts no new requests from a short time after its announcement.
#[test]
fn nothing_goes_back_late() {
    let mut scene = Scene::with_one_stream();
    let last = scene.stopping();
    scene.world.pass(2000);
    let continued = sends(&scene.answer(&last, Handover::Kept(Handle("h3".to_owned()))));
    assert_eq!(target(&continued[0]), "b", "the first copy is there");
}

/// The answer to the call that stops the run was lost, so the run may still be live.
#[test]
fn a_lost_answer_sends_the_run_nowhere() {
    let mut scene = Scene::with_one_stream();
    let last = scene.stopping();
    let mut effects = scene.answer(&last, Handover::Lost);
    effects.extend(scene.broke());
    effects.extend(scene.world.step(Event::Tick));
    let again = calls(&effects).remove(0);
    assert!(again.last && sends(&effects).is_empty());
    let mut effects = scene.answer(&again, Handover::Lost);
    effects.extend(scene.world.step(Event::Tick));
    assert!(sends(&effects).is_empty() && calls(&effects).is_empty());
    assert_eq!((freed(&effects), replies(&effects).len()), (vec!["h1"], 1));
    assert_eq!(scene.world.state.busy(), 0);
}

#[test]
fn the_second_answer_is_as_good_as_the_first() {
    let mut scene = Scene::with_one_stream();
    let last = scene.stopping();
    scene.answer(&last, Handover::Lost);
    let again = calls(&scene.world.step(Event::Tick)).remove(0);
    assert!(
        scene.broke().is_empty(),
        "the call that stops it is under way"
    );
    let continued = sends(&scene.answer(&again, copied("h2"))).remove(0);
    assert_eq!(target(&continued), "b");
}

/// A run that will not resume kept its copy, which takes a slot elsewhere, until its stream ended.
#[test]
fn a_run_that_goes_on_keeps_no_copy() {
    let mut scene = Scene::with_one_stream();
    let last = scene.stopping();
    assert_eq!(freed(&scene.answer(&last, Handover::Absent)), ["h1"]);
    let mut scene = Scene::with_one_stream();
    let last = scene.stopping();
    scene.answer(&last, Handover::Lost);
    let again = calls(&scene.world.step(Event::Tick)).remove(0);
    let effects = scene.answer(&again, Handover::Lost);
    assert_eq!((freed(&effects), replies(&effects).len()), (vec!["h1"], 0));
    assert!(freed(&scene.broke()).is_empty(), "it is freed once");
    assert_eq!(scene.world.state.busy(), 0);
}

/// A stream without framing ended as complete with its first part: the engine no longer knew the
/// run, because a call whose answer was lost had stopped it.
#[test]
fn a_stop_in_doubt_is_no_end_of_the_run() {
    for closes_first in [true, false] {
        let mut scene = Scene::with_one_stream();
        let last = scene.stopping();
        let Send {
            request, attempt, ..
        } = scene.streams[0];
        let closed = Event::Closed { request, attempt };
        scene.answer(&last, Handover::Lost);
        let again = calls(&scene.world.step(Event::Tick)).remove(0);
        if closes_first {
            assert!(scene.world.step(closed).is_empty());
        }
        let effects = scene.answer(&again, Handover::Absent);
        let complete = |e: &Effect| matches!(e, Effect::CompleteStream { .. });
        assert!(!effects.iter().any(complete));
        let continued = sends(&effects).remove(0);
        let origin = continued.continues.clone().expect("the same run");
        assert_eq!((target(&continued), origin.handle.0.as_str()), ("b", "h1"));
        let back = scene.failed(&continued, Verdict::NotRun, Cause::Full);
        let back = sends(&back).remove(0);
        let effects = scene.failed(&back, Verdict::NotRun, Cause::Full);
        assert!(sends(&effects).is_empty(), "it may have run to its end");
        assert_eq!(replies(&effects)[0].verdict, Verdict::MayHaveRun);
        assert_eq!(scene.world.state.busy(), 0);
    }
}

/// The target refused the request that carried the handle.
#[test]
fn a_target_that_refuses_costs_nothing_but_the_way_back() {
    let mut scene = Scene::with_one_stream();
    let continued = scene.continued_at_target();
    let effects = scene.failed(&continued, Verdict::NotRun, Cause::Full);
    let back = sends(&effects).remove(0);
    assert_eq!((target(&back), back.basis.number), ("a", 1));
    assert!(back.continues.is_some());
    let effects = scene.failed(&back, Verdict::NotRun, Cause::Full);
    assert!(sends(&effects).is_empty(), "no engine prefills it again");
    assert_eq!((freed(&effects), replies(&effects).len()), (vec!["h2"], 1));
}

/// The target failed with the run, which may still be live there, so no other engine may run it.
#[test]
fn a_target_that_dies_ends_what_may_not_run_twice() {
    let mut scene = Scene::with_one_stream();
    let continued = scene.continued_at_target();
    let effects = scene.failed(&continued, Verdict::MayHaveRun, Cause::Broken);
    assert!(sends(&effects).is_empty());
    assert_eq!(
        (ends(&effects), replies(&effects).len()),
        (vec![MoveOutcome::Lost], 1)
    );
}

#[test]
fn a_source_that_dies_midway_ends_the_move() {
    let mut scene = Scene::with_one_stream();
    let first = calls(&scene.leave(3000)).remove(0);
    let effects = scene.broke();
    assert_eq!(
        (ends(&effects), replies(&effects).len()),
        (vec![MoveOutcome::Refused], 1)
    );
    assert_eq!(
        freed(&scene.answer(&first, copied("h1"))),
        ["h1"],
        "no other request uses the copy"
    );
}

#[test]
fn a_caller_that_leaves_frees_both_ends() {
    let gone = |scene: &mut Scene| {
        let request = scene.streams[0].request;
        scene.world.step(Event::Disconnected(request))
    };
    let mut scene = Scene::with_one_stream();
    let first = calls(&scene.leave(3000)).remove(0);
    assert!(freed(&gone(&mut scene)).is_empty());
    assert_eq!(freed(&scene.answer(&first, copied("h1"))), ["h1"]);

    let mut scene = Scene::with_one_stream();
    let last = scene.stopping();
    let effects = gone(&mut scene);
    assert_eq!(freed(&effects), ["h1"]);
    assert!(effects.iter().any(|e| matches!(e, Effect::Abort { .. })));
    assert_eq!(freed(&scene.answer(&last, copied("h2"))), ["h2"]);

    let mut scene = Scene::with_one_stream();
    let continued = scene.continued_at_target();
    let effects = gone(&mut scene);
    let stop = Effect::Abort {
        request: continued.request,
        attempt: continued.attempt,
    };
    assert!(effects.contains(&stop));
    assert_eq!(freed(&effects), ["h2"]);
}

/// A stream that ended while its run was being stopped was treated as cut off.
#[test]
fn a_stream_that_ends_by_itself_is_whole() {
    let mut scene = Scene::with_one_stream();
    let last = scene.stopping();
    let Send {
        request, attempt, ..
    } = scene.streams[0];
    let closed = Event::Closed { request, attempt };
    assert!(scene.world.step(closed.clone()).is_empty());
    let effects = scene.answer(&last, Handover::Absent);
    assert!(effects.contains(&Effect::CompleteStream { request, attempt }));
    assert_eq!(ends(&effects), [MoveOutcome::Ended]);

    let mut scene = Scene::with_one_stream();
    let last = scene.stopping();
    let effects = scene.answer(&last, Handover::Absent);
    assert_eq!(
        (effects.len(), freed(&effects)),
        (1, vec!["h1"]),
        "its end is still to arrive"
    );
    let effects = scene.world.step(closed.clone());
    assert!(effects.contains(&Effect::CompleteStream { request, attempt }));

    let mut scene = Scene::with_one_stream();
    let last = scene.stopping();
    scene.world.step(closed);
    let continued = sends(&scene.answer(&last, copied("h2")));
    assert_eq!(continued.len(), 1, "it was stopped");
}

/// Runs one stream on one engine for each of `prompts`, answers the first copy of the moves under
/// way, and then lets all streams stay silent for 1.5 s.
///
/// Returns the requests being moved and the effects during the silence.
fn silence(prompts: &[u32]) -> (Vec<id::Request>, Vec<Effect>) {
    let both = [ready("b"), ready("c")];
    let mut scene = Scene::new(&config(true, true), prompts, &both);
    let first = calls(&scene.leave(3000));
    for call in &first {
        scene.answer(call, copied("h1"));
    }
    let mut effects = Vec::new();
    for _ in 0..15 {
        scene.world.now = scene.world.now + Millis(100);
        effects.extend(scene.world.step(Event::Tick));
    }
    (first.iter().map(|call| call.request).collect(), effects)
}

/// Streams that are being stopped fall silent together, just as those of a failed server do.
#[test]
fn a_stopped_stream_is_no_sign_of_a_failure() {
    let (_, effects) = silence(&[4000, 4000, 4000]);
    let failed = |e: &Effect| matches!(e, Effect::Noted(Note::Failed(_)));
    assert!(!effects.iter().any(failed));
}

/// When a server did fail, runs that it might already have been stopping were restarted elsewhere,
/// so two copies were live.
#[test]
fn a_run_that_is_being_stopped_is_read_anew_nowhere() {
    let (stopping, effects) = silence(&[9000, 9000, 9000, 9000, 300, 300, 300]);
    let sent: Vec<id::Request> = sends(&effects).iter().map(|send| send.request).collect();
    assert_eq!(sent.len(), 3, "the others go on elsewhere");
    assert!(sent.iter().all(|request| !stopping.contains(request)));
}

#[test]
fn answers_of_engines_read() {
    let handle = || Handle("17".to_owned());
    let cases = [
        (
            200,
            r#"{"handle":"17","created":7}"#,
            Handover::Copied {
                handle: handle(),
                events: 7,
            },
        ),
        (
            200,
            r#"{"handle":17,"created":7}"#,
            Handover::Copied {
                handle: handle(),
                events: 7,
            },
        ),
        (200, "{}", Handover::Lost),
        (200, "<html>", Handover::Lost),
        (503, r#"{"handle":"17"}"#, Handover::Kept(handle())),
        (503, "", Handover::Refused),
        (404, "", Handover::Absent),
        (409, "{}", Handover::Busy),
        (500, r#"{"handle":"17"}"#, Handover::Lost),
    ];
    for (status, content, expected) in cases {
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(
            parse_move_answer(status, content.as_bytes()),
            expected,
            "{status} {content}"
        );
    }
}
