//! The platform's store came back from a copy that is some seconds old.
//!
//! Load pattern: until the operator and the backend servers have written again what they wrote since the copy, the
//! store tells of servers that left as if they took work, and lacks the last evacuations. All boxes learn that
//! within seconds of each other. What a box knew holds for that time.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    fleet::{Era, RESTORED},
    id::Domain,
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Note},
    },
    unit::Time,
};

/// The duty to write again what the boxes keep in the store.
const DUTY: &str = "keep";

/// Which failure domains are under evacuation.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    /// What the store tells.
    pub(super) told: BTreeSet<Domain>,
    /// Those that it told before it came back from a copy, and until when they are believed.
    kept: BTreeMap<Domain, Time>,
}

impl Evacuations {
    /// Takes over what the store tells now.
    pub(super) fn tell(&mut self, domains: BTreeSet<Domain>) {
        self.kept.retain(|domain, _| !domains.contains(domain));
        self.told = domains;
    }

    /// All that are believed at `now`.
    pub(super) fn believed(&self, now: Time) -> BTreeSet<Domain> {
        let kept = self.kept.iter().filter(|(_, until)| now < **until);
        let kept = kept.map(|(domain, _)| domain);
        self.told.iter().chain(kept).cloned().collect()
    }

    /// Forgets those that were not told again in time; true where there were any.
    fn expire(&mut self, now: Time) -> bool {
        let before = self.kept.len();
        self.kept.retain(|_, until| now < *until);
        self.kept.len() < before
    }
}

impl<P: Policy> State<P> {
    /// Takes from a revision of the store which era it is.
    pub(super) fn notice_era(&mut self, now: Time, era: Era, out: &mut Vec<Effect>) {
        if era <= self.control.era {
            return;
        }
        self.control.era = era;
        if !self.supplied {
            // This box knows nothing of before.
            return;
        }
        out.push(Effect::Noted(Note::Era(era)));
        self.control.restored = Some(now);
        self.fleet.enter_era(now);
        let until = now + RESTORED;
        let evacuated = self.evacuated.iter().cloned();
        let kept = evacuated.map(|domain| (domain, until));
        self.control.evacuations.kept.extend(kept);
        self.keep_again(now, out);
    }

    /// Whether what the store tells may still be an old copy.
    pub(super) fn is_restored(&self, now: Time) -> bool {
        let entered = self.control.restored;
        entered.is_some_and(|at| now.since(at) < RESTORED)
    }

    /// Writes again which contents are held back: the copy may lack them.
    fn keep_again(&self, now: Time, out: &mut Vec<Effect>) {
        if self.registry && self.table.leads(DUTY, now) {
            let held = self.quarantine.all_held(now).into_iter();
            out.extend(held.map(Effect::Keep));
        }
    }

    /// Ends the evacuations that the store did not tell again.
    pub(super) fn expire_evacuations(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.control.evacuations.expire(now) {
            self.apply_evacuations(now, out);
        }
    }
}
