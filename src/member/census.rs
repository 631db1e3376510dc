//! Counts of the boxes that share a limit on the whole fleet.
//!
//! Load pattern: boxes stop in turn, crash together, or lose contact for some seconds, while each
//! of them spends its share of a common limit. A silent box may still be spending, or has just
//! spent, its share, and a box that divides the limit by the boxes it hears takes over their shares
//! as well. The largest recent number of boxes is therefore kept for a while, and a region that was
//! never heard counts as large as the largest known one.

use std::collections::BTreeMap;

use crate::{
    id::Region,
    member::Table,
    unit::{Millis, Time},
};

/// Minimum time for which a box count is kept after it was last seen; longer than boxes lose
/// contact for.
const PEAK_RETENTION: Millis = Millis(600_000);

/// Largest count within the last [`PEAK_RETENTION`], or up to twice as long.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    /// Largest count of the previous period.
    previous: usize,
    /// Largest count of the current period.
    current: usize,
    /// Start of the current period.
    started: Time,
}

impl Peak {
    fn record(&mut self, count: usize, now: Time) {
        if now.since(self.started) >= PEAK_RETENTION {
            self.previous = std::mem::take(&mut self.current);
            self.started = now;
        }
        self.current = self.current.max(count);
    }

    fn max(&self) -> usize {
        self.previous.max(self.current)
    }
}

/// Box counts of this region and of the other regions.
#[derive(Debug, Default)]
pub(super) struct Census {
    local: Peak,
    remote: BTreeMap<Region, Peak>,
}

impl Census {
    /// Records the number of live boxes of this region, including this one.
    pub(super) fn record_local(&mut self, boxes: usize, now: Time) {
        self.local.record(boxes, now);
    }

    /// Records the number of boxes that another region reported.
    pub(super) fn record_remote(&mut self, region: &Region, boxes: usize, now: Time) {
        let peak = self.remote.entry(region.clone()).or_default();
        peak.record(boxes, now);
    }
}

impl Table {
    /// Counts the live boxes of this region.
    pub fn count_boxes(&mut self, now: Time) {
        let boxes = self.live(now).count() + 1;
        self.census.record_local(boxes, now);
    }

    /// Returns the number of boxes that share a limit on the whole fleet, including this one, where
    /// `others` are the other regions; `None` if other boxes are `expected` but this box has never
    /// heard one.
    pub fn sharers(&self, others: &[Region], expected: bool) -> Option<usize> {
        let local = self.census.local.max().max(1);
        let remote = &self.census.remote;
        if expected && local == 1 && remote.is_empty() {
            return None;
        }
        let known: Vec<usize> = others
            .iter()
            .filter_map(|r| remote.get(r))
            .map(Peak::max)
            .collect();
        let largest = known.iter().copied().max().unwrap_or(0).max(local);
        let unheard = others.len() - known.len();
        Some(local + known.iter().sum::<usize>() + unheard * largest)
    }
}
