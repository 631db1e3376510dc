//! Cache of responses for requests that are sent again with the same idempotency key, limited in
//! size.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

use crate::id;

/// Largest response that is cached, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 256 << 10;
/// Maximum total size of the cache in bytes, responses that are still being recorded included.
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

    /// Starts to record a response.
    pub(crate) fn record(self: &Arc<Self>) -> Recording {
        Recording {
            replay: self.clone(),
            body: Vec::new(),
            reserved: 0,
        }
    }

    /// Reserves `bytes` of the cache, if there are as many.
    fn reserve(&self, bytes: usize) -> bool {
        let mut entries = self.lock();
        let fits = entries.bytes + bytes <= MAX_TOTAL_BYTES;
        if fits {
            entries.bytes += bytes;
        }
        fits
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

/// The body of a response that is being recorded. Its memory is part of the cache.
#[derive(Debug)]
pub(crate) struct Recording {
    replay: Arc<Replay>,
    body: Vec<u8>,
    /// Bytes of the cache that are reserved.
    reserved: usize,
}

impl Recording {
    /// Adds the next bytes; returns whether the response can still be cached.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        let length = self.body.len() + bytes.len();
        if length > MAX_ANSWER_BYTES {
            return false;
        }
        if length > self.body.capacity() {
            let room = (2 * self.body.capacity()).min(MAX_ANSWER_BYTES).max(length);
            let more = room + HEAD_BYTES - self.reserved;
            if !self.replay.reserve(more) {
                return false;
            }
            self.reserved += more;
            self.body.reserve_exact(room - self.body.len());
        }
        self.body.extend_from_slice(bytes);
        true
    }

    /// Adds the complete response to the cache, if there is room.
    pub(crate) fn finish(mut self, request: id::Request, mut answer: Answer) {
        let size = self.body.len() + HEAD_BYTES;
        if self.reserved < size && !self.replay.reserve(size - self.reserved) {
            return;
        }
        answer.body = std::mem::take(&mut self.body).into();
        let mut entries = self.replay.lock();
        entries.bytes -= self.reserved.saturating_sub(size);
        entries.answers.insert(request, answer);
        drop(entries);
        self.reserved = 0;
    }
}

impl Drop for Recording {
    fn drop(&mut self) {
        if self.reserved > 0 {
            self.replay.lock().bytes -= self.reserved;
        }
    }
}
