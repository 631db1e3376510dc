//! The customers that a box serves worst: by the share of their requests in the last minute that
//! were refused or late.
//!
//! Load pattern: some thousand customers, most of which are served well. The table is bounded: a
//! customer that is served well is removed in favour of one that is not, so the memory and the
//! reports do not grow with the number of customers.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::Customer,
    unit::{Millis, Time},
};

/// Customers that are counted at once, at some 220 B each.
const MAX_CUSTOMERS: usize = 512;
/// Maximum number of reported customers.
const MAX_ROWS: usize = 16;
/// One in this many customers is reported.
const REPORTED_ONE_IN: usize = 10;
/// Number of spans in the last minute. The oldest span is dropped as a whole.
const SPAN_COUNT: usize = 6;
const SPAN_TIME: Millis = Millis(10_000);
/// Requests added to the denominator for every customer, so that one refusal of a single request
/// weighs little.
const PRIOR_REQUESTS: f64 = 5.0;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer began in time.
    Served,
    /// It was refused although its customer was within its allotment.
    Refused,
    /// It exceeded its customer's allotment.
    Over,
    /// Its answer began late, broke off or never came.
    Late,
}

/// Numbers of a customer's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that ended, except those above the allotment.
    pub ended: u32,
    /// Refused requests.
    pub refused: u32,
    /// Requests whose answer was late, broken or missing.
    pub late: u32,
    /// Requests above the allotment.
    pub over: u32,
}

impl Tally {
    fn count(&mut self, outcome: Outcome) {
        self.ended += u32::from(outcome != Outcome::Over);
        self.refused += u32::from(outcome == Outcome::Refused);
        self.late += u32::from(outcome == Outcome::Late);
        self.over += u32::from(outcome == Outcome::Over);
    }

    fn add(&mut self, other: Self) {
        self.ended += other.ended;
        self.refused += other.refused;
        self.late += other.late;
        self.over += other.over;
    }

    fn bad(&self) -> u32 {
        self.refused + self.late
    }

    /// Returns the share of requests that were refused or late, lowered if there are few requests.
    fn bad_share(&self) -> f64 {
        f64::from(self.bad()) / (f64::from(self.ended) + PRIOR_REQUESTS)
    }
}

/// A customer with refused or late requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its name.
    pub customer: Customer,
    /// Its requests in the last minute.
    pub tally: Tally,
}

/// The last minute of one customer: a ring of spans, each with its number.
#[derive(Clone, Debug, Default)]
struct Minute([(u64, Tally); SPAN_COUNT]);

impl Minute {
    fn count(&mut self, outcome: Outcome, now: Time) {
        let span = span_number(now);
        let slot = &mut self.0[span as usize % SPAN_COUNT];
        if slot.0 != span {
            *slot = (span, Tally::default());
        }
        slot.1.count(outcome);
    }

    fn sum(&self, now: Time) -> Tally {
        let span = span_number(now);
        let recent = self
            .0
            .iter()
            .filter(|(at, _)| at + SPAN_COUNT as u64 > span);
        recent.fold(Tally::default(), |mut sum, (_, tally)| {
            sum.add(*tally);
            sum
        })
    }
}

/// Returns the number of the current span, counted from one: an unused entry of the ring holds
/// zero.
fn span_number(now: Time) -> u64 {
    now.0 / SPAN_TIME.0 + 1
}

/// The request counts of a box, by customer.
#[derive(Clone, Debug, Default)]
pub struct Service(HashMap<Customer, Minute>);

impl Service {
    /// Records how a request of `customer` ended.
    pub fn record(&mut self, customer: &Customer, outcome: Outcome, now: Time) {
        if let Some(minute) = self.0.get_mut(customer) {
            return minute.count(outcome, now);
        }
        let bad = matches!(outcome, Outcome::Refused | Outcome::Late);
        if self.0.len() >= MAX_CUSTOMERS && !(bad && self.make_room(now)) {
            return;
        }
        let minute = self.0.entry(customer.clone()).or_default();
        minute.count(outcome, now);
    }

    /// Removes the customer with the fewest bad requests, unless every customer has more than one.
    /// Returns whether it did.
    fn make_room(&mut self, now: Time) -> bool {
        let bad = |minute: &Minute| minute.sum(now).bad();
        let rows = self.0.iter().map(|(name, minute)| (bad(minute), name));
        let best = rows.min().filter(|(bad, _)| *bad <= 1);
        let best = best.map(|(_, name)| name.clone());
        best.is_some_and(|name| self.0.remove(&name).is_some())
    }

    /// Removes customers without requests in the last minute.
    pub fn sweep(&mut self, now: Time) {
        self.0
            .retain(|_, minute| minute.sum(now) != Tally::default());
    }

    /// Returns the worst tenth of the customers, the worst first, without customers that had no
    /// refused or late request.
    pub fn worst(&self, now: Time) -> Vec<Row> {
        let sums = self.0.iter().map(|(name, minute)| (name, minute.sum(now)));
        let mut sums: Vec<(&Customer, Tally)> = sums.collect();
        sums.retain(|(_, tally)| *tally != Tally::default());
        let most = sums.len().div_ceil(REPORTED_ONE_IN).min(MAX_ROWS);
        sums.retain(|(_, tally)| tally.bad() > 0);
        sums.sort_by(|a, b| {
            let order = b.1.bad_share().total_cmp(&a.1.bad_share());
            order.then_with(|| a.0.cmp(b.0))
        });
        let rows = sums.into_iter().take(most);
        let row = |(customer, tally): (&Customer, Tally)| Row {
            customer: customer.clone(),
            tally,
        };
        rows.map(row).collect()
    }
}
