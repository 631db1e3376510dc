//! A failure detector for one backend server, based on how long its streams have received no data.
//!
//! An engine produces tokens for all its streams in the same steps, so if none of them receives
//! data for several times the usual pause, the engine or the network path to it has failed. Time is
//! counted in ticks of this box: a box that was suspended did not listen meanwhile and must not
//! attribute the gap to the engines.

use crate::unit::{self, Millis, Time};

/// Streams whose silence indicates a failure. A single stream may have been preempted by its
/// engine, which then processes its prompt again.
const MIN_STREAMS: usize = 2;
/// Shortest silence that indicates a failure. An engine processes a part of a prompt between two
/// steps, about 40 ms, and an event takes several steps, so single pauses reach 300 ms.
const MIN_SILENCE: Millis = Millis(300);
/// Additional silence that is required if there are no more than [`MIN_STREAMS`] streams.
const FEW_STREAMS_MARGIN: Millis = Millis(300);
/// Factor by which the silence must exceed the longest recent pause.
const PAUSE_FACTOR: f64 = 1.5;
/// Half-life of the longest pause. Long prompts, which cause pauses, arrive seconds apart.
const PAUSE_HALF_LIFE: Millis = Millis(4000);

/// The silence and pauses of the streams of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// How long its streams have received no data while this box was listening.
    silence: Millis,
    /// The longest pause of a stream in milliseconds, as of `updated`.
    longest_pause: f64,
    updated: Time,
    /// When the server was considered failed, if it still is.
    failed_at: Option<Time>,
}

impl Detector {
    fn decayed_pause(&self, now: Time) -> f64 {
        self.longest_pause * unit::decay_factor(now.since(self.updated), PAUSE_HALF_LIFE)
    }

    /// Records that data arrived, and the longest pause of a stream since the last call. Returns
    /// true if the server was considered failed until now.
    pub fn record_data(&mut self, pause: Millis, now: Time) -> bool {
        self.longest_pause = self.decayed_pause(now).max(pause.0 as f64);
        self.updated = now;
        self.silence = Millis(0);
        self.failed_at.take().is_some()
    }

    /// Records that `streams` were open for `span` without receiving data. Returns true if the
    /// server is considered failed from now on.
    pub fn record_silence(&mut self, span: Millis, streams: usize, now: Time) -> bool {
        if streams < MIN_STREAMS {
            self.silence = Millis(0);
            return false;
        }
        self.silence = self.silence + span;
        let margin = if streams > MIN_STREAMS {
            Millis(0)
        } else {
            FEW_STREAMS_MARGIN
        };
        let tolerated = Millis((self.decayed_pause(now) * PAUSE_FACTOR) as u64);
        let overdue = self.silence > MIN_SILENCE.max(tolerated) + margin;
        let newly_failed = overdue && self.failed_at.is_none();
        if newly_failed {
            self.failed_at = Some(now);
        }
        newly_failed
    }

    /// Returns when the server was considered failed, if it still is.
    pub fn failed_at(&self) -> Option<Time> {
        self.failed_at
    }
}
