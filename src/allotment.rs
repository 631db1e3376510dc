//! What a customer may use of the whole fleet: a rate and a burst, in requests or in tokens.
//!
//! Load pattern: one customer sends several times its allotment through all boxes at once, in requests
//! that weigh from a few hundred to some fifty thousand tokens. A fixed part for each box fails there:
//! at 74 boxes a customer of 47,000 tokens a second has 635 in each, and one long prompt weighs 17,000,
//! so one in seven requests is refused although the customer keeps well below its allotment.
//!
//! So each box counts what it lets in and what it is asked for, both fading within the allotment's
//! span, and hears the sums of the others some tenths of a second late. It admits while the fleet's use
//! is below the burst. Where the fleet is asked for more, it also drops by chance what is too much:
//! boxes that only stop at the limit all go on until they hear of it, and all stop at once, which lets
//! in half as much again.
//!
//! Reasons for the limits: use fades by the part that the rate brings back, so that in any window no
//! more is admitted than the burst and the rate together. A part of the platform's tolerance widens the
//! burst, since one long prompt may be a third of it; the rest covers the lag.

use std::{collections::HashMap, fmt, str::FromStr};

use crate::{
    id::Customer,
    memory::prompt::Prompt,
    unit::{Millis, Rate, Time},
    wire::{Short, Use},
};

/// Part of the platform's slack that widens the burst. With half of it 12 in 1,000 requests are
/// refused wrongly at 0.55 of an allotment of 47,000 tokens a second and 74 boxes, and the largest window
/// holds 0.82 of what the platform lets pass where 7.5 times the usual is sent (`measure allotments`).
const WIDENED: f64 = 0.5;
/// How much more than fits is admitted by chance where too much is asked for: what is told is old, and
/// the limit itself holds the rest back. Without it a customer that asks for five times its allotment
/// got 0.86 of it at thirty boxes.
const SURPLUS: f64 = 1.1;
/// Bounds of the span within which use fades: shorter than the lag it would be forgotten unheard, and
/// longer than half of the platform's window it would hold back what the rate allows.
const SPAN: (Millis, Millis) = (Millis(500), Millis(4000));
/// Use below this is not told, and an account with less is forgotten.
const LEAST: f64 = 1.0;
/// Part of its even share that a box spends which hears nobody.
const ALONE: f64 = 0.5;
/// Bounds of the time after which a refused caller is asked to come back.
const COME_BACK: (Millis, Millis) = (Millis(400), Millis(4000));

/// What an allotment counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// The tokens of a request's prompt and the most that its answer may have.
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

/// What one customer may use, over all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allotment {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub rate: Rate,
    /// Units at once.
    pub burst: f64,
    /// Tokens of a request that tells of none.
    pub plain: u32,
}

impl Allotment {
    /// What a request weighs.
    pub fn cost(&self, prompt: Option<&Prompt>) -> f64 {
        let tokens = match (self.unit, prompt) {
            (Unit::Requests, _) => return 1.0,
            (Unit::Tokens, Some(prompt)) => u64::from(prompt.tokens) + u64::from(prompt.output),
            (Unit::Tokens, None) => u64::from(self.plain),
        };
        tokens.max(1) as f64
    }

    /// The span within which use fades to a third: in it the rate brings back the burst.
    fn span(&self) -> Millis {
        let span = self.burst / self.rate.0 * 1000.0;
        Millis(span as u64).clamp(SPAN.0, SPAN.1)
    }

    /// The use at which nothing more is admitted.
    fn most(&self, tolerance: Tolerance) -> f64 {
        let seconds = |span: Millis| span.0 as f64 / 1000.0;
        let span = seconds(self.span());
        let slack = WIDENED * tolerance.slack(self.unit);
        self.rate.0 * span + slack / (1.0 + seconds(tolerance.window) / span)
    }
}

/// How far the platform lets a customer's use go beyond its allotment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The span over which it adds use up.
    pub window: Millis,
    /// Units beyond the allotment in one such span, for allotments in tokens.
    pub tokens: f64,
}

impl Tolerance {
    /// The span where nothing is set.
    pub const WINDOW: Millis = Millis(8000);

    /// Units beyond an allotment in `unit` within one window.
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

/// What other boxes used of an allotment, and were asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Admitted.
    pub used: f64,
    /// Asked for.
    pub offered: f64,
}

impl Sum {
    /// Adds what others told.
    pub fn add(&mut self, told: &Use) {
        self.used += f64::from(told.used);
        self.offered += f64::from(told.offered);
    }

    /// The greater of both.
    pub fn max(self, other: Sum) -> Self {
        Self {
            used: self.used.max(other.used),
            offered: self.offered.max(other.offered),
        }
    }

    /// The rest without what a part of it told.
    pub fn without(self, part: Sum) -> Self {
        Self {
            used: (self.used - part.used).max(0.0),
            offered: (self.offered - part.offered).max(0.0),
        }
    }
}

/// What a box knows of the others' use of one allotment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Knowledge {
    /// The use of those that it hears of, which together may spend this part of the allotment.
    Heard {
        /// Their use.
        others: Sum,
        /// The part.
        part: f64,
    },
    /// It hears nobody, and there are this many boxes.
    Alone(usize),
}

impl fmt::Display for Knowledge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Heard { others, part } => write!(
                f,
                "others_used={:.0} others_offered={:.0} part={part:.2}",
                others.used, others.offered
            ),
            Self::Alone(boxes) => write!(f, "alone among={boxes}"),
        }
    }
}

/// One customer's use at this box.
#[derive(Clone, Copy, Debug)]
struct Account {
    sum: Sum,
    at: Time,
    span: Millis,
}

impl Account {
    /// The part that is left after `age`.
    fn left(&self, age: Millis) -> f64 {
        (-(age.0 as f64) / self.span.0 as f64).exp()
    }

    fn at(&self, now: Time) -> Sum {
        let left = self.left(now.since(self.at));
        Sum {
            used: self.sum.used * left,
            offered: self.sum.offered * left,
        }
    }
}

/// Requests of one customer at this box, since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Let in.
    pub admitted: u64,
    /// Refused because the allotment was used up.
    pub refused: u64,
}

/// The accounts of one box.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    accounts: HashMap<Customer, Account>,
    counts: HashMap<Customer, Counts>,
    tolerance: Tolerance,
}

impl Accounts {
    /// No account yet, within this tolerance.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            accounts: HashMap::new(),
            counts: HashMap::new(),
            tolerance,
        }
    }

    /// Books a request of weight `cost`, or says when there may be room.
    ///
    /// `draw` is a random number of the request's own.
    pub fn take(
        &mut self,
        customer: &Customer,
        allotment: &Allotment,
        cost: f64,
        known: Knowledge,
        draw: u64,
        now: Time,
    ) -> Result<(), Millis> {
        let most = allotment.most(self.tolerance);
        let account = self.account(customer, allotment, now);
        account.sum.offered += cost;
        let (used, offered, most) = match known {
            Knowledge::Heard { others, part } => (
                account.sum.used + others.used,
                account.sum.offered + others.offered,
                most * part,
            ),
            // What a box that hears nobody lets in has to fit its share whole.
            Knowledge::Alone(boxes) => {
                let most = most * ALONE / boxes.max(1) as f64;
                (account.sum.used + cost, account.sum.used + cost, most)
            }
        };
        let chance = (SURPLUS * most / offered.max(f64::MIN_POSITIVE)).min(1.0);
        let drawn = (draw >> 11) as f64 / (1_u64 << 53) as f64;
        let admitted = used < most && drawn < chance;
        if admitted {
            account.sum.used += cost;
        }
        self.count(customer, admitted);
        if admitted {
            return Ok(());
        }
        let excess = (used.max(offered) / most.max(f64::MIN_POSITIVE)).max(1.0);
        let wait = allotment.span().0 as f64 * excess.ln();
        Err(Millis(wait as u64).clamp(COME_BACK.0, COME_BACK.1))
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

    /// Requests of a customer at this box.
    pub fn counts(&self, customer: &Customer) -> Counts {
        self.counts.get(customer).copied().unwrap_or_default()
    }

    /// The use at which nothing more is admitted where all boxes hear each other.
    pub fn limit(&self, allotment: &Allotment) -> f64 {
        allotment.most(self.tolerance)
    }

    /// Books another run of a request that was let in.
    pub fn book(&mut self, customer: &Customer, allotment: &Allotment, cost: f64, now: Time) {
        let sum = &mut self.account(customer, allotment, now).sum;
        sum.used += cost;
        sum.offered += cost;
    }

    /// Takes a booking of the moment `booked` back: the request surely did not run.
    pub fn give_back(&mut self, customer: &Customer, cost: f64, booked: Time) {
        if let Some(account) = self.accounts.get_mut(customer) {
            let left = account.left(account.at.since(booked));
            account.sum.used = (account.sum.used - cost * left).max(0.0);
        }
    }

    fn account(&mut self, customer: &Customer, allotment: &Allotment, now: Time) -> &mut Account {
        let span = allotment.span();
        if !self.accounts.contains_key(customer) {
            let account = Account {
                sum: Sum::default(),
                at: now,
                span,
            };
            self.accounts.insert(customer.clone(), account);
        }
        let account = self.accounts.get_mut(customer).expect("it was just added");
        account.sum = account.at(now);
        account.at = now;
        account.span = span;
        account
    }

    /// What this box uses of a customer's allotment at `now`.
    pub fn sum(&self, customer: &Customer, now: Time) -> Sum {
        let account = self.accounts.get(customer);
        account.map_or_else(Sum::default, |account| account.at(now))
    }

    /// What other boxes are told, in the order of the customers.
    pub fn told(&self, now: Time) -> Vec<Use> {
        let told = |(customer, account): (&Customer, &Account)| {
            let sum = account.at(now);
            let told = Use {
                customer: Short::of(customer.as_str()),
                used: sum.used.round() as u32,
                offered: sum.offered.round() as u32,
            };
            (sum.offered >= LEAST).then_some(told)
        };
        let mut uses: Vec<Use> = self.accounts.iter().filter_map(told).collect();
        uses.sort_unstable_by_key(|told| told.customer);
        uses
    }

    /// Forgets the accounts that have faded.
    pub fn sweep(&mut self, now: Time) {
        let alive = |account: &Account| account.at(now).offered >= LEAST;
        self.accounts.retain(|_, account| alive(account));
    }

    /// Forgets the customers that `known` does not name.
    pub fn retain(&mut self, known: impl Fn(&Customer) -> bool) {
        self.counts.retain(|customer, _| known(customer));
    }
}
