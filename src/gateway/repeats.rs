//! Reports retry-budget usage in the log and the metrics.

use std::collections::HashMap;

use crate::{
    gateway::core::Core,
    id::Service,
    retry::Counts,
    unit::{Millis, Time},
};

/// Interval between two reports. These totals stay complete when the log lines of single requests
/// are rate-limited.
const REPORT_INTERVAL: Millis = Millis(1000);

/// State of the last report.
#[derive(Default)]
pub(super) struct RepeatReport {
    logged_counts: HashMap<Service, Counts>,
    reported_at: Time,
}

impl Core {
    /// Updates the retry metrics, and logs the services whose retry counts changed since the last
    /// report.
    pub(super) fn report_repeats(&mut self) {
        let now = self.parts.clock.now();
        if now.since(self.repeats.reported_at) < REPORT_INTERVAL {
            return;
        }
        self.repeats.reported_at = now;
        let rows = self.state.repeats(now);
        self.parts.metrics.set_repeats(&rows);
        for row in rows {
            let logged = self
                .repeats
                .logged_counts
                .entry(row.service.clone())
                .or_default();
            if *logged == row.counts {
                continue;
            }
            *logged = row.counts;
            log::info!(
                "repeats: service={} {} {} boxes={}",
                row.service,
                row.counts,
                row.balance,
                row.boxes.unwrap_or(0)
            );
        }
    }
}
