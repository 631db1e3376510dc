//! Cache of responses for requests that are sent again with the same idempotency key, limited in
//! size.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

use crate::id;

/// Largest response that is cached, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 256 << 10;
/// Maximum total size of the cache, in bytes.
const MAX_TOTAL_BYTES: usize = 16 << 20;
/// Bytes that are counted for the head of a response.
const HEAD_BYTES: usize = 512;

/// A complete response.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

#[derive(Debug, Default)]
struct Entries {
    answers: HashMap<id::Request, Answer>,
    bytes: usize,
}

/// The response cache of one box.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    entries: Mutex<Entries>,
}

impl Replay {
    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().expect("the lock is never poisoned")
    }

    /// Adds a response to the cache if it fits into the size limit.
    pub(crate) fn insert(&self, request: id::Request, answer: Answer) {
        let mut entries = self.lock();
        let size = answer.body.len() + HEAD_BYTES;
        if entries.bytes + size > MAX_TOTAL_BYTES {
            return;
        }
        entries.bytes += size;
        entries.answers.insert(request, answer);
    }

    /// Returns the cached response of `request`.
    pub(crate) fn get(&self, request: id::Request) -> Option<Answer> {
        self.lock().answers.get(&request).cloned()
    }

    /// Removes the response of `request` from the cache.
    pub(crate) fn remove(&self, request: id::Request) {
        let mut entries = self.lock();
        if let Some(answer) = entries.answers.remove(&request) {
            entries.bytes -= answer.body.len() + HEAD_BYTES;
        }
    }
}
