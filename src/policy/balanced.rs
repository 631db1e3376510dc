//! The product's policy: expected delay, distance from home and price, weighed by the deployment.

use crate::{
    policy::{Candidate, Choice, Policy, View},
    unit::Millis,
};

/// Time that a cold prompt prefix costs on top of the expected first byte.
const COLD_PREFILL: Millis = Millis(60);

/// Time that a failed answer costs: the attempt itself and another one after it.
const FAILURE: Millis = Millis(1000);

/// Takes the place with the least weighed delay; leaves home only if that wins by the weights.
#[derive(Clone, Copy, Debug, Default)]
pub struct Balanced;

/// Expected time until the answer begins at `candidate`.
fn delay(candidate: &Candidate) -> f64 {
    let first = candidate.first.0 as f64;
    let crowd = first * candidate.load.min(1.0);
    let cold = if candidate.warm { 0 } else { COLD_PREFILL.0 };
    let failure = candidate.failing * FAILURE.0 as f64;
    let fixed = candidate.wait + candidate.risk + candidate.hop + candidate.burden;
    (fixed.0 + cold) as f64 + first + crowd + failure
}

impl Policy for Balanced {
    fn pick(&self, view: &View<'_>) -> Choice {
        let w = view.weights;
        let score = |c: &&Candidate| {
            let away = if c.home { 0.0 } else { w.away };
            w.tail * delay(c) + away + w.cost * c.price
        };
        let in_time = |c: &&Candidate| c.wait + c.hop < view.left;
        let usable = view.candidates.iter().filter(in_time);
        match usable.min_by(|a, b| score(a).total_cmp(&score(b))) {
            Some(best) => best.choice(),
            None => super::refuse(view.candidates.iter()),
        }
    }
}
