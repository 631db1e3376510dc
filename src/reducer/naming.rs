//! Decides how often a lookup lists each box of its region, given that a caller picks at random
//! from the list.
//!
//! The boxes are laid end to end on a line, each as long as its weight, and [`MAX_ENTRIES`]
//! equidistant points select the boxes that they fall on. Each box is thus listed in proportion to
//! its weight, to within one entry. A repeated lookup returns the same list until the weights
//! change, because callers drop their connections to a box that is no longer listed.

use crate::{
    member::rendezvous_hash,
    policy::Policy,
    reducer::{State, effect::Entry},
    size::Room,
    unit::Time,
};

/// Maximum addresses in an answer.
const MAX_ENTRIES: usize = 64;
/// Minimum weight with which a box counts, as a fraction of the largest one's, so that callers who
/// lose the large boxes, or the failure domain that holds them, know enough others.
const MIN_WEIGHT_FRACTION: f64 = 1.0 / 16.0;
/// Full boxes are left out only if the others hold this fraction of the region's weight.
const MIN_REMAINING_FRACTION: f64 = 0.5;

/// A candidate for the list.
struct Candidate {
    entry: Entry,
    room: Room,
    weight: f64,
}

impl<P: Policy> State<P> {
    /// Returns the boxes that a lookup lists, each repeated by its weight, out of the `boxes` of
    /// one region. The list is returned unchanged if all weights are equal.
    pub(super) fn weight_entries(&self, now: Time, boxes: Vec<Entry>) -> Vec<Entry> {
        let usual = self.table.median_weight(now);
        let candidate = |entry: Entry| {
            let room = self.table.room_of(&entry.contact);
            let weight = f64::from(room.weight.unwrap_or(usual).number());
            Candidate {
                entry,
                room,
                weight,
            }
        };
        let boxes: Vec<Candidate> = boxes.into_iter().map(candidate).collect();
        let largest = boxes.iter().map(|b| b.weight).fold(0.0, f64::max);
        if boxes.iter().all(|b| b.weight == largest) {
            return boxes.into_iter().map(|b| b.entry).collect();
        }
        let boxes = without_full(boxes);
        let lengths: Vec<f64> = boxes
            .iter()
            .map(|b| b.weight.max(largest * MIN_WEIGHT_FRACTION))
            .collect();
        // Offsets differ between boxes, so that a box too small to be listed by all of them is
        // listed by some.
        let offset = rendezvous_hash(&self.table.me.name, "naming") as f64 / u64::MAX as f64;
        let counts = count_points(&lengths, offset);
        let repeat =
            |(candidate, count): (Candidate, usize)| std::iter::repeat_n(candidate.entry, count);
        boxes.into_iter().zip(counts).flat_map(repeat).collect()
    }
}

/// Removes full boxes if enough weight remains without them.
fn without_full(boxes: Vec<Candidate>) -> Vec<Candidate> {
    let all: f64 = boxes.iter().map(|b| b.weight).sum();
    let free = boxes.iter().filter(|b| !b.room.full);
    let enough = free.map(|b| b.weight).sum::<f64>() >= all * MIN_REMAINING_FRACTION;
    let stays = |b: &Candidate| !enough || !b.room.full;
    boxes.into_iter().filter(stays).collect()
}

/// Returns how many of [`MAX_ENTRIES`] equidistant points fall on each of `lengths`, laid end to
/// end. The first point is at `offset`, as a fraction of the distance between points.
fn count_points(lengths: &[f64], offset: f64) -> Vec<usize> {
    let distance = lengths.iter().sum::<f64>() / MAX_ENTRIES as f64;
    let before = |end: f64| (end / distance - offset).ceil().max(0.0) as usize;
    let (mut end, mut counted) = (0.0, 0);
    let mut counts = Vec::with_capacity(lengths.len());
    for length in lengths {
        end += length;
        let until = before(end).min(MAX_ENTRIES);
        counts.push(until - counted);
        counted = until;
    }
    counts
}
