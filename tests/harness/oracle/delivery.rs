//! Delivers requests, outcomes and messages to boxes and backend servers.

use super::*;

impl Net {
    pub(super) fn arrive(
        &mut self,
        index: usize,
        client: Client,
        root: usize,
        hop: Hop,
        time_left: Millis,
    ) {
        let operation = self.operations[self.sent[root].operation].clone();
        let slot = &mut self.slots[index];
        let request = id::Request(slot.requests);
        slot.requests += 1;
        slot.clients.insert(request, (client, root, hop.clone()));
        // A second entry outlives the answer and identifies the operation of a later replay.
        let alias = id::Request(u64::MAX - request.0);
        slot.clients.insert(alias, (client, root, hop.clone()));
        let key_hash = KeyHash::of(API_KEYS[operation.caller].as_bytes());
        let credential = match hop {
            Hop::Direct => Credential::Key(key_hash),
            Hop::Relay(_) | Hop::Pass => {
                Credential::Verified(format!("c{}", operation.caller).parse().expect("a name"))
            }
        };
        let arrival = Arrival {
            content: Default::default(),
            tag: None,
            host: None,
            prompt: None,
            draw: 0,
            runs: None,
            request,
            credential,
            path: operation.path.to_owned(),
            model: None,
            prefix: 0,
            key: operation.key.map_or(Key::Absent, Key::Good),
            left: Some(time_left),
            hop,
        };
        self.dispatch(index, Event::Arrived(arrival));
    }

    pub(super) fn fail(&mut self, index: usize, send: &Send, verdict: Verdict, cause: Cause) {
        if self.slots[index].open.get(&send.request) == Some(&send.attempt) {
            self.slots[index].open.remove(&send.request);
        }
        self.dispatch(
            index,
            Event::Failed {
                request: send.request,
                attempt: send.attempt,
                verdict,
                cause,
            },
        );
    }

    /// Takes one entry out of those in flight and delivers it; `fate` selects loss, duplication or
    /// a fault.
    pub(super) fn deliver(&mut self, pick: usize, fate: u8) {
        if self.in_flight.is_empty() {
            return;
        }
        let item = self.in_flight.remove(pick % self.in_flight.len());
        match item {
            InFlight::Frame { to, from, frame } => {
                if fate % 8 == 7 {
                    let frame = frame.clone();
                    self.in_flight.push(InFlight::Frame { to, from, frame });
                }
                let unreachable = self.partitioned && region(to) != region(from);
                if !unreachable && fate % 8 != 6 {
                    self.dispatch(to, Event::Received(frame));
                }
            }
            InFlight::Attempt {
                from,
                incarnation,
                root,
                send,
                hop,
            } => self.attempt(from, incarnation, root, send, hop, fate),
            InFlight::Outcome {
                to,
                incarnation,
                request,
                attempt,
                outcome,
            } => self.outcome(to, incarnation, request, attempt, outcome),
        }
    }

    pub(super) fn outcome(
        &mut self,
        to: usize,
        incarnation: u64,
        request: id::Request,
        attempt: id::Attempt,
        outcome: Outcome,
    ) {
        if self.slots[to].incarnation != incarnation {
            return;
        }
        if self.slots[to].frozen {
            // The connection is frozen with the box.
            return self.in_flight.push(InFlight::Outcome {
                to,
                incarnation,
                request,
                attempt,
                outcome,
            });
        }
        let event = match outcome {
            Outcome::Begun => Event::Begun { request, attempt },
            Outcome::Ended(whole) => {
                if self.slots[to].open.get(&request) == Some(&attempt) {
                    self.close_streamed(to, request, whole);
                }
                Event::Ended {
                    request,
                    attempt,
                    whole,
                    timing: Default::default(),
                }
            }
            Outcome::Failed(verdict, cause) => Event::Failed {
                request,
                attempt,
                verdict,
                cause,
            },
        };
        self.dispatch(to, event);
    }

    /// Ends a streamed answer at box `index` and forwards its end, complete or not, to the client.
    pub(super) fn close_streamed(&mut self, index: usize, request: id::Request, whole: bool) {
        let Some((client, root, _)) = self.slots[index].clients.remove(&request) else {
            return;
        };
        match client {
            Client::Caller(_) => self.sent[root].answered = true,
            Client::Box {
                at,
                incarnation,
                request,
                attempt,
                ..
            } => {
                self.queue_outcomes(
                    at,
                    incarnation,
                    request,
                    attempt,
                    &[Outcome::Begun, Outcome::Ended(whole)],
                );
            }
        }
    }

    pub(super) fn attempt(
        &mut self,
        from: usize,
        incarnation: u64,
        root: usize,
        send: Send,
        hop: Hop,
        fate: u8,
    ) {
        let current = self.slots[from].incarnation == incarnation && self.slots[from].alive;
        let target = match &send.target {
            Target::Backend { .. } => {
                return self.attempt_at_backend(from, incarnation, root, &send, fate);
            }
            Target::Relay { peer, .. } | Target::Pass { peer } => *peer,
        };
        let Some(to) = (0..BOXES).find(|i| peer(*i) == target) else {
            return;
        };
        let unreachable = self.partitioned && region(to) != region(from);
        if unreachable || !self.slots[to].alive || fate % 8 == 6 {
            if current {
                self.fail(from, &send, Verdict::NotRun, Cause::Unreachable);
            }
            return;
        }
        let pass = matches!(send.target, Target::Pass { .. });
        let next = match pass {
            true => Hop::Pass,
            false => Hop::Relay(region(from).parse().expect("a name")),
        };
        assert_eq!(hop, Hop::Direct, "relayed or passed twice");
        let client = Client::Box {
            at: from,
            incarnation,
            request: send.request,
            attempt: send.attempt,
            pass,
        };
        self.arrive(to, client, root, next, Millis(1500));
        if fate % 8 == 5 && current {
            // The request arrived before the connection broke.
            self.fail(from, &send, Verdict::MayHaveRun, Cause::Broken);
        }
    }

    pub(super) fn attempt_at_backend(
        &mut self,
        from: usize,
        incarnation: u64,
        root: usize,
        send: &Send,
        fate: u8,
    ) {
        let fail = |net: &mut Self, verdict, cause| {
            if net.slots[from].incarnation == incarnation {
                net.fail(from, send, verdict, cause);
            }
        };
        match fate % 8 {
            4 => fail(self, Verdict::NotRun, Cause::Refused),
            5 => fail(self, Verdict::NotRun, Cause::Unreachable),
            6 => {
                self.check_run(root);
                fail(self, Verdict::MayHaveRun, Cause::Broken);
            }
            other => {
                self.check_run(root);
                let outcomes = [Outcome::Begun, Outcome::Ended(other != 3)];
                self.queue_outcomes(from, incarnation, send.request, send.attempt, &outcomes);
            }
        }
    }
}
