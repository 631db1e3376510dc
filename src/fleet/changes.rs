//! Which backend servers changed since a revision of the platform's store.

use std::collections::{BTreeSet, VecDeque};

use crate::{fleet::Revision, id};

/// Changes that are remembered: 16 servers a box at 984 boxes, in 0.4 MB.
const MAX: usize = 16_384;

/// Gaps that are remembered.
const MAX_GAPS: usize = 64;

/// The names of the servers that changed last, so that a box which missed some is not sent the whole list.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The revision after which everything is remembered; none before any list was known.
    from: Option<Revision>,
    names: VecDeque<(Revision, id::Backend)>,
    /// Revisions between which only the outcome is known: what changed and changed back is not.
    gaps: VecDeque<(Revision, Revision)>,
}

impl Changes {
    /// Begins with a list that goes as far as `revision`.
    pub fn begin(&mut self, revision: Revision) {
        self.from = Some(revision);
        self.names.clear();
        self.gaps.clear();
    }

    /// Notes that the box learned at once what `until` made of `since`: a box that was told some of what lies
    /// between may know servers that this one never heard of.
    pub fn skip(&mut self, since: Revision, until: Revision) {
        if since < until {
            self.gaps.push_back((since, until));
        }
        if self.gaps.len() > MAX_GAPS
            && let Some((_, end)) = self.gaps.pop_front()
        {
            self.from = self.from.max(Some(end));
        }
    }

    /// Notes that `name` changed with `revision`, or before it and after the one that was known.
    pub fn add(&mut self, revision: Revision, name: id::Backend) {
        // News of a hub may come behind what the store told itself; told too late is told all the same.
        let newest = self.names.back().map_or(revision, |(newest, _)| *newest);
        self.names.push_back((revision.max(newest), name));
        if self.names.len() > MAX {
            self.from = self.names.pop_front().map(|(revision, _)| revision);
        }
    }

    /// The spans after `revision` of which only the outcome is known.
    pub fn gaps_after(&self, revision: Revision) -> Vec<(Revision, Revision)> {
        let gaps = self.gaps.iter().copied();
        gaps.filter(|(_, until)| *until > revision).collect()
    }

    /// What changed after `revision`; none where that is not remembered.
    pub fn since(&self, revision: Revision) -> Option<BTreeSet<&id::Backend>> {
        self.from.filter(|from| *from <= revision)?;
        let within = |(since, until): &(Revision, Revision)| *since < revision && revision < *until;
        if self.gaps.iter().any(within) {
            return None;
        }
        let newest = self.names.iter().rev();
        let later = newest.take_while(|(changed, _)| *changed > revision);
        Some(later.map(|(_, name)| name).collect())
    }
}
