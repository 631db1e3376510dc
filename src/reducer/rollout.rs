//! Roll-outs of another release of a service's backend servers: which requests the new release
//! gets, and how the roll-out ends.
//!
//! The order and its end are kept in the platform's store and arrive with the list of backend
//! servers, so that no box knows a server that was started for an order before it knows the order.
//! Each box judges by the observations of all boxes, keeps requests off a release that it finds
//! bad, and asks the store to record the verdict. The store accepts one verdict for an order, and
//! that one applies to all boxes.

use std::collections::{BTreeMap, HashMap};

use crate::{
    config::Backend,
    fleet,
    id::{self, Service},
    policy::Policy,
    reducer::{
        State,
        control::Control,
        effect::{Effect, Step},
        event::Hop,
        job::Job,
        judge::TimingKey,
        status,
        watch::{EXPOSURE_PERIOD, TrafficMode, Watch, apply_entry},
    },
    rollout::{Baseline, Entry, Exposure, Pool, Standing, Verdict},
    unit::{Millis, Time},
    wire::{NameHash, Trial},
};

/// Time between two checks of the roll-outs.
const CHECK_PERIOD: Millis = Millis(200);
/// Delay per rank before a further box of the region also asks the store to record the end.
const RANK_DELAY: Millis = Millis(300);
/// Time before a box asks the store again, multiplied by its rank, counted from one.
const WRITE_RETRY_PERIOD: Millis = Millis(1000);

/// What a box knows of roll-outs.
#[derive(Debug)]
pub(super) struct Rollouts {
    pub(super) exposure: Exposure,
    pub(super) watches: BTreeMap<Service, Watch>,
    pub(super) typical: HashMap<TimingKey, Baseline>,
    /// The service and route of attempts that broke at servers which are being probed.
    pub(super) broken: HashMap<id::Backend, Vec<(Service, Service)>>,
    last_check: Option<Time>,
    /// The newest roll-outs received since the store came back from a copy, while they may be
    /// outdated.
    unconfirmed: Option<fleet::Rollouts>,
}

impl Rollouts {
    pub(super) fn new(exposure: Exposure) -> Self {
        Self {
            exposure,
            watches: BTreeMap::new(),
            typical: HashMap::new(),
            broken: HashMap::new(),
            last_check: None,
            unconfirmed: None,
        }
    }

    fn open(&self) -> impl Iterator<Item = (&Service, &Watch)> {
        self.watches.iter().filter(|(_, watch)| watch.is_open())
    }

    /// Returns the stored state of all roll-outs, as sent to other boxes.
    pub(super) fn stored_entries(&self, now: Time) -> fleet::Rollouts {
        let entry = |watch: &Watch| Entry {
            age: now.since(watch.since),
            ..watch.entry.clone()
        };
        let rows = self.watches.iter();
        rows.map(|(service, watch)| (service.clone(), entry(watch)))
            .collect()
    }

    /// Returns the answers counted for open roll-outs, as sent to other boxes.
    pub(super) fn observed_trials(&self, now: Time) -> Vec<Trial> {
        let open = self.open().flat_map(|(_, watch)| {
            let age = now.since(watch.since);
            watch.trials.values().map(move |t| Trial { age, ..*t })
        });
        open.collect()
    }

    /// Reports whether a roll-out of one of its services keeps all requests off `backend`.
    pub(super) fn bars(&self, backend: &Backend, now: Time) -> bool {
        let watched = |service| self.watches.get(service);
        let mut watches = backend.serves.iter().filter_map(watched);
        !self.watches.is_empty() && watches.any(|watch| watch.bars(backend, now))
    }

    /// Reports whether `backend` is of a release that gets only a small part of the requests for
    /// `service`.
    pub(super) fn is_on_trial(&self, service: &Service, backend: &Backend, now: Time) -> bool {
        let watch = self.watches.get(service);
        watch.is_some_and(|w| w.traffic_mode(now) == Some(TrafficMode::Trial) && w.is_new(backend))
    }

    /// Records a request that is sent to `backend`.
    pub(super) fn count_send(&mut self, service: &Service, backend: &Backend) {
        if let Some(watch) = self.watches.get_mut(service) {
            let new = watch.is_new(backend);
            watch.permits.spend(new, &self.exposure);
        }
    }
}

impl<P: Policy> State<P> {
    /// Reports whether `backend` gets no requests until an order names its release.
    pub(super) fn awaits_order(&self, backend: &Backend) -> bool {
        let config = self.config.as_ref();
        if !config.is_some_and(|config| config.awaiting.contains(&backend.name)) {
            return false;
        }
        let watches = backend.serves.iter();
        let mut watches = watches.filter_map(|service| self.rollouts.watches.get(service));
        !watches.any(|watch| watch.is_new(backend))
    }

    /// Applies the roll-outs received from the store or from another box.
    pub(super) fn apply_rollouts(
        &mut self,
        now: Time,
        received: &fleet::Rollouts,
        out: &mut Vec<Effect>,
    ) {
        let restored = self.is_restored(now);
        self.rollouts.unconfirmed = restored.then(|| received.clone());
        let watches = &mut self.rollouts.watches;
        watches.retain(|service, _| restored || received.contains_key(service));
        let name = self.table.me.name.as_str().as_bytes();
        for (service, entry) in received {
            if restored && watches.get(service).is_some_and(|w| w.may_supersede(entry)) {
                continue;
            }
            let order = entry
                .order
                .as_ref()
                .map_or(0, |order| order.revision.number);
            let seed = xxhash_rust::xxh3::xxh3_64_with_seed(name, order);
            apply_entry(watches, service, entry, seed, restored, now, out);
            if let Some(watch) = watches.get_mut(service) {
                watch.old_servers_stay = !self.registry;
            }
        }
        self.refresh_servers();
    }

    /// Accepts the roll-outs from an outdated copy of the store that were not written again in the
    /// meantime.
    pub(super) fn confirm_rollouts(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.is_restored(now)
            && let Some(received) = self.rollouts.unconfirmed.take()
        {
            self.apply_rollouts(now, &received, out);
        }
    }

    fn refresh_servers(&mut self) {
        let config = self.config.as_deref();
        let awaits = |b: &Backend| config.is_some_and(|c| c.awaiting.contains(&b.name));
        for (service, watch) in &mut self.rollouts.watches {
            let serving = self.fleet.iter().filter(|b| b.serves.contains(service));
            let release = watch.entry.release().cloned();
            let in_use = |b: &&Backend| !awaits(b) || b.release == release;
            watch.update_servers(serving.filter(|b| !b.leaving).filter(in_use));
        }
    }

    /// Reports whether a roll-out affects where requests of `service` go.
    pub(super) fn is_watched(&self, service: &Service, now: Time) -> bool {
        let watch = self.rollouts.watches.get(service);
        watch.is_some_and(|watch| watch.traffic_mode(now).is_some())
    }

    /// Returns the servers among `usable` to which a roll-out lets this request go.
    pub(super) fn rollout_candidates<'a>(
        &self,
        now: Time,
        service: &Service,
        job: &Job,
        usable: Vec<&'a Backend>,
    ) -> Vec<&'a Backend> {
        let watch = self.rollouts.watches.get(service);
        let Some((watch, mode)) = watch.and_then(|w| Some((w, w.traffic_mode(now)?))) else {
            return usable;
        };
        let free = |b: &&Backend| {
            let server = self.servers.get(&b.name);
            let slots = server.map_or(b.slots, |s| s.slots(b.slots, now));
            let elsewhere = self.table.busy(NameHash::of(b.name.as_str()), now);
            server.map_or(0, |s| s.busy) + elsewhere < slots
        };
        let is_new = |b: &&&Backend| watch.is_new(b);
        match mode {
            TrafficMode::Blocked | TrafficMode::NewOnly => usable,
            TrafficMode::Shifted => {
                let new: Vec<&Backend> = usable.iter().filter(is_new).copied().collect();
                if new.iter().any(free) { new } else { usable }
            }
            TrafficMode::Trial => {
                let (new, old): (Vec<_>, Vec<_>) =
                    usable.into_iter().partition(|b| watch.is_new(b));
                // Only first attempts of requests received directly from callers go to the new
                // release; retries stay at the old one. Relayed requests have few attempts left
                // here, and callers were given their errors although a retry was left.
                let fresh = job.attempts == 0 && job.hop == Hop::Direct;
                let admitted = watch.permits.admit(&self.rollouts.exposure);
                let exposed = fresh && admitted && watch.is_exposing(now);
                if old.is_empty() || !exposed {
                    return old;
                }
                let mut new = self.exposed_servers(now, watch, new);
                new.retain(free);
                if new.is_empty() { old } else { new }
            }
        }
    }

    /// Returns the servers of the new release that are exposed at this time.
    fn exposed_servers<'a>(
        &self,
        now: Time,
        watch: &Watch,
        new: Vec<&'a Backend>,
    ) -> Vec<&'a Backend> {
        let period = now.since(watch.since).0 / EXPOSURE_PERIOD.0;
        let group = self.rollouts.exposure.servers(new.len());
        let first = (period as usize * group) % new.len().max(1);
        let exposed = new.iter().cycle().skip(first).take(group);
        exposed.copied().collect()
    }

    /// Checks each open roll-out, and asks the store to record the state that this box wants.
    pub(super) fn watch_rollouts(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.rollouts.watches.is_empty()
            || !Control::due(&mut self.rollouts.last_check, CHECK_PERIOD, now)
        {
            return;
        }
        self.refresh_servers();
        self.judge_overdue(now);
        let open: Vec<Service> = self.rollouts.open().map(|(name, _)| name.clone()).collect();
        for service in open {
            self.check_rollout(now, &service, out);
        }
    }

    fn check_rollout(&mut self, now: Time, service: &Service, out: &mut Vec<Effect>) {
        let pool = self.pool(now, service);
        let rank = self.table.rank(service.as_str(), now) as u64;
        let ready = self.has_fleet_list && self.control.has_resumed(now);
        let Some(watch) = self.rollouts.watches.get_mut(service) else {
            return;
        };
        let Some(order) = watch.entry.order.clone() else {
            return;
        };
        watch.since = watch.since.min(Time(now.0.saturating_sub(pool.age().0)));
        let verdict = watch.judge.evaluate(pool, now);
        if let Verdict::Good(finding) | Verdict::Doubtful(finding) | Verdict::Bad(finding) = verdict
        {
            watch.finding = Some(finding);
        }
        if !ready {
            return;
        }
        if watch.shifted_at.is_none() && watch.may_move(&order, verdict, now) {
            watch.shifted_at = Some(now);
            out.push(Effect::Rollout(Step::Moved(service.clone())));
        }
        let desired = watch.desired_standing(&order, verdict, now);
        if watch.desired.is_none_or(|(before, _)| before != desired) {
            watch.desired = Some((desired, now));
            watch.last_write = None;
            if desired != Standing::Active {
                out.push(Effect::Rollout(Step::Judged {
                    service: service.clone(),
                    standing: desired,
                    finding: watch.finding.unwrap_or_default(),
                }));
            }
        }
        let since = watch.desired.map_or(now, |(_, since)| since);
        let is_due = now.since(since) >= Millis(RANK_DELAY.0 * rank);
        let retry_period = Millis(WRITE_RETRY_PERIOD.0 * (1 + rank));
        if watch.entry.standing() != Some(desired)
            && is_due
            && Control::due(&mut watch.last_write, retry_period, now)
        {
            out.push(Effect::WriteRollout {
                service: service.clone(),
                order,
                standing: desired,
            });
        }
    }

    /// Returns what this box and the boxes that it hears have observed of a roll-out.
    fn pool(&self, now: Time, service: &Service) -> Pool {
        let short = NameHash::of(service.as_str());
        let order = self.rollouts.watches.get(service).and_then(|w| w.order());
        let revision = order.map(|order| order.revision);
        let here = self.table.trials(self.rollouts.observed_trials(now), now);
        let other_regions = self.table.reachable(now);
        let other_regions = other_regions.flat_map(|(_, remote)| &remote.digest.trials);
        let same = |t: &&Trial| t.service == short && Some(t.order) == revision;
        Pool::gather(here.iter().chain(other_regions).filter(same))
    }

    /// Returns the roll-outs for the status report.
    pub fn rollouts(&self, now: Time) -> Vec<status::Rollout> {
        let row = |(service, watch): (&Service, &Watch)| {
            let pool = self.pool(now, service);
            status::Rollout {
                service: service.clone(),
                release: watch.entry.release().cloned(),
                standing: watch.standing(),
                within: watch.order().map(|order| order.within),
                age: now.since(watch.since),
                moved: watch.shifted_at.is_some(),
                held: watch.traffic_mode(now) == Some(TrafficMode::Blocked),
                answers: pool.answers(),
                finding: watch.finding,
            }
        };
        self.rollouts.watches.iter().map(row).collect()
    }
}
