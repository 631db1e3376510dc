//! What backend servers say that they take from all boxes together, what the boxes of a region tell each
//! other of it, and this box's share.
//!
//! A few boxes of the region share one server's limit, more of them the higher it is, chosen by rank without
//! a word between them; other servers' limits are shared by other boxes.

use std::net::SocketAddr;

use crate::{
    config::Backend,
    id::{self, BoxName},
    limit::{self, Limit, Share, Word, Worth},
    member::{FORGET, Peer},
    policy::Policy,
    reducer::{
        State,
        cold::KEPT,
        effect::{Effect, Note},
        job::Job,
    },
    unit::{Millis, Rate, Time},
    wire::{self, Body, Phase, Short},
};

/// Limits that one message tells of, the newest first: 21 bytes each, 1 KB in all.
const MAX_TOLD: usize = 48;

impl<P: Policy> State<P> {
    /// Takes what an answer of a backend server says of its limit, to a request that was sent at `sent`.
    pub(super) fn hear_limit(
        &mut self,
        now: Time,
        name: &id::Backend,
        word: Word,
        sent: Time,
        out: &mut Vec<Effect>,
    ) {
        if !self.fleet.contains(name) {
            return;
        }
        let server = self.servers.entry(name.clone()).or_default();
        if !server.limit.hear(word, sent, now) {
            return;
        }
        out.push(Effect::Noted(match word {
            Word::Unreadable => Note::Unreadable(name.clone()),
            Word::Silent | Word::Most(_) => limited(name, &server.limit),
        }));
    }

    /// Takes what a heartbeat says of limits, and tells its sender what this box knows better.
    pub(super) fn hear_limits(
        &mut self,
        now: Time,
        from: &BoxName,
        limits: &[wire::Limit],
        to: SocketAddr,
        out: &mut Vec<Effect>,
    ) {
        let old = self.learn_limits(now, from, limits, out);
        if !old.is_empty() {
            self.send_all(Body::Limits(old), [to], out);
        }
    }

    /// Takes what another box says of limits; returns what this box knows better.
    pub(super) fn learn_limits(
        &mut self,
        now: Time,
        from: &BoxName,
        limits: &[wire::Limit],
        out: &mut Vec<Effect>,
    ) -> Vec<wire::Limit> {
        let mut old = Vec::new();
        for told in limits.iter().take(MAX_TOLD) {
            let Some(backend) = self.named_here(told.backend, told.life).cloned() else {
                continue;
            };
            let awake = self.control.is_awake(now);
            let server = self.servers.entry(backend.name.clone()).or_default();
            // Word that waited while this box stood still seems newer than it is; one that lets more
            // through then has to come again.
            if !awake && server.limit.is_loosened_by(told.rate) {
                continue;
            }
            match server.limit.learn(told.rate, now - told.age, from) {
                Worth::News => out.push(Effect::Noted(limited(&backend.name, &server.limit))),
                Worth::Known => {}
                Worth::Old => old.extend(row(&backend, &server.limit, now)),
            }
        }
        old
    }

    /// The backend server of this region that another box speaks of, in this life of it.
    pub(super) fn named_here(&self, backend: Short, life: Short) -> Option<&Backend> {
        let backend = self.fleet.get(self.fleet.long(backend)?)?;
        (self.is_here(backend) && backend.life() == life).then_some(backend)
    }

    /// Whether `backend` stands in this region.
    pub(super) fn is_here(&self, backend: &Backend) -> bool {
        backend.region == self.table.me.region
    }

    /// What the others are told of limits with each heartbeat: a box that started, woke or was cut off
    /// learns them from the first one.
    pub(super) fn known_limits(&self, now: Time) -> Vec<wire::Limit> {
        let limited = self
            .servers
            .iter()
            .filter(|(_, s)| s.limit.rate().is_some());
        let rows = limited.filter_map(|(name, s)| row(self.fleet.get(name)?, &s.limit, now));
        let mut rows: Vec<wire::Limit> = rows.collect();
        rows.sort_unstable_by_key(|row| (row.age, row.backend));
        rows.truncate(MAX_TOLD);
        rows
    }

    /// Tells the boxes of the region at once what this one heard of limits since it last did.
    pub(super) fn tell_limits(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut news = Vec::new();
        for (name, server) in &mut self.servers {
            if server.limit.tell(now)
                && let Some(backend) = self.fleet.get(name)
            {
                news.extend(row(backend, &server.limit, now));
            }
        }
        for news in news.chunks(MAX_TOLD) {
            let near = self.table.live(now).map(|peer| peer.last.contact.gossip);
            let near: Vec<SocketAddr> = near.collect();
            self.send_all(Body::Limits(news.to_vec()), near, out);
        }
    }

    /// Finds this box's shares anew: boxes come and go.
    pub(super) fn split_limits(&mut self, now: Time) {
        let limited = self.servers.iter().filter_map(|(name, server)| {
            let rate = server.limit.rate()?;
            Some((name.clone(), self.limit_share(now, name, rate)))
        });
        let shares: Vec<(id::Backend, Share)> = limited.collect();
        for (name, share) in shares {
            if let Some(server) = self.servers.get_mut(&name) {
                server.limit.split(share, now);
            }
        }
    }

    /// What this box may send of a server's limit; nothing until it knows who else sends.
    ///
    /// Who fell silent without a word may be cut off and send on, so its share is left to it; who said that
    /// it stops has stopped soon after.
    fn limit_share(&self, now: Time, name: &id::Backend, rate: Rate) -> Share {
        if !self.knows_region(now) {
            return Share::default();
        }
        let kept = |peer: &Peer| match peer.last.phase {
            Phase::Leaving => KEPT,
            Phase::Unready | Phase::Ready => FORGET,
        };
        let (rank, boxes) = self.table.standing(name.as_str(), kept, now);
        limit::share(rate, rank, boxes)
    }

    /// How long a request waits for its turn at `name`, behind `ahead` others that go to such servers; none
    /// where this box has no share of its limit.
    pub(super) fn limit_wait(&self, now: Time, name: &id::Backend, ahead: f64) -> Option<Millis> {
        let server = self.servers.get(name);
        server.map_or(Some(Millis(0)), |s| s.limit.wait(ahead, now))
    }

    /// Whether a backend server of this region could take `job` now, but for the limit that it names.
    pub(super) fn is_limited(&self, now: Time, job: &Job) -> bool {
        let Some(plan) = self.config.as_ref().and_then(|c| c.plan(&job.ask).ok()) else {
            return false;
        };
        let here = self.fleet.serving(&plan.service, &self.table.me.region);
        let usable = |b: &&Backend| plan.allows(b) && self.excluded(now, b).is_none();
        let full = |b: &Backend| self.limit_wait(now, &b.name, 0.0) != Some(Millis(0));
        plan.permits(&self.table.me.region) && here.filter(usable).any(full)
    }

    /// Backend servers that name a limit, as far as this box knows.
    pub fn limited(&self) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|server| server.limit.rate().is_some())
            .count()
    }
}

/// What a box tells of a server's limit; none where it knows nothing of one.
fn row(backend: &Backend, limit: &Limit, now: Time) -> Option<wire::Limit> {
    Some(wire::Limit {
        backend: Short::of(backend.name.as_str()),
        life: backend.life(),
        rate: limit.rate(),
        age: now.since(limit.at()?),
    })
}

fn limited(name: &id::Backend, limit: &Limit) -> Note {
    Note::Limited {
        backend: name.clone(),
        rate: limit.rate(),
        teller: limit.teller().cloned(),
    }
}
