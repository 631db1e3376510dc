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
        self.staying_above(duty, now).count()
    }

    /// Whether this box ranks first among the live of its region for a duty.
    pub fn leads(&self, duty: &str, now: Time) -> bool {
        self.staying_above(duty, now).next().is_none()
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
        self.above_beside(duty, other, now).next().is_none()
    }

    /// This box's rank (from 0) among those that tell `other` what they know, `other` left aside.
    pub fn rank_beside(&self, other: &BoxName, now: Time) -> usize {
        self.above_beside(other.as_str(), other, now).count()
    }

    /// The live boxes of the region that rank above this one for a duty.
    fn above(&self, duty: &str, now: Time) -> impl Iterator<Item = &Peer> {
        let mine = weight(&self.me.name, duty);
        self.live(now)
            .filter(move |p| weight(&p.last.contact.name, duty) > mine)
    }

    /// Those of them that are not leaving.
    fn staying_above(&self, duty: &str, now: Time) -> impl Iterator<Item = &Peer> {
        let above = self.above(duty, now);
        above.filter(|p| p.last.phase != Phase::Leaving)
    }

    /// Those of them but `other`.
    fn above_beside(&self, duty: &str, other: &BoxName, now: Time) -> impl Iterator<Item = &Peer> {
        let above = self.above(duty, now);
        above.filter(move |p| p.last.contact.name != *other)
    }
}
