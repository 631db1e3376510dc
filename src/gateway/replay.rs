//! Answers kept for re-sends of their keys, within a budget of bytes.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

use crate::id;

/// Largest answer that is kept, in bytes.
pub(crate) const MAX_ANSWER: usize = 256 << 10;
/// All kept answers together, in bytes.
const BUDGET: usize = 16 << 20;
/// Bytes counted for an answer's head.
const HEAD: usize = 512;

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

#[derive(Debug, Default)]
struct Kept {
    answers: HashMap<id::Request, Answer>,
    bytes: usize,
}

/// The kept answers of one box.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    kept: Mutex<Kept>,
}

impl Replay {
    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().expect("the lock is never poisoned")
    }

    /// Keeps an answer where the budget allows.
    pub(crate) fn keep(&self, request: id::Request, answer: Answer) {
        let mut kept = self.lock();
        let size = answer.body.len() + HEAD;
        if kept.bytes + size > BUDGET {
            return;
        }
        kept.bytes += size;
        kept.answers.insert(request, answer);
    }

    /// The answer of `request`, where it was kept.
    pub(crate) fn get(&self, request: id::Request) -> Option<Answer> {
        self.lock().answers.get(&request).cloned()
    }

    /// Forgets the answer of `request`.
    pub(crate) fn forget(&self, request: id::Request) {
        let mut kept = self.lock();
        if let Some(answer) = kept.answers.remove(&request) {
            kept.bytes -= answer.body.len() + HEAD;
        }
    }
}
