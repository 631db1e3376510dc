//! Simulates one box, as its reducer alone, with a clock that the test advances.

use std::{collections::BTreeSet, sync::Arc};

use petreldrum::{
    config::{Config, Envelope, KeyHash, Version},
    fleet::{Change, Revision},
    id::{self, Domain, Incarnation},
    platform::Topology,
    policy::Balanced,
    reducer::{
        Identity, State,
        effect::{Effect, Reply, Send},
        event::{Arrival, Cause, Credential, Event, Hop, Key, Source},
    },
    unit::{Millis, Time},
    verdict::Verdict,
    wire::{Absence, Body, Capacity, Digest, Endpoint, Frame, NameHash, Used},
};

pub use petreldrum_standin::crowd::contact;

/// Two regions of one failure domain each.
pub fn places() -> Topology {
    let domain = |d: &str, r: &str| (d.parse().expect("a name"), r.parse().expect("a name"));
    Topology {
        domains: [domain("atl-a", "atl"), domain("mcn-a", "mcn")].into(),
        round_trip: Millis(110),
        heartbeat: Millis(1200),
    }
}

/// Settings of the regions Perth and Bunbury and of a repeatable route `/read`.
pub const BASE: &str = "[region perth]\nhop=40ms\n[region bunbury]\nhop=40ms\n\
    [route read]\nprefix=/read\nkind=application\nrepeatable=true\ndeadline=2s\n";

pub fn caller(name: &str, more: &str) -> String {
    let hash = KeyHash::of(name.as_bytes());
    format!("[caller {name}]\nkey_sha256={hash}\nhome=perth\nlabels=name={name}\n{more}\n")
}

pub fn server(name: &str, region: &str, slots: u32) -> String {
    let port = 5000 + u16::from(name.as_bytes()[name.len() - 1]);
    format!(
        "[backend {name}]\naddress=127.0.0.1:{port}\nregion={region}\nfailure_domain=a\n\
         serves=read\nslots={slots}\n"
    )
}

/// A change of the backend servers, as the store reports it.
pub fn news(change: Change) -> Event {
    let revision = Revision::first(1);
    Event::Fleet { change, revision }
}

/// The set of evacuated failure domains, as the store reports it.
pub fn evacuated(domains: BTreeSet<Domain>) -> Event {
    let revision = Revision::first(1);
    Event::Evacuated { domains, revision }
}

/// The arrival of a request for `/read` from a caller.
pub fn arrival(number: u64, caller: &str, left: Option<Millis>) -> Event {
    Event::Arrived(Arrival {
        content: Default::default(),
        tag: None,
        host: None,
        prompt: None,
        draw: 0,
        runs: None,
        request: id::Request(number),
        credential: Credential::Key(KeyHash::of(caller.as_bytes())),
        path: "/read/x".to_owned(),
        model: None,
        prefix: number,
        key: Key::Absent,
        left,
        hop: Hop::Direct,
    })
}

pub struct Solo {
    pub state: State<Balanced>,
    pub now: Time,
    version: u64,
    requests: u64,
    seq: u64,
}

impl Solo {
    pub fn new(text: &str) -> Self {
        Self::start(text, 2500, false)
    }

    /// A box that just started, on a platform where backend servers register themselves.
    pub fn young(text: &str) -> Self {
        Self::start(text, 0, true)
    }

    fn start(text: &str, age: u64, registry: bool) -> Self {
        let identity = Identity {
            contact: contact("box", "perth", 10),
            incarnation: Incarnation(7),
            seeds: vec![],
            retry: Default::default(),
            registry,
            tolerance: Default::default(),
            exposure: Default::default(),
            first_start: false,
        };
        let mut solo = Self {
            state: State::new(identity, Balanced),
            now: Time(0),
            version: 0,
            requests: 0,
            seq: 0,
        };
        solo.pass(age);
        solo.configure(text);
        solo
    }

    pub fn configure(&mut self, text: &str) -> Vec<Effect> {
        self.version += 1;
        let envelope = Envelope {
            version: Version(self.version),
            write: String::new(),
            author: String::new(),
            text: text.to_owned(),
        };
        let config = Arc::new(Config::parse("test", &envelope).expect("a valid configuration"));
        let source = Source::Store;
        self.step(Event::Offered { config, source })
    }

    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        self.state.step(self.now, event)
    }

    /// Advances time tick by tick and returns all effects.
    pub fn pass(&mut self, millis: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for _ in 0..millis / 100 {
            self.now = self.now + Millis(100);
            effects.extend(self.step(Event::Tick));
        }
        effects
    }

    /// Delivers a digest of Bunbury with `slots` for the route, `busy` of them in use.
    pub fn digest(&mut self, slots: u32, busy: u32) {
        self.digest_from(slots, busy, &["far"]);
    }

    /// Delivers a digest of Bunbury with free `slots` for the route, whose relays these boxes
    /// accept.
    pub fn doors(&mut self, slots: u32, names: &[&str]) {
        self.digest_from(slots, 0, names);
    }

    /// Delivers a digest of Bunbury with free `slots` for each of these services.
    pub fn digest_of(&mut self, services: &[&str], slots: u32) {
        self.seq += 1;
        let mut digest = self.bunbury_digest(slots, 0, &["far"]);
        let capacity = digest.services[0];
        let of = |service: &&str| Capacity {
            service: NameHash::of(service),
            ..capacity
        };
        digest.services = services.iter().map(of).collect();
        self.receive(Body::Digest(digest));
    }

    fn digest_from(&mut self, slots: u32, busy: u32, names: &[&str]) {
        self.digest_with(slots, busy, names, vec![], vec![]);
    }

    /// Delivers a digest of Bunbury that reports a planned stop of all boxes of these regions.
    pub fn digest_without(&mut self, regions: &[&str], age: u64) {
        let absence = |region: &&str| Absence {
            region: region.parse().expect("a name"),
            age: Millis(age),
        };
        let absences = regions.iter().map(absence).collect();
        self.digest_with(4, 0, &["far"], absences, vec![]);
    }

    /// Delivers a digest of Bunbury that reports a planned stop of all boxes of these regions, and
    /// the routes that callers use.
    pub fn digest_used(&mut self, regions: &[&str], routes: &[&str]) {
        let absence = |region: &&str| Absence {
            region: region.parse().expect("a name"),
            age: Millis(500),
        };
        let used = |route: &&str| Used {
            route: NameHash::of(route),
            age: Millis(300),
        };
        let absences = regions.iter().map(absence).collect();
        let used = routes.iter().map(used).collect();
        self.digest_with(4, 0, &["far"], absences, used);
    }

    /// Delivers a digest of `region` that reports a planned stop of all boxes of `absent`.
    pub fn absence_told(&mut self, region: &str, absent: &str, age: u64) {
        self.seq += 1;
        let absence = Absence {
            region: absent.parse().expect("a name"),
            age: Millis(age),
        };
        let digest = Digest {
            region: region.parse().expect("a name"),
            absences: vec![absence],
            stopping: false,
            ..self.bunbury_digest(4, 0, &[])
        };
        self.receive(Body::Digest(digest));
    }

    /// Delivers a digest of Bunbury whose boxes are starting and accept no work yet.
    pub fn digest_unready(&mut self) {
        self.seq += 1;
        let digest = Digest {
            stopping: false,
            ..self.bunbury_digest(4, 0, &[])
        };
        self.receive(Body::Digest(digest));
    }

    fn digest_with(
        &mut self,
        slots: u32,
        busy: u32,
        names: &[&str],
        absences: Vec<Absence>,
        used: Vec<Used>,
    ) {
        self.seq += 1;
        let digest = Digest {
            absences,
            used,
            ..self.bunbury_digest(slots, busy, names)
        };
        self.receive(Body::Digest(digest));
    }

    fn bunbury_digest(&self, slots: u32, busy: u32, names: &[&str]) -> Digest {
        let door = |(index, name): (usize, &&str)| Endpoint {
            contact: contact(name, "bunbury", 20 + 10 * index as u16),
            incarnation: Incarnation(1),
            uptime: Time(0),
        };
        let capacity = Capacity {
            service: NameHash::of("read"),
            slots,
            busy,
            first: Millis(10),
            whole: Millis(100),
        };
        Digest {
            held: vec![],
            boxes: 1,
            stopping: names.is_empty(),
            absences: vec![],
            used: vec![],
            region: "bunbury".parse().expect("a name"),
            version: Version(self.version),
            revision: Revision::first(0),
            endpoints: names.iter().enumerate().map(door).collect(),
            services: vec![capacity],
            uses: vec![],
            trials: Vec::new(),
            cover: 1.0,
            spread: false,
            store_age: Default::default(),
        }
    }

    fn receive(&mut self, body: Body) {
        let frame = Frame {
            from: "far".parse().expect("a name"),
            incarnation: Incarnation(1),
            seq: self.seq,
            body,
        };
        self.step(Event::Received(frame));
    }

    pub fn arrive(&mut self, caller: &str, left: Option<u64>) -> Vec<Effect> {
        self.requests += 1;
        self.step(arrival(self.requests, caller, left.map(Millis)))
    }

    pub fn begun(&mut self, send: &Send) {
        self.step(Event::Begun {
            request: send.request,
            attempt: send.attempt,
        });
    }

    pub fn ended(&mut self, send: &Send) -> Vec<Effect> {
        self.step(Event::Ended {
            request: send.request,
            attempt: send.attempt,
            whole: true,
            timing: Default::default(),
        })
    }

    pub fn failed(&mut self, send: &Send, verdict: Verdict, cause: Cause) -> Vec<Effect> {
        self.step(Event::Failed {
            request: send.request,
            attempt: send.attempt,
            verdict,
            cause,
        })
    }
}

pub fn sends(effects: &[Effect]) -> Vec<Send> {
    let send = |e: &Effect| match e {
        Effect::Send(send) => Some(send.clone()),
        _ => None,
    };
    effects.iter().filter_map(send).collect()
}

pub fn replies(effects: &[Effect]) -> Vec<Reply> {
    let reply = |e: &Effect| match e {
        Effect::Reply { reply, .. } => Some(reply.clone()),
        _ => None,
    };
    effects.iter().filter_map(reply).collect()
}
