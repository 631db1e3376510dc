//! Allotment checks: the known use by other boxes, and the part of an allotment that boxes which
//! hear each other may spend.
//!
//! Load pattern: regions lose contact for seconds, or single boxes lose all others, while a
//! customer sends more than its allotment everywhere. If each side went on with the whole
//! allotment, three times the allotment would pass. So each side spends only the parts of the
//! regions and failure domains that it hears, from the moment their reports become stale until they
//! arrive again: a silent region cannot be told from a lost one.
//!
//! A region's part is half its share of the backend servers, which all boxes know alike, and half
//! its share of the customer's use while all regions heard each other. A region at its peak has
//! nine tenths of the use; its share of the servers alone would make it refuse requests that it may
//! serve.

use std::collections::{BTreeMap, HashMap};

use crate::{
    allotment::{Knowledge, Sum},
    config::Customer,
    id::{self, Region},
    memory::prompt::Prompt,
    policy::Policy,
    reducer::{
        JOIN_GRACE, State,
        control::Control,
        effect::Reply,
        job::{self, Charge, Job},
        status::Allotted,
    },
    unit::{Millis, Time},
    verdict::Verdict,
    wire::{NameHash, Use},
};

/// Weight of the customer's use in a region's share; the rest follows the backend servers.
const USE_WEIGHT: f64 = 0.5;
/// Share of its own use that a newly started box assumes for each other box of its region. Assuming
/// all of it would refuse customers within their allotment after a long prompt.
const ASSUMED_USE_SHARE: f64 = 0.5;
/// How long after the start use is assumed: the boxes of the region report theirs within that time.
const ASSUMPTION_PERIOD: Millis = Millis(1000);
/// Time between two samples of how customers' use is distributed.
const SAMPLE_PERIOD: Millis = Millis(1000);
/// Weight of the newest sample in the moving average: a region's share of the use changes over some
/// seconds at the fastest.
const SAMPLE_ALPHA: f64 = 0.2;

/// How each customer's use was distributed over the regions while all regions heard each other.
#[derive(Clone, Debug, Default)]
pub(super) struct Distribution {
    uses: HashMap<id::Customer, BTreeMap<Region, f64>>,
    last_sample: Option<Time>,
    /// The fraction of each region's boxes whose use is currently not heard.
    unheard_parts: Vec<(Region, f64)>,
}

impl Distribution {
    /// Returns the share of `region` in a customer's use, or `None` if nothing is known.
    fn share(&self, customer: &id::Customer, region: &Region) -> Option<f64> {
        let uses = self.uses.get(customer)?;
        let all: f64 = uses.values().sum();
        let own = uses.get(region).copied().unwrap_or(0.0);
        (all > 0.0).then(|| own / all)
    }
}

impl Job {
    /// Records that the last run did not take place, so that its booking is free again.
    pub(super) fn release_charge(&mut self) {
        if let Some(booking) = &mut self.charge {
            booking.spent = false;
        }
    }
}

impl<P: Policy> State<P> {
    /// Charges a new request to its customer's allotment, or returns the refusal.
    pub(super) fn charge(
        &mut self,
        now: Time,
        customer: &Customer,
        prompt: Option<&Prompt>,
        draw: u64,
    ) -> Result<Option<Charge>, Reply> {
        let Some(allotment) = &customer.allotment else {
            return Ok(None);
        };
        let cost = allotment.cost(prompt);
        let known = self.knowledge(now, &customer.name);
        let taken = self
            .accounts
            .take(&customer.name, allotment, cost, known, draw, now);
        let over = |wait: Millis| {
            let name = &customer.name;
            let reason = format_args!("over the allotment: customer={name} cost={cost} {known}");
            let reply = Reply::new(429, Verdict::NotRun, reason);
            reply.with_retry_after(job::jittered(wait.0 as f64, draw))
        };
        taken.map_err(over)?;
        Ok(Some(Charge {
            cost,
            at: now,
            spent: false,
        }))
    }

    /// Records that a run of `request` begins; each run beyond the first is booked again.
    pub(super) fn book_run(&mut self, now: Time, request: id::Request) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let Some(booking) = &mut job.charge else {
            return;
        };
        if !std::mem::replace(&mut booking.spent, true) {
            return;
        }
        booking.at = now;
        let name = &job.ask.customer;
        let customer = self.config.as_ref().and_then(|c| c.customers.get(name));
        if let Some(allotment) = customer.and_then(|c| c.allotment) {
            self.accounts.book(name, &allotment, booking.cost, now);
        }
    }

    /// Refunds the booking of a request that certainly did not run.
    pub(super) fn give_back(&mut self, job: &Job) {
        if let Some(booking) = job.charge.filter(|booking| !booking.spent) {
            let customer = &job.ask.customer;
            self.accounts.refund(customer, booking.cost, booking.at);
        }
    }

    /// Returns what this box knows of the other boxes' use of a customer's allotment.
    fn knowledge(&self, now: Time, customer: &id::Customer) -> Knowledge {
        let short = NameHash::of(customer.as_str());
        let just_started = now < Time(0) + JOIN_GRACE;
        let here = match self.table.use_elsewhere_in_region(short, now) {
            Some(here) => here,
            None if just_started => Sum::default(),
            None => return Knowledge::Isolated(self.table.known_boxes()),
        };
        let mut others = here;
        for (_, remote) in self.table.reachable(now) {
            let reported = Use::find(&remote.digest.uses, short);
            reported
                .into_iter()
                .for_each(|reported| others.add(reported));
        }
        if now < Time(0) + ASSUMPTION_PERIOD {
            others = others.max(self.assumed_use(now, customer));
        }
        let part = if just_started {
            1.0
        } else {
            self.spendable_part(customer)
        };
        Knowledge::Reported { others, part }
    }

    /// Estimates the use by the other boxes of the region from this box's own, until it has heard
    /// from them: if all boxes start at once, each would otherwise admit as much as all of them may
    /// together.
    fn assumed_use(&self, now: Time, customer: &id::Customer) -> Sum {
        let own = self.accounts.sum(customer, now);
        let others = ASSUMED_USE_SHARE * self.table.peers().count() as f64;
        Sum {
            used: own.used * others,
            offered: own.offered * others,
        }
    }

    /// Returns the part of a customer's allotment that the boxes which this one hears may spend.
    fn spendable_part(&self, customer: &id::Customer) -> f64 {
        let unheard_parts = self.distribution.unheard_parts.iter();
        let lost: f64 = unheard_parts
            .map(|(r, unheard_part)| unheard_part * self.share(customer, r))
            .sum();
        (1.0 - lost).max(0.0)
    }

    /// Returns, for each region, the fraction of its boxes whose use this box does not hear.
    fn unheard_parts(&self, now: Time) -> Vec<(Region, f64)> {
        let mine = &self.table.me.region;
        let unheard_part = |region: &Region| match () {
            () if region == mine => 1.0 - self.table.cover(now),
            () if !self.table.is_reachable(region, now) => 1.0,
            () => {
                let remote = self.table.region(region);
                1.0 - remote.map_or(1.0, |remote| remote.digest.cover)
            }
        };
        let configured = self.config.iter().flat_map(|c| c.regions.keys());
        let unheard_parts = configured.map(|region| (region.clone(), unheard_part(region)));
        unheard_parts
            .filter(|(_, unheard_part)| *unheard_part > 0.0)
            .collect()
    }

    /// Returns how the customers' allotments are used, as far as this box knows.
    pub fn allotments(&self, now: Time) -> Vec<Allotted> {
        let customers = self.config.iter().flat_map(|c| c.customers.values());
        let allotted = customers.filter_map(|customer| {
            let allotment = customer.allotment?;
            let name = &customer.name;
            let own = self.accounts.sum(name, now);
            let (others, part) = match self.knowledge(now, name) {
                Knowledge::Reported { others, part } => (others, part),
                Knowledge::Isolated(boxes) => (Sum::default(), 1.0 / boxes.max(1) as f64),
            };
            let counts = self.accounts.counts(name);
            Some(Allotted {
                name: name.clone(),
                unit: allotment.unit.to_string(),
                rate: allotment.rate,
                used: own.used + others.used,
                offered: own.offered + others.offered,
                limit: self.accounts.limit(&allotment) * part,
                admitted: counts.admitted,
                refused: counts.refused,
            })
        });
        let mut allotted: Vec<Allotted> = allotted.collect();
        allotted.sort_by(|a, b| a.name.cmp(&b.name));
        allotted
    }

    /// Returns a region's share of a customer's allotment.
    fn share(&self, customer: &id::Customer, region: &Region) -> f64 {
        let by_servers = self.fleet.share(region);
        let by_use = self
            .distribution
            .share(customer, region)
            .unwrap_or(by_servers);
        USE_WEIGHT * by_use + (1.0 - USE_WEIGHT) * by_servers
    }

    /// Updates how customers' use is distributed, as long as all regions hear each other.
    pub(super) fn update_distribution(&mut self, now: Time) {
        let Some(config) = self.config.clone().filter(|c| c.has_allotments()) else {
            return;
        };
        self.distribution.unheard_parts = self.unheard_parts(now);
        let due = Control::due(&mut self.distribution.last_sample, SAMPLE_PERIOD, now);
        if !due || !self.distribution.unheard_parts.is_empty() {
            return;
        }
        let limited = config.customers.values().filter(|c| c.allotment.is_some());
        for customer in limited {
            let short = NameHash::of(customer.name.as_str());
            let here = self
                .table
                .use_elsewhere_in_region(short, now)
                .unwrap_or_default();
            let own = here.used + self.accounts.sum(&customer.name, now).used;
            let uses = self
                .distribution
                .uses
                .entry(customer.name.clone())
                .or_default();
            let mut update = |region: &Region, used: f64| {
                let known = uses.entry(region.clone()).or_insert(used);
                *known += SAMPLE_ALPHA * (used - *known);
            };
            update(&self.table.me.region, own);
            for (region, remote) in self.table.reachable(now) {
                let reported = Use::find(&remote.digest.uses, short);
                update(
                    region,
                    reported.map_or(0.0, |reported| f64::from(reported.used)),
                );
            }
        }
        let known = |name: &id::Customer| config.customers.contains_key(name);
        self.distribution.uses.retain(|name, _| known(name));
        self.accounts.retain(known);
    }
}
