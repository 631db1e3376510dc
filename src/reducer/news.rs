//! Decides which boxes follow the platform's store, and forwards its changes to those that don't.
//!
//! Load pattern: hundreds of boxes use one store. If each followed it directly, the calls would
//! grow with boxes times changes: 9,364 in a day at 295 boxes, which cost 0.066 of the day's value.
//! In a large region, therefore, only the hubs of each failure domain follow it, and forward each
//! change at once with the store's revision before and after it. A box that missed changes fetches
//! them from the hub. A box that hears of no hub with a recent answer from the store follows the
//! store itself, within the shortest bound on the age of its data.

use std::net::SocketAddr;

use crate::{
    fleet::{Change, Revision},
    id::BoxName,
    policy::Policy,
    reducer::{
        State,
        control::Control,
        effect::{Effect, Follow},
    },
    unit::{Millis, Time},
    wire::{Body, Phase, Progress, StoreAge, StoreUpdate},
};

/// Maximum age of a hub's last answer from the store. A hub asks the store every second, and a box
/// must have read the store itself within 3 s, the shortest bound on the age of its data.
const MAX_HUB_REPORT_AGE: Millis = Millis(2000);
/// Minimum time between two requests to a hub for missed changes.
const FETCH_RETRY_INTERVAL: Millis = Millis(300);

/// Role of the box of a small region that notices first when the store falls silent. A box without
/// neighbours does not take it: its short watches would cost three times the calls at rest.
const SENTINEL_ROLE: &str = "sentinel";

/// Changes from the store since the last revision that was forwarded.
#[derive(Debug, Default)]
pub(super) struct PendingChanges {
    changes: Vec<Change>,
    /// Whether a full list was read, so that `changes` alone is incomplete.
    has_list: bool,
}

impl<P: Policy> State<P> {
    /// Starts or stops following the store.
    pub(super) fn update_follow_mode(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.registry {
            return;
        }
        let follow = self.follow_mode(now);
        if follow != self.control.follow {
            self.control.follow = follow;
            out.push(Effect::Follow(follow));
        }
        let closely = self.watches_closely(now);
        if closely != self.control.watches_closely {
            self.control.watches_closely = closely;
            out.push(Effect::WatchClosely(closely));
        }
    }

    /// Reports whether this box notices for a small region when the store falls silent; hubs do so for
    /// a large one.
    fn watches_closely(&self, now: Time) -> bool {
        let has_neighbours = || self.table.live(now).next().is_some();
        !self.table.has_hubs() && has_neighbours() && self.table.leads(SENTINEL_ROLE, now)
    }

    fn follow_mode(&self, now: Time) -> Follow {
        if !self.table.has_hubs() {
            return Follow::Direct;
        }
        let ready = self.phase(now) == Phase::Ready;
        if self.table.hubs(ready, now).mine {
            return Follow::Hub;
        }
        let fresh = |at: Time| now.since(at) <= MAX_HUB_REPORT_AGE;
        match self.control.hub_heard_store.is_some_and(fresh) {
            true => Follow::Forwarded,
            false => Follow::Direct,
        }
    }

    /// Records a change from the store for the boxes that don't follow it. Every box records them,
    /// since it may be a hub by the end of the batch; each end of a batch clears the record.
    pub(super) fn queue_store_change(&mut self, change: &Change) {
        match change {
            Change::List { .. } => self.control.pending_changes.has_list = true,
            change => self.control.pending_changes.changes.push(change.clone()),
        }
    }

    /// As a hub, forwards the store's changes up to `until`.
    pub(super) fn forward_store_changes(
        &mut self,
        now: Time,
        until: Revision,
        out: &mut Vec<Effect>,
    ) {
        let pending_changes = std::mem::take(&mut self.control.pending_changes);
        if self.control.follow != Follow::Hub || until <= self.revision {
            return;
        }
        let update = StoreUpdate {
            since: (!pending_changes.has_list).then_some(self.revision),
            until,
            changes: pending_changes.changes,
            evacuated: self.control.evacuations.reported.clone(),
            rollouts: self.rollouts.stored_entries(now),
        };
        let targets = self.table.domain_peers(now);
        self.send_all(Body::StoreUpdate(update), targets, out);
    }

    /// Applies changes forwarded by a hub.
    pub(super) fn receive_store_update(
        &mut self,
        now: Time,
        from: &BoxName,
        update: &StoreUpdate,
        out: &mut Vec<Effect>,
    ) {
        if update.until <= self.revision {
            return;
        }
        let same_era = update.until.era == self.revision.era;
        let complete = same_era && update.since.is_some_and(|since| since <= self.revision);
        if !self.has_fleet_list || !complete {
            return self.fetch_missed_changes(now, from, out);
        }
        if update.evacuated != self.control.evacuations.reported {
            self.set_evacuated(now, update.evacuated.clone(), out);
        }
        // An order must be known before the servers that were started for it.
        self.apply_rollouts(now, &update.rollouts, out);
        for change in &update.changes {
            self.apply_fleet_change(now, change.clone(), update.until, out);
        }
        self.revision = update.until;
    }

    /// Returns the store revision that this box knows, and the age of the store's last answer.
    pub(super) fn store_progress(&self, now: Time) -> Option<Progress> {
        let heard_at = self.control.store_answered?;
        Some(Progress {
            revision: self.revision,
            age: now.since(heard_at),
        })
    }

    /// Records what a hub of this failure domain reports of the store's revision.
    pub(super) fn receive_store_progress(
        &mut self,
        now: Time,
        from: &BoxName,
        progress: Progress,
        out: &mut Vec<Effect>,
    ) {
        let heard_at = Time(now.0.saturating_sub(progress.age.0));
        self.control.hub_heard_store = self.control.hub_heard_store.max(Some(heard_at));
        self.store_heard = self.store_heard.max(Some(heard_at));
        self.hear_revision(now, from, progress.revision);
        let age = StoreAge(Some(progress.age));
        self.receive_store_age(now, None, progress.revision, age);
        if progress.revision > self.revision && self.control.follow == Follow::Forwarded {
            self.fetch_missed_changes(now, from, out);
        }
    }

    fn fetch_missed_changes(&mut self, now: Time, from: &BoxName, out: &mut Vec<Effect>) {
        let peer: Option<SocketAddr> = self.table.peer(from).map(|p| p.last.contact.peer);
        if let Some(peer) = peer
            && Control::due(
                &mut self.control.last_roster_fetch,
                FETCH_RETRY_INTERVAL,
                now,
            )
        {
            out.push(self.fetch_roster(peer));
        }
    }
}
