//! Per-customer allotments: a rate and a burst, in requests or tokens, enforced over the whole
//! fleet.
//!
//! Load pattern: one customer sends several times its allotment through all boxes at once, in
//! requests that cost from a few hundred to some fifty thousand tokens. A fixed quota per box fails
//! under this load: with 74 boxes, a customer with 47,000 tokens per second has 635 at each, and
//! one long prompt costs 17,000, so one in seven requests would be refused although the customer
//! stays well below its allotment.
//!
//! Each box therefore counts the units it admits and the units requested of it, both decaying
//! exponentially, and receives the sums of the other boxes with a delay of some tenths of a second.
//! It admits requests while the use of the whole fleet is below the limit. Where more than the
//! limit is requested, it also drops requests at random in proportion to the excess: boxes that
//! only stop at the limit would all continue until they receive the sums and then all stop at once,
//! which admits half as much again.
//!
//! Use decays at the rate at which the allotment is replenished, so that no window admits more than
//! the burst plus the rate. Part of the platform's tolerance widens the burst, since one long
//! prompt can be a third of it; the rest covers the delay of the sums.

use std::{collections::HashMap, fmt, str::FromStr};

use crate::{
    id::Customer,
    memory::prompt::Prompt,
    unit::{Millis, Rate, Time},
    wire::{NameHash, Use},
};

/// Part of the platform's slack that widens the burst. At one half, 12 in 1,000 requests are
/// wrongly refused at a load of 0.55 of an allotment of 47,000 tokens per second over 74 boxes, and
/// at 7.5 times the usual load the largest window holds 0.82 of what the platform permits (`measure
/// allotments`).
const BURST_SLACK_SHARE: f64 = 0.5;
/// Factor by which random admission exceeds the limit under overload: the sums it is based on are
/// out of date, and the limit itself still holds back the excess. Without it, a customer that
/// requested five times its allotment received 0.86 of the allotment at thirty boxes.
const RANDOM_ADMISSION_FACTOR: f64 = 1.1;
/// Bounds of the decay time of use. If shorter than the reporting delay, use would decay before
/// other boxes receive it; if longer than half of the platform's window, it would hold back
/// requests that the rate permits.
const DECAY_TIME_BOUNDS: (Millis, Millis) = (Millis(500), Millis(4000));
/// Use below this is not reported, and an account with less is removed.
const MIN_REPORTED_UNITS: f64 = 1.0;
/// Part of its even share that a box admits while it receives no reports from other boxes.
const ISOLATED_SHARE: f64 = 0.5;
/// Bounds of the time after which a refused caller is asked to retry.
const RETRY_AFTER_BOUNDS: (Millis, Millis) = (Millis(400), Millis(4000));

/// The quantity that an allotment counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one unit.
    #[default]
    Requests,
    /// The tokens of a request's prompt plus the maximum number of tokens of its answer.
    Tokens,
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Requests => "requests",
            Self::Tokens => "tokens",
        })
    }
}

impl FromStr for Unit {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "requests" => Ok(Self::Requests),
            "tokens" => Ok(Self::Tokens),
            _ => Err("expected requests or tokens"),
        }
    }
}

/// The quota of one customer over all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allotment {
    /// The quantity that is counted.
    pub unit: Unit,
    /// Units per second.
    pub rate: Rate,
    /// Units that may be used at once.
    pub burst: f64,
    /// Tokens charged for a request that does not state its size.
    pub plain: u32,
}

impl Allotment {
    /// Returns the units that a request costs.
    pub fn cost(&self, prompt: Option<&Prompt>) -> f64 {
        let tokens = match (self.unit, prompt) {
            (Unit::Requests, _) => return 1.0,
            (Unit::Tokens, Some(prompt)) => u64::from(prompt.tokens) + u64::from(prompt.output),
            (Unit::Tokens, None) => u64::from(self.plain),
        };
        tokens.max(1) as f64
    }

    /// Returns the time constant of the decay of use: the time in which the rate replenishes the
    /// burst.
    fn decay_time(&self) -> Millis {
        let span = self.burst / self.rate.0 * 1000.0;
        Millis(span as u64).clamp(DECAY_TIME_BOUNDS.0, DECAY_TIME_BOUNDS.1)
    }

    /// Returns the use at and above which requests are refused.
    fn admission_limit(&self, tolerance: Tolerance) -> f64 {
        let seconds = |span: Millis| span.0 as f64 / 1000.0;
        let span = seconds(self.decay_time());
        let slack = BURST_SLACK_SHARE * tolerance.slack(self.unit);
        self.rate.0 * span + slack / (1.0 + seconds(tolerance.window) / span)
    }
}

/// How far the platform allows a customer's use to exceed its allotment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The window over which the platform sums use.
    pub window: Millis,
    /// Tokens above the allotment that are permitted in one window, for allotments in tokens.
    pub tokens: f64,
}

impl Tolerance {
    /// The default window.
    pub const WINDOW: Millis = Millis(8000);

    /// Returns the units above an allotment in `unit` that are permitted within one window.
    fn slack(&self, unit: Unit) -> f64 {
        match unit {
            Unit::Requests => 0.0,
            Unit::Tokens => self.tokens,
        }
    }
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            window: Self::WINDOW,
            tokens: 0.0,
        }
    }
}

/// Decayed use of an allotment: the units admitted and the units requested.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Units admitted.
    pub used: f64,
    /// Units requested.
    pub offered: f64,
}

impl Sum {
    /// Adds the use that another box reported.
    pub fn add(&mut self, reported: &Use) {
        self.used += f64::from(reported.used);
        self.offered += f64::from(reported.offered);
    }

    /// Returns the field-wise maximum of both sums.
    pub fn max(self, other: Sum) -> Self {
        Self {
            used: self.used.max(other.used),
            offered: self.offered.max(other.offered),
        }
    }

    /// Subtracts a sum that is contained in this one; neither field goes below zero.
    pub fn without(self, other: Sum) -> Self {
        Self {
            used: (self.used - other.used).max(0.0),
            offered: (self.offered - other.offered).max(0.0),
        }
    }
}

/// What this box knows about the use of one allotment at other boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Knowledge {
    /// Use was reported by other boxes.
    Reported {
        /// The sum of the reported use.
        others: Sum,
        /// The part of the allotment that this box and the reporting boxes may use together.
        part: f64,
    },
    /// No reports are received, and the allotment is shared by this many boxes.
    Isolated(usize),
}

impl fmt::Display for Knowledge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reported { others, part } => write!(
                f,
                "others_used={:.0} others_offered={:.0} part={part:.2}",
                others.used, others.offered
            ),
            Self::Isolated(boxes) => write!(f, "alone among={boxes}"),
        }
    }
}

/// One customer's use at this box.
#[derive(Clone, Copy, Debug)]
struct Account {
    sum: Sum,
    updated: Time,
    decay_time: Millis,
}

impl Account {
    /// Returns the factor by which use decays within `age`.
    fn decay_factor(&self, age: Millis) -> f64 {
        (-(age.0 as f64) / self.decay_time.0 as f64).exp()
    }

    fn sum_at(&self, now: Time) -> Sum {
        let factor = self.decay_factor(now.since(self.updated));
        Sum {
            used: self.sum.used * factor,
            offered: self.sum.offered * factor,
        }
    }
}

/// Numbers of one customer's requests at this box since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused because the allotment was used up.
    pub refused: u64,
}

/// The accounts of all customers at one box.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    accounts: HashMap<Customer, Account>,
    counts: HashMap<Customer, Counts>,
    tolerance: Tolerance,
}

impl Accounts {
    /// Creates an empty set of accounts with this tolerance.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            accounts: HashMap::new(),
            counts: HashMap::new(),
            tolerance,
        }
    }

    /// Books a request that costs `cost`, or returns the time after which it may be retried.
    ///
    /// `draw` is a random number drawn for this request.
    pub fn take(
        &mut self,
        customer: &Customer,
        allotment: &Allotment,
        cost: f64,
        others_use: Knowledge,
        draw: u64,
        now: Time,
    ) -> Result<(), Millis> {
        let limit = allotment.admission_limit(self.tolerance);
        let account = self.account(customer, allotment, now);
        account.sum.offered += cost;
        let (used, offered, limit) = match others_use {
            Knowledge::Reported { others, part } => (
                account.sum.used + others.used,
                account.sum.offered + others.offered,
                limit * part,
            ),
            // Without reports, the whole cost of the request must fit into this box's share.
            Knowledge::Isolated(boxes) => {
                let limit = limit * ISOLATED_SHARE / boxes.max(1) as f64;
                (account.sum.used + cost, account.sum.used + cost, limit)
            }
        };
        let chance = (RANDOM_ADMISSION_FACTOR * limit / offered.max(f64::MIN_POSITIVE)).min(1.0);
        let sample = (draw >> 11) as f64 / (1_u64 << 53) as f64;
        let admitted = used < limit && sample < chance;
        if admitted {
            account.sum.used += cost;
        }
        self.count(customer, admitted);
        if admitted {
            return Ok(());
        }
        let excess = (used.max(offered) / limit.max(f64::MIN_POSITIVE)).max(1.0);
        let wait = allotment.decay_time().0 as f64 * excess.ln();
        Err(Millis(wait as u64).clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1))
    }

    fn count(&mut self, customer: &Customer, admitted: bool) {
        if !self.counts.contains_key(customer) {
            self.counts.insert(customer.clone(), Counts::default());
        }
        if let Some(counts) = self.counts.get_mut(customer) {
            counts.admitted += u64::from(admitted);
            counts.refused += u64::from(!admitted);
        }
    }

    /// Returns the numbers of a customer's requests at this box.
    pub fn counts(&self, customer: &Customer) -> Counts {
        self.counts.get(customer).copied().unwrap_or_default()
    }

    /// Returns the use at and above which requests are refused while all boxes receive reports.
    pub fn limit(&self, allotment: &Allotment) -> f64 {
        allotment.admission_limit(self.tolerance)
    }

    /// Books another attempt of an admitted request.
    pub fn book(&mut self, customer: &Customer, allotment: &Allotment, cost: f64, now: Time) {
        let sum = &mut self.account(customer, allotment, now).sum;
        sum.used += cost;
        sum.offered += cost;
    }

    /// Refunds a booking made at `booked`, for a request that certainly did not run.
    pub fn refund(&mut self, customer: &Customer, cost: f64, booked: Time) {
        if let Some(account) = self.accounts.get_mut(customer) {
            let factor = account.decay_factor(account.updated.since(booked));
            account.sum.used = (account.sum.used - cost * factor).max(0.0);
        }
    }

    fn account(&mut self, customer: &Customer, allotment: &Allotment, now: Time) -> &mut Account {
        let decay_time = allotment.decay_time();
        if !self.accounts.contains_key(customer) {
            let account = Account {
                sum: Sum::default(),
                updated: now,
                decay_time,
            };
            self.accounts.insert(customer.clone(), account);
        }
        let account = self.accounts.get_mut(customer).expect("it was just added");
        account.sum = account.sum_at(now);
        account.updated = now;
        account.decay_time = decay_time;
        account
    }

    /// Returns this box's use of a customer's allotment at `now`.
    pub fn sum(&self, customer: &Customer, now: Time) -> Sum {
        let account = self.accounts.get(customer);
        account.map_or_else(Sum::default, |account| account.sum_at(now))
    }

    /// Returns the use to report to other boxes, sorted by customer.
    pub fn to_report(&self, now: Time) -> Vec<Use> {
        let report = |(customer, account): (&Customer, &Account)| {
            let sum = account.sum_at(now);
            let use_of_customer = Use {
                customer: NameHash::of(customer.as_str()),
                used: sum.used.round() as u32,
                offered: sum.offered.round() as u32,
            };
            (sum.offered >= MIN_REPORTED_UNITS).then_some(use_of_customer)
        };
        let mut uses: Vec<Use> = self.accounts.iter().filter_map(report).collect();
        uses.sort_unstable_by_key(|reported| reported.customer);
        uses
    }

    /// Removes accounts whose use has decayed below the minimum.
    pub fn sweep(&mut self, now: Time) {
        let is_in_use = |account: &Account| account.sum_at(now).offered >= MIN_REPORTED_UNITS;
        self.accounts.retain(|_, account| is_in_use(account));
    }

    /// Removes the counts of customers that `known` does not include.
    pub fn retain(&mut self, known: impl Fn(&Customer) -> bool) {
        self.counts.retain(|customer, _| known(customer));
    }
}
