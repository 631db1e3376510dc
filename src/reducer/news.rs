//! Who follows the platform's store, and how its news reaches the boxes that don't.
//!
//! Load pattern: hundreds of boxes before one store. Where each follows the store by itself, its calls
//! grow as boxes times changes: 9,364 in a day at 295 boxes, which cost 0.066 of the day's worth. So in
//! a large region only the hubs of each failure domain follow it, and pass each change on at once, with
//! the store's revision before and after it. A box that misses some asks the hub for all. A box that
//! hears of no hub with fresh word follows the store itself, within the shortest bound on news.

use std::net::SocketAddr;

use crate::{
    fleet::{Change, Revision},
    id::BoxName,
    policy::Policy,
    reducer::{
        State,
        control::Control,
        effect::{Effect, Follow},
    },
    unit::{Millis, Time},
    wire::{Body, News, Phase, Word},
};

/// Word of the store older than this, as a hub tells it, is not enough: a hub asks each second, and the
/// box must have read the store by itself within 3 s, the shortest bound on news.
const WORD_FRESH: Millis = Millis(2000);
/// How often a box asks a hub for all because it missed something.
const AGAIN: Millis = Millis(300);

/// The store's changes since the last revision that was passed on.
#[derive(Debug, Default)]
pub(super) struct Gathered {
    changes: Vec<Change>,
    /// Whether everything was read anew, so that the changes alone don't tell all.
    whole: bool,
}

impl<P: Policy> State<P> {
    /// Begins or ends to follow the store.
    pub(super) fn choose_follow(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.registry {
            return;
        }
        let follow = self.follow(now);
        if follow != self.control.follow {
            self.control.follow = follow;
            out.push(Effect::Follow(follow));
        }
    }

    fn follow(&self, now: Time) -> Follow {
        if !self.table.has_hubs() {
            return Follow::Alone;
        }
        let ready = self.phase(now) == Phase::Ready;
        if self.table.hubs(ready, now).mine {
            return Follow::Hub;
        }
        let fresh = |at: Time| now.since(at) <= WORD_FRESH;
        match self.control.word_heard.is_some_and(fresh) {
            true => Follow::Rest,
            false => Follow::Alone,
        }
    }

    /// Keeps a change that the store told for the boxes that don't follow it: this one may be a hub by the
    /// end of the batch, and each batch's end clears what was kept.
    pub(super) fn gather(&mut self, change: &Change) {
        match change {
            Change::List { .. } => self.control.gathered.whole = true,
            change => self.control.gathered.changes.push(change.clone()),
        }
    }

    /// As a hub, passes on what the store told up to `until`.
    pub(super) fn pass_news(&mut self, now: Time, until: Revision, out: &mut Vec<Effect>) {
        let gathered = std::mem::take(&mut self.control.gathered);
        if self.control.follow != Follow::Hub || until <= self.revision {
            return;
        }
        let news = News {
            since: (!gathered.whole).then_some(self.revision),
            until,
            changes: gathered.changes,
            evacuated: self.control.evacuations.told.clone(),
            rollouts: self.rollouts.tell(now),
        };
        let targets = self.table.neighbours(now);
        self.send_all(Body::News(news), targets, out);
    }

    /// Takes what a hub passes on.
    pub(super) fn hear_news(
        &mut self,
        now: Time,
        from: &BoxName,
        news: &News,
        out: &mut Vec<Effect>,
    ) {
        if news.until <= self.revision {
            return;
        }
        let same = news.until.era == self.revision.era;
        let complete = same && news.since.is_some_and(|since| since <= self.revision);
        if !self.supplied || !complete {
            return self.ask_for_all(now, from, out);
        }
        if news.evacuated != self.control.evacuations.told {
            self.evacuate(now, news.evacuated.clone(), out);
        }
        // An order comes before the servers that were started for it.
        self.take_rollouts(now, &news.rollouts, out);
        for change in &news.changes {
            self.supplied(now, change.clone(), news.until, out);
        }
        self.revision = news.until;
    }

    /// What this box, as a hub, has heard of the store by itself.
    pub(super) fn word(&self, now: Time) -> Option<Word> {
        let heard = self.control.store_told?;
        Some(Word {
            revision: self.revision,
            age: now.since(heard),
        })
    }

    /// Takes what a hub of this failure domain tells of the store.
    pub(super) fn hear_word(
        &mut self,
        now: Time,
        from: &BoxName,
        word: Word,
        out: &mut Vec<Effect>,
    ) {
        let heard = Time(now.0.saturating_sub(word.age.0));
        self.control.word_heard = self.control.word_heard.max(Some(heard));
        self.store_heard = self.store_heard.max(Some(heard));
        if word.revision > self.revision && self.control.follow == Follow::Rest {
            self.ask_for_all(now, from, out);
        }
    }

    fn ask_for_all(&mut self, now: Time, from: &BoxName, out: &mut Vec<Effect>) {
        let peer: Option<SocketAddr> = self.table.peer(from).map(|p| p.last.contact.peer);
        if let Some(peer) = peer
            && Control::due(&mut self.control.last_roster, AGAIN, now)
        {
            out.push(self.fetch_roster(peer));
        }
    }
}
