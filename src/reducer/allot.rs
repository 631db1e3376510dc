//! What a customer may still use of its allotment: what this box knows of the others' use, and the part
//! that the boxes which hear each other may spend.
//!
//! Load pattern: regions lose each other for seconds, or single boxes lose all others, while a customer
//! sends more than its allotment everywhere. Each side that went on with the whole would let three times
//! the allotment through. So a side spends the parts of the regions and failure domains that it hears,
//! and leaves the others theirs, from the moment at which their word gets old until it comes again: a
//! region that is silent cannot be told from one that is lost.
//!
//! A region's part is half its share of the backend servers, which all boxes know alike, and half its
//! share of the customer's use while all regions heard each other: a region at its peak has nine tenths
//! of the use, and would refuse what it may serve by its servers' share alone.

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
        job::{self, Booking, Job},
        status::Allotted,
    },
    unit::{Millis, Time},
    verdict::Verdict,
    wire::{Short, Use},
};

/// Part of a region's share that follows the customer's use; the rest follows the backend servers.
const BY_USE: f64 = 0.5;
/// The part of its own use that a box which just started presumes at each other one of its region: all of it
/// would refuse calm customers after a long prompt.
const PRESUMED: f64 = 0.5;
/// For how long it does: the boxes of its region tell it of theirs within that time.
const UNHEARD: Millis = Millis(1000);
/// Time between two looks at where customers' use is.
const SPLIT_PERIOD: Millis = Millis(1000);
/// Weight of the last look: a region's hours change within some seconds at the fastest.
const SPLIT_ALPHA: f64 = 0.2;

/// Where each customer's use was, while all regions heard each other.
#[derive(Clone, Debug, Default)]
pub(super) struct Splits {
    uses: HashMap<id::Customer, BTreeMap<Region, f64>>,
    last: Option<Time>,
    /// The parts of regions whose use is not heard of now.
    gaps: Vec<(Region, f64)>,
}

impl Splits {
    /// The share of `region` in a customer's use; none where nothing is known.
    fn share(&self, customer: &id::Customer, region: &Region) -> Option<f64> {
        let uses = self.uses.get(customer)?;
        let all: f64 = uses.values().sum();
        let own = uses.get(region).copied().unwrap_or(0.0);
        (all > 0.0).then(|| own / all)
    }
}

impl Job {
    /// Notes that the last run did not take place.
    pub(super) fn unspend(&mut self) {
        if let Some(booking) = &mut self.booking {
            booking.spent = false;
        }
    }
}

impl<P: Policy> State<P> {
    /// Takes a fresh request off its customer's allotment.
    pub(super) fn charge(
        &mut self,
        now: Time,
        customer: &Customer,
        prompt: Option<&Prompt>,
        draw: u64,
    ) -> Result<Option<Booking>, Reply> {
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
            reply.after(job::spread(wait.0 as f64, draw))
        };
        taken.map_err(over)?;
        Ok(Some(Booking {
            cost,
            at: now,
            spent: false,
        }))
    }

    /// Notes that a run of `request` begins: one beyond the first is booked anew.
    pub(super) fn book_run(&mut self, now: Time, request: id::Request) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let Some(booking) = &mut job.booking else {
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

    /// Gives back what a request took that surely did not run.
    pub(super) fn give_back(&mut self, job: &Job) {
        if let Some(booking) = job.booking.filter(|booking| !booking.spent) {
            let customer = &job.ask.customer;
            self.accounts.give_back(customer, booking.cost, booking.at);
        }
    }

    /// What this box knows of the others' use of a customer's allotment.
    fn knowledge(&self, now: Time, customer: &id::Customer) -> Knowledge {
        let short = Short::of(customer.as_str());
        let young = now < Time(0) + JOIN_GRACE;
        let here = match self.table.use_here(short, now) {
            Some(here) => here,
            None if young => Sum::default(),
            None => return Knowledge::Alone(self.table.known_boxes()),
        };
        let mut others = here;
        for (_, remote) in self.table.reachable(now) {
            let told = Use::find(&remote.digest.uses, short);
            told.into_iter().for_each(|told| others.add(told));
        }
        if now < Time(0) + UNHEARD {
            others = others.max(self.presumed(now, customer));
        }
        let part = if young { 1.0 } else { self.part(customer) };
        Knowledge::Heard { others, part }
    }

    /// What the other boxes of the region use by what comes here, for as long as this box has not heard all:
    /// where all boxes start at once, each would let in what the others let in as well.
    fn presumed(&self, now: Time, customer: &id::Customer) -> Sum {
        let own = self.accounts.sum(customer, now);
        let others = PRESUMED * self.table.peers().count() as f64;
        Sum {
            used: own.used * others,
            offered: own.offered * others,
        }
    }

    /// The part of a customer's allotment that the boxes may spend which this one hears of.
    fn part(&self, customer: &id::Customer) -> f64 {
        let gaps = self.splits.gaps.iter();
        let lost: f64 = gaps.map(|(r, gap)| gap * self.share(customer, r)).sum();
        (1.0 - lost).max(0.0)
    }

    /// The parts of regions whose use this box does not hear of.
    fn gaps(&self, now: Time) -> Vec<(Region, f64)> {
        let mine = &self.table.me.region;
        let gap = |region: &Region| match () {
            () if region == mine => 1.0 - self.table.cover(now),
            () if !self.table.is_reachable(region, now) => 1.0,
            () => {
                let remote = self.table.region(region);
                1.0 - remote.map_or(1.0, |remote| remote.digest.cover)
            }
        };
        let configured = self.config.iter().flat_map(|c| c.regions.keys());
        let gaps = configured.map(|region| (region.clone(), gap(region)));
        gaps.filter(|(_, gap)| *gap > 0.0).collect()
    }

    /// How the customers' allotments are used, as far as this box knows.
    pub fn allotments(&self, now: Time) -> Vec<Allotted> {
        let customers = self.config.iter().flat_map(|c| c.customers.values());
        let allotted = customers.filter_map(|customer| {
            let allotment = customer.allotment?;
            let name = &customer.name;
            let own = self.accounts.sum(name, now);
            let (others, part) = match self.knowledge(now, name) {
                Knowledge::Heard { others, part } => (others, part),
                Knowledge::Alone(boxes) => (Sum::default(), 1.0 / boxes.max(1) as f64),
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

    /// A region's share of a customer's allotment.
    fn share(&self, customer: &id::Customer, region: &Region) -> f64 {
        let by_servers = self.fleet.share(region);
        let by_use = self.splits.share(customer, region).unwrap_or(by_servers);
        BY_USE * by_use + (1.0 - BY_USE) * by_servers
    }

    /// Looks where customers' use is, as long as all regions hear each other.
    pub(super) fn split_allotments(&mut self, now: Time) {
        let Some(config) = self.config.clone().filter(|c| c.is_limited()) else {
            return;
        };
        self.splits.gaps = self.gaps(now);
        let due = Control::due(&mut self.splits.last, SPLIT_PERIOD, now);
        if !due || !self.splits.gaps.is_empty() {
            return;
        }
        let limited = config.customers.values().filter(|c| c.allotment.is_some());
        for customer in limited {
            let short = Short::of(customer.name.as_str());
            let here = self.table.use_here(short, now).unwrap_or_default();
            let own = here.used + self.accounts.sum(&customer.name, now).used;
            let uses = self.splits.uses.entry(customer.name.clone()).or_default();
            let mut note = |region: &Region, used: f64| {
                let known = uses.entry(region.clone()).or_insert(used);
                *known += SPLIT_ALPHA * (used - *known);
            };
            note(&self.table.me.region, own);
            for (region, remote) in self.table.reachable(now) {
                let told = Use::find(&remote.digest.uses, short);
                note(region, told.map_or(0.0, |told| f64::from(told.used)));
            }
        }
        let known = |name: &id::Customer| config.customers.contains_key(name);
        self.splits.uses.retain(|name, _| known(name));
        self.accounts.retain(known);
    }
}
