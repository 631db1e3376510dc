//! The few of a region's thousands of backend servers that a request looks at first.
//!
//! Load pattern: 1,274 requests a second over 984 boxes and 9,552 engines, of whose slots 0.2% are in use. A box
//! that chooses among 4,328 engines each time opens a channel a request, finds no part of a prompt cached, and
//! spends a quarter of its processor time on looking at them (samples of 39 boxes in traffic). So a request
//! looks at a few by a key, and at all where none of these would take it at once: what is cold, leaving, limited,
//! busy or failing is made up for in the same decision.

use crate::{
    config::Backend,
    id::Region,
    member::weight,
    memory::cache,
    memory::prompt::Prompt,
    policy::{Choice, Place, Policy},
    reducer::{
        State,
        place::{Decision, Wish},
    },
    unit::Millis,
    wire::Short,
};

/// Servers of a region up to which a request looks at all of them: 17 us a decision at 34 ns a server.
const ALL: usize = 512;
/// Servers by a box's own name: some 200 slots, for a box that has a few requests in hand.
const OWN: usize = 16;
/// Servers by a long part or the beginning of a prompt, alike at every box.
const OWNERS: usize = 4;
/// Where the chosen server is busier than this, all are looked at: more are used as load grows, before any is full.
const HALF: f64 = 0.5;
/// Where the chosen server fails this share of its requests, all are looked at.
const FAILING: f64 = 0.05;

impl Decision {
    /// Whether a server of this region takes the request at once and has room for more, so that it is not worth
    /// looking at the others.
    pub(super) fn is_easy(&self) -> bool {
        let Choice::Send(place @ Place::Backend(_)) = &self.choice else {
            return false;
        };
        let chosen = self.candidates.iter().find(|c| c.place == *place);
        chosen.is_some_and(|c| {
            c.free > 0 && c.wait == Millis(0) && c.load <= HALF && c.failing < FAILING
        })
    }
}

/// What a request's few servers are found by.
struct Few {
    /// Where they begin on the ring of names.
    key: u64,
    /// How many are looked at.
    most: usize,
}

impl<P: Policy> State<P> {
    /// The few servers of this region that a request looks at first; none where it looks at all of them.
    pub(super) fn few(&self, wish: &Wish<'_>) -> Option<Vec<&Backend>> {
        // A roll-out needs servers of both releases.
        match self.is_watched(&wish.plan.service, wish.now) {
            true => None,
            false => self.near(wish, &self.table.me.region),
        }
    }

    /// The servers of another region by which it is judged; all of them where they are not too many.
    pub(super) fn some_there(&self, wish: &Wish<'_>, region: &Region) -> Vec<&Backend> {
        let all = || self.fleet.serving(&wish.plan.service, region).collect();
        self.near(wish, region).unwrap_or_else(all)
    }

    /// Servers that hold the longest part of the prompt, as far as this box knows, and those next to its key;
    /// none in a region where all may be looked at.
    fn near(&self, wish: &Wish<'_>, region: &Region) -> Option<Vec<&Backend>> {
        let service = &wish.plan.service;
        if self.fleet.count(service, region) <= ALL {
            return None;
        }
        let long = wish.job.prompt.as_ref().and_then(Prompt::longest);
        let long = long.filter(|part| part.tokens >= cache::LONG);
        let few = match (long, &wish.job.prompt) {
            (Some(part), _) => Few {
                key: part.id,
                most: OWNERS,
            },
            (None, None) => Few {
                key: wish.job.prefix,
                most: OWNERS,
            },
            // What is short is read anywhere: the fewer servers, the fewer channels.
            (None, Some(_)) => Few {
                key: weight(&self.table.me.name, service.as_str()),
                most: OWN,
            },
        };
        let usable = |b: &&Backend| wish.plan.allows(b) && self.excluded(wish.now, b).is_none();
        let around = self.fleet.around(service, region, few.key).filter(usable);
        let mut near: Vec<&Backend> = around.take(few.most).collect();
        let holders = long
            .into_iter()
            .flat_map(|part| self.cache.holders(part.id));
        let holders = holders.filter_map(|short: Short| self.fleet.get(self.fleet.long(short)?));
        let holders = holders.filter(|b| b.region == *region && b.serves.contains(service));
        for holder in holders {
            if !near.iter().any(|b| b.name == holder.name) {
                near.push(holder);
            }
        }
        Some(near)
    }
}
