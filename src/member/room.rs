//! What the boxes of the region can carry, and how full they are beside each other.

use crate::{
    member::{Table, rank::Rank},
    size::{Room, Weight},
    unit::Time,
    wire::{Contact, Phase},
};

impl Table {
    /// The weight that a box counts with where it does not tell its own: the middle one of those that are
    /// told, so that the first box of several that tells hers stands out from none.
    pub fn usual_weight(&self, now: Time) -> Weight {
        let told = self.live(now).filter_map(|p| p.last.room.weight);
        let mut told: Vec<Weight> = told.chain(self.room.weight).collect();
        told.sort_unstable();
        let middle = told.len().saturating_sub(1) / 2;
        told.get(middle).copied().unwrap_or(Weight::USUAL)
    }

    /// A box of this region that takes work, to fetch a list from: each box prefers another one, large ones are
    /// preferred by more, and those whose bytes stay in the failure domain go first.
    pub fn sender(&self, now: Time) -> Option<&Contact> {
        let scale = self.scale(now);
        let near = self.ready(now).map(|p| &p.last);
        let sender = near.max_by_key(|beat| {
            let contact = &beat.contact;
            let here = contact.domain == self.me.domain;
            let duty = self.me.name.as_str();
            (here, Rank::of(&contact.name, beat.room, duty, scale))
        });
        sender.map(|beat| &beat.contact)
    }

    /// The room of a box of this region, as far as it is told.
    pub fn room_of(&self, contact: &Contact) -> Room {
        if contact.name == self.me.name {
            return self.room;
        }
        let peer = self.peer(&contact.name);
        peer.map_or(Room::default(), |p| p.last.room)
    }

    /// How much more than the boxes of the region that take work, this one included, it has in hand for its
    /// weight, where it has `busy`; none where all count alike.
    pub fn crowding(&self, busy: u32, now: Time) -> Option<f64> {
        let usual = self.usual_weight(now);
        let weight = |room: Room| f64::from(room.weight.unwrap_or(usual).number());
        let mine = weight(self.room);
        let (mut requests, mut carried, mut differ) = (f64::from(busy), mine, false);
        for peer in self.live(now).filter(|p| p.last.phase == Phase::Ready) {
            let theirs = weight(peer.last.room);
            requests += f64::from(peer.last.busy);
            carried += theirs;
            differ |= theirs != mine;
        }
        (differ && requests > 0.0).then(|| f64::from(busy) / mine * carried / requests)
    }
}

/// Requests in hand for a box's weight, for an order: where all weights are equal, the order of the
/// requests in hand.
pub fn load(busy: u32, weight: Weight) -> u64 {
    /// Keeps one request more apart at the highest weight.
    const FINE: u64 = 1 << 20;
    (u64::from(busy) + 1) * FINE / u64::from(weight.number())
}
