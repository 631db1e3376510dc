//! What the box counts, for prometheus; docs/operate.md says when to worry.

use crate::{
    reducer::{
        effect::{Carried, End},
        status::{Allotted, Repeats, Rollout},
    },
    retry::Outcome,
    service,
    unit::Millis,
};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder, core::Collector as _,
};

/// Upper bounds of the histograms, in seconds: from a hop inside a region to the longest deadline.
const BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.38, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// The counters of one box; labels never hold a key or a backend server, and at most [`CUSTOMERS`] name
/// customers.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that came, by hop.
    pub requests: IntCounterVec,
    /// Answers of the gateway itself, by status and verdict.
    pub replies: IntCounterVec,
    /// Attempts, by target and outcome.
    pub attempts: IntCounterVec,
    /// Requests of customers with an allotment, by customer and outcome.
    pub customers: IntCounterVec,
    /// How allotments are used over all boxes, by customer.
    pub allotments: IntGaugeVec,
    /// Requests in the last minute of the customers whom this box served worst.
    pub worst: IntGaugeVec,
    /// Attempts whose connection to a backend server broke, by whether the answer had begun.
    pub broken: IntCounterVec,
    /// Answers with neither a length nor chunks, by how their end was taken.
    pub unframed_ends: IntCounterVec,
    /// Relayed answers of which something was missing.
    pub relay_gaps: IntCounter,
    /// Runs that were to move to another engine, by how that ended.
    pub moves: IntCounterVec,
    /// Tokens of their prompts.
    pub moved_tokens: IntCounterVec,
    /// Seconds from the decision to move a run until its stream went on.
    pub move_seconds: Histogram,
    /// Contents that were struck, held back or cleared.
    pub quarantine: IntCounterVec,
    /// How roll-outs stand that are not over: answers since the order, by service, release and kind.
    pub rollouts: IntGaugeVec,
    /// Backend servers of the region that name a limit, as far as this box knows.
    pub limited: IntGauge,
    /// Backend servers that said in an answer that they leave before their registration does, as far as this
    /// box knows.
    pub departing: IntGauge,
    /// Backend servers that asked this box to send them nothing for a while.
    pub pushed_back: IntGauge,
    /// Requests that were refused because of such limits.
    pub limit_refusals: IntCounter,
    /// What engines told of the parts of prompts that they keep, by kind.
    pub engine_news: IntCounterVec,
    /// Prompts sent to engines, by whether the engine's own word of what it keeps was known.
    pub beliefs: IntCounterVec,
    /// Engines that this box follows.
    pub followed: IntGauge,
    /// Milliseconds since the one of them was heard that was heard longest ago.
    pub engine_age: IntGauge,
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
    /// What this box can carry beside the others of its region; zero where its settings don't tell.
    pub weight: IntGauge,
    /// One while this box has so much in hand for its weight that callers are sent elsewhere.
    pub full: IntGauge,
    /// Requests that wait for a slot.
    pub waiting: IntGauge,
    /// Keys remembered.
    pub keys: IntGauge,
    /// Failed calls to the store since the last one that was answered.
    pub store_failures: IntGauge,
    /// How far the store is known, within its era.
    pub store_revision: IntGauge,
    /// How often the store has come back from a copy, as far as this box knows.
    pub store_era: IntGauge,
    /// Connections open at the listeners.
    pub connections: IntGauge,
    /// Attempts beyond a request's first.
    pub repeats: IntCounter,
    /// Attempts beyond the first that were asked for, by service and what became of them.
    pub repeat_outcomes: IntCounterVec,
    /// What this box's retry budgets hold, by service.
    pub repeat_budget: IntGaugeVec,
    /// Lines about requests that the log had no room for.
    pub dropped_lines: IntCounter,
    /// Seconds from a request's arrival to the first byte of its answer.
    pub first_byte: Histogram,
    /// Seconds from a request's arrival to its first attempt.
    pub waited: Histogram,
    /// Seconds from a request's arrival to the end of a whole answer.
    pub whole: Histogram,
    /// Longest seconds between two pieces of a whole answer.
    pub pause: Histogram,
    /// Seconds that a reading of the store took; a watch is held on purpose and not counted.
    pub store_seconds: Histogram,
}

/// Customers that are told of, in the order of their names; the metrics stay bounded.
const CUSTOMERS: usize = 64;
/// The same of services.
const SERVICES: usize = 64;

impl Metrics {
    /// Takes over how many engines are followed, and how old what they told is.
    pub(crate) fn tell_engines(&self, followed: usize, age: Millis) {
        self.followed.set(followed as i64);
        self.engine_age.set(age.0 as i64);
    }

    /// Takes over what the releases answered that are rolled out.
    pub(crate) fn tell_rollouts(&self, rows: &[Rollout]) {
        self.rollouts.reset();
        for row in rows.iter().take(SERVICES) {
            let (old, new) = row.answers;
            for (release, count) in [("old", old), ("new", new)] {
                let kinds = [("all", count.answers), ("bad", count.bad)];
                for (kind, value) in kinds {
                    let labels = [row.service.as_str(), release, kind];
                    self.rollouts
                        .with_label_values(&labels)
                        .set(i64::from(value));
                }
            }
        }
    }

    /// Takes over how the retry budgets are used, of the first [`SERVICES`].
    pub(crate) fn tell_repeats(&self, rows: &[Repeats]) {
        self.repeat_budget.reset();
        for row in rows.iter().take(SERVICES) {
            let service = row.service.as_str();
            for outcome in Outcome::ALL {
                let labels = [service, &outcome.to_string()];
                let counter = self.repeat_outcomes.with_label_values(&labels);
                counter.inc_by(row.counts.of(outcome).saturating_sub(counter.get()));
            }
            let held = [
                ("spent", f64::from(row.balance.spent)),
                ("earned", row.balance.earned),
                ("share", row.balance.share),
            ];
            for (what, value) in held {
                let gauge = self.repeat_budget.with_label_values(&[service, what]);
                gauge.set(value as i64);
            }
        }
    }

    /// Takes over which customers this box serves worst.
    pub(crate) fn tell_worst(&self, rows: &[service::Row]) {
        self.worst.reset();
        for row in rows {
            let counts = [
                ("ended", row.tally.ended),
                ("refused", row.tally.refused),
                ("late", row.tally.late),
                ("over", row.tally.over),
            ];
            for (what, value) in counts {
                let labels = [row.customer.as_str(), what];
                self.worst.with_label_values(&labels).set(value.into());
            }
        }
    }

    /// Takes over how allotments are used: those of the first [`CUSTOMERS`].
    pub(crate) fn tell_allotments(&self, allotted: &[Allotted]) {
        self.allotments.reset();
        for customer in allotted.iter().take(CUSTOMERS) {
            let name = customer.name.as_str();
            let units = [
                ("used", customer.used),
                ("offered", customer.offered),
                ("limit", customer.limit),
            ];
            for (what, value) in units {
                let gauge = self.allotments.with_label_values(&[name, what]);
                gauge.set(value as i64);
            }
            let counts = [
                ("admitted", customer.admitted),
                ("refused", customer.refused),
            ];
            for (outcome, count) in counts {
                let counter = self.customers.with_label_values(&[name, outcome]);
                counter.inc_by(count.saturating_sub(counter.get()));
            }
        }
    }

    /// All counters at zero.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("petreldrum".to_owned()), None)?;
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            prometheus::Result::Ok(counters)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauges.clone()))?;
            prometheus::Result::Ok(gauges)
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
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BOUNDS.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            prometheus::Result::Ok(histogram)
        };
        Ok(Self {
            requests: counters("requests_total", "Requests that came.", &["hop"])?,
            replies: counters(
                "replies_total",
                "Answers of the gateway itself.",
                &["status", "verdict"],
            )?,
            attempts: counters("attempts_total", "Attempts.", &["target", "outcome"])?,
            customers: counters(
                "customer_requests_total",
                "Requests of customers with an allotment.",
                &["customer", "outcome"],
            )?,
            allotments: gauges(
                "allotment_units",
                "How allotments are used over all boxes.",
                &["customer", "what"],
            )?,
            worst: gauges(
                "worst_customer_requests",
                "Requests in the last minute of the customers whom this box served worst.",
                &["customer", "what"],
            )?,
            rollouts: gauges(
                "rollout_answers",
                "Answers since the order of each roll-out, over all boxes.",
                &["service", "release", "kind"],
            )?,
            broken: counters(
                "broken_attempts_total",
                "Attempts whose connection to a backend server broke.",
                &["answer"],
            )?,
            unframed_ends: counters(
                "unframed_ends_total",
                "Answers with neither a length nor chunks.",
                &["end"],
            )?,
            relay_gaps: counter(
                "relay_gaps_total",
                "Relayed answers of which something was missing.",
            )?,
            moves: counters(
                "moves_total",
                "Runs that were to move to another engine, by how that ended.",
                &["end"],
            )?,
            moved_tokens: counters(
                "moved_prompt_tokens_total",
                "Tokens of the prompts of these runs.",
                &["end"],
            )?,
            move_seconds: histogram(
                "move_seconds",
                "Seconds from the decision to move a run until its stream went on.",
            )?,
            quarantine: counters(
                "quarantine_steps_total",
                "Contents under which backend servers ended: struck, held back, cleared.",
                &["step"],
            )?,
            limited: gauge(
                "limited_backends",
                "Backend servers that say how many requests a second they take.",
            )?,
            departing: gauge(
                "departing_backends",
                "Backend servers that said in an answer that they leave, before their registration does.",
            )?,
            pushed_back: gauge(
                "pushed_back_backends",
                "Backend servers that asked this box to send them nothing for a while.",
            )?,
            limit_refusals: counter(
                "limit_refusals_total",
                "Requests refused because backend servers say how many they take.",
            )?,
            engine_news: counters(
                "engine_news_total",
                "What followed engines told of their memory: list, changes, gap; or failed.",
                &["kind"],
            )?,
            beliefs: counters(
                "prompt_beliefs_total",
                "Sent prompts, by what the belief in the parts held there rested on.",
                &["basis"],
            )?,
            followed: gauge("followed_engines", "Engines whose news this box hears.")?,
            engine_age: gauge(
                "engine_news_age_ms",
                "Time since the followed engine was heard that was heard longest ago.",
            )?,
            replays: counter("replays_total", "Kept answers given again.")?,
            alarms: counter("alarms_total", "Alarms; each is in the log.")?,
            gossip: counters(
                "gossip_bytes_total",
                "Bytes of messages between boxes, by kind; lists and configurations that one fetches as well.",
                &["direction", "kind"],
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
            weight: gauge("box_weight", "What this box can carry; zero if not told.")?,
            full: gauge("box_full", "One while callers are sent elsewhere.")?,
            waiting: gauge("requests_waiting", "Requests that wait for a slot.")?,
            keys: gauge("keys_remembered", "Idempotency keys remembered.")?,
            store_failures: gauge(
                "store_failures",
                "Failed calls to the store since the last one that was answered.",
            )?,
            store_revision: gauge(
                "store_revision",
                "The last change of the store that this box has heard of.",
            )?,
            store_era: gauge(
                "store_era",
                "How often the store has come back from a copy, as far as this box knows.",
            )?,
            connections: gauge("connections", "Connections open at the listeners.")?,
            repeats: counter("repeats_total", "Attempts beyond a request's first.")?,
            repeat_outcomes: counters(
                "repeat_outcomes_total",
                "Attempts beyond the first that were asked for: granted, refused, free, owed.",
                &["service", "outcome"],
            )?,
            repeat_budget: gauges(
                "repeat_budget",
                "Attempts in the retry budget of this box: spent, earned, and its share of the slack.",
                &["service", "what"],
            )?,
            dropped_lines: counter(
                "dropped_log_lines_total",
                "Lines about requests that the log had no room for.",
            )?,
            first_byte: histogram(
                "first_byte_seconds",
                "Seconds from a request's arrival to the first byte of its answer.",
            )?,
            waited: histogram(
                "waited_seconds",
                "Seconds from a request's arrival to its first attempt.",
            )?,
            whole: histogram(
                "whole_seconds",
                "Seconds from a request's arrival to the end of a whole answer.",
            )?,
            pause: histogram(
                "pause_seconds",
                "Longest seconds between two pieces of a whole answer.",
            )?,
            store_seconds: histogram(
                "store_read_seconds",
                "Seconds that a reading of the store took.",
            )?,
            registry,
        })
    }

    /// Counts a run that was to move.
    pub(crate) fn count_move(&self, carried: &Carried) {
        let label = [carried.end.name()];
        self.moves.with_label_values(&label).inc();
        let tokens = self.moved_tokens.with_label_values(&label);
        tokens.inc_by(u64::from(carried.tokens));
        if matches!(carried.end, End::There | End::Back) {
            let took = carried.took.duration().as_secs_f64();
            self.move_seconds.observe(took);
        }
    }

    /// Counts what goes to another box.
    pub fn count_sent(&self, kind: &str, bytes: usize) {
        self.count_gossip("sent", kind, bytes);
    }

    /// Counts what another box was too slow for, or is not reached by yet.
    pub fn count_dropped(&self, kind: &str, bytes: usize) {
        self.count_gossip("dropped", kind, bytes);
    }

    /// Counts what came from another box.
    pub fn count_received(&self, kind: &str, bytes: usize) {
        self.count_gossip("received", kind, bytes);
    }

    fn count_gossip(&self, direction: &str, kind: &str, bytes: usize) {
        let counter = self.gossip.with_label_values(&[direction, kind]);
        counter.inc_by(bytes as u64);
    }

    /// The bytes of messages between boxes since the start, by direction and kind, for the log.
    pub fn traffic(&self) -> String {
        let mut sums = Vec::new();
        for family in self.gossip.collect() {
            for metric in family.get_metric() {
                let labels = metric.get_label().iter().map(|label| label.value());
                let name: Vec<&str> = labels.collect();
                sums.push(format!(
                    "{}={}",
                    name.join("-"),
                    metric.get_counter().get_value()
                ));
            }
        }
        sums.sort_unstable();
        sums.join(" ")
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
