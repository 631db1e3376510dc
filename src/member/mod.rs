//! Membership table: the other boxes and regions, as known from their messages.
//!
//! The table is a hint for routing; correctness never depends on it.

mod census;
mod hubs;
mod monitors;
mod peer;
mod rank;
mod room;
mod tally;
mod uses;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, hash_map::Entry},
    hash::Hash,
    net::SocketAddr,
};

use crate::{
    config::Version,
    fleet::Revision,
    id::{BoxName, Incarnation, Region},
    size::Room,
    unit::{Millis, Time},
    wire::{Contact, Digest, Endpoint, Frame, Heartbeat, NameHash, Phase},
};

pub use hubs::Hubs;
pub use peer::{Peer, Remote, Stage, Suspicion};
pub use rank::rendezvous_hash;
pub use room::load;

use census::Census;
use peer::MAX_MISSED;
use rank::Rank;
use tally::Tally;

/// Minimum heartbeat period.
pub const MIN_HEARTBEAT_PERIOD: Millis = Millis(500);
/// Heartbeat period in milliseconds for each other box of the region: the traffic stays bounded as
/// the region grows.
const HEARTBEAT_MS_PER_BOX: u64 = 150;
/// Minimum digest period for one region.
const MIN_DIGEST_PERIOD: Millis = Millis(700);
/// Digest period in milliseconds for each other region.
const DIGEST_MS_PER_REGION: u64 = 170;
/// Time in transit, and until the next tick of its receiver, by which a digest is not yet late.
const DIGEST_DELAY: Millis = Millis(300);
/// How long a silent box is remembered.
pub const PEER_RETENTION: Millis = Millis(60_000);
/// How long no requests of a service are sent to a region after it refused one of them.
const REFUSAL_COOLDOWN: Millis = Millis(300);

#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: Incarnation,
    seq: u64,
    heard: Time,
}

/// Membership table of one box.
#[derive(Debug)]
pub struct Table {
    /// This box.
    pub me: Contact,
    /// Incarnation of this box.
    pub incarnation: Incarnation,
    /// Capacity and overload state of this box.
    pub room: Room,
    peers: BTreeMap<BoxName, Peer>,
    regions: BTreeMap<Region, Remote>,
    seen: HashMap<BoxName, Seen>,
    busy: HashMap<NameHash, u32>,
    /// Addresses that live boxes report as leaving, with the number of boxes that report each.
    leaving_counts: HashMap<SocketAddr, u32>,
    tally: Tally,
    census: Census,
    /// When a message of another box of this region was last received.
    last_peer_heard: Option<Time>,
}

impl Table {
    /// Creates a table that knows only this box.
    pub fn new(me: Contact, incarnation: Incarnation) -> Self {
        Self {
            me,
            incarnation,
            room: Room::default(),
            peers: BTreeMap::new(),
            regions: BTreeMap::new(),
            seen: HashMap::new(),
            busy: HashMap::new(),
            leaving_counts: HashMap::new(),
            tally: Tally::default(),
            census: Census::default(),
            last_peer_heard: None,
        }
    }

    /// Returns the heartbeat period of this region's boxes.
    pub fn heartbeat_period(&self) -> Millis {
        MIN_HEARTBEAT_PERIOD.max(Millis(HEARTBEAT_MS_PER_BOX * self.peers.len() as u64))
    }

    /// Returns the digest period for one region.
    pub fn digest_period(&self) -> Millis {
        MIN_DIGEST_PERIOD.max(Millis(DIGEST_MS_PER_REGION * self.regions.len() as u64))
    }

    /// Returns the time after a digest by which the next one should have been received.
    pub fn digest_due(&self) -> Millis {
        self.digest_period() + DIGEST_DELAY
    }

    /// Returns the longest pause of this process after which no live region counts as silent.
    pub fn max_pause(&self) -> Millis {
        Millis(self.region_timeout().0.saturating_sub(self.digest_due().0))
    }

    /// Returns how long a region may be silent before it is no longer used.
    pub fn region_timeout(&self) -> Millis {
        Millis(MAX_MISSED * self.digest_period().0)
    }

    /// Reports whether `frame` is newer than everything received from its sender, and records it if
    /// so.
    pub fn admit(&mut self, frame: &Frame, now: Time) -> bool {
        if frame.from == self.me.name {
            return false;
        }
        let silent = self
            .region_timeout()
            .max(Millis(MAX_MISSED * MIN_HEARTBEAT_PERIOD.0));
        let fresh = self.seen.get(&frame.from).is_none_or(|seen| {
            if frame.incarnation == seen.incarnation {
                return frame.seq > seen.seq;
            }
            // If the clock was set back, a later incarnation may have a lower number.
            frame.incarnation > seen.incarnation || now.since(seen.heard) > silent
        });
        if fresh {
            let seen = Seen {
                incarnation: frame.incarnation,
                seq: frame.seq,
                heard: now,
            };
            self.seen.insert(frame.from.clone(), seen);
            if self.peers.contains_key(&frame.from) {
                self.last_peer_heard = Some(now);
            }
        }
        fresh
    }

    /// Applies a heartbeat of this region; returns whether the sender's incarnation is new.
    pub fn apply_heartbeat(
        &mut self,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        now: Time,
    ) -> bool {
        for load in &heartbeat.loads {
            *self.busy.entry(load.backend).or_default() += load.busy;
        }
        for address in &heartbeat.listed {
            *self.leaving_counts.entry(*address).or_default() += 1;
        }
        let name = heartbeat.contact.name.clone();
        let peer = Peer {
            incarnation,
            last: heartbeat,
            received_at: now,
            suspected: false,
            overdue_since: None,
        };
        let old = self.peers.insert(name, peer);
        if let Some(old) = &old {
            self.subtract_load(&old.last);
        }
        old.is_none_or(|old| old.incarnation != incarnation)
    }

    fn subtract_load(&mut self, heartbeat: &Heartbeat) {
        for load in &heartbeat.loads {
            decrement(&mut self.busy, load.backend, load.busy);
        }
        for address in &heartbeat.listed {
            decrement(&mut self.leaving_counts, *address, 1);
        }
    }

    /// Reports whether a box of this region reports `address` as leaving.
    pub fn is_listed(&self, address: &SocketAddr) -> bool {
        self.leaving_counts.contains_key(address)
    }

    /// Records that another box has not heard `name` for `silent`; ignored if this box has heard it
    /// since.
    pub fn suspect(&mut self, name: &BoxName, incarnation: Incarnation, silent: Millis, now: Time) {
        let peer = self.peers.get_mut(name);
        let peer =
            peer.filter(|p| p.incarnation == incarnation && now.since(p.received_at) >= silent);
        if let Some(peer) = peer {
            peer.suspected = true;
        }
    }

    /// Applies a digest of another region sent by `reporter`; returns `false` if the current one is
    /// kept.
    ///
    /// A box that has just started, or hears few boxes of its region, sends digests until it hears
    /// the others. Such a digest must not replace a current one that describes at least twice as
    /// many boxes.
    pub fn apply_digest(&mut self, reporter: &BoxName, digest: Digest, now: Time) -> bool {
        let old = self.regions.get(&digest.region);
        let current = old.filter(|old| now.since(old.received_at) <= self.digest_due());
        let is_partial = |old: &Remote| {
            old.reporter != *reporter && old.digest.boxes >= digest.boxes.saturating_mul(2)
        };
        if current.is_some_and(is_partial) {
            return false;
        }
        let silent = self.region_timeout();
        let recovered_at = match old {
            Some(old) if now.since(old.received_at) > silent => Some(now),
            Some(old) => old.recovered_at,
            None => None,
        };
        let closed = digest.endpoints.is_empty();
        let closed_before = old.and_then(|old| old.closed_since);
        let remote = Remote {
            reporter: reporter.clone(),
            recovered_at,
            received_at: now,
            sent: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            closed_since: closed.then(|| closed_before.unwrap_or(now)),
            backoffs: old.map_or_else(BTreeMap::new, |old| old.backoffs.clone()),
            digest,
        };
        let boxes = remote.digest.boxes as usize;
        self.census.record_remote(&remote.digest.region, boxes, now);
        self.regions.insert(remote.digest.region.clone(), remote);
        true
    }

    /// Counts a request of `service` relayed to `region`.
    pub fn record_relay(&mut self, region: &Region, service: NameHash) {
        if let Some(remote) = self.regions.get_mut(region) {
            *remote.sent.entry(service).or_default() += 1;
        }
    }

    /// Uncounts a finished request of `service` that was relayed to `region` at `sent`; a digest
    /// received later already accounts for it.
    pub fn relay_ended(&mut self, region: &Region, service: NameHash, sent: Time) {
        let remote = self.regions.get_mut(region);
        let remote = remote.filter(|r| sent >= r.received_at);
        if let Some(count) = remote.and_then(|r| r.sent.get_mut(&service)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Records that `region` refused a request of `service`, which says nothing about the places of
    /// its other services.
    pub fn relay_refused(&mut self, region: &Region, service: NameHash, now: Time) {
        if let Some(remote) = self.regions.get_mut(region) {
            remote.backoffs.retain(|_, until| now < *until);
            remote.backoffs.insert(service, now + REFUSAL_COOLDOWN);
        }
    }

    /// Records that a relay endpoint could not be reached; it is not used until the next digest.
    pub fn record_unreachable(&mut self, region: &Region, name: &BoxName, now: Time) {
        if let Some(remote) = self.regions.get_mut(region) {
            remote.unreachable.insert(name.clone());
            if !remote.is_open() {
                remote.closed_since.get_or_insert(now);
            }
        }
    }

    /// Returns the attempts that the other boxes of this region have in flight at a backend server.
    pub fn busy(&self, backend: NameHash, now: Time) -> u32 {
        if self.has_fresh_usages(now) {
            return self.tally.busy(backend);
        }
        self.busy.get(&backend).copied().unwrap_or(0)
    }

    /// Returns the box of this region called `name`.
    pub fn peer(&self, name: &BoxName) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns the boxes of this region with recent heartbeats, excluding this one.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.is_live(now))
    }

    /// Returns the live boxes of this region that take work, excluding this one.
    pub fn ready(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.live(now).filter(|p| p.last.phase == Phase::Ready)
    }

    /// Returns every known box of this region, excluding this one.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the boxes of this region that were live at `since`, fell silent after that and did
    /// not announce that they leave.
    pub fn lost_since(&self, since: Time, now: Time) -> impl Iterator<Item = &Peer> {
        let silent = self.peers.values().filter(move |p| !p.is_live(now));
        let staying = silent.filter(|p| p.last.phase != Phase::Leaving);
        staying.filter(move |p| p.received_at + p.max_silence() >= since)
    }

    /// Returns the regions with a recent digest.
    pub fn reachable(&self, now: Time) -> impl Iterator<Item = (&Region, &Remote)> {
        let silent = self.region_timeout();
        let alive = move |(_, r): &(&Region, &Remote)| now.since(r.received_at) <= silent;
        self.regions.iter().filter(alive)
    }

    /// Reports whether `region` has sent a recent digest.
    pub fn is_reachable(&self, region: &Region, now: Time) -> bool {
        let silent = self.region_timeout();
        let remote = self.regions.get(region);
        remote.is_some_and(|remote| now.since(remote.received_at) <= silent)
    }

    /// Reports whether `gossip` is the address of a box known to be in another region.
    pub fn is_in_other_region(&self, gossip: &SocketAddr) -> bool {
        let doors = self.regions.values().flat_map(|r| &r.digest.endpoints);
        doors.into_iter().any(|d| d.contact.gossip == *gossip)
    }

    /// Returns the number of recently known boxes of all regions, including this one.
    pub fn boxes(&self, now: Time) -> usize {
        let far = self.reachable(now).map(|(_, r)| r.digest.boxes as usize);
        self.live(now).count() + 1 + far.sum::<usize>()
    }

    /// Returns the state of `region`.
    pub fn region(&self, region: &Region) -> Option<&Remote> {
        self.regions.get(region)
    }

    /// Returns every known region.
    pub fn regions(&self) -> impl Iterator<Item = (&Region, &Remote)> {
        self.regions.iter()
    }

    /// Returns the relay endpoint of `region` for the `turn`-th request, in round-robin order.
    pub fn relay_endpoint(&self, region: &Region, turn: u64) -> Option<&Endpoint> {
        let doors: Vec<&Endpoint> = self.regions.get(region)?.endpoints().collect();
        let index = usize::try_from(turn)
            .unwrap_or(0)
            .checked_rem(doors.len())?;
        doors.get(index).copied()
    }

    /// Returns the newest configuration version that another box has reported, and a box to fetch
    /// it from. Boxes of this box's failure domain are preferred, and the boxes of a domain choose
    /// differently.
    pub fn newest(&self, now: Time) -> Option<(Version, &Contact)> {
        let near = self.live(now).map(|p| (p.last.version, &p.last.contact));
        let far = self.reachable(now).filter_map(|(_, r)| {
            let door = r.endpoints().next()?;
            Some((r.digest.version, &door.contact))
        });
        let (mine, scale) = (self.me.name.as_str(), self.scale(now));
        near.chain(far).max_by_key(|(version, contact)| {
            let here = contact.domain == self.me.domain;
            let room = self.room_of(contact);
            (*version, here, Rank::of(&contact.name, room, mine, scale))
        })
    }

    /// Returns the newest store revision known to the other live boxes of this region.
    pub fn revision(&self, now: Time) -> Revision {
        let near = self.live(now).map(|p| p.last.revision);
        near.max().unwrap_or_default()
    }

    /// Returns the live boxes of this region that know a store revision newer than `known`, best
    /// first. Boxes that take work come before stopping ones, then those in this box's failure
    /// domain, then those with the newest revision; ties are broken differently at each box.
    pub fn newer_peers(&self, known: Revision, now: Time) -> Vec<&Peer> {
        let has_list = |p: &&Peer| p.last.phase != Phase::Unready;
        let ahead = self.live(now).filter(|p| p.last.revision > known);
        let mut ahead: Vec<&Peer> = ahead.filter(has_list).collect();
        let (mine, scale) = (self.me.name.as_str(), self.scale(now));
        ahead.sort_by_cached_key(|p| {
            let contact = &p.last.contact;
            let takes_work = p.last.phase == Phase::Ready;
            let preferred = Rank::of(&contact.name, p.last.room, mine, scale);
            let is_near = contact.domain == self.me.domain;
            Reverse((takes_work, is_near, p.last.revision, preferred))
        });
        ahead
    }

    /// Returns the region with the newest store revision, if newer than `known`.
    pub fn newest_region(&self, known: Revision, now: Time) -> Option<(&Region, &Remote)> {
        let doors = self.reachable(now).filter(|(_, r)| r.is_open());
        let ahead = doors.filter(|(_, r)| r.digest.revision > known);
        ahead.max_by_key(|(_, r)| r.digest.revision)
    }

    /// Removes boxes that were silent for long, and the reported load of silent ones.
    pub fn sweep(&mut self, now: Time) {
        let is_expired = |heard: Time| now.since(heard) > PEER_RETENTION;
        let gone: Vec<BoxName> = self
            .peers
            .iter()
            .filter(|(_, p)| is_expired(p.received_at))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            if let Some(peer) = self.peers.remove(&name) {
                self.subtract_load(&peer.last);
            }
        }
        // A silent box no longer holds slots, so its last reported load is subtracted.
        let has_load = |p: &&mut Peer| !p.last.loads.is_empty() || !p.last.listed.is_empty();
        let silent: Vec<Heartbeat> = self
            .peers
            .values_mut()
            .filter(|p| !p.is_live(now))
            .filter(has_load)
            .map(|p| Heartbeat {
                loads: std::mem::take(&mut p.last.loads),
                listed: std::mem::take(&mut p.last.listed),
                ..p.last.clone()
            })
            .collect();
        silent
            .iter()
            .for_each(|heartbeat| self.subtract_load(heartbeat));
        self.seen.retain(|_, seen| !is_expired(seen.heard));
    }
}

/// Subtracts `amount` from the count of `key`, and removes the entry at zero.
fn decrement<K: Eq + Hash>(counts: &mut HashMap<K, u32>, key: K, amount: u32) {
    if let Entry::Occupied(mut count) = counts.entry(key) {
        let left = count.get().saturating_sub(amount);
        if left == 0 {
            count.remove();
        } else {
            count.insert(left);
        }
    }
}
