//! Capacity of the boxes of a region, and their load relative to each other.

use crate::{
    fleet::Revision,
    member::{Table, rank::Rank},
    size::{Room, Weight},
    unit::Time,
    wire::{Contact, Heartbeat, Phase},
};

impl Table {
    /// Returns the weight assumed for a box that announces none: the median of the announced
    /// weights, so that the first of several boxes to announce one does not differ from the others.
    pub fn median_weight(&self, now: Time) -> Weight {
        let weights = self.live(now).filter_map(|p| p.last.room.weight);
        let mut weights: Vec<Weight> = weights.chain(self.room.weight).collect();
        weights.sort_unstable();
        let middle = weights.len().saturating_sub(1) / 2;
        weights.get(middle).copied().unwrap_or(Weight::DEFAULT)
    }

    /// Returns a box of this region to fetch a list from. Boxes that take work come before stopping
    /// ones, then those in this failure domain; each box prefers another one, and large boxes are
    /// preferred by more boxes.
    pub fn list_source(&self, now: Time) -> Option<&Contact> {
        let scale = self.scale(now);
        let near = self.live(now).map(|p| &p.last);
        let has_list = |heartbeat: &&Heartbeat| match heartbeat.phase {
            Phase::Unready => false,
            Phase::Ready => true,
            Phase::Leaving => heartbeat.revision > Revision::default(),
        };
        let sender = near.filter(has_list).max_by_key(|heartbeat| {
            let contact = &heartbeat.contact;
            let takes_work = heartbeat.phase == Phase::Ready;
            let here = contact.domain == self.me.domain;
            let role = self.me.name.as_str();
            let preferred = Rank::of(&contact.name, heartbeat.room, role, scale);
            (takes_work, here, preferred)
        });
        sender.map(|heartbeat| &heartbeat.contact)
    }

    /// Returns the capacity of a box of this region, as far as it is known.
    pub fn room_of(&self, contact: &Contact) -> Room {
        if contact.name == self.me.name {
            return self.room;
        }
        let peer = self.peer(&contact.name);
        peer.map_or(Room::default(), |p| p.last.room)
    }

    /// Returns the ratio of this box's requests in flight per weight, at `busy` requests, to that
    /// of all boxes of the region that take work, including this one; `None` if all weights are
    /// equal or no requests are in flight.
    pub fn relative_load(&self, busy: u32, now: Time) -> Option<f64> {
        let usual = self.median_weight(now);
        let weight = |room: Room| f64::from(room.weight.unwrap_or(usual).number());
        let mine = weight(self.room);
        let (mut requests, mut total_weight, mut differ) = (f64::from(busy), mine, false);
        for peer in self.live(now).filter(|p| p.last.phase == Phase::Ready) {
            let theirs = weight(peer.last.room);
            requests += f64::from(peer.last.busy);
            total_weight += theirs;
            differ |= theirs != mine;
        }
        (differ && requests > 0.0).then(|| f64::from(busy) / mine * total_weight / requests)
    }
}

/// Returns the requests in flight relative to a box's weight, as a sort key: with equal weights, it
/// sorts by the requests in flight.
pub fn load(busy: u32, weight: Weight) -> u64 {
    /// Scale factor that keeps a difference of one request distinct at the highest weight.
    const RESOLUTION: u64 = 1 << 20;
    (u64::from(busy) + 1) * RESOLUTION / u64::from(weight.number())
}
