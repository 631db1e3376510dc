//! Assignment of roles to a region's boxes without coordination: rendezvous hashing among the known
//! boxes.
//!
//! If the boxes announce different sizes, each gets roles in proportion to its weight: of two
//! boxes, the one with twice the weight ranks first for twice as many evenly distributed keys.
//! Shares that must add up to a whole even if boxes have different views of each other (`standing`)
//! depend on the names alone.

use std::cmp::Ordering;

use crate::{
    id::BoxName,
    member::{Peer, Table},
    size::{Room, Weight},
    unit::{Millis, Time},
    wire::Phase,
};

/// Whether roles are assigned uniformly or by weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scale {
    /// Same probability for every box.
    Uniform,
    /// Probability proportional to the weight of the box.
    Weighted,
}

/// Rank of a box for a role; the highest comes first.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rank {
    /// Zero if weights are not used.
    score: f64,
    hash: u64,
}

impl Rank {
    /// Returns the rank of the box called `name`.
    pub(super) fn of(name: &BoxName, room: Room, role: &str, scale: Scale) -> Self {
        let hash = rendezvous_hash(name, role);
        let score = match scale {
            Scale::Uniform => 0.0,
            Scale::Weighted => {
                // In the interval (0, 1].
                let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 1.0);
                let weight = room.weight.unwrap_or(Weight::DEFAULT);
                uniform.ln() / f64::from(weight.number())
            }
        };
        Self { score, hash }
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then(self.hash.cmp(&other.hash))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Rank {}

/// Returns the rendezvous hash of a box for a role.
pub fn rendezvous_hash(name: &BoxName, role: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(role.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), seed)
}

impl Table {
    /// Returns whether roles go by weight: every box of the region that is not leaving announces
    /// one, and they differ.
    ///
    /// If a box announces no weight, it may not know that the others use weights, and all must
    /// choose in the same way.
    pub(super) fn scale(&self, now: Time) -> Scale {
        let mine = self.room.weight;
        let staying = self.live(now).filter(|p| p.last.phase != Phase::Leaving);
        let mut differ = false;
        for peer in staying {
            let theirs = peer.last.room.weight;
            if theirs.is_none() {
                return Scale::Uniform;
            }
            differ |= theirs != mine;
        }
        match differ && mine.is_some() {
            true => Scale::Weighted,
            false => Scale::Uniform,
        }
    }

    /// Returns this box's rank (from 0) for a role among the live boxes of its region.
    pub fn rank(&self, role: &str, now: Time) -> usize {
        self.staying_higher_ranked(role, now).count()
    }

    /// Reports whether this box ranks first for a role among the live boxes of its region.
    pub fn leads(&self, role: &str, now: Time) -> bool {
        self.staying_higher_ranked(role, now).next().is_none()
    }

    /// Reports whether this box ranks first for a role among all live boxes of its region, leaving
    /// ones included.
    pub fn ranks_first(&self, role: &str, now: Time) -> bool {
        self.higher_ranked(role, now).next().is_none()
    }

    /// Returns this box's rank (from 0) for a role among the boxes of its region that may still be
    /// working, and the number of those boxes. All phases count, and a silent box counts for the
    /// time `kept` after its heartbeat was due.
    pub fn rank_among_active(
        &self,
        role: &str,
        kept: impl Fn(&Peer) -> Millis,
        now: Time,
    ) -> (usize, usize) {
        let at_work =
            |p: &&Peer| p.is_live(now) || now.since(p.received_at) <= p.last.pace + kept(p);
        let mine = rendezvous_hash(&self.me.name, role);
        let others = self.peers.values().filter(at_work);
        others.fold((0, 1), |(rank, boxes), peer| {
            let above = rendezvous_hash(&peer.last.contact.name, role) > mine;
            (rank + usize::from(above), boxes + 1)
        })
    }

    /// Reports whether this box ranks first for a role among the live boxes of its region other
    /// than `other`.
    pub fn leads_except(&self, role: &str, other: &BoxName, now: Time) -> bool {
        self.higher_ranked_except(role, other, now).next().is_none()
    }

    /// Returns this box's rank (from 0) among the boxes that inform `other` of what they know.
    pub fn rank_except(&self, other: &BoxName, now: Time) -> usize {
        self.higher_ranked_except(other.as_str(), other, now)
            .count()
    }

    /// Returns the live boxes of the region that rank above this one for a role.
    fn higher_ranked(&self, role: &str, now: Time) -> impl Iterator<Item = &Peer> {
        let scale = self.scale(now);
        let mine = Rank::of(&self.me.name, self.room, role, scale);
        let rank = move |p: &Peer| Rank::of(&p.last.contact.name, p.last.room, role, scale);
        self.live(now).filter(move |p| rank(p) > mine)
    }

    /// Returns the higher-ranked boxes that are not leaving.
    fn staying_higher_ranked(&self, role: &str, now: Time) -> impl Iterator<Item = &Peer> {
        let above = self.higher_ranked(role, now);
        above.filter(|p| p.last.phase != Phase::Leaving)
    }

    /// Returns the higher-ranked boxes other than `other`.
    fn higher_ranked_except(
        &self,
        role: &str,
        other: &BoxName,
        now: Time,
    ) -> impl Iterator<Item = &Peer> {
        let above = self.higher_ranked(role, now);
        above.filter(move |p| p.last.contact.name != *other)
    }
}
