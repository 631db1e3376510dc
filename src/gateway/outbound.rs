//! Calls that the reducer requests from the outside: each runs as a task of its own, and its result
//! comes back as an event.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    config::{Parcel, Version},
    fleet::{Revision, Roster},
    gateway::{
        clock::BootInstant,
        core::Core,
        dial, follow, head,
        order::Writer,
        store_writes::{self, QuarantineWrite},
    },
    id::{self, Incarnation},
    platform::{call::Error, engine, liveness},
    reducer::{
        CHECK_TIMEOUT,
        event::{Event, Source},
    },
    rollout::{Order, Standing},
    settings::Interface,
    unit::Millis,
};

impl Core {
    /// Fetches the list of registered backend servers that another box has, or its changes after
    /// `since`.
    pub(super) fn fetch_roster(&self, peer: SocketAddr, since: Option<Revision>) {
        let Some(handle) = self.handle.clone() else {
            return;
        };
        let (pool, settings) = (self.parts.pool.clone(), self.parts.settings.clone());
        tokio::spawn(async move {
            let secret = &settings.cluster_secret;
            let path = head::server_list_path(since);
            match follow::fetch::<Roster>(&pool, peer, &path, secret).await {
                Ok(roster) => {
                    let (servers, evacuated) = (roster.backends.len(), roster.evacuated.len());
                    let what = roster
                        .since
                        .map_or("all".to_owned(), |r| format!("since {r}"));
                    log::info!(
                        "peers: {peer} tells of {servers} backend servers, {what}, gone={} \
                         evacuated={evacuated} store={}",
                        roster.removed.len(),
                        roster.revision
                    );
                    handle.tell(Event::Roster(roster));
                }
                Err(error) => log::warn!("peers: {error:#}"),
            }
        });
    }

    /// Writes to the platform's store, if one is configured.
    pub(super) fn write_quarantine(&self, write: QuarantineWrite) {
        let Some(store) = self.parts.settings.stores.first() else {
            return;
        };
        tokio::spawn(store_writes::write_quarantine(
            *store,
            self.parts.pool.clone(),
            write,
        ));
    }

    /// Writes the state of a roll-out to the store: with our own interface into the configuration
    /// record, with the platform's under its status key.
    pub(super) fn write_rollout_status(
        &self,
        service: id::Service,
        order: Order,
        standing: Standing,
    ) {
        if self.parts.settings.interface == Interface::Own {
            let Some(core) = self.handle.clone() else {
                return;
            };
            let desk = Writer {
                store: self.parts.store.clone(),
                settings: self.parts.settings.clone(),
                current: self.parts.current.subscribe(),
                core,
            };
            tokio::spawn(async move { desk.write_state(service, order, standing).await });
            return;
        }
        let Some(store) = self.parts.settings.stores.first() else {
            return;
        };
        let pool = self.parts.pool.clone();
        tokio::spawn(store_writes::write_rollout_status(
            *store, pool, service, order, standing,
        ));
    }

    /// Probes whether a backend server's process has ended, by whether its port is closed.
    pub(super) fn probe_backend(&self, backend: id::Backend, address: SocketAddr) {
        let Some(handle) = self.handle.clone() else {
            return;
        };
        tokio::spawn(async move {
            let closed = dial::is_port_closed(address).await;
            log::info!("knock: backend={backend} closed={closed}");
            handle.tell(Event::Probed { backend, closed });
        });
    }

    /// Asks a backend server by its liveness check whether it is cold.
    pub(super) fn check_liveness(
        &self,
        backend: id::Backend,
        address: SocketAddr,
        incarnation: Option<Incarnation>,
        path: Arc<str>,
    ) {
        let Some(handle) = self.handle.clone() else {
            return;
        };
        let (pool, metrics) = (self.parts.pool.clone(), self.parts.metrics.clone());
        tokio::spawn(async move {
            let limit = CHECK_TIMEOUT.duration();
            let started = BootInstant::now();
            let answer = liveness::check(&pool, address, &path, &backend, limit).await;
            let outcome = match &answer {
                Ok(Millis(0)) => "warm",
                Ok(_) => "cold",
                Err(Error::NoAnswer) => "silent",
                Err(_) => "unusable",
            };
            metrics.liveness_checks.with_label_values(&[outcome]).inc();
            let took = Millis(started.elapsed().as_millis() as u64);
            log::debug!("check: backend={backend} outcome={outcome} took={took}");
            let cold = answer.ok();
            handle.tell(Event::Checked {
                backend,
                incarnation,
                cold,
            });
        });
    }

    /// Asks an engine which parts of prompts it has cached; without an answer they count as
    /// unknown.
    pub(super) fn fetch_cached_parts(&self, backend: id::Backend, address: SocketAddr) {
        let Some(handle) = self.handle.clone() else {
            return;
        };
        let pool = self.parts.pool.clone();
        tokio::spawn(async move {
            match engine::cached_parts(&pool, address).await {
                Ok(parts) => {
                    log::info!("cache: backend={backend} parts={}", parts.len());
                    handle.tell(Event::Inventory { backend, parts });
                }
                Err(error) => log::warn!("cache: backend={backend} cached parts unknown: {error}"),
            }
        });
    }

    /// Fetches a newer configuration from another box.
    pub(super) fn fetch_config(&self, peer: SocketAddr, version: Version) {
        let Some(handle) = self.handle.clone() else {
            return;
        };
        let (pool, settings) = (self.parts.pool.clone(), self.parts.settings.clone());
        tokio::spawn(async move {
            let secret = &settings.cluster_secret;
            match follow::fetch::<Parcel>(&pool, peer, head::CONFIG_PATH, secret).await {
                Ok(parcel) => follow::offer(&handle, &settings, parcel, Source::Peer),
                Err(error) => log::warn!("config: {version}: {error:#}"),
            }
        });
    }
}
