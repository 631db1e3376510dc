//! What the box counts, for prometheus; docs/operate.md says when to worry.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the first-byte histogram, in seconds.
const FIRST_BYTE: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.38, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// The counters of one box; labels never hold a caller, a key or a backend server.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that came, by hop.
    pub requests: IntCounterVec,
    /// Answers of the gateway itself, by status and verdict.
    pub replies: IntCounterVec,
    /// Attempts, by target and outcome.
    pub attempts: IntCounterVec,
    /// Kept answers given again.
    pub replays: IntCounter,
    /// Alarms.
    pub alarms: IntCounter,
    /// Bytes of messages between boxes, by direction.
    pub gossip: IntCounterVec,
    /// Calls to the platform's store, by kind and outcome.
    pub store: IntCounterVec,
    /// Connections refused because too many were open.
    pub refused_connections: IntCounter,
    /// The configuration in force.
    pub version: IntGauge,
    /// One while the box takes work.
    pub ready: IntGauge,
    /// Requests in hand.
    pub in_hand: IntGauge,
    /// Requests that wait for a slot.
    pub waiting: IntGauge,
    /// Keys remembered.
    pub keys: IntGauge,
    /// Seconds from a request's arrival to the first byte of its answer.
    pub first_byte: Histogram,
}

impl Metrics {
    /// All counters at zero.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("petreldrum".to_owned()), None)?;
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            prometheus::Result::Ok(counters)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let options = HistogramOpts::new(
            "first_byte_seconds",
            "Seconds from a request's arrival to the first byte of its answer.",
        );
        let first_byte = Histogram::with_opts(options.buckets(FIRST_BYTE.to_vec()))?;
        registry.register(Box::new(first_byte.clone()))?;
        Ok(Self {
            requests: counters("requests_total", "Requests that came.", &["hop"])?,
            replies: counters(
                "replies_total",
                "Answers of the gateway itself.",
                &["status", "verdict"],
            )?,
            attempts: counters("attempts_total", "Attempts.", &["target", "outcome"])?,
            replays: counter("replays_total", "Kept answers given again.")?,
            alarms: counter("alarms_total", "Alarms; each is in the log.")?,
            gossip: counters(
                "gossip_bytes_total",
                "Bytes of messages between boxes.",
                &["direction"],
            )?,
            store: counters(
                "store_calls_total",
                "Calls to the platform's store.",
                &["call", "outcome"],
            )?,
            refused_connections: counter(
                "refused_connections_total",
                "Connections refused because too many were open.",
            )?,
            version: gauge("config_version", "The configuration in force.")?,
            ready: gauge("ready", "One while the box takes work.")?,
            in_hand: gauge("requests_in_hand", "Requests in hand.")?,
            waiting: gauge("requests_waiting", "Requests that wait for a slot.")?,
            keys: gauge("keys_remembered", "Idempotency keys remembered.")?,
            first_byte,
            registry,
        })
    }

    /// The counters as prometheus reads them.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::warn!("metrics: cannot write: {error}");
        }
        text
    }
}
