//! Who of a region's boxes has a duty, without a word between them: by rendezvous rank among those that are known.

use crate::{
    id::BoxName,
    member::{Peer, Table},
    unit::{Millis, Time},
    wire::Phase,
};

/// Rendezvous weight of a box for a duty.
pub fn weight(name: &BoxName, duty: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(duty.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), seed)
}

impl Table {
    /// This box's rank (from 0) among the live of its region for a duty.
    pub fn rank(&self, duty: &str, now: Time) -> usize {
        let mine = weight(&self.me.name, duty);
        let above =
            |p: &&Peer| p.last.phase != Phase::Leaving && weight(&p.last.contact.name, duty) > mine;
        self.live(now).filter(above).count()
    }

    /// Whether this box ranks first among the live of its region for a duty.
    pub fn leads(&self, duty: &str, now: Time) -> bool {
        let mine = weight(&self.me.name, duty);
        let above =
            |p: &Peer| p.last.phase != Phase::Leaving && weight(&p.last.contact.name, duty) > mine;
        !self.live(now).any(above)
    }

    /// This box's rank (from 0) for a duty among the boxes of its region that may still be at work, and
    /// how many those are: all phases count, and who fell silent does for as long as `kept` says, after
    /// it should have been heard.
    pub fn standing(
        &self,
        duty: &str,
        kept: impl Fn(&Peer) -> Millis,
        now: Time,
    ) -> (usize, usize) {
        let at_work = |p: &&Peer| p.is_live(now) || now.since(p.heard) <= p.last.pace + kept(p);
        let mine = weight(&self.me.name, duty);
        let others = self.peers.values().filter(at_work);
        others.fold((0, 1), |(rank, boxes), peer| {
            let above = weight(&peer.last.contact.name, duty) > mine;
            (rank + usize::from(above), boxes + 1)
        })
    }

    /// Whether this box ranks first for a duty among the live of its region, `other` left aside.
    pub fn is_first(&self, duty: &str, other: &BoxName, now: Time) -> bool {
        self.rank_without(duty, other, now) == 0
    }

    /// This box's rank (from 0) among those that tell `other` what they know, `other` left aside.
    pub fn rank_beside(&self, other: &BoxName, now: Time) -> usize {
        self.rank_without(other.as_str(), other, now)
    }

    fn rank_without(&self, duty: &str, other: &BoxName, now: Time) -> usize {
        let mine = weight(&self.me.name, duty);
        let above = |p: &&Peer| weight(&p.last.contact.name, duty) > mine;
        let others = self.live(now).filter(|p| p.last.contact.name != *other);
        others.filter(above).count()
    }
}
