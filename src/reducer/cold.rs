//! The rate of cold backend servers, and this box's share of it.
//!
//! A few boxes of a region share the rate of one cold server. They are chosen without a word between
//! them, so the shares must add up to no more than the rate whatever each box believes at the moment:
//! a box that may still send is counted, and only one that surely sends nothing any more is not.

use crate::{
    config::{Backend, Config},
    id::{self, Service},
    member::FORGET,
    policy::Policy,
    reducer::{JOIN_GRACE, State},
    unit::{Millis, Rate, Time},
};

/// Boxes of a region that may send to one cold backend server: each may save up one request.
const SENDERS: usize = 3;
/// Part of a cold backend server's rate that is used: boxes may disagree on who sends.
const SAFETY: f64 = 0.8;
/// How long a box keeps its share after it should have been heard: one that stood still for less than
/// [`FREEZE`](super::FREEZE) does not notice, and goes on with it. Longer than the store may be silent
/// before it counts as lost, so that a box that is cut off from everything never takes more.
pub(super) const KEPT: Millis = Millis(5000);

impl<P: Policy> State<P> {
    /// What this box may send a second to one cold backend server of `service`.
    ///
    /// Boxes that stop send until they end, so they keep their share: divided among those alone that
    /// take work, a server got 2.5 times its rate while three of four boxes were stopping (`sent`
    /// lines of a run). A box that hears neither the store nor its neighbours cannot tell whether they
    /// are dead, and leaves them theirs. A box that just started sends nothing: until it has heard of
    /// the others it would take itself for one of the few, and so would all that start with it.
    fn cold_rate(&self, now: Time, config: &Config, service: &Service) -> Option<Rate> {
        let profile = config.profiles.get(service)?;
        let rate = profile.cold_rate?;
        if !self.knows_region(now) {
            return Some(Rate(0.0));
        }
        let kept = match self.hears_store(now) {
            true => KEPT,
            false => FORGET,
        };
        let (rank, boxes) = self.table.standing(service.as_str(), |_| kept, now);
        let senders = SENDERS.min(boxes);
        let share = SAFETY * rate.0 / senders as f64;
        Some(Rate(if rank < senders { share } else { 0.0 }))
    }

    /// Whether this box has run, without standing still, for long enough to know the other boxes of
    /// its region.
    pub(super) fn knows_region(&self, now: Time) -> bool {
        now >= Time(0) + JOIN_GRACE && self.control.is_awake_for(JOIN_GRACE, now)
    }

    /// Whether this box hears nobody, neither the store nor any box that it knew: a domain may be under
    /// evacuation, and its servers cold, without its knowledge. A box that never had others, or a
    /// region whose boxes hear each other, is not cut off in this sense.
    pub(super) fn hears_nobody(&self, now: Time) -> bool {
        let had_others = self.table.peers().next().is_some();
        had_others && !self.hears_store(now) && self.table.live(now).next().is_none()
    }

    /// Whether `name` is cold, as far as this box can know. One that hears nobody takes all servers for
    /// cold: a cold server got 23 requests in a second from one such box, where 17.5 were allowed.
    pub(super) fn counts_as_cold(&self, now: Time, name: &id::Backend) -> bool {
        self.fleet.is_cold(name, now) || self.hears_nobody(now)
    }

    /// Whether `backend` is warm, or may get a request for `service` all the same.
    pub(super) fn admits(
        &self,
        now: Time,
        config: &Config,
        service: &Service,
        backend: &Backend,
    ) -> bool {
        if !self.counts_as_cold(now, &backend.name) {
            return true;
        }
        let Some(rate) = self.cold_rate(now, config, service) else {
            return true;
        };
        let server = self.servers.get(&backend.name);
        rate.0 > 0.0 && server.is_none_or(|s| s.admits_cold(rate, now))
    }

    /// Slots that stand for what a cold server bears where answers take `whole`; none where it is warm.
    pub(super) fn cold_slots(
        &self,
        now: Time,
        service: &Service,
        backend: &Backend,
        whole: Millis,
    ) -> Option<u32> {
        if !self.fleet.is_cold(&backend.name, now) {
            return None;
        }
        let profile = self.config.as_ref()?.profiles.get(service)?;
        let running = profile.cold_rate?.0 * whole.0 as f64 / 1000.0;
        Some(running as u32)
    }

    /// Counts a request to `name` against its rate while it is cold.
    pub(super) fn charge_cold(&mut self, now: Time, service: &Service, name: &id::Backend) {
        if !self.counts_as_cold(now, name) {
            return;
        }
        let config = self.config.as_deref();
        if let Some(rate) = config.and_then(|config| self.cold_rate(now, config, service)) {
            let server = self.servers.entry(name.clone()).or_default();
            server.spend_cold(rate, now);
        }
    }
}
