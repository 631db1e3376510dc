//! Decides whether an engine fetches the missing parts of a prompt from another engine that holds
//! them, where that is faster than reading them.
//!
//! The box that handles the request decides from what it knows of the engines' caches. It keeps no
//! state about a fetch: if the source has dropped the part by then, or is gone, the engine reads
//! the prompt itself.

use std::net::SocketAddr;

use crate::{
    config::Backend,
    id::{Region, Service},
    memory::{Engine, cache},
    policy::{Place, Policy},
    reducer::{State, job::Job},
    server::Server,
    unit::{Millis, Time},
    wire::NameHash,
};

/// Minimum tokens for a fetch. For fewer, the handshake between the two engines takes as long as
/// reading them.
const MIN_FETCH_TOKENS: u32 = 512;

/// The work for an engine to have a prompt in its memory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Supply {
    /// Tokens that it reads.
    pub(super) read: u32,
    /// Tokens that it fetches from `source`.
    pub(super) fetched: u32,
    /// Duration of the fetch.
    pub(super) span: Millis,
    /// Address of the engine that holds the fetched tokens.
    pub(super) source: Option<SocketAddr>,
}

/// The engines of a region that hold the longest shared part of a prompt.
pub(super) struct Sources<'a> {
    engine: Engine,
    /// Each engine with the tokens of the prompt that it lacks, and a number that differs between
    /// requests.
    holders: Vec<(&'a Backend, u32, u64)>,
}

impl Supply {
    /// Returns the work of `backend` for a prompt of which it lacks `unread` tokens. Without
    /// sources it reads all of them.
    pub(super) fn of(
        sources: Option<&Sources<'_>>,
        backend: &Backend,
        unread: u32,
        server: &Server,
    ) -> Self {
        let read_all = || Self::reading(unread);
        sources.map_or_else(read_all, |sources| sources.supply(backend, unread, server))
    }

    /// Returns the work of an engine that reads all missing tokens itself.
    fn reading(unread: u32) -> Self {
        Self {
            read: unread,
            ..Self::default()
        }
    }
}

impl Sources<'_> {
    /// Returns the work of `backend` for a prompt of which it lacks `unread` tokens.
    fn supply(&self, backend: &Backend, unread: u32, server: &Server) -> Supply {
        let read_all = Supply::reading(unread);
        let others = self.holders.iter();
        // Cached data of another release, which has other weights, cannot be used.
        let others =
            others.filter(|(b, ..)| b.name != backend.name && b.release == backend.release);
        // Links between failure domains are slower. The draw spreads requests for one part over its
        // holders.
        let best =
            others.min_by_key(|(b, lacks, draw)| (*lacks, b.domain != backend.domain, *draw));
        let Some((holder, lacks, _)) = best else {
            return read_all;
        };
        let fetched = unread.saturating_sub(*lacks);
        let span = self.engine.transfer(fetched);
        let Some(span) = span.filter(|span| (span.0 as f64) < server.reading(fetched)) else {
            return read_all;
        };
        if fetched < MIN_FETCH_TOKENS {
            return read_all;
        }
        Supply {
            read: unread - fetched,
            fetched,
            span,
            source: Some(holder.address),
        }
    }
}

impl<P: Policy> State<P> {
    /// Returns the engines of `region` from which `prompt` may be fetched; `None` where the
    /// service's engines cannot transfer memory.
    pub(super) fn sources(
        &self,
        now: Time,
        service: &Service,
        region: &Region,
        job: &Job,
    ) -> Option<Sources<'_>> {
        let engine = self
            .engine(service)
            .filter(|engine| engine.link.is_some())?;
        let prompt = job.prompt.as_ref()?;
        let part = prompt.longest().filter(|p| p.tokens >= cache::LONG)?;
        let holder = |short: NameHash| {
            let backend = self.fleet.get(self.fleet.long(short)?)?;
            let serves = backend.region == *region && backend.serves.contains(service);
            if !serves || !self.is_healthy_source(now, backend) {
                return None;
            }
            let lacks = self.cache.unread(prompt, short, Some(engine.tokens), now);
            let draw = u64::from(short.0).wrapping_mul(job.ask.random | 1);
            (lacks < prompt.tokens).then_some((backend, lacks, draw))
        };
        let holders = self.cache.holders(part.id).filter_map(holder);
        Some(Sources {
            engine,
            holders: holders.collect(),
        })
    }

    /// Reports whether an engine is healthy enough to serve a fetch.
    fn is_healthy_source(&self, now: Time, backend: &Backend) -> bool {
        let failed = |server: &Server| server.failed_at().is_some();
        self.excluded(now, backend).is_none()
            && !self.table.is_down(NameHash::of(backend.name.as_str()), now)
            && !self.fleet.is_cold(&backend.name, now)
            && !self.servers.get(&backend.name).is_some_and(failed)
    }

    /// Returns the work of `place` for `job`, as far as this box knows; `None` for another region.
    pub(super) fn supply(&self, now: Time, job: &Job, place: &Place) -> Option<Supply> {
        let (Some(prompt), Place::Backend(name)) = (&job.prompt, place) else {
            return None;
        };
        let memory = self.memory(&job.service);
        let short = NameHash::of(name.as_str());
        let unread = self.cache.unread(prompt, short, memory, now);
        let region = &self.table.me.region;
        let Some(backend) = self.fleet.get(name) else {
            return Some(Supply::reading(unread));
        };
        let sources = self.sources(now, &job.service, region, job);
        let fresh = Server::default();
        let server = self.servers.get(name).unwrap_or(&fresh);
        Some(Supply::of(sources.as_ref(), backend, unread, server))
    }
}
