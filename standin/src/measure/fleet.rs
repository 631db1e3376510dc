//! Builds configurations, reducers and frames for a given fleet size.

use std::{fmt::Write as _, net::SocketAddr, sync::Arc};

use petreldrum::{
    config::{Config, Envelope, KeyHash, Version},
    fleet::Revision,
    id::{self, Incarnation},
    policy::Balanced,
    reducer::{
        Identity, State,
        event::{Arrival, Credential, Event, Hop, Key, Source},
    },
    unit::{Millis, Time},
    wire::{Body, Capacity, Contact, Digest, Endpoint, Frame, Heartbeat, Load, NameHash, Phase},
};

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) boxes: usize,
    pub(super) regions: usize,
    pub(super) workers: usize,
    pub(super) callers: usize,
    pub(super) models: usize,
}

impl Size {
    /// The fleet size planned by users.
    pub(super) const TARGET: Self = Self {
        boxes: 360,
        regions: 24,
        workers: 1300,
        callers: 400,
        models: 4,
    };

    /// Returns the number of boxes per region.
    pub(super) fn region_boxes(&self) -> usize {
        self.boxes / self.regions
    }
}

fn name<T: std::str::FromStr>(text: String) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
}

fn address(number: usize, port: u16) -> SocketAddr {
    let [_, a, b, c] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, a, b, c], port))
}

/// Returns the text of a configuration of `size`.
pub(super) fn text(size: Size) -> String {
    let mut text = String::from("[weights]\ncost = 1\naway = 100\ntail = 1\n");
    for region in 0..size.regions {
        writeln!(text, "[region region-{region}]\nhop = 40ms")
            .expect("writing to a string succeeds");
    }
    for caller in 0..size.callers {
        let hash = KeyHash::of(format!("key-{caller}").as_bytes());
        let home = caller % size.regions;
        writeln!(
            text,
            "[caller caller-{caller}]\nkey_sha256 = {hash}\nlabels = team=t{}\n\
             home = region-{home}\nrate = 1000000/s",
            caller % 7
        )
        .expect("writing to a string succeeds");
    }
    for model in 0..size.models {
        writeln!(text, "[model model-{model}]\nlabels = data=plain")
            .expect("writing to a string succeeds");
    }
    text += "[route chat]\nprefix = /v1\nkind = model\nrepeatable = true\nlabels = kind=chat\n";
    for worker in 0..size.workers {
        writeln!(
            text,
            "[backend worker-{worker}]\naddress = {}\nregion = region-{}\nfailure_domain = d{}\n\
             serves = model-{}\nlabels = via=gateway\nslots = 16",
            address(worker, 8000),
            worker % size.regions,
            worker % 71,
            worker / size.regions % size.models,
        )
        .expect("writing to a string succeeds");
    }
    text += "[selector chat]\nroutes = kind=chat\nbackends = via=gateway\n";
    text
}

/// Wraps `text` in the envelope used in the store.
pub(super) fn envelope(text: String) -> Envelope {
    Envelope {
        version: Version(1),
        write: String::from("w"),
        author: String::from("measure"),
        text,
    }
}

/// Parses and validates `text`.
pub(super) fn config(text: String) -> Arc<Config> {
    let config = Config::parse("measure", &envelope(text));
    Arc::new(config.expect("valid configuration"))
}

/// Returns the contact of box `number`; boxes are assigned to regions round-robin.
pub(super) fn contact(size: Size, number: usize) -> Contact {
    Contact {
        name: name(format!("box-{number}")),
        region: name(format!("region-{}", number % size.regions)),
        domain: name(format!("d{}", number % 71)),
        public: address(number, 80),
        peer: address(number, 81),
        gossip: address(number, 82),
    }
}

/// Returns box 0 of a fleet of `size` with a configuration.
pub(super) fn state(size: Size, config: Arc<Config>) -> State<Balanced> {
    let identity = Identity {
        contact: contact(size, 0),
        incarnation: Incarnation(1),
        seeds: vec![],
        retry: Default::default(),
        registry: false,
        tolerance: Default::default(),
        exposure: Default::default(),
        first_start: false,
    };
    let mut state = State::new(identity, Balanced);
    let source = Source::Store;
    state.step(Time(0), Event::Offered { config, source });
    state
}

/// Returns the heartbeat that box `number` sends to its region, with sequence number `seq`.
pub(super) fn heartbeat(size: Size, number: usize, seq: u64, loads: usize) -> Frame {
    let loads = (0..loads).map(|n| Load {
        backend: NameHash::of(&format!("worker-{}", n * size.regions)),
        busy: 1,
    });
    frame(
        size,
        number,
        seq,
        Body::Heartbeat(Box::new(Heartbeat {
            limits: Vec::new(),
            departures: Vec::new(),
            held: vec![],
            contact: contact(size, number),
            uptime: Time(seq * 1000),
            version: Version(1),
            revision: Revision::first(1),
            phase: Phase::Ready,
            pace: Millis(500.max(150 * size.region_boxes() as u64)),
            boxes: size.region_boxes() as u32,
            busy: 20,
            loads: loads.collect(),
            listed: vec![],
            uses: vec![],
            trials: Vec::new(),
            room: Default::default(),
            store_age: Default::default(),
            path_lost: Default::default(),
            heard: Default::default(),
            brittle: Default::default(),
            cold: Default::default(),
        })),
    )
}

/// Returns the digest that `region` sends to another region, with sequence number `seq`.
pub(super) fn digest(size: Size, region: usize, seq: u64, spread: bool) -> Frame {
    let doors = (0..3).map(|n| Endpoint {
        contact: contact(size, region + n * size.regions),
        incarnation: Incarnation(1 << 56),
        uptime: Time(seq * 1000),
    });
    let services = (0..size.models).map(|model| Capacity {
        service: NameHash::of(&format!("model-{model}")),
        slots: 200,
        busy: 100,
        first: Millis(100),
        whole: Millis(500),
    });
    let body = Body::Digest(Digest {
        held: vec![],
        absences: Vec::new(),
        used: Vec::new(),
        stopping: false,
        boxes: 1,
        region: name(format!("region-{region}")),
        version: Version(1),
        revision: Revision::first(1),
        endpoints: doors.collect(),
        services: services.collect(),
        uses: vec![],
        trials: Vec::new(),
        cover: 1.0,
        spread,
        store_age: Default::default(),
    });
    frame(size, region, seq, body)
}

fn frame(size: Size, number: usize, seq: u64, body: Body) -> Frame {
    Frame {
        from: contact(size, number).name,
        incarnation: Incarnation(1 << 56),
        seq,
        body,
    }
}

/// Returns the arrival event of request `number`.
pub(super) fn arrival(size: Size, number: u64) -> Event {
    let caller = number as usize % size.callers;
    let model = number as usize % size.models;
    Event::Arrived(Arrival {
        content: Default::default(),
        tag: None,
        host: None,
        prompt: None,
        draw: 0,
        runs: None,
        request: id::Request(number),
        credential: Credential::Key(KeyHash::of(format!("key-{caller}").as_bytes())),
        path: String::from("/v1/chat/completions"),
        model: Some(name(format!("model-{model}"))),
        prefix: number,
        key: Key::Absent,
        left: None,
        hop: Hop::Direct,
    })
}
