//! Aggregated use of a region's backend servers, sent several times a second.
//!
//! Load pattern: a region of many boxes in front of few servers. Each of a hundred boxes sees seven
//! requests a second, a small part of what a server gets, and the heartbeats between all boxes come
//! only every 15 s, since their traffic must stay bounded. With such old data, requests pile up at
//! one server while others are free, and each box has to find out by itself that a server is gone.
//!
//! Two boxes of each failure domain, its hubs, therefore collect the reports of its boxes, exchange
//! the sums with the hubs of the other domains, and send the sums of the region to their boxes. The
//! messages of a box don't grow with the region, and few bytes leave a failure domain.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    allotment::Sum,
    id::{BoxName, Domain},
    rollout,
    unit::{Millis, Time},
    wire::{NameHash, Report, Share, Trial, Usage, Use},
};

/// Maximum age of reports and sums that are used, equal to five missed messages.
const MAX_AGE: Millis = Millis(1000);
/// Number of boxes that must have failed to reach a server before the others avoid it: a single box
/// may be disconnected itself.
const UNREACHABLE_QUORUM: u32 = 2;

/// Report with the time of its receipt.
#[derive(Debug)]
struct Received {
    report: Report,
    at: Time,
}

impl Received {
    fn is_fresh(&self, now: Time) -> bool {
        now.since(self.at) <= MAX_AGE
    }
}

/// Knowledge of a box of the use of its region's backend servers.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// On a hub, the reports of the boxes of its failure domain.
    reports: HashMap<BoxName, Received>,
    /// On a hub, the sums of the other failure domains.
    shares: BTreeMap<Domain, Received>,
    /// Sums of the region, including this box, and when they were received.
    sums: HashMap<NameHash, Usage>,
    summed_at: Option<Time>,
    /// This box's own attempts in flight at each server as last reported; the sums include them.
    own_busy: HashMap<NameHash, u32>,
    /// Customers' use in the region, and this box's own part of it as last reported.
    uses: HashMap<NameHash, Sum>,
    own_uses: HashMap<NameHash, Sum>,
    /// Roll-out observations of the region.
    trials: Vec<Trial>,
    /// Failure domains included in the sums.
    domains: BTreeSet<Domain>,
}

fn add_usages(sums: &mut HashMap<NameHash, Usage>, usages: &[Usage]) {
    for usage in usages {
        let zero = Usage {
            busy: 0,
            answered: 0,
            unreachable: 0,
            ..*usage
        };
        let sum = sums.entry(usage.backend).or_insert(zero);
        sum.busy += usage.busy;
        sum.answered += usage.answered;
        sum.unreachable += usage.unreachable;
    }
}

/// Adds roll-out observations to `sums`.
pub(super) fn add_trials(sums: &mut Vec<Trial>, trials: &[Trial]) {
    for trial in trials {
        rollout::add_trial(sums, trial);
    }
}

/// Adds customers' use to `sums`.
pub(super) fn add_uses(sums: &mut HashMap<NameHash, Sum>, uses: &[Use]) {
    for usage in uses {
        sums.entry(usage.customer).or_default().add(usage);
    }
}

/// Returns customers' use for sending, sorted by customer.
pub(super) fn sorted_uses(sums: HashMap<NameHash, Sum>) -> Vec<Use> {
    let to_use = |(customer, sum): (NameHash, Sum)| Use {
        customer,
        used: sum.used as u32,
        offered: sum.offered as u32,
    };
    let mut uses: Vec<Use> = sums.into_iter().map(to_use).collect();
    uses.sort_unstable_by_key(|usage| usage.customer);
    uses
}

impl Tally {
    /// Records the report that this box sends on its own use.
    pub(super) fn record_sent(&mut self, report: &Report) {
        let usages = report.usages.iter();
        self.own_busy = usages.map(|u| (u.backend, u.busy)).collect();
        self.own_uses.clear();
        add_uses(&mut self.own_uses, &report.uses);
    }

    /// Stores the report of a box of the failure domain (on hubs).
    pub(super) fn record_report(&mut self, from: BoxName, report: Report, now: Time) {
        self.reports.insert(from, Received { report, at: now });
    }

    /// Stores the sums of another failure domain (on hubs).
    pub(super) fn record_share(&mut self, share: Share, now: Time) {
        let received = Received {
            report: share.report,
            at: now,
        };
        self.shares.insert(share.domain, received);
    }

    /// Replaces the sums of the region.
    pub(super) fn replace_sums(&mut self, shares: &[Share], now: Time) {
        self.sums.clear();
        self.uses.clear();
        self.trials.clear();
        self.domains.clear();
        for share in shares {
            add_usages(&mut self.sums, &share.report.usages);
            add_uses(&mut self.uses, &share.report.uses);
            add_trials(&mut self.trials, &share.report.trials);
            self.domains.insert(share.domain.clone());
        }
        self.summed_at = Some(now);
    }

    /// Returns the sums of each failure domain, with those of the hub's own `domain` first (on
    /// hubs).
    pub(super) fn aggregate(&mut self, domain: &Domain, now: Time) -> Vec<Share> {
        self.reports.retain(|_, received| received.is_fresh(now));
        self.shares.retain(|_, received| received.is_fresh(now));
        let (mut own, mut uses, mut trials) = (HashMap::new(), HashMap::new(), Vec::new());
        for received in self.reports.values() {
            add_usages(&mut own, &received.report.usages);
            add_uses(&mut uses, &received.report.uses);
            add_trials(&mut trials, &received.report.trials);
        }
        let own = Share {
            domain: domain.clone(),
            report: Report {
                usages: own.into_values().collect(),
                uses: sorted_uses(uses),
                trials,
            },
        };
        let others = self.shares.iter().map(|(domain, received)| Share {
            domain: domain.clone(),
            report: received.report.clone(),
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Reports whether the sums are recent enough to be used.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        self.summed_at.is_some_and(|at| now.since(at) <= MAX_AGE)
    }

    /// Returns the attempts that the other boxes have in flight at `backend`.
    pub(super) fn busy(&self, backend: NameHash) -> u32 {
        let all = self.sums.get(&backend).map_or(0, |sum| sum.busy);
        let mine = self.own_busy.get(&backend).copied().unwrap_or(0);
        all.saturating_sub(mine)
    }

    /// Reports whether the last sums contain no customers' use, or none were ever received.
    pub(super) fn has_no_uses(&self) -> bool {
        self.uses.is_empty()
    }

    /// Returns the customers' use in the region.
    pub(super) fn uses(&self) -> &HashMap<NameHash, Sum> {
        &self.uses
    }

    /// Returns the roll-out observations of the region.
    pub(super) fn trials(&self) -> &[Trial] {
        &self.trials
    }

    /// Returns a customer's use at the other boxes of the region.
    pub(super) fn use_elsewhere(&self, customer: NameHash) -> Sum {
        let all = self.uses.get(&customer).copied().unwrap_or_default();
        let own = self.own_uses.get(&customer).copied().unwrap_or_default();
        all.without(own)
    }

    /// Reports whether the sums include those of `domain`.
    pub(super) fn covers(&self, domain: &Domain) -> bool {
        self.domains.contains(domain)
    }

    /// Reports whether several boxes could not reach `backend` and no box got an answer from it.
    pub(super) fn is_down(&self, backend: NameHash) -> bool {
        let sum = self.sums.get(&backend);
        sum.is_some_and(|sum| sum.answered == 0 && sum.unreachable >= UNREACHABLE_QUORUM)
    }
}
