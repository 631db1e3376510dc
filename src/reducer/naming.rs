//! How often a look-up names each box of its region: a caller chooses at random among what is named.
//!
//! The boxes lie on a line, each as long as its weight, and [`NAMED`] points at even distances name those
//! that they fall on. So each is named in proportion to its weight, twice at most once more or less than
//! that, and the same look-up names the same boxes until their weights change: callers leave the connections
//! to a box that is no longer named.

use crate::{
    member::weight,
    policy::Policy,
    reducer::{State, effect::Entry},
    size::Room,
    unit::Time,
};

/// Most addresses that an answer may hold.
const NAMED: usize = 64;
/// A box counts at least with this part of the largest one's weight, so that callers who lose the large
/// ones, or the failure domain that holds them, know enough others.
const LEAST: f64 = 1.0 / 16.0;
/// Full boxes are left out only where the others hold this part of the region's weight.
const REMAINING: f64 = 0.5;

/// A box to be named.
struct Named {
    entry: Entry,
    room: Room,
    weight: f64,
}

impl<P: Policy> State<P> {
    /// Of `boxes` of one region those that a look-up names, and how often, by their weights; as they are where
    /// all weigh the same.
    pub(super) fn share_out(&self, now: Time, boxes: Vec<Entry>) -> Vec<Entry> {
        let usual = self.table.usual_weight(now);
        let named = |entry: Entry| {
            let room = self.table.room_of(&entry.contact);
            let weight = f64::from(room.weight.unwrap_or(usual).number());
            Named {
                entry,
                room,
                weight,
            }
        };
        let boxes: Vec<Named> = boxes.into_iter().map(named).collect();
        let largest = boxes.iter().map(|b| b.weight).fold(0.0, f64::max);
        if boxes.iter().all(|b| b.weight == largest) {
            return boxes.into_iter().map(|b| b.entry).collect();
        }
        let boxes = without_full(boxes);
        let lengths: Vec<f64> = boxes
            .iter()
            .map(|b| b.weight.max(largest * LEAST))
            .collect();
        // Boxes that are named less than once are named by some of the others.
        let start = weight(&self.table.me.name, "naming") as f64 / u64::MAX as f64;
        let counts = points(&lengths, start);
        let repeat = |(named, count): (Named, usize)| std::iter::repeat_n(named.entry, count);
        boxes.into_iter().zip(counts).flat_map(repeat).collect()
    }
}

/// Leaves full boxes out, where enough is left without them.
fn without_full(boxes: Vec<Named>) -> Vec<Named> {
    let all: f64 = boxes.iter().map(|b| b.weight).sum();
    let free = boxes.iter().filter(|b| !b.room.full);
    let enough = free.map(|b| b.weight).sum::<f64>() >= all * REMAINING;
    let stays = |b: &Named| !enough || !b.room.full;
    boxes.into_iter().filter(stays).collect()
}

/// How many of [`NAMED`] points at even distances fall on each of `lengths`, laid end to end; the first one lies
/// at the part `start` of the distance.
fn points(lengths: &[f64], start: f64) -> Vec<usize> {
    let distance = lengths.iter().sum::<f64>() / NAMED as f64;
    let before = |end: f64| (end / distance - start).ceil().max(0.0) as usize;
    let (mut end, mut counted) = (0.0, 0);
    let mut counts = Vec::with_capacity(lengths.len());
    for length in lengths {
        end += length;
        let until = before(end).min(NAMED);
        counts.push(until - counted);
        counted = until;
    }
    counts
}
