//! Placement policies: the choice among the places that may run a request now.

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

/// Destination that may run a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// Backend server of this region.
    Backend(Backend),
    /// A region, reached through one of its boxes: another one, or this one through a neighbour.
    Region(Region),
}

/// Place with its expected load, delay and cost.
#[derive(Clone, Debug, Serialize)]
pub struct Candidate {
    /// The place.
    pub place: Place,
    /// Whether the place is in the request's home region.
    pub home: bool,
    /// Free slots.
    pub free: u32,
    /// Requests in flight as a share of the slots.
    pub load: f64,
    /// Expected extra wait, because other boxes may have taken slots since the last load update.
    pub risk: Millis,
    /// Mean time between two slots becoming free.
    pub step: Millis,
    /// Time that must be left when the request is sent there.
    pub margin: Millis,
    /// Expected wait for a slot.
    pub wait: Millis,
    /// Expected time to the first byte once a slot is free.
    pub first: Millis,
    /// Round-trip time to the place.
    pub hop: Millis,
    /// Price of one request.
    pub price: f64,
    /// Whether the place likely has the prompt's prefix cached.
    pub warm: bool,
    /// Delay that the request causes for the requests already running there.
    pub burden: Millis,
    /// Share of recent answers that failed.
    pub failing: f64,
}

impl Candidate {
    /// Returns the choice of this place: a backend server without a free slot means waiting here,
    /// while another region queues requests itself.
    fn choice(&self) -> Choice {
        match self.place {
            Place::Backend(_) if self.free == 0 => Choice::Wait,
            _ => Choice::Send(self.place.clone()),
        }
    }
}

/// Input of a placement decision.
#[derive(Debug)]
pub struct View<'a> {
    /// Candidates in a fixed order.
    pub candidates: &'a [Candidate],
    /// Weights of the configuration.
    pub weights: Weights,
    /// Time left until the answer must have begun.
    pub left: Millis,
}

/// Decision of a policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// Send the request to the place now.
    Send(Place),
    /// Queue the request in this region until a slot is free.
    Wait,
    /// Refuse the request; a place is expected to be free after this time.
    Refuse(Millis),
}

/// Placement policy; the reducer is generic over it.
pub trait Policy {
    /// Chooses a place for one request.
    fn pick(&self, view: &View<'_>) -> Choice;
}

/// Retry delay returned with a refusal when there is no candidate at all.
const NO_PLACE_RETRY_AFTER: Millis = Millis(1000);

/// Refuses a request that no place can begin to answer in time.
fn refuse<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Choice {
    let shortest_wait = candidates.map(|c| c.wait).min();
    Choice::Refuse(shortest_wait.unwrap_or(NO_PLACE_RETRY_AFTER))
}
