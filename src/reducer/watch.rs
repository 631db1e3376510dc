//! One service's roll-out as seen by a box: which servers get requests, when traffic moves, and
//! which end the box wants recorded.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::Backend,
    id::{Release, Service},
    reducer::effect::{Effect, Step},
    rollout::{Entry, Evaluator, Finding, Order, Permits, Standing, Verdict},
    unit::{Millis, Time},
    wire::{NameHash, Trial},
};

/// How long before an order's time is over its traffic moves: at most this long, and at most the
/// time divided by the second value. Requests in flight at the old servers end in between, since
/// these servers are stopped without a grace period.
const SHIFT_LEAD: (Millis, u64) = (Millis(3000), 4);
/// How long before an order's time is over its end is written, bounded in the same way: the store
/// may be slow.
const END_LEAD: (Millis, u64) = (Millis(700), 10);
/// Minimum time between the move of traffic and the end: all boxes move within a few checks.
const MIN_SHIFT_TIME: Millis = Millis(500);
/// Multiple of its order's time after which a roll-out is rolled back if its traffic could not
/// move.
const OVERDUE_FACTOR: u64 = 2;
/// How long the old servers get no requests after the end: they are stopped meanwhile and vanish
/// from the list.
const POST_ROLLOUT_PERIOD: Millis = Millis(60_000);
/// How long one group of the new servers gets the exposed requests before the next one does, and
/// for how much of it. In the rest each box saves up requests, so that the servers get more than an
/// even load.
pub(super) const EXPOSURE_PERIOD: Millis = Millis(1500);
const EXPOSURE_OPEN: Millis = Millis(750);

/// Which servers of a service get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrafficMode {
    /// Servers of the new release get a small part.
    Trial,
    /// Servers of the new release get all that they can take.
    Shifted,
    /// Servers of the new release get nothing.
    Blocked,
    /// Only servers of the new release get anything.
    NewOnly,
}

/// One service's roll-out as seen by this box.
#[derive(Debug, Default)]
pub(super) struct Watch {
    pub(super) entry: Entry,
    /// When the order was given: the earliest time known to any box.
    pub(super) since: Time,
    pub(super) permits: Permits,
    /// The answers that this box counted, by route.
    pub(super) trials: BTreeMap<NameHash, Trial>,
    pub(super) judge: Evaluator,
    /// When traffic moved to the new release.
    pub(super) shifted_at: Option<Time>,
    /// The state that this box wants recorded, and since when it does.
    pub(super) desired: Option<(Standing, Time)>,
    pub(super) last_write: Option<Time>,
    /// When this box first read that the roll-out has ended.
    pub(super) end_read_at: Option<Time>,
    /// Whether servers of other releases than the new and the unproven ones are in use, and whether
    /// there were any since the order.
    pub(super) has_old_servers: bool,
    pub(super) had_old_servers: bool,
    /// Whether servers of the new release are in use.
    pub(super) has_new_servers: bool,
    /// Whether they are in every region where servers of other releases are.
    pub(super) covers_regions: bool,
    /// Releases that were ordered before and not shown to be good.
    pub(super) unproven: BTreeSet<Release>,
    /// Whether nobody stops the old servers at the end. They then get no requests for as long as
    /// the order stays completed.
    pub(super) old_servers_stay: bool,
    /// The finding behind the last verdict, for operators.
    pub(super) finding: Option<Finding>,
    /// How the roll-out ended, if the store came back from a copy that lacks the end.
    lost_end: Option<Standing>,
}

impl Watch {
    /// Starts watching the order that the store holds now.
    pub(super) fn from_entry(
        entry: Entry,
        unproven: BTreeSet<Release>,
        seed: u64,
        now: Time,
    ) -> Self {
        Self {
            permits: Permits::new(seed),
            since: Time(now.0.saturating_sub(entry.age.0)),
            entry,
            unproven,
            ..Self::default()
        }
    }

    /// Reports whether the new release gets requests in this part of the current period. The load
    /// during that part is at least that after the roll-out.
    pub(super) fn is_exposing(&self, now: Time) -> bool {
        now.since(self.since).0 % EXPOSURE_PERIOD.0 < EXPOSURE_OPEN.0
    }

    pub(super) fn order(&self) -> Option<&Order> {
        self.entry.order.as_ref()
    }

    /// Reports whether the order has no recorded end yet.
    pub(super) fn is_open(&self) -> bool {
        self.order().is_some() && !self.entry.standing().is_some_and(Standing::is_end)
    }

    /// Returns the state of the roll-out, including an end that the store has lost.
    pub(super) fn standing(&self) -> Option<Standing> {
        let written = self.entry.standing();
        written.filter(|w| w.is_end()).or(self.lost_end).or(written)
    }

    /// Reports whether `received` is the known order under another revision: of a later era of the
    /// store, or, while lost orders are being restored, of any later number.
    fn is_renumbered(&self, received: &Entry, restored: bool) -> bool {
        let (Some(known), Some(received)) = (self.order(), &received.order) else {
            return false;
        };
        let later = match restored {
            true => known.revision < received.revision,
            false => known.revision.era < received.revision.era,
        };
        later && known.release == received.release && known.within == received.within
    }

    /// Reports whether `received` may be an outdated copy from before the known order.
    pub(super) fn may_supersede(&self, received: &Entry) -> bool {
        let same = self.entry.order == received.order;
        self.order().is_some() && !same && !self.is_renumbered(received, true)
    }

    /// Continues with the order under its new revision.
    fn renumber(&mut self, received: &Entry) {
        self.lost_end = self.standing().filter(|standing| standing.is_end());
        self.entry = received.clone();
        if let Some(order) = &received.order {
            let trials = self.trials.values_mut();
            trials.for_each(|trial| trial.order = order.revision);
        }
    }

    pub(super) fn traffic_mode(&self, now: Time) -> Option<TrafficMode> {
        match (self.order(), self.standing()) {
            (_, Some(Standing::Completed)) => {
                let keep_off_old = self.old_servers_stay
                    || self
                        .end_read_at
                        .is_some_and(|at| now.since(at) < POST_ROLLOUT_PERIOD);
                keep_off_old.then_some(TrafficMode::NewOnly)
            }
            (_, Some(Standing::RolledBack)) | (None, Some(Standing::Active)) => {
                Some(TrafficMode::Blocked)
            }
            (None, None) => None,
            (Some(_), _) => Some(match self.desired {
                Some((Standing::RolledBack, _)) => TrafficMode::Blocked,
                _ if self.shifted_at.is_some() => TrafficMode::Shifted,
                _ => TrafficMode::Trial,
            }),
        }
    }

    pub(super) fn is_new(&self, backend: &Backend) -> bool {
        self.entry.release().is_some() && backend.release.as_ref() == self.entry.release()
    }

    pub(super) fn is_unproven(&self, backend: &Backend) -> bool {
        let release = backend.release.as_ref();
        !self.is_new(backend) && release.is_some_and(|r| self.unproven.contains(r))
    }

    /// Reports whether `backend` gets no requests at all.
    pub(super) fn bars(&self, backend: &Backend, now: Time) -> bool {
        match self.traffic_mode(now) {
            None => false,
            Some(TrafficMode::Blocked) => {
                self.has_old_servers && (self.is_new(backend) || self.is_unproven(backend))
            }
            Some(TrafficMode::Trial) => self.is_unproven(backend),
            Some(TrafficMode::Shifted) => self.has_new_servers && self.is_unproven(backend),
            Some(TrafficMode::NewOnly) => self.has_new_servers && !self.is_new(backend),
        }
    }

    /// Updates which servers are in use.
    pub(super) fn update_servers<'a>(&mut self, servers: impl Iterator<Item = &'a Backend>) {
        let (mut old, mut new) = (BTreeSet::new(), BTreeSet::new());
        for backend in servers {
            match self.is_new(backend) {
                true => new.insert(backend.region.clone()),
                false if self.is_unproven(backend) => false,
                false => old.insert(backend.region.clone()),
            };
        }
        self.has_old_servers = !old.is_empty();
        self.had_old_servers |= self.has_old_servers;
        self.has_new_servers = !new.is_empty();
        self.covers_regions = self.has_new_servers && old.is_subset(&new);
    }

    /// Returns the state that this box wants recorded now, given `verdict`.
    pub(super) fn desired_standing(&self, order: &Order, verdict: Verdict, now: Time) -> Standing {
        let age = now.since(self.since);
        let overdue = age >= Millis(order.within.0.saturating_mul(OVERDUE_FACTOR));
        let moved = self
            .shifted_at
            .is_some_and(|at| now.since(at) >= MIN_SHIFT_TIME);
        if let Some(end) = self.lost_end {
            return end;
        }
        let due = age + lead_time(order, END_LEAD) >= order.within;
        match verdict {
            _ if order.within == Millis(0) => Standing::RolledBack,
            Verdict::Bad(_) => Standing::RolledBack,
            Verdict::Doubtful(_) if age >= order.within && !verdict.is_fair() => {
                Standing::RolledBack
            }
            Verdict::Doubtful(_) if !verdict.is_fair() => Standing::Active,
            _ if moved && (due || !self.had_old_servers) && self.covers_regions => {
                Standing::Completed
            }
            _ if overdue && self.shifted_at.is_none() => Standing::RolledBack,
            _ => Standing::Active,
        }
    }

    /// Reports whether traffic should move to the new release now.
    pub(super) fn may_move(&self, order: &Order, verdict: Verdict, now: Time) -> bool {
        // There are no old servers to compare with or to return to.
        if !self.had_old_servers {
            return self.has_new_servers;
        }
        let age = now.since(self.since);
        let due = age + lead_time(order, SHIFT_LEAD) >= order.within;
        let is_final_check = age + lead_time(order, END_LEAD) + MIN_SHIFT_TIME >= order.within;
        let good = matches!(verdict, Verdict::Good(_)) || is_final_check && verdict.is_fair();
        due && self.covers_regions && good
    }
}

/// Returns how long before the end of `order` an action is due.
fn lead_time(order: &Order, (most, divisor): (Millis, u64)) -> Millis {
    most.min(Millis(order.within.0 / divisor))
}

/// Applies the stored state of one service's roll-out.
pub(super) fn apply_entry(
    watches: &mut BTreeMap<Service, Watch>,
    service: &Service,
    received: &Entry,
    seed: u64,
    restored: bool,
    now: Time,
    out: &mut Vec<Effect>,
) {
    let watch = watches.entry(service.clone()).or_default();
    let before = watch.entry.order.as_ref().map(|order| order.revision);
    let after = received.order.as_ref().map(|order| order.revision);
    if watch.is_renumbered(received, restored) {
        watch.renumber(received);
    } else if before != after {
        let mut unproven = std::mem::take(&mut watch.unproven);
        // An order that was still open was not shown to be good.
        let open = watch.is_open();
        unproven.extend(watch.entry.release().filter(|_| open).cloned());
        unproven.retain(|release| Some(release) != received.release());
        *watch = Watch::from_entry(received.clone(), unproven, seed, now);
        if let Some(order) = &received.order {
            out.push(Effect::Rollout(Step::Ordered {
                service: service.clone(),
                order: order.clone(),
            }));
        } else if before.is_some() {
            out.push(Effect::Rollout(Step::Withdrawn(service.clone())));
        }
    }
    let known = Time(now.0.saturating_sub(received.age.0));
    watch.since = watch.since.min(known);
    let standing = watch.entry.standing();
    watch.entry.written.clone_from(&received.written);
    let written = watch.entry.standing();
    if let Some(written) = written.filter(|w| Some(*w) != standing || watch.end_read_at.is_none()) {
        if written != Standing::Active {
            watch.end_read_at.get_or_insert(now);
        }
        if Some(written) != standing {
            out.push(Effect::Rollout(Step::Written {
                service: service.clone(),
                standing: written,
            }));
        }
    }
}
