//! Who of a region's boxes has a duty, without a word between them: by rendezvous rank among those that are known.
//!
//! Where the boxes tell different sizes, each has duties in proportion to its weight: of two keys that are
//! spread evenly, that of a box of twice the weight is first twice as often. Shares that must add up to
//! a whole whatever boxes believe of each other (`standing`) go by the names alone.

use std::cmp::Ordering;

use crate::{
    id::BoxName,
    member::{Peer, Table},
    size::{Room, Weight},
    unit::{Millis, Time},
    wire::Phase,
};

/// Whether the boxes of the region have duties alike or by their weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scale {
    /// All alike.
    Alike,
    /// By their weights.
    Weighed,
}

/// A box's place for a duty; the highest goes first.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rank {
    /// Zero where weights don't count.
    score: f64,
    hash: u64,
}

impl Rank {
    /// The rank of the box called `name`.
    pub(super) fn of(name: &BoxName, room: Room, duty: &str, scale: Scale) -> Self {
        let hash = weight(name, duty);
        let score = match scale {
            Scale::Alike => 0.0,
            Scale::Weighed => {
                // Over 0 and at most 1.
                let even = (hash as f64 + 1.0) / (u64::MAX as f64 + 1.0);
                let weight = room.weight.unwrap_or(Weight::USUAL);
                even.ln() / f64::from(weight.number())
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

/// Rendezvous weight of a box for a duty.
pub fn weight(name: &BoxName, duty: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(duty.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), seed)
}

impl Table {
    /// Whether duties go by weight: every box of the region that stays tells its own, and they differ.
    ///
    /// Where one does not, it may not know that the others go by weight, and all must choose alike.
    pub(super) fn scale(&self, now: Time) -> Scale {
        let mine = self.room.weight;
        let staying = self.live(now).filter(|p| p.last.phase != Phase::Leaving);
        let mut differ = false;
        for peer in staying {
            let told = peer.last.room.weight;
            if told.is_none() {
                return Scale::Alike;
            }
            differ |= told != mine;
        }
        match differ && mine.is_some() {
            true => Scale::Weighed,
            false => Scale::Alike,
        }
    }

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
        let scale = self.scale(now);
        let mine = Rank::of(&self.me.name, self.room, duty, scale);
        let rank = move |p: &Peer| Rank::of(&p.last.contact.name, p.last.room, duty, scale);
        self.live(now).filter(move |p| rank(p) > mine)
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
