//! What is known of one other box, or of one other region.

use std::net::SocketAddr;

use crate::{
    id::{BoxName, Incarnation},
    unit::{Millis, Time},
    wire::{Digest, Heartbeat, Short},
};

/// Messages that may be missed before a box or a region is not used.
pub(super) const MISSED: u64 = 3;
/// Share of its free slots that a returned region gets at once.
const RAMP_START: f64 = 0.2;
/// How long a returned region takes to its full share.
const RAMP: Millis = Millis(10_000);

/// Another box of this region.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its life.
    pub incarnation: Incarnation,
    /// Its last heartbeat.
    pub last: Heartbeat,
    /// When that came.
    pub heard: Time,
    /// Whether it is taken for dead although it could still be heard by its own pace.
    pub suspected: bool,
    /// Since when it should have been heard, where it is this box's to notice.
    pub(super) doubted: Option<Time>,
}

impl Peer {
    /// Whether it is used at `now`.
    pub(super) fn is_live(&self, now: Time) -> bool {
        !self.suspected && now.since(self.heard) <= Millis(MISSED * self.last.pace.0)
    }

    /// Its clock at `now`: never ahead of its real one.
    pub fn uptime(&self, now: Time) -> Time {
        self.last.uptime + now.since(self.heard)
    }
}

/// What is done about a box that is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It is asked whether it lives.
    Probed,
    /// The others are told.
    Suspected,
}

/// A box that was to be heard here and is not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Its name.
    pub name: BoxName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its listener, where it can still hear of this.
    pub gossip: SocketAddr,
    /// How long it has not been heard.
    pub silent: Millis,
    /// What is done about it.
    pub stage: Stage,
}

/// Another region.
#[derive(Clone, Debug)]
pub struct Remote {
    /// Its last digest.
    pub digest: Digest,
    /// When that came.
    pub heard: Time,
    /// When the region was last heard of anew after a silence; none for the first time.
    pub returned: Option<Time>,
    /// Requests sent there since the digest that have not ended.
    pub sent: u32,
    /// Until when it is left alone, because it refused a request.
    pub cool_until: Time,
}

impl Remote {
    /// Free slots for `service` at `now`: the digest's, less what went there since, slowly at first.
    pub fn free(&self, service: Short, now: Time) -> u32 {
        let Some(capacity) = self.digest.services.iter().find(|c| c.service == service) else {
            return 0;
        };
        let free = capacity.slots.saturating_sub(capacity.busy);
        let share = self.returned.map_or(1.0, |from| {
            let part = now.since(from).0 as f64 / RAMP.0 as f64;
            (RAMP_START + (1.0 - RAMP_START) * part).min(1.0)
        });
        let usable = (f64::from(free) * share).ceil() as u32;
        usable.saturating_sub(self.sent)
    }
}
