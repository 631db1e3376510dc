//! Heartbeats, digests, the configuration's way between boxes, freezes and the planned stop.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    config::{Config, Version},
    fleet::Change,
    id::{Backend, BoxName, Domain, Region, Service},
    member::{HEARTBEAT, Stage},
    policy::Policy,
    reducer::{
        FREEZE, JOIN_GRACE, State, WAKE_GRACE,
        effect::{Alarm, Effect, Note},
        event::Source,
    },
    settings::Seed,
    unit::{Millis, Time},
    wire::{Body, Capacity, Contact, Digest, Door, Frame, Heartbeat, Load, Phase, Short, Silent},
};

/// Boxes of a region that watch the store.
const WATCHERS: usize = 2;
/// Boxes that a digest names.
const DOORS: usize = 3;
/// How long a box that others named has to answer a greeting before it is greeted again.
const GREET_AGAIN: Millis = Millis(1000);
/// How long a fetch may take before another is tried.
const FETCH_PATIENCE: Millis = Millis(1000);

/// What the control part remembers.
#[derive(Debug, Default)]
pub(super) struct Control {
    seq: u64,
    last_step: Option<Time>,
    woke: Option<Time>,
    last_beat: Option<Time>,
    last_pulse: Option<Time>,
    last_denial: Option<Time>,
    pub(super) last_roster: Option<Time>,
    /// The boxes that hear this one often.
    monitors: BTreeSet<SocketAddr>,
    /// When addresses that others named were last greeted.
    greeted: HashMap<SocketAddr, Time>,
    last_digest: Option<Time>,
    digests: u64,
    heard: bool,
    leaving: bool,
    pub(super) watching: bool,
    fetching: Option<(Version, Time)>,
    unreadable: Option<Version>,
    told: Option<Alarm>,
    /// The boxes and regions that were live when they were last looked at.
    live: (BTreeSet<BoxName>, BTreeSet<Region>),
}

impl Control {
    /// Whether the box takes work; `alone` says that it need not wait for word from its peers.
    pub(super) fn phase(&self, configured: bool, alone: bool, now: Time) -> Phase {
        if self.leaving {
            return Phase::Leaving;
        }
        let awake = self.is_awake(now);
        let joined = alone || self.heard || now.0 >= JOIN_GRACE.0;
        if configured && awake && joined {
            Phase::Ready
        } else {
            Phase::Unready
        }
    }

    /// Whether the box has heard the news since it last stood still.
    fn is_awake(&self, now: Time) -> bool {
        self.woke.is_none_or(|woke| now.since(woke) >= WAKE_GRACE)
    }

    pub(super) fn due(last: &mut Option<Time>, span: Millis, now: Time) -> bool {
        let due = last.is_none_or(|at| now.since(at) >= span);
        if due {
            *last = Some(now);
        }
        due
    }
}

impl<P: Policy> State<P> {
    pub(super) fn notice_freeze(&mut self, now: Time, out: &mut Vec<Effect>) {
        let gap = self
            .control
            .last_step
            .map_or(Millis(0), |last| now.since(last));
        self.control.last_step = Some(now);
        if gap > FREEZE {
            self.control.woke = Some(now);
            out.push(Effect::Alarm(Alarm::Frozen(gap)));
        }
    }

    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.expire(now, out);
        if self.fleet.sweep(now) {
            self.forget_servers();
        }
        let forgotten = self.ledger.expire(now).into_iter().map(Effect::Forget);
        out.extend(forgotten);
        let period = self.table.heartbeat_period();
        if Control::due(&mut self.control.last_beat, period, now) {
            self.table.sweep(now);
            let greeted = &mut self.control.greeted;
            greeted.retain(|_, at| now.since(*at) < GREET_AGAIN);
            self.budgets.share(self.table.boxes(now));
            self.limiter.sweep(now);
            self.elect(now, out);
            self.note_others(now, out);
            self.beat(now, out);
            self.chase(now, out);
        }
        if Control::due(&mut self.control.last_pulse, HEARTBEAT, now) {
            self.pulse(now, out);
        }
        let period = self.table.digest_period();
        if Control::due(&mut self.control.last_digest, period, now) {
            self.report(now, out);
        }
        self.chase_roster(now, out);
        self.ask_caches(now, out);
        self.move_stalled(now, out);
        self.drain_all(now, out);
    }

    /// Tells which boxes and regions came or went since the last look.
    fn note_others(&mut self, now: Time, out: &mut Vec<Effect>) {
        let boxes = self.table.live(now).map(|p| p.last.contact.name.clone());
        let regions = self.table.reachable(now).map(|(name, _)| name.clone());
        let live = (boxes.collect(), regions.collect());
        let (boxes, regions) = std::mem::replace(&mut self.control.live, live);
        let (new_boxes, new_regions) = &self.control.live;
        let heard = new_boxes.difference(&boxes).cloned().map(Note::Heard);
        let lost = boxes.difference(new_boxes).cloned().map(Note::Lost);
        let reached = new_regions.difference(&regions).cloned().map(Note::Reached);
        let unreached = regions
            .difference(new_regions)
            .cloned()
            .map(Note::Unreached);
        let notes = heard.chain(lost).chain(reached).chain(unreached);
        out.extend(notes.map(Effect::Noted));
    }

    /// Takes or leaves the duty to watch the store.
    fn elect(&mut self, now: Time, out: &mut Vec<Effect>) {
        let watch = self.table.rank("watch", now) < WATCHERS;
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

    /// Sends a heartbeat to every box of the region, known or a seed.
    fn beat(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mine = &self.table.me.region;
        let here = |s: &&Seed| match &s.region {
            Some(region) => region == mine,
            None => !self.table.is_elsewhere(&s.gossip),
        };
        let seeds = self.seeds.iter().filter(here);
        let known = self.table.peers().map(|p| p.last.contact.gossip);
        let mut targets: BTreeSet<SocketAddr> = seeds.map(|s| s.gossip).chain(known).collect();
        targets.remove(&self.table.me.gossip);
        self.choose_monitors(now);
        let (near, far): (Vec<_>, Vec<_>) = targets
            .into_iter()
            .partition(|to| self.control.monitors.contains(to));
        self.send_heartbeat(now, HEARTBEAT, near, out);
        let period = self.table.heartbeat_period();
        self.send_heartbeat(now, period, far, out);
    }

    /// Lets the monitors hear this box, and looks after those that it monitors itself.
    fn pulse(&mut self, now: Time, out: &mut Vec<Effect>) {
        let period = self.table.heartbeat_period();
        if period <= HEARTBEAT {
            return;
        }
        let before = self.control.monitors.clone();
        self.choose_monitors(now);
        let left: Vec<SocketAddr> = before.difference(&self.control.monitors).copied().collect();
        self.send_heartbeat(now, period, left, out);
        let monitors = self.control.monitors.clone();
        self.send_heartbeat(now, HEARTBEAT, monitors, out);
        if self.control.is_awake(now) {
            self.miss_silent(now, out);
        }
    }

    /// Chooses who hears this box often: nobody in a region so small that all do.
    fn choose_monitors(&mut self, now: Time) {
        let large = self.table.heartbeat_period() > HEARTBEAT;
        let monitors = self.table.monitors(now);
        let monitors = monitors.into_iter().map(|contact| contact.gossip);
        self.control.monitors = monitors.filter(|_| large).collect();
    }

    /// Asks the boxes that this one should hear and does not, or tells the region of them.
    fn miss_silent(&mut self, now: Time, out: &mut Vec<Effect>) {
        for silence in self.table.watch_over(now) {
            let others = self.table.live(now).map(|p| p.last.contact.gossip);
            let others = others.filter(|_| silence.stage == Stage::Accused);
            // It may live after all, and says so then.
            let targets: Vec<SocketAddr> = others.chain([silence.gossip]).collect();
            let silent = Silent {
                name: silence.name,
                incarnation: silence.incarnation,
                since: silence.silent,
            };
            for to in targets {
                let frame = self.frame(Body::Silent(silent.clone()));
                out.push(Effect::Gossip { to, frame });
            }
        }
    }

    /// Believes another box that it does not hear a third one; denies it where it is this one.
    fn hear_silent(&mut self, now: Time, silent: &Silent, out: &mut Vec<Effect>) {
        if silent.name != self.table.me.name {
            let Silent {
                name,
                incarnation,
                since,
            } = silent;
            return self.table.accuse(name, *incarnation, *since, now);
        }
        if Control::due(&mut self.control.last_denial, HEARTBEAT, now) {
            self.beat(now, out);
        }
    }

    fn send_heartbeat(
        &mut self,
        now: Time,
        pace: Millis,
        targets: impl IntoIterator<Item = SocketAddr>,
        out: &mut Vec<Effect>,
    ) {
        let mut targets = targets.into_iter().peekable();
        if targets.peek().is_none() {
            return;
        }
        let frame = self.heartbeat(now, pace);
        out.extend(targets.map(|to| Effect::Gossip {
            to,
            frame: frame.clone(),
        }));
    }

    fn heartbeat(&mut self, now: Time, pace: Millis) -> Frame {
        let busy = self.servers.iter().filter(|(_, s)| s.busy > 0);
        let loads = busy.map(|(name, server)| Load {
            backend: Short::of(name.as_str()),
            busy: server.busy,
        });
        let beat = Heartbeat {
            contact: self.table.me.clone(),
            uptime: now,
            version: self.version(),
            phase: self.phase(now),
            pace,
            boxes: self.table.live(now).count() as u32,
            busy: self.jobs.len() as u32,
            loads: loads.collect(),
            listed: self.listed.iter().copied().collect(),
        };
        self.frame(Body::Heartbeat(beat))
    }

    /// Tells the other regions of this one, as far as that is this box's duty.
    fn report(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.control.digests += 1;
        if self.phase(now) == Phase::Leaving {
            return;
        }
        let mut summary = None;
        for region in self.other_regions() {
            if self.table.rank(region.as_str(), now) > 0 {
                continue;
            }
            let Some(to) = self.digest_target(now, &region) else {
                continue;
            };
            let digest = summary.get_or_insert_with(|| self.summary(now)).clone();
            let frame = self.frame(Body::Digest(digest));
            out.push(Effect::Gossip { to, frame });
        }
    }

    /// Tells every other region that this box takes no relays any more; a box there passes it on.
    fn bid_farewell(&mut self, now: Time, out: &mut Vec<Effect>) {
        let digest = self.summary(now);
        for region in self.other_regions() {
            if let Some(to) = self.digest_target(now, &region) {
                let frame = self.frame(Body::Digest(digest.clone()));
                out.push(Effect::Gossip { to, frame });
            }
        }
    }

    fn other_regions(&self) -> Vec<Region> {
        let seeded = self.seeds.iter().filter_map(|s| s.region.clone());
        let configured = self.config.iter().flat_map(|c| c.regions.keys().cloned());
        let heard = self.table.regions().map(|(region, _)| region.clone());
        let mut regions: BTreeSet<Region> = seeded.chain(configured).chain(heard).collect();
        regions.remove(&self.table.me.region);
        regions.into_iter().collect()
    }

    /// Where the next digest for `region` goes: its doors and the seeds there take turns.
    ///
    /// One copy is enough, since its receiver passes it on; the turns get round one that is gone,
    /// and a seed finds a region that was replaced whole.
    fn digest_target(&self, now: Time, region: &Region) -> Option<SocketAddr> {
        let remote = self.table.regions().find(|(name, _)| *name == region);
        let doors = remote.map_or(&[][..], |(_, r)| &r.digest.doors);
        let near = |s: &Seed| {
            self.table
                .peers()
                .any(|p| p.last.contact.gossip == s.gossip)
        };
        let seeds = self.seeds.iter().filter(|s| match &s.region {
            Some(seeded) => seeded == region,
            None => s.gossip != self.table.me.gossip && !near(s),
        });
        let live = remote.is_some_and(|(_, r)| now.since(r.heard) <= self.table.region_suspect());
        let mut targets: Vec<SocketAddr> = doors.iter().map(|d| d.contact.gossip).collect();
        if !live || targets.is_empty() {
            targets.extend(seeds.map(|s| s.gossip));
        }
        let turn = (self.control.digests as usize).checked_rem(targets.len())?;
        targets.get(turn).copied()
    }

    fn summary(&self, now: Time) -> Digest {
        let me = (self.phase(now) == Phase::Ready).then(|| {
            let door = Door {
                contact: self.table.me.clone(),
                incarnation: self.table.incarnation,
                uptime: now,
            };
            (self.jobs.len() as u32, door)
        });
        let others = self.table.ready(now).map(|peer| {
            let door = Door {
                contact: peer.last.contact.clone(),
                incarnation: peer.incarnation,
                uptime: peer.uptime(now),
            };
            (peer.last.busy, door)
        });
        let mut doors: Vec<(u32, Door)> = me.into_iter().chain(others).collect();
        doors.sort_by(|a, b| (a.0, &a.1.contact.name).cmp(&(b.0, &b.1.contact.name)));
        let near = self.table.live(now).map(|p| p.last.version);
        Digest {
            region: self.table.me.region.clone(),
            version: near.max().unwrap_or_default().max(self.version()),
            doors: doors.into_iter().map(|(_, d)| d).take(DOORS).collect(),
            services: self.capacities(now),
            boxes: self.table.live(now).count() as u32 + 1,
            spread: true,
        }
    }

    fn capacities(&self, now: Time) -> Vec<Capacity> {
        let services: BTreeSet<_> = self.fleet.services().collect();
        let capacity = |service| {
            let mut total = Capacity {
                service: Short::of(crate::id::Service::as_str(service)),
                slots: 0,
                busy: 0,
                first: Millis(0),
                whole: Millis(0),
            };
            let mut servers = 0;
            for backend in self.fleet.serving(service, &self.table.me.region) {
                if self.excluded(now, backend).is_some() {
                    continue;
                }
                let server = self.servers.get(&backend.name).cloned().unwrap_or_default();
                total.slots += server.slots(backend.slots, now);
                total.busy += server.busy + self.table.busy(Short::of(backend.name.as_str()));
                total.first.0 += server.first_token(0, now).0;
                total.whole.0 += server.whole().0;
                servers += 1;
            }
            total.first.0 = total.first.0.checked_div(servers)?;
            total.whole.0 = total.whole.0.checked_div(servers)?;
            total.busy += self.waiting_for(service) as u32;
            Some(total)
        };
        services.into_iter().filter_map(capacity).collect()
    }

    /// Asks for a newer configuration where one is known of.
    fn chase(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some((version, contact)) = self.table.newest(now) else {
            return;
        };
        let known = self
            .version()
            .max(self.control.unreadable.unwrap_or_default());
        if version <= known {
            return;
        }
        let patient = |(wanted, since): (Version, Time)| {
            wanted >= version && now.since(since) < FETCH_PATIENCE
        };
        if self.control.fetching.is_some_and(patient) {
            return;
        }
        let peer = contact.peer;
        self.control.fetching = Some((version, now));
        out.push(Effect::Fetch { peer, version });
    }

    pub(super) fn heard(&mut self, now: Time, frame: Frame, out: &mut Vec<Effect>) {
        if !self.table.admit(&frame, now) {
            return;
        }
        match &frame.body {
            Body::Heartbeat(beat) if beat.contact.region == self.table.me.region => {
                self.control.heard = true;
                let to = beat.contact.gossip;
                let fresh = self.table.heartbeat(frame.incarnation, beat.clone(), now);
                if fresh {
                    self.greet(now, to, &frame.from, beat.boxes, out);
                }
            }
            Body::Digest(digest) if digest.region != self.table.me.region => {
                self.control.heard = true;
                self.table.digest(digest.clone(), now);
                if digest.spread {
                    self.spread(now, &frame, digest, out);
                }
            }
            Body::Heartbeat(beat) => self.introduce(now, &beat.contact.clone(), out),
            Body::Reading(reading) => self.hear_reading(now, &frame, *reading, out),
            Body::Holdings(holdings) => self.learn_holdings(now, holdings),
            Body::Members(contacts) => self.meet(now, contacts, out),
            Body::Silent(silent) => self.hear_silent(now, silent, out),
            Body::Digest(_) => {}
        }
        self.chase(now, out);
    }

    /// Answers a box that just appeared and knows `boxes` others: who is here, where that can be
    /// news to it, and a heartbeat at once.
    fn greet(
        &mut self,
        now: Time,
        to: SocketAddr,
        name: &BoxName,
        boxes: u32,
        out: &mut Vec<Effect>,
    ) {
        self.share_holdings(now, to, name, out);
        let contacts = self.table.live(now).map(|p| p.last.contact.clone());
        let contacts: Vec<Contact> = contacts.collect();
        if contacts.len() as u32 > boxes {
            let frame = self.frame(Body::Members(contacts));
            out.push(Effect::Gossip { to, frame });
        }
        let period = self.table.heartbeat_period();
        self.send_heartbeat(now, period, [to], out);
    }

    /// Answers a box of another region that took this one for a neighbour: what is known of the
    /// boxes of its region, and a digest of this one.
    fn introduce(&mut self, now: Time, stranger: &Contact, out: &mut Vec<Effect>) {
        let remote = self.table.regions().find(|(r, _)| **r == stranger.region);
        let doors = remote.map_or(&[][..], |(_, r)| &r.digest.doors);
        let contacts: Vec<Contact> = doors.iter().map(|d| d.contact.clone()).collect();
        let to = stranger.gossip;
        let frame = self.frame(Body::Members(contacts));
        out.push(Effect::Gossip { to, frame });
        if self.phase(now) != Phase::Leaving {
            let digest = self.summary(now);
            let frame = self.frame(Body::Digest(digest));
            out.push(Effect::Gossip { to, frame });
        }
    }

    /// Greets boxes of this region that another one named.
    fn meet(&mut self, now: Time, contacts: &[Contact], out: &mut Vec<Effect>) {
        let mine = self.table.me.clone();
        let unknown = |c: &&Contact| {
            c.region == mine.region
                && c.name != mine.name
                && !self
                    .table
                    .peers()
                    .any(|p| p.last.contact.gossip == c.gossip)
        };
        let unknown: Vec<SocketAddr> = contacts.iter().filter(unknown).map(|c| c.gossip).collect();
        let greeted = &mut self.control.greeted;
        let mut targets = unknown;
        targets.retain(|to| {
            let last = greeted.get(to);
            last.is_none_or(|at| now.since(*at) >= GREET_AGAIN)
        });
        greeted.extend(targets.iter().map(|to| (*to, now)));
        let period = self.table.heartbeat_period();
        self.send_heartbeat(now, period, targets, out);
    }

    /// Passes a digest on inside this region.
    fn spread(&self, now: Time, frame: &Frame, digest: &Digest, out: &mut Vec<Effect>) {
        let body = Body::Digest(Digest {
            spread: false,
            ..digest.clone()
        });
        self.pass_on(now, frame, body, out);
    }

    /// Sends `body` to the boxes of this region in place of that of `frame`, under its maker's name
    /// and number.
    pub(super) fn pass_on(&self, now: Time, frame: &Frame, body: Body, out: &mut Vec<Effect>) {
        let copy = Frame {
            body,
            ..frame.clone()
        };
        out.extend(self.table.live(now).map(|peer| Effect::Gossip {
            to: peer.last.contact.gossip,
            frame: copy.clone(),
        }));
    }

    pub(super) fn offered(
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
                // A peer that lags is no news; a store that went back is.
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
        self.control.told = None;
        self.fleet.configure(&config.backends);
        self.demand
            .retain(|name, _| config.routes.iter().any(|r| r.name == *name));
        self.config = Some(config);
        self.forget_servers();
        out.push(Effect::Adopted(version));
        self.beat(now, out);
        self.report(now, out);
        self.drain_all(now, out);
    }

    /// Takes in what became known of registered backend servers.
    pub(super) fn supplied(&mut self, now: Time, change: Change, out: &mut Vec<Effect>) {
        self.supplied |= matches!(change, Change::List { .. });
        if self.fleet.apply(change, now) {
            self.forget_servers();
        }
        self.drain_all(now, out);
    }

    /// Drops what was learned of backend servers that are gone.
    fn forget_servers(&mut self) {
        let known = |name: &Backend| self.fleet.contains(name);
        self.servers.retain(|name, s| known(name) || s.busy > 0);
        self.cache.retain(|short| self.fleet.long(short).is_some());
    }

    /// Takes over which failure domains are evacuated; those that return may come back cold.
    pub(super) fn evacuate(&mut self, now: Time, domains: BTreeSet<Domain>, out: &mut Vec<Effect>) {
        let config = self.config.clone();
        let profiles = config.as_ref().map(|c| &c.profiles);
        let span = |service: &Service| {
            let profile = profiles.and_then(|p| p.get(service));
            profile.map_or(Millis(0), |p| p.cold_lag)
        };
        for domain in self.evacuated.difference(&domains) {
            self.fleet.chill(domain, span, now);
        }
        self.evacuated = domains;
        self.drain_all(now, out);
    }

    pub(super) fn unreadable(&mut self, version: Version, out: &mut Vec<Effect>) {
        if version <= self.version() {
            return;
        }
        self.control.unreadable = self.control.unreadable.max(Some(version));
        self.alarm(Alarm::Unreadable(version), out);
    }

    /// Tells an alarm once, until another one or a new configuration comes.
    fn alarm(&mut self, alarm: Alarm, out: &mut Vec<Effect>) {
        if self.control.told.as_ref() == Some(&alarm) {
            return;
        }
        self.control.told = Some(alarm.clone());
        out.push(Effect::Alarm(alarm));
    }

    pub(super) fn stop(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.control.leaving = true;
        self.beat(now, out);
        self.bid_farewell(now, out);
    }
}
