//! Measures how well boxes that share a backend server's limit comply with it and how much of it
//! they use.

use std::collections::VecDeque;

use petreldrum::{
    limit::{Announcement, Limit, share},
    unit::{Millis, Rate, Time},
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

const SIZES: [usize; 4] = [3, 26, 100, 300];
const LIMITS: [f64; 6] = [0.2, 1.0, 3.9, 10.0, 20.0, 50.0];
/// Demand as a multiple of the limit.
const DEMANDS: [f64; 2] = [1.2, 4.0];
/// Time from which requests arrive (all boxes know the limit by then), and the end of the run.
const START: Time = Time(5000);
const END: Time = Time(125_000);
/// Simulation step, in milliseconds.
const STEP_MS: u64 = 10;
const WINDOW: Millis = Millis(4000);
/// Requests that a platform permits in a window: 1.5 times the limit, plus five.
const WINDOW_FACTOR: f64 = 1.5;
const WINDOW_EXTRA: f64 = 5.0;
const SEEDS: u64 = 3;

/// Requests that reached the server.
#[derive(Default)]
struct Arrivals {
    recent: VecDeque<Time>,
    worst: usize,
    all: usize,
}

impl Arrivals {
    fn add(&mut self, now: Time) {
        self.recent.push_back(now);
        while self
            .recent
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.recent.pop_front();
        }
        self.worst = self.worst.max(self.recent.len());
        self.all += 1;
    }
}

/// Simulates requests that arrive at random boxes; a box sends a request to the server if its share
/// of the limit permits it.
fn simulate(boxes: usize, limit: f64, demand: f64, seed: u64) -> Arrivals {
    let mut random = StdRng::seed_from_u64(seed);
    let mut limits: Vec<Limit> = Vec::new();
    for rank in 0..boxes {
        let mut known = Limit::default();
        known.apply_announcement(Announcement::Rate(Rate(limit)), Time(0), Time(0));
        known.set_share(share(Rate(limit), rank, boxes), Time(0));
        limits.push(known);
    }
    let chance = demand * limit * STEP_MS as f64 / 1000.0;
    let mut arrivals = Arrivals::default();
    for now in (START.0..END.0).step_by(STEP_MS as usize).map(Time) {
        let count = chance as u64 + u64::from(random.random_bool(chance.fract()));
        for _ in 0..count {
            let chosen = &mut limits[random.random_range(0..boxes)];
            if chosen.wait(0.0, now) == Some(Millis(0)) {
                chosen.spend(now);
                arrivals.add(now);
            }
        }
    }
    arrivals
}

pub(super) fn run() {
    println!("boxes  limit/s  asked for  worst window  may pass  part used");
    for boxes in SIZES {
        for limit in LIMITS {
            for demand in DEMANDS {
                let runs = (0..SEEDS).map(|seed| simulate(boxes, limit, demand, seed));
                let runs: Vec<Arrivals> = runs.collect();
                let worst = runs
                    .iter()
                    .map(|arrivals| arrivals.worst)
                    .max()
                    .unwrap_or(0);
                let all: usize = runs.iter().map(|arrivals| arrivals.all).sum();
                let seconds = END.since(START).0 as f64 / 1000.0 * SEEDS as f64;
                let permitted = WINDOW_FACTOR * limit * WINDOW.0 as f64 / 1000.0 + WINDOW_EXTRA;
                println!(
                    "{boxes:5}  {limit:7}  {demand:8}x  {worst:12}  {permitted:8.0}  {:9.2}",
                    all as f64 / seconds / limit
                );
            }
        }
    }
}
