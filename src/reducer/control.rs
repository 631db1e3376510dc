//! Handles ticks and messages from other boxes: distribution of the configuration, detection of
//! process freezes, changes of the registered backend servers, and the planned stop.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    config::{self, Config, Version},
    fleet::{Change, Era, Revision},
    id::{Backend, BoxName, Domain, Region, Service},
    member::MIN_HEARTBEAT_PERIOD,
    policy::Policy,
    reducer::{
        JOIN_GRACE, RESUME_GRACE, SUSPENSION_THRESHOLD, State,
        effect::{Alarm, Effect, Follow, Note},
        era::Evacuations,
        event::Source,
        grace::{Ending, Grace},
        heartbeat::GREETING_RETRY_INTERVAL,
        lag::Lag,
        news::PendingChanges,
        roster::Informant,
    },
    unit::{Millis, Time},
    wire::{Body, Frame, Heartbeat, NameHash, Phase},
};

/// Boxes of a region that watch the store for configurations.
const STORE_WATCHERS: usize = 2;
/// Time after which a fetch of a configuration is considered failed and another one may start.
const FETCH_TIMEOUT: Millis = Millis(1000);

/// Timers, membership bookkeeping and store-following state of a box.
#[derive(Debug, Default)]
pub(super) struct Control {
    pub(super) seq: u64,
    last_step: Option<Time>,
    resumed: Option<Time>,
    /// End of the last pause of this process after which live regions may count as silent.
    outdated: Option<Time>,
    last_heartbeat: Option<Time>,
    /// The period until the next heartbeat that the last heartbeat announced to the region.
    pub(super) announced_period: Millis,
    last_monitor_heartbeat: Option<Time>,
    /// When this box last became full or stopped being full.
    pub(super) last_full_change: Option<Time>,
    pub(super) last_refutation: Option<Time>,
    pub(super) last_roster_fetch: Option<Time>,
    /// Requests for a cache inventory that this box has sent to engines.
    pub(super) inventory_requests: usize,
    /// Changes of the store that another box has and this one lacks.
    pub(super) lag: Option<Lag>,
    /// Gossip addresses of the boxes to which this box sends heartbeats at the shortest period.
    pub(super) monitors: BTreeSet<SocketAddr>,
    /// Gossip addresses learned from other boxes, and when each was last sent a greeting.
    pub(super) greeted: HashMap<SocketAddr, Time>,
    pub(super) last_tally: Option<Time>,
    /// Whether the last usage report of this box was empty, and whether the last sums of its region
    /// were.
    pub(super) idle: bool,
    pub(super) idle_region: bool,
    pub(super) last_store_report: Option<Time>,
    /// Whether announced departures of backend servers are still to be sent to the region.
    pub(super) departures_unsent: bool,
    /// The latest era of the store that this box has seen.
    pub(super) era: Era,
    /// When the store last came back from a backup copy.
    pub(super) restored: Option<Time>,
    pub(super) evacuations: Evacuations,
    /// Until when other regions are expected back from a planned stop, as reported by other boxes or
    /// by an earlier digest of that region.
    pub(super) absences: HashMap<Region, Time>,
    /// How this box currently follows the store.
    pub(super) follow: Follow,
    /// Whether this box keeps its watches of the store short.
    pub(super) watches_closely: bool,
    /// Changes from the store that have not been forwarded yet.
    pub(super) pending_changes: PendingChanges,
    /// When this box last received an answer from the store itself.
    pub(super) store_answered: Option<Time>,
    /// When this box, or a box that knew no more, last knew all that the store held.
    pub(super) informed_at: Option<Time>,
    /// Source of this box's newest knowledge of the store.
    pub(super) informant: Option<Informant>,
    /// When a hub last heard from the store, as reported by that hub.
    pub(super) hub_heard_store: Option<Time>,
    last_digest: Option<Time>,
    pub(super) digests: u64,
    heard_peer: bool,
    leaving: bool,
    /// The last part of the planned stop, if the settings say how long it may take.
    pub(super) ending: Option<Ending>,
    pub(super) watching: bool,
    fetching: Option<(Version, Time)>,
    unreadable: Option<Version>,
    last_alarm: Option<Alarm>,
    /// Whether the last check found that this box hears no other box.
    isolated: bool,
    /// The last check that found so.
    pub(super) last_isolated: Option<Time>,
    /// The boxes and regions that were live at the last check.
    live: (BTreeSet<BoxName>, BTreeSet<Region>),
}

impl Control {
    /// Returns whether the box accepts work. With `skip_join` it does not wait to hear from its
    /// peers first.
    pub(super) fn phase(&self, configured: bool, skip_join: bool, now: Time) -> Phase {
        if self.leaving {
            return Phase::Leaving;
        }
        let awake = self.has_resumed(now);
        let joined = skip_join || self.heard_peer || now.0 >= JOIN_GRACE.0;
        if configured && awake && joined {
            Phase::Ready
        } else {
            Phase::Unready
        }
    }

    /// Reports whether enough time has passed since the last freeze of the process for current
    /// messages to have arrived.
    pub(super) fn has_resumed(&self, now: Time) -> bool {
        self.has_run_for(RESUME_GRACE, now)
    }

    /// Reports whether the process has not been frozen within the last `span`.
    pub(super) fn has_run_for(&self, span: Millis, now: Time) -> bool {
        is_older(self.resumed, span, now)
    }

    /// Reports whether this process has heard the other regions for the last `span`, or could have.
    pub(super) fn has_listened_for(&self, span: Millis, now: Time) -> bool {
        now >= Time(0) + span && is_older(self.outdated, span, now)
    }

    pub(super) fn due(last: &mut Option<Time>, span: Millis, now: Time) -> bool {
        let due = last.is_none_or(|at| now.since(at) >= span);
        if due {
            *last = Some(now);
        }
        due
    }
}

/// Reports whether `event` was at least `span` ago, or never.
fn is_older(event: Option<Time>, span: Millis, now: Time) -> bool {
    event.is_none_or(|at| now.since(at) >= span)
}

impl<P: Policy> State<P> {
    pub(super) fn detect_suspension(&mut self, now: Time, out: &mut Vec<Effect>) {
        let pause = self
            .control
            .last_step
            .map_or(Millis(0), |last| now.since(last));
        self.control.last_step = Some(now);
        if pause > self.table.max_pause() {
            self.control.outdated = Some(now);
        }
        if pause > SUSPENSION_THRESHOLD {
            self.control.resumed = Some(now);
            out.push(Effect::Alarm(Alarm::Suspended(pause)));
        }
    }

    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.expire(now, out);
        self.begin_ending(now, out);
        self.give_up_at_end(now, out);
        self.expire_evacuations(now, out);
        self.confirm_rollouts(now, out);
        if self.fleet.sweep(now) {
            self.forget_removed_servers();
        }
        let forgotten = self
            .ledger
            .expire(now)
            .into_iter()
            .map(Effect::DeleteAnswer);
        out.extend(forgotten);
        self.update_full(now, out);
        // Boxes that were last announced a shorter period, when this box knew fewer others, still
        // expect the next heartbeat within it.
        let period = self
            .table
            .heartbeat_period()
            .min(self.control.announced_period);
        if Control::due(&mut self.control.last_heartbeat, period, now) {
            self.table.sweep(now);
            let greeted = &mut self.control.greeted;
            greeted.retain(|_, at| now.since(*at) < GREETING_RETRY_INTERVAL);
            self.table.count_boxes(now);
            self.budgets.set_boxes(self.sharers());
            self.accounts.sweep(now);
            self.quarantine.sweep(now);
            self.update_store_watch(now, out);
            self.report_membership(now, out);
            self.broadcast_heartbeat(now, out);
            self.fetch_newer_config(now, out);
        }
        if Control::due(
            &mut self.control.last_monitor_heartbeat,
            MIN_HEARTBEAT_PERIOD,
            now,
        ) {
            self.heartbeat_monitors(now, out);
        }
        let period = self.table.digest_period();
        if Control::due(&mut self.control.last_digest, period, now) {
            self.send_digests(now, out);
        }
        self.update_follow_mode(now, out);
        self.update_distribution(now);
        self.report_usage(now, out);
        self.watch_rollouts(now, out);
        self.examine_crashes(now, out);
        self.send_cleared(now, out);
        self.update_limit_shares(now);
        self.send_limits(now, out);
        self.follow_brittle(now, out);
        self.send_departures(now, out);
        self.update_lag(now, out);
        self.report_isolation(now, out);
        self.update_reach(now, out);
        self.fetch_missing_roster(now, out);
        self.follow_outage(now, out);
        self.request_inventories(now, out);
        self.update_followed_engines(now, out);
        self.retry_calls(now, out);
        self.move_runs(now, out);
        self.detect_failed(now, out);
        self.move_stalled(now, out);
        self.drain_all(now, out);
    }

    /// Reports the boxes and regions that became live or silent since the last check.
    fn report_membership(&mut self, now: Time, out: &mut Vec<Effect>) {
        let boxes = self.table.live(now).map(|p| p.last.contact.name.clone());
        let regions = self.table.reachable(now).map(|(name, _)| name.clone());
        let live = (boxes.collect(), regions.collect());
        let (boxes, regions) = std::mem::replace(&mut self.control.live, live);
        let (new_boxes, new_regions) = &self.control.live;
        let joined = new_boxes
            .difference(&boxes)
            .cloned()
            .map(Note::BoxReachable);
        let lost = boxes.difference(new_boxes).cloned().map(Note::BoxSilent);
        let reached = new_regions
            .difference(&regions)
            .cloned()
            .map(Note::RegionReachable);
        let unreached = regions
            .difference(new_regions)
            .cloned()
            .map(Note::RegionSilent);
        let notes = joined.chain(lost).chain(reached).chain(unreached);
        out.extend(notes.map(Effect::Noted));
    }

    /// Reports when this box stops or starts hearing other boxes.
    fn report_isolation(&mut self, now: Time, out: &mut Vec<Effect>) {
        let isolated = self.is_isolated(now);
        if isolated {
            self.control.last_isolated = Some(now);
        }
        if isolated != self.control.isolated {
            self.control.isolated = isolated;
            let note = if isolated {
                Note::Isolated
            } else {
                Note::Reconnected {
                    waiting: self.queue.len(),
                    store_age: self.store_age(now),
                }
            };
            out.push(Effect::Noted(note));
        }
    }

    /// Starts or stops watching the store, depending on this box's rank in the region.
    fn update_store_watch(&mut self, now: Time, out: &mut Vec<Effect>) {
        let watch = self.table.rank("watch", now) < STORE_WATCHERS;
        if watch != self.control.watching {
            self.control.watching = watch;
            out.push(Effect::Watch(watch));
        }
    }

    pub(super) fn frame(&mut self, body: Body) -> Frame {
        self.control.seq += 1;
        Frame {
            from: self.table.me.name.clone(),
            incarnation: self.table.incarnation,
            seq: self.control.seq,
            body,
        }
    }

    /// Sends one message to several gossip addresses.
    pub(super) fn send_all(
        &mut self,
        body: Body,
        targets: impl IntoIterator<Item = SocketAddr>,
        out: &mut Vec<Effect>,
    ) {
        let mut targets = targets.into_iter().peekable();
        if targets.peek().is_none() {
            return;
        }
        let frame = self.frame(body);
        out.extend(targets.map(|to| Effect::Gossip {
            to,
            frame: frame.clone(),
        }));
    }

    /// Requests a newer configuration from a box that has one.
    fn fetch_newer_config(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some((version, contact)) = self.table.newest(now) else {
            return;
        };
        let known = self
            .version()
            .max(self.control.unreadable.unwrap_or_default());
        if version <= known {
            return;
        }
        let in_time = |(wanted, since): (Version, Time)| {
            wanted >= version && now.since(since) < FETCH_TIMEOUT
        };
        if self.control.fetching.is_some_and(in_time) {
            return;
        }
        let peer = contact.peer;
        self.control.fetching = Some((version, now));
        out.push(Effect::Fetch { peer, version });
    }

    pub(super) fn receive_frame(&mut self, now: Time, frame: Frame, out: &mut Vec<Effect>) {
        if !self.table.admit(&frame, now) {
            return;
        }
        match &frame.body {
            Body::Heartbeat(beat) if beat.contact.region == self.table.me.region => {
                self.control.heard_peer = true;
                self.receive_held(now, &beat.held, out);
                self.receive_limits(now, &frame.from, &beat.limits, beat.contact.gossip, out);
                self.receive_brittleness(now, &frame.from, &beat.brittle.0, out);
                self.receive_departures(now, &frame.from, &beat.departures, out);
                self.receive_cold(now, &frame.from, &beat.cold.0, out);
                let heard = beat.revision.max(beat.heard.0);
                self.hear_revision(now, &frame.from, heard);
                let source = Some((&frame.from, frame.incarnation));
                self.receive_store_age(now, source, beat.revision, beat.store_age);
                let to = beat.contact.gossip;
                let stayed = self.table.peer(&frame.from);
                let stayed = stayed.is_some_and(|peer| peer.last.phase != Phase::Leaving);
                let fresh =
                    self.table
                        .apply_heartbeat(frame.incarnation, Heartbeat::clone(beat), now);
                if fresh {
                    self.greet(now, to, &frame.from, beat.boxes, out);
                }
                // If all boxes are leaving now, this one may have to report that.
                if stayed && beat.phase == Phase::Leaving && self.phase(now) == Phase::Leaving {
                    self.send_digests(now, out);
                }
            }
            Body::Digest(digest) if digest.region != self.table.me.region => {
                self.control.heard_peer = true;
                self.record_absence(&digest.region);
                self.hear_revision(now, &frame.from, digest.revision);
                self.receive_store_age(now, None, digest.revision, digest.store_age);
                let applied = self.table.apply_digest(&frame.from, digest.clone(), now);
                self.receive_absences(now, &digest.absences);
                self.demand.merge(&digest.used, now);
                self.receive_held(now, &digest.held, out);
                if applied && digest.spread {
                    self.forward_digest(now, &frame, digest, out);
                }
            }
            Body::Heartbeat(beat) => self.answer_foreign_box(now, &beat.contact.clone(), out),
            Body::Reading(reading) => self.receive_reading(now, &frame, *reading, out),
            Body::Holdings(holdings) => self.learn_holdings(now, holdings),
            Body::Members(contacts) => self.greet_unknown(now, contacts, out),
            Body::Silent(silent) => self.receive_silence_report(now, silent, out),
            Body::Report(report) => self.receive_report(now, &frame.from, report),
            Body::Tally(tally) => self.receive_tally(now, &frame.from, tally, out),
            Body::Marks(marks) => self.receive_marks(now, &frame, marks, out),
            Body::Limits(limits) => {
                self.merge_limits(now, &frame.from, limits, out);
            }
            Body::Brittle(reports) => {
                self.receive_brittleness(now, &frame.from, reports, out);
            }
            Body::Departures(departures) => {
                self.receive_departures(now, &frame.from, departures, out);
            }
            Body::StoreSilent => self.receive_store_silence(now, &frame.from, out),
            Body::Cold(rows) => self.receive_cold(now, &frame.from, rows, out),
            Body::Corrections(message) => self.receive_corrections(now, message),
            Body::StoreUpdate(update) => self.receive_store_update(now, &frame.from, update, out),
            Body::Digest(_) => {}
        }
        let version = match &frame.body {
            Body::Heartbeat(beat) => beat.version,
            Body::Digest(digest) => digest.version,
            _ => return,
        };
        // Searching all boxes on every message would take quadratic time in the size of the region.
        if version > self.version() {
            self.fetch_newer_config(now, out);
        }
    }

    pub(super) fn apply_config(
        &mut self,
        now: Time,
        config: Arc<Config>,
        source: Source,
        out: &mut Vec<Effect>,
    ) {
        let current = self.config.as_ref();
        let version = config.version;
        if let Some(current) = current {
            if version < current.version {
                // A lagging peer is expected; a store that offers an older version is not.
                if source == Source::Store {
                    self.alarm(Alarm::Older(version), out);
                }
                return;
            }
            if version == current.version {
                if config.write != current.write {
                    self.alarm(Alarm::Conflict(version), out);
                }
                return;
            }
        }
        self.control.last_alarm = None;
        self.fleet.configure(&config.backends);
        self.demand
            .retain(|name| config.routes.iter().any(|r| r.name == *name));
        self.config = Some(config);
        self.forget_removed_servers();
        out.push(Effect::ConfigApplied(version));
        self.announce_version(now, out);
        self.send_digests(now, out);
        self.drain_all(now, out);
    }

    /// Announces that a new configuration is in force: to all boxes of a small region or, as a hub
    /// of a large one, to the boxes of its failure domain. The other failure domains have hubs of
    /// their own.
    fn announce_version(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.registry || !self.table.has_hubs() {
            return self.broadcast_heartbeat(now, out);
        }
        if self.control.follow == Follow::Hub {
            let period = self.table.heartbeat_period();
            let neighbours = self.table.domain_peers(now);
            self.send_heartbeat(now, period, neighbours, out);
        }
    }

    /// Applies a change of the registered backend servers.
    pub(super) fn apply_fleet_change(
        &mut self,
        now: Time,
        change: Change,
        revision: Revision,
        out: &mut Vec<Effect>,
    ) {
        match &change {
            Change::List { .. } if !self.has_fleet_list => self.changes.reset(revision),
            Change::List { backends, .. } => {
                self.changes.record_gap(self.revision, revision);
                let names = self.fleet.differences(backends).into_iter();
                names.for_each(|name| self.changes.add(revision, name));
            }
            Change::Put(backend) => self.changes.add(revision, backend.name.clone()),
            Change::Removed { name, .. } => self.changes.add(revision, name.clone()),
        }
        self.has_fleet_list |= matches!(change, Change::List { .. });
        if self.fleet.apply(change, now) {
            self.forget_removed_servers();
        }
        for name in self.fleet.take_restarted() {
            self.forget_previous_instance(&name, out);
        }
        self.move_runs(now, out);
        self.drain_all(now, out);
    }

    /// Applies a list of registered backend servers whose end is missing. A server that it does not
    /// name may still be registered; a box without any list takes it for the whole one, since it
    /// could serve nothing otherwise.
    pub(super) fn apply_partial_fleet(
        &mut self,
        now: Time,
        backends: Vec<config::Backend>,
        revision: Revision,
        out: &mut Vec<Effect>,
    ) {
        let changes = match self.has_fleet_list {
            true => backends.into_iter().map(Change::Put).collect(),
            false => vec![Change::List {
                backends,
                grace: Millis(0),
            }],
        };
        for change in changes {
            self.queue_store_change(&change);
            self.apply_fleet_change(now, change, revision, out);
        }
    }

    /// Drops what was learned about the previous instance of a backend server. The restarted one
    /// has an empty cache, and earlier speed and failures do not apply to it. Requests in flight
    /// there end on their own.
    fn forget_previous_instance(&mut self, name: &Backend, out: &mut Vec<Effect>) {
        if let Some(server) = self.servers.get_mut(name) {
            server.reset_after_restart();
        }
        self.cache.forget(NameHash::of(name.as_str()));
        out.push(Effect::Noted(Note::Restarted(name.clone())));
    }

    /// Drops what was learned about backend servers that no longer exist.
    fn forget_removed_servers(&mut self) {
        let known = |name: &Backend| self.fleet.contains(name);
        self.servers.retain(|name, s| known(name) || s.busy > 0);
        self.cache.retain(|short| self.fleet.long(short).is_some());
    }

    /// Replaces the set of failure domains that the store reports as evacuated.
    pub(super) fn set_evacuated(
        &mut self,
        now: Time,
        domains: BTreeSet<Domain>,
        out: &mut Vec<Effect>,
    ) {
        self.control.evacuations.set_reported(domains);
        self.apply_evacuations(now, out);
    }

    /// Applies the set of evacuated failure domains. Backend servers of a domain that returns may
    /// be cold.
    pub(super) fn apply_evacuations(&mut self, now: Time, out: &mut Vec<Effect>) {
        let config = self.config.clone();
        let profiles = config.as_ref().map(|c| &c.profiles);
        let span = |service: &Service| {
            let profile = profiles.and_then(|p| p.get(service));
            profile.map_or(Millis(0), |p| p.cold_lag)
        };
        let domains = self.control.evacuations.effective(now);
        for domain in self.evacuated.difference(&domains) {
            self.fleet.mark_cold(domain, span, now);
        }
        self.evacuated = domains;
        self.drain_all(now, out);
    }

    pub(super) fn reject_config(&mut self, version: Version, out: &mut Vec<Effect>) {
        if version <= self.version() {
            return;
        }
        self.control.unreadable = self.control.unreadable.max(Some(version));
        self.alarm(Alarm::Unreadable(version), out);
    }

    /// Raises an alarm, unless it is the same as the last one and no new configuration has come
    /// since.
    fn alarm(&mut self, alarm: Alarm, out: &mut Vec<Effect>) {
        if self.control.last_alarm.as_ref() == Some(&alarm) {
            return;
        }
        self.control.last_alarm = Some(alarm.clone());
        out.push(Effect::Alarm(alarm));
    }

    pub(super) fn stop(&mut self, now: Time, grace: Option<Grace>, out: &mut Vec<Effect>) {
        self.control.leaving = true;
        self.control.ending = grace.map(|grace| Ending::new(now, grace));
        self.broadcast_heartbeat(now, out);
        self.announce_stop(now, out);
    }
}
