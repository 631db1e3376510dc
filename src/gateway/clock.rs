//! The box's monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::{id::Incarnation, unit::Time};

/// Counts milliseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The moment it is.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_millis() as u64)
    }
}

/// A number for this life of the box.
pub(crate) fn incarnation() -> Incarnation {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_ms = wall.map_or(0, |d| d.as_millis() as u64);
    Incarnation::new(wall_ms, rand::random())
}
