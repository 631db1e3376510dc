//! Failure detection: each box sends frequent heartbeats to a few monitors.

use std::collections::HashSet;

use crate::{
    id::BoxName,
    member::{MIN_HEARTBEAT_PERIOD, Stage, Suspicion, Table, peer::MAX_MISSED, rank::Rank},
    unit::{Millis, Time},
    wire::Contact,
};

/// Number of boxes that receive each box's heartbeats at the minimum period and report its failure
/// to the others: three, so that one remains if a box fails together with two of them.
const MONITORS: usize = 3;
/// How long a box may stay silent after this box became its monitor before it is probed: by then it
/// has noticed the change itself.
const PROBE_AFTER: Millis = Millis(500);
/// How long such a box may stay silent before the others are notified; the difference allows for
/// its answer.
const SUSPECT_AFTER: Millis = Millis(1500);

impl Table {
    /// Checks the boxes that should be heard often here, either because of the period that they
    /// announced or because they have no higher-ranked monitor left. The latter are probed before
    /// they are suspected.
    pub fn detect_failures(&mut self, now: Time) -> Vec<Suspicion> {
        let limit = Millis(MAX_MISSED * MIN_HEARTBEAT_PERIOD.0);
        let period = self.heartbeat_period();
        let monitored = self.monitored(now);
        let mut found = Vec::new();
        for peer in self.peers.values_mut().filter(|p| !p.suspected) {
            let silence = now.since(peer.received_at);
            let pace = peer.last.pace;
            // The announced period counts: a box that knows fewer others sends heartbeats more
            // often than this one, though less often than it does to its monitors.
            let pace_missed = pace < period && silence > Millis(MAX_MISSED * pace.0);
            let unheard = monitored.contains(&peer.last.contact.name) && silence > limit;
            if !(pace_missed || unheard) {
                peer.overdue_since = None;
                continue;
            }
            let overdue_for = now.since(*peer.overdue_since.get_or_insert(now));
            let stage = match overdue_for {
                _ if pace_missed => Stage::Suspected,
                age if age >= SUSPECT_AFTER => Stage::Suspected,
                age if age >= PROBE_AFTER => Stage::Probed,
                _ => continue,
            };
            peer.suspected = stage == Stage::Suspected;
            found.push(Suspicion {
                name: peer.last.contact.name.clone(),
                incarnation: peer.incarnation,
                gossip: peer.last.contact.gossip,
                silent: silence,
                stage,
            });
        }
        found
    }

    /// Returns the live boxes of which this one is a monitor, as far as it knows.
    fn monitored(&self, now: Time) -> HashSet<BoxName> {
        let scale = self.scale(now);
        let live: Vec<_> = self
            .live(now)
            .map(|p| (&p.last.contact.name, p.last.room))
            .collect();
        let is_monitored = |name: &&BoxName| {
            let role = name.as_str();
            let mine = Rank::of(&self.me.name, self.room, role, scale);
            let others = live.iter().filter(|(other, _)| other != name);
            let higher = others.filter(|(other, room)| Rank::of(other, *room, role, scale) > mine);
            higher.take(MONITORS).count() < MONITORS
        };
        let monitored = live.iter().map(|(name, _)| *name).filter(is_monitored);
        monitored.cloned().collect()
    }

    /// Returns the boxes that receive this box's heartbeats at the minimum period, so that its
    /// failure is detected quickly.
    pub fn monitors(&self, now: Time) -> Vec<&Contact> {
        let mine = self.me.name.as_str();
        let scale = self.scale(now);
        let mut live: Vec<_> = self.live(now).map(|p| &p.last).collect();
        live.sort_by_cached_key(|heartbeat| {
            std::cmp::Reverse(Rank::of(
                &heartbeat.contact.name,
                heartbeat.room,
                mine,
                scale,
            ))
        });
        live.truncate(MONITORS);
        live.into_iter()
            .map(|heartbeat| &heartbeat.contact)
            .collect()
    }
}
