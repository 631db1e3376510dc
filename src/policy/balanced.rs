//! Default policy: expected delay, remoteness from home and price, weighted by the configuration.

use crate::{
    policy::{Candidate, Choice, Policy, View},
    unit::Millis,
};

/// Extra time to the first byte if the prompt prefix is not cached.
const COLD_PREFILL_PENALTY: Millis = Millis(60);

/// Penalty for a failed answer, which costs the attempt itself and another one after it.
const FAILURE_PENALTY: Millis = Millis(1000);

/// Chooses the place with the lowest weighted score; another region is chosen only if it scores
/// better.
#[derive(Clone, Copy, Debug, Default)]
pub struct Balanced;

/// Returns the expected time until `candidate` begins to answer, in milliseconds.
fn delay(candidate: &Candidate) -> f64 {
    let first = candidate.first.0 as f64;
    let queueing = first * candidate.load.min(1.0);
    let cold = if candidate.warm {
        0
    } else {
        COLD_PREFILL_PENALTY.0
    };
    let failure = candidate.failing * FAILURE_PENALTY.0 as f64;
    let fixed = candidate.wait + candidate.risk + candidate.hop + candidate.burden;
    (fixed.0 + cold) as f64 + first + queueing + failure
}

impl Policy for Balanced {
    fn pick(&self, view: &View<'_>) -> Choice {
        let weights = view.weights;
        let score = |c: &&Candidate| {
            let away = if c.home { 0.0 } else { weights.away };
            weights.tail * delay(c) + away + weights.cost * c.price
        };
        let in_time = |c: &&Candidate| c.wait + c.hop + c.margin < view.left;
        let usable = view.candidates.iter().filter(in_time);
        match usable.min_by(|a, b| score(a).total_cmp(&score(b))) {
            Some(best) => best.choice(),
            None => super::refuse(view.candidates.iter()),
        }
    }
}
