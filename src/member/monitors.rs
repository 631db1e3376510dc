//! Who hears whom often, so that the end of a box is noticed soon.

use std::collections::HashSet;

use crate::{
    id::BoxName,
    member::{HEARTBEAT, Stage, Suspicion, Table, peer::MISSED, rank::Rank},
    unit::{Millis, Time},
    wire::Contact,
};

/// Boxes that hear each box at the shortest time: they tell the others of its end. Three, so that
/// one is left where a box dies together with two of them.
const MONITORS: usize = 3;
/// How long a box may stay unheard by one that just became its monitor before it is asked: by then
/// it has noticed that itself.
const PROBE_AFTER: Millis = Millis(500);
/// The same, before the others are told: time for its answer.
const SUSPECT_AFTER: Millis = Millis(1500);

impl Table {
    /// Looks after the boxes that should be heard often here: by their own word, or because they
    /// have no nearer monitor left. The latter are asked before they are suspected.
    pub fn watch_over(&mut self, now: Time) -> Vec<Suspicion> {
        let silent = Millis(MISSED * HEARTBEAT.0);
        let period = self.heartbeat_period();
        let monitored = self.monitored(now);
        let mut found = Vec::new();
        for peer in self.peers.values_mut().filter(|p| !p.suspected) {
            let quiet = now.since(peer.heard);
            let pace = peer.last.pace;
            // Its own word counts: a box that knows fewer others beats more often than this one, and slower
            // than to its monitors.
            let broken = pace < period && quiet > Millis(MISSED * pace.0);
            let mine = monitored.contains(&peer.last.contact.name) && quiet > silent;
            if !(broken || mine) {
                peer.doubted = None;
                continue;
            }
            let doubted = now.since(*peer.doubted.get_or_insert(now));
            let stage = match doubted {
                _ if broken => Stage::Suspected,
                age if age >= SUSPECT_AFTER => Stage::Suspected,
                age if age >= PROBE_AFTER => Stage::Probed,
                _ => continue,
            };
            peer.suspected = stage == Stage::Suspected;
            found.push(Suspicion {
                name: peer.last.contact.name.clone(),
                incarnation: peer.incarnation,
                gossip: peer.last.contact.gossip,
                silent: quiet,
                stage,
            });
        }
        found
    }

    /// The live boxes of which this one is a monitor, as far as it knows.
    fn monitored(&self, now: Time) -> HashSet<BoxName> {
        let scale = self.scale(now);
        let live: Vec<_> = self
            .live(now)
            .map(|p| (&p.last.contact.name, p.last.room))
            .collect();
        let is_mine = |name: &&BoxName| {
            let duty = name.as_str();
            let mine = Rank::of(&self.me.name, self.room, duty, scale);
            let others = live.iter().filter(|(other, _)| other != name);
            let nearer = others.filter(|(other, room)| Rank::of(other, *room, duty, scale) > mine);
            nearer.take(MONITORS).count() < MONITORS
        };
        let monitored = live.iter().map(|(name, _)| *name).filter(is_mine);
        monitored.cloned().collect()
    }

    /// The boxes that this one is heard by often, so that its end is noticed soon.
    pub fn monitors(&self, now: Time) -> Vec<&Contact> {
        let mine = self.me.name.as_str();
        let scale = self.scale(now);
        let mut live: Vec<_> = self.live(now).map(|p| &p.last).collect();
        live.sort_by_cached_key(|beat| {
            std::cmp::Reverse(Rank::of(&beat.contact.name, beat.room, mine, scale))
        });
        live.truncate(MONITORS);
        live.into_iter().map(|beat| &beat.contact).collect()
    }
}
