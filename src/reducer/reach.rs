//! Detects that this box has lost its path to the backend servers of its region, and relays its
//! requests through a neighbour that has one.
//!
//! A relayed request is never relayed again, so no loop can form.

use crate::{
    config::Backend,
    member::Peer,
    policy::{Candidate, Place, Policy},
    reducer::{
        State,
        effect::{Effect, Note},
        event::Hop,
        place::Query,
    },
    server::Server,
    unit::{Millis, Time},
    wire::PathLost,
};

/// Interval at which a box without a path still sends one request to a server itself, to notice that
/// the path is back.
const PATH_PROBE_INTERVAL: Millis = Millis(500);
/// Time for which the failure to reach a server counts, if it has not answered since. Open breakers
/// delay the next attempt by about two seconds.
const FAILURE_RETENTION: Millis = Millis(5000);
/// Time for which an answer of any server proves that there is a path.
const ANSWER_RETENTION: Millis = Millis(1000);

/// Path of this box to the backend servers of its region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Reach {
    /// Whether the last check found no path.
    pub(super) lost: bool,
    /// Whether no connection could be opened to most servers, while open ones may still work.
    impaired: bool,
    /// When a request was last sent to a server of this region.
    pub(super) tried_at: Option<Time>,
}

impl<P: Policy> State<P> {
    /// Checks whether this box still has a path, and logs a change.
    pub(super) fn update_reach(&mut self, now: Time, out: &mut Vec<Effect>) {
        let (failed, used) = self.count_servers(|s| s.dial_failed_within(FAILURE_RETENTION, now));
        self.reach.impaired = failed * 2 > used;
        let lost = self.finds_no_path(now);
        if lost != self.reach.lost {
            self.reach.lost = lost;
            let neighbours = self.connected_neighbours(now).count();
            out.push(Effect::Noted(Note::Path { lost, neighbours }));
        }
    }

    /// Reports whether most of the servers that this box sent to could not be reached, and none
    /// answered. A lost path counts as lost while any server cannot be reached, because few requests
    /// are sent there then.
    fn finds_no_path(&self, now: Time) -> bool {
        let answers = |s: &Server| s.answered_within(ANSWER_RETENTION, now);
        if self.servers.values().any(answers) {
            return false;
        }
        let (unreachable, used) =
            self.count_servers(|s| s.unreachable_within(FAILURE_RETENTION, now));
        unreachable * 2 > used || self.reach.lost && unreachable > 0
    }

    /// Returns how many servers of this region that the box sent to fit, and how many there are.
    fn count_servers(&self, fits: impl Fn(&Server) -> bool) -> (usize, usize) {
        let mine = &self.table.me.region;
        let servers = self.servers.iter();
        let own = servers.filter(|(name, _)| {
            let backend = self.fleet.get(name);
            backend.is_some_and(|backend| backend.region == *mine)
        });
        own.fold((0, 0), |(fitting, used), (_, server)| {
            (fitting + usize::from(fits(server)), used + 1)
        })
    }

    /// Returns what heartbeats say of the path.
    pub(super) fn path_lost(&self) -> PathLost {
        PathLost(self.reach.lost || self.reach.impaired)
    }

    /// Returns the boxes of this region that take work and have a path to its servers.
    pub(super) fn connected_neighbours(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.table.ready(now).filter(|peer| !peer.last.path_lost.0)
    }

    /// Returns the neighbour that takes the next relayed request, taking turns.
    pub(super) fn relay_neighbour(&self, now: Time) -> Option<&Peer> {
        let count = self.connected_neighbours(now).count() as u64;
        let turn = self.attempts.checked_rem(count)?;
        self.connected_neighbours(now).nth(turn as usize)
    }

    /// Returns the neighbours as the only place of this region for a request, if this box is not to
    /// try its own path.
    pub(super) fn neighbour_instead(&self, wish: &Query<'_>) -> Option<Candidate> {
        let probed = |at: Time| wish.now.since(at) < PATH_PROBE_INTERVAL;
        let lost = self.reach.lost && self.reach.tried_at.is_some_and(probed);
        match lost || self.found_no_path(wish) {
            true => self.neighbour_candidate(wish),
            false => None,
        }
    }

    /// Reports whether this request found a server unreachable, as most are.
    fn found_no_path(&self, wish: &Query<'_>) -> bool {
        let unreachable = |place: &Place| match place {
            Place::Backend(name) => {
                let server = self.servers.get(name);
                server.is_some_and(|s| s.dial_failed_within(FAILURE_RETENTION, wish.now))
            }
            Place::Region(_) => false,
        };
        self.reach.impaired && wish.job.tried.iter().any(unreachable)
    }

    /// Returns the neighbours as a place for a request, if this box cannot reach the servers that
    /// could run it.
    pub(super) fn neighbour_candidate(&self, wish: &Query<'_>) -> Option<Candidate> {
        let mine = &self.table.me.region;
        let place = Place::Region(mine.clone());
        if wish.job.hop != Hop::Direct || wish.job.tried.contains(&place) {
            return None;
        }
        self.relay_neighbour(wish.now)?;
        let permitted = |b: &&Backend| wish.plan.permits_backend(b) && !self.leaving(b);
        let servers = self.fleet.serving(&wish.plan.service, mine);
        let known = |b: &Backend| Some((b.slots, b.price, self.servers.get(&b.name)?));
        let known: Vec<(u32, f64, &Server)> = servers.filter(permitted).filter_map(known).collect();
        let unreachable = |(_, _, server): &(u32, f64, &Server)| {
            server.dial_failed_within(FAILURE_RETENTION, wish.now)
        };
        let (slots, price, server) = known.first()?;
        let slots = (*slots).max(1);
        if !self.path_lost().0 && !known.iter().all(unreachable) {
            return None;
        }
        Some(Candidate {
            place,
            home: mine == wish.home,
            free: slots,
            load: 0.0,
            risk: Millis(0),
            margin: Millis(0),
            step: Millis(server.whole().0 / u64::from(slots)),
            wait: Millis(0),
            first: server.first(),
            hop: Millis(0),
            price: *price,
            warm: wish.job.prompt.is_some(),
            burden: Millis(0),
            failing: 0.0,
        })
    }
}
