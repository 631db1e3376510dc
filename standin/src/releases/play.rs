//! How time passes in a scene: callers ask, boxes decide, servers answer, and the store tells its followers.

use std::net::SocketAddr;

use petreldrum::{
    fleet::Revision,
    id::{self, Region},
    reducer::{
        effect::{Effect, Follow, Send, Target},
        event::{Arrival, Cause, Credential, Event, Hop, Key},
    },
    rollout::{Order, Standing, Written},
    unit::{Millis, Time},
    verdict::Verdict,
};
use rand::Rng as _;

use super::{
    Came, Scene,
    servers::{Fault, SLOTS},
};

/// Mean time of an answer, and how far it varies.
const WORK: (f64, f64) = (120.0, 0.4);
/// The part of an answer's time after which it begins.
const BEGINS: f64 = 0.8;
/// Requests in hand from which on a server that fails under load does.
const LOADED: u32 = 2;
/// The share of requests on [`ROUTES`]`[1]` that fail wherever they run.
const CALLERS_FAULT: f64 = 0.1;
/// The routes, and the share of requests on the first.
const ROUTES: [&str; 2] = ["/read/", "/write/"];
const FIRST_SHARE: f64 = 0.6;

/// A request at a server.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) number: usize,
    pub(super) send: Send,
    pub(super) server: usize,
    pub(super) begins: Time,
    pub(super) ends: Time,
    pub(super) begun: bool,
    pub(super) fails: bool,
}

impl Scene {
    pub(super) fn deliver(&mut self) {
        if self.store.down {
            return;
        }
        // Followers hear of the store each second, whether or not something changed.
        if self.crowd.now.0.is_multiple_of(1000) {
            let at = self.crowd.now;
            let revision = self.store.revision;
            for number in 0..self.crowd.boxes.len() {
                self.due.push_back((at, number, Event::Synced(revision)));
            }
        }
        while self
            .due
            .front()
            .is_some_and(|(at, ..)| *at <= self.crowd.now)
        {
            let Some((_, number, event)) = self.due.pop_front() else {
                return;
            };
            if self.follows[number] != Follow::Forwarded {
                self.step(number, event);
            }
        }
    }

    pub(super) fn ask(&mut self) {
        self.requests += 1;
        let number = self.rng.random_range(0..self.crowd.boxes.len());
        if self.crowd.frozen.contains(&number) {
            return;
        }
        let second = !self.rng.random_bool(FIRST_SHARE);
        let draw = self.rng.random();
        let arrival = self.arrival(ROUTES[usize::from(second)], draw, Hop::Direct);
        self.step(number, Event::Arrived(arrival));
    }

    fn arrival(&self, path: &str, draw: u64, hop: Hop) -> Arrival {
        Arrival {
            request: id::Request(self.requests),
            tag: None,
            credential: Credential::Missing,
            host: Some("h.example".to_owned()),
            path: path.to_owned(),
            model: None,
            prefix: draw,
            prompt: None,
            content: Default::default(),
            draw,
            runs: None,
            key: Key::Absent,
            left: None,
            hop,
        }
    }

    pub(super) fn step(&mut self, number: usize, event: Event) {
        for effect in self.crowd.step(number, event) {
            self.carry_out(number, effect);
        }
    }

    pub(super) fn carry_out(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Send(send) => self.send(number, send),
            Effect::Reply { request, reply } => match self.relays.remove(&(number, request)) {
                None => self.refused += usize::from(reply.verdict.is_not_run()),
                Some((from, request, attempt)) => {
                    let (verdict, cause) = (reply.verdict, Cause::Refused);
                    self.step(from, failed(request, attempt, verdict, cause));
                }
            },
            Effect::Follow(follow) => self.follows[number] = follow,
            Effect::FetchRoster { peer, since } => self.fetch(number, peer, since),
            Effect::WriteRollout {
                order, standing, ..
            } => self.settle(&order, standing),
            Effect::Probe { backend, .. } => {
                let server = self.servers.iter().find(|s| s.backend.name == backend);
                let closed = !server.is_some_and(|s| s.up);
                self.step(number, Event::Probed { backend, closed });
            }
            _ => {}
        }
    }

    fn fetch(&mut self, number: usize, peer: SocketAddr, since: Option<Revision>) {
        let Some(other) = self.crowd.by_peer(peer) else {
            return;
        };
        let clock = self.crowd.clock(other);
        let state = self.crowd.boxes[other].as_ref();
        if let Some(roster) = state.and_then(|state| state.roster(clock, since)) {
            self.step(number, Event::Roster(roster));
        }
    }

    /// The store takes one end for an order.
    fn settle(&mut self, order: &Order, standing: Standing) {
        let same = self.store.entry.order.as_ref() == Some(order);
        let over = self
            .store
            .entry
            .standing()
            .is_some_and(|s| s != Standing::Active);
        if self.store.down || !same || over || self.store.entry.standing() == Some(standing) {
            return;
        }
        self.store.revision.number += 1;
        self.store.entry.written = Some(Written {
            standing,
            release: order.release.clone(),
            revision: self.store.revision,
        });
        if standing != Standing::Active {
            self.store.ends.push((self.crowd.now, standing));
        }
        self.tell_rollouts();
    }

    fn send(&mut self, number: usize, send: Send) {
        let Target::Backend { name, .. } = &send.target else {
            return self.relay(number, send);
        };
        let server = self.servers.iter().position(|s| s.backend.name == *name);
        let server = server.expect("a known server");
        if !self.servers[server].up {
            let (request, attempt) = (send.request, send.attempt);
            return self.step(
                number,
                failed(request, attempt, Verdict::NotRun, Cause::Unreachable),
            );
        }
        let at = self.crowd.now;
        let new = self.is_new(server);
        if self.store.entry.order.is_some() {
            self.came.push(Came { at, new, number });
        }
        let (fails, slow) = self.draw_fault(server, &send);
        if new && (fails || slow) {
            self.bad.push(at);
        }
        let fails = fails || send.route.as_str() == "write" && self.rng.random_bool(CALLERS_FAULT);
        let sim = &mut self.servers[server];
        sim.busy += 1;
        let queued = 1.0 + f64::from(sim.busy.saturating_sub(SLOTS)) / f64::from(SLOTS);
        let varied = 1.0 + WORK.1 * self.rng.random_range(-1.0..1.0);
        let cold = if at < Time(self.ordered.0 + 3500) && new {
            1.6
        } else {
            1.0
        };
        let slower = if slow { 4.0 } else { 1.0 };
        let took = WORK.0 * varied * sim.speed * queued * cold * slower;
        self.runs.push(Run {
            number,
            server,
            begins: at + Millis((took * BEGINS) as u64),
            ends: at + Millis(took as u64),
            begun: false,
            fails,
            send,
        });
    }

    fn draw_fault(&mut self, server: usize, send: &Send) -> (bool, bool) {
        if !self.is_new(server) {
            return (false, false);
        }
        let busy = self.servers[server].busy;
        let age = self.age();
        let rng = &mut self.rng;
        match self.fault {
            Fault::None => (false, false),
            Fault::Fails(share) => (rng.random_bool(share), false),
            Fault::Slow(share) => (false, rng.random_bool(share)),
            Fault::Later(share, from) => (age >= from && rng.random_bool(share), false),
            Fault::UnderLoad(share) => (busy >= LOADED && rng.random_bool(share), false),
            Fault::OneRoute(share) => (
                send.route.as_str() == "write" && rng.random_bool(share),
                false,
            ),
        }
    }

    fn is_new(&self, server: usize) -> bool {
        let ordered = self.store.entry.release();
        ordered.is_some() && self.servers[server].backend.release.as_ref() == ordered
    }

    /// The request goes on to a box of another region.
    fn relay(&mut self, number: usize, send: Send) {
        let Target::Relay { peer, .. } = send.target else {
            return;
        };
        let Some(other) = self.crowd.by_peer(peer) else {
            return;
        };
        let from: Region = self.crowd.region(number).parse().expect("a name");
        self.requests += 1;
        let path = format!("/{}/", send.route);
        let draw = self.rng.random();
        let arrival = self.arrival(&path, draw, Hop::Relay(from));
        let key = (other, arrival.request);
        self.relays
            .insert(key, (number, send.request, send.attempt));
        self.step(other, Event::Arrived(arrival));
    }

    pub(super) fn answer(&mut self) {
        for mut run in std::mem::take(&mut self.runs) {
            let now = self.crowd.now;
            if now < run.begins || self.crowd.frozen.contains(&run.number) {
                self.runs.push(run);
                continue;
            }
            if !run.begun && run.fails {
                self.servers[run.server].busy -= 1;
                self.fail(&run, Verdict::Ran, Cause::Errored);
                continue;
            }
            if !run.begun {
                run.begun = true;
                let (request, attempt) = (run.send.request, run.send.attempt);
                self.step(run.number, Event::Begun { request, attempt });
            }
            if now < run.ends {
                self.runs.push(run);
                continue;
            }
            self.servers[run.server].busy -= 1;
            self.served += 1;
            self.end(run.number, run.send.request, run.send.attempt);
        }
    }

    fn end(&mut self, number: usize, request: id::Request, attempt: id::Attempt) {
        let timing = Default::default();
        let whole = true;
        let ended = |request, attempt| Event::Ended {
            request,
            attempt,
            whole,
            timing,
        };
        self.step(number, ended(request, attempt));
        if let Some((from, request, attempt)) = self.relays.remove(&(number, request)) {
            self.step(from, Event::Begun { request, attempt });
            self.step(from, ended(request, attempt));
        }
    }

    pub(super) fn fail(&mut self, run: &Run, verdict: Verdict, cause: Cause) {
        let (request, attempt) = (run.send.request, run.send.attempt);
        self.step(run.number, failed(request, attempt, verdict, cause));
    }
}

fn failed(request: id::Request, attempt: id::Attempt, verdict: Verdict, cause: Cause) -> Event {
    Event::Failed {
        request,
        attempt,
        verdict,
        cause,
    }
}
