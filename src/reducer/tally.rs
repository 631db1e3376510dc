//! Exchanges, through hubs, how the boxes of a region use its backend servers.

use crate::{
    config::Backend,
    id::BoxName,
    policy::Policy,
    reducer::{State, control::Control, effect::Effect},
    unit::{Millis, Time},
    wire::{Body, NameHash, Phase, Report, Share, Tally, Usage},
};

/// Time between two reports of a box to its hubs, and of a hub to its boxes.
const REPORT_PERIOD: Millis = Millis(200);
/// The same while no backend server is in use and only the store's progress is reported.
const STORE_REPORT_PERIOD: Millis = Millis(500);

impl<P: Policy> State<P> {
    /// Sends this box's view of backend servers to the hubs and, as a hub, the sums to the boxes.
    ///
    /// A region whose heartbeats use the shortest period needs no hubs.
    pub(super) fn report_usage(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.table.has_hubs() || !Control::due(&mut self.control.last_tally, REPORT_PERIOD, now)
        {
            return;
        }
        let report = Report {
            usages: self.usages(now),
            uses: self.accounts.to_report(now),
            trials: self.rollouts.observed_trials(now),
        };
        let ready = self.phase(now) == Phase::Ready;
        let hubs = self.table.hubs(ready, now);
        let idle = report.is_empty();
        let was_idle = std::mem::replace(&mut self.control.idle, idle);
        // An empty report is sent only once.
        if !(idle && was_idle) {
            self.send_all(Body::Report(report.clone()), hubs.others, out);
        }
        self.table.record_sent_report(&report);
        if hubs.mine {
            self.broadcast_tally(now, report, out);
        }
    }

    /// As a hub, adds up the reports of the boxes and broadcasts the sums.
    fn broadcast_tally(&mut self, now: Time, report: Report, out: &mut Vec<Effect>) {
        let shares = self.table.aggregate(report, now);
        let is_idle = |share: &Share| share.report.is_empty();
        let held = self.quarantine.to_report(now);
        let idle = held.is_empty() && shares.iter().all(is_idle);
        let was_idle = std::mem::replace(&mut self.control.idle_region, idle);
        let store = self.store_progress(now);
        let due = Control::due(
            &mut self.control.last_store_report,
            STORE_REPORT_PERIOD,
            now,
        );
        if idle && was_idle && (store.is_none() || !due) {
            return;
        }
        let own: Vec<Share> = shares.iter().take(1).cloned().collect();
        let neighbours = self.table.domain_peers(now);
        let other_hubs = self.table.other_hubs(now);
        let tally = Tally {
            shares,
            store,
            held,
        };
        self.send_all(Body::Tally(tally), neighbours, out);
        let tally = Tally {
            shares: own,
            store: None,
            held: Vec::new(),
        };
        self.send_all(Body::Tally(tally), other_hubs, out);
    }

    /// Returns the recent usage of backend servers by this box.
    fn usages(&self, now: Time) -> Vec<Usage> {
        let usage = |(name, server): (&crate::id::Backend, &crate::server::Server)| {
            server.usage(NameHash::of(name.as_str()), now)
        };
        self.servers.iter().filter_map(usage).collect()
    }

    /// Records the usage report of a box of this failure domain.
    pub(super) fn receive_report(&mut self, now: Time, from: &BoxName, report: &Report) {
        self.table.record_report(from, report.clone(), now);
    }

    /// Records the sums that a hub broadcasts.
    pub(super) fn receive_tally(
        &mut self,
        now: Time,
        from: &BoxName,
        tally: &Tally,
        out: &mut Vec<Effect>,
    ) {
        self.receive_held(now, &tally.held, out);
        if self.table.apply_tally(from, &tally.shares, now)
            && let Some(progress) = tally.store
        {
            self.receive_store_progress(now, from, progress, out);
        }
    }

    /// Reports whether other boxes found that `backend` is down and this request should avoid it.
    /// Of as many requests as there are boxes, one, chosen by `draw`, is let through as a probe.
    pub(super) fn is_avoided(&self, now: Time, backend: &Backend, draw: u64) -> bool {
        if !self.table.is_down(NameHash::of(backend.name.as_str()), now) {
            return false;
        }
        let boxes = self.table.live(now).count() as u64 + 1;
        !draw.is_multiple_of(boxes)
    }
}
