//! Fuzzes moves of runs between engines while engines, callers and calls fail at any step.
//!
//! At most one copy of a run is live, no copy is used twice, no copy is left behind, and a stream is
//! never complete unless its run ended on its own.

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
    /// The engine and the handle of the copy with which it was sent to continue.
    continues: Option<(String, String)>,
    /// Whether an engine was asked to stop it.
    stop_requested: bool,
    /// Whether the answer to such a call was lost.
    stop_lost: bool,
    /// Whether the close of its connection ends its stream.
    unframed: bool,
    /// Whether it ended on its own, with all its events.
    whole: bool,
    /// Whether the box was notified that its stream closed.
    closed: bool,
}

/// Why a copy cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyEnd {
    /// The box freed it.
    Freed,
    /// A run continued from it.
    Used,
    /// The engine gave the copy another handle.
    Replaced,
    Expired,
}

/// A copy that was reported to the box.
#[derive(Debug)]
struct Copy {
    run: Request,
    engines: BTreeSet<String>,
    end: Option<CopyEnd>,
}

impl Copy {
    fn of(call: &Move) -> Self {
        let engines = [call.from.name.to_string(), call.to.name.to_string()];
        Self {
            run: call.request,
            engines: engines.into(),
            end: None,
        }
    }
}

struct Model {
    world: World,
    resumable: bool,
    runs: BTreeMap<Request, Run>,
    calls: Vec<Move>,
    copies: BTreeMap<String, Copy>,
    handles: u32,
    /// Streams that the box ended as complete.
    completed: Vec<(Request, Attempt)>,
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
            completed: vec![],
        }
    }

    fn step(&mut self, event: Event) {
        for effect in self.world.step(event) {
            self.apply(effect);
        }
        for (request, attempt) in std::mem::take(&mut self.completed) {
            self.step(Event::Ended {
                request,
                attempt,
                whole: true,
                timing: Default::default(),
            });
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
                self.end_copy(&origin.handle.0, CopyEnd::Freed);
            }
            Effect::Abort { request, .. } | Effect::DetachStream { request, .. } => {
                if let Some(run) = self.runs.get_mut(&request) {
                    (run.live, run.closed) = (false, true);
                }
            }
            Effect::Reply { request, .. } => {
                self.runs.remove(&request);
            }
            Effect::CompleteStream { request, attempt } => {
                self.completed.push((request, attempt));
                let run = self.runs.remove(&request);
                let is_whole = run.as_ref().is_some_and(|run| run.whole);
                assert!(is_whole, "an incomplete stream ends as complete: {run:?}");
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
                let handle = &origin.handle.0;
                let copy = &self.copies[handle];
                // An engine that knows no such run after a lost answer may have stopped it.
                assert!(
                    run.stopped.as_ref() == Some(handle) || run.stop_lost,
                    "the run was not stopped"
                );
                assert!(
                    !matches!(copy.end, Some(CopyEnd::Freed | CopyEnd::Used))
                        && copy.run == send.request,
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
        let name = target(&send).to_owned();
        let continues = send.continues.as_ref().map(|o| (name, o.handle.0.clone()));
        let same_run = before.filter(|_| continues.is_some());
        let run = Run {
            attempt: send.attempt,
            begun: false,
            live: false,
            stopped: same_run.and_then(|run| run.stopped.clone()),
            handle: None,
            continues,
            stop_requested: false,
            stop_lost: same_run.is_some_and(|run| run.stop_lost),
            unframed: false,
            whole: false,
            closed: false,
            ran: before.is_some_and(|run| run.ran),
        };
        self.runs.insert(send.request, run);
    }

    fn end_copy(&mut self, handle: &str, end: CopyEnd) {
        if let Some(copy) = self.copies.get_mut(handle) {
            copy.end.get_or_insert(end);
        }
    }

    /// Reports whether the engine that a request was sent to runs it: a copy serves once, for a run
    /// that was stopped.
    fn is_admitted(&self, run: &Run) -> bool {
        run.continues.as_ref().is_none_or(|(engine, handle)| {
            let copy = &self.copies[handle];
            let usable = copy.end.is_none() && copy.engines.contains(engine);
            usable && run.stopped.as_ref() == Some(handle)
        })
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
        let result = self.carry_out(&call, choice % 8, choice & 8 != 0);
        let run = self.runs.get_mut(&call.request);
        if let Some(run) = run.filter(|run| run.attempt == call.attempt) {
            run.stop_lost |= call.last && result == Handover::Lost;
        }
        self.step(Event::Moved {
            request: call.request,
            attempt: call.attempt,
            from: call.from.address,
            result,
        });
    }

    fn new_handle(&mut self) -> String {
        self.handles += 1;
        format!("h{}", self.handles)
    }

    /// Carries out a call at its engine and returns what the box is told. With `rename` the copy
    /// gets another handle than before.
    fn carry_out(&mut self, call: &Move, kind: u8, rename: bool) -> Handover {
        let gone = !self.runs.contains_key(&call.request);
        let run = self.runs.get(&call.request);
        let run = run.filter(|run| run.attempt == call.attempt && run.begun);
        let (live, stopped, handle) = match run {
            Some(run) if run.live || run.stopped.is_some() => {
                (run.live, run.stopped.clone(), run.handle.clone())
            }
            _ if kind == 0 => return Handover::Lost,
            // The copy was made before the caller left.
            _ if gone && matches!(kind, 4 | 5) => {
                let name = self.new_handle();
                let copy = Copy::of(call);
                self.copies.insert(name.clone(), copy);
                let handle = Handle(name);
                return Handover::Copied { handle, events: 1 };
            }
            _ => return Handover::Absent,
        };
        match kind {
            0 => return Handover::Lost,
            1 if !call.last => return Handover::Refused,
            2 if !live => return Handover::Busy,
            // A stopped run is no longer known, unless the engine answers a repeated call alike.
            4..=7 if !live => return Handover::Absent,
            _ => {}
        }
        let old = stopped.or(handle).filter(|_| !rename);
        let name = old.unwrap_or_else(|| self.new_handle());
        let run = self.runs.get_mut(&call.request).expect("a known run");
        let before = run.handle.replace(name.clone());
        if call.last {
            run.live = false;
            run.stopped = Some(name.clone());
        }
        if let Some(before) = before.filter(|before| *before != name) {
            self.end_copy(&before, CopyEnd::Replaced);
        }
        // The call took effect, but the answer is lost.
        if kind == 3 {
            return Handover::Lost;
        }
        self.copies.insert(name.clone(), Copy::of(call));
        let handle = Handle(name);
        match kind {
            1 => Handover::Kept(handle),
            _ => Handover::Copied { handle, events: 1 },
        }
    }

    /// Ends the stream of a run: `whole`, or else by a close without its end or by a reset.
    fn end(&mut self, request: Request, whole: bool, reset: bool) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        (run.live, run.closed, run.whole) = (false, true, whole);
        let attempt = run.attempt;
        let timing = Default::default();
        if run.unframed && run.stop_requested && !reset {
            return self.step(Event::Closed { request, attempt });
        }
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

    /// A sent request arrives at its engine, which runs it unless the copy cannot be used.
    fn arrive(&mut self, request: Request, unframed: bool) {
        if !self.is_admitted(&self.runs[&request]) {
            return self.fail(request, false);
        }
        let run = self.runs.get_mut(&request).expect("a tracked request");
        (run.begun, run.live, run.ran) = (true, true, true);
        (run.unframed, run.stop_lost) = (unframed, false);
        (run.stopped, run.handle) = (None, None);
        let attempt = run.attempt;
        if let Some((_, handle)) = run.continues.take() {
            self.end_copy(&handle, CopyEnd::Used);
        }
        self.step(Event::Begun { request, attempt });
    }

    /// A sent request fails before its answer: it is refused, or its connection broke, and then its
    /// engine may have started from the copy.
    fn fail(&mut self, request: Request, broke: bool) {
        let used = broke && self.is_admitted(&self.runs[&request]);
        let run = self.runs.get_mut(&request).expect("a tracked request");
        run.ran |= broke;
        run.closed = true;
        let attempt = run.attempt;
        let used = run.continues.clone().filter(|_| used);
        if let Some((_, handle)) = used {
            self.end_copy(&handle, CopyEnd::Used);
        }
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

    fn act(&mut self, kind: u8, choice: u8) {
        let streaming = |run: &Run| run.begun && run.live;
        let waiting = |run: &Run| !run.begun && !run.closed;
        match kind % 13 {
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
                    self.arrive(request, choice & 64 != 0);
                }
            }
            7 | 8 => self.answer(choice),
            9 => {
                // A stopped stream closes; a live one ends or breaks.
                let open =
                    |run: &Run| run.begun && !run.closed && (run.live || run.stopped.is_some());
                if let Some(request) = self.pick(choice, open) {
                    let live = self.runs[&request].live;
                    let whole = live && choice >= 128;
                    // Only a stop closes a stream as its own end does.
                    let reset = !whole && (live || choice & 64 != 0);
                    self.end(request, whole, reset);
                }
            }
            10 => {
                if let Some(request) = self.pick(choice, waiting) {
                    self.fail(request, !choice.is_multiple_of(2));
                }
            }
            11 => {
                let fit = self.copies.iter().filter(|(_, copy)| copy.end.is_none());
                let fit: Vec<String> = fit.map(|(handle, _)| handle.clone()).collect();
                if let Some(handle) = fit.get(usize::from(choice) % fit.len().max(1)) {
                    self.end_copy(handle, CopyEnd::Expired);
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

    /// Starts runs, one of whose engines then leaves, and makes the first copies.
    fn withdraw(&mut self, choice: u8) {
        for number in 0..ENGINES.len() as u8 {
            self.act(0, number);
            self.act(5, choice ^ number);
        }
        self.act(3, 0xf0 + choice % ENGINES.len() as u8);
        self.answer(7);
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
            .filter(|(_, copy)| copy.end.is_none())
            .collect();
        assert!(left.is_empty(), "copies left behind: {left:?}");
        assert_eq!(self.world.state.busy(), 0, "requests left open");
    }
}

#[test]
fn any_order_of_events_keeps_one_live_copy() {
    bolero::check!()
        .with_type::<(bool, Option<u8>, Vec<(u8, u8)>)>()
        .for_each(|(resumable, withdrawn, steps)| {
            let mut model = Model::new(*resumable);
            if let Some(choice) = withdrawn {
                model.withdraw(*choice);
            }
            for (kind, choice) in steps {
                model.act(*kind, *choice);
            }
            model.finish();
        });
}
