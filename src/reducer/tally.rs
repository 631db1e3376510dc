//! What the boxes of a region tell each other, through hubs, of how they use its backend servers.

use crate::{
    config::Backend,
    id::BoxName,
    policy::Policy,
    reducer::{State, control::Control, effect::Effect},
    unit::{Millis, Time},
    wire::{Body, Phase, Report, Share, Short, Tally, Usage},
};

/// Time between two reports of a box to its hubs, and of a hub to its boxes.
const PERIOD: Millis = Millis(200);
/// The same where no backend server is in use, and only the store's word is told.
const WORD_PERIOD: Millis = Millis(500);

impl<P: Policy> State<P> {
    /// Tells the hubs what this box sees of backend servers and, as a hub, tells the boxes the sums.
    ///
    /// A region whose heartbeats come at the shortest time needs no hubs.
    pub(super) fn tell_usages(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.table.has_hubs() || !Control::due(&mut self.control.last_tally, PERIOD, now) {
            return;
        }
        let report = Report {
            usages: self.usages(now),
            uses: self.accounts.told(now),
            trials: self.rollouts.told(now),
        };
        let ready = self.phase(now) == Phase::Ready;
        let hubs = self.table.hubs(ready, now);
        let idle = report.is_empty();
        let was_idle = std::mem::replace(&mut self.control.idle, idle);
        // Who has nothing to tell says so once.
        if !(idle && was_idle) {
            self.send_all(Body::Report(report.clone()), hubs.others, out);
        }
        self.table.tell_report(&report);
        if hubs.mine {
            self.sum_up(now, report, out);
        }
    }

    /// As a hub, adds up what the boxes told, and passes the sums on.
    fn sum_up(&mut self, now: Time, report: Report, out: &mut Vec<Effect>) {
        let shares = self.table.sum_up(report, now);
        let is_idle = |share: &Share| share.report.is_empty();
        let held = self.quarantine.told(now);
        let idle = held.is_empty() && shares.iter().all(is_idle);
        let was_idle = std::mem::replace(&mut self.control.idle_region, idle);
        let store = self.word(now);
        let due = Control::due(&mut self.control.last_word, WORD_PERIOD, now);
        if idle && was_idle && (store.is_none() || !due) {
            return;
        }
        let own: Vec<Share> = shares.iter().take(1).cloned().collect();
        let here = self.table.neighbours(now);
        let away = self.table.other_hubs(now);
        let told = Tally {
            shares,
            store,
            held,
        };
        self.send_all(Body::Tally(told), here, out);
        let told = Tally {
            shares: own,
            store: None,
            held: Vec::new(),
        };
        self.send_all(Body::Tally(told), away, out);
    }

    /// What this box has seen of backend servers in the last moments.
    fn usages(&self, now: Time) -> Vec<Usage> {
        let usage = |(name, server): (&crate::id::Backend, &crate::server::Server)| {
            server.usage(Short::of(name.as_str()), now)
        };
        self.servers.iter().filter_map(usage).collect()
    }

    /// Takes what a box of this failure domain sees of backend servers.
    pub(super) fn hear_report(&mut self, now: Time, from: &BoxName, report: &Report) {
        self.table.hear_report(from, report.clone(), now);
    }

    /// Takes the sums that a hub tells.
    pub(super) fn hear_tally(
        &mut self,
        now: Time,
        from: &BoxName,
        tally: &Tally,
        out: &mut Vec<Effect>,
    ) {
        self.hear_held(now, &tally.held, out);
        if self.table.hear_tally(from, &tally.shares, now)
            && let Some(word) = tally.store
        {
            self.hear_word(now, from, word, out);
        }
    }

    /// Whether other boxes found that `backend` is gone, and this request is not the one that looks
    /// whether it is back: one in as many as there are boxes, drawn by `draw`.
    pub(super) fn is_shunned(&self, now: Time, backend: &Backend, draw: u64) -> bool {
        if !self.table.is_down(Short::of(backend.name.as_str()), now) {
            return false;
        }
        let boxes = self.table.live(now).count() as u64 + 1;
        !draw.is_multiple_of(boxes)
    }
}
