//! Fuzzes moves of runs between engines while engines, callers and calls fail at any step.
//!
//! At most one copy of a run is live, no copy is used twice, and no copy is left behind.

mod harness;

use std::collections::{BTreeMap, BTreeSet};

use harness::{
    engines::{World, target},
    solo::{news, places},
};
use petreldrum::{
    fleet::Change,
    id::{Attempt, Request},
    memory::{
        prompt::Part,
        transfer::{Handle, Handover},
    },
    platform::record,
    reducer::{
        effect::{Effect, Move, Send},
        event::{Cause, Event},
    },
    unit::Millis,
    verdict::Verdict,
};

const ENGINES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn config(resumable: bool) -> String {
    let attempts = if resumable { 3 } else { 1 };
    format!(
        r#"{{"version":1,"routes":[{{"name":"r","host":"h.example","pathPrefix":"/p/","kind":"streaming",
        "timeoutMs":8000,"targetLatencyMs":1000,"priority":1,"service":"s","maxAttempts":{attempts},
        "resumable":{resumable},"gapAimMs":400,"homeRegions":[]}}],"services":[{{"name":"s","coldPerS":0,
        "engine":{{"kvTokens":335639,"kvBytes":35136,"linkMbps":100000,"moves":true,"handle_s":6}}}}]}}"#
    )
}

fn change(index: usize, state: &str, born: u64) -> Change {
    let entry = format!(
        r#"{{"service":"s","address":"10.0.0.{index}:1","zone":"atl-a","slots":4,"born":{born},{state}}}"#
    );
    let name = ENGINES[index].parse().expect("a name");
    Change::Put(record::parse_server(&name, entry.as_bytes(), &places()).expect("the entry parses"))
}

/// Actual state of one request, which the box only partly knows.
#[derive(Debug)]
struct Run {
    attempt: Attempt,
    /// Whether it may have run at any engine.
    ran: bool,
    begun: bool,
    /// Whether an engine is running it.
    live: bool,
    /// Handle of the copy from which it can continue once it is stopped.
    stopped: Option<String>,
    /// Handle of its copies at the engine that runs it.
    handle: Option<String>,
    /// Whether an engine was asked to stop it.
    stop_requested: bool,
    /// Whether the box was notified that its stream closed.
    closed: bool,
}

/// A copy that was reported to the box.
#[derive(Debug)]
struct Copy {
    run: Request,
    engines: BTreeSet<String>,
    released: bool,
}

struct Model {
    world: World,
    resumable: bool,
    runs: BTreeMap<Request, Run>,
    calls: Vec<Move>,
    copies: BTreeMap<String, Copy>,
    handles: u32,
}

impl Model {
    fn new(resumable: bool) -> Self {
        let ready = |index| match change(index, r#""state":"ready""#, 1) {
            Change::Put(backend) => backend,
            other => panic!("{other:?}"),
        };
        let engines = (0..ENGINES.len()).map(ready).collect();
        let mut world = World::with("box", &config(resumable), engines);
        world.pass(4000);
        Self {
            world,
            resumable,
            runs: BTreeMap::new(),
            calls: vec![],
            copies: BTreeMap::new(),
            handles: 0,
        }
    }

    fn step(&mut self, event: Event) {
        for effect in self.world.step(event) {
            self.apply(effect);
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Send(send) => self.sent(send),
            Effect::Move(call) => {
                if let Some(run) = self.runs.get_mut(&call.request) {
                    run.stop_requested |= call.last;
                }
                self.calls.push(call);
            }
            Effect::FreeCopy(origin) => {
                if let Some(copy) = self.copies.get_mut(&origin.handle.0) {
                    copy.released = true;
                }
            }
            Effect::Abort { request, .. } | Effect::DetachStream { request, .. } => {
                if let Some(run) = self.runs.get_mut(&request) {
                    (run.live, run.closed) = (false, true);
                }
            }
            Effect::Reply { request, .. } | Effect::CompleteStream { request, .. } => {
                self.runs.remove(&request);
            }
            _ => {}
        }
    }

    fn sent(&mut self, send: Send) {
        let before = self.runs.remove(&send.request);
        let before = before.as_ref();
        assert!(
            before.is_none_or(|run| !run.live),
            "two live copies: {send:?}"
        );
        match (&send.continues, before) {
            (Some(origin), Some(run)) => {
                let copy = &self.copies[&origin.handle.0];
                assert_eq!(
                    run.stopped.as_ref(),
                    Some(&origin.handle.0),
                    "the run was not stopped"
                );
                assert!(
                    !copy.released && copy.run == send.request,
                    "a released copy, or one of another run: {copy:?}"
                );
                assert!(
                    copy.engines.contains(target(&send)),
                    "the target holds no copy"
                );
            }
            (Some(_), None) => panic!("continues a run that was never started"),
            (None, Some(run)) => assert!(self.resumable || !run.ran, "it may have run before"),
            (None, None) => {}
        }
        let stopped = send
            .continues
            .as_ref()
            .map(|origin| origin.handle.0.clone());
        let run = Run {
            attempt: send.attempt,
            begun: false,
            live: false,
            stopped,
            handle: None,
            stop_requested: false,
            closed: false,
            ran: before.is_some_and(|run| run.ran),
        };
        self.runs.insert(send.request, run);
    }

    fn pick(&self, choice: u8, fit: impl Fn(&Run) -> bool) -> Option<Request> {
        let fit: Vec<Request> = self
            .runs
            .iter()
            .filter(|(_, run)| fit(run))
            .map(|(r, _)| *r)
            .collect();
        fit.get(usize::from(choice) % fit.len().max(1)).copied()
    }

    /// Carries out one pending call at its engine and reports the result to the box.
    fn answer(&mut self, choice: u8) {
        if self.calls.is_empty() {
            return;
        }
        let call = self
            .calls
            .remove(usize::from(choice >> 4) % self.calls.len());
        let gone = !self.runs.contains_key(&call.request);
        let run = self
            .runs
            .get_mut(&call.request)
            .filter(|run| run.attempt == call.attempt);
        let known = run.filter(|run| run.begun && (run.live || run.stopped.is_some()));
        let result = match (known, choice % 8) {
            (_, 0) => Handover::Lost,
            // The copy was made before the caller left.
            (None, 4 | 5) if gone => {
                self.handles += 1;
                let name = format!("h{}", self.handles);
                let copy = Copy {
                    run: call.request,
                    engines: BTreeSet::new(),
                    released: false,
                };
                self.copies.insert(name.clone(), copy);
                let handle = Handle(name);
                Handover::Copied { handle, events: 1 }
            }
            (None, _) => Handover::Absent,
            (Some(run), kind) => {
                let refused = kind == 1;
                if !call.last && refused {
                    Handover::Refused
                } else if kind == 2 && !run.live {
                    Handover::Busy
                } else {
                    let name = || {
                        self.handles += 1;
                        format!("h{}", self.handles)
                    };
                    let handle = run
                        .stopped
                        .clone()
                        .or(run.handle.clone())
                        .unwrap_or_else(name);
                    run.handle = Some(handle.clone());
                    if call.last {
                        run.live = false;
                        run.stopped = Some(handle.clone());
                    }
                    let engines = [call.from.name.to_string(), call.to.name.to_string()];
                    let copy = Copy {
                        run: call.request,
                        engines: engines.into(),
                        released: false,
                    };
                    let name = Handle(handle.clone());
                    // The run stopped, but the answer is lost.
                    if kind == 3 {
                        Handover::Lost
                    } else {
                        self.copies.insert(handle, copy);
                        match refused {
                            true => Handover::Kept(name),
                            false => Handover::Copied {
                                handle: name,
                                events: 1,
                            },
                        }
                    }
                }
            }
        };
        self.step(Event::Moved {
            request: call.request,
            attempt: call.attempt,
            from: call.from.address,
            result,
        });
    }

    fn end(&mut self, request: Request, whole: bool) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        (run.live, run.closed) = (false, true);
        let attempt = run.attempt;
        let timing = Default::default();
        if !whole && (self.resumable || run.stop_requested) {
            return self.step(Event::StreamCut { request, attempt });
        }
        self.runs.remove(&request);
        self.step(Event::Ended {
            request,
            attempt,
            whole,
            timing,
        });
    }

    fn act(&mut self, kind: u8, choice: u8) {
        let streaming = |run: &Run| run.begun && run.live;
        let waiting = |run: &Run| !run.begun && !run.closed;
        match kind % 12 {
            0 => {
                let part = Part {
                    id: u64::from(choice),
                    tokens: 100 + 40 * u32::from(choice),
                };
                for send in self.world.prompt(&[part]) {
                    self.sent(send);
                }
            }
            1 | 2 => {
                self.world.now = self.world.now + Millis(100);
                self.step(Event::Tick);
            }
            3 => {
                let left = 200 * u64::from(choice >> 4);
                let state = format!(r#""state":"draining","timeLeftMs":{left}"#);
                self.step(news(change(usize::from(choice) % ENGINES.len(), &state, 1)));
            }
            4 => {
                let born = 2 + self.world.now.0;
                self.step(news(change(
                    usize::from(choice) % ENGINES.len(),
                    r#""state":"ready""#,
                    born,
                )));
            }
            5 | 6 => {
                if let Some(request) = self.pick(choice, waiting) {
                    let run = self
                        .runs
                        .get_mut(&request)
                        .expect("a picked request is tracked");
                    (run.begun, run.live, run.ran) = (true, true, true);
                    let used = run.stopped.take();
                    if let Some(copy) = used.and_then(|handle| self.copies.get_mut(&handle)) {
                        copy.released = true;
                    }
                    let attempt = run.attempt;
                    self.step(Event::Begun { request, attempt });
                }
            }
            7 | 8 => self.answer(choice),
            9 => {
                // A stopped stream closes; a live one ends or breaks.
                let open =
                    |run: &Run| run.begun && !run.closed && (run.live || run.stopped.is_some());
                if let Some(request) = self.pick(choice, open) {
                    let live = self.runs[&request].live;
                    let stopped = self.runs[&request].stopped.clone();
                    self.end(request, live && choice >= 128);
                    if let (Some(handle), Some(run)) = (stopped, self.runs.get_mut(&request)) {
                        run.stopped.get_or_insert(handle);
                    }
                }
            }
            10 => {
                if let Some(request) = self.pick(choice, waiting) {
                    let run = self
                        .runs
                        .get_mut(&request)
                        .expect("a picked request is tracked");
                    let broke = !choice.is_multiple_of(2);
                    run.ran |= broke;
                    run.closed = true;
                    // An engine whose connection broke may have started from the copy, which can be
                    // used once.
                    let used = run.stopped.clone().filter(|_| broke);
                    if let Some(copy) = used.and_then(|handle| self.copies.get_mut(&handle)) {
                        copy.released = true;
                    }
                    let attempt = run.attempt;
                    let (verdict, cause) = match broke {
                        false => (Verdict::NotRun, Cause::Full),
                        true => (Verdict::MayHaveRun, Cause::Broken),
                    };
                    self.step(Event::Failed {
                        request,
                        attempt,
                        verdict,
                        cause,
                    });
                }
            }
            _ => {
                if let Some(request) = self.pick(choice, streaming) {
                    self.runs.remove(&request);
                    self.step(Event::Disconnected(request));
                }
            }
        }
    }

    /// Disconnects all callers, answers all calls and asserts that no request or copy is left.
    fn finish(mut self) {
        // Queued requests are sent or reach their deadline.
        for _ in 0..90 {
            while let Some((request, _)) = self.runs.pop_first() {
                self.step(Event::Disconnected(request));
            }
            while !self.calls.is_empty() {
                self.answer(7);
            }
            self.world.now = self.world.now + Millis(100);
            self.step(Event::Tick);
        }
        let left: Vec<_> = self
            .copies
            .iter()
            .filter(|(_, copy)| !copy.released)
            .collect();
        assert!(left.is_empty(), "copies left behind: {left:?}");
        assert_eq!(self.world.state.busy(), 0, "requests left open");
    }
}

#[test]
fn any_order_of_events_keeps_one_live_copy() {
    bolero::check!()
        .with_type::<(bool, Vec<(u8, u8)>)>()
        .for_each(|(resumable, steps)| {
            let mut model = Model::new(*resumable);
            for (kind, choice) in steps {
                model.act(*kind, *choice);
            }
            model.finish();
        });
}
