//! What backend servers are looked up by: service and region, or the short form of a name.

use std::collections::{BTreeSet, HashMap};

use crate::{
    config::Backend,
    id::{self, Region, Service},
    wire::Short,
};

/// The servers of a service in a region.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// In their order.
    pub(super) names: Vec<id::Backend>,
    /// By the hash of their names, so that a few can be found for a key without looking at all.
    ring: BTreeSet<Short>,
}

/// Each change touches its own server alone: thousands register one after another.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    groups: HashMap<Service, HashMap<Region, Group>>,
    shorts: HashMap<Short, id::Backend>,
}

impl Index {
    pub(super) fn add(&mut self, backend: &Backend) {
        let short = Short::of(backend.name.as_str());
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
        let short = Short::of(backend.name.as_str());
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

    /// The name that `short` stands for.
    pub(super) fn long(&self, short: Short) -> Option<&id::Backend> {
        self.shorts.get(&short)
    }

    /// The services that any server serves.
    pub(super) fn services(&self) -> impl Iterator<Item = &Service> {
        self.groups.keys()
    }

    /// The servers of `region` that serve `service`.
    pub(super) fn group(&self, service: &Service, region: &Region) -> Option<&Group> {
        self.groups.get(service)?.get(region)
    }

    /// The same in the order of a ring that begins at `key`: it is the same at every box, and one server that
    /// comes or goes moves no other.
    pub(super) fn around(
        &self,
        service: &Service,
        region: &Region,
        key: u64,
    ) -> impl Iterator<Item = &id::Backend> {
        let ring = self.group(service, region).map(|group| &group.ring);
        let start = Short((key ^ (key >> 32)) as u32);
        let around = ring.map(|ring| ring.range(start..).chain(ring.range(..start)));
        let around = around.into_iter().flatten();
        around.filter_map(|short| self.long(*short))
    }
}
