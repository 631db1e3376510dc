//! What this box can carry: it tells the region when that changes, and when it has too much in hand for it.

use crate::{
    policy::Policy,
    reducer::{
        State,
        control::Control,
        effect::{Effect, Note},
    },
    size::{Room, Weight},
    unit::{Millis, Time},
};

/// Requests in hand for its weight, beside the boxes of the region together, at which a box is full: chance
/// alone seldom brings twice the mean where [`FEW`] are in hand. All boxes cannot be over their mean.
const FULL: f64 = 2.0;
/// The same, below which it is full no more.
const EASED: f64 = 1.4;
/// So few requests in hand fill no box.
const FEW: u32 = 8;
/// How long a box at least stays full or not: callers keep what a look-up told them for as long.
const HOLD: Millis = Millis(3000);

impl<P: Policy> State<P> {
    /// Takes what the settings say that this box can carry.
    pub(super) fn resize(&mut self, now: Time, weight: Option<Weight>, out: &mut Vec<Effect>) {
        let old = self.table.room.weight;
        if old == weight {
            return;
        }
        self.table.room.weight = weight;
        out.push(Effect::Noted(Note::Resized { old, weight }));
        self.tell_room(now, out);
    }

    /// Notices whether this box is full, beside the others.
    pub(super) fn watch_room(&mut self, now: Time, out: &mut Vec<Effect>) {
        let busy = self.jobs.len() as u32;
        let Room { weight, full } = self.table.room;
        if !full && busy < FEW {
            return;
        }
        let crowding = self.table.crowding(busy, now).unwrap_or(0.0);
        let bar = if full { EASED } else { FULL };
        let fuller = busy >= FEW && crowding > bar;
        if fuller == full || !Control::due(&mut self.control.last_room, HOLD, now) {
            return;
        }
        self.table.room.full = fuller;
        out.push(Effect::Noted(Note::Filled {
            full: fuller,
            busy,
            weight,
            crowding,
        }));
        self.tell_room(now, out);
    }

    /// Whether this box has told the region that it is full.
    pub fn is_full(&self) -> bool {
        self.table.room.full
    }

    /// What this box says that it can carry.
    pub fn weight(&self) -> Option<Weight> {
        self.table.room.weight
    }

    /// Tells the region at once: in a large one heartbeats are seconds apart. A box that has not spoken yet
    /// tells with its first heartbeat.
    fn tell_room(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.control.pace_told > Millis(0) {
            self.beat(now, out);
        }
    }
}
