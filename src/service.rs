//! Which customers a box serves worst: the share of their requests in the last minute that were refused or late.
//!
//! Load pattern: some thousand customers, most of whom are served well. The table is bounded: a customer who
//! is served well gives way to one who is not, so what is kept and told does not grow with the customers.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::Customer,
    unit::{Millis, Time},
};

/// Customers that are counted at once, at some 220 B each.
const COUNTED: usize = 512;
/// Rows that are told at most.
const ROWS: usize = 16;
/// One customer in so many is told of.
const PART: usize = 10;
/// The last minute in spans: the oldest is forgotten as a whole.
const SPANS: usize = 6;
const SPAN: Millis = Millis(10_000);
/// Requests that weigh against those of a customer who sent few: one refusal of one request says little.
const FEW: f64 = 5.0;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer began in time.
    Served,
    /// It was refused, though its customer kept to its allotment.
    Refused,
    /// It was beyond its customer's allotment.
    Over,
    /// Its answer began late, broke, or never came.
    Late,
}

/// Requests of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All that ended, but for those beyond the allotment.
    pub ended: u32,
    /// Refused.
    pub refused: u32,
    /// Late, broken or unanswered.
    pub late: u32,
    /// Beyond the allotment.
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

    /// How badly it was served: the share that was refused or late, less where few requests show it.
    fn badness(&self) -> f64 {
        f64::from(self.bad()) / (f64::from(self.ended) + FEW)
    }
}

/// A customer who is served badly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its name.
    pub customer: Customer,
    /// Its requests in the last minute.
    pub tally: Tally,
}

/// The last minute of one customer: each place holds the newest span that falls on it.
#[derive(Clone, Debug, Default)]
struct Minute([(u64, Tally); SPANS]);

impl Minute {
    fn count(&mut self, outcome: Outcome, now: Time) {
        let span = number(now);
        let place = &mut self.0[span as usize % SPANS];
        if place.0 != span {
            *place = (span, Tally::default());
        }
        place.1.count(outcome);
    }

    fn sum(&self, now: Time) -> Tally {
        let span = number(now);
        let lately = self.0.iter().filter(|(at, _)| at + SPANS as u64 > span);
        lately.fold(Tally::default(), |mut sum, (_, tally)| {
            sum.add(*tally);
            sum
        })
    }
}

/// Counted from one: a place that was never used holds zero.
fn number(now: Time) -> u64 {
    now.0 / SPAN.0 + 1
}

/// What a box counts of its customers' requests.
#[derive(Clone, Debug, Default)]
pub struct Service(HashMap<Customer, Minute>);

impl Service {
    /// Notes how a request of `customer` ended.
    pub fn note(&mut self, customer: &Customer, outcome: Outcome, now: Time) {
        if let Some(minute) = self.0.get_mut(customer) {
            return minute.count(outcome, now);
        }
        let bad = matches!(outcome, Outcome::Refused | Outcome::Late);
        if self.0.len() >= COUNTED && !(bad && self.make_room(now)) {
            return;
        }
        let minute = self.0.entry(customer.clone()).or_default();
        minute.count(outcome, now);
    }

    /// Forgets the customer who is served best, unless all are served badly.
    fn make_room(&mut self, now: Time) -> bool {
        let bad = |minute: &Minute| minute.sum(now).bad();
        let rows = self.0.iter().map(|(name, minute)| (bad(minute), name));
        let best = rows.min().filter(|(bad, _)| *bad <= 1);
        let best = best.map(|(_, name)| name.clone());
        best.is_some_and(|name| self.0.remove(&name).is_some())
    }

    /// Forgets customers who sent nothing in the last minute.
    pub fn sweep(&mut self, now: Time) {
        self.0
            .retain(|_, minute| minute.sum(now) != Tally::default());
    }

    /// The worst tenth of the customers, as far as they are served badly at all; the worst comes first.
    pub fn worst(&self, now: Time) -> Vec<Row> {
        let sums = self.0.iter().map(|(name, minute)| (name, minute.sum(now)));
        let mut sums: Vec<(&Customer, Tally)> = sums.collect();
        sums.retain(|(_, tally)| *tally != Tally::default());
        let most = sums.len().div_ceil(PART).min(ROWS);
        sums.retain(|(_, tally)| tally.bad() > 0);
        sums.sort_by(|a, b| {
            let order = b.1.badness().total_cmp(&a.1.badness());
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
