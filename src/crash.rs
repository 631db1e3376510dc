//! Finds the part of a prompt that crashes the backend servers which write an answer on it.
//!
//! Requests with such a part need not be alike in anything else, so that each content is at few
//! crashes, while a crash breaks tens of sound requests. A part explains a series of crashes if it
//! was in flight at each of them, under another content each time, and no answer with it that began
//! since then was complete. Crashes at the same moment count as one: after a common fault, every
//! popular part was in flight at all of them.
//!
//! A crash has one cause. What a held part explains is no evidence against other parts or contents,
//! and of several parts that explain a series equally well none is chosen before the next crash.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
};

use serde::{Deserialize, Serialize};

use crate::{
    content::{Content, Fingerprint},
    quarantine::{HOLD, SAME_CRASH_TIME},
    unit::{Millis, Time},
    wire::NameHash,
};

/// Moments of crashes that a part must explain by answers that had just begun.
const MIN_RECENT_MOMENTS: usize = 3;
/// Moments of crashes that a part must explain by whatever was in flight.
const MIN_MOMENTS: usize = 5;
/// An answer that began no longer ago than this when its server crashed had just begun. Servers
/// crash 50 to 130 ms after they begin to write an answer with a deadly part.
const RECENT_TIME: Millis = Millis(250);
/// Contents a crash up to which a part counts as rare. A popular part is at every crash by chance.
const RARE_CONTENTS: usize = 2;
/// Share of a service's complete answers from which on a part counts as popular.
const POPULAR_SHARE: f64 = 0.05;
/// Complete answers of a service from which shares are computed.
const MIN_ANSWERS: usize = 32;
/// A popular part explains a series only if this many complete answers since its first crash should
/// have had it, and none had.
const MISSING_ANSWERS: usize = 5;
/// Time for the reports of all boxes on a crash to arrive.
const REPORT_TIME: Millis = Millis(300);
/// Crashes that follow each other faster count as one.
const SAME_MOMENT: Millis = Millis(250);
/// A complete answer refutes the hold of its part up to this long after the answer began: about the
/// duration of a series.
const REFUTATION_TIME: Millis = Millis(2000);
/// Crashes kept, with [`MAX_PARTS`] each: about 1 MB.
const MAX_CRASHES: usize = 64;
/// Parts kept for one crash: three of each request of an engine's batch, at most.
const MAX_PARTS: usize = 192;
/// Complete answers kept in each of two generations, by part: 80 KB.
const MAX_SUCCESSES: usize = 1024;
/// Latest complete answers kept, with their parts: 60 KB.
const MAX_ANSWERS: usize = 512;

/// A request that was in flight at a server when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Its content.
    pub content: Content,
    /// Whether its answer had just begun.
    pub recent: bool,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<Content>,
}

/// The requests of one box that were in flight at a server when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The incarnation of the server.
    pub life: NameHash,
    /// The service that it ran.
    pub service: NameHash,
    /// How long ago it crashed.
    pub age: Millis,
    /// The requests.
    pub suspects: Vec<Suspect>,
}

/// The box that a report is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This box.
    Own,
    /// Another box.
    Other,
}

/// The last complete answer with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Success {
    /// The part.
    pub part: Fingerprint,
    /// How long ago the answer began.
    pub age: Millis,
}

/// What boxes tell each other of parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Requests in flight at servers that crashed.
    pub reports: Vec<Report>,
    /// Complete answers with parts that were in flight there.
    pub successes: Vec<Success>,
}

/// Reports whether an answer had just begun; `begun` is the time since then, if it had.
pub fn is_recent(begun: Option<Millis>) -> bool {
    begun.is_some_and(|span| span <= RECENT_TIME)
}

/// A proven crash, as reported by all boxes.
#[derive(Clone, Debug)]
struct Crash {
    life: NameHash,
    service: NameHash,
    at: Time,
    /// When the last report arrived that named a new content, until the crash was examined.
    reported: Option<Time>,
    contents: BTreeSet<Content>,
    /// The parts in flight, with the contents that they were in and whether those were recent.
    parts: BTreeMap<Fingerprint, BTreeMap<Content, bool>>,
    /// Those in requests of this box.
    own: BTreeSet<Fingerprint>,
}

/// The requests that count as evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// Those whose answer had just begun.
    Recent,
    /// All that were in flight.
    All,
}

impl Scope {
    fn min_moments(self) -> usize {
        match self {
            Self::Recent => MIN_RECENT_MOMENTS,
            Self::All => MIN_MOMENTS,
        }
    }
}

/// The crashes that a part may have caused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Series {
    /// Moments of crashes at all of which the part was in flight, each under a content that was at
    /// no earlier one.
    moments: usize,
    /// The crashes of these moments.
    pub crashes: usize,
    /// All contents with the part that count as evidence.
    pub contents: BTreeSet<Content>,
    /// All contents in flight at the crashes.
    in_flight: usize,
    /// The time of the first crash.
    since: Option<Time>,
}

impl Series {
    /// Reports whether the part was at each crash in so many contents that it would be by chance.
    fn is_popular(&self) -> bool {
        self.contents.len() > RARE_CONTENTS * self.crashes
    }

    /// Returns how many of `answers` would have the part if it were as frequent among them as among
    /// the contents in flight.
    fn expected(&self, answers: usize) -> usize {
        answers * self.contents.len() / self.in_flight.max(1)
    }

    /// Reports whether the crashes of `other` may be due to this part instead: it is at as many of
    /// them, or it is a narrower part of the same requests and at half of them.
    fn rivals(&self, other: &Self) -> bool {
        let is_narrower =
            self.contents.len() < other.contents.len() && self.contents.is_subset(&other.contents);
        let is_wider = self.contents.is_superset(&other.contents);
        is_narrower && 2 * self.moments >= other.moments
            || !is_wider && self.moments >= other.moments
    }
}

/// A complete answer to a request with shared parts.
#[derive(Clone, Debug)]
struct Answer {
    began: Time,
    parts: Vec<Fingerprint>,
}

impl Answer {
    fn is_of(&self, service: NameHash) -> bool {
        self.parts.iter().any(|part| part.owner == service)
    }
}

/// The latest crashes and complete answers known to a box.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// In the order of their times.
    crashes: VecDeque<Crash>,
    /// When the last complete answer with a part began: recent entries, and older ones.
    successes: [HashMap<Fingerprint, Time>; 2],
    /// The last complete answers to requests with shared parts.
    answers: VecDeque<Answer>,
}

impl Log {
    /// Records the attempts of one box at a crashed server.
    pub fn record(&mut self, report: &Report, origin: Origin, now: Time) {
        let at = Time(now.0.saturating_sub(report.age.0));
        let same = |crash: &&mut Crash| {
            crash.life == report.life
                && crash.at.since(at).max(at.since(crash.at)) < SAME_CRASH_TIME
        };
        if self.crashes.iter_mut().find(same).is_none() {
            while self.crashes.len() >= MAX_CRASHES
                || self.crashes.front().is_some_and(|c| now.since(c.at) > HOLD)
            {
                self.crashes.pop_front();
            }
            let position = self.crashes.partition_point(|crash| crash.at <= at);
            let crash = Crash {
                life: report.life,
                service: report.service,
                at,
                reported: None,
                contents: BTreeSet::new(),
                parts: BTreeMap::new(),
                own: BTreeSet::new(),
            };
            self.crashes.insert(position, crash);
        }
        let Some(crash) = self.crashes.iter_mut().find(same) else {
            return;
        };
        for suspect in &report.suspects {
            if crash.contents.insert(suspect.content) {
                crash.reported = Some(now);
            }
            for part in &suspect.parts {
                let part = Fingerprint {
                    owner: report.service,
                    content: *part,
                };
                if crash.parts.len() < MAX_PARTS || crash.parts.contains_key(&part) {
                    let contents = crash.parts.entry(part).or_default();
                    *contents.entry(suspect.content).or_default() |= suspect.recent;
                    if origin == Origin::Own {
                        crash.own.insert(part);
                    }
                }
            }
        }
    }

    /// Reports whether a request of this box with `part` was in flight at the crash of `life`.
    pub fn is_own(&self, life: NameHash, part: &Fingerprint) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.life == life && crash.own.contains(part))
    }

    /// Reports whether a request of this box with `part` was in flight at any crash.
    pub fn is_own_part(&self, part: &Fingerprint) -> bool {
        self.crashes.iter().any(|crash| crash.own.contains(part))
    }

    /// Returns the crashes that all boxes have had the time to report on and that were not examined
    /// since.
    pub fn take_reported(&mut self, now: Time) -> Vec<NameHash> {
        let settled = |at: &mut Time| now.since(*at) >= REPORT_TIME;
        let crashes = self.crashes.iter_mut();
        let due = crashes.filter_map(|crash| crash.reported.take_if(settled).map(|_| crash.life));
        due.collect()
    }

    /// Records a complete answer of this box that began at `began`, to a request with these shared
    /// parts.
    pub fn record_answer(&mut self, parts: Vec<Fingerprint>, began: Time) {
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(Answer { began, parts });
    }

    /// Reports whether many of the service's complete answers had `part`; `None` if there were too
    /// few to tell.
    fn is_popular(&self, part: &Fingerprint) -> Option<bool> {
        let answers = self.answers.iter().filter(|a| a.is_of(part.owner));
        let (all, with) = answers.fold((0, 0), |(all, with), answer| {
            (all + 1, with + u32::from(answer.parts.contains(part)))
        });
        (all >= MIN_ANSWERS).then_some(f64::from(with) >= POPULAR_SHARE * all as f64)
    }

    /// Reports whether this box believes another one that holds `part`. It judges a popular part by
    /// itself.
    pub fn accepts(&self, part: &Fingerprint) -> bool {
        self.is_popular(part) != Some(true) || self.explains(part)
    }

    /// Records a complete answer with `part` that began at `began`. Returns whether the other boxes
    /// are to be told, since it removes evidence.
    pub fn record_success(&mut self, part: Fingerprint, began: Time) -> bool {
        let before = self.crashes_with(&part).count();
        let [recent, older] = &mut self.successes;
        if recent.len() >= MAX_SUCCESSES {
            *older = std::mem::take(recent);
        }
        let known = recent.entry(part).or_insert(began);
        *known = began.max(*known);
        self.crashes_with(&part).count() < before
    }

    /// Returns when the last complete answer with `part` began.
    pub fn last_success(&self, part: &Fingerprint) -> Option<Time> {
        let known = self.successes.iter().filter_map(|known| known.get(part));
        known.max().copied()
    }

    /// Reports whether anything is known of `part`.
    pub fn knows(&self, part: &Fingerprint) -> bool {
        self.last_success(part).is_some() || self.crashes.iter().any(|c| c.parts.contains_key(part))
    }

    /// Reports whether complete answers contradict a hold of `part` that began at `held_at`: one began
    /// about then, and too few crashes came after it.
    pub fn refutes(&self, part: &Fingerprint, held_at: Time) -> bool {
        let recent = |began: Time| held_at.since(began) < REFUTATION_TIME;
        let series = self.series(part, Scope::All, &HashSet::new());
        self.last_success(part).is_some_and(recent) && series.moments < MIN_RECENT_MOMENTS
    }

    /// Reports whether `part` explains a series of crashes.
    fn explains(&self, part: &Fingerprint) -> bool {
        let explained = HashSet::new();
        [Scope::Recent, Scope::All]
            .into_iter()
            .any(|scope| self.is_sufficient(part, scope, &self.series(part, scope, &explained)))
    }

    /// Reports whether `series` is long enough to be explained by `part`.
    fn is_sufficient(&self, part: &Fingerprint, scope: Scope, series: &Series) -> bool {
        if series.moments < scope.min_moments() {
            return false;
        }
        let counts = |answer: &&Answer| {
            answer.is_of(part.owner) && series.since.is_some_and(|since| answer.began > since)
        };
        let answers = || self.answers.iter().filter(counts).count();
        let popular = self.is_popular(part);
        let popular = popular.unwrap_or_else(|| series.is_popular());
        !popular || series.expected(answers()) >= MISSING_ANSWERS
    }

    /// Returns the crashes that may have been caused by `part`.
    fn crashes_with<'a>(&'a self, part: &'a Fingerprint) -> impl Iterator<Item = &'a Crash> {
        let success = self.last_success(part);
        self.crashes.iter().filter(move |crash| {
            crash.parts.contains_key(part) && success.is_none_or(|began| began < crash.at)
        })
    }

    /// Returns the crashes of one service that are not explained, by moment.
    fn moments(&self, service: NameHash, explained: &HashSet<NameHash>) -> Vec<Vec<&Crash>> {
        let mut moments: Vec<Vec<&Crash>> = Vec::new();
        let open = |crash: &&Crash| crash.service == service && !explained.contains(&crash.life);
        for crash in self.crashes.iter().filter(open) {
            match moments.last_mut() {
                Some(moment) if crash.at.since(moment[0].at) < SAME_MOMENT => moment.push(crash),
                _ => moments.push(vec![crash]),
            }
        }
        moments
    }

    fn series(&self, part: &Fingerprint, scope: Scope, explained: &HashSet<NameHash>) -> Series {
        let success = self.last_success(part);
        let mut series = Series::default();
        for moment in self.moments(part.owner, explained) {
            let at = moment[0].at;
            let with = moment.iter().filter_map(|crash| crash.parts.get(part));
            let contents: Vec<_> = with.collect();
            if contents.len() < moment.len() || success.is_some_and(|began| began >= at) {
                continue;
            }
            let before = series.contents.len();
            let counts = |(_, recent): &(&Content, &bool)| scope == Scope::All || **recent;
            let contents = contents.into_iter().flatten().filter(counts);
            series
                .contents
                .extend(contents.map(|(content, _)| *content));
            if series.contents.len() > before {
                series.moments += 1;
                series.crashes += moment.len();
                let in_flight = moment.iter().map(|crash| crash.contents.len());
                series.in_flight += in_flight.sum::<usize>();
                series.since = series.since.or(Some(at));
            }
        }
        series
    }

    /// Returns the lives of the servers that the held parts crashed.
    pub fn explained(&self, is_held: impl Fn(&Fingerprint) -> bool) -> HashSet<NameHash> {
        let parts: BTreeSet<&Fingerprint> = self
            .crashes
            .iter()
            .flat_map(|crash| crash.parts.keys())
            .filter(|part| is_held(part))
            .collect();
        let crashes = parts.into_iter().flat_map(|part| self.crashes_with(part));
        crashes.map(|crash| crash.life).collect()
    }

    /// Reports whether a held part crashed the server with this life.
    pub fn is_explained(&self, life: NameHash, is_held: impl Fn(&Fingerprint) -> bool) -> bool {
        let mut crashes = self.crashes.iter().filter(|crash| crash.life == life);
        crashes.any(|crash| {
            let caused = |part: &Fingerprint| {
                let success = self.last_success(part);
                is_held(part) && success.is_none_or(|began| began < crash.at)
            };
            crash.parts.keys().any(caused)
        })
    }

    /// Returns the part that explains a series of crashes that ends with that of `life`, if there is
    /// exactly one. A part for which `is_suspected` holds needs no series.
    pub fn culprit(
        &self,
        life: NameHash,
        is_held: impl Fn(&Fingerprint) -> bool,
        is_suspected: impl Fn(&Fingerprint) -> bool,
    ) -> Option<(Fingerprint, Series)> {
        let crash = self.crashes.iter().rfind(|crash| crash.life == life)?;
        let explained = self.explained(is_held);
        if explained.contains(&life) {
            return None;
        }
        let scopes = [Scope::Recent, Scope::All].into_iter();
        let suspected = scopes.clone().find_map(|scope| {
            let parts = crash.parts.keys().filter(|part| is_suspected(part));
            let mut series = parts.map(|part| (*part, self.series(part, scope, &explained)));
            series.find(|(_, series)| series.moments > 0)
        });
        if suspected.is_some() {
            return suspected;
        }
        scopes.into_iter().find_map(|scope| {
            let parts = crash.parts.keys();
            let series = parts.map(|part| (*part, self.series(part, scope, &explained)));
            let all: Vec<(Fingerprint, Series)> = series.collect();
            let sufficient = all
                .iter()
                .filter(|(part, series)| self.is_sufficient(part, scope, series));
            let strength = |series: &Series| (series.moments, Reverse(series.contents.len()));
            let (part, best) = sufficient.max_by_key(|(_, series)| strength(series))?;
            // A popular part is at every crash by chance.
            let is_rival = |(other, series): &&(Fingerprint, Series)| {
                let plausible = self.is_popular(other) != Some(true)
                    || self.is_sufficient(other, scope, series);
                other != part && plausible && series.rivals(best)
            };
            let rivals = all.iter().filter(is_rival);
            (rivals.count() == 0).then(|| (*part, best.clone()))
        })
    }

    /// Reports whether one more crash with `part` would make it explain a series.
    pub fn needs_one_more(&self, part: &Fingerprint) -> bool {
        let explained = HashSet::new();
        [Scope::Recent, Scope::All].into_iter().any(|scope| {
            let mut series = self.series(part, scope, &explained);
            series.moments += 1;
            series.moments > 1 && self.is_sufficient(part, scope, &series)
        })
    }
}
