//! Rate limits that backend servers announce for all boxes together, how the boxes of a region
//! share them, and this box's share.
//!
//! A few boxes of the region share one server's limit, more of them the higher it is. They are
//! chosen by rank without communication; the limits of other servers are shared by other boxes.

use std::net::SocketAddr;

use crate::{
    config::Backend,
    id::{self, BoxName},
    limit::{self, Announcement, Freshness, Limit, Share},
    member::{PEER_RETENTION, Peer},
    policy::Policy,
    reducer::{
        State,
        cold::SHARE_RETENTION,
        effect::{Effect, Note},
        job::Job,
    },
    unit::{Millis, Rate, Time},
    wire::{self, Body, NameHash, Phase},
};

/// Maximum number of limits in one message, the newest first: 21 bytes each, 1 KB in all.
const MAX_LIMITS_PER_MESSAGE: usize = 48;

impl<P: Policy> State<P> {
    /// Records the limit in a backend server's answer to a request that was sent at `sent`.
    pub(super) fn record_limit(
        &mut self,
        now: Time,
        name: &id::Backend,
        word: Announcement,
        sent: Time,
        out: &mut Vec<Effect>,
    ) {
        if !self.fleet.contains(name) {
            return;
        }
        let server = self.servers.entry(name.clone()).or_default();
        if !server.limit.apply_announcement(word, sent, now) {
            return;
        }
        out.push(Effect::Noted(match word {
            Announcement::Unreadable => Note::Unreadable(name.clone()),
            Announcement::Absent | Announcement::Rate(_) => limit_note(name, &server.limit),
        }));
    }

    /// Applies the limits in a heartbeat, and sends the ones that were out of date back to its
    /// sender.
    pub(super) fn receive_limits(
        &mut self,
        now: Time,
        from: &BoxName,
        limits: &[wire::Limit],
        to: SocketAddr,
        out: &mut Vec<Effect>,
    ) {
        let outdated = self.merge_limits(now, from, limits, out);
        if !outdated.is_empty() {
            self.send_all(Body::Limits(outdated), [to], out);
        }
    }

    /// Applies limits received from another box; returns the limits for which this box has newer
    /// values.
    pub(super) fn merge_limits(
        &mut self,
        now: Time,
        from: &BoxName,
        limits: &[wire::Limit],
        out: &mut Vec<Effect>,
    ) -> Vec<wire::Limit> {
        let mut outdated = Vec::new();
        for reported in limits.iter().take(MAX_LIMITS_PER_MESSAGE) {
            let Some(backend) = self
                .find_local_backend(reported.backend, reported.life)
                .cloned()
            else {
                continue;
            };
            let awake = self.control.has_resumed(now);
            let server = self.servers.entry(backend.name.clone()).or_default();
            // A message that was delayed while this box was suspended seems newer than it is. A
            // looser limit is ignored until it is received again.
            if !awake && server.limit.is_loosened_by(reported.rate) {
                continue;
            }
            match server
                .limit
                .apply_report(reported.rate, now - reported.age, from)
            {
                Freshness::Newer => {
                    out.push(Effect::Noted(limit_note(&backend.name, &server.limit)))
                }
                Freshness::Same => {}
                Freshness::Older => outdated.extend(wire_limit(&backend, &server.limit, now)),
            }
        }
        outdated
    }

    /// Returns the backend server of this region with this short name, if it is still in the given
    /// incarnation.
    pub(super) fn find_local_backend(&self, backend: NameHash, life: NameHash) -> Option<&Backend> {
        let backend = self.fleet.get(self.fleet.long(backend)?)?;
        (self.is_local(backend) && backend.life() == life).then_some(backend)
    }

    /// Reports whether `backend` is in this box's region.
    pub(super) fn is_local(&self, backend: &Backend) -> bool {
        backend.region == self.table.me.region
    }

    /// Returns the limits to send with each heartbeat: a box that started, resumed or was cut off
    /// learns them from the first one.
    pub(super) fn known_limits(&self, now: Time) -> Vec<wire::Limit> {
        let limited = self
            .servers
            .iter()
            .filter(|(_, s)| s.limit.rate().is_some());
        let rows = limited.filter_map(|(name, s)| wire_limit(self.fleet.get(name)?, &s.limit, now));
        let mut rows: Vec<wire::Limit> = rows.collect();
        rows.sort_unstable_by_key(|row| (row.age, row.backend));
        rows.truncate(MAX_LIMITS_PER_MESSAGE);
        rows
    }

    /// Sends limits that changed since the last time to the boxes of the region at once.
    pub(super) fn send_limits(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut changed = Vec::new();
        for (name, server) in &mut self.servers {
            if server.limit.take_due_report(now)
                && let Some(backend) = self.fleet.get(name)
            {
                changed.extend(wire_limit(backend, &server.limit, now));
            }
        }
        for changed in changed.chunks(MAX_LIMITS_PER_MESSAGE) {
            let neighbours = self.table.live(now).map(|peer| peer.last.contact.gossip);
            let neighbours: Vec<SocketAddr> = neighbours.collect();
            self.send_all(Body::Limits(changed.to_vec()), neighbours, out);
        }
    }

    /// Recomputes this box's shares, as boxes join and leave.
    pub(super) fn update_limit_shares(&mut self, now: Time) {
        let limited = self.servers.iter().filter_map(|(name, server)| {
            let rate = server.limit.rate()?;
            Some((name.clone(), self.limit_share(now, name, rate)))
        });
        let shares: Vec<(id::Backend, Share)> = limited.collect();
        for (name, share) in shares {
            if let Some(server) = self.servers.get_mut(&name) {
                server.limit.set_share(share, now);
            }
        }
    }

    /// Returns how long a silent box keeps its share of what a server takes. One that fell silent
    /// unexpectedly may be cut off and still be sending; one that announced its stop ends soon after.
    pub(super) fn sender_retention(&self, peer: &Peer) -> Millis {
        match peer.last.phase {
            Phase::Leaving => SHARE_RETENTION,
            Phase::Unready | Phase::Ready => PEER_RETENTION,
        }
    }

    /// Returns how much of a server's limit this box may send; nothing until it knows which other
    /// boxes send.
    fn limit_share(&self, now: Time, name: &id::Backend, rate: Rate) -> Share {
        if !self.knows_region(now) {
            return Share::default();
        }
        let retention = |peer: &Peer| self.sender_retention(peer);
        let (rank, boxes) = self.table.rank_among_active(name.as_str(), retention, now);
        limit::share(rate, rank, boxes)
    }

    /// Returns how long a request waits for its turn at `name` behind `ahead` other requests for
    /// limited servers, or `None` if this box has no share of the limit.
    pub(super) fn limit_wait(&self, now: Time, name: &id::Backend, ahead: f64) -> Option<Millis> {
        let server = self.servers.get(name);
        server.map_or(Some(Millis(0)), |s| s.limit.wait(ahead, now))
    }

    /// Reports whether a backend server of this region could take `job` now were it not for its
    /// announced limit.
    pub(super) fn is_limited(&self, now: Time, job: &Job) -> bool {
        let Some(plan) = self.config.as_ref().and_then(|c| c.plan(&job.ask).ok()) else {
            return false;
        };
        let here = self.fleet.serving(&plan.service, &self.table.me.region);
        let usable = |b: &&Backend| plan.permits_backend(b) && self.excluded(now, b).is_none();
        let full = |b: &Backend| self.limit_wait(now, &b.name, 0.0) != Some(Millis(0));
        plan.permits_region(&self.table.me.region) && here.filter(usable).any(full)
    }

    /// Returns the number of backend servers known to announce a limit.
    pub fn limited(&self) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|server| server.limit.rate().is_some())
            .count()
    }
}

/// Returns the wire form of what is known of a server's limit, or `None` if nothing is known.
fn wire_limit(backend: &Backend, limit: &Limit, now: Time) -> Option<wire::Limit> {
    Some(wire::Limit {
        backend: NameHash::of(backend.name.as_str()),
        life: backend.life(),
        rate: limit.rate(),
        age: now.since(limit.effective_at()?),
    })
}

fn limit_note(name: &id::Backend, limit: &Limit) -> Note {
    Note::Limited {
        backend: name.clone(),
        rate: limit.rate(),
        teller: limit.reporter().cloned(),
    }
}
