//! The request rate of cold backend servers, and this box's share of it.
//!
//! A few boxes of a region share the rate of one cold server. They are chosen without
//! communication, so the shares must not exceed the rate in sum, whatever each box believes at the
//! moment: a box that may still send is counted, and only one that certainly sends nothing any more
//! is left out.

use crate::{
    config::{Backend, Config},
    id::{self, Service},
    member::PEER_RETENTION,
    policy::Policy,
    reducer::{JOIN_GRACE, State, effect::Warmth},
    unit::{Millis, Rate, Time},
};

/// Number of boxes of a region that may send to one cold backend server; each may save up one
/// request.
pub(super) const MAX_SENDERS: usize = 3;
/// Share of a cold backend server's rate that is used, because boxes may disagree on who sends.
const RATE_SAFETY_FACTOR: f64 = 0.8;
/// How long a box keeps its share after its heartbeat was due. A box that was suspended for less
/// than [`SUSPENSION_THRESHOLD`](super::SUSPENSION_THRESHOLD) does not notice and goes on using its share. Longer than the
/// store may be silent before it counts as lost, so that a box that is cut off from everything
/// never takes more.
pub(super) const SHARE_RETENTION: Millis = Millis(5000);
/// Time that a box needs after an isolation to hear of the region's state again, as after its start.
const CATCH_UP_TIME: Millis = JOIN_GRACE;

impl<P: Policy> State<P> {
    /// Returns the rate at which this box may send to one cold backend server of `service`, or
    /// `None` if the service sets no rate.
    ///
    /// Stopping boxes send until they end, so they keep their share: when the rate was divided
    /// among the boxes that take work alone, a server got 2.5 times its rate while three of four
    /// boxes were stopping. A box that hears neither the store nor its neighbours cannot tell
    /// whether they are dead, so it leaves them their shares. A box that just started sends
    /// nothing: until it has heard the others it would count itself among the few senders, as would
    /// all boxes that start with it.
    fn cold_rate(&self, now: Time, config: &Config, service: &Service) -> Option<Rate> {
        let profile = config.profiles.get(service)?;
        let rate = profile.cold_rate?;
        if !self.knows_region(now) {
            return Some(Rate(0.0));
        }
        let informed = self.is_store_reachable(now) && !self.is_behind(now, CATCH_UP_TIME);
        let retention = match informed {
            true => SHARE_RETENTION,
            false => PEER_RETENTION,
        };
        let (rank, boxes) = self
            .table
            .rank_among_active(service.as_str(), |_| retention, now);
        let senders = MAX_SENDERS.min(boxes);
        let share = RATE_SAFETY_FACTOR * rate.0 / senders as f64;
        Some(Rate(if rank < senders { share } else { 0.0 }))
    }

    /// Reports whether this box has run without a suspension for long enough to know the other
    /// boxes of its region.
    pub(super) fn knows_region(&self, now: Time) -> bool {
        now >= Time(0) + JOIN_GRACE && self.control.has_run_for(JOIN_GRACE, now)
    }

    /// Reports whether this box is isolated, alone or together with others: it lost the store and
    /// boxes of its region at the same time, or the box that was informed in its place, and no box
    /// that it hears is better informed. A failure domain may then be evacuated, and its servers
    /// cold, without its knowledge. A box that never had peers, or one in a region whose boxes all
    /// hear each other, is not isolated in this sense.
    pub(super) fn is_isolated(&self, now: Time) -> bool {
        let informed_at = self.control.informed_at.unwrap_or_default();
        let has_lost_peers = || self.table.lost_since(informed_at, now).next().is_some();
        self.is_uninformed(now) && (has_lost_peers() || self.has_lost_informant(now))
    }

    /// Reports whether this box may have missed that servers became cold: it lacks changes of the
    /// store, is isolated, or was isolated until less than `span` ago. The first message that ends
    /// an isolation does not say what this box missed.
    pub(super) fn is_behind(&self, now: Time, span: Millis) -> bool {
        let ended_recently = |at: Time| now.since(at) < span;
        self.control.last_isolated.is_some_and(ended_recently)
            || self.is_isolated(now)
            || self.lacks_changes(now)
    }

    /// Returns the time from the end of an isolation until this box knows which servers of `service`
    /// became cold meanwhile: it has caught up with the others, and registrations say so.
    pub(super) fn catch_up_time(&self, service: &Service) -> Millis {
        let config = self.config.as_ref();
        let profile = config.and_then(|config| config.profiles.get(service));
        CATCH_UP_TIME.max(profile.map_or(Millis(0), |profile| profile.cold_lag))
    }

    /// Returns whether `name` is cold as far as this box knows. A box that may have missed that
    /// servers became cold treats all as cold that have not told recently that they are warm.
    pub(super) fn warmth(&self, now: Time, service: &Service, name: &id::Backend) -> Warmth {
        if self.fleet.is_cold(name, now) {
            Warmth::Cold
        } else if self.depends_on_checks(now, service) {
            match self.is_confirmed(now, name) {
                true => Warmth::Warm,
                false => Warmth::Assumed,
            }
        } else if self.is_behind(now, self.catch_up_time(service)) {
            Warmth::Assumed
        } else {
            Warmth::Warm
        }
    }

    /// Reports whether `name` gets requests at the rate for cold servers only.
    pub(super) fn counts_as_cold(&self, now: Time, service: &Service, name: &id::Backend) -> bool {
        self.warmth(now, service, name) != Warmth::Warm
    }

    /// Reports whether `backend` is warm, or cold but within its rate for `service`.
    pub(super) fn admits(
        &self,
        now: Time,
        config: &Config,
        service: &Service,
        backend: &Backend,
    ) -> bool {
        if !self.counts_as_cold(now, service, &backend.name) {
            return true;
        }
        let Some(rate) = self.cold_rate(now, config, service) else {
            return true;
        };
        if self.awaits_check(now, &backend.name) {
            return false;
        }
        let server = self.servers.get(&backend.name);
        rate.0 > 0.0 && server.is_none_or(|s| s.admits_cold(rate, now))
    }

    /// Returns how many requests a cold server can run at once if a whole answer takes `whole`;
    /// `None` if it is warm or the service sets no rate.
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

    /// Charges a request to `name` against its rate if the server is cold.
    pub(super) fn charge_cold(&mut self, now: Time, service: &Service, name: &id::Backend) {
        if !self.counts_as_cold(now, service, name) {
            return;
        }
        let config = self.config.as_deref();
        if let Some(rate) = config.and_then(|config| self.cold_rate(now, config, service)) {
            let server = self.servers.entry(name.clone()).or_default();
            server.spend_cold(rate, now);
        }
    }
}
