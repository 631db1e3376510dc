//! Another release of a service's backend servers: which requests get it, and how its roll-out ends.
//!
//! The order and its end stand in the platform's store, and come with the list of backend servers, so that no
//! box knows a server that was started for an order before it knows the order. Each box judges by what all of
//! them saw, keeps requests off a release that it finds bad, and asks the store to take its word; the store
//! takes one word for an order, and that one holds everywhere.

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
        judge::Timed,
        status,
        watch::{Lane, TURN, Watch, take_entry},
    },
    rollout::{Entry, Exposure, Pool, Standing, Typical, Verdict},
    unit::{Millis, Time},
    wire::{Short, Trial},
};

/// Time between two looks at a roll-out.
const LOOK: Millis = Millis(200);
/// Time between the boxes of a region, in the order of their ranks, before each asks the store as well.
const IN_TURN: Millis = Millis(300);
/// Time before a box asks the store again.
const AGAIN: Millis = Millis(1000);

/// What a box knows of roll-outs.
#[derive(Debug)]
pub(super) struct Rollouts {
    pub(super) exposure: Exposure,
    pub(super) watches: BTreeMap<Service, Watch>,
    pub(super) typical: HashMap<Timed, Typical>,
    /// Attempts that broke at servers which are knocked at: their services and routes.
    pub(super) broken: HashMap<id::Backend, Vec<(Service, Service)>>,
    last_look: Option<Time>,
    /// What the store told last since it came back from a copy, while that may be too old.
    copied: Option<fleet::Rollouts>,
}

impl Rollouts {
    pub(super) fn new(exposure: Exposure) -> Self {
        Self {
            exposure,
            watches: BTreeMap::new(),
            typical: HashMap::new(),
            broken: HashMap::new(),
            last_look: None,
            copied: None,
        }
    }

    fn open(&self) -> impl Iterator<Item = (&Service, &Watch)> {
        self.watches.iter().filter(|(_, watch)| watch.is_open())
    }

    /// What the other boxes are told of the store's word.
    pub(super) fn tell(&self, now: Time) -> fleet::Rollouts {
        let entry = |watch: &Watch| Entry {
            age: now.since(watch.since),
            ..watch.entry.clone()
        };
        let rows = self.watches.iter();
        rows.map(|(service, watch)| (service.clone(), entry(watch)))
            .collect()
    }

    /// What the other boxes are told of answers.
    pub(super) fn told(&self, now: Time) -> Vec<Trial> {
        let open = self.open().flat_map(|(_, watch)| {
            let age = now.since(watch.since);
            watch.trials.values().map(move |t| Trial { age, ..*t })
        });
        open.collect()
    }

    /// Whether `backend` gets nothing of a service for a roll-out's sake.
    pub(super) fn bars(&self, backend: &Backend, now: Time) -> bool {
        let watched = |service| self.watches.get(service);
        let mut watches = backend.serves.iter().filter_map(watched);
        !self.watches.is_empty() && watches.any(|watch| watch.bars(backend, now))
    }

    /// Whether `backend` is of a release that gets no more than a small part of `service`.
    pub(super) fn is_on_trial(&self, service: &Service, backend: &Backend, now: Time) -> bool {
        let watch = self.watches.get(service);
        watch.is_some_and(|w| w.lane(now) == Some(Lane::Watched) && w.is_new(backend))
    }

    /// Notes a request that goes to `backend`.
    pub(super) fn count_send(&mut self, service: &Service, backend: &Backend) {
        if let Some(watch) = self.watches.get_mut(service) {
            let new = watch.is_new(backend);
            watch.permits.spend(new, &self.exposure);
        }
    }
}

impl<P: Policy> State<P> {
    /// Whether `backend` gets nothing before an order names its release.
    pub(super) fn awaits_order(&self, backend: &Backend) -> bool {
        let config = self.config.as_ref();
        if !config.is_some_and(|config| config.awaiting.contains(&backend.name)) {
            return false;
        }
        let watches = backend.serves.iter();
        let mut watches = watches.filter_map(|service| self.rollouts.watches.get(service));
        !watches.any(|watch| watch.is_new(backend))
    }

    /// Takes what the store, or another box, tells of roll-outs.
    pub(super) fn take_rollouts(
        &mut self,
        now: Time,
        told: &fleet::Rollouts,
        out: &mut Vec<Effect>,
    ) {
        let restored = self.is_restored(now);
        self.rollouts.copied = restored.then(|| told.clone());
        let watches = &mut self.rollouts.watches;
        watches.retain(|service, _| restored || told.contains_key(service));
        let name = self.table.me.name.as_str().as_bytes();
        for (service, entry) in told {
            if restored && watches.get(service).is_some_and(|w| w.outlasts(entry)) {
                continue;
            }
            let order = entry
                .order
                .as_ref()
                .map_or(0, |order| order.revision.number);
            let draw = xxhash_rust::xxh3::xxh3_64_with_seed(name, order);
            take_entry(watches, service, entry, draw, restored, now, out);
            if let Some(watch) = watches.get_mut(service) {
                watch.lasting = !self.registry;
            }
        }
        self.survey();
    }

    /// Believes what an old copy of the store told of roll-outs and was not written again since.
    pub(super) fn take_copied_rollouts(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.is_restored(now)
            && let Some(told) = self.rollouts.copied.take()
        {
            self.take_rollouts(now, &told, out);
        }
    }

    fn survey(&mut self) {
        let config = self.config.as_deref();
        let awaits = |b: &Backend| config.is_some_and(|c| c.awaiting.contains(&b.name));
        for (service, watch) in &mut self.rollouts.watches {
            let serving = self.fleet.iter().filter(|b| b.serves.contains(service));
            let release = watch.entry.release().cloned();
            let in_use = |b: &&Backend| !awaits(b) || b.release == release;
            watch.survey(serving.filter(|b| !b.leaving).filter(in_use));
        }
    }

    /// Whether a roll-out has a say in where requests of `service` go.
    pub(super) fn is_watched(&self, service: &Service, now: Time) -> bool {
        let watch = self.rollouts.watches.get(service);
        watch.is_some_and(|watch| watch.lane(now).is_some())
    }

    /// Those of `usable` that a roll-out lets this request go to.
    pub(super) fn lane<'a>(
        &self,
        now: Time,
        service: &Service,
        job: &Job,
        usable: Vec<&'a Backend>,
    ) -> Vec<&'a Backend> {
        let watch = self.rollouts.watches.get(service);
        let Some((watch, lane)) = watch.and_then(|w| Some((w, w.lane(now)?))) else {
            return usable;
        };
        let free = |b: &&Backend| {
            let server = self.servers.get(&b.name);
            let slots = server.map_or(b.slots, |s| s.slots(b.slots, now));
            let elsewhere = self.table.busy(Short::of(b.name.as_str()), now);
            server.map_or(0, |s| s.busy) + elsewhere < slots
        };
        let is_new = |b: &&&Backend| watch.is_new(b);
        match lane {
            Lane::Held | Lane::Done => usable,
            Lane::Moved => {
                let new: Vec<&Backend> = usable.iter().filter(is_new).copied().collect();
                if new.iter().any(free) { new } else { usable }
            }
            Lane::Watched => {
                let (new, old): (Vec<_>, Vec<_>) =
                    usable.into_iter().partition(|b| watch.is_new(b));
                // What was sent once goes on at the old release. What another box sent on is not exposed: it
                // holds few attempts here, and callers got its errors though a repeat was left to them.
                let fresh = job.attempts == 0 && job.hop == Hop::Direct;
                let admitted = watch.permits.admit(&self.rollouts.exposure);
                let exposed = fresh && admitted && watch.is_exposing(now);
                if old.is_empty() || !exposed {
                    return old;
                }
                let mut new = self.in_turn(now, watch, new);
                new.retain(free);
                if new.is_empty() { old } else { new }
            }
        }
    }

    /// Those servers of the new release whose turn it is.
    fn in_turn<'a>(&self, now: Time, watch: &Watch, new: Vec<&'a Backend>) -> Vec<&'a Backend> {
        let turn = now.since(watch.since).0 / TURN.0;
        let few = self.rollouts.exposure.servers(new.len());
        let first = (turn as usize * few) % new.len().max(1);
        let turns = new.iter().cycle().skip(first).take(few);
        turns.copied().collect()
    }

    /// Looks at each roll-out, and asks the store to take what this box finds.
    pub(super) fn watch_rollouts(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.rollouts.watches.is_empty()
            || !Control::due(&mut self.rollouts.last_look, LOOK, now)
        {
            return;
        }
        self.survey();
        self.judge_overdue(now);
        let open: Vec<Service> = self.rollouts.open().map(|(name, _)| name.clone()).collect();
        for service in open {
            self.watch_one(now, &service, out);
        }
    }

    fn watch_one(&mut self, now: Time, service: &Service, out: &mut Vec<Effect>) {
        let pool = self.pool(now, service);
        let rank = self.table.rank(service.as_str(), now) as u64;
        let ready = self.supplied && self.control.is_awake(now);
        let Some(watch) = self.rollouts.watches.get_mut(service) else {
            return;
        };
        let Some(order) = watch.entry.order.clone() else {
            return;
        };
        watch.since = watch.since.min(Time(now.0.saturating_sub(pool.age().0)));
        let verdict = watch.judge.look(pool, now);
        if let Verdict::Good(finding) | Verdict::Doubtful(finding) | Verdict::Bad(finding) = verdict
        {
            watch.finding = Some(finding);
        }
        if !ready {
            return;
        }
        if watch.moved.is_none() && watch.may_move(&order, verdict, now) {
            watch.moved = Some(now);
            out.push(Effect::Rollout(Step::Moved(service.clone())));
        }
        let want = watch.want(&order, verdict, now);
        if watch.wanted.is_none_or(|(before, _)| before != want) {
            watch.wanted = Some((want, now));
            watch.asked = None;
            if want != Standing::Active {
                out.push(Effect::Rollout(Step::Judged {
                    service: service.clone(),
                    standing: want,
                    finding: watch.finding.unwrap_or_default(),
                }));
            }
        }
        let since = watch.wanted.map_or(now, |(_, since)| since);
        let turn = now.since(since) >= Millis(IN_TURN.0 * rank);
        let again = Millis(AGAIN.0 * (1 + rank));
        if watch.entry.standing() != Some(want)
            && turn
            && Control::due(&mut watch.asked, again, now)
        {
            out.push(Effect::Settle {
                service: service.clone(),
                order,
                standing: want,
            });
        }
    }

    /// What all boxes that this one hears of have seen of a roll-out.
    fn pool(&self, now: Time, service: &Service) -> Pool {
        let short = Short::of(service.as_str());
        let order = self.rollouts.watches.get(service).and_then(|w| w.order());
        let revision = order.map(|order| order.revision);
        let here = self.table.trials(self.rollouts.told(now), now);
        let far = self.table.reachable(now);
        let far = far.flat_map(|(_, remote)| &remote.digest.trials);
        let same = |t: &&Trial| t.service == short && Some(t.order) == revision;
        Pool::gather(here.iter().chain(far).filter(same))
    }

    /// The roll-outs as operators see them.
    pub fn rollouts(&self, now: Time) -> Vec<status::Rollout> {
        let row = |(service, watch): (&Service, &Watch)| {
            let pool = self.pool(now, service);
            status::Rollout {
                service: service.clone(),
                release: watch.entry.release().cloned(),
                standing: watch.standing(),
                within: watch.order().map(|order| order.within),
                age: now.since(watch.since),
                moved: watch.moved.is_some(),
                held: watch.lane(now) == Some(Lane::Held),
                answers: pool.answers(),
                finding: watch.finding,
            }
        };
        self.rollouts.watches.iter().map(row).collect()
    }
}
