//! Log of the backend servers that changed since a revision of the platform's store.

use std::collections::{BTreeSet, VecDeque};

use crate::{fleet::Revision, id};

/// Maximum number of remembered changes: 16 servers a box at 984 boxes, in 0.4 MB.
const MAX_CHANGES: usize = 16_384;

/// Maximum number of remembered gaps.
const MAX_GAPS: usize = 64;

/// Names of the most recently changed servers, so that a box that missed some changes can be sent a
/// delta instead of the whole list.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Revision after which the log is complete; `None` before the first list.
    complete_after: Option<Revision>,
    entries: VecDeque<(Revision, id::Backend)>,
    /// Revision ranges of which only the final state is known: servers that changed and changed
    /// back within them are not recorded.
    gaps: VecDeque<(Revision, Revision)>,
}

impl Changes {
    /// Resets the log after a full list as of `revision`.
    pub fn reset(&mut self, revision: Revision) {
        self.complete_after = Some(revision);
        self.entries.clear();
        self.gaps.clear();
    }

    /// Records that the box moved from `since` to `until` in one step: a box that received some of
    /// the changes in between may know servers that this one never saw.
    pub fn record_gap(&mut self, since: Revision, until: Revision) {
        if since < until {
            self.gaps.push_back((since, until));
        }
        if self.gaps.len() > MAX_GAPS
            && let Some((_, end)) = self.gaps.pop_front()
        {
            self.complete_after = self.complete_after.max(Some(end));
        }
    }

    /// Records that `name` changed at `revision`, or between the previously known revision and
    /// `revision`.
    pub fn add(&mut self, revision: Revision, name: id::Backend) {
        // A hub's update may arrive after a newer one from the store; its changes are recorded at
        // the newer revision, so that they are still sent to others.
        let newest = self.entries.back().map_or(revision, |(newest, _)| *newest);
        self.entries.push_back((revision.max(newest), name));
        if self.entries.len() > MAX_CHANGES {
            self.complete_after = self.entries.pop_front().map(|(revision, _)| revision);
        }
    }

    /// Returns the ranges that end after `revision` and of which only the final state is known.
    pub fn gaps_after(&self, revision: Revision) -> Vec<(Revision, Revision)> {
        let gaps = self.gaps.iter().copied();
        gaps.filter(|(_, until)| *until > revision).collect()
    }

    /// Returns the servers that changed after `revision`; `None` if the log does not reach back
    /// that far or `revision` lies within a gap.
    pub fn since(&self, revision: Revision) -> Option<BTreeSet<&id::Backend>> {
        self.complete_after.filter(|from| *from <= revision)?;
        let within = |(since, until): &(Revision, Revision)| *since < revision && revision < *until;
        if self.gaps.iter().any(within) {
            return None;
        }
        let newest = self.entries.iter().rev();
        let later = newest.take_while(|(changed, _)| *changed > revision);
        Some(later.map(|(_, name)| name).collect())
    }
}
