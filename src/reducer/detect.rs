//! Requests leave backend servers that have failed without a word.
//!
//! Connections to a machine that is gone stay open for seconds. Its streams tell sooner, all together;
//! those that may be resumed, and requests that may be repeated, then go on elsewhere.

use std::collections::HashMap;

use crate::{
    id,
    policy::{Place, Policy},
    reducer::{
        State, TICK,
        effect::{Effect, Note},
        event::Sign,
        job::{Spot, Stage},
    },
    unit::Time,
};

/// The attempts in hand at one backend server.
#[derive(Default)]
struct Load {
    attempts: Vec<(id::Request, id::Attempt)>,
    /// How many of them are streams that have begun.
    streams: usize,
}

impl<P: Policy> State<P> {
    /// Takes in which backend servers' streams brought something since the last word.
    pub(super) fn hear_signs(&mut self, now: Time, signs: Vec<Sign>, out: &mut Vec<Effect>) {
        for sign in signs {
            let Some(name) = self.fleet.long(sign.backend) else {
                continue;
            };
            let server = self.servers.get_mut(name);
            if server.is_some_and(|s| s.hear_stream(sign.pause, now)) {
                out.push(Effect::Noted(Note::Regained(name.clone())));
            }
        }
    }

    /// Looks for backend servers whose streams have fallen silent, and moves what may be moved.
    pub(super) fn detect_failed(&mut self, now: Time, out: &mut Vec<Effect>) {
        let loads = self.loads();
        let mut failed = Vec::new();
        for (name, server) in &mut self.servers {
            let streams = loads.get(name).map_or(0, |load| load.streams);
            if server.miss_stream(TICK, streams, now) {
                out.push(Effect::Noted(Note::Failed(name.clone())));
                let address = self.fleet.get(name).map(|backend| backend.address);
                out.extend(address.map(Effect::CloseIdle));
            }
            if let Some(at) = server.failed_at() {
                failed.push((name.clone(), at));
            }
        }
        failed.sort_unstable();
        for (name, at) in failed {
            let Some(load) = loads.get(&name) else {
                continue;
            };
            for (request, attempt) in &load.attempts {
                self.leave_failed(now, *request, *attempt, at, out);
            }
        }
    }

    /// What is in hand at each backend server, in the order of the requests.
    fn loads(&self) -> HashMap<id::Backend, Load> {
        let mut loads: HashMap<id::Backend, Load> = HashMap::new();
        for (request, job) in &self.jobs {
            let Stage::Sent {
                attempt,
                spot: Spot::Chosen(Place::Backend(name), _),
                begun,
                ..
            } = &job.stage
            else {
                continue;
            };
            let load = loads.entry(name.clone()).or_default();
            load.attempts.push((*request, *attempt));
            // One that is being stopped is silent for that.
            load.streams += usize::from(begun.is_some() && job.stream && !job.is_stopping());
        }
        for load in loads.values_mut() {
            load.attempts.sort_unstable();
        }
        loads
    }

    /// Moves a request away from a backend server that failed at `failed`, where it may go on
    /// elsewhere. What went there later shows whether it is well again, and gets its time.
    fn leave_failed(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        failed: Time,
        out: &mut Vec<Effect>,
    ) {
        let Some(held) = self.in_hand(request, attempt) else {
            return;
        };
        if held.at > failed {
            return;
        }
        let job = &self.jobs[&request];
        if held.has_begun() && job.is_stopping() {
            return;
        }
        let may_go = if held.has_begun() {
            job.resumable
        } else {
            job.repeatable
        };
        if may_go {
            self.relocate(now, request, attempt, &held, out);
        }
    }
}
