//! One service's roll-out as a box sees it: which servers get requests, when traffic moves, and what end the
//! box wants.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::Backend,
    id::{Release, Service},
    reducer::effect::{Effect, Step},
    rollout::{Entry, Finding, Judge, Order, Permits, Standing, Verdict},
    unit::{Millis, Time},
    wire::{Short, Trial},
};

/// How long before its time is over the traffic of a roll-out moves, at most, and the part of its time: what
/// runs at the old servers ends meanwhile, since they are stopped without a wait.
const LEAD: (Millis, u64) = (Millis(3000), 4);
/// How long before that time the end is written, at most, and the part of its time: the store may be slow.
const FINISH: (Millis, u64) = (Millis(700), 10);
/// How long traffic has moved at least before the end is written: all boxes move within a few looks.
const MOVING: Millis = Millis(500);
/// How many times its time a roll-out is watched that nothing can be said of, before it is rolled back.
const PATIENCE: u64 = 2;
/// For how long after its end the old servers are left alone: they are stopped, and vanish from the list.
const SETTLE: Millis = Millis(60_000);
/// How long some of the new servers get what is exposed before others do, and for how much of it: in the rest
/// each box saves up what it may send, so that they are loaded more than evenly.
pub(super) const TURN: Millis = Millis(1500);
const OPEN: Millis = Millis(750);

/// Which servers of a service get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lane {
    /// Those of the new release get a small part.
    Watched,
    /// Those of the new release get all that they can take.
    Moved,
    /// Those of the new release get nothing.
    Held,
    /// Only those of the new release get anything.
    Done,
}

/// One service's roll-out as this box sees it.
#[derive(Debug, Default)]
pub(super) struct Watch {
    pub(super) entry: Entry,
    /// When the order was given, as far as any box knows.
    pub(super) since: Time,
    pub(super) permits: Permits,
    /// What this box saw, by route.
    pub(super) trials: BTreeMap<Short, Trial>,
    pub(super) judge: Judge,
    /// When traffic moved to the new release.
    pub(super) moved: Option<Time>,
    /// What this box wants written, and since when.
    pub(super) wanted: Option<(Standing, Time)>,
    pub(super) asked: Option<Time>,
    /// When the end was read.
    pub(super) ended: Option<Time>,
    /// Whether there are servers of proven other releases, and whether there ever were since the order.
    pub(super) others: bool,
    pub(super) had_others: bool,
    /// Whether servers of the new release take work.
    pub(super) staffed: bool,
    /// Whether they do in each region where others do.
    pub(super) covering: bool,
    /// Releases that were ordered before and not shown to be good.
    pub(super) unproven: BTreeSet<Release>,
    /// Whether nobody stops the old servers at the end: they then get nothing for as long as it stands.
    pub(super) lasting: bool,
    /// What decided, for operators.
    pub(super) finding: Option<Finding>,
    /// How it ended, where the store came back from a copy that lacks the end.
    lost: Option<Standing>,
}

impl Watch {
    /// Begins anew with what the store holds now.
    pub(super) fn anew(entry: Entry, unproven: BTreeSet<Release>, draw: u64, now: Time) -> Self {
        Self {
            permits: Permits::new(draw),
            since: Time(now.0.saturating_sub(entry.age.0)),
            entry,
            unproven,
            ..Self::default()
        }
    }

    /// Whether requests go to the new release at this time of its turn: the load there is that of the end then,
    /// or more.
    pub(super) fn is_exposing(&self, now: Time) -> bool {
        now.since(self.since).0 % TURN.0 < OPEN.0
    }

    pub(super) fn order(&self) -> Option<&Order> {
        self.entry.order.as_ref()
    }

    /// Whether its end is not written yet.
    pub(super) fn is_open(&self) -> bool {
        self.order().is_some() && !self.entry.standing().is_some_and(Standing::is_end)
    }

    /// How far it has come, whether or not the store still holds that.
    pub(super) fn standing(&self) -> Option<Standing> {
        let written = self.entry.standing();
        written.filter(|w| w.is_end()).or(self.lost).or(written)
    }

    /// Whether `told` is the order that is known, under another number of a later era of the store, or one that
    /// was given out while lost orders are written again.
    fn is_renumbered(&self, told: &Entry, restored: bool) -> bool {
        let (Some(known), Some(told)) = (self.order(), &told.order) else {
            return false;
        };
        let later = match restored {
            true => known.revision < told.revision,
            false => known.revision.era < told.revision.era,
        };
        later && known.release == told.release && known.within == told.within
    }

    /// Whether `told` may be an old copy of what stood before the order that is known.
    pub(super) fn outlasts(&self, told: &Entry) -> bool {
        let same = self.entry.order == told.order;
        self.order().is_some() && !same && !self.is_renumbered(told, true)
    }

    /// Goes on with the order under its new number.
    fn renumber(&mut self, told: &Entry) {
        self.lost = self.standing().filter(|standing| standing.is_end());
        self.entry = told.clone();
        if let Some(order) = &told.order {
            let trials = self.trials.values_mut();
            trials.for_each(|trial| trial.order = order.revision);
        }
    }

    pub(super) fn lane(&self, now: Time) -> Option<Lane> {
        match (self.order(), self.standing()) {
            (_, Some(Standing::Completed)) => {
                let lately = self.lasting || self.ended.is_some_and(|at| now.since(at) < SETTLE);
                lately.then_some(Lane::Done)
            }
            (_, Some(Standing::RolledBack)) | (None, Some(Standing::Active)) => Some(Lane::Held),
            (None, None) => None,
            (Some(_), _) => Some(match self.wanted {
                Some((Standing::RolledBack, _)) => Lane::Held,
                _ if self.moved.is_some() => Lane::Moved,
                _ => Lane::Watched,
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

    /// Whether `backend` gets nothing, whatever the request.
    pub(super) fn bars(&self, backend: &Backend, now: Time) -> bool {
        match self.lane(now) {
            None => false,
            Some(Lane::Held) => self.others && (self.is_new(backend) || self.is_unproven(backend)),
            Some(Lane::Watched) => self.is_unproven(backend),
            Some(Lane::Moved) => self.staffed && self.is_unproven(backend),
            Some(Lane::Done) => self.staffed && !self.is_new(backend),
        }
    }

    /// Looks which servers there are.
    pub(super) fn survey<'a>(&mut self, servers: impl Iterator<Item = &'a Backend>) {
        let (mut old, mut new) = (BTreeSet::new(), BTreeSet::new());
        for backend in servers {
            match self.is_new(backend) {
                true => new.insert(backend.region.clone()),
                false if self.is_unproven(backend) => false,
                false => old.insert(backend.region.clone()),
            };
        }
        self.others = !old.is_empty();
        self.had_others |= self.others;
        self.staffed = !new.is_empty();
        self.covering = self.staffed && old.is_subset(&new);
    }

    /// What this box wants written now, by `verdict`.
    pub(super) fn want(&self, order: &Order, verdict: Verdict, now: Time) -> Standing {
        let age = now.since(self.since);
        let overdue = age >= Millis(order.within.0.saturating_mul(PATIENCE));
        let moved = self.moved.is_some_and(|at| now.since(at) >= MOVING);
        if let Some(end) = self.lost {
            return end;
        }
        let due = age + part(order, FINISH) >= order.within;
        match verdict {
            _ if order.within == Millis(0) => Standing::RolledBack,
            Verdict::Bad(_) => Standing::RolledBack,
            Verdict::Doubtful(_) if age >= order.within && !verdict.is_fair() => {
                Standing::RolledBack
            }
            Verdict::Doubtful(_) if !verdict.is_fair() => Standing::Active,
            _ if moved && (due || !self.had_others) && self.covering => Standing::Completed,
            _ if overdue && self.moved.is_none() => Standing::RolledBack,
            _ => Standing::Active,
        }
    }

    /// Whether its traffic should move now.
    pub(super) fn may_move(&self, order: &Order, verdict: Verdict, now: Time) -> bool {
        // There is nothing to compare with, and nobody to go back to.
        if !self.had_others {
            return self.staffed;
        }
        let age = now.since(self.since);
        let due = age + part(order, LEAD) >= order.within;
        let last_call = age + part(order, FINISH) + MOVING >= order.within;
        let good = matches!(verdict, Verdict::Good(_)) || last_call && verdict.is_fair();
        due && self.covering && good
    }
}

/// The time before the end of `order` at which something is due.
fn part(order: &Order, (most, divisor): (Millis, u64)) -> Millis {
    most.min(Millis(order.within.0 / divisor))
}

/// Takes what is told of one service's roll-out.
pub(super) fn take_entry(
    watches: &mut BTreeMap<Service, Watch>,
    service: &Service,
    told: &Entry,
    draw: u64,
    restored: bool,
    now: Time,
    out: &mut Vec<Effect>,
) {
    let watch = watches.entry(service.clone()).or_default();
    let before = watch.entry.order.as_ref().map(|order| order.revision);
    let after = told.order.as_ref().map(|order| order.revision);
    if watch.is_renumbered(told, restored) {
        watch.renumber(told);
    } else if before != after {
        let mut unproven = std::mem::take(&mut watch.unproven);
        // What was under way is not shown to be good.
        let open = watch.is_open();
        unproven.extend(watch.entry.release().filter(|_| open).cloned());
        unproven.retain(|release| Some(release) != told.release());
        *watch = Watch::anew(told.clone(), unproven, draw, now);
        if let Some(order) = &told.order {
            out.push(Effect::Rollout(Step::Ordered {
                service: service.clone(),
                order: order.clone(),
            }));
        } else if before.is_some() {
            out.push(Effect::Rollout(Step::Withdrawn(service.clone())));
        }
    }
    let known = Time(now.0.saturating_sub(told.age.0));
    watch.since = watch.since.min(known);
    let standing = watch.entry.standing();
    watch.entry.written.clone_from(&told.written);
    let written = watch.entry.standing();
    if let Some(written) = written.filter(|w| Some(*w) != standing || watch.ended.is_none()) {
        if written != Standing::Active {
            watch.ended.get_or_insert(now);
        }
        if Some(written) != standing {
            out.push(Effect::Rollout(Step::Written {
                service: service.clone(),
                standing: written,
            }));
        }
    }
}
