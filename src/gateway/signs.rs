//! Signs of life of backend servers: what their streams bring, gathered for the failure detector.
//!
//! A piece of a stream costs two writes to memory; the reducer hears once a tick.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
};

use crate::{
    gateway::clock::Moment,
    id,
    reducer::{effect::Target, event},
    unit::Millis,
    wire::Short,
};

/// What the streams of one backend server brought since the last look.
#[derive(Debug, Default)]
struct Sign {
    heard: AtomicBool,
    /// The longest pause of a stream, in milliseconds.
    pause: AtomicU64,
}

/// One stream's word on its backend server.
#[derive(Debug)]
pub(crate) struct Pulse {
    sign: Arc<Sign>,
    last: Moment,
}

impl Pulse {
    /// Notes that the answer begins at `now`: what came before was no pause.
    pub(crate) fn begin(&mut self, now: Moment) {
        self.last = now;
        self.sign.heard.store(true, Relaxed);
    }

    /// Notes a piece that comes at `now`.
    pub(crate) fn note(&mut self, now: Moment) {
        let pause = (now - self.last).as_millis() as u64;
        self.last = now;
        self.sign.pause.fetch_max(pause, Relaxed);
        self.sign.heard.store(true, Relaxed);
    }
}

/// The signs of all backend servers that have streams open.
#[derive(Debug, Default)]
pub(crate) struct Signs(Mutex<HashMap<Short, Arc<Sign>>>);

impl Signs {
    fn lock(&self) -> MutexGuard<'_, HashMap<Short, Arc<Sign>>> {
        // The map stays whole whatever a panicking holder did.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The pulse of a stream that begins at `target`; none for other boxes, which listen themselves.
    pub(crate) fn pulse(&self, target: &Target) -> Option<Pulse> {
        let Target::Backend { name, .. } = target else {
            return None;
        };
        let short = Short::of(id::Backend::as_str(name));
        let sign = self.lock().entry(short).or_default().clone();
        let last = Moment::now();
        Some(Pulse { sign, last })
    }

    /// What came since the last call.
    pub(crate) fn take(&self) -> Vec<event::Sign> {
        let mut signs = self.lock();
        let mut heard = Vec::new();
        signs.retain(|backend, sign| {
            if sign.heard.swap(false, Relaxed) {
                heard.push(event::Sign {
                    backend: *backend,
                    pause: Millis(sign.pause.swap(0, Relaxed)),
                });
            }
            Arc::strong_count(sign) > 1
        });
        heard
    }
}
