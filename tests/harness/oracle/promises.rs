//! Checks the invariants of attempts, answers and runs as they happen.

use super::*;

impl Net {
    /// Checks that the target of an attempt is permitted when it is sent, and puts it in flight.
    pub(super) fn check_send(&mut self, index: usize, send: Send) {
        let (_, root, hop) = self.slots[index].clients[&send.request].clone();
        let operation = &self.operations[self.sent[root].operation];
        let slot = &self.slots[index];
        let config = slot
            .state
            .config()
            .expect("a configuration before the first attempt");
        match &send.target {
            Target::Backend { name, address, .. } => {
                let backend = &config.backends[name];
                assert_eq!(
                    backend.region.as_str(),
                    region(index),
                    "backend server of another region"
                );
                assert!(
                    permitted(config, operation.caller, region(index)),
                    "backend server in a region that is not permitted"
                );
                assert!(!backend.leaving, "attempt at a leaving server");
                assert!(
                    !slot.listed.contains(address),
                    "attempt at a server listed as leaving"
                );
            }
            Target::Relay { region, .. } => {
                assert_eq!(hop, Hop::Direct, "relayed or passed twice");
                assert!(
                    permitted(config, operation.caller, region.as_str()),
                    "relay to a region that is not permitted"
                );
            }
            Target::Pass { .. } => assert_eq!(hop, Hop::Direct, "relayed or passed twice"),
        }
        let incarnation = slot.incarnation;
        self.slots[index].open.insert(send.request, send.attempt);
        self.in_flight.push(InFlight::Attempt {
            from: index,
            incarnation,
            root,
            send,
            hop,
        });
    }

    /// Handles a box's final answer to a request; a replay must belong to the same operation.
    pub(super) fn check_reply(
        &mut self,
        index: usize,
        request: id::Request,
        verdict: Verdict,
        replay: Option<id::Request>,
    ) {
        let slot = &mut self.slots[index];
        let (client, root, _) = slot.clients.remove(&request).expect("answered twice");
        if let Some(answer) = replay {
            let (_, owner, _) = &slot.clients[&id::Request(u64::MAX - answer.0)];
            assert_eq!(
                self.sent[*owner].operation, self.sent[root].operation,
                "another request's answer"
            );
        }
        match client {
            Client::Caller(_) => self.check_answer(root, verdict),
            Client::Box {
                at,
                incarnation,
                request,
                attempt,
                pass,
            } => {
                let outcomes = match verdict {
                    // A passed request's answer reaches the caller unchanged.
                    _ if pass => {
                        self.check_answer(root, verdict);
                        vec![Outcome::Begun, Outcome::Ended(true)]
                    }
                    Verdict::Ran => vec![Outcome::Begun, Outcome::Ended(true)],
                    Verdict::NotRun => vec![Outcome::Failed(verdict, Cause::Refused)],
                    Verdict::MayHaveRun => vec![Outcome::Failed(verdict, Cause::Broken)],
                };
                self.queue_outcomes(at, incarnation, request, attempt, &outcomes);
            }
        }
    }

    /// Puts outcomes of an attempt in flight to the box that waits for them.
    pub(super) fn queue_outcomes(
        &mut self,
        to: usize,
        incarnation: u64,
        request: id::Request,
        attempt: id::Attempt,
        outcomes: &[Outcome],
    ) {
        let item = |outcome: &Outcome| InFlight::Outcome {
            to,
            incarnation,
            request,
            attempt,
            outcome: *outcome,
        };
        self.in_flight.extend(outcomes.iter().map(item));
    }

    /// Checks the verdict that a caller received against the runs of its operation.
    pub(super) fn check_answer(&mut self, root: usize, verdict: Verdict) {
        let count = self.sent.len();
        let sent = &mut self.sent[root];
        sent.answered = true;
        let operation = &mut self.operations[sent.operation];
        if verdict == Verdict::NotRun {
            assert_eq!(
                operation.runs, 0,
                "answered \"not run\" after a run: send {root}"
            );
            operation.barred_before = Some(count);
        }
        if verdict == Verdict::Ran {
            assert!(operation.runs > 0, "answered \"ran\" without a run");
        }
    }

    /// Counts a run and checks that it is permitted.
    pub(super) fn check_run(&mut self, root: usize) {
        let operation = &mut self.operations[self.sent[root].operation];
        operation.runs += 1;
        if operation.path == "/book" {
            assert_eq!(operation.runs, 1, "ran twice: send {root}");
        }
        let barred = operation.barred_before.is_some_and(|before| root < before);
        assert!(!barred, "ran after \"not run\": send {root}");
    }
}
