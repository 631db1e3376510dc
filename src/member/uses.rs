//! Use of customers' allotments by the boxes, and the share of boxes whose reports are missing.

use std::collections::HashMap;

use crate::{
    allotment::Sum,
    id::Domain,
    member::{
        Peer, Table,
        tally::{add_trials, add_uses, sorted_uses},
    },
    unit::{Millis, Time},
    wire::{NameHash, Phase, Trial, Use},
};

/// How long a box may hear no other box of its region before it counts as isolated. The hubs of a
/// large region send twice a second, as all boxes of a small one do.
const ISOLATION_TIMEOUT: Millis = Millis(1600);

impl Table {
    /// Returns a customer's use at the other boxes of this region; `None` if this box hears no box
    /// that could report it.
    pub fn use_elsewhere_in_region(&self, customer: NameHash, now: Time) -> Option<Sum> {
        if self.is_isolated(now) {
            return None;
        }
        if self.has_hubs() {
            // Hubs report once that there is no use and then stop sending, so their later silence
            // does not mean that data is missing.
            let known = self.has_fresh_usages(now) || self.tally.has_no_uses();
            return known.then(|| self.tally.use_elsewhere(customer));
        }
        let mut sum = Sum::default();
        for peer in self.live(now) {
            Use::find(&peer.last.uses, customer)
                .into_iter()
                .for_each(|usage| sum.add(usage));
        }
        Some(sum)
    }

    /// Returns all customers' use in this region, with `own` as this box's part.
    pub fn uses(&self, own: Vec<Use>, now: Time) -> Vec<Use> {
        if self.has_hubs() && self.has_fresh_usages(now) {
            return sorted_uses(self.tally.uses().clone());
        }
        let mut sums: HashMap<NameHash, Sum> = HashMap::new();
        add_uses(&mut sums, &own);
        for peer in self.live(now) {
            add_uses(&mut sums, &peer.last.uses);
        }
        sorted_uses(sums)
    }

    /// Returns the roll-out observations of this region, with `own` as this box's part.
    pub fn trials(&self, own: Vec<Trial>, now: Time) -> Vec<Trial> {
        if self.has_hubs() && self.has_fresh_usages(now) {
            return self.tally.trials().to_vec();
        }
        let mut sums = own;
        for peer in self.live(now) {
            add_trials(&mut sums, &peer.last.trials);
        }
        sums
    }

    /// Returns the share of this region's boxes whose use is reported to this box. A box that was
    /// killed counts as missing until it is forgotten, since it may only be disconnected; a box
    /// that was stopped by plan does not count.
    pub fn cover(&self, now: Time) -> f64 {
        let at_work = |p: &&Peer| p.is_live(now) || p.last.phase != Phase::Leaving;
        let peers: Vec<&Peer> = self.peers().filter(at_work).collect();
        let hubs = self.has_hubs();
        let idle = hubs && !self.has_fresh_usages(now) && self.tally.has_no_uses();
        if peers.is_empty() || idle {
            return 1.0;
        }
        let is_reported = |domain: &Domain| *domain == self.me.domain || self.tally.covers(domain);
        let is_heard = |p: &&&Peer| match hubs {
            true => is_reported(&p.last.contact.domain),
            false => p.is_live(now),
        };
        let heard = peers.iter().filter(is_heard).count();
        (heard + 1) as f64 / (peers.len() + 1) as f64
    }

    /// Returns the number of remembered boxes of all regions, including this one.
    pub fn known_boxes(&self) -> usize {
        let far = self.regions().map(|(_, r)| r.digest.boxes as usize);
        self.peers().count() + 1 + far.sum::<usize>()
    }

    /// Reports whether this box has known others of its region and hears none of them.
    fn is_isolated(&self, now: Time) -> bool {
        let had_others = self.peers().next().is_some();
        let is_recent = |at: Time| now.since(at) <= ISOLATION_TIMEOUT;
        had_others && !self.last_peer_heard.is_some_and(is_recent)
    }
}
