//! Announces the capacity of this box to the region when it changes, and when the box becomes
//! overloaded relative to the others.

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

/// Requests in flight per weight, relative to the region as a whole, at which a box becomes full.
/// Random variation alone seldom reaches twice the mean with at least [`MIN_BUSY_WHEN_FULL`] in
/// flight, and not all boxes can be above their mean.
const FULL_CROWDING: f64 = 2.0;
/// The same ratio, at or below which a full box is no longer full.
const EASED_CROWDING: f64 = 1.4;
/// A box with fewer requests in flight is never full.
const MIN_BUSY_WHEN_FULL: u32 = 8;
/// Minimum time between two changes of the full state: callers use the result of a lookup for that
/// long.
const MIN_STATE_TIME: Millis = Millis(3000);

impl<P: Policy> State<P> {
    /// Applies the capacity of this box given by the settings.
    pub(super) fn resize(&mut self, now: Time, weight: Option<Weight>, out: &mut Vec<Effect>) {
        let old = self.table.room.weight;
        if old == weight {
            return;
        }
        self.table.room.weight = weight;
        out.push(Effect::Noted(Note::Resized { old, weight }));
        self.announce_room(now, out);
    }

    /// Updates whether this box is full relative to the others.
    pub(super) fn update_full(&mut self, now: Time, out: &mut Vec<Effect>) {
        let busy = self.jobs.len() as u32;
        let Room { weight, full } = self.table.room;
        if !full && busy < MIN_BUSY_WHEN_FULL {
            return;
        }
        let crowding = self.table.relative_load(busy, now).unwrap_or(0.0);
        let threshold = if full { EASED_CROWDING } else { FULL_CROWDING };
        let now_full = busy >= MIN_BUSY_WHEN_FULL && crowding > threshold;
        if now_full == full
            || !Control::due(&mut self.control.last_full_change, MIN_STATE_TIME, now)
        {
            return;
        }
        self.table.room.full = now_full;
        out.push(Effect::Noted(Note::Filled {
            full: now_full,
            busy,
            weight,
            crowding,
        }));
        self.announce_room(now, out);
    }

    /// Reports whether this box has announced that it is full.
    pub fn is_full(&self) -> bool {
        self.table.room.full
    }

    /// Returns the capacity that this box announces.
    pub fn weight(&self) -> Option<Weight> {
        self.table.room.weight
    }

    /// Announces the capacity at once, since heartbeats are seconds apart in a large region. A box
    /// that has sent no heartbeat yet announces it with its first one.
    fn announce_room(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.control.announced_period > Millis(0) {
            self.broadcast_heartbeat(now, out);
        }
    }
}
