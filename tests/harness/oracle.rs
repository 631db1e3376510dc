//! Checks the invariants of a few reducers in a simulated network, independently of their
//! implementation.
//!
//! Messages, attempts and outcomes wait in one unordered set. Each fuzz step delivers, loses,
//! duplicates or delays one of them, or injects a fault. The oracle checks as they are delivered.

mod delivery;
mod layout;
mod promises;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use petreldrum::{
    config::{Config, KeyHash, Version},
    id::{self, Incarnation},
    pin,
    policy::Balanced,
    reducer::{
        Identity, State,
        effect::{Effect, Send, Target},
        event::{Arrival, Cause, Credential, Event, Hop, Key, Source},
    },
    settings::Seed,
    unit::{Millis, Time},
    verdict::Verdict,
    wire::Frame,
};

use layout::{API_KEYS, BOXES, REGIONS, address, config, contact, gossip, peer, permitted, region};

/// One fuzz step: the kind of action and two parameters.
pub type Step = (u8, u8, u8);

/// One request sent by a caller.
#[derive(Clone, Debug)]
struct Sent {
    /// Index of the requested operation; re-sends of a key share it.
    operation: usize,
    answered: bool,
}

/// An operation that callers request, possibly with several sends of one key.
#[derive(Clone, Debug)]
struct Operation {
    caller: usize,
    path: &'static str,
    key: Option<pin::Key>,
    runs: u32,
    /// Set once a caller was answered "not run": sends before this index must never run.
    barred_before: Option<usize>,
}

/// The party that waits for a box's answer to a request.
#[derive(Clone, Copy, Debug)]
enum Client {
    Caller(usize),
    Box {
        at: usize,
        incarnation: u64,
        request: id::Request,
        attempt: id::Attempt,
        pass: bool,
    },
}

/// Progress or end of an attempt or relayed request.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Failed(Verdict, Cause),
    Begun,
    Ended(bool),
}

#[derive(Clone, Debug)]
enum InFlight {
    Frame {
        to: usize,
        from: usize,
        frame: Frame,
    },
    Attempt {
        from: usize,
        incarnation: u64,
        root: usize,
        send: Send,
        hop: Hop,
    },
    Outcome {
        to: usize,
        incarnation: u64,
        request: id::Request,
        attempt: id::Attempt,
        outcome: Outcome,
    },
}

struct Slot {
    state: State<Balanced>,
    incarnation: u64,
    started: Time,
    alive: bool,
    frozen: bool,
    inbox: VecDeque<Event>,
    requests: u64,
    clients: HashMap<id::Request, (Client, usize, Hop)>,
    /// The attempt whose connection is open; answers of older attempts are discarded.
    open: HashMap<id::Request, id::Attempt>,
    /// Requests whose caller disconnected; they need no answer.
    abandoned: BTreeSet<u64>,
    listed: BTreeSet<SocketAddr>,
}

/// The simulated boxes and all messages in flight between them, their callers and the backend
/// servers.
pub struct Net {
    slots: Vec<Slot>,
    now: Time,
    in_flight: Vec<InFlight>,
    sent: Vec<Sent>,
    operations: Vec<Operation>,
    configs: Vec<Arc<Config>>,
    partitioned: bool,
    last_incarnation: u64,
    listed: BTreeSet<SocketAddr>,
}

impl Net {
    /// Starts all boxes with the first configuration and lets them discover each other.
    pub fn new() -> Self {
        let mut net = Self {
            slots: Vec::new(),
            now: Time(0),
            in_flight: Vec::new(),
            sent: Vec::new(),
            operations: Vec::new(),
            configs: vec![config(1, 0)],
            partitioned: false,
            last_incarnation: 0,
            listed: BTreeSet::new(),
        };
        for index in 0..BOXES {
            let slot = net.slot(index);
            net.slots.push(slot);
        }
        for index in 0..BOXES {
            net.offer(index, 0);
        }
        net.settle(30);
        net
    }

    fn slot(&mut self, index: usize) -> Slot {
        self.last_incarnation += 1;
        let seeds = (0..BOXES).filter(|i| *i != index).map(|i| Seed {
            region: Some(region(i).parse().expect("a name")),
            gossip: gossip(i),
        });
        let identity = Identity {
            contact: contact(index),
            incarnation: Incarnation(self.last_incarnation),
            seeds: seeds.collect(),
            retry: Default::default(),
            registry: false,
            tolerance: Default::default(),
            exposure: Default::default(),
            first_start: false,
        };
        Slot {
            state: State::new(identity, Balanced),
            incarnation: self.last_incarnation,
            started: self.now,
            alive: true,
            frozen: false,
            inbox: VecDeque::new(),
            requests: 0,
            clients: HashMap::new(),
            open: HashMap::new(),
            abandoned: BTreeSet::new(),
            listed: BTreeSet::new(),
        }
    }

    /// Advances time by `ticks` of 100 ms, delivering in order and without faults, at most 2000
    /// messages per tick.
    pub fn settle(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.advance(100);
            for _ in 0..2000 {
                if self.in_flight.is_empty() {
                    break;
                }
                self.deliver(0, 0);
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Millis(millis);
        for index in 0..BOXES {
            self.dispatch(index, Event::Tick);
        }
    }

    fn offer(&mut self, index: usize, config: usize) {
        let config = self.configs[config].clone();
        let source = Source::Store;
        self.dispatch(index, Event::Offered { config, source });
    }

    /// Passes an event to a box. A frozen box gets it once it resumes, a stopped box never.
    fn dispatch(&mut self, index: usize, event: Event) {
        let slot = &mut self.slots[index];
        if !slot.alive {
            return;
        }
        if slot.frozen {
            slot.inbox.push_back(event);
            return;
        }
        if let Event::Listed(listed) = &event {
            slot.listed = listed.clone();
        }
        let before = slot.state.version();
        let now = Time(self.now.since(slot.started).0);
        let effects = slot.state.step(now, event);
        assert!(
            slot.state.version() >= before,
            "the configuration version went back"
        );
        // A fetch completes later than the other effects of the same step, so it is applied last.
        let (fetches, others): (Vec<_>, Vec<_>) = effects
            .into_iter()
            .partition(|e| matches!(e, Effect::Fetch { .. }));
        for effect in others.into_iter().chain(fetches) {
            self.apply_effect(index, effect);
        }
    }

    fn apply_effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Gossip { to, frame } => {
                if let Some(to) = (0..BOXES).find(|i| gossip(*i) == to) {
                    let from = index;
                    self.in_flight.push(InFlight::Frame { to, from, frame });
                }
            }
            Effect::Send(send) => self.check_send(index, send),
            Effect::Reply { request, reply } => {
                self.check_reply(index, request, reply.verdict, None);
            }
            Effect::Replay { request, answer } => {
                self.check_reply(index, request, Verdict::Ran, Some(answer));
            }
            Effect::Fetch {
                peer: from,
                version,
            } => self.fetch(index, from, version),
            Effect::Abort { request, .. } | Effect::DetachStream { request, .. } => {
                self.slots[index].open.remove(&request);
            }
            Effect::Boxes { .. }
            | Effect::CloseIdle(_)
            | Effect::Queued { .. }
            | Effect::Inventory { .. }
            | Effect::FollowEngine { .. }
            | Effect::UnfollowEngine(_)
            | Effect::FetchRoster { .. }
            | Effect::Follow(_)
            | Effect::Noted(_)
            | Effect::DeleteAnswer(_)
            | Effect::Watch(_)
            | Effect::ConfigApplied(_)
            | Effect::Broken { .. }
            | Effect::Repeat(_)
            | Effect::Probe { .. }
            | Effect::Quarantine(_)
            | Effect::WriteRollout { .. }
            | Effect::Rollout(_)
            | Effect::StoreHeld(_)
            | Effect::RemoveHeld(_)
            | Effect::Move(_)
            | Effect::FreeCopy(_)
            | Effect::CompleteStream { .. }
            | Effect::MoveEnded(_)
            | Effect::CheckLiveness { .. }
            | Effect::RecheckStore
            | Effect::WatchClosely(_)
            | Effect::Alarm(_) => {}
        }
    }

    fn fetch(&mut self, index: usize, from: SocketAddr, version: Version) {
        let Some(other) = (0..BOXES).find(|i| peer(*i) == from) else {
            return;
        };
        let slot = &self.slots[other];
        let unreachable = self.partitioned && region(other) != region(index);
        if unreachable || !slot.alive || slot.frozen || slot.state.version() < version {
            return;
        }
        if let Some(config) = slot.state.config().cloned() {
            let source = Source::Peer;
            self.dispatch(index, Event::Offered { config, source });
        }
    }

    /// Sends a new operation to box `index`; its key, if it has one, names box `named`.
    pub fn start_operation(&mut self, index: usize, named: usize, book: bool, caller: usize) {
        let slot = &self.slots[named];
        let uptime = Time(self.now.since(slot.started).0);
        let number = self.operations.len() as u64;
        let key = book.then(|| pin::Key {
            pin: pin::Pin {
                peer: peer(named),
                incarnation: Incarnation(slot.incarnation),
                expiry: uptime + pin::PIN_LIFETIME,
            },
            digest: pin::Digest::of(&format!("key-{number}")),
            content: number,
        });
        self.operations.push(Operation {
            caller,
            path: if book { "/book" } else { "/read" },
            key,
            runs: 0,
            barred_before: None,
        });
        self.send(index, self.operations.len() - 1);
    }

    /// Sends an operation to box `index`, for the first time or again.
    pub fn send(&mut self, index: usize, operation: usize) {
        let operation = match self.operations[operation].key {
            Some(_) => operation,
            // Sends without a key are independent, so each one is an operation of its own.
            None => {
                let fresh = Operation {
                    runs: 0,
                    barred_before: None,
                    ..self.operations[operation].clone()
                };
                self.operations.push(fresh);
                self.operations.len() - 1
            }
        };
        let root = self.sent.len();
        self.sent.push(Sent {
            operation,
            answered: false,
        });
        if self.slots[index].alive {
            self.arrive(index, Client::Caller(root), root, Hop::Direct, Millis(2000));
        }
    }

    fn disconnect_caller(&mut self, pick: usize) {
        let index = pick % BOXES;
        let waiting: BTreeMap<u64, usize> = self.slots[index]
            .clients
            .iter()
            .filter(|(r, (c, ..))| r.0 < u64::MAX / 2 && matches!(c, Client::Caller(_)))
            .map(|(r, (_, root, _))| (r.0, *root))
            .collect();
        if let Some((request, _)) = waiting.iter().nth(pick % waiting.len().max(1)) {
            self.slots[index].abandoned.insert(*request);
            self.dispatch(index, Event::Disconnected(id::Request(*request)));
            let holds = self.slots[index].state.holds(id::Request(*request));
            if !holds && !self.slots[index].frozen {
                self.slots[index].clients.remove(&id::Request(*request));
            }
        }
    }

    fn unfreeze(&mut self, index: usize) {
        self.slots[index].frozen = false;
        let inbox = std::mem::take(&mut self.slots[index].inbox);
        for event in inbox {
            self.dispatch(index, event);
        }
    }

    fn restart(&mut self, index: usize) {
        let slot = self.slot(index);
        self.slots[index] = slot;
    }

    fn change_config(&mut self, shape: u8, index: usize) {
        let version = self.configs.len() as u64 + 1;
        self.configs.push(config(version, shape));
        self.offer(index, self.configs.len() - 1);
    }

    /// Executes one fuzz step.
    pub fn step(&mut self, (kind, a, b): Step) {
        let (x, y) = (usize::from(a), usize::from(b));
        match kind % 24 {
            0..=3 => {
                self.start_operation(x % BOXES, y % BOXES, b & 16 == 0, usize::from(b >> 5 & 1))
            }
            4..=6 if !self.operations.is_empty() => self.send(x % BOXES, y % self.operations.len()),
            7..=13 => self.deliver(x, b),
            14 => self.settle(1),
            15 => self.advance(u64::from(a) * 4),
            16 => self.disconnect_caller(x),
            17 => self.slots[x % BOXES].alive = false,
            18 => self.restart(x % BOXES),
            19 => self.slots[x % BOXES].frozen = true,
            20 => self.unfreeze(x % BOXES),
            21 => self.change_config(a, y % BOXES),
            22 if b & 1 == 0 => self.offer(x % BOXES, y % self.configs.len()),
            22 => self.partitioned = !self.partitioned,
            23 if b & 1 == 0 => {
                let listed = address(4000 + x % REGIONS.len());
                if !self.listed.remove(&listed) {
                    self.listed.insert(listed);
                }
                let listed = self.listed.clone();
                self.dispatch(y % BOXES, Event::Listed(listed));
            }
            23 if a > 250 => self.advance(pin::PIN_LIFETIME.0),
            _ => self.settle(1),
        }
    }

    /// Ends all faults and checks that no request remains in a box and that all keys expire.
    pub fn finish(&mut self) {
        self.partitioned = false;
        for index in 0..BOXES {
            if !self.slots[index].alive {
                self.restart(index);
            }
            self.unfreeze(index);
        }
        self.settle(40);
        let newest = self.configs.len() - 1;
        self.offer(0, newest);
        self.settle(40);
        for (index, slot) in self.slots.iter().enumerate() {
            let version = self.configs[newest].version;
            assert_eq!(
                slot.state.version(),
                version,
                "box {index} has an older configuration"
            );
            assert_eq!(slot.state.busy(), 0, "box {index} holds requests");
            assert_eq!(
                slot.state.waiting(),
                0,
                "box {index} counts queued requests after the end"
            );
            let now = Time(self.now.since(slot.started).0);
            let busy: u32 = slot.state.status(now).backends.iter().map(|b| b.busy).sum();
            assert_eq!(busy, 0, "box {index} counts ended requests as busy");
            let unanswered = slot.clients.keys().map(|r| r.0);
            let unanswered = unanswered
                .filter(|r| *r < u64::MAX / 2 && !slot.abandoned.contains(r))
                .count();
            assert_eq!(unanswered, 0, "box {index} has unanswered requests");
        }
        self.advance(pin::PIN_LIFETIME.0 + 10_000);
        self.settle(40);
        for (index, slot) in self.slots.iter().enumerate() {
            assert_eq!(slot.state.keys(), 0, "box {index} remembers keys");
        }
    }
}
