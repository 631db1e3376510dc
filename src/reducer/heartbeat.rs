//! Heartbeats inside a region, the choice of monitors, and the discovery of boxes.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    id::BoxName,
    member::{MIN_HEARTBEAT_PERIOD, Stage},
    policy::Policy,
    reducer::{State, control::Control, effect::Effect},
    settings::Seed,
    unit::{Millis, Time},
    wire::{Body, BrittleServers, ColdServers, Contact, Heartbeat, Load, NameHash, Silent},
};

/// Time for a box learned from others to answer a greeting before it is greeted again.
pub(super) const GREETING_RETRY_INTERVAL: Millis = Millis(1000);
/// A box that knows at most this many others gets the member list from every box that it greets,
/// since it has only its seeds to ask.
const FEW_KNOWN_BOXES: u32 = 3;
/// Boxes that send the member list to a new box. If every box sent it, the bytes of a start would
/// grow with the cube of the region's size.
const MEMBER_LIST_SENDERS: usize = 3;

impl<P: Policy> State<P> {
    /// Sends a heartbeat to every known box and every seed of the region.
    pub(super) fn broadcast_heartbeat(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mine = &self.table.me.region;
        let in_region = |s: &&Seed| match &s.region {
            Some(region) => region == mine,
            None => !self.table.is_in_other_region(&s.gossip),
        };
        let seeds = self.seeds.iter().filter(in_region);
        let known = self.table.peers().map(|p| p.last.contact.gossip);
        let mut targets: BTreeSet<SocketAddr> = seeds.map(|s| s.gossip).chain(known).collect();
        targets.remove(&self.table.me.gossip);
        self.choose_monitors(now);
        let (monitors, others): (Vec<_>, Vec<_>) = targets
            .into_iter()
            .partition(|to| self.control.monitors.contains(to));
        self.send_heartbeat(now, MIN_HEARTBEAT_PERIOD, monitors, out);
        let period = self.table.heartbeat_period();
        self.control.announced_period = period;
        self.send_heartbeat(now, period, others, out);
    }

    /// In a region with long heartbeat periods, sends a heartbeat to the monitors of this box and
    /// checks the boxes that it monitors itself.
    pub(super) fn heartbeat_monitors(&mut self, now: Time, out: &mut Vec<Effect>) {
        let period = self.table.heartbeat_period();
        if period <= MIN_HEARTBEAT_PERIOD {
            return;
        }
        let before = self.control.monitors.clone();
        self.choose_monitors(now);
        let former: Vec<SocketAddr> = before.difference(&self.control.monitors).copied().collect();
        self.send_heartbeat(now, period, former, out);
        let monitors = self.control.monitors.clone();
        self.send_heartbeat(now, MIN_HEARTBEAT_PERIOD, monitors, out);
        if self.control.has_resumed(now) {
            self.report_silent_boxes(now, out);
        }
    }

    /// Chooses the boxes that get heartbeats at the shortest period; none in a region so small that
    /// all boxes get them.
    fn choose_monitors(&mut self, now: Time) {
        let large = self.table.heartbeat_period() > MIN_HEARTBEAT_PERIOD;
        let monitors = self.table.monitors(now);
        let monitors = monitors.into_iter().map(|contact| contact.gossip);
        self.control.monitors = monitors.filter(|_| large).collect();
    }

    /// Probes the monitored boxes that are overdue, or reports them to the region.
    fn report_silent_boxes(&mut self, now: Time, out: &mut Vec<Effect>) {
        for suspicion in self.table.detect_failures(now) {
            let others = self.table.live(now).map(|p| p.last.contact.gossip);
            let others = others.filter(|_| suspicion.stage == Stage::Suspected);
            // The suspected box gets the message as well: if it is alive, it can refute the
            // suspicion.
            let targets: Vec<SocketAddr> = others.chain([suspicion.gossip]).collect();
            let silent = Silent {
                name: suspicion.name,
                incarnation: suspicion.incarnation,
                since: suspicion.silent,
                prober: (suspicion.stage == Stage::Probed).then_some(self.table.me.gossip),
            };
            for to in targets {
                let frame = self.frame(Body::Silent(silent.clone()));
                out.push(Effect::Gossip { to, frame });
            }
        }
    }

    /// Handles a report that a box is silent: marks that box as suspected or, if it is this box,
    /// answers with a heartbeat.
    pub(super) fn receive_silence_report(
        &mut self,
        now: Time,
        silent: &Silent,
        out: &mut Vec<Effect>,
    ) {
        if silent.name != self.table.me.name {
            let Silent {
                name,
                incarnation,
                since,
                ..
            } = silent;
            return self.table.suspect(name, *incarnation, *since, now);
        }
        if let Some(asker) = silent.prober {
            let monitor = self.control.monitors.contains(&asker);
            let period = self.table.heartbeat_period();
            let pace = if monitor {
                MIN_HEARTBEAT_PERIOD
            } else {
                period
            };
            return self.send_heartbeat(now, pace, [asker], out);
        }
        if Control::due(&mut self.control.last_refutation, MIN_HEARTBEAT_PERIOD, now) {
            self.broadcast_heartbeat(now, out);
        }
    }

    pub(super) fn send_heartbeat(
        &mut self,
        now: Time,
        pace: Millis,
        targets: impl IntoIterator<Item = SocketAddr>,
        out: &mut Vec<Effect>,
    ) {
        let mut targets = targets.into_iter().peekable();
        if targets.peek().is_some() {
            let beat = self.heartbeat(now, pace);
            self.send_all(Body::Heartbeat(Box::new(beat)), targets, out);
        }
    }

    fn heartbeat(&self, now: Time, pace: Millis) -> Heartbeat {
        let busy = self.servers.iter().filter(|(_, s)| s.busy > 0);
        let loads = busy.map(|(name, server)| Load {
            backend: NameHash::of(name.as_str()),
            busy: server.busy,
        });
        Heartbeat {
            contact: self.table.me.clone(),
            uptime: now,
            version: self.version(),
            revision: self.revision,
            phase: self.phase(now),
            pace,
            boxes: self.known_boxes(now),
            busy: self.jobs.len() as u32,
            loads: loads.collect(),
            held: self.quarantine.to_report(now),
            limits: self.known_limits(now),
            departures: self.known_departures(now),
            listed: self.listed.iter().copied().collect(),
            uses: match self.table.has_hubs() {
                true => Vec::new(),
                false => self.accounts.to_report(now),
            },
            trials: match self.table.has_hubs() {
                true => Vec::new(),
                false => self.rollouts.observed_trials(now),
            },
            room: self.table.room,
            store_age: self.known_store_age(now),
            path_lost: self.path_lost(),
            heard: self.heard_revision(),
            brittle: BrittleServers(self.known_brittleness(now)),
            cold: ColdServers(self.reported_cold(now)),
        }
    }

    /// Counts the live boxes of this region, and those learned from others that have been greeted.
    fn known_boxes(&self, now: Time) -> u32 {
        let live = self.table.live(now).map(|p| p.last.contact.gossip);
        let live: BTreeSet<SocketAddr> = live.collect();
        let greeted = self.control.greeted.keys().filter(|to| !live.contains(to));
        (live.len() + greeted.count()) as u32
    }

    /// Answers a box that just appeared and knows `boxes` others: sends the member list if it can
    /// contain new entries, and an immediate heartbeat.
    pub(super) fn greet(
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
        let sends_members =
            boxes <= FEW_KNOWN_BOXES || self.table.rank_except(name, now) < MEMBER_LIST_SENDERS;
        if sends_members && contacts.len() as u32 > boxes {
            let frame = self.frame(Body::Members(contacts));
            out.push(Effect::Gossip { to, frame });
        }
        let period = self.table.heartbeat_period();
        self.send_heartbeat(now, period, [to], out);
    }

    /// Greets unknown boxes of this region that another box listed.
    pub(super) fn greet_unknown(&mut self, now: Time, contacts: &[Contact], out: &mut Vec<Effect>) {
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
            last.is_none_or(|at| now.since(*at) >= GREETING_RETRY_INTERVAL)
        });
        greeted.extend(targets.iter().map(|to| (*to, now)));
        let period = self.table.heartbeat_period();
        self.send_heartbeat(now, period, targets, out);
    }
}
