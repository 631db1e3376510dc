//! Liveness of backend servers as seen on their response streams, collected for the failure
//! detector.
//!
//! A received chunk costs two atomic writes; the reducer gets a summary once per tick.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
};

use crate::{
    gateway::clock::BootInstant,
    id,
    reducer::{effect::Target, event},
    unit::Millis,
    wire::NameHash,
};

/// The activity on all streams of one backend server since the last [`Liveness::drain`].
#[derive(Debug, Default)]
struct Activity {
    active: AtomicBool,
    /// The longest pause between two chunks of a stream, in milliseconds.
    pause_ms: AtomicU64,
}

/// Records the activity of one stream for its backend server.
#[derive(Debug)]
pub(crate) struct Recorder {
    activity: Arc<Activity>,
    last_received: BootInstant,
}

impl Recorder {
    /// Records that the answer begins at `now`; the time before it does not count as a pause.
    pub(crate) fn record_start(&mut self, now: BootInstant) {
        self.last_received = now;
        self.activity.active.store(true, Relaxed);
    }

    /// Records a chunk received at `now`.
    pub(crate) fn record_chunk(&mut self, now: BootInstant) {
        let pause = (now - self.last_received).as_millis() as u64;
        self.last_received = now;
        self.activity.pause_ms.fetch_max(pause, Relaxed);
        self.activity.active.store(true, Relaxed);
    }
}

/// The activity of all backend servers that have open streams.
#[derive(Debug, Default)]
pub(crate) struct Liveness(Mutex<HashMap<NameHash, Arc<Activity>>>);

impl Liveness {
    fn lock(&self) -> MutexGuard<'_, HashMap<NameHash, Arc<Activity>>> {
        // Each change of the map is complete in itself, so it stays valid if a holder of the lock
        // panics.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a recorder for a stream that begins at `target`; `None` for other boxes, which
    /// observe their backend servers themselves.
    pub(crate) fn recorder(&self, target: &Target) -> Option<Recorder> {
        let Target::Backend { name, .. } = target else {
            return None;
        };
        let short = NameHash::of(id::Backend::as_str(name));
        let activity = self.lock().entry(short).or_default().clone();
        let last_received = BootInstant::now();
        Some(Recorder {
            activity,
            last_received,
        })
    }

    /// Returns the activity since the last call and forgets backend servers without open streams.
    pub(crate) fn drain(&self) -> Vec<event::Activity> {
        let mut activities = self.lock();
        let mut heard = Vec::new();
        activities.retain(|backend, activity| {
            if activity.active.swap(false, Relaxed) {
                heard.push(event::Activity {
                    backend: *backend,
                    pause: Millis(activity.pause_ms.swap(0, Relaxed)),
                });
            }
            Arc::strong_count(activity) > 1
        });
        heard
    }
}
