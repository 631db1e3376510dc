//! Requests that resume moved runs and that no engine accepts stay within the retry budget.

mod harness;

use std::collections::BTreeSet;

use harness::{
    engines::World,
    solo::{contact, news, places},
};
use petreldrum::{
    config::Backend,
    fleet::Change,
    id::Request,
    memory::{
        prompt::Part,
        transfer::{Handle, Handover},
    },
    platform::record,
    reducer::{
        effect::{Effect, Move, MoveOutcome, Send},
        event::{Cause, Event},
    },
    retry::{Limits, Outcome},
    settings::Seed,
    unit::Millis,
    verdict::Verdict,
    wire::Body,
};

const LIMITS: Limits = Limits {
    ratio: 0.2,
    slack: Some(5.0),
};
/// Streams on the engine that leaves, over all boxes.
const STREAMS: usize = 48;

/// How engines answer the call that stops a run and the request that resumes it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Engines {
    /// The run resumes.
    Accept,
    /// Nobody resumes it.
    Refuse,
    /// The answer to the first call is lost, and nobody resumes the run.
    LoseStop,
    /// The engine that holds the copy dies while it is asked.
    Break,
    /// All engines but the first are full.
    Full,
}

fn config(resumable: bool) -> String {
    let attempts = if resumable { 3 } else { 1 };
    format!(
        r#"{{"version":1,"routes":[{{"name":"r","host":"h.example","pathPrefix":"/p/","kind":"streaming",
        "timeoutMs":8000,"targetLatencyMs":1000,"priority":1,"service":"s","maxAttempts":{attempts},
        "resumable":{resumable},"gapAimMs":400,"homeRegions":[]}}],"services":[{{"name":"s","coldPerS":9.7,
        "engine":{{"kvTokens":335639,"kvBytes":35136,"linkMbps":100000,"moves":true,"handle_s":6}}}}]}}"#
    )
}

fn entry(name: &str, state: &str) -> Backend {
    let port = name.as_bytes()[0];
    let entry = format!(
        r#"{{"service":"s","address":"10.0.0.1:{port}","zone":"atl-a","slots":64,"born":1,{state}}}"#
    );
    let name = name.parse().expect("a name");
    record::parse_server(&name, entry.as_bytes(), &places()).expect("the entry parses")
}

/// Boxes that know each other, all with streams on engine `a`, and what became of them.
struct Fleet {
    boxes: Vec<World>,
    engines: Engines,
    /// Requests that a server got beyond the first of each stream, resumed runs left out.
    repeats: usize,
    /// Runs that an engine was asked to stop.
    stopped: BTreeSet<(usize, Request)>,
    moved: usize,
    outcomes: Vec<Outcome>,
}

impl Fleet {
    fn new(boxes: usize, resumable: bool, engines: Engines) -> Self {
        let ready = || vec![entry("a", r#""state":"ready""#)];
        let start = |number| World::with(&format!("box-{number}"), &config(resumable), ready());
        let mut fleet = Self {
            boxes: (0..boxes).map(start).collect(),
            engines,
            repeats: 0,
            stopped: BTreeSet::new(),
            moved: 0,
            outcomes: vec![],
        };
        for world in &mut fleet.boxes {
            let gossip = contact("seed", "atl", 90).gossip;
            let seed = Seed {
                gossip,
                region: None,
            };
            world.step(Event::Reloaded {
                seeds: vec![seed],
                retry: LIMITS,
            });
        }
        fleet.pass(12_000);
        for number in 0..boxes {
            for id in 0..STREAMS / boxes {
                let part = Part {
                    id: id as u64,
                    tokens: 4000,
                };
                let world = &mut fleet.boxes[number];
                let send = world.prompt(&[part]).remove(0);
                let begun = Event::Begun {
                    request: send.request,
                    attempt: send.attempt,
                };
                world.step(begun);
            }
        }
        for world in &mut fleet.boxes {
            for name in ["b", "c", "d"] {
                let ready = entry(name, r#""state":"ready""#);
                world.step(news(Change::Put(ready)));
            }
        }
        fleet
    }

    /// Engine `a` leaves; the boxes act for the time that it still runs.
    fn leave(&mut self) {
        for number in 0..self.boxes.len() {
            let leaving = entry("a", r#""state":"draining","timeLeftMs":3000"#);
            let effects = self.boxes[number].step(news(Change::Put(leaving)));
            self.apply(number, effects);
        }
        self.pass(3000);
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            for number in 0..self.boxes.len() {
                let world = &mut self.boxes[number];
                world.now = world.now + Millis(100);
                let effects = world.step(Event::Tick);
                self.apply(number, effects);
            }
        }
    }

    fn apply(&mut self, number: usize, effects: Vec<Effect>) {
        for effect in effects {
            let event = match effect {
                Effect::Move(call) => Some(self.answer(number, &call)),
                Effect::Send(send) => Some(self.receive(&send)),
                Effect::Gossip { frame, .. } if matches!(frame.body, Body::Heartbeat(_)) => {
                    for (other, world) in self.boxes.iter_mut().enumerate() {
                        if other != number {
                            world.step(Event::Received(frame.clone()));
                        }
                    }
                    None
                }
                Effect::MoveEnded(report) => {
                    self.moved += usize::from(report.end == MoveOutcome::Moved);
                    None
                }
                Effect::Repeat(repeat) => {
                    self.outcomes.push(repeat.outcome);
                    None
                }
                _ => None,
            };
            if let Some(event) = event {
                let effects = self.boxes[number].step(event);
                self.apply(number, effects);
            }
        }
    }

    fn answer(&mut self, number: usize, call: &Move) -> Event {
        let first = call.last && self.stopped.insert((number, call.request));
        let result = match self.engines {
            Engines::LoseStop if first => Handover::Lost,
            Engines::LoseStop if call.last => Handover::Absent,
            _ => Handover::Copied {
                handle: Handle(format!("h{}", call.request.0)),
                events: 7,
            },
        };
        Event::Moved {
            request: call.request,
            attempt: call.attempt,
            from: call.from.address,
            result,
        }
    }

    fn receive(&mut self, send: &Send) -> Event {
        let Send {
            request, attempt, ..
        } = *send;
        let resumes = send.continues.is_some();
        if self.engines == Engines::Accept || !resumes && self.engines != Engines::Full {
            self.repeats += usize::from(!resumes);
            return Event::Begun { request, attempt };
        }
        self.repeats += 1;
        let (verdict, cause) = match self.engines {
            Engines::Full => (Verdict::NotRun, Cause::Full),
            Engines::Break => (Verdict::MayHaveRun, Cause::Broken),
            _ => (Verdict::NotRun, Cause::Refused),
        };
        Event::Failed {
            request,
            attempt,
            verdict,
            cause,
        }
    }

    /// Ends all requests, lets the windows of the budget pass, and returns what the boxes still
    /// count as spent.
    fn left_over(&mut self) -> u32 {
        for number in 0..self.boxes.len() {
            for request in (1..=STREAMS as u64).map(Request) {
                let effects = self.boxes[number].step(Event::Disconnected(request));
                self.apply(number, effects);
            }
        }
        self.pass(25_000);
        let spent = |world: &mut World| {
            let rows = world.state.repeats(world.now);
            rows.iter().map(|row| row.balance.spent).sum::<u32>()
        };
        self.boxes.iter_mut().map(spent).sum()
    }

    fn count(&self, outcome: Outcome) -> usize {
        self.outcomes.iter().filter(|o| **o == outcome).count()
    }
}

/// 48 runs of one engine were to move, and nobody resumed them: the box alone made 27 attempts of
/// the 14 allowed.
#[test]
fn refused_resumes_exceed_the_budget() {
    let allowed = LIMITS.ratio * STREAMS as f64 + 5.0;
    for boxes in [1, 2, 4] {
        for resumable in [false, true] {
            for engines in [Engines::Refuse, Engines::LoseStop, Engines::Break] {
                let mut fleet = Fleet::new(boxes, resumable, engines);
                fleet.leave();
                let context = format!("{boxes} boxes, resumable {resumable}, {engines:?}");
                let stopped = fleet.stopped.len();
                assert!(stopped > 0, "{context}: no run was stopped");
                assert!(
                    fleet.repeats as f64 <= allowed,
                    "{context}: {} > {allowed}",
                    fleet.repeats
                );
                assert!(fleet.count(Outcome::Postponed) > 0, "{context}");
                assert!(
                    stopped <= fleet.repeats,
                    "{context}: {stopped} runs were stopped, {} attempts made",
                    fleet.repeats
                );
                assert_eq!(fleet.left_over(), 0, "{context}: an attempt stays reserved");
            }
        }
    }
}

/// Runs that resume count as the same runs: the budget must not keep any from moving.
#[test]
fn accepted_resumes_are_free() {
    for boxes in [1, 2, 4] {
        let mut fleet = Fleet::new(boxes, false, Engines::Accept);
        fleet.leave();
        assert_eq!(fleet.moved, STREAMS, "{boxes} boxes");
        assert_eq!(fleet.count(Outcome::NotResumed), 0, "{boxes} boxes");
        for world in &mut fleet.boxes {
            let rows = world.state.repeats(world.now);
            assert!(rows.iter().all(|row| row.balance.spent == 0), "{rows:?}");
        }
    }
}

/// A server fell silent, and its streams were sent to full servers again and again.
#[test]
fn streams_off_a_silent_server_exceed_the_budget() {
    let allowed = LIMITS.ratio * STREAMS as f64 + 5.0;
    for boxes in [1, 2, 4] {
        let mut fleet = Fleet::new(boxes, true, Engines::Full);
        fleet.pass(6000);
        let attempts = fleet.repeats;
        assert!(attempts > 0, "{boxes} boxes: no stream was sent on");
        assert!(
            attempts as f64 <= allowed,
            "{boxes} boxes: {attempts} > {allowed}"
        );
    }
}
