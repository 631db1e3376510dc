//! The box's monotonic clock, which goes on while its machine is suspended.
//!
//! The steady clock of the standard library stands still then, and so does the runtime's, whose timers are
//! late by that time. What a box believes grows old all the same: leases, the others' heartbeats, load,
//! allotments, idle connections. So every age is counted by [`Moment`], and the runtime's clock only says
//! when a task is woken.

use std::{
    ops::{Add, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};

use crate::{id::Incarnation, unit::Time};

/// A moment, as the time since the machine started, suspended or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// The moment it is.
    pub fn now() -> Self {
        let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
        // Every kernel that a box may run on has this clock.
        Self(Duration::from(read.expect("the clock since boot reads")))
    }

    /// The time that has passed since.
    pub fn elapsed(self) -> Duration {
        Self::now() - self
    }

    /// The time from the machine's start to this moment.
    pub fn since_boot(self) -> Duration {
        self.0
    }
}

impl Add<Duration> for Moment {
    type Output = Self;
    fn add(self, span: Duration) -> Self {
        Self(self.0 + span)
    }
}

impl Sub for Moment {
    type Output = Duration;
    fn sub(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// Counts milliseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Moment,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Moment::now(),
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
