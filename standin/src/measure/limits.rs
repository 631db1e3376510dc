//! How boxes that share a backend server's limit hold it, and how much of it they use.

use std::collections::VecDeque;

use petreldrum::{
    limit::{Announcement, Limit, share},
    unit::{Millis, Rate, Time},
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

const SIZES: [usize; 4] = [3, 26, 100, 300];
const LIMITS: [f64; 6] = [0.2, 1.0, 3.9, 10.0, 20.0, 50.0];
/// Requests that callers ask for, for each that the server takes.
const DEMANDS: [f64; 2] = [1.2, 4.0];
/// When the limit is known to all, and when the run ends.
const KNOWN: Time = Time(5000);
const END: Time = Time(125_000);
/// Time between two looks at the boxes.
const STEP: u64 = 10;
const WINDOW: Millis = Millis(4000);
/// What a platform lets pass in a window: half as much again as the limit, and five more.
const OVER: f64 = 1.5;
const MORE: f64 = 5.0;
const SEEDS: u64 = 3;

/// What came to the server.
#[derive(Default)]
struct Came {
    recent: VecDeque<Time>,
    worst: usize,
    all: usize,
}

impl Came {
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

/// Requests that come to boxes at random and go to the server where its turn there has come.
fn play(boxes: usize, limit: f64, demand: f64, seed: u64) -> Came {
    let mut random = StdRng::seed_from_u64(seed);
    let mut limits: Vec<Limit> = Vec::new();
    for rank in 0..boxes {
        let mut known = Limit::default();
        known.apply_announcement(Announcement::Rate(Rate(limit)), Time(0), Time(0));
        known.set_share(share(Rate(limit), rank, boxes), Time(0));
        limits.push(known);
    }
    let chance = demand * limit * STEP as f64 / 1000.0;
    let mut came = Came::default();
    for now in (KNOWN.0..END.0).step_by(STEP as usize).map(Time) {
        let some = chance as u64 + u64::from(random.random_bool(chance.fract()));
        for _ in 0..some {
            let chosen = &mut limits[random.random_range(0..boxes)];
            if chosen.wait(0.0, now) == Some(Millis(0)) {
                chosen.spend(now);
                came.add(now);
            }
        }
    }
    came
}

pub(super) fn run() {
    println!("boxes  limit/s  asked for  worst window  may pass  part used");
    for boxes in SIZES {
        for limit in LIMITS {
            for demand in DEMANDS {
                let plays = (0..SEEDS).map(|seed| play(boxes, limit, demand, seed));
                let plays: Vec<Came> = plays.collect();
                let worst = plays.iter().map(|came| came.worst).max().unwrap_or(0);
                let all: usize = plays.iter().map(|came| came.all).sum();
                let seconds = END.since(KNOWN).0 as f64 / 1000.0 * SEEDS as f64;
                let may = OVER * limit * WINDOW.0 as f64 / 1000.0 + MORE;
                println!(
                    "{boxes:5}  {limit:7}  {demand:8}x  {worst:12}  {may:8.0}  {:9.2}",
                    all as f64 / seconds / limit
                );
            }
        }
    }
}
