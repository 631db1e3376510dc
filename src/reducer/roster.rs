//! Fetches the list of registered backend servers from another box where the platform's store does
//! not answer, or lags.
//!
//! Heartbeats and digests carry the store revision that each box knows. A box that starts during an
//! outage of the store, or that stays behind the others, fetches the state from one of them. Such a
//! list is as good as the other box's own: later changes from the store continue from its revision,
//! and repeated ones are dropped.

use std::net::SocketAddr;

use crate::{
    fleet::{self, Change, Revision, Roster},
    id::{BoxName, Incarnation},
    policy::Policy,
    reducer::{
        State,
        control::Control,
        effect::{Effect, Note},
    },
    unit::{Millis, Time},
    wire::StoreAge,
};

/// Time for the store to send the first list. It answers in a few milliseconds, or in some hundred
/// from another region or while many boxes start.
const FIRST_LIST_TIMEOUT: Millis = Millis(600);
/// Time for the store to send changes that another box already has, beyond the time for which a box
/// batches changes. It covers the latency from another region and a slow store.
const MAX_STORE_LAG: Millis = Millis(300);
/// Minimum time between two requests to other boxes.
const FETCH_INTERVAL: Millis = Millis(500);
/// Rank label of the box that asks other regions on behalf of its own.
const REMOTE_FETCH_DUTY: &str = "roster";
/// Time without an answer after which the store counts as unreachable. It answers a watch after 3 s
/// at the latest, and a box of a large fleet asks again after up to 1 s.
const STORE_TIMEOUT: Millis = Millis(4500);
/// Upper bound on the time that a message takes between two boxes. It is added to each reported age;
/// otherwise two boxes that report to each other would make the age shrink with every message.
const MAX_TRANSIT_TIME: Millis = Millis(250);

/// Source of this box's newest knowledge of the store.
#[derive(Clone, Debug)]
pub(super) struct Informant {
    /// The box of this region that told of it; `None` if it was the store, a hub or another region.
    source: Option<(BoxName, Incarnation)>,
    /// When the source knew all that the store held.
    at: Time,
}

impl<P: Policy> State<P> {
    /// Returns the registered backend servers that this box knows, or only the changes after
    /// `since` if its history reaches back that far; `None` before it has any list.
    pub fn roster(&self, now: Time, since: Option<Revision>) -> Option<Roster> {
        if !(self.registry && self.has_fleet_list) {
            return None;
        }
        let same_era = |since: &Revision| since.era == self.revision.era;
        let known = since.filter(|since| same_era(since) && *since <= self.revision);
        let changed = known.and_then(|since| Some((since, self.changes.since(since)?)));
        let (since, (backends, gone)) = match changed {
            Some((since, names)) => (Some(since), self.fleet.partition_registered(names, now)),
            None => (None, (self.fleet.registered(now), Vec::new())),
        };
        Some(Roster {
            backends,
            since,
            removed: gone,
            gaps: since.map_or_else(Vec::new, |since| self.changes.gaps_after(since)),
            in_doubt: self.fleet.in_doubt(now),
            evacuated: self.control.evacuations.reported.clone(),
            rollouts: self.rollouts.stored_entries(now),
            revision: self.revision,
        })
    }

    /// Records that the store answered and has sent all its changes up to `revision`.
    pub(super) fn record_store_sync(&mut self, now: Time, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.store_heard = Some(now);
        self.control.store_answered = Some(now);
        self.control.informed_at = Some(now);
        self.record_informant(None, now);
        self.record_store_answer();
    }

    /// Records that `source` knew at `at` all that the store held, if that is the newest.
    fn record_informant(&mut self, source: Option<(BoxName, Incarnation)>, at: Time) {
        let known = self.control.informant.as_ref();
        if known.is_none_or(|informant| at > informant.at) {
            self.control.informant = Some(Informant { source, at });
        }
    }

    /// Returns how old this box's knowledge of the store is.
    pub(super) fn known_store_age(&self, now: Time) -> StoreAge {
        StoreAge(self.control.informed_at.map(|at| now.since(at)))
    }

    /// Records that a box that knows `revision`, and so no more than this one, had knowledge of the
    /// store of this age. `source` is that box, if it is of this region.
    pub(super) fn receive_store_age(
        &mut self,
        now: Time,
        source: Option<(&BoxName, Incarnation)>,
        revision: Revision,
        age: StoreAge,
    ) {
        let StoreAge(Some(age)) = age else {
            return;
        };
        // Knowledge that is older than this process has no time on its clock.
        let at = now.0.checked_sub(age.0 + MAX_TRANSIT_TIME.0).map(Time);
        if let Some(at) = at.filter(|_| revision <= self.revision) {
            self.control.informed_at = self.control.informed_at.max(Some(at));
            let source = source.map(|(name, incarnation)| (name.clone(), incarnation));
            self.record_informant(source, at);
        }
    }

    /// Reports whether the box of this region that was informed last has left, fallen silent or
    /// started again, and the store had not answered this box for long by then. Where the store
    /// answers nobody, all boxes know the same, and nothing is lost with one.
    pub(super) fn has_lost_informant(&self, now: Time) -> bool {
        let Some(informant) = &self.control.informant else {
            return false;
        };
        let Some((name, incarnation)) = &informant.source else {
            return false;
        };
        let peer = self.table.peer(name);
        let is_here = peer.is_some_and(|p| p.is_live(now) && p.incarnation == *incarnation);
        !is_here && informant.at > self.store_heard.unwrap_or_default() + STORE_TIMEOUT
    }

    /// Reports whether this box knows neither from the store nor from other boxes what the store
    /// held a short time ago; false where no store is followed.
    pub(super) fn is_uninformed(&self, now: Time) -> bool {
        let recent = |at: Time| now.since(at) <= STORE_TIMEOUT;
        self.registry && !self.control.informed_at.is_some_and(recent)
    }

    /// Reports whether `revision` is older than the known one, so that its content must be dropped.
    /// Content at the known revision is still accepted: it is either the same, or was missed in a
    /// gap of the history.
    pub(super) fn is_outdated(&self, revision: Revision) -> bool {
        self.has_fleet_list && revision < self.revision
    }

    /// Logs that outdated content from the store was dropped.
    pub(super) fn log_outdated(&self, revision: Revision, out: &mut Vec<Effect>) {
        out.push(Effect::Noted(Note::OutdatedUpdate {
            revision,
            known: self.revision,
        }));
    }

    /// Reports whether the platform's store answered recently; true where no store is followed.
    pub(super) fn is_store_reachable(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) <= STORE_TIMEOUT;
        !self.registry || self.store_heard.is_some_and(is_recent)
    }

    /// Returns the age of the store's latest answer; zero if there was none.
    pub(super) fn store_age(&self, now: Time) -> Millis {
        self.store_heard.map_or(Millis(0), |at| now.since(at))
    }

    /// Fetches the list from another box if the store has sent none yet, or less than that box
    /// knows.
    pub(super) fn fetch_missing_roster(&mut self, now: Time, out: &mut Vec<Effect>) {
        let source = match self.has_fleet_list {
            true => self.newer_roster(now),
            false => self.first_roster(now),
        };
        let Some(peer) = source else {
            return;
        };
        if Control::due(&mut self.control.last_roster_fetch, FETCH_INTERVAL, now) {
            if let Some(lag) = &mut self.control.lag {
                lag.fetches += 1;
            }
            out.push(self.fetch_roster(peer));
        }
    }

    /// Builds the request to `peer` for the state that this box lacks.
    pub(super) fn fetch_roster(&self, peer: SocketAddr) -> Effect {
        let since = self.has_fleet_list.then_some(self.revision);
        Effect::FetchRoster { peer, since }
    }

    /// Returns a box of this or another region that accepts work, and so has a list.
    fn first_roster(&self, now: Time) -> Option<SocketAddr> {
        if now < Time(0) + FIRST_LIST_TIMEOUT {
            return None;
        }
        let local = self.table.list_source(now);
        let remotes = self.table.reachable(now);
        let mut remote_peers = remotes.flat_map(|(_, remote)| remote.endpoints());
        let remote_peer = || remote_peers.next().map(|door| door.contact.peer);
        local.map(|contact| contact.peer).or_else(remote_peer)
    }

    /// Returns a box to fetch from if others have been ahead of this one for longer than changes
    /// from the store normally take.
    fn newer_roster(&mut self, now: Time) -> Option<SocketAddr> {
        let since = self.lacks_changes_since()?;
        let tolerance = match self.is_store_reachable(now) {
            true => MAX_STORE_LAG + fleet::batch_delay(self.table.boxes(now)),
            false => Millis(0),
        };
        if now.since(since) < tolerance {
            return None;
        }
        let sources = self.newer_sources(now);
        let turn = self.control.lag.as_ref().map_or(0, |lag| lag.fetches);
        sources.get(turn.checked_rem(sources.len())?).copied()
    }

    /// Returns the boxes to fetch the missing state from in turn, best first. Only one box of a
    /// region asks other regions, because traffic between regions is limited and expensive.
    fn newer_sources(&self, now: Time) -> Vec<SocketAddr> {
        let near = self.table.newer_peers(self.revision, now).into_iter();
        let near = near.map(|peer| peer.last.contact.peer);
        let asks_far = self.table.leads(REMOTE_FETCH_DUTY, now);
        let far = self.table.newest_region(self.revision, now);
        let far = far.filter(|_| asks_far).and_then(|(region, _)| {
            let door = self.table.relay_endpoint(region, self.control.digests)?;
            Some(door.contact.peer)
        });
        near.chain(far).collect()
    }

    /// Applies the state fetched from another box, unless the store has sent it in the meantime.
    pub(super) fn apply_roster(&mut self, now: Time, roster: Roster, out: &mut Vec<Effect>) {
        if self.has_fleet_list && roster.revision <= self.revision {
            return;
        }
        // Changes are useless without the state that they are based on.
        let is_applicable = |since: Revision| self.has_fleet_list && since <= self.revision;
        if !roster.since.is_none_or(is_applicable) {
            return;
        }
        let revision = roster.revision;
        // Servers that a list of a newer era lacks may register again.
        let doubt = match self.has_fleet_list && revision.era > self.revision.era {
            true => fleet::OUTAGE_GRACE,
            false => Millis(0),
        };
        self.handle_era(now, revision.era, out);
        match roster.since {
            None if self.has_fleet_list => self.changes.record_gap(self.revision, revision),
            None => {}
            // The answer contains every change since then, so this box can answer others
            // incrementally too.
            Some(_) => {
                for (since, until) in roster.gaps {
                    self.changes.record_gap(since.max(self.revision), until);
                }
            }
        }
        self.revision = revision;
        self.set_evacuated(now, roster.evacuated, out);
        self.apply_rollouts(now, &roster.rollouts, out);
        let changes: Vec<Change> = match roster.since {
            None => vec![Change::List {
                backends: roster.backends,
                grace: doubt,
            }],
            Some(_) => {
                let gone = roster.removed.into_iter();
                let gone = gone.map(|name| Change::Removed { name, grace: doubt });
                gone.chain(roster.backends.into_iter().map(Change::Put))
                    .collect()
            }
        };
        let doubted = roster.in_doubt.into_iter();
        let doubted = doubted.map(|(name, doubt)| Change::Removed { name, grace: doubt });
        for change in changes.into_iter().chain(doubted) {
            self.apply_fleet_change(now, change, revision, out);
        }
    }
}
