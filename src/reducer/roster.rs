//! A box that starts while the store is away takes the list of backend servers from another box.
//!
//! It is a list as good as the other box's own: the store's next one takes its place.

use std::net::SocketAddr;

use crate::{
    fleet::{Change, Roster},
    policy::Policy,
    reducer::{State, control::Control, effect::Effect},
    unit::{Millis, Time},
    wire::Phase,
};

/// How long the store has for the first list: it answers in a few milliseconds, or in some hundred
/// from another region or while many boxes start.
const STORE_FIRST: Millis = Millis(600);
/// How often another box is asked.
const AGAIN: Millis = Millis(500);

impl<P: Policy> State<P> {
    /// What this box knows of registered backend servers; none before it knows any list.
    pub fn roster(&self, now: Time) -> Option<Roster> {
        (self.registry && self.supplied).then(|| Roster {
            backends: self.fleet.registered(now),
            evacuated: self.evacuated.clone(),
        })
    }

    /// Asks another box where the store has told nothing yet.
    pub(super) fn chase_roster(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.supplied || now < Time(0) + STORE_FIRST {
            return;
        }
        let Some(peer) = self.roster_source(now) else {
            return;
        };
        if Control::due(&mut self.control.last_roster, AGAIN, now) {
            out.push(Effect::FetchRoster { peer });
        }
    }

    /// A box that takes work, so that it has a list: of this region, or of another one.
    fn roster_source(&self, now: Time) -> Option<SocketAddr> {
        let near = self.table.live(now);
        let near = near.filter(|p| p.last.phase == Phase::Ready);
        let far = self.table.reachable(now);
        let far = far.flat_map(|(_, remote)| &remote.digest.doors);
        let mut boxes = near
            .map(|p| p.last.contact.peer)
            .chain(far.map(|door| door.contact.peer));
        boxes.next()
    }

    /// Takes over what another box knows, unless the store was faster.
    pub(super) fn take_roster(&mut self, now: Time, roster: Roster, out: &mut Vec<Effect>) {
        if self.supplied {
            return;
        }
        self.evacuate(now, roster.evacuated, out);
        let change = Change::List {
            backends: roster.backends,
            doubt: Millis(0),
        };
        self.supplied(now, change, out);
    }
}
