//! The retry budget: attempts beyond the first as a share of fresh work, for each service.
//!
//! The budget holds for all boxes together. Each box spends only its share of the slack, and earns
//! only by the requests that came to it.

use std::collections::HashMap;

use crate::id::Service;

/// Attempts that one request may have in all, rejected ones included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Part of the fleet's slack that the boxes plan with: they count each other with a lag.
const SAFETY: f64 = 0.7;

/// What the fleet may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Attempts beyond the first that each fresh request earns.
    pub ratio: f64,
    /// Attempts beyond the first that may be saved up, over all boxes; none gives each box
    /// [`Limits::SAVED`] of its own.
    pub slack: Option<f64>,
}

impl Limits {
    /// Attempts that a box may save up where no slack is set for the fleet.
    pub const SAVED: f64 = 20.0;
    /// Attempts that a fresh request earns where nothing else is set.
    pub const RATIO: f64 = 0.2;
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            ratio: Self::RATIO,
            slack: None,
        }
    }
}

/// The budgets of one box, one a service.
#[derive(Clone, Debug)]
pub struct Budgets {
    limits: Limits,
    most: f64,
    saved: HashMap<Service, f64>,
}

impl Budgets {
    /// Full budgets; the box counts itself alone until it hears of others.
    pub fn new(limits: Limits) -> Self {
        let most = limits.slack.map_or(Limits::SAVED, |_| 1.0);
        Self {
            limits,
            most,
            saved: HashMap::new(),
        }
    }

    /// Takes over new limits; the share of the slack follows with the next count of boxes.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Takes over how many boxes share the slack.
    pub fn share(&mut self, boxes: usize) {
        if let Some(slack) = self.limits.slack {
            self.most = (SAFETY * slack / boxes.max(1) as f64).max(1.0);
        }
        for saved in self.saved.values_mut() {
            *saved = saved.min(self.most);
        }
    }

    /// Notes a fresh request for `service`.
    pub fn earn(&mut self, service: &Service) {
        let (ratio, most) = (self.limits.ratio, self.most);
        if let Some(saved) = self.saved.get_mut(service) {
            *saved = (*saved + ratio).min(most);
        }
    }

    /// Takes one attempt where the budget of `service` has one.
    pub fn spend(&mut self, service: &Service) -> bool {
        let saved = self.saved.entry(service.clone()).or_insert(self.most);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
