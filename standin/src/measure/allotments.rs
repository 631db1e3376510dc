//! Compares strategies for enforcing an allotment across many boxes, with the same arrivals.

use std::collections::VecDeque;

use petreldrum::{
    allotment::{Accounts, Allotment, Knowledge, Sum, Tolerance, Unit},
    id,
    unit::{Millis, Rate, Time},
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

/// The platform's accounting window, and the use beyond the allotment that it tolerates:
/// [`OVERAGE`] in proportion, and a fixed number of tokens.
const TOLERANCE: Tolerance = Tolerance {
    window: Millis(8000),
    tokens: 190_000.0,
};
const OVERAGE: f64 = 0.1;
/// Duration of a run, and the interval in which the customer sends [`HOT_FACTOR`] times as much.
const RUN_DURATION: Millis = Millis(24_000);
const HOT_INTERVAL: (Time, Time) = (Time(8000), Time(16_000));
const HOT_FACTOR: f64 = 7.5;
/// Time after the hot interval in which refusals may still be caused by it.
const SETTLING_TIME: Millis = Millis(3000);
/// Interval between snapshots of the boxes' accounts, and the age in milliseconds at which other
/// boxes receive them: within a region through hubs, between regions through digests.
const SNAPSHOT_INTERVAL_MS: u64 = 50;
const REGION_LAG_MS: (u64, u64) = (250, 500);
const CROSS_REGION_LAG_MS: (u64, u64) = (700, 1300);
/// Usual use as a fraction of the allotment.
const USUAL_FRACTION: f64 = 1.0 / 1.8;
/// Tokens of long and short requests, and the fraction of all tokens used by long ones.
const LONG_TOKENS: f64 = 17_500.0;
const SHORT_TOKENS: f64 = 430.0;
const LONG_TOKEN_FRACTION: f64 = 0.6;
const SEEDS: u64 = 3;

/// A strategy for enforcing an allotment.
#[derive(Clone, Copy, Debug)]
enum Strategy {
    /// Each box has a fixed, equal share.
    Fixed,
    /// Each box has a share in proportion to its part of the demand.
    Lent,
    /// All boxes refuse requests once the fleet's use reaches the allotment.
    Stop,
    /// As `Stop`, and excess demand is refused at random.
    Chance,
}

/// Use and demand of the boxes and regions at one time.
struct Snapshot {
    boxes: Vec<Sum>,
    regions: [Sum; 3],
}

#[derive(Default)]
struct Outcome {
    admitted: VecDeque<(Time, f64)>,
    in_window: f64,
    most: f64,
    hot: f64,
    calm: u32,
    refused: u32,
}

impl Outcome {
    fn admit(&mut self, cost: f64, now: Time) {
        self.admitted.push_back((now, cost));
        self.in_window += cost;
        while let Some(&(at, old)) = self.admitted.front()
            && now.since(at) > TOLERANCE.window
        {
            self.in_window -= old;
            self.admitted.pop_front();
        }
        self.most = self.most.max(self.in_window);
    }
}

fn add(sum: &mut Sum, more: Sum) {
    sum.used += more.used;
    sum.offered += more.offered;
}

/// Maps a random number to a region: 90% of the requests arrive in region 0, which is at its peak.
fn region(draw: f64) -> usize {
    match draw {
        d if d < 0.9 => 0,
        d if d < 0.96 => 1,
        _ => 2,
    }
}

fn simulate(strategy: Strategy, boxes: usize, rate: f64, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let customer: id::Customer = "clinic".parse().expect("valid name");
    let allotment = Allotment {
        unit: Unit::Tokens,
        rate: Rate(rate),
        burst: rate,
        plain: 200,
    };
    let mut accounts: Vec<Accounts> = (0..boxes).map(|_| Accounts::new(TOLERANCE)).collect();
    let lags: Vec<(u64, u64)> = (0..boxes)
        .map(|_| {
            let region_lag = random.random_range(REGION_LAG_MS.0..REGION_LAG_MS.1);
            (
                region_lag,
                random.random_range(CROSS_REGION_LAG_MS.0..CROSS_REGION_LAG_MS.1),
            )
        })
        .collect();
    let mut snapshots: Vec<Snapshot> = Vec::new();
    let (long, short) = (
        LONG_TOKEN_FRACTION / LONG_TOKENS,
        (1.0 - LONG_TOKEN_FRACTION) / SHORT_TOKENS,
    );
    let mut outcome = Outcome::default();
    let mut time = 0.0;
    loop {
        let hot = time >= HOT_INTERVAL.0.0 as f64 && time < HOT_INTERVAL.1.0 as f64;
        let factor = if hot { HOT_FACTOR } else { 1.0 };
        let per_ms = rate * USUAL_FRACTION * factor * (long + short) / 1000.0;
        time -= random.random::<f64>().max(f64::MIN_POSITIVE).ln() / per_ms;
        let now = Time(time as u64);
        if now > Time(0) + RUN_DURATION {
            return outcome;
        }
        while snapshots.len() as u64 * SNAPSHOT_INTERVAL_MS <= now.0 {
            let at = Time(snapshots.len() as u64 * SNAPSHOT_INTERVAL_MS);
            let sums: Vec<Sum> = accounts.iter().map(|a| a.sum(&customer, at)).collect();
            let mut regions = [Sum::default(); 3];
            for (number, sum) in sums.iter().enumerate() {
                add(&mut regions[number % 3], *sum);
            }
            snapshots.push(Snapshot {
                boxes: sums,
                regions,
            });
        }
        let is_long = random.random_bool(long / (long + short));
        // Spread of prompt sizes: from about a quarter of the mean to three times the mean.
        let spread = (random.random::<f64>() * 2.4 - 1.4).exp() * 1.1;
        let cost = if is_long { LONG_TOKENS } else { SHORT_TOKENS } * spread;
        let home = region(random.random());
        let members = (boxes - home).div_ceil(3);
        let number = home + 3 * random.random_range(0..members);
        let snapshot_before = |lag: u64| {
            let index = now.0.checked_sub(lag)? / SNAPSHOT_INTERVAL_MS;
            snapshots.get(index as usize)
        };
        let (region_lag, cross_region_lag) = lags[number];
        let mut others = Sum::default();
        let mut all_offered = 0.0;
        if let Some(snapshot) = snapshot_before(region_lag) {
            let here = snapshot.regions[home];
            add(&mut others, here.without(snapshot.boxes[number]));
            all_offered += here.offered;
        }
        if let Some(snapshot) = snapshot_before(cross_region_lag) {
            for other_region in (0..3).filter(|r| *r != home) {
                add(&mut others, snapshot.regions[other_region]);
                all_offered += snapshot.regions[other_region].offered;
            }
        }
        let own = accounts[number].sum(&customer, now);
        let alone = |part| Knowledge::Reported {
            others: Sum::default(),
            part,
        };
        let heard = Knowledge::Reported { others, part: 1.0 };
        let draw: u64 = random.random();
        let (known, draw) = match strategy {
            Strategy::Fixed => (alone(1.0 / boxes as f64), 0),
            Strategy::Lent => (
                alone((own.offered + cost) / (all_offered + cost).max(own.offered + cost)),
                0,
            ),
            Strategy::Stop => (heard, 0),
            Strategy::Chance => (heard, draw),
        };
        let taken = accounts[number].take(&customer, &allotment, cost, known, draw, now);
        let calm = !hot && (now < HOT_INTERVAL.0 || now > HOT_INTERVAL.1 + SETTLING_TIME);
        outcome.calm += u32::from(calm);
        match taken {
            Ok(()) => {
                outcome.admit(cost, now);
                outcome.hot += if hot { cost } else { 0.0 };
            }
            Err(_) => outcome.refused += u32::from(calm),
        }
    }
}

/// Runs all strategies and prints the table.
pub(super) fn run() -> eyre::Result<()> {
    println!("boxes  tokens/s  way     largest window  used while hot  refused while calm");
    let hot = (HOT_INTERVAL.1.0 - HOT_INTERVAL.0.0) as f64 / 1000.0;
    for boxes in [9, 74, 300] {
        for rate in [47_000.0, 200_000.0, 1_000_000.0] {
            let window = TOLERANCE.window.0 as f64 / 1000.0;
            let bound = (rate * window + rate) * (1.0 + OVERAGE) + TOLERANCE.tokens;
            for strategy in [
                Strategy::Fixed,
                Strategy::Lent,
                Strategy::Stop,
                Strategy::Chance,
            ] {
                let outcomes: Vec<Outcome> = (0..SEEDS)
                    .map(|s| simulate(strategy, boxes, rate, s))
                    .collect();
                let most = outcomes.iter().map(|p| p.most / bound).fold(0.0, f64::max);
                let mean = |figures: Vec<f64>| figures.iter().sum::<f64>() / figures.len() as f64;
                let used = outcomes.iter().map(|p| p.hot / (rate * hot));
                let used = mean(used.collect());
                let refused = outcomes
                    .iter()
                    .map(|p| f64::from(p.refused) / f64::from(p.calm));
                let refused = mean(refused.collect());
                println!(
                    "{boxes:5} {rate:9.0}  {:6}  {most:14.2}  {used:14.2}  {refused:18.4}",
                    format!("{strategy:?}").to_lowercase()
                );
            }
        }
    }
    Ok(())
}
