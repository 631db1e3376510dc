//! How the boxes of a region use its backend servers, told several times a second.
//!
//! Load pattern: a region of many boxes before few servers. Of a hundred boxes each sees seven requests
//! a second, next to nothing of what a server gets, and the heartbeats of all to all come only every
//! 15 s, since their bytes must stay bounded. Placed by such old word, requests pile up at one server
//! while others are free, and each box finds out by itself that a server is gone.
//!
//! So two boxes of each failure domain, its hubs, gather what its boxes see, exchange the sums with the
//! hubs of the other domains, and tell the boxes the sums of the region. The messages of a box don't
//! grow with the region, and few bytes leave a failure domain.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    allotment::Sum,
    id::{BoxName, Domain},
    rollout,
    unit::{Millis, Time},
    wire::{Report, Share, Short, Trial, Usage, Use},
};

/// Word older than this is not used: five messages were missed.
const FRESH: Millis = Millis(1000);
/// So many boxes must have missed a server before the others leave it alone: one alone may be cut off
/// itself.
const WITNESSES: u32 = 2;

/// What was told at some moment.
#[derive(Debug)]
struct Told {
    report: Report,
    at: Time,
}

impl Told {
    fn is_fresh(&self, now: Time) -> bool {
        now.since(self.at) <= FRESH
    }
}

/// What a box knows of the use of its region's backend servers.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// At a hub, what the boxes of its failure domain told.
    reports: HashMap<BoxName, Told>,
    /// At a hub, the sums of the other failure domains.
    shares: BTreeMap<Domain, Told>,
    /// The sums of the region, this box included, and when they came.
    sums: HashMap<Short, Usage>,
    summed: Option<Time>,
    /// This box's own work at each server as it was told last: the sums hold it.
    mine: HashMap<Short, u32>,
    /// The customers' use in the region, and this box's own of it, in the same way.
    uses: HashMap<Short, Sum>,
    own_uses: HashMap<Short, Sum>,
    /// What the region has seen of roll-outs.
    trials: Vec<Trial>,
    /// The failure domains whose sums those are.
    domains: BTreeSet<Domain>,
}

fn add(sums: &mut HashMap<Short, Usage>, usages: &[Usage]) {
    for usage in usages {
        let nothing = Usage {
            busy: 0,
            answered: 0,
            unreachable: 0,
            ..*usage
        };
        let sum = sums.entry(usage.backend).or_insert(nothing);
        sum.busy += usage.busy;
        sum.answered += usage.answered;
        sum.unreachable += usage.unreachable;
    }
}

/// Adds up what boxes have seen of roll-outs.
pub(super) fn add_trials(sums: &mut Vec<Trial>, trials: &[Trial]) {
    for trial in trials {
        rollout::add_trial(sums, trial);
    }
}

/// Adds up customers' use.
pub(super) fn add_uses(sums: &mut HashMap<Short, Sum>, uses: &[Use]) {
    for told in uses {
        sums.entry(told.customer).or_default().add(told);
    }
}

/// Customers' use as it is told, in the order of the customers.
pub(super) fn told_uses(sums: HashMap<Short, Sum>) -> Vec<Use> {
    let told = |(customer, sum): (Short, Sum)| Use {
        customer,
        used: sum.used as u32,
        offered: sum.offered as u32,
    };
    let mut uses: Vec<Use> = sums.into_iter().map(told).collect();
    uses.sort_unstable_by_key(|told| told.customer);
    uses
}

impl Tally {
    /// Notes what this box tells of its own use.
    pub(super) fn tell(&mut self, report: &Report) {
        let usages = report.usages.iter();
        self.mine = usages.map(|u| (u.backend, u.busy)).collect();
        self.own_uses.clear();
        add_uses(&mut self.own_uses, &report.uses);
    }

    /// At a hub, takes what a box of its failure domain told.
    pub(super) fn report(&mut self, from: BoxName, report: Report, now: Time) {
        self.reports.insert(from, Told { report, at: now });
    }

    /// At a hub, takes the sums of another failure domain.
    pub(super) fn share(&mut self, share: Share, now: Time) {
        let told = Told {
            report: share.report,
            at: now,
        };
        self.shares.insert(share.domain, told);
    }

    /// Takes the sums of the region.
    pub(super) fn take(&mut self, shares: &[Share], now: Time) {
        self.sums.clear();
        self.uses.clear();
        self.trials.clear();
        self.domains.clear();
        for share in shares {
            add(&mut self.sums, &share.report.usages);
            add_uses(&mut self.uses, &share.report.uses);
            add_trials(&mut self.trials, &share.report.trials);
            self.domains.insert(share.domain.clone());
        }
        self.summed = Some(now);
    }

    /// At a hub of `domain`, the sums of each failure domain, its own first.
    pub(super) fn sum_up(&mut self, domain: &Domain, now: Time) -> Vec<Share> {
        self.reports.retain(|_, told| told.is_fresh(now));
        self.shares.retain(|_, told| told.is_fresh(now));
        let (mut own, mut uses, mut trials) = (HashMap::new(), HashMap::new(), Vec::new());
        for told in self.reports.values() {
            add(&mut own, &told.report.usages);
            add_uses(&mut uses, &told.report.uses);
            add_trials(&mut trials, &told.report.trials);
        }
        let own = Share {
            domain: domain.clone(),
            report: Report {
                usages: own.into_values().collect(),
                uses: told_uses(uses),
                trials,
            },
        };
        let others = self.shares.iter().map(|(domain, told)| Share {
            domain: domain.clone(),
            report: told.report.clone(),
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Whether the sums are fresh.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        self.summed.is_some_and(|at| now.since(at) <= FRESH)
    }

    /// Attempts that the other boxes have in hand at `backend`.
    pub(super) fn busy(&self, backend: Short) -> u32 {
        let all = self.sums.get(&backend).map_or(0, |sum| sum.busy);
        let mine = self.mine.get(&backend).copied().unwrap_or(0);
        all.saturating_sub(mine)
    }

    /// Whether no customer's use was told last, or none ever.
    pub(super) fn is_unused(&self) -> bool {
        self.uses.is_empty()
    }

    /// Customers' use in the region.
    pub(super) fn uses(&self) -> &HashMap<Short, Sum> {
        &self.uses
    }

    /// What the region has seen of roll-outs.
    pub(super) fn trials(&self) -> &[Trial] {
        &self.trials
    }

    /// A customer's use at the other boxes of the region.
    pub(super) fn use_elsewhere(&self, customer: Short) -> Sum {
        let all = self.uses.get(&customer).copied().unwrap_or_default();
        let own = self.own_uses.get(&customer).copied().unwrap_or_default();
        all.without(own)
    }

    /// Whether the sums hold those of `domain`.
    pub(super) fn covers(&self, domain: &Domain) -> bool {
        self.domains.contains(domain)
    }

    /// Whether several boxes could not reach `backend` and it answered none.
    pub(super) fn is_down(&self, backend: Short) -> bool {
        let sum = self.sums.get(&backend);
        sum.is_some_and(|sum| sum.answered == 0 && sum.unreachable >= WITNESSES)
    }
}
