//! The validated settings of one box, read from its INI file at start.

use std::{fmt, net::SocketAddr, str::FromStr};

use eyre::WrapErr;

use crate::{
    allotment::Tolerance,
    id::{BoxName, Domain, Region},
    ini::{Faults, Reader},
    platform::Topology,
    policy, retry,
    rollout::Exposure,
    size::{Core, Size},
    unit::{Bytes, Millis},
};

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// A shared secret, redacted in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Returns the bytes of the secret.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }

    /// Returns the secret as text, for use in a header.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl FromStr for Secret {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        if text.len() < MIN_SECRET_BYTES || !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(format!(
                "a secret must consist of at least {MIN_SECRET_BYTES} visible ASCII characters"
            ));
        }
        Ok(Self(text.to_owned()))
    }
}

/// The address of another box to contact at start: `REGION/IP:PORT` of its gossip listener, or
/// `IP:PORT` if its region is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// The region of the box, if known.
    pub region: Option<Region>,
    /// Its gossip listener.
    pub gossip: SocketAddr,
}

impl FromStr for Seed {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let (region, gossip) = match text.split_once('/') {
            Some((region, gossip)) => (Some(region), gossip),
            None => (None, text),
        };
        let region = region.map(str::parse).transpose();
        Ok(Self {
            region: region.map_err(|e| format!("region: {e}"))?,
            gossip: gossip.parse().map_err(|e| format!("address: {e}"))?,
        })
    }
}

/// The addresses announced to callers and other boxes; `None` means the listener's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advertise {
    /// The address for callers.
    pub public: Option<SocketAddr>,
    /// The HTTP address for other boxes.
    pub peer: Option<SocketAddr>,
    /// The nng address for other boxes.
    pub gossip: Option<SocketAddr>,
}

/// The protocol used with callers, backend servers and the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Interface {
    /// The gateway's native protocol.
    #[default]
    Own,
    /// The protocol of the users' platform.
    Platform,
}

impl FromStr for Interface {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "own" => Ok(Self::Own),
            "platform" => Ok(Self::Platform),
            _ => Err("expected own or platform"),
        }
    }
}

/// A failure domain and its region: `DOMAIN/REGION`.
struct DomainEntry(Domain, Region);

impl FromStr for DomainEntry {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let (domain, region) = text.split_once('/').ok_or("expected DOMAIN/REGION")?;
        Ok(Self(
            domain.parse().map_err(|e| format!("failure domain: {e}"))?,
            region.parse().map_err(|e| format!("region: {e}"))?,
        ))
    }
}

/// Divisor of a box's memory that limits request bodies: connections take as much at most, and the
/// remainder is for everything else.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// The fewest descriptors with which a box can serve.
const MIN_DESCRIPTORS: u32 = 128;

/// The settings of one box.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the box.
    pub name: BoxName,
    /// The region of the box.
    pub region: Region,
    /// The failure domain of the box.
    pub domain: Domain,
    /// The protocol used with the box.
    pub interface: Interface,
    /// Listener for callers.
    pub public: SocketAddr,
    /// HTTP listener for other boxes.
    pub peer: SocketAddr,
    /// nng listener for other boxes.
    pub gossip: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
    /// Separate listener for the platform's readiness checks, if any.
    pub ready: Option<SocketAddr>,
    /// Separate listener for box look-ups, if any.
    pub directory: Option<SocketAddr>,
    /// Separate listener for metrics collectors, if any.
    pub metrics: Option<SocketAddr>,
    /// The addresses announced to others, if they differ from the listeners.
    pub advertise: Advertise,
    /// The bearer token that operators send.
    pub admin_token: Secret,
    /// The secret that all boxes share.
    pub cluster_secret: Secret,
    /// Boxes to contact at start.
    pub seeds: Vec<Seed>,
    /// The store's addresses, tried in order.
    pub stores: Vec<SocketAddr>,
    /// The key of the configuration in the store.
    pub store_key: String,
    /// The platform's list of live and leaving boxes, if there is one.
    pub list: Option<SocketAddr>,
    /// The locations of failure domains on the users' platform.
    pub places: Topology,
    /// The destination of trace spans (OTLP over HTTP); `None` discards them.
    pub trace: Option<SocketAddr>,
    /// The lowest level that is logged.
    pub log: log::LevelFilter,
    /// Maximum size of a request head.
    pub max_head: Bytes,
    /// Maximum size of a request body.
    pub max_body: Bytes,
    /// The resources of the machine that are available to the box.
    pub size: Size,
    /// Memory for all request bodies held at once: limited to a quarter of the box's memory, but at
    /// least `max_body`.
    pub body_memory: Bytes,
    /// Descriptors that the process may hold; the kernel's limit holds as well.
    pub descriptors: Option<u32>,
    /// How long a planned stop keeps the listener open.
    pub linger: Millis,
    /// How long a planned stop may take before the process is killed, if there is a limit.
    pub grace: Option<Millis>,
    /// Limits on the attempts of requests beyond the first.
    pub retry: retry::Limits,
    /// How far the platform allows a customer's use to exceed its allotment.
    pub tolerance: Tolerance,
    /// How far a release may be exposed before it has been shown to be good.
    pub exposure: Exposure,
    /// The placement policy.
    pub policy: policy::Named,
    /// Whether the whole system starts for the first time, so that no process ran on this box
    /// before.
    pub first_start: bool,
}

impl Settings {
    /// Reads and validates the file at `path`.
    pub fn load(path: &std::path::Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read settings {}", path.display()))?;
        Ok(Self::parse(&path.display().to_string(), &text)?)
    }

    /// Validates `text`; all faults are reported at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut reader = Reader::new(file, text)?;
        reject_unknown_sections(&mut reader);
        let settings = read(&mut reader);
        reader.finish(settings)
    }
}

fn reject_unknown_sections(reader: &mut Reader) {
    const KNOWN: [&str; 6] = ["box", "listen", "advertise", "peers", "platform", "limits"];
    for name in reader.sections() {
        if !KNOWN.contains(&name.as_str()) {
            reader.fault(&name, "", "is not a section of the settings");
        }
    }
}

fn read(reader: &mut Reader) -> Option<Settings> {
    let mut section = reader.section("box");
    let name = section.required("name");
    let region = section.required("region");
    let domain = section.required("failure_domain");
    let log = section.or("log", log::LevelFilter::Info);
    let interface = section.or("interface", Interface::default());
    let first_start = section.or("first_start", false);
    let tls: String = section.or("tls", "off".to_owned());
    if tls != "off" {
        section.fault("tls", "only \"off\" is supported");
    }
    section.end();

    let mut section = reader.section("listen");
    let public = section.required("public");
    let peer = section.required("peer");
    let gossip = section.required("gossip");
    let admin = section.required("admin");
    let ready = section.optional("ready");
    let directory = section.optional("directory");
    let metrics = section.optional("metrics");
    let admin_token = section.required("admin_token");
    section.end();

    let mut section = reader.section("advertise");
    let advertise = Advertise {
        public: section.optional("public"),
        peer: section.optional("peer"),
        gossip: section.optional("gossip"),
    };
    section.end();

    let mut section = reader.section("peers");
    let cluster_secret = section.required("secret");
    let seeds = section.list("seeds");
    section.end();

    let mut section = reader.section("platform");
    let stores: Vec<SocketAddr> = section.list("store");
    if stores.is_empty() {
        section.fault("store", "must list at least one address");
    }
    let store_key = section.or("store_key", "petreldrum/config".to_owned());
    let list = section.optional("list");
    let domains: Vec<DomainEntry> = section.list("domains");
    let places = Topology {
        domains: domains.into_iter().map(|d| (d.0, d.1)).collect(),
        round_trip: section.or("hop", Millis(0)),
        heartbeat: section.or("beat", Millis(0)),
    };
    if interface == Interface::Platform && places.domains.is_empty() {
        section.fault("domains", "must list at least one failure domain");
    }
    let trace = section.optional("trace");
    section.end();

    let mut section = reader.section("limits");
    let max_head = section.or("max_head", Bytes(16 << 10));
    let max_body = section.or("max_body", Bytes(1 << 20));
    let share: Option<Core> = section.optional("core_share");
    let speed = section.or("core_speed", Core(1.0));
    let core = share.map(|share| Core(share.0 * speed.0));
    let size = Size::new(core, section.optional("memory"), section.optional("link"));
    let mut body_memory = section.or("body_memory", Bytes(64 << 20));
    if let Some(memory) = size.memory {
        let most_body_memory = Bytes(memory.bytes().0 / BODY_MEMORY_DIVISOR);
        body_memory = body_memory.min(most_body_memory.max(max_body));
    }
    if body_memory < max_body {
        section.fault("body_memory", "is smaller than max_body");
    }
    let descriptors = section.optional("descriptors");
    if descriptors.is_some_and(|descriptors| descriptors < MIN_DESCRIPTORS) {
        let fault = format!("is smaller than {MIN_DESCRIPTORS}");
        section.fault("descriptors", &fault);
    }
    let linger = section.or("linger", Millis(3000));
    let grace = section.optional("grace");
    if grace.is_some_and(|grace| grace <= linger) {
        section.fault("grace", "must be longer than linger");
    }
    let retry = retry::Limits {
        ratio: section.or("retry_ratio", retry::Limits::RATIO),
        slack: section.optional("retry_slack"),
    };
    let tolerance = Tolerance {
        window: section.or("allotment_window", Tolerance::WINDOW),
        tokens: section.or("allotment_slack", 0.0),
    };
    if tolerance.window.0 == 0 {
        section.fault("allotment_window", "must be greater than zero");
    }
    if !(tolerance.tokens.is_finite() && tolerance.tokens >= 0.0) {
        section.fault(
            "allotment_slack",
            "must be a finite number of tokens, at least 0",
        );
    }
    let exposure = Exposure {
        share: section.or("expose_share", Exposure::default().share),
        slack: section.or("expose_slack", Exposure::default().slack),
    };
    if !(0.0..=1.0).contains(&exposure.share) {
        section.fault("expose_share", "must be between 0 and 1");
    }
    if !(exposure.slack.is_finite() && exposure.slack >= 0.0) {
        section.fault(
            "expose_slack",
            "must be a finite number of requests, at least 0",
        );
    }
    let policy = section.or("policy", policy::Named::default());
    if max_head.0 < 8 << 10 {
        section.fault("max_head", "is smaller than 8KiB");
    }
    section.end();

    Some(Settings {
        name: name?,
        region: region?,
        domain: domain?,
        interface,
        public: public?,
        peer: peer?,
        gossip: gossip?,
        admin: admin?,
        ready,
        directory,
        metrics,
        advertise,
        admin_token: admin_token?,
        cluster_secret: cluster_secret?,
        seeds,
        stores,
        store_key,
        list,
        places,
        trace,
        log,
        max_head,
        max_body,
        size,
        body_memory,
        descriptors,
        linger,
        grace,
        retry,
        tolerance,
        exposure,
        policy,
        first_start,
    })
}
