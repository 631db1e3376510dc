//! How far a release is exposed that is rolled out, how soon a bad one is stopped, and how often the verdict
//! is wrong.

use petreldrum::{rollout::Standing, unit::Millis};

use crate::releases::{Fault, Scene};

const SIZES: [usize; 4] = [3, 30, 72, 300];
/// Servers of each release, and requests a second.
const SERVERS: usize = 24;
const DEMAND: f64 = 200.0;
/// The time that the order gives.
const WITHIN: Millis = Millis(12_000);
/// How long a run is watched at most after the order.
const MOST: Millis = Millis(30_000);
/// What may be exposed: a tenth of the requests, and fifty more.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
/// How long after the 50th bad answer requests may still come.
const STOP: Millis = Millis(5000);
const FAULTS: [(&str, Fault); 7] = [
    ("good", Fault::None),
    ("all fail", Fault::Fails(1.0)),
    ("a third fails", Fault::Fails(0.33)),
    ("half is slow", Fault::Slow(0.5)),
    ("fails after 5 s", Fault::Later(0.5, Millis(5000))),
    ("fails under load", Fault::UnderLoad(0.8)),
    ("one route fails", Fault::OneRoute(0.5)),
];

/// What many runs came to.
#[derive(Default)]
struct Sums {
    wrong: usize,
    unfinished: usize,
    over: usize,
    late: usize,
    /// Share of the requests that the new release got until the time limit or the end.
    shares: Vec<f64>,
    /// Time from the order to the end.
    ends: Vec<u64>,
    /// Time from the first bad answer to the end.
    stops: Vec<u64>,
}

/// Plays each size and each fault over `seeds` seeds, and prints a row for each.
pub(super) fn run(seeds: u64, sizes: &[usize]) {
    let sizes = if sizes.is_empty() { &SIZES[..] } else { sizes };
    println!(
        "boxes fault              wrong open over late  share(most)  end p50/max s  stop p50/max s"
    );
    for &boxes in sizes {
        for (name, fault) in FAULTS {
            let mut sums = Sums::default();
            for seed in 0..seeds {
                play(boxes, fault, seed, &mut sums);
            }
            print(boxes, name, sums);
        }
    }
}

fn play(boxes: usize, fault: Fault, seed: u64, sums: &mut Sums) {
    let mut scene = Scene::new(boxes, SERVERS, DEMAND, seed);
    scene.order(SERVERS, WITHIN, fault);
    let ended = scene.pass_until_end(MOST);
    let before = scene.crowd.now;
    scene.pass(STOP.0 + 1000);
    let good = fault == Fault::None;
    let expected = if good {
        Standing::Completed
    } else {
        Standing::RolledBack
    };
    let (all, new) = scene.exposed(before);
    sums.shares.push(new as f64 / all.max(1) as f64);
    sums.over += usize::from(!good && scene.is_overexposed(before, SHARE, SLACK));
    sums.late += usize::from(!good && scene.late(STOP) > 0);
    if !ended {
        sums.unfinished += 1;
        return;
    }
    let (after, standing) = scene.end_after().expect("it ended");
    sums.wrong += usize::from(standing != expected);
    sums.ends.push(after.0);
    if let Some(first) = scene.bad.first() {
        sums.stops.push(before.since(*first).0);
    }
}

fn spread(mut times: Vec<u64>) -> String {
    times.sort_unstable();
    match times.as_slice() {
        [] => "-".to_owned(),
        [.., most] => {
            let middle = times[times.len() / 2];
            format!("{:.1}/{:.1}", middle as f64 / 1000.0, *most as f64 / 1000.0)
        }
    }
}

fn print(boxes: usize, name: &str, sums: Sums) {
    let mean = sums.shares.iter().sum::<f64>() / sums.shares.len().max(1) as f64;
    let most = sums.shares.iter().copied().fold(0.0, f64::max);
    println!(
        "{boxes:5} {name:18} {:5} {:4} {:4} {:4}  {mean:.3}({most:.3})  {:>13}  {:>13}",
        sums.wrong,
        sums.unfinished,
        sums.over,
        sums.late,
        spread(sums.ends),
        spread(sums.stops),
    );
}
