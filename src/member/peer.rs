//! State of one other box, or of one other region.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::{
    id::{BoxName, Incarnation},
    unit::{Millis, Time},
    wire::{Digest, Endpoint, Heartbeat, NameHash},
};

/// Number of consecutive messages that may be missed before a box or a region is no longer used.
pub(super) const MAX_MISSED: u64 = 3;
/// Share of its free slots that a region may use right after it is heard again.
const RAMP_START_SHARE: f64 = 0.2;
/// Time until a region that is heard again reaches its full share.
const RAMP_DURATION: Millis = Millis(10_000);

/// Another box of this region.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Incarnation of the box.
    pub incarnation: Incarnation,
    /// Last heartbeat received.
    pub last: Heartbeat,
    /// When that heartbeat was received.
    pub received_at: Time,
    /// Whether the box is considered failed although its announced heartbeat period has not
    /// elapsed.
    pub suspected: bool,
    /// Since when a heartbeat has been overdue, if this box is responsible for detecting that.
    pub(super) overdue_since: Option<Time>,
}

impl Peer {
    /// Reports whether the box is considered live at `now`.
    pub(crate) fn is_live(&self, now: Time) -> bool {
        !self.suspected && now.since(self.received_at) <= self.max_silence()
    }

    /// Returns how long after its last heartbeat the box counts as live.
    pub(super) fn max_silence(&self) -> Millis {
        Millis(MAX_MISSED * self.last.pace.0)
    }

    /// Returns a lower bound of the box's clock at `now`.
    pub fn uptime(&self, now: Time) -> Time {
        self.last.uptime + now.since(self.received_at)
    }
}

/// Action on a silent box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The box is asked whether it is alive.
    Probed,
    /// The other boxes are notified.
    Suspected,
}

/// Silent box whose heartbeats this box should have received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Name of the box.
    pub name: BoxName,
    /// Incarnation of the box.
    pub incarnation: Incarnation,
    /// Gossip address of the box, in case it can still receive the suspicion.
    pub gossip: SocketAddr,
    /// How long the box has been silent.
    pub silent: Millis,
    /// Action that is due.
    pub stage: Stage,
}

/// Another region.
#[derive(Clone, Debug)]
pub struct Remote {
    /// Last digest received.
    pub digest: Digest,
    /// Box that sent it.
    pub reporter: BoxName,
    /// When that digest was received.
    pub received_at: Time,
    /// When the region was heard again after a silence; `None` if it never was silent.
    pub recovered_at: Option<Time>,
    /// Requests of each service relayed since the digest that have not ended.
    pub sent: BTreeMap<NameHash, u32>,
    /// Entry points of the last digest that could not be reached.
    pub unreachable: BTreeSet<BoxName>,
    /// Since when the region has had no entry point that can be reached; `None` if it has one.
    pub closed_since: Option<Time>,
    /// Services of which the region refused a request, and until when none of theirs are relayed
    /// there.
    pub backoffs: BTreeMap<NameHash, Time>,
}

impl Remote {
    /// Returns the entry points that may be used: those of the last digest, except unreachable ones.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.digest.endpoints.iter();
        endpoints.filter(|endpoint| !self.unreachable.contains(&endpoint.contact.name))
    }

    /// Reports whether any entry point may be used.
    pub fn is_open(&self) -> bool {
        self.endpoints().next().is_some()
    }

    /// Reports whether the region has just refused a request of `service`.
    pub fn is_refusing(&self, service: NameHash, now: Time) -> bool {
        self.backoffs
            .get(&service)
            .is_some_and(|until| now < *until)
    }

    /// Returns the requests of `service` relayed since the digest that have not ended.
    pub fn sent(&self, service: NameHash) -> u32 {
        self.sent.get(&service).copied().unwrap_or(0)
    }

    /// Returns the free slots for `service` at `now`: those of the digest, limited by the ramp-up,
    /// less its requests relayed since.
    pub fn free(&self, service: NameHash, now: Time) -> u32 {
        let Some(capacity) = self.digest.services.iter().find(|c| c.service == service) else {
            return 0;
        };
        let free = capacity.slots.saturating_sub(capacity.busy);
        let share = self.recovered_at.map_or(1.0, |recovered_at| {
            let part = now.since(recovered_at).0 as f64 / RAMP_DURATION.0 as f64;
            (RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * part).min(1.0)
        });
        let usable = (f64::from(free) * share).ceil() as u32;
        usable.saturating_sub(self.sent(service))
    }
}
