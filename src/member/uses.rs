//! How the boxes use customers' allotments, and whose word of it is missing.

use std::collections::HashMap;

use crate::{
    allotment::Sum,
    id::Domain,
    member::{
        Peer, Table,
        tally::{add_trials, add_uses, told_uses},
    },
    unit::{Millis, Time},
    wire::{Phase, Short, Trial, Use},
};

/// A box that hears none of its region for this long is alone: the hubs of a large region speak twice
/// a second, as all boxes of a small one do.
const COMPANY: Millis = Millis(1600);

impl Table {
    /// A customer's use at the other boxes of this region; none where this box hears nobody who could
    /// tell.
    pub fn use_here(&self, customer: Short, now: Time) -> Option<Sum> {
        if self.is_lonely(now) {
            return None;
        }
        if self.has_hubs() {
            // Hubs with nothing to tell say so once; their silence after that is no loss.
            let known = self.knows_usages(now) || self.tally.is_unused();
            return known.then(|| self.tally.use_elsewhere(customer));
        }
        let mut sum = Sum::default();
        for peer in self.live(now) {
            Use::find(&peer.last.uses, customer)
                .into_iter()
                .for_each(|told| sum.add(told));
        }
        Some(sum)
    }

    /// All customers' use in this region, where this box tells of `own`.
    pub fn uses(&self, own: Vec<Use>, now: Time) -> Vec<Use> {
        if self.has_hubs() && self.knows_usages(now) {
            return told_uses(self.tally.uses().clone());
        }
        let mut sums: HashMap<Short, Sum> = HashMap::new();
        add_uses(&mut sums, &own);
        for peer in self.live(now) {
            add_uses(&mut sums, &peer.last.uses);
        }
        told_uses(sums)
    }

    /// What the boxes of this region have seen of roll-outs, where this one tells of `own`.
    pub fn trials(&self, own: Vec<Trial>, now: Time) -> Vec<Trial> {
        if self.has_hubs() && self.knows_usages(now) {
            return self.tally.trials().to_vec();
        }
        let mut sums = own;
        for peer in self.live(now) {
            add_trials(&mut sums, &peer.last.trials);
        }
        sums
    }

    /// The part of this region's boxes whose use this box hears of. One that was killed counts until it
    /// is forgotten, since it may as well be cut off; one that stopped by plan does not.
    pub fn cover(&self, now: Time) -> f64 {
        let at_work = |p: &&Peer| p.is_live(now) || p.last.phase != Phase::Leaving;
        let peers: Vec<&Peer> = self.peers().filter(at_work).collect();
        let hubs = self.has_hubs();
        let idle = hubs && !self.knows_usages(now) && self.tally.is_unused();
        if peers.is_empty() || idle {
            return 1.0;
        }
        let told = |domain: &Domain| *domain == self.me.domain || self.tally.covers(domain);
        let is_heard = |p: &&&Peer| match hubs {
            true => told(&p.last.contact.domain),
            false => p.is_live(now),
        };
        let heard = peers.iter().filter(is_heard).count();
        (heard + 1) as f64 / (peers.len() + 1) as f64
    }

    /// The boxes of all regions that are remembered, this one included.
    pub fn known_boxes(&self) -> usize {
        let far = self.regions().map(|(_, r)| r.digest.boxes as usize);
        self.peers().count() + 1 + far.sum::<usize>()
    }

    /// Whether this box has known others of its region and hears none.
    fn is_lonely(&self, now: Time) -> bool {
        let had_others = self.peers().next().is_some();
        let heard = |at: Time| now.since(at) <= COMPANY;
        had_others && !self.company.is_some_and(heard)
    }
}
