//! Recovery after the platform's store came back from a backup copy that is some seconds old.
//!
//! Load pattern: until the operator and the backend servers have repeated their writes since the
//! copy, the store lists departed servers as accepting work and lacks the latest evacuations. All
//! boxes notice this within seconds of each other. During that time a box keeps what it knew
//! before.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    fleet::{Era, RESTORE_GRACE},
    id::Domain,
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Note},
    },
    unit::Time,
};

/// Rank label of the box that writes the quarantine table again after a restore.
const REWRITE_DUTY: &str = "keep";

/// Failure domains under evacuation.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    /// Domains that the store reports.
    pub(super) reported: BTreeSet<Domain>,
    /// Domains that the store reported before it was restored, with the time until which they still
    /// count.
    retained: BTreeMap<Domain, Time>,
}

impl Evacuations {
    /// Replaces the domains that the store reports.
    pub(super) fn set_reported(&mut self, domains: BTreeSet<Domain>) {
        self.retained.retain(|domain, _| !domains.contains(domain));
        self.reported = domains;
    }

    /// Returns all domains that count as evacuated at `now`.
    pub(super) fn effective(&self, now: Time) -> BTreeSet<Domain> {
        let retained = self.retained.iter().filter(|(_, until)| now < **until);
        let retained = retained.map(|(domain, _)| domain);
        self.reported.iter().chain(retained).cloned().collect()
    }

    /// Drops the retained domains that the store did not report again in time; returns whether
    /// there were any.
    fn expire(&mut self, now: Time) -> bool {
        let before = self.retained.len();
        self.retained.retain(|_, until| now < *until);
        self.retained.len() < before
    }
}

impl<P: Policy> State<P> {
    /// Handles the era of a store revision. A newer era means that the store was restored from a
    /// copy.
    pub(super) fn handle_era(&mut self, now: Time, era: Era, out: &mut Vec<Effect>) {
        if era <= self.control.era {
            return;
        }
        self.control.era = era;
        if !self.has_fleet_list {
            // This box has no state from before the restore.
            return;
        }
        out.push(Effect::Noted(Note::StoreRestored(era)));
        self.control.restored = Some(now);
        self.fleet.record_restore(now);
        let until = now + RESTORE_GRACE;
        let evacuated = self.evacuated.iter().cloned();
        let retained = evacuated.map(|domain| (domain, until));
        self.control.evacuations.retained.extend(retained);
        self.rewrite_quarantine(now, out);
    }

    /// Reports whether the store was restored so recently that it may still lack some writes.
    pub(super) fn is_restored(&self, now: Time) -> bool {
        let entered = self.control.restored;
        entered.is_some_and(|at| now.since(at) < RESTORE_GRACE)
    }

    /// Writes the quarantined contents again, since the restored copy may lack them.
    fn rewrite_quarantine(&self, now: Time, out: &mut Vec<Effect>) {
        if self.registry && self.table.leads(REWRITE_DUTY, now) {
            let held = self.quarantine.all_held(now).into_iter();
            out.extend(held.map(Effect::StoreHeld));
        }
    }

    /// Ends the evacuations that the store did not report again after a restore.
    pub(super) fn expire_evacuations(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.control.evacuations.expire(now) {
            self.apply_evacuations(now, out);
        }
    }
}
