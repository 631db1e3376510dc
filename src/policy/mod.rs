//! Where a request goes among the places that may run it now.

mod balanced;
mod baseline;
mod named;

use serde::Serialize;

use crate::{
    config::Weights,
    id::{Backend, Region},
    unit::Millis,
};

pub use balanced::Balanced;
pub use baseline::{HomeOnly, LeastLoaded, Nearest};
pub use named::Named;

/// A place that may run a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// A backend server of this region.
    Backend(Backend),
    /// Another region, reached through one of its boxes.
    Region(Region),
}

/// A place with what is expected there.
#[derive(Clone, Debug, Serialize)]
pub struct Candidate {
    /// The place.
    pub place: Place,
    /// Whether it lies in the request's home region.
    pub home: bool,
    /// Slots that are free there.
    pub free: u32,
    /// Work in hand as a share of the slots.
    pub load: f64,
    /// Expected wait for a slot that others may have taken since the last word.
    pub risk: Millis,
    /// Time between two slots that get free there.
    pub step: Millis,
    /// Expected wait for a slot.
    pub wait: Millis,
    /// Expected time to the first byte once a slot is free.
    pub first: Millis,
    /// Round trip to the place.
    pub hop: Millis,
    /// Price of one request there.
    pub price: f64,
    /// Whether the place likely holds the prompt's prefix.
    pub warm: bool,
    /// What the request costs those that run there, as a delay of its own.
    pub burden: Millis,
    /// Share of its answers that failed lately.
    pub failing: f64,
}

impl Candidate {
    /// What choosing the place means: another region queues by itself, a server here does not.
    fn choice(&self) -> Choice {
        match self.place {
            Place::Backend(_) if self.free == 0 => Choice::Wait,
            _ => Choice::Send(self.place.clone()),
        }
    }
}

/// All that a policy sees of one decision.
#[derive(Debug)]
pub struct View<'a> {
    /// The places, in a fixed order.
    pub candidates: &'a [Candidate],
    /// What the deployment weighs.
    pub weights: Weights,
    /// Time left until the answer must have begun.
    pub left: Millis,
}

/// A policy's word.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// Send it there now.
    Send(Place),
    /// Let it wait for a slot in this region.
    Wait,
    /// Give it up now; a place is expected after this long.
    Refuse(Millis),
}

/// A way to choose; the reducer is generic over it.
pub trait Policy {
    /// Chooses for one request.
    fn pick(&self, view: &View<'_>) -> Choice;
}

/// When to come back where there is no place at all.
const NO_PLACE: Millis = Millis(1000);

/// Gives a request up: no place begins its answer in time.
fn refuse<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Choice {
    let soonest = candidates.map(|c| c.wait).min();
    Choice::Refuse(soonest.unwrap_or(NO_PLACE))
}
