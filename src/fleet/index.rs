//! Indexes of backend servers by service and region, and by the hash of their name.

use std::collections::{BTreeSet, HashMap};

use crate::{
    config::Backend,
    id::{self, Region, Service},
    wire::NameHash,
};

/// Servers of one service in one region.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// Sorted names.
    pub(super) names: Vec<id::Backend>,
    /// Hashes of the names, so that a few servers can be found for a key without a scan of all.
    ring: BTreeSet<NameHash>,
}

/// Lookup tables; a change touches only the entries of its own server, because thousands of servers
/// register one after another.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    groups: HashMap<Service, HashMap<Region, Group>>,
    shorts: HashMap<NameHash, id::Backend>,
}

impl Index {
    pub(super) fn add(&mut self, backend: &Backend) {
        let short = NameHash::of(backend.name.as_str());
        self.shorts.insert(short, backend.name.clone());
        for service in &backend.serves {
            let regions = self.groups.entry(service.clone()).or_default();
            let group = regions.entry(backend.region.clone()).or_default();
            group.ring.insert(short);
            if let Err(at) = group.names.binary_search(&backend.name) {
                group.names.insert(at, backend.name.clone());
            }
        }
    }

    pub(super) fn remove(&mut self, backend: &Backend) {
        let short = NameHash::of(backend.name.as_str());
        self.shorts.remove(&short);
        for service in &backend.serves {
            let Some(regions) = self.groups.get_mut(service) else {
                continue;
            };
            if let Some(group) = regions.get_mut(&backend.region)
                && let Ok(at) = group.names.binary_search(&backend.name)
            {
                group.names.remove(at);
                group.ring.remove(&short);
            }
            regions.retain(|_, group| !group.names.is_empty());
            if regions.is_empty() {
                self.groups.remove(service);
            }
        }
    }

    /// Returns the full name for the hash `short`.
    pub(super) fn name_of(&self, short: NameHash) -> Option<&id::Backend> {
        self.shorts.get(&short)
    }

    /// Returns the services that any server provides.
    pub(super) fn services(&self) -> impl Iterator<Item = &Service> {
        self.groups.keys()
    }

    /// Returns the servers of `region` that serve `service`.
    pub(super) fn group(&self, service: &Service, region: &Region) -> Option<&Group> {
        self.groups.get(service)?.get(region)
    }

    /// Returns the servers of `region` that serve `service` in ring order from `key`. The order is
    /// the same at every box, and adding or removing one server does not move any other.
    pub(super) fn ring_from(
        &self,
        service: &Service,
        region: &Region,
        key: u64,
    ) -> impl Iterator<Item = &id::Backend> {
        let ring = self.group(service, region).map(|group| &group.ring);
        let start = NameHash((key ^ (key >> 32)) as u32);
        let hashes = ring.map(|ring| ring.range(start..).chain(ring.range(..start)));
        let hashes = hashes.into_iter().flatten();
        hashes.filter_map(|short| self.name_of(*short))
    }
}
