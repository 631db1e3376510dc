//! Roll-outs: moving a service's traffic to another release of its backend servers, watched by what they
//! answer.
//!
//! Load pattern: the new release gets a small part of the requests at each box, so that the part is the same
//! over three boxes or three hundred without a word between them ([`Permits`]). What
//! its servers answer is compared with what those of the other releases answer to the same routes in the same
//! seconds, as a control group: a burst, a region in trouble or failing callers show in both.
//!
//! The comparison is a sequential test, so it may be looked at after each answer: the weight of the evidence
//! is a likelihood ratio averaged over several degrees of badness, and a good release passes a bound of N by
//! chance in one roll-out of N at most.

use serde::{Deserialize, Serialize};

use crate::{
    fleet::Revision,
    id::Release,
    unit::{Millis, Time},
    wire::Trial,
};

/// The part of the exposed share that is used: the rest is for requests of the old release that never arrive.
const USED: f64 = 0.8;
/// Requests to the new release that a box may save up while its servers are cold or full.
const SAVED: f64 = 8.0;
/// Logarithm of the weight of evidence that ends a roll-out at once: one good release in 10,000 by chance,
/// for each route and span that is looked at.
const CONVICTED: f64 = 9.2;
/// The same where the roll-out would be finished: one look, and one in 500.
const SUSPECTED: f64 = 6.2;
/// Less weighs nothing. More waits for further answers before traffic moves: a release whose bad answers were
/// few by chance, at 5.4 of this, got all traffic for a second before it was stopped.
const CLEARED: f64 = 3.0;
/// How much worse than the other releases a bad one is taken to be: parts of the answers that are good there.
const DEGREES: [f64; 5] = [0.05, 0.1, 0.2, 0.4, 0.8];
/// Answers of the other releases without which nothing can be compared.
const CONTROL: u32 = 20;
/// Answers of the new release without which it is not called good.
const SHOWN: u32 = 30;
/// The share of bad answers that is taken for granted at any release.
const LEAST_BAD: f64 = 0.01;
/// Of so many servers of the new release that answered, one at least must have answered badly: a single
/// server that fails says nothing of its release.
const SPREAD: u32 = 4;
/// How many times longer than is typical an answer takes that counts as slow, and what it takes longer at
/// least: servers of one release differ by a third, and a burst doubles the times of all.
const SLOW: f64 = 2.5;
const SLOW_LEAST: f64 = 20.0;
/// Times without which nothing is called typical.
const TYPICAL_AFTER: u32 = 5;
/// Weight of a new time in what is typical.
const TYPICAL_ALPHA: f64 = 0.05;
/// Times are compared by their logarithms; this is added so that short ones don't weigh too much.
const SHORT: f64 = 5.0;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The release that is to serve.
    pub release: Release,
    /// The time after which it should.
    pub within: Millis,
    /// The store's number of the order: a later order has a greater one.
    pub revision: Revision,
}

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It is under way.
    Active,
    /// The new release serves, and the others are stopped.
    Completed,
    /// The new release gets nothing any more.
    RolledBack,
}

impl Standing {
    /// Whether nothing follows.
    pub fn is_end(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// What the boxes wrote of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// How far it has come.
    pub standing: Standing,
    /// The release of the order that it speaks of.
    pub release: Release,
    /// The store's number of that word.
    pub revision: Revision,
}

/// What the store holds of the roll-out of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The operator's order; none where it was withdrawn.
    pub order: Option<Order>,
    /// What the boxes wrote last.
    pub written: Option<Written>,
    /// How long the box that tells this has known the order.
    pub age: Millis,
}

impl Entry {
    /// What was written of this order; what was written before it speaks of an earlier one.
    pub fn standing(&self) -> Option<Standing> {
        let written = self.written.as_ref()?;
        let answers =
            |order: &Order| written.revision > order.revision && written.release == order.release;
        let current = self.order.as_ref().is_none_or(answers);
        current.then_some(written.standing)
    }

    /// The release that it speaks of.
    pub fn release(&self) -> Option<&Release> {
        let ordered = self.order.as_ref().map(|order| &order.release);
        ordered.or(self.written.as_ref().map(|written| &written.release))
    }
}

/// How far a release that was not shown to be good may be exposed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Its share of all requests that reach its service.
    pub share: f64,
    /// Requests beyond that share.
    pub slack: f64,
}

impl Default for Exposure {
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 50.0,
        }
    }
}

impl Exposure {
    /// The part of a region's servers of the new release that share what it gets: each then has the load that
    /// it will have in the end, and a release that fails under load shows that.
    pub fn servers(&self, servers: usize) -> usize {
        (USED * self.share * servers as f64).ceil() as usize
    }
}

/// What one box may still send to a new release.
///
/// Each request that it sends to the service earns a part of one to the new release. Boxes begin with parts
/// that differ, evenly spread between none and one: so all boxes together send the new release its share of
/// what they send, be they three or three hundred, and no box needs to hear of another. Drawn for each
/// request by chance, and held back where a box would go beyond the share by itself, 72 boxes with three
/// requests a second each sent 0.013 to 0.03 of the requests where 0.08 were meant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Permits(f64);

impl Permits {
    /// A box begins with a part of one, from a random number of its own.
    pub fn new(draw: u64) -> Self {
        Self(draw as f64 / u64::MAX as f64)
    }

    /// Whether one more request may go to the new release: it earns its own part too.
    pub fn admit(self, exposure: &Exposure) -> bool {
        self.0 + USED * exposure.share >= 1.0
    }

    /// Notes a request that goes to the service, and whether it goes to the new release.
    pub fn spend(&mut self, new: bool, exposure: &Exposure) {
        let spent = if new { 1.0 } else { 0.0 };
        self.0 = (self.0 + USED * exposure.share).min(SAVED) - spent;
    }
}

/// Answers of the servers of one side, and how many of them were failures or slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All answers.
    pub answers: u32,
    /// The bad ones.
    pub bad: u32,
}

impl Count {
    /// Takes one more answer.
    pub fn add(&mut self, bad: bool) {
        self.answers += 1;
        self.bad += u32::from(bad);
    }

    fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    /// What came since `earlier`; a box that was lost took its counts along.
    fn since(self, earlier: Self) -> Self {
        let answers = self.answers.saturating_sub(earlier.answers);
        let bad = self.bad.saturating_sub(earlier.bad);
        Self {
            answers,
            bad: bad.min(answers),
        }
    }
}

/// The logarithm of how much better the answers of a release are explained by its being worse than `old` than
/// by its being as good; zero where too little is known of `old`.
pub fn evidence(old: Count, new: Count) -> f64 {
    if old.answers < CONTROL || new.answers == 0 {
        return 0.0;
    }
    // As bad as the other releases may be by what they answered: two standard deviations above it.
    let seen = f64::from(old.bad) + 1.0;
    let share = (seen + 2.0 * seen.sqrt()) / f64::from(old.answers + CONTROL);
    let share = share.clamp(LEAST_BAD, 0.9);
    let (bad, good) = (f64::from(new.bad), f64::from(new.answers - new.bad));
    let weights = DEGREES.map(|degree| {
        let worse = share + degree * (1.0 - share);
        bad * (worse / share).ln() + good * ((1.0 - worse) / (1.0 - share)).ln()
    });
    let most = weights.into_iter().fold(f64::MIN, f64::max);
    let sum: f64 = weights.iter().map(|weight| (weight - most).exp()).sum();
    most + (sum / DEGREES.len() as f64).ln()
}

/// What all boxes that were heard of have seen, by route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool(Vec<Trial>);

impl Pool {
    /// Adds up what several boxes tell.
    pub fn gather<'a>(trials: impl IntoIterator<Item = &'a Trial>) -> Self {
        let mut pool = Vec::new();
        for trial in trials {
            add_trial(&mut pool, trial);
        }
        Self(pool)
    }

    /// The longest time for which a box has known the order.
    pub fn age(&self) -> Millis {
        self.0
            .iter()
            .map(|trial| trial.age)
            .max()
            .unwrap_or_default()
    }

    /// The answers on all routes: those of the other releases, and those of the new one.
    pub fn answers(&self) -> (Count, Count) {
        let all = self.rows().into_iter().next();
        all.map_or_else(Default::default, |all| (all.old, all.new))
    }

    /// Everything as one row, and each route's row.
    fn rows(&self) -> Vec<Trial> {
        let mut all: Option<Trial> = None;
        for trial in &self.0 {
            match &mut all {
                None => all = Some(*trial),
                Some(all) => merge(all, trial),
            }
        }
        all.into_iter().chain(self.0.iter().copied()).collect()
    }

    /// The row that weighs most, of the whole time or of what came since `earlier`.
    fn worst(&self, earlier: Option<&Pool>) -> Option<Finding> {
        let before = earlier.map(Pool::rows).unwrap_or_default();
        let rows = self.rows().into_iter().enumerate();
        let findings = rows.filter_map(|(place, row)| {
            // The first row is the sum of all.
            let same = |b: &&Trial| b.route == row.route;
            let earlier = match place {
                0 => before.first(),
                _ => before.iter().skip(1).find(same),
            };
            let earlier = earlier.map_or_else(Default::default, |b| (b.old, b.new));
            let (old, new) = (row.old.since(earlier.0), row.new.since(earlier.1));
            is_spread(&row).then(|| Finding {
                old,
                new,
                weight: evidence(old, new),
            })
        });
        findings.max_by(|a, b| a.weight.total_cmp(&b.weight))
    }
}

/// Whether the bad answers come from enough of the servers of the new release.
fn is_spread(row: &Trial) -> bool {
    let (seen, failing) = (row.seen.count_ones(), row.failing.count_ones());
    failing * SPREAD >= seen && failing >= seen.min(2)
}

/// Adds one row to others of its kind.
pub fn add_trial(pool: &mut Vec<Trial>, trial: &Trial) {
    let same = |t: &&mut Trial| t.key() == trial.key();
    match pool.iter_mut().find(same) {
        Some(sum) => merge(sum, trial),
        None => pool.push(*trial),
    }
}

fn merge(sum: &mut Trial, trial: &Trial) {
    sum.age = sum.age.max(trial.age);
    sum.old = sum.old.plus(trial.old);
    sum.new = sum.new.plus(trial.new);
    sum.seen |= trial.seen;
    sum.failing |= trial.failing;
}

/// What decided against a release, or for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// Answers of the releases that served before.
    pub old: Count,
    /// Answers of the new one.
    pub new: Count,
    /// Logarithm of the weight of the evidence.
    pub weight: f64,
}

/// Whether a release may serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Too little is known.
    Open,
    /// It answers as well as the others.
    Good(Finding),
    /// It may be worse than the others: more answers will tell.
    Doubtful(Finding),
    /// It is worse than the others.
    Bad(Finding),
}

impl Verdict {
    /// Whether the release may take over where there is no time to learn more.
    pub fn is_fair(self) -> bool {
        match self {
            Self::Good(_) => true,
            Self::Doubtful(finding) => finding.weight < SUSPECTED,
            Self::Open | Self::Bad(_) => false,
        }
    }
}

/// Looks at the evidence from time to time.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    /// What was known at earlier looks, the oldest first.
    looks: std::collections::VecDeque<(Time, Pool)>,
}

/// A release that is bad only later, or only under load, is found by what came within this time.
const LATELY: Millis = Millis(3000);

impl Judge {
    /// Judges by all that is known at `now`.
    pub fn look(&mut self, pool: Pool, now: Time) -> Verdict {
        let whole = pool.worst(None);
        let lately = self
            .looks
            .front()
            .and_then(|(_, then)| pool.worst(Some(then)));
        let shown = pool.rows().first().map_or(0, |all| all.new.answers);
        self.looks.push_back((now, pool));
        while self
            .looks
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= LATELY)
        {
            self.looks.pop_front();
        }
        let findings = whole.into_iter().chain(lately);
        let worst = findings.max_by(|a, b| a.weight.total_cmp(&b.weight));
        let worst = worst.unwrap_or_default();
        match worst.weight {
            weight if weight >= CONVICTED => Verdict::Bad(worst),
            weight if weight >= CLEARED => Verdict::Doubtful(worst),
            _ if shown < SHOWN => Verdict::Open,
            _ => Verdict::Good(whole.unwrap_or_default()),
        }
    }
}

/// What is typical of a time that many answers took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Typical {
    times: u32,
    /// Mean of the logarithms, in milliseconds.
    mean: f64,
}

impl Typical {
    /// Takes one more time.
    pub fn learn(&mut self, took: Millis) {
        self.times = self.times.saturating_add(1);
        let weight = TYPICAL_ALPHA.max(1.0 / f64::from(self.times));
        self.mean += weight * ((took.0 as f64 + SHORT).ln() - self.mean);
    }

    /// The longest time that is not slow, for `scale` times the work; none before anything is typical.
    pub fn bound(&self, scale: f64) -> Option<Millis> {
        let typical = self.mean.exp() * scale;
        let bound = typical * SLOW + SLOW_LEAST;
        (self.times >= TYPICAL_AFTER).then_some(Millis(bound as u64))
    }
}
