//! Moves requests away from backend servers that failed without closing their connections.
//!
//! Connections to a machine that is gone stay open for seconds. Its streams show the failure
//! sooner, because all of them fall silent together. Resumable streams and repeatable requests then
//! continue elsewhere.

use std::collections::HashMap;

use crate::{
    id,
    policy::{Place, Policy},
    reducer::{
        State, TICK,
        effect::{Effect, Note},
        event::Activity,
        job::{Assignment, Stage},
    },
    unit::Time,
};

/// The attempts in flight at one backend server.
#[derive(Default)]
struct BackendLoad {
    attempts: Vec<(id::Request, id::Attempt)>,
    /// The number of these attempts that are streams whose answer has begun.
    streams: usize,
}

impl<P: Policy> State<P> {
    /// Records which backend servers' streams delivered data since the last report.
    pub(super) fn record_activity(
        &mut self,
        now: Time,
        signs: Vec<Activity>,
        out: &mut Vec<Effect>,
    ) {
        for sign in signs {
            let Some(name) = self.fleet.long(sign.backend) else {
                continue;
            };
            let server = self.servers.get_mut(name);
            if server.is_some_and(|s| s.record_stream_data(sign.pause, now)) {
                out.push(Effect::Noted(Note::Recovered(name.clone())));
            }
        }
    }

    /// Detects backend servers whose streams have fallen silent, and moves their requests where
    /// possible.
    pub(super) fn detect_failed(&mut self, now: Time, out: &mut Vec<Effect>) {
        let loads_by_backend = self.loads_by_backend();
        let mut failed = Vec::new();
        for (name, server) in &mut self.servers {
            let streams = loads_by_backend.get(name).map_or(0, |load| load.streams);
            if server.record_stream_silence(TICK, streams, now) {
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
            let Some(load) = loads_by_backend.get(&name) else {
                continue;
            };
            for (request, attempt) in &load.attempts {
                self.move_off_failed(now, *request, *attempt, at, out);
            }
        }
    }

    /// Returns the attempts in flight at each backend server, ordered by request.
    fn loads_by_backend(&self) -> HashMap<id::Backend, BackendLoad> {
        let mut loads_by_backend: HashMap<id::Backend, BackendLoad> = HashMap::new();
        for (request, job) in &self.jobs {
            let Stage::Sent {
                attempt,
                spot: Assignment::Chosen(Place::Backend(name), _),
                begun,
                ..
            } = &job.stage
            else {
                continue;
            };
            let load = loads_by_backend.entry(name.clone()).or_default();
            load.attempts.push((*request, *attempt));
            // A stream that is being stopped is silent for that reason.
            load.streams += usize::from(begun.is_some() && job.stream && !job.is_stopping());
        }
        for load in loads_by_backend.values_mut() {
            load.attempts.sort_unstable();
        }
        loads_by_backend
    }

    /// Moves a request away from a backend server that failed at `failed`, if it may continue
    /// elsewhere. Attempts sent after the failure stay: they show whether the server has recovered.
    fn move_off_failed(
        &mut self,
        now: Time,
        request: id::Request,
        attempt: id::Attempt,
        failed: Time,
        out: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self.in_hand(request, attempt) else {
            return;
        };
        if in_flight.at > failed {
            return;
        }
        let job = &self.jobs[&request];
        if in_flight.has_begun() && job.is_stopping() {
            return;
        }
        let may_move = if in_flight.has_begun() {
            job.resumable
        } else {
            job.repeatable
        };
        if may_move {
            self.retry_elsewhere(now, request, attempt, &in_flight, out);
        }
    }
}
