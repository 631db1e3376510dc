//! Measures roll-outs: exposure of the new release, time to stop a bad one, and wrong verdicts.

use petreldrum::{rollout::Standing, unit::Millis};

use crate::releases::{Fault, Scene};

const SIZES: [usize; 4] = [3, 30, 72, 300];
/// Servers of each release, and requests per second over all boxes.
const SERVERS_PER_RELEASE: usize = 24;
const REQUESTS_PER_S: f64 = 200.0;
/// Duration given in the order.
const ORDER_DURATION: Millis = Millis(12_000);
/// Longest observed time after the order.
const MAX_RUN: Millis = Millis(30_000);
/// Permitted exposure of a bad release: a tenth of the requests, plus fifty.
const MAX_EXPOSED_SHARE: f64 = 0.1;
const EXPOSED_SLACK: f64 = 50.0;
/// Time after the 50th bad answer in which requests may still reach a bad release.
const STOP_WINDOW: Millis = Millis(5000);
const FAULTS: [(&str, Fault); 7] = [
    ("good", Fault::None),
    ("all fail", Fault::Fails(1.0)),
    ("a third fails", Fault::Fails(0.33)),
    ("half is slow", Fault::Slow(0.5)),
    ("fails after 5 s", Fault::Later(0.5, Millis(5000))),
    ("fails under load", Fault::UnderLoad(0.8)),
    ("one route fails", Fault::OneRoute(0.5)),
];

/// Aggregated results of many runs.
#[derive(Default)]
struct Results {
    wrong: usize,
    unfinished: usize,
    over: usize,
    late: usize,
    /// Share of requests that reached the new release until the end or the time limit.
    shares: Vec<f64>,
    /// Milliseconds from the order to the end.
    ends: Vec<u64>,
    /// Milliseconds from the first bad answer to the end.
    stops: Vec<u64>,
}

/// Simulates each size and fault with `seeds` seeds, and prints a row for each pair.
pub(super) fn run(seeds: u64, sizes: &[usize]) {
    let sizes = if sizes.is_empty() { &SIZES[..] } else { sizes };
    println!(
        "boxes fault              wrong open over late  share(most)  end p50/max s  stop p50/max s"
    );
    for &boxes in sizes {
        for (name, fault) in FAULTS {
            let mut results = Results::default();
            for seed in 0..seeds {
                simulate(boxes, fault, seed, &mut results);
            }
            print(boxes, name, results);
        }
    }
}

fn simulate(boxes: usize, fault: Fault, seed: u64, results: &mut Results) {
    let mut scene = Scene::new(boxes, SERVERS_PER_RELEASE, REQUESTS_PER_S, seed);
    scene.order(SERVERS_PER_RELEASE, ORDER_DURATION, fault);
    let ended = scene.pass_until_end(MAX_RUN);
    let before = scene.crowd.now;
    scene.pass(STOP_WINDOW.0 + 1000);
    let good = fault == Fault::None;
    let expected = if good {
        Standing::Completed
    } else {
        Standing::RolledBack
    };
    let (all, new) = scene.exposed(before);
    results.shares.push(new as f64 / all.max(1) as f64);
    results.over +=
        usize::from(!good && scene.is_overexposed(before, MAX_EXPOSED_SHARE, EXPOSED_SLACK));
    results.late += usize::from(!good && scene.late(STOP_WINDOW) > 0);
    if !ended {
        results.unfinished += 1;
        return;
    }
    let (after, standing) = scene.end_after().expect("the roll-out has ended");
    results.wrong += usize::from(standing != expected);
    results.ends.push(after.0);
    if let Some(first) = scene.bad.first() {
        results.stops.push(before.since(*first).0);
    }
}

fn median_and_max(mut times: Vec<u64>) -> String {
    times.sort_unstable();
    match times.as_slice() {
        [] => "-".to_owned(),
        [.., most] => {
            let middle = times[times.len() / 2];
            format!("{:.1}/{:.1}", middle as f64 / 1000.0, *most as f64 / 1000.0)
        }
    }
}

fn print(boxes: usize, name: &str, results: Results) {
    let mean = results.shares.iter().sum::<f64>() / results.shares.len().max(1) as f64;
    let most = results.shares.iter().copied().fold(0.0, f64::max);
    println!(
        "{boxes:5} {name:18} {:5} {:4} {:4} {:4}  {mean:.3}({most:.3})  {:>13}  {:>13}",
        results.wrong,
        results.unfinished,
        results.over,
        results.late,
        median_and_max(results.ends),
        median_and_max(results.stops),
    );
}
