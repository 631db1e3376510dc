//! Retries: whether the retry budget allows another attempt.

use crate::{
    id::{self, Service},
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Repeat},
        status::Repeats,
    },
    retry::Outcome,
    settings::Seed,
    unit::Time,
};

/// Why an attempt beyond the first is requested, which decides how the budget is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryKind {
    /// The previous attempt may have reached a backend server, so the retry is charged.
    Ordinary,
    /// The previous attempt certainly did not reach a backend server, so the retry is free.
    Free,
}

impl<P: Policy> State<P> {
    /// Charges an attempt beyond the first to the retry budget of `service` and reports the
    /// outcome; returns whether the attempt may be made.
    pub(super) fn take_retry(
        &mut self,
        now: Time,
        request: id::Request,
        service: &Service,
        kind: RetryKind,
        out: &mut Vec<Effect>,
    ) -> bool {
        let outcome = match kind {
            RetryKind::Free => Outcome::Free,
            RetryKind::Ordinary if self.budgets.spend(service, now) => Outcome::Granted,
            RetryKind::Ordinary => Outcome::Refused,
        };
        self.report_retry(now, request, service, outcome, out);
        outcome != Outcome::Refused
    }

    /// Reports and counts the outcome of asking the budget of `service` for an attempt.
    pub(super) fn report_retry(
        &mut self,
        now: Time,
        request: id::Request,
        service: &Service,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        self.budgets.count(service, outcome);
        out.push(Effect::Repeat(Repeat {
            request,
            service: service.clone(),
            outcome,
            balance: self.budgets.balance(service, now),
            boxes: self.sharers(),
        }));
    }

    /// Returns how many boxes share the retry slack, or `None` if this box cannot know.
    pub(super) fn sharers(&self) -> Option<usize> {
        let others = self.other_regions();
        let is_other = |seed: &Seed| seed.gossip != self.table.me.gossip;
        let has_others = !others.is_empty() || self.seeds.iter().any(is_other);
        // When the whole system starts for the first time, requests may arrive before the other
        // boxes are up.
        let expected = has_others && !self.budgets.is_first_start();
        self.table.sharers(&others, expected)
    }

    /// Returns the retry budget usage of each service for which a retry was ever requested.
    pub fn repeats(&mut self, now: Time) -> Vec<Repeats> {
        let boxes = self.sharers();
        let counts = self.budgets.counts();
        let counts: Vec<_> = counts.map(|(s, c)| (s.clone(), *c)).collect();
        let row = |(service, counts)| Repeats {
            balance: self.budgets.balance(&service, now),
            service,
            counts,
            boxes,
        };
        let mut rows: Vec<Repeats> = counts.into_iter().map(row).collect();
        rows.sort_by(|a, b| a.service.cmp(&b.service));
        rows
    }
}
