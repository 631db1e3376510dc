//! Events of the roll-out simulation: callers send requests, boxes route them, servers answer, and
//! the store notifies its watchers.

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

/// Mean duration of an answer in milliseconds, and its relative variation.
const ANSWER_MS: (f64, f64) = (120.0, 0.4);
/// Fraction of an answer's duration after which its first byte arrives.
const FIRST_BYTE_FRACTION: f64 = 0.8;
/// Requests in flight from which a server with [`Fault::UnderLoad`] fails.
const LOADED_REQUESTS: u32 = 2;
/// Share of requests on [`ROUTES`]`[1]` that fail on any release.
const CALLER_ERROR_SHARE: f64 = 0.1;
/// Path prefixes of the routes; [`FIRST_SHARE`] is the share of requests on the first one.
const ROUTES: [&str; 2] = ["/read/", "/write/"];
const FIRST_SHARE: f64 = 0.6;

/// A request that runs on a server.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) number: usize,
    pub(super) send: Send,
    pub(super) server: usize,
    pub(super) first_byte_at: Time,
    pub(super) ends_at: Time,
    pub(super) begun: bool,
    pub(super) fails: bool,
}

impl Scene {
    pub(super) fn deliver_store_events(&mut self) {
        if self.store.down {
            return;
        }
        // Watchers get the store's revision every second, whether or not it has changed.
        if self.crowd.now.0.is_multiple_of(1000) {
            let at = self.crowd.now;
            let revision = self.store.revision;
            for number in 0..self.crowd.boxes.len() {
                self.pending_events
                    .push_back((at, number, Event::Synced(revision)));
            }
        }
        while self
            .pending_events
            .front()
            .is_some_and(|(at, ..)| *at <= self.crowd.now)
        {
            let Some((_, number, event)) = self.pending_events.pop_front() else {
                return;
            };
            if self.follows[number] != Follow::Forwarded {
                self.step(number, event);
            }
        }
    }

    pub(super) fn issue_request(&mut self) {
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
            self.execute(number, effect);
        }
    }

    pub(super) fn execute(&mut self, number: usize, effect: Effect) {
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

    /// Writes the standing of an order to the store, which accepts one final state per order.
    fn settle(&mut self, order: &Order, standing: Standing) {
        let same = self.store.entry.order.as_ref() == Some(order);
        let finished = self
            .store
            .entry
            .standing()
            .is_some_and(|s| s != Standing::Active);
        if self.store.down || !same || finished || self.store.entry.standing() == Some(standing) {
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
        self.notify_rollouts();
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
        let fails =
            fails || send.route.as_str() == "write" && self.rng.random_bool(CALLER_ERROR_SHARE);
        let target = &mut self.servers[server];
        target.busy += 1;
        let queue_factor = 1.0 + f64::from(target.busy.saturating_sub(SLOTS)) / f64::from(SLOTS);
        let variation = 1.0 + ANSWER_MS.1 * self.rng.random_range(-1.0..1.0);
        let cold_factor = if at < Time(self.ordered.0 + 3500) && new {
            1.6
        } else {
            1.0
        };
        let slow_factor = if slow { 4.0 } else { 1.0 };
        let duration_ms =
            ANSWER_MS.0 * variation * target.speed * queue_factor * cold_factor * slow_factor;
        self.runs.push(Run {
            number,
            server,
            first_byte_at: at + Millis((duration_ms * FIRST_BYTE_FRACTION) as u64),
            ends_at: at + Millis(duration_ms as u64),
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
            Fault::UnderLoad(share) => (busy >= LOADED_REQUESTS && rng.random_bool(share), false),
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

    /// Relays the request to a box of another region.
    fn relay(&mut self, number: usize, send: Send) {
        let Target::Relay { peer, .. } = send.target else {
            return;
        };
        let Some(other) = self.crowd.by_peer(peer) else {
            return;
        };
        let from: Region = self.crowd.region(number).parse().expect("valid name");
        self.requests += 1;
        let path = format!("/{}/", send.route);
        let draw = self.rng.random();
        let arrival = self.arrival(&path, draw, Hop::Relay(from));
        let key = (other, arrival.request);
        self.relays
            .insert(key, (number, send.request, send.attempt));
        self.step(other, Event::Arrived(arrival));
    }

    pub(super) fn advance_runs(&mut self) {
        for mut run in std::mem::take(&mut self.runs) {
            let now = self.crowd.now;
            if now < run.first_byte_at || self.crowd.frozen.contains(&run.number) {
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
            if now < run.ends_at {
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
