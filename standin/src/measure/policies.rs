//! Compares the routing policies under peaks, lost capacity, a cut link and cold caches.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use hyper::Method;
use petreldrum::policy::Named;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    engine::{Behaviour, Engine, REFUSED},
    http::{begin, call, start},
    system::{Plan, System, key_of, sections},
};

const REGIONS: [&str; 3] = ["perth", "bunbury", "geraldton"];
/// Price of a request on the servers of each region.
const PRICES: [f64; 3] = [1.0, 1.3, 1.1];
/// Price of relaying a request and its answer between regions.
const RELAY_PRICE: f64 = 0.5;
const BOXES_PER_REGION: usize = 3;
const ENGINES_PER_REGION: usize = 2;
const SLOTS_PER_ENGINE: usize = 6;
const TOKENS_PER_ANSWER: u64 = 12;
/// One-way delay between boxes of two regions.
const LINK_DELAY: Duration = Duration::from_millis(20);
/// Bound on the time to the first token of answers that count as in time.
const FIRST_TOKEN_BOUND: Duration = Duration::from_millis(380);
/// Deadline sent by callers: the answer must begin within this many milliseconds.
const DEADLINE_MS: &str = "1500";
const PREFIXES: u64 = 12;
/// Length in bytes, longer than the part of a prompt that identifies its prefix, so that prompts
/// with the same prefix differ only at the end.
const MIN_PREFIX_BYTES: usize = 1100;
const ENGINE_BEHAVIOUR: Behaviour = Behaviour {
    first_ms: 40,
    cold_ms: 60,
    token_ms: 5,
    refuse: false,
    retry_after: None,
    cut: false,
    reset: false,
    limit: None,
    brittle: None,
    queue: None,
};

/// Phases, with requests per second in each region.
const PHASES: [(&str, [u64; 3]); 5] = [
    ("steady", [40, 40, 40]),
    ("perth peaks", [190, 30, 30]),
    ("bunbury loses a server and peaks", [30, 110, 30]),
    ("geraldton peaks, perth cut off", [50, 30, 170]),
    ("all return, caches cold", [70, 70, 70]),
];

#[derive(Clone, Copy)]
struct Deployment {
    name: &'static str,
    example: &'static str,
}

impl Deployment {
    /// Returns the `[weights]` section of the deployment's example configuration.
    fn weights(&self) -> &'static str {
        let start = self.example.find("[weights]").unwrap_or(0);
        let rest = &self.example[start..];
        let end = rest.find("\n[").map_or(rest.len(), |end| end + 1);
        &rest[..end]
    }
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Kestrel Reach",
        example: include_str!("../../../examples/kestrel-reach.ini"),
    },
    Deployment {
        name: "River Gauge",
        example: include_str!("../../../examples/river-gauge.ini"),
    },
];

/// Measurements that callers made in one run.
struct Measurements {
    first: Histogram<u64>,
    whole: Histogram<u64>,
    sent: u64,
    in_time: u64,
    served: u64,
    away: u64,
    refused: u64,
    failed: u64,
    cost: f64,
}

impl Measurements {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            first: Histogram::new(3)?,
            whole: Histogram::new(3)?,
            sent: 0,
            in_time: 0,
            served: 0,
            away: 0,
            refused: 0,
            failed: 0,
            cost: 0.0,
        })
    }
}

fn prompt(region: &str, number: u64) -> String {
    let prefix = format!("{region}-{} ", number % PREFIXES);
    let repeated = prefix.repeat(MIN_PREFIX_BYTES / prefix.len() + 1);
    format!("{repeated}{number}")
}

async fn send_one(
    address: SocketAddr,
    region: usize,
    number: u64,
    measured: Arc<Mutex<Measurements>>,
) {
    let key = key_of(REGIONS[region]);
    let headers = [
        ("x-api-key", key.as_str()),
        ("petreldrum-deadline-ms", DEADLINE_MS),
    ];
    let body = json!({
        "model": "model",
        "max_tokens": TOKENS_PER_ANSWER,
        "messages": [{ "role": "user", "content": prompt(REGIONS[region], number) }],
    });
    let start = Instant::now();
    let path = "/v1/chat/completions";
    let begun = begin(address, Method::POST, path, &headers, body.to_string()).await;
    let mut first = None;
    let mut answer = None;
    if let Ok(mut begun) = begun {
        let place = begun.head().get("petreldrum-region").cloned();
        if begun.next().await.is_some() {
            first = Some(start.elapsed());
        }
        answer = Some((begun.finish().await, place));
    }
    let mut measured = measured.lock().expect("the lock is never poisoned");
    measured.sent += 1;
    let Some((answer, place)) = answer.filter(|(a, _)| a.whole) else {
        measured.failed += 1;
        return;
    };
    if !answer.status.is_success() {
        match answer.status.as_u16() {
            429 | 503 => measured.refused += 1,
            _ => measured.failed += 1,
        }
        return;
    }
    let first = first.unwrap_or_else(|| start.elapsed());
    let place = place.and_then(|p| REGIONS.iter().position(|r| p == *r));
    let place = place.unwrap_or(region);
    let away = place != region;
    measured.served += 1;
    measured.in_time += u64::from(first <= FIRST_TOKEN_BOUND);
    measured.away += u64::from(away);
    measured.cost += PRICES[place] + if away { RELAY_PRICE } else { 0.0 };
    let _ = measured.first.record(first.as_millis() as u64);
    let _ = measured.whole.record(start.elapsed().as_millis() as u64);
}

/// Sends a region's requests at a constant rate without waiting for answers (open loop).
async fn callers(
    boxes: Vec<SocketAddr>,
    region: usize,
    rate: u64,
    span: Duration,
    offset: u64,
    measured: Arc<Mutex<Measurements>>,
) {
    let mut pace = interval(Duration::from_secs_f64(1.0 / rate as f64));
    pace.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut tasks = JoinSet::new();
    let end = Instant::now() + span;
    let mut number = offset;
    while Instant::now() < end {
        pace.tick().await;
        number += 1;
        let address = boxes[number as usize % boxes.len()];
        tasks.spawn(send_one(address, region, number, measured.clone()));
    }
    tasks.join_all().await;
}

async fn set_behaviour(engine: SocketAddr, behaviour: Behaviour) -> eyre::Result<()> {
    let body = json!(behaviour).to_string();
    call(engine, Method::POST, "/_behave", &[], body).await?;
    Ok(())
}

async fn configuration(weights: &str) -> eyre::Result<(String, Vec<SocketAddr>)> {
    let mut text = weights.to_owned() + &sections(&REGIONS);
    text.push_str(
        "[model model]\n\
         [route chat]\nprefix = /v1\nkind = model\nrepeatable = true\n\
         [selector all]\n",
    );
    let mut engines = Vec::new();
    for (region, price) in REGIONS.iter().zip(PRICES) {
        for number in 0..ENGINES_PER_REGION {
            let engine = start(Engine::new(SLOTS_PER_ENGINE, ENGINE_BEHAVIOUR)).await?;
            text += &format!(
                "[backend {region}-{number}]\naddress = {engine}\nregion = {region}\n\
                 failure_domain = {region}-a\nserves = model\nslots = {SLOTS_PER_ENGINE}\nprice = {price}\n\
                 refusal_header = {REFUSED}\n"
            );
            engines.push(engine);
        }
    }
    Ok((text, engines))
}

async fn run_policy(
    policy: Named,
    weights: &str,
    seconds: u64,
) -> eyre::Result<(Measurements, f64)> {
    let plan = Plan {
        regions: &REGIONS,
        boxes: BOXES_PER_REGION,
        policy,
        delay: Some(LINK_DELAY),
    };
    let system = System::start(&plan).await?;
    let (text, engines) = configuration(weights).await?;
    system.configure(&text).await?;
    system.acquainted(REGIONS.len() - 1).await?;
    let measured = Arc::new(Mutex::new(Measurements::new()?));
    let span = Duration::from_secs(seconds);
    for (index, (_, rates)) in PHASES.iter().enumerate() {
        // The second server of bunbury refuses during the third phase.
        let refuse = index == 2;
        set_behaviour(
            engines[ENGINES_PER_REGION + 1],
            Behaviour {
                refuse,
                ..ENGINE_BEHAVIOUR
            },
        )
        .await?;
        let cut = index == 3;
        for (name, link) in &system.links {
            link.cut(cut && name.starts_with(REGIONS[0]));
        }
        let mut regions = JoinSet::new();
        for (region, rate) in rates.iter().enumerate() {
            let mine = system
                .boxes
                .iter()
                .filter(|(n, _)| n.starts_with(REGIONS[region]));
            let boxes = mine.map(|(_, b)| b.public).collect();
            let offset = index as u64 * 1_000_000;
            regions.spawn(callers(
                boxes,
                region,
                *rate,
                span,
                offset,
                measured.clone(),
            ));
        }
        regions.join_all().await;
    }
    let repeats = system
        .sum(&[
            "petreldrum_attempts_total{outcome=\"failed\"",
            "petreldrum_attempts_total{outcome=\"refused\"",
        ])
        .await?;
    let measured = std::mem::replace(
        &mut *measured.lock().expect("the lock is never poisoned"),
        Measurements::new()?,
    );
    let repeats = repeats / measured.sent as f64;
    Ok((measured, repeats))
}

pub(super) async fn run(seconds: u64) -> eyre::Result<()> {
    println!("phases of {seconds} s each; requests a second in perth, bunbury, geraldton:");
    for (name, rates) in PHASES {
        println!("  {name}: {rates:?}");
    }
    println!(
        "cost of a request: the price of its server, and {RELAY_PRICE} if it moved; mean over served"
    );
    println!(
        "policy        weights        sent  in time  first token p50/p95/p99 ms  \
         whole p50/p95/p99 ms  away   cost   refused  failed  again"
    );
    let baselines = [Named::HomeOnly, Named::Nearest, Named::LeastLoaded];
    let mut runs: Vec<(Named, Deployment)> = DEPLOYMENTS.map(|d| (Named::Balanced, d)).to_vec();
    runs.extend(baselines.map(|policy| (policy, DEPLOYMENTS[0])));
    for (policy, deployment) in runs {
        let (measured, repeats) = run_policy(policy, deployment.weights(), seconds).await?;
        let at = |h: &Histogram<u64>| {
            format!(
                "{:4}/{:4}/{:4}",
                h.value_at_quantile(0.5),
                h.value_at_quantile(0.95),
                h.value_at_quantile(0.99)
            )
        };
        let share = |n: u64| n as f64 / measured.sent as f64 * 100.0;
        let weights = match policy {
            Named::Balanced => deployment.name,
            _ => "-",
        };
        println!(
            "{policy:12}  {weights:13}  {:5}  {:6.2}%  {:>26}  {:>20}  {:4.1}%  {:5.3}  {:6.2}%  {:5.2}%  {repeats:.3}",
            measured.sent,
            share(measured.in_time),
            at(&measured.first),
            at(&measured.whole),
            measured.away as f64 / measured.served.max(1) as f64 * 100.0,
            measured.cost / measured.served.max(1) as f64,
            share(measured.refused),
            share(measured.failed),
        );
        sleep(Duration::from_millis(500)).await;
    }
    Ok(())
}
