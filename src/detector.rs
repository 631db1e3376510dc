//! A failure detector for one backend server: when have its streams been silent for too long?
//!
//! An engine produces tokens for all its streams in the same steps, so where none of them brings
//! anything for several times their usual pause, the engine or the way to it is gone. Time is counted
//! in ticks of this box: one that stood still has not listened, and must not blame the engines.

use crate::unit::{self, Millis, Time};

/// Streams whose silence tells of a failure. One alone may have been preempted by its engine, which
/// then reads its prompt anew.
const WITNESSES: usize = 2;
/// Shortest silence that tells of a failure. An engine reads a piece of a prompt between two steps,
/// about 40 ms, and an event takes several steps, so single pauses reach 300 ms.
const LEAST: Millis = Millis(300);
/// How much longer the silence must be where there are no more streams than [`WITNESSES`].
const FEW: Millis = Millis(300);
/// How many times the longest pause that was seen lately a silence must last.
const PAUSES: f64 = 1.5;
/// Half of the longest pause is forgotten in this time: long prompts, which make pauses, come
/// seconds apart.
const HALF_LIFE: Millis = Millis(4000);

/// What the streams of one backend server tell of it.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// How long its streams have brought nothing while this box listened.
    silence: Millis,
    /// The longest pause of a stream, as of `at`.
    pause: f64,
    at: Time,
    /// When it was taken for failed, where it still is.
    failed: Option<Time>,
}

impl Detector {
    fn usual(&self, now: Time) -> f64 {
        self.pause * unit::left_after(now.since(self.at), HALF_LIFE)
    }

    /// Notes that something came, and the longest pause of a stream since the last note. True where
    /// the server was taken for failed until now.
    pub fn hear(&mut self, pause: Millis, now: Time) -> bool {
        self.pause = self.usual(now).max(pause.0 as f64);
        self.at = now;
        self.silence = Millis(0);
        self.failed.take().is_some()
    }

    /// Notes that `span` passed in which `streams` were open and brought nothing. True where the
    /// server counts as failed from now on.
    pub fn wait(&mut self, span: Millis, streams: usize, now: Time) -> bool {
        if streams < WITNESSES {
            self.silence = Millis(0);
            return false;
        }
        self.silence = self.silence + span;
        let few = if streams > WITNESSES { Millis(0) } else { FEW };
        let usual = Millis((self.usual(now) * PAUSES) as u64);
        let over = self.silence > LEAST.max(usual) + few;
        let fresh = over && self.failed.is_none();
        if fresh {
            self.failed = Some(now);
        }
        fresh
    }

    /// When the server was taken for failed, where it still is.
    pub fn failed_at(&self) -> Option<Time> {
        self.failed
    }
}
