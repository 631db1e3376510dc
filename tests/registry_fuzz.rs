//! Fuzzes one box on a platform where backend servers register themselves, with requests, outcomes,
//! registry changes and time in any order, and checks invariants of each request.

mod harness;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use harness::solo::{contact, evacuated, news, places};
use petreldrum::{
    config::Backend,
    fleet::Change,
    id::{self, Domain, Incarnation},
    limit::{Announcement, PROBE_RATE},
    platform::record,
    policy::Balanced,
    reducer::{
        Identity, State,
        effect::{Effect, Send, Target},
        event::{Activity, Arrival, Cause, Credential, Event, Hop, Key, Source},
    },
    unit::{Millis, Rate, Time},
    verdict::Verdict,
    wire::NameHash,
};

const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"safe","host":"h","pathPrefix":"/safe/","kind":"idempotent","timeoutMs":2000,
  "targetLatencyMs":400,"service":"s","maxAttempts":2},
 {"name":"once","host":"h","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":2000,
  "targetLatencyMs":400,"service":"s","maxAttempts":1},
 {"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming","timeoutMs":4000,
  "targetLatencyMs":800,"service":"s","maxAttempts":2,"resumable":true,"gapAimMs":400},
 {"name":"away","host":"h","pathPrefix":"/away/","kind":"idempotent","timeoutMs":2000,
  "targetLatencyMs":400,"service":"s","maxAttempts":2,"homeRegions":["mcn"]}],
 "services":[{"name":"s","coldPerS":8.0}],"limits":{}}"#;
const PATHS: [&str; 4] = ["/safe/x", "/once/x", "/stream/x", "/away/x"];
/// Maximum number of backend servers that may run a request of each path.
const MAX_RUNS: [usize; 4] = [2, 1, 2, 2];
const SERVERS: usize = 4;
/// Maximum number of requests that a cold server may receive from all boxes within a second.
const MAX_COLD_PER_SECOND: usize = 15;

/// Limits in the answers of backend servers.
const LIMIT_HEADERS: [Announcement; 6] = [
    Announcement::Absent,
    Announcement::Unreadable,
    Announcement::Rate(Rate(0.0)),
    Announcement::Rate(Rate(0.5)),
    Announcement::Rate(Rate(2.0)),
    Announcement::Rate(Rate(20.0)),
];

/// A limit that a backend server named, and the requests that it received since.
struct Limited {
    rate: Rate,
    at: Time,
    since: Time,
    received: usize,
}

impl Limited {
    /// Returns the number of requests that one box may have sent since then: the rate, plus one
    /// second of it and one request saved up.
    fn max_requests(&self, now: Time) -> usize {
        let rate = self.rate.0.max(PROBE_RATE.0);
        let seconds = now.since(self.since).0 as f64 / 1000.0;
        (rate * (seconds + 1.0)) as usize + 1
    }
}

/// Actual state of one request, as its caller sees it.
#[derive(Default)]
struct Tracked {
    path: usize,
    open: Option<Send>,
    begun: bool,
    runs: usize,
    may_have_run: bool,
    finished: bool,
}

struct World {
    state: State<Balanced>,
    now: Time,
    requests: HashMap<id::Request, Tracked>,
    last_request: u64,
    replacements: [u64; SERVERS],
    /// Number of times that each server was started under its current name, counted from one.
    starts: [u64; SERVERS],
    leaving: BTreeSet<String>,
    evacuated: bool,
    cold: HashMap<String, (Time, Vec<Time>)>,
    limited: HashMap<String, Limited>,
}

fn backend(name: &str, leaving: bool, cold: u64, born: u64) -> Backend {
    let entry = format!(
        r#"{{"service":"s","address":"10.0.0.1:1","zone":"atl-a","slots":3,
            "state":"{}","coldRemainingMs":{cold},"born":{born}}}"#,
        if leaving { "draining" } else { "ready" }
    );
    let name = name.parse().expect("a name");
    record::parse_server(&name, entry.as_bytes(), &places()).expect("the record parses")
}

impl World {
    fn new() -> Self {
        let identity = Identity {
            contact: contact("box", "atl", 10),
            incarnation: Incarnation(1),
            seeds: vec![],
            retry: petreldrum::retry::Limits {
                ratio: 0.2,
                slack: Some(58.0),
            },
            registry: true,
            tolerance: Default::default(),
            exposure: Default::default(),
            first_start: false,
        };
        let mut world = Self {
            state: State::new(identity, Balanced),
            now: Time(0),
            requests: HashMap::new(),
            last_request: 0,
            replacements: [0; SERVERS],
            starts: [1; SERVERS],
            leaving: BTreeSet::new(),
            evacuated: false,
            cold: HashMap::new(),
            limited: HashMap::new(),
        };
        let envelope = record::envelope(CONFIG.into()).expect("the record parses");
        let config =
            Arc::new(record::parse_config(&envelope, &places()).expect("the record parses"));
        let source = Source::Store;
        world.step(Event::Offered { config, source });
        let all = (0..SERVERS).map(|index| backend(&world.name(index), false, 0, 1));
        let list = Change::List {
            backends: all.collect(),
            grace: Millis(0),
        };
        world.step(news(list));
        world
    }

    fn name(&self, index: usize) -> String {
        format!("i-{index}-{}", self.replacements[index])
    }

    fn step(&mut self, event: Event) {
        for effect in self.state.step(self.now, event) {
            self.check(effect);
        }
    }

    fn check(&mut self, effect: Effect) {
        match effect {
            Effect::Send(send) => self.sent(send),
            Effect::Abort { request, attempt } => {
                let tracked = self
                    .requests
                    .get_mut(&request)
                    .expect("the request is tracked");
                assert_eq!(tracked.open.as_ref().map(|s| s.attempt), Some(attempt));
                tracked.open = None;
                tracked.may_have_run = true;
                tracked.runs += 1;
            }
            Effect::DetachStream { request, attempt } => {
                let tracked = self
                    .requests
                    .get_mut(&request)
                    .expect("the request is tracked");
                assert_eq!(tracked.open.as_ref().map(|s| s.attempt), Some(attempt));
                assert!(
                    tracked.begun && PATHS[tracked.path] == "/stream/x",
                    "only a started stream can be resumed"
                );
                tracked.open = None;
                tracked.may_have_run = true;
                tracked.runs += 1;
            }
            Effect::Reply { request, reply } => {
                let tracked = self
                    .requests
                    .get_mut(&request)
                    .expect("the request is tracked");
                assert!(!tracked.finished, "one final answer");
                assert!(
                    tracked.open.is_none(),
                    "nothing runs for a request that was given up"
                );
                tracked.finished = true;
                if tracked.may_have_run {
                    assert_ne!(reply.verdict, Verdict::NotRun, "it may have run");
                }
                if reply.verdict == Verdict::NotRun && reply.status == 503 {
                    assert!(reply.retry_after.is_some(), "a refusal names a retry time");
                }
            }
            _ => {}
        }
    }

    fn sent(&mut self, send: Send) {
        let Target::Backend { name, .. } = &send.target else {
            panic!("no other region is known");
        };
        let name = name.to_string();
        assert!(!self.leaving.contains(&name), "{name} is leaving");
        assert!(!self.evacuated, "its domain is evacuated");
        if let Some((until, times)) = self.cold.get_mut(&name)
            && self.now < *until
        {
            times.push(self.now);
            let recent = times.iter().filter(|t| self.now.since(**t) < Millis(1000));
            assert!(recent.count() <= MAX_COLD_PER_SECOND, "{name} is cold");
        }
        if let Some(limited) = self.limited.get_mut(&name) {
            limited.received += 1;
            let max_requests = limited.max_requests(self.now);
            assert!(
                limited.received <= max_requests,
                "{name} takes {}",
                limited.rate
            );
        }
        let tracked = self
            .requests
            .get_mut(&send.request)
            .expect("the request is tracked");
        assert!(
            !tracked.finished && tracked.open.is_none(),
            "one attempt at a time"
        );
        assert_ne!(
            PATHS[tracked.path], "/away/x",
            "it may not run in this region"
        );
        let repeatable = PATHS[tracked.path] != "/once/x";
        assert!(repeatable || !tracked.may_have_run, "it may not run twice");
        assert!(
            tracked.runs < MAX_RUNS[tracked.path],
            "as many runs as the route permits"
        );
        assert!(send.not_after <= self.now + Millis(4000));
        tracked.begun = false;
        tracked.open = Some(send);
    }

    fn arrive(&mut self, path: usize) {
        self.last_request += 1;
        let request = id::Request(self.last_request);
        let tracked = Tracked {
            path,
            ..Tracked::default()
        };
        self.requests.insert(request, tracked);
        self.step(Event::Arrived(Arrival {
            content: Default::default(),
            tag: None,
            request,
            credential: Credential::Missing,
            host: Some("h".to_owned()),
            path: PATHS[path].to_owned(),
            model: None,
            prefix: self.last_request,
            prompt: None,
            draw: self.last_request,
            runs: None,
            key: Key::Absent,
            left: Some(Millis(3000)),
            hop: Hop::Direct,
        }));
    }

    /// Picks a request with an attempt in flight.
    fn pick(&self, choice: u8) -> Option<(id::Request, Send, bool)> {
        let open = |(request, tracked): (&id::Request, &Tracked)| {
            let send = tracked.open.clone()?;
            Some((*request, send, tracked.begun))
        };
        let mut all: Vec<_> = self.requests.iter().filter_map(open).collect();
        all.sort_by_key(|(request, ..)| *request);
        let index = usize::from(choice).checked_rem(all.len())?;
        all.into_iter().nth(index)
    }

    fn outcome(&mut self, choice: u8, kind: u8) {
        let Some((request, send, begun)) = self.pick(choice) else {
            return;
        };
        let attempt = send.attempt;
        let tracked = self
            .requests
            .get_mut(&request)
            .expect("the request is tracked");
        let failed = |verdict, cause| Event::Failed {
            request,
            attempt,
            verdict,
            cause,
        };
        let event = match (begun, kind % 5) {
            (false, 0) => failed(Verdict::NotRun, Cause::Full),
            (false, 1) => failed(Verdict::MayHaveRun, Cause::Broken),
            (false, 2) => failed(Verdict::Ran, Cause::Errored),
            (false, _) => {
                tracked.begun = true;
                self.step(Event::Begun { request, attempt });
                return;
            }
            (true, 0) if PATHS[tracked.path] == "/stream/x" => {
                Event::StreamCut { request, attempt }
            }
            (true, kind) => {
                tracked.finished = true;
                let whole = kind % 2 == 0;
                Event::Ended {
                    request,
                    attempt,
                    whole,
                    timing: Default::default(),
                }
            }
        };
        tracked.open = None;
        if !matches!(
            event,
            Event::Failed {
                verdict: Verdict::NotRun,
                ..
            }
        ) {
            tracked.may_have_run = true;
            tracked.runs += 1;
        }
        self.step(event);
    }

    fn change_registry(&mut self, choice: u8, kind: u8) {
        let index = usize::from(choice) % SERVERS;
        let name = self.name(index);
        let born = self.starts[index];
        match kind % 6 {
            0 => {
                self.leaving.insert(name.clone());
                let change = Change::Put(backend(&name, true, 0, born));
                self.step(news(change));
            }
            1 => {
                self.leaving.insert(name.clone());
                let name = name.parse().expect("a name");
                let doubt = Millis(0);
                self.step(news(Change::Removed { name, grace: doubt }));
            }
            2 => {
                // The box cannot learn that the old server ended before it is notified.
                let mut old = self.leaving.clone();
                old.insert(name);
                self.replacements[index] += 1;
                let name = self.name(index);
                let until = self.now + Millis(3000);
                self.cold.insert(name.clone(), (until, Vec::new()));
                let change = Change::Put(backend(&name, false, 3000, born));
                self.step(news(change));
                for name in old {
                    self.leaving.insert(name.clone());
                    let name = name.parse().expect("a name");
                    let doubt = Millis(0);
                    self.step(news(Change::Removed { name, grace: doubt }));
                }
            }
            5 => {
                // The server restarts under its name, cold; then a late record of its earlier start
                // arrives.
                self.starts[index] += 1;
                self.leaving.remove(&name);
                self.limited.remove(&name);
                let until = self.now + Millis(3000);
                let (_, sent) = self.cold.remove(&name).unwrap_or_default();
                self.cold.insert(name.clone(), (until, sent));
                let fresh = backend(&name, false, 3000, born + 1);
                self.step(news(Change::Put(fresh)));
                self.step(news(Change::Put(backend(&name, true, 0, born))));
            }
            kind => {
                self.evacuated = kind == 3;
                let domain: Domain = "atl-a".parse().expect("a name");
                let domains = self.evacuated.then_some(domain);
                self.step(evacuated(domains.into_iter().collect()));
            }
        }
    }

    /// Delivers a server's answer, with a limit, to a request that was just sent.
    fn limit(&mut self, choice: u8, kind: u8) {
        let name = self.name(usize::from(choice) % SERVERS);
        let word = LIMIT_HEADERS[usize::from(kind) % LIMIT_HEADERS.len()];
        let (now, sent) = (self.now, self.now);
        let is_leaving = self.leaving.contains(&name);
        let backend = name.parse().expect("a name");
        self.step(Event::Limited {
            backend,
            word,
            sent,
        });
        let old = self.limited.get(&name);
        let looser = match (old, word.rate()) {
            (Some(old), Some(rate)) => rate > old.rate,
            (old, _) => old.is_some(),
        };
        if is_leaving || looser && old.is_some_and(|old| sent <= old.at) {
            return;
        }
        let Some(rate) = word.rate() else {
            self.limited.remove(&name);
            return;
        };
        let same = self.limited.remove(&name).filter(|old| old.rate == rate);
        let fresh = Limited {
            rate,
            at: now,
            since: now,
            received: 0,
        };
        let limited = same.map_or(fresh, |old| Limited { at: now, ..old });
        self.limited.insert(name, limited);
    }

    /// Reports activity on the streams of some servers.
    fn report_activity(&mut self, which: u8, pause: u8) {
        let alive = (0..SERVERS).filter(|index| which & (1 << index) != 0);
        let sign = |index| Activity {
            backend: NameHash::of(&self.name(index)),
            pause: Millis(u64::from(pause)),
        };
        let signs = alive.map(sign).collect();
        self.step(Event::StreamsActive(signs));
    }

    fn pass(&mut self, ticks: u8) {
        for _ in 0..=ticks % 8 {
            self.now = self.now + Millis(100);
            self.step(Event::Tick);
        }
    }

    fn act(&mut self, action: u8, choice: u8, kind: u8) {
        match action {
            0..=2 => self.arrive(usize::from(choice) % PATHS.len()),
            3 | 4 => self.outcome(choice, kind),
            5 => self.change_registry(choice, kind),
            6 => self.pass(choice),
            7 => self.report_activity(choice, kind),
            _ => {
                if let Some((request, ..)) = self.pick(choice) {
                    let tracked = self
                        .requests
                        .get_mut(&request)
                        .expect("the request is tracked");
                    tracked.finished = true;
                    self.step(Event::Disconnected(request));
                }
            }
        }
    }

    /// Asserts that every request is answered.
    fn settle(&mut self) {
        for _ in 0..60 {
            self.pass(0);
        }
        for (request, tracked) in &self.requests {
            assert!(tracked.finished, "{request} was not answered");
        }
        assert_eq!((self.state.busy(), self.state.waiting()), (0, 0));
    }
}

#[test]
fn every_request_is_settled() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|steps| {
            let mut world = World::new();
            for (action, choice, kind) in steps {
                world.act(action % 9, *choice, *kind);
            }
            world.settle();
        });
}

#[test]
fn limits_hold_in_any_order() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|steps| {
            let mut world = World::new();
            for (action, choice, kind) in steps {
                match action % 10 {
                    9 => world.limit(*choice, *kind),
                    action => world.act(action, *choice, *kind),
                }
            }
            world.settle();
        });
}
