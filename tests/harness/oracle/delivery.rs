//! How requests, outcomes and messages reach boxes and backend servers.

use super::*;

impl Net {
    pub(super) fn arrive(
        &mut self,
        index: usize,
        client: Client,
        root: usize,
        hop: Hop,
        left: Millis,
    ) {
        let wish = self.wishes[self.sent[root].wish].clone();
        let slot = &mut self.slots[index];
        let request = id::Request(slot.requests);
        slot.requests += 1;
        slot.clients.insert(request, (client, root, hop.clone()));
        // Kept aside under another number, to know whose answer a replay is.
        let aside = id::Request(u64::MAX - request.0);
        slot.clients.insert(aside, (client, root, hop.clone()));
        let key_hash = KeyHash::of(API_KEYS[wish.caller].as_bytes());
        let credential = match hop {
            Hop::Direct => Credential::Key(key_hash),
            Hop::Relay(_) | Hop::Pass => {
                Credential::Verified(format!("c{}", wish.caller).parse().expect("a name"))
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
            path: wish.path.to_owned(),
            model: None,
            prefix: 0,
            key: wish.key.map_or(Key::Absent, Key::Good),
            left: Some(left),
            hop,
        };
        self.tell(index, Event::Arrived(arrival));
    }

    pub(super) fn fail(&mut self, index: usize, send: &Send, verdict: Verdict, cause: Cause) {
        if self.slots[index].open.get(&send.request) == Some(&send.attempt) {
            self.slots[index].open.remove(&send.request);
        }
        self.tell(
            index,
            Event::Failed {
                request: send.request,
                attempt: send.attempt,
                verdict,
                cause,
            },
        );
    }

    /// Delivers one thing under way; `how` picks among the ways it may go.
    pub(super) fn deliver(&mut self, pick: usize, how: u8) {
        if self.items.is_empty() {
            return;
        }
        let item = self.items.remove(pick % self.items.len());
        match item {
            Item::Frame { to, from, frame } => {
                if how % 8 == 7 {
                    let frame = frame.clone();
                    self.items.push(Item::Frame { to, from, frame });
                }
                let apart = self.cut && region(to) != region(from);
                if !apart && how % 8 != 6 {
                    self.tell(to, Event::Received(frame));
                }
            }
            Item::Attempt {
                from,
                life,
                root,
                send,
                hop,
            } => self.attempt(from, life, root, send, hop, how),
            Item::Outcome {
                to,
                life,
                request,
                attempt,
                outcome,
            } => self.outcome(to, life, request, attempt, outcome),
        }
    }

    pub(super) fn outcome(
        &mut self,
        to: usize,
        life: u64,
        request: id::Request,
        attempt: id::Attempt,
        outcome: Outcome,
    ) {
        if self.slots[to].life != life {
            return;
        }
        if self.slots[to].frozen {
            // Its connection stands still with it.
            return self.items.push(Item::Outcome {
                to,
                life,
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
        self.tell(to, event);
    }

    /// A streamed answer ends at `index`: whoever waits there has it, whole or cut.
    pub(super) fn close_streamed(&mut self, index: usize, request: id::Request, whole: bool) {
        let Some((client, root, _)) = self.slots[index].clients.remove(&request) else {
            return;
        };
        match client {
            Client::Caller(_) => self.sent[root].answered = true,
            Client::Box {
                at,
                life,
                request,
                attempt,
                ..
            } => {
                self.under_way(
                    at,
                    life,
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
        life: u64,
        root: usize,
        send: Send,
        hop: Hop,
        how: u8,
    ) {
        let current = self.slots[from].life == life && self.slots[from].alive;
        let target = match &send.target {
            Target::Backend { .. } => return self.at_backend(from, life, root, &send, how),
            Target::Relay { peer, .. } | Target::Pass { peer } => *peer,
        };
        let Some(to) = (0..BOXES).find(|i| peer(*i) == target) else {
            return;
        };
        let apart = self.cut && region(to) != region(from);
        if apart || !self.slots[to].alive || how % 8 == 6 {
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
        assert_eq!(hop, Hop::Direct, "passed on twice");
        let client = Client::Box {
            at: from,
            life,
            request: send.request,
            attempt: send.attempt,
            pass,
        };
        self.arrive(to, client, root, next, Millis(1500));
        if how % 8 == 5 && current {
            // It arrived, and then the connection broke.
            self.fail(from, &send, Verdict::MayHaveRun, Cause::Broken);
        }
    }

    pub(super) fn at_backend(&mut self, from: usize, life: u64, root: usize, send: &Send, how: u8) {
        let fail = |net: &mut Self, verdict, cause| {
            if net.slots[from].life == life {
                net.fail(from, send, verdict, cause);
            }
        };
        match how % 8 {
            4 => fail(self, Verdict::NotRun, Cause::Refused),
            5 => fail(self, Verdict::NotRun, Cause::Unreachable),
            6 => {
                self.run(root);
                fail(self, Verdict::MayHaveRun, Cause::Broken);
            }
            other => {
                self.run(root);
                let outcomes = [Outcome::Begun, Outcome::Ended(other != 3)];
                self.under_way(from, life, send.request, send.attempt, &outcomes);
            }
        }
    }
}
