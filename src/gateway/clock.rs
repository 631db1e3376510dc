//! The box's monotonic clock, which keeps counting while the machine is suspended.
//!
//! `std::time::Instant` and the clock of the runtime stop during a suspension, and timers of the
//! runtime fire late by that time. Leases, heartbeats, load figures, allotments and idle
//! connections age all the same, so every age is measured with [`BootInstant`]; the clock of the runtime
//! only wakes tasks.

use std::{
    ops::{Add, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};

use crate::{id::Incarnation, unit::Time};

/// A point in time, stored as the time since the machine booted, including suspensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    pub fn now() -> Self {
        let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
        // Every kernel that a box may run on supports `CLOCK_BOOTTIME`.
        Self(Duration::from(
            since_boot.expect("CLOCK_BOOTTIME is readable"),
        ))
    }

    /// Returns the time that has passed since this moment.
    pub fn elapsed(self) -> Duration {
        Self::now() - self
    }

    /// Returns the time from the boot of the machine to this moment.
    pub fn since_boot(self) -> Duration {
        self.0
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;
    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

impl Sub for BootInstant {
    type Output = Duration;
    fn sub(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// A clock that counts the milliseconds since it was started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: BootInstant,
}

impl Clock {
    /// Creates a clock that starts at 0 now.
    pub fn start() -> Self {
        Self {
            start: BootInstant::now(),
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_millis() as u64)
    }
}

/// Creates the incarnation of this process: the wall-clock time and a random number.
pub(crate) fn incarnation() -> Incarnation {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_ms = wall.map_or(0, |since_epoch| since_epoch.as_millis() as u64);
    Incarnation::new(wall_ms, rand::random())
}
