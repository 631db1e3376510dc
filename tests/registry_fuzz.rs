//! Any order of requests, outcomes, news of backend servers and time, with one box on a platform
//! where backend servers register themselves: what must hold of each request.

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
/// How many backend servers may run a request of each path.
const RUNS: [usize; 4] = [2, 1, 2, 2];
const SERVERS: usize = 4;
/// The most that the cold rate lets one server get within a second, of all boxes.
const COLD_MOST: usize = 15;

/// What backend servers say of their limits.
const WORDS: [Announcement; 6] = [
    Announcement::Absent,
    Announcement::Unreadable,
    Announcement::Rate(Rate(0.0)),
    Announcement::Rate(Rate(0.5)),
    Announcement::Rate(Rate(2.0)),
    Announcement::Rate(Rate(20.0)),
];

/// A limit that a backend server named, and what it got since it named this one.
struct Limited {
    rate: Rate,
    at: Time,
    since: Time,
    got: usize,
}

impl Limited {
    /// What one box may have sent since then: the rate, and a second of it or one request saved up.
    fn most(&self, now: Time) -> usize {
        let rate = self.rate.0.max(PROBE_RATE.0);
        let seconds = now.since(self.since).0 as f64 / 1000.0;
        (rate * (seconds + 1.0)) as usize + 1
    }
}

/// One request as its caller knows it.
#[derive(Default)]
struct Seen {
    path: usize,
    open: Option<Send>,
    begun: bool,
    runs: usize,
    may_have_run: bool,
    over: bool,
}

struct World {
    state: State<Balanced>,
    now: Time,
    requests: HashMap<id::Request, Seen>,
    last: u64,
    lives: [u64; SERVERS],
    /// How often each started again under its name.
    births: [u64; SERVERS],
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
    record::parse_server(&name, entry.as_bytes(), &places()).expect("it reads")
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
            last: 0,
            lives: [0; SERVERS],
            births: [1; SERVERS],
            leaving: BTreeSet::new(),
            evacuated: false,
            cold: HashMap::new(),
            limited: HashMap::new(),
        };
        let envelope = record::envelope(CONFIG.into()).expect("it reads");
        let config = Arc::new(record::parse_config(&envelope, &places()).expect("it reads"));
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
        format!("i-{index}-{}", self.lives[index])
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
                let seen = self.requests.get_mut(&request).expect("it is known");
                assert_eq!(seen.open.as_ref().map(|s| s.attempt), Some(attempt));
                seen.open = None;
                seen.may_have_run = true;
                seen.runs += 1;
            }
            Effect::DetachStream { request, attempt } => {
                let seen = self.requests.get_mut(&request).expect("it is known");
                assert_eq!(seen.open.as_ref().map(|s| s.attempt), Some(attempt));
                assert!(
                    seen.begun && PATHS[seen.path] == "/stream/x",
                    "it cannot go on"
                );
                seen.open = None;
                seen.may_have_run = true;
                seen.runs += 1;
            }
            Effect::Reply { request, reply } => {
                let seen = self.requests.get_mut(&request).expect("it is known");
                assert!(!seen.over, "one final answer");
                assert!(
                    seen.open.is_none(),
                    "nothing runs for a request that was given up"
                );
                seen.over = true;
                if seen.may_have_run {
                    assert_ne!(reply.verdict, Verdict::NotRun, "that would be untrue");
                }
                if reply.verdict == Verdict::NotRun && reply.status == 503 {
                    assert!(reply.retry_after.is_some(), "when to come back");
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
            assert!(recent.count() <= COLD_MOST, "{name} is cold");
        }
        if let Some(limited) = self.limited.get_mut(&name) {
            limited.got += 1;
            let most = limited.most(self.now);
            assert!(limited.got <= most, "{name} takes {}", limited.rate);
        }
        let seen = self.requests.get_mut(&send.request).expect("it is known");
        assert!(!seen.over && seen.open.is_none(), "one attempt at a time");
        assert_ne!(PATHS[seen.path], "/away/x", "it may not run in this region");
        let repeatable = PATHS[seen.path] != "/once/x";
        assert!(repeatable || !seen.may_have_run, "it may not run twice");
        assert!(
            seen.runs < RUNS[seen.path],
            "as many runs as the route permits"
        );
        assert!(send.not_after <= self.now + Millis(4000));
        seen.begun = false;
        seen.open = Some(send);
    }

    fn arrive(&mut self, path: usize) {
        self.last += 1;
        let request = id::Request(self.last);
        let seen = Seen {
            path,
            ..Seen::default()
        };
        self.requests.insert(request, seen);
        self.step(Event::Arrived(Arrival {
            content: Default::default(),
            tag: None,
            request,
            credential: Credential::Missing,
            host: Some("h".to_owned()),
            path: PATHS[path].to_owned(),
            model: None,
            prefix: self.last,
            prompt: None,
            draw: self.last,
            runs: None,
            key: Key::Absent,
            left: Some(Millis(3000)),
            hop: Hop::Direct,
        }));
    }

    /// Some request with an attempt in hand.
    fn pick(&self, choice: u8) -> Option<(id::Request, Send, bool)> {
        let open = |(request, seen): (&id::Request, &Seen)| {
            let send = seen.open.clone()?;
            Some((*request, send, seen.begun))
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
        let seen = self.requests.get_mut(&request).expect("it is known");
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
                seen.begun = true;
                self.step(Event::Begun { request, attempt });
                return;
            }
            (true, 0) if PATHS[seen.path] == "/stream/x" => Event::StreamCut { request, attempt },
            (true, kind) => {
                seen.over = true;
                let whole = kind % 2 == 0;
                Event::Ended {
                    request,
                    attempt,
                    whole,
                    timing: Default::default(),
                }
            }
        };
        seen.open = None;
        if !matches!(
            event,
            Event::Failed {
                verdict: Verdict::NotRun,
                ..
            }
        ) {
            seen.may_have_run = true;
            seen.runs += 1;
        }
        self.step(event);
    }

    fn news(&mut self, choice: u8, kind: u8) {
        let index = usize::from(choice) % SERVERS;
        let name = self.name(index);
        let born = self.births[index];
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
                // The box cannot know of the old life's end before it is told.
                let mut old = self.leaving.clone();
                old.insert(name);
                self.lives[index] += 1;
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
                // It starts again under its name, cold; then the life before writes late.
                self.births[index] += 1;
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

    /// A server answers a request that was just sent, and says something of its limit.
    fn limit(&mut self, choice: u8, kind: u8) {
        let name = self.name(usize::from(choice) % SERVERS);
        let word = WORDS[usize::from(kind) % WORDS.len()];
        let (now, sent) = (self.now, self.now);
        let known = self.leaving.contains(&name);
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
        if known || looser && old.is_some_and(|old| sent <= old.at) {
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
            got: 0,
        };
        let limited = same.map_or(fresh, |old| Limited { at: now, ..old });
        self.limited.insert(name, limited);
    }

    /// The streams of some servers bring something.
    fn heard(&mut self, which: u8, pause: u8) {
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

    fn act(&mut self, what: u8, one: u8, two: u8) {
        match what {
            0..=2 => self.arrive(usize::from(one) % PATHS.len()),
            3 | 4 => self.outcome(one, two),
            5 => self.news(one, two),
            6 => self.pass(one),
            7 => self.heard(one, two),
            _ => {
                if let Some((request, ..)) = self.pick(one) {
                    let seen = self.requests.get_mut(&request).expect("it is known");
                    seen.over = true;
                    self.step(Event::Disconnected(request));
                }
            }
        }
    }

    /// Nobody is left without an answer.
    fn settle(&mut self) {
        for _ in 0..60 {
            self.pass(0);
        }
        for (request, seen) in &self.requests {
            assert!(seen.over, "{request} was forgotten");
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
            for (what, one, two) in steps {
                world.act(what % 9, *one, *two);
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
            for (what, one, two) in steps {
                match what % 10 {
                    9 => world.limit(*one, *two),
                    what => world.act(what, *one, *two),
                }
            }
            world.settle();
        });
}
