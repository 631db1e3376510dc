//! Ways to hold an allotment over many boxes against each other, on the same arrivals.

use std::collections::VecDeque;

use petreldrum::{
    allotment::{Accounts, Allotment, Knowledge, Sum, Tolerance, Unit},
    id,
    unit::{Millis, Rate, Time},
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

/// What the platform adds up over, and lets pass beyond.
const TOLERANCE: Tolerance = Tolerance {
    window: Millis(8000),
    tokens: 190_000.0,
};
const OVERAGE: f64 = 0.1;
/// Each run, and the part of it in which the customer sends more.
const RUN: Millis = Millis(24_000);
const HOT: (Time, Time) = (Time(8000), Time(16_000));
const HOT_FACTOR: f64 = 7.5;
/// How long after that a refusal may still be its fault.
const AFTER: Millis = Millis(3000);
/// Time between two looks at what boxes tell, and the age of what others hear of it: in a region by
/// hubs, between regions by digests.
const LOOK: u64 = 50;
const NEAR: (u64, u64) = (250, 500);
const FAR: (u64, u64) = (700, 1300);
/// Usual use as a part of the allotment.
const USUAL: f64 = 1.0 / 1.8;
/// Tokens of long and short requests, and the part of the tokens that long ones make up.
const LONG: f64 = 17_500.0;
const SHORT: f64 = 430.0;
const LONG_PART: f64 = 0.6;
const SEEDS: u64 = 3;

/// A way to hold an allotment.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// Each box has a fixed part.
    Fixed,
    /// Each box is lent a part by its share of what is asked for.
    Lent,
    /// All stop where the fleet's use reaches the allotment.
    Stop,
    /// The same, and what is asked for too much is dropped by chance.
    Chance,
}

/// What one look saw.
struct Look {
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

/// The regions' shares of the requests: one has its peak.
fn region(draw: f64) -> usize {
    match draw {
        d if d < 0.9 => 0,
        d if d < 0.96 => 1,
        _ => 2,
    }
}

fn play(way: Way, boxes: usize, rate: f64, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let customer: id::Customer = "clinic".parse().expect("a name");
    let allotment = Allotment {
        unit: Unit::Tokens,
        rate: Rate(rate),
        burst: rate,
        plain: 200,
    };
    let mut accounts: Vec<Accounts> = (0..boxes).map(|_| Accounts::new(TOLERANCE)).collect();
    let lags: Vec<(u64, u64)> = (0..boxes)
        .map(|_| {
            let near = random.random_range(NEAR.0..NEAR.1);
            (near, random.random_range(FAR.0..FAR.1))
        })
        .collect();
    let mut looks: Vec<Look> = Vec::new();
    let (long, short) = (LONG_PART / LONG, (1.0 - LONG_PART) / SHORT);
    let mut outcome = Outcome::default();
    let mut time = 0.0;
    loop {
        let hot = time >= HOT.0.0 as f64 && time < HOT.1.0 as f64;
        let factor = if hot { HOT_FACTOR } else { 1.0 };
        let per_ms = rate * USUAL * factor * (long + short) / 1000.0;
        time -= random.random::<f64>().max(f64::MIN_POSITIVE).ln() / per_ms;
        let now = Time(time as u64);
        if now > Time(0) + RUN {
            return outcome;
        }
        while looks.len() as u64 * LOOK <= now.0 {
            let at = Time(looks.len() as u64 * LOOK);
            let sums: Vec<Sum> = accounts.iter().map(|a| a.sum(&customer, at)).collect();
            let mut regions = [Sum::default(); 3];
            for (number, sum) in sums.iter().enumerate() {
                add(&mut regions[number % 3], *sum);
            }
            looks.push(Look {
                boxes: sums,
                regions,
            });
        }
        let is_long = random.random_bool(long / (long + short));
        // A spread as of prompts: some are a quarter of the mean, some three times it.
        let spread = (random.random::<f64>() * 2.4 - 1.4).exp() * 1.1;
        let cost = if is_long { LONG } else { SHORT } * spread;
        let home = region(random.random());
        let members = (boxes - home).div_ceil(3);
        let number = home + 3 * random.random_range(0..members);
        let seen = |lag: u64| {
            let index = now.0.checked_sub(lag)? / LOOK;
            looks.get(index as usize)
        };
        let (near, far) = lags[number];
        let mut others = Sum::default();
        let mut all_offered = 0.0;
        if let Some(look) = seen(near) {
            let here = look.regions[home];
            add(&mut others, here.without(look.boxes[number]));
            all_offered += here.offered;
        }
        if let Some(look) = seen(far) {
            for away in (0..3).filter(|r| *r != home) {
                add(&mut others, look.regions[away]);
                all_offered += look.regions[away].offered;
            }
        }
        let own = accounts[number].sum(&customer, now);
        let alone = |part| Knowledge::Reported {
            others: Sum::default(),
            part,
        };
        let heard = Knowledge::Reported { others, part: 1.0 };
        let draw: u64 = random.random();
        let (known, draw) = match way {
            Way::Fixed => (alone(1.0 / boxes as f64), 0),
            Way::Lent => (
                alone((own.offered + cost) / (all_offered + cost).max(own.offered + cost)),
                0,
            ),
            Way::Stop => (heard, 0),
            Way::Chance => (heard, draw),
        };
        let taken = accounts[number].take(&customer, &allotment, cost, known, draw, now);
        let calm = !hot && (now < HOT.0 || now > HOT.1 + AFTER);
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

/// Prints the table.
pub(super) fn run() -> eyre::Result<()> {
    println!("boxes  tokens/s  way     largest window  used while hot  refused while calm");
    let hot = (HOT.1.0 - HOT.0.0) as f64 / 1000.0;
    for boxes in [9, 74, 300] {
        for rate in [47_000.0, 200_000.0, 1_000_000.0] {
            let window = TOLERANCE.window.0 as f64 / 1000.0;
            let bound = (rate * window + rate) * (1.0 + OVERAGE) + TOLERANCE.tokens;
            for way in [Way::Fixed, Way::Lent, Way::Stop, Way::Chance] {
                let plays: Vec<Outcome> = (0..SEEDS).map(|s| play(way, boxes, rate, s)).collect();
                let most = plays.iter().map(|p| p.most / bound).fold(0.0, f64::max);
                let mean = |figures: Vec<f64>| figures.iter().sum::<f64>() / figures.len() as f64;
                let used = plays.iter().map(|p| p.hot / (rate * hot));
                let used = mean(used.collect());
                let refused = plays
                    .iter()
                    .map(|p| f64::from(p.refused) / f64::from(p.calm));
                let refused = mean(refused.collect());
                println!(
                    "{boxes:5} {rate:9.0}  {:6}  {most:14.2}  {used:14.2}  {refused:18.4}",
                    format!("{way:?}").to_lowercase()
                );
            }
        }
    }
    Ok(())
}
