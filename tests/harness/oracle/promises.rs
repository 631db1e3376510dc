//! What must hold of attempts, answers and runs, checked as they happen.

use super::*;

impl Net {
    /// An attempt leaves a box: the place must be allowed there and then.
    pub(super) fn sending(&mut self, index: usize, send: Send) {
        let (_, root, hop) = self.slots[index].clients[&send.request].clone();
        let wish = &self.wishes[self.sent[root].wish];
        let slot = &self.slots[index];
        let config = slot
            .state
            .config()
            .expect("no work without a configuration");
        match &send.target {
            Target::Backend { name, address, .. } => {
                let backend = &config.backends[name];
                assert_eq!(
                    backend.region.as_str(),
                    region(index),
                    "another region's server"
                );
                assert!(
                    permitted(config, wish.caller, region(index)),
                    "outside the regions"
                );
                assert!(!backend.leaving, "work for a leaving server");
                assert!(!slot.listed.contains(address), "work for a listed server");
            }
            Target::Relay { region, .. } => {
                assert_eq!(hop, Hop::Direct, "passed on twice");
                assert!(
                    permitted(config, wish.caller, region.as_str()),
                    "relay outside"
                );
            }
            Target::Pass { .. } => assert_eq!(hop, Hop::Direct, "passed on twice"),
        }
        let life = slot.life;
        self.slots[index].open.insert(send.request, send.attempt);
        self.items.push(Item::Attempt {
            from: index,
            life,
            root,
            send,
            hop,
        });
    }

    /// A box gives a request its final answer.
    pub(super) fn closing(
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
                self.sent[*owner].wish, self.sent[root].wish,
                "another request's answer"
            );
        }
        match client {
            Client::Caller(_) => self.answered(root, verdict),
            Client::Box {
                at,
                life,
                request,
                attempt,
                pass,
            } => {
                let outcomes = match verdict {
                    // The owner's last word goes to the caller as it is.
                    _ if pass => {
                        self.answered(root, verdict);
                        vec![Outcome::Begun, Outcome::Ended(true)]
                    }
                    Verdict::Ran => vec![Outcome::Begun, Outcome::Ended(true)],
                    Verdict::NotRun => vec![Outcome::Failed(verdict, Cause::Refused)],
                    Verdict::MayHaveRun => vec![Outcome::Failed(verdict, Cause::Broken)],
                };
                self.under_way(at, life, request, attempt, &outcomes);
            }
        }
    }

    /// Puts outcomes of an attempt on their way to the box that waits for them.
    pub(super) fn under_way(
        &mut self,
        to: usize,
        life: u64,
        request: id::Request,
        attempt: id::Attempt,
        outcomes: &[Outcome],
    ) {
        let item = |outcome: &Outcome| Item::Outcome {
            to,
            life,
            request,
            attempt,
            outcome: *outcome,
        };
        self.items.extend(outcomes.iter().map(item));
    }

    pub(super) fn answered(&mut self, root: usize, verdict: Verdict) {
        let count = self.sent.len();
        let sent = &mut self.sent[root];
        sent.answered = true;
        let wish = &mut self.wishes[sent.wish];
        if verdict == Verdict::NotRun {
            assert_eq!(
                wish.runs, 0,
                "told \"not run\", and it had run: send {root}"
            );
            wish.barred_before = Some(count);
        }
        if verdict == Verdict::Ran {
            assert!(wish.runs > 0, "told \"ran\", and it had not");
        }
    }

    pub(super) fn run(&mut self, root: usize) {
        let wish = &mut self.wishes[self.sent[root].wish];
        wish.runs += 1;
        if wish.path == "/book" {
            assert_eq!(wish.runs, 1, "ran twice: send {root}");
        }
        let barred = wish.barred_before.is_some_and(|before| root < before);
        assert!(!barred, "ran after \"not run\": send {root}");
    }
}
