//! Changes of the platform's store that another box has and this one lacks.
//!
//! The record is kept until this box has caught up, even if no box that could tell it the changes is
//! heard any more.

use crate::{
    fleet::Revision,
    id::BoxName,
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Note},
    },
    unit::{Millis, Time},
    wire::HeardRevision,
};

/// Time in which a box that learns that it lacks changes normally gets them, from the store or from
/// another box. A box that lacks them for longer may have missed that servers became cold.
const USUAL_CATCH_UP_TIME: Millis = Millis(2000);

/// Changes that this box lacks.
#[derive(Clone, Debug)]
pub(super) struct Lag {
    /// The oldest revision beyond that of this box that was heard of.
    first: Revision,
    /// The newest such revision.
    newest: Revision,
    /// The box that told of the newest one.
    teller: BoxName,
    /// When this box heard of the oldest one.
    since: Time,
    /// Number of fetches from other boxes since the last one that brought changes.
    pub(super) fetches: usize,
    /// Whether the lag was logged.
    is_noted: bool,
}

impl<P: Policy> State<P> {
    /// Records that the box `teller` knows `revision`, or has heard of it.
    pub(super) fn hear_revision(&mut self, now: Time, teller: &BoxName, revision: Revision) {
        if !self.registry || revision <= self.revision {
            return;
        }
        let lag = self.control.lag.get_or_insert_with(|| Lag {
            first: revision,
            newest: revision,
            teller: teller.clone(),
            since: now,
            fetches: 0,
            is_noted: false,
        });
        if revision > lag.newest {
            lag.newest = revision;
            lag.teller = teller.clone();
        }
    }

    /// Ends or shortens the lag by what this box has learned, and logs one that lasts.
    pub(super) fn update_lag(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(lag) = &mut self.control.lag else {
            return;
        };
        if self.revision >= lag.newest {
            if lag.is_noted {
                out.push(Effect::Noted(Note::CaughtUp {
                    known: self.revision,
                    lag: now.since(lag.since),
                }));
            }
            self.control.lag = None;
            return;
        }
        if self.revision >= lag.first {
            lag.first = lag.newest;
            lag.since = now;
            lag.fetches = 0;
        }
        if !lag.is_noted && now.since(lag.since) >= USUAL_CATCH_UP_TIME {
            lag.is_noted = true;
            let teller = self.table.peer(&lag.teller);
            out.push(Effect::Noted(Note::Lagging {
                newest: lag.newest,
                known: self.revision,
                teller: lag.teller.clone(),
                phase: teller.map(|peer| peer.last.phase),
            }));
        }
    }

    /// Returns the newest revision that this box has heard of, if it lacks its changes.
    pub(super) fn heard_revision(&self) -> HeardRevision {
        let lag = self.control.lag.as_ref();
        HeardRevision(lag.map_or(Revision::default(), |lag| lag.newest))
    }

    /// Reports whether this box has lacked changes for longer than it usually takes to get them.
    pub(super) fn lacks_changes(&self, now: Time) -> bool {
        self.store_lag(now) >= USUAL_CATCH_UP_TIME
    }

    /// Returns since when this box has lacked changes that another box has.
    pub(super) fn lacks_changes_since(&self) -> Option<Time> {
        let lag = self.control.lag.as_ref();
        lag.filter(|lag| self.revision < lag.newest)
            .map(|lag| lag.since)
    }

    /// Returns how long this box has lacked changes of the store that another box has; zero if it
    /// lacks none.
    pub fn store_lag(&self, now: Time) -> Millis {
        let since = self.lacks_changes_since();
        since.map_or(Millis(0), |since| now.since(since))
    }
}
