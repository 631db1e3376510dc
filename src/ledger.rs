//! The idempotency keys that this box has run, kept until each expires.

use std::collections::{BTreeSet, HashMap};

use crate::{
    id,
    pin::{Digest, Key},
    unit::{Millis, Time},
};

/// Maximum number of keys kept; beyond it, a new key is refused as not run.
pub const MAX_KEYS: usize = 100_000;
/// Maximum number of requests that wait for one running key.
pub const MAX_JOINERS: usize = 16;

/// How soon an expired key that is still running is checked again.
const RECHECK_INTERVAL: Millis = Millis(1000);

/// The progress of the request of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The request is in flight; the joiners wait for its answer.
    Running {
        /// Repeated requests that wait.
        joiners: Vec<id::Request>,
    },
    /// The request ran, and its complete answer was sent.
    Finished,
    /// The request may have run; its outcome is unknown.
    Unknown,
    /// The caller was answered "not run", so the request must never run: an older copy of it may
    /// still be in transit to this box.
    Void,
}

/// A key within its customer's namespace.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ScopedKey {
    customer: id::Customer,
    digest: Digest,
}

impl ScopedKey {
    fn of(customer: &id::Customer, key: &Key) -> Self {
        Self {
            customer: customer.clone(),
            digest: key.digest,
        }
    }
}

/// The state of one key.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request that runs the key, or ran it.
    pub owner: id::Request,
    /// Its progress.
    pub phase: Phase,
    content: u64,
    expiry: Time,
}

/// The result of claiming a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The key is new and is now owned by the request.
    Fresh,
    /// The request waits for this one, which is in flight.
    Joined(id::Request),
    /// The key ran as this request; its answer may still be available.
    Finished(id::Request),
    /// The key may have run.
    Unknown,
    /// The key never ran and never will.
    Void,
    /// The key was used for another request.
    Mismatch,
    /// The ledger, or the list of joiners, is full; the state of the key is unknown.
    Full,
}

/// The idempotency keys of one box.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<ScopedKey, Entry>,
    expiries: BTreeSet<(Time, id::Request)>,
    owners: HashMap<id::Request, ScopedKey>,
}

impl Ledger {
    /// Claims a customer's `key` for `request`. The caller has checked that the pin names this box
    /// and has not expired.
    pub fn claim(&mut self, customer: &id::Customer, key: &Key, request: id::Request) -> Outcome {
        let scoped_key = ScopedKey::of(customer, key);
        if let Some(entry) = self.entries.get_mut(&scoped_key) {
            return entry.claim_again(key, request);
        }
        if self.entries.len() >= MAX_KEYS {
            return Outcome::Full;
        }
        self.insert(scoped_key, key, request, Phase::Running { joiners: vec![] });
        Outcome::Fresh
    }

    /// Ensures that a `key` that is not in the ledger never runs. Returns false if it may have run
    /// or if this cannot be ensured.
    pub fn void(&mut self, customer: &id::Customer, key: &Key, request: id::Request) -> bool {
        let scoped_key = ScopedKey::of(customer, key);
        if let Some(entry) = self.entries.get(&scoped_key) {
            return entry.phase == Phase::Void;
        }
        if self.entries.len() >= MAX_KEYS {
            return false;
        }
        self.insert(scoped_key, key, request, Phase::Void);
        true
    }

    /// Reports whether a customer's `key` is in the ledger.
    pub fn contains(&self, customer: &id::Customer, key: &Key) -> bool {
        self.entries.contains_key(&ScopedKey::of(customer, key))
    }

    fn insert(&mut self, scoped_key: ScopedKey, key: &Key, request: id::Request, phase: Phase) {
        let entry = Entry {
            owner: request,
            phase,
            content: key.content,
            expiry: key.pin.expiry,
        };
        self.entries.insert(scoped_key.clone(), entry);
        self.expiries.insert((key.pin.expiry, request));
        self.owners.insert(request, scoped_key);
    }

    /// Records how the owner ended, and returns the requests that waited for it.
    pub fn settle(&mut self, owner: id::Request, phase: Phase) -> Vec<id::Request> {
        let Some(entry) = self.entry_of(owner) else {
            return vec![];
        };
        let Phase::Running { joiners } = &mut entry.phase else {
            return vec![];
        };
        let joiners = std::mem::take(joiners);
        entry.phase = phase;
        joiners
    }

    /// Makes `joiner`, which waits for `owner`, the owner of the key; `owner` then waits for it.
    pub fn transfer_ownership(&mut self, owner: id::Request, joiner: id::Request) {
        let Some(scoped_key) = self.owners.remove(&owner) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&scoped_key) {
            entry.owner = joiner;
            if let Phase::Running { joiners } = &mut entry.phase {
                joiners.retain(|j| *j != joiner);
                joiners.push(owner);
            }
            self.expiries.remove(&(entry.expiry, owner));
            self.expiries.insert((entry.expiry, joiner));
        }
        self.owners.insert(joiner, scoped_key);
    }

    /// Removes a joiner whose caller disconnected.
    pub fn remove_joiner(&mut self, owner: id::Request, joiner: id::Request) {
        if let Some(Phase::Running { joiners }) = self.entry_of(owner).map(|e| &mut e.phase) {
            joiners.retain(|j| *j != joiner);
        }
    }

    fn entry_of(&mut self, owner: id::Request) -> Option<&mut Entry> {
        let scoped_key = self.owners.get(&owner)?;
        self.entries.get_mut(scoped_key)
    }

    /// Removes expired keys and returns their owners; a key in flight is kept.
    pub fn expire(&mut self, now: Time) -> Vec<id::Request> {
        let mut expired = Vec::new();
        while let Some(&(expiry, owner)) = self.expiries.first() {
            if expiry > now {
                break;
            }
            if self.is_running(owner) {
                // It is checked again later, since its request may still be running.
                self.expiries.remove(&(expiry, owner));
                let later = now + RECHECK_INTERVAL;
                self.expiries.insert((later, owner));
                if let Some(entry) = self.entry_of(owner) {
                    entry.expiry = later;
                }
                continue;
            }
            self.forget(owner);
            expired.push(owner);
        }
        expired
    }

    fn is_running(&mut self, owner: id::Request) -> bool {
        let entry = self.entry_of(owner);
        entry.is_some_and(|e| matches!(e.phase, Phase::Running { .. }))
    }

    fn forget(&mut self, owner: id::Request) {
        let Some(scoped_key) = self.owners.remove(&owner) else {
            return;
        };
        if let Some(entry) = self.entries.remove(&scoped_key) {
            self.expiries.remove(&(entry.expiry, owner));
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the ledger has no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Entry {
    fn claim_again(&mut self, key: &Key, request: id::Request) -> Outcome {
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
