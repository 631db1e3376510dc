//! Roll-outs: moving a service's traffic to another release of its backend servers while comparing
//! the answers of both.
//!
//! Load pattern: the new release gets a small part of the requests at each box, so that the part is
//! the same over three boxes or three hundred without coordination ([`Permits`]). The answers of
//! its servers are compared with those of the other releases to the same routes in the same
//! seconds, as a control group: a burst, a region with problems or failing callers affect both.
//!
//! The comparison is a sequential test, so it may be evaluated after each answer: the weight of the
//! evidence is a likelihood ratio averaged over several effect sizes, and a good release exceeds a
//! bound of N by chance in at most one of N roll-outs.

use serde::{Deserialize, Serialize};

use crate::{
    fleet::Revision,
    id::Release,
    unit::{Millis, Time},
    wire::Trial,
};

/// Part of the permitted exposure that is used. The rest allows for requests to the old release
/// that are counted but never arrive.
const USED_EXPOSURE_SHARE: f64 = 0.8;
/// Requests to the new release that a box may accumulate while the servers of that release are cold
/// or full.
const MAX_SAVED_REQUESTS: f64 = 8.0;
/// Log evidence that ends a roll-out at once. By chance, one in 10,000 good releases reaches it,
/// for each route and time window that is evaluated.
const ROLLBACK_EVIDENCE: f64 = 9.2;
/// Log evidence that prevents completion at the deadline. There is one evaluation, so one in 500
/// good releases reaches it by chance.
const COMPLETION_EVIDENCE: f64 = 6.2;
/// Log evidence below which a release counts as good. Above it, the roll-out waits for further
/// answers before moving traffic: with a release whose bad answers were few by chance, and an
/// evidence of 5.4, all traffic moved for a second before the release was rolled back.
const DOUBT_EVIDENCE: f64 = 3.0;
/// Effect sizes of the test: the part of the good answers of the other releases that is bad for the
/// new one.
const EFFECT_SIZES: [f64; 5] = [0.05, 0.1, 0.2, 0.4, 0.8];
/// Answers of the other releases that are required for a comparison.
const MIN_CONTROL_ANSWERS: u32 = 20;
/// Answers of the new release that are required to call it good.
const MIN_NEW_ANSWERS: u32 = 30;
/// Share of bad answers that is assumed for any release at least.
const MIN_BAD_SHARE: f64 = 0.01;
/// At least one in this many servers of the new release that answered must have answered badly: a
/// single failing server is no evidence about its release.
const SERVERS_PER_FAILING_SERVER: u32 = 4;
/// An answer is slow if it takes more than this factor times the typical time plus this margin in
/// milliseconds. Servers of one release differ by a third, and a burst doubles the times of all.
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MARGIN_MS: f64 = 20.0;
/// Samples that are required before a time counts as typical.
const MIN_SAMPLES: u32 = 5;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Offset in milliseconds added before taking the logarithm, so that short times do not weigh too
/// much.
const LOG_OFFSET_MS: f64 = 5.0;

/// An operator's order to roll out a release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The release to roll out.
    pub release: Release,
    /// The time within which the release is to take over.
    pub within: Millis,
    /// The store's revision of the order: a later order has a greater one.
    pub revision: Revision,
}

/// The state of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// The roll-out is in progress.
    Active,
    /// The new release serves all traffic, and the others are stopped.
    Completed,
    /// The new release gets no further requests.
    RolledBack,
}

impl Standing {
    /// Reports whether the state is final.
    pub fn is_end(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Returns the name of the state in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// The state of a roll-out as last written to the store by a box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The state.
    pub standing: Standing,
    /// The release of the order that the state refers to.
    pub release: Release,
    /// The store's revision of the state.
    pub revision: Revision,
}

/// The stored order and state of one service's roll-out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The operator's order; `None` if it was withdrawn.
    pub order: Option<Order>,
    /// The state last written by a box.
    pub written: Option<Written>,
    /// How long the box that reports this has known the order.
    pub age: Millis,
}

impl Entry {
    /// Returns the state written for the current order. A state written before the order refers to
    /// an earlier one and is ignored.
    pub fn standing(&self) -> Option<Standing> {
        let written = self.written.as_ref()?;
        let refers_to =
            |order: &Order| written.revision > order.revision && written.release == order.release;
        let current = self.order.as_ref().is_none_or(refers_to);
        current.then_some(written.standing)
    }

    /// Returns the release that the order, or else the last written state, refers to.
    pub fn release(&self) -> Option<&Release> {
        let ordered = self.order.as_ref().map(|order| &order.release);
        ordered.or(self.written.as_ref().map(|written| &written.release))
    }
}

/// The limit on traffic to a release that has not been shown to be good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Its share of all requests to its service.
    pub share: f64,
    /// Requests permitted above that share.
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
    /// Returns how many of a region's servers of the new release share its traffic. The number is
    /// chosen so that each has the load that it will have after the roll-out, and a release that
    /// fails under load shows it.
    pub fn servers(&self, servers: usize) -> usize {
        (USED_EXPOSURE_SHARE * self.share * servers as f64).ceil() as usize
    }
}

/// The budget of one box for requests to a new release.
///
/// Each request that the box sends to the service earns a part of one to the new release. Boxes
/// start with parts that differ, evenly distributed between none and one, so all boxes together
/// send the new release its share of their requests, for three boxes as for three hundred, without
/// coordination. When the release was drawn at random for each request, and each box stayed below
/// the share on its own, 72 boxes with three requests per second each sent 0.013 to 0.03 of the
/// requests instead of 0.08.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Permits(f64);

impl Permits {
    /// Creates the budget with a part of one request, from a random number drawn for this box.
    pub fn new(draw: u64) -> Self {
        Self(draw as f64 / u64::MAX as f64)
    }

    /// Reports whether one more request may go to the new release, including the part that the
    /// request itself earns.
    pub fn admit(self, exposure: &Exposure) -> bool {
        self.0 + USED_EXPOSURE_SHARE * exposure.share >= 1.0
    }

    /// Counts a request to the service, and whether it goes to the new release.
    pub fn spend(&mut self, new: bool, exposure: &Exposure) {
        let spent = if new { 1.0 } else { 0.0 };
        self.0 = (self.0 + USED_EXPOSURE_SHARE * exposure.share).min(MAX_SAVED_REQUESTS) - spent;
    }
}

/// Answers of one side of the comparison, and how many of them failed or were slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All answers.
    pub answers: u32,
    /// Answers that failed or were slow.
    pub bad: u32,
}

impl Count {
    /// Counts one more answer.
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

    /// Returns the answers since `earlier`. The difference stops at zero, since the counts of a
    /// lost box are lost with it.
    fn since(self, earlier: Self) -> Self {
        let answers = self.answers.saturating_sub(earlier.answers);
        let bad = self.bad.saturating_sub(earlier.bad);
        Self {
            answers,
            bad: bad.min(answers),
        }
    }
}

/// Returns the log likelihood ratio of the new release being worse than `old` against its being as
/// good; zero if there are too few answers for a comparison.
pub fn evidence(old: Count, new: Count) -> f64 {
    if old.answers < MIN_CONTROL_ANSWERS || new.answers == 0 {
        return 0.0;
    }
    // The highest share of bad answers that is consistent with the other releases: two standard
    // deviations above the observed share.
    let bad_count = f64::from(old.bad) + 1.0;
    let share = (bad_count + 2.0 * bad_count.sqrt()) / f64::from(old.answers + MIN_CONTROL_ANSWERS);
    let share = share.clamp(MIN_BAD_SHARE, 0.9);
    let (bad, good) = (f64::from(new.bad), f64::from(new.answers - new.bad));
    let weights = EFFECT_SIZES.map(|effect_size| {
        let worse = share + effect_size * (1.0 - share);
        bad * (worse / share).ln() + good * ((1.0 - worse) / (1.0 - share)).ln()
    });
    let most = weights.into_iter().fold(f64::MIN, f64::max);
    let sum: f64 = weights.iter().map(|weight| (weight - most).exp()).sum();
    most + (sum / EFFECT_SIZES.len() as f64).ln()
}

/// The answers seen by all boxes, by route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool(Vec<Trial>);

impl Pool {
    /// Sums up the reports of several boxes.
    pub fn gather<'a>(trials: impl IntoIterator<Item = &'a Trial>) -> Self {
        let mut pool = Vec::new();
        for trial in trials {
            add_trial(&mut pool, trial);
        }
        Self(pool)
    }

    /// Returns the longest time for which a box has known the order.
    pub fn age(&self) -> Millis {
        self.0
            .iter()
            .map(|trial| trial.age)
            .max()
            .unwrap_or_default()
    }

    /// Returns the answers on all routes: those of the other releases, and those of the new one.
    pub fn answers(&self) -> (Count, Count) {
        let all = self.rows().into_iter().next();
        all.map_or_else(Default::default, |all| (all.old, all.new))
    }

    /// Returns the sum over all routes, followed by the row of each route.
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

    /// Returns the finding with the most evidence among all rows, for the whole time or since
    /// `earlier`.
    fn strongest_finding(&self, earlier: Option<&Pool>) -> Option<Finding> {
        let before = earlier.map(Pool::rows).unwrap_or_default();
        let rows = self.rows().into_iter().enumerate();
        let findings = rows.filter_map(|(place, row)| {
            // The first row is the sum over all routes.
            let same = |b: &&Trial| b.route == row.route;
            let earlier = match place {
                0 => before.first(),
                _ => before.iter().skip(1).find(same),
            };
            let earlier = earlier.map_or_else(Default::default, |b| (b.old, b.new));
            let (old, new) = (row.old.since(earlier.0), row.new.since(earlier.1));
            has_enough_failing_servers(&row).then(|| Finding {
                old,
                new,
                weight: evidence(old, new),
            })
        });
        findings.max_by(|a, b| a.weight.total_cmp(&b.weight))
    }
}

/// Reports whether the bad answers come from enough servers of the new release.
fn has_enough_failing_servers(row: &Trial) -> bool {
    let (seen, failing) = (row.seen.count_ones(), row.failing.count_ones());
    failing * SERVERS_PER_FAILING_SERVER >= seen && failing >= seen.min(2)
}

/// Adds a row to the row with the same key, or appends it.
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

/// The answers on which a verdict is based.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// Answers of the releases that served before.
    pub old: Count,
    /// Answers of the new release.
    pub new: Count,
    /// Logarithm of the weight of the evidence against the new release.
    pub weight: f64,
}

/// The result of comparing a release with the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// There are too few answers.
    Open,
    /// It answers as well as the others.
    Good(Finding),
    /// It may be worse than the others; more answers are needed.
    Doubtful(Finding),
    /// It is worse than the others.
    Bad(Finding),
}

impl Verdict {
    /// Reports whether the release may take over when the deadline leaves no time for more answers.
    pub fn is_fair(self) -> bool {
        match self {
            Self::Good(_) => true,
            Self::Doubtful(finding) => finding.weight < COMPLETION_EVIDENCE,
            Self::Open | Self::Bad(_) => false,
        }
    }
}

/// Evaluates the evidence periodically.
#[derive(Clone, Debug, Default)]
pub struct Evaluator {
    /// Snapshots of earlier evaluations, the oldest first.
    snapshots: std::collections::VecDeque<(Time, Pool)>,
}

/// Window of recent answers that are evaluated on their own, to find a release that becomes bad
/// only later or only under load.
const RECENT_WINDOW: Millis = Millis(3000);

impl Evaluator {
    /// Evaluates the answers known at `now`, over the whole roll-out and over the recent window.
    pub fn evaluate(&mut self, pool: Pool, now: Time) -> Verdict {
        let whole = pool.strongest_finding(None);
        let recent = self
            .snapshots
            .front()
            .and_then(|(_, earlier)| pool.strongest_finding(Some(earlier)));
        let new_answers = pool.rows().first().map_or(0, |all| all.new.answers);
        self.snapshots.push_back((now, pool));
        while self
            .snapshots
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= RECENT_WINDOW)
        {
            self.snapshots.pop_front();
        }
        let findings = whole.into_iter().chain(recent);
        let strongest = findings.max_by(|a, b| a.weight.total_cmp(&b.weight));
        let strongest = strongest.unwrap_or_default();
        match strongest.weight {
            weight if weight >= ROLLBACK_EVIDENCE => Verdict::Bad(strongest),
            weight if weight >= DOUBT_EVIDENCE => Verdict::Doubtful(strongest),
            _ if new_answers < MIN_NEW_ANSWERS => Verdict::Open,
            _ => Verdict::Good(whole.unwrap_or_default()),
        }
    }
}

/// A moving average of the time that answers take.
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline {
    samples: u32,
    /// Mean of the logarithms of the times in milliseconds.
    log_mean: f64,
}

impl Baseline {
    /// Adds a sample.
    pub fn learn(&mut self, took: Millis) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.log_mean += weight * ((took.0 as f64 + LOG_OFFSET_MS).ln() - self.log_mean);
    }

    /// Returns the longest time that is not slow, for `scale` times the work; `None` if there are
    /// too few samples.
    pub fn bound(&self, scale: f64) -> Option<Millis> {
        let typical = self.log_mean.exp() * scale;
        let bound = typical * SLOW_FACTOR + SLOW_MARGIN_MS;
        (self.samples >= MIN_SAMPLES).then_some(Millis(bound as u64))
    }
}
