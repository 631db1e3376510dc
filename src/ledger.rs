//! What this box remembers of the keys it has run, until each expires.

use std::collections::{BTreeSet, HashMap};

use crate::{
    id,
    pin::{Digest, Key},
    unit::{Millis, Time},
};

/// Most keys remembered at once; a new key is refused as not run beyond it.
pub const MAX_KEYS: usize = 100_000;
/// Most requests that wait for one running key.
pub const MAX_JOINERS: usize = 16;

/// How soon an expired key that still runs is looked at again.
const RECHECK: Millis = Millis(1000);

/// How far the request of a key has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is in hand; the joiners wait for its answer.
    Running {
        /// Re-sends that wait.
        joiners: Vec<id::Request>,
    },
    /// It ran and its answer went out whole.
    Finished,
    /// It may have run; nobody knows.
    Unknown,
    /// Its caller was told "not run", so it never will: an older send of it may still be on its
    /// way here.
    Void,
}

/// A key within its caller's own space.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Slot {
    customer: id::Customer,
    digest: Digest,
}

impl Slot {
    fn of(customer: &id::Customer, key: &Key) -> Self {
        Self {
            customer: customer.clone(),
            digest: key.digest,
        }
    }
}

/// One remembered key.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request that runs it, or ran it.
    pub owner: id::Request,
    /// Its progress.
    pub phase: Phase,
    content: u64,
    expiry: Time,
}

/// What became of a key that was brought to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The key is new and now belongs to the request.
    Fresh,
    /// The request waits for this one, which is in hand.
    Joined(id::Request),
    /// The key ran as this request; its answer may be at hand.
    Finished(id::Request),
    /// The key may have run.
    Unknown,
    /// The key never ran and never will.
    Void,
    /// The key was used for another request.
    Mismatch,
    /// The ledger, or the line of joiners, is full; nothing is known of the key.
    Full,
}

/// The remembered keys of one box.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<Slot, Entry>,
    ends: BTreeSet<(Time, id::Request)>,
    owners: HashMap<id::Request, Slot>,
}

impl Ledger {
    /// Brings a caller's `key` for `request`; the pin was found to name this box and to live.
    pub fn claim(&mut self, customer: &id::Customer, key: &Key, request: id::Request) -> Outcome {
        let slot = Slot::of(customer, key);
        if let Some(entry) = self.entries.get_mut(&slot) {
            return entry.meet(key, request);
        }
        if self.entries.len() >= MAX_KEYS {
            return Outcome::Full;
        }
        self.insert(slot, key, request, Phase::Running { joiners: vec![] });
        Outcome::Fresh
    }

    /// Rules out that an unknown `key` ever runs; false where it may have, or cannot be ruled out.
    pub fn void(&mut self, customer: &id::Customer, key: &Key, request: id::Request) -> bool {
        let slot = Slot::of(customer, key);
        if let Some(entry) = self.entries.get(&slot) {
            return entry.phase == Phase::Void;
        }
        if self.entries.len() >= MAX_KEYS {
            return false;
        }
        self.insert(slot, key, request, Phase::Void);
        true
    }

    /// Whether a caller's `key` is remembered.
    pub fn knows(&self, customer: &id::Customer, key: &Key) -> bool {
        self.entries.contains_key(&Slot::of(customer, key))
    }

    fn insert(&mut self, slot: Slot, key: &Key, request: id::Request, phase: Phase) {
        let entry = Entry {
            owner: request,
            phase,
            content: key.content,
            expiry: key.pin.expiry,
        };
        self.entries.insert(slot.clone(), entry);
        self.ends.insert((key.pin.expiry, request));
        self.owners.insert(request, slot);
    }

    /// Notes how the owner ended and returns the requests that waited for it.
    pub fn settle(&mut self, owner: id::Request, phase: Phase) -> Vec<id::Request> {
        let Some(entry) = self.owned(owner) else {
            return vec![];
        };
        let Phase::Running { joiners } = &mut entry.phase else {
            return vec![];
        };
        let joiners = std::mem::take(joiners);
        entry.phase = phase;
        joiners
    }

    /// Makes `joiner`, which waits for `owner`, the owner in its place; `owner` then waits for it.
    pub fn hand_over(&mut self, owner: id::Request, joiner: id::Request) {
        let Some(slot) = self.owners.remove(&owner) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&slot) {
            entry.owner = joiner;
            if let Phase::Running { joiners } = &mut entry.phase {
                joiners.retain(|j| *j != joiner);
                joiners.push(owner);
            }
            self.ends.remove(&(entry.expiry, owner));
            self.ends.insert((entry.expiry, joiner));
        }
        self.owners.insert(joiner, slot);
    }

    /// Takes a joiner out whose caller went away.
    pub fn leave(&mut self, owner: id::Request, joiner: id::Request) {
        if let Some(Phase::Running { joiners }) = self.owned(owner).map(|e| &mut e.phase) {
            joiners.retain(|j| *j != joiner);
        }
    }

    fn owned(&mut self, owner: id::Request) -> Option<&mut Entry> {
        let slot = self.owners.get(&owner)?;
        self.entries.get_mut(slot)
    }

    /// Forgets the keys whose time is over and returns their owners; one in hand stays.
    pub fn expire(&mut self, now: Time) -> Vec<id::Request> {
        let mut gone = Vec::new();
        while let Some(&(end, owner)) = self.ends.first() {
            if end > now {
                break;
            }
            if self.is_running(owner) {
                // Looked at again once it has ended.
                self.ends.remove(&(end, owner));
                let later = now + RECHECK;
                self.ends.insert((later, owner));
                if let Some(entry) = self.owned(owner) {
                    entry.expiry = later;
                }
                continue;
            }
            self.forget(owner);
            gone.push(owner);
        }
        gone
    }

    fn is_running(&mut self, owner: id::Request) -> bool {
        let entry = self.owned(owner);
        entry.is_some_and(|e| matches!(e.phase, Phase::Running { .. }))
    }

    fn forget(&mut self, owner: id::Request) {
        let Some(slot) = self.owners.remove(&owner) else {
            return;
        };
        if let Some(entry) = self.entries.remove(&slot) {
            self.ends.remove(&(entry.expiry, owner));
        }
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Entry {
    fn meet(&mut self, key: &Key, request: id::Request) -> Outcome {
        if self.content != key.content {
            return Outcome::Mismatch;
        }
        match &mut self.phase {
            Phase::Finished => Outcome::Finished(self.owner),
            Phase::Unknown => Outcome::Unknown,
            Phase::Void => Outcome::Void,
            Phase::Running { joiners } if joiners.len() >= MAX_JOINERS => Outcome::Full,
            Phase::Running { joiners } => {
                joiners.push(request);
                Outcome::Joined(self.owner)
            }
        }
    }
}
