//! A simple oracle over a few reducers: it knows what must hold and nothing of how.
//!
//! The fakes around the reducers are bags of things under way. Each fuzz step picks one to
//! deliver, lose, double or delay, or brings a fault; after each step the oracle checks.

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

/// One step: what to do, and two choices for it.
pub type Step = (u8, u8, u8);

/// What a caller sent.
#[derive(Clone, Debug)]
struct Sent {
    /// The thing asked for; re-sends of a key ask for the same.
    wish: usize,
    answered: bool,
}

/// One thing that callers ask for.
#[derive(Clone, Debug)]
struct Wish {
    caller: usize,
    path: &'static str,
    key: Option<pin::Key>,
    runs: u32,
    /// Once a caller was told "not run": sends before this number must never run.
    barred_before: Option<usize>,
}

/// Who waits for a request of a box.
#[derive(Clone, Copy, Debug)]
enum Client {
    Caller(usize),
    Box {
        at: usize,
        life: u64,
        request: id::Request,
        attempt: id::Attempt,
        pass: bool,
    },
}

/// How an attempt or a relayed request ended.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Failed(Verdict, Cause),
    Begun,
    Ended(bool),
}

#[derive(Clone, Debug)]
enum Item {
    Frame {
        to: usize,
        from: usize,
        frame: Frame,
    },
    Attempt {
        from: usize,
        life: u64,
        root: usize,
        send: Send,
        hop: Hop,
    },
    Outcome {
        to: usize,
        life: u64,
        request: id::Request,
        attempt: id::Attempt,
        outcome: Outcome,
    },
}

struct Slot {
    state: State<Balanced>,
    life: u64,
    started: Time,
    alive: bool,
    frozen: bool,
    inbox: VecDeque<Event>,
    requests: u64,
    clients: HashMap<id::Request, (Client, usize, Hop)>,
    /// The attempt whose connection is open; an older one's answer reaches nobody.
    open: HashMap<id::Request, id::Attempt>,
    /// Requests whose caller went away; they are owed no answer.
    left: BTreeSet<u64>,
    listed: BTreeSet<SocketAddr>,
}

/// The boxes and everything under way between them, their callers and the backend servers.
pub struct Net {
    slots: Vec<Slot>,
    now: Time,
    items: Vec<Item>,
    sent: Vec<Sent>,
    wishes: Vec<Wish>,
    configs: Vec<Arc<Config>>,
    cut: bool,
    lives: u64,
    listed: BTreeSet<SocketAddr>,
}

impl Net {
    /// All boxes up, ready, and acquainted, with the first configuration.
    pub fn new() -> Self {
        let mut net = Self {
            slots: Vec::new(),
            now: Time(0),
            items: Vec::new(),
            sent: Vec::new(),
            wishes: Vec::new(),
            configs: vec![config(1, 0)],
            cut: false,
            lives: 0,
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
        self.lives += 1;
        let seeds = (0..BOXES).filter(|i| *i != index).map(|i| Seed {
            region: Some(region(i).parse().expect("a name")),
            gossip: gossip(i),
        });
        let identity = Identity {
            contact: contact(index),
            incarnation: Incarnation(self.lives),
            seeds: seeds.collect(),
            retry: Default::default(),
            registry: false,
            tolerance: Default::default(),
            exposure: Default::default(),
            first_start: false,
        };
        Slot {
            state: State::new(identity, Balanced),
            life: self.lives,
            started: self.now,
            alive: true,
            frozen: false,
            inbox: VecDeque::new(),
            requests: 0,
            clients: HashMap::new(),
            open: HashMap::new(),
            left: BTreeSet::new(),
            listed: BTreeSet::new(),
        }
    }

    /// Lets time pass with everything delivered in order.
    pub fn settle(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.advance(100);
            for _ in 0..2000 {
                if self.items.is_empty() {
                    break;
                }
                self.deliver(0, 0);
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Millis(millis);
        for index in 0..BOXES {
            self.tell(index, Event::Tick);
        }
    }

    fn offer(&mut self, index: usize, config: usize) {
        let config = self.configs[config].clone();
        let source = Source::Store;
        self.tell(index, Event::Offered { config, source });
    }

    /// Brings an event to a box; a frozen one gets it when it wakes, a dead one never.
    fn tell(&mut self, index: usize, event: Event) {
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
        assert!(slot.state.version() >= before, "a configuration reverted");
        // A fetch takes its time: what was decided beside it goes out before it brings anything.
        let (fetches, others): (Vec<_>, Vec<_>) = effects
            .into_iter()
            .partition(|e| matches!(e, Effect::Fetch { .. }));
        for effect in others.into_iter().chain(fetches) {
            self.carry_out(index, effect);
        }
    }

    fn carry_out(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Gossip { to, frame } => {
                if let Some(to) = (0..BOXES).find(|i| gossip(*i) == to) {
                    let from = index;
                    self.items.push(Item::Frame { to, from, frame });
                }
            }
            Effect::Send(send) => self.sending(index, send),
            Effect::Reply { request, reply } => {
                self.closing(index, request, reply.verdict, None);
            }
            Effect::Replay { request, answer } => {
                self.closing(index, request, Verdict::Ran, Some(answer));
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
            | Effect::Alarm(_) => {}
        }
    }

    fn fetch(&mut self, index: usize, from: SocketAddr, version: Version) {
        let Some(other) = (0..BOXES).find(|i| peer(*i) == from) else {
            return;
        };
        let slot = &self.slots[other];
        let apart = self.cut && region(other) != region(index);
        if apart || !slot.alive || slot.frozen || slot.state.version() < version {
            return;
        }
        if let Some(config) = slot.state.config().cloned() {
            let source = Source::Peer;
            self.tell(index, Event::Offered { config, source });
        }
    }

    /// A caller asks for something new at box `index`; the key names box `named`.
    pub fn wish(&mut self, index: usize, named: usize, book: bool, caller: usize) {
        let slot = &self.slots[named];
        let uptime = Time(self.now.since(slot.started).0);
        let number = self.wishes.len() as u64;
        let key = book.then(|| pin::Key {
            pin: pin::Pin {
                peer: peer(named),
                incarnation: Incarnation(slot.life),
                expiry: uptime + pin::PIN_LIFETIME,
            },
            digest: pin::Digest::of(&format!("key-{number}")),
            content: number,
        });
        self.wishes.push(Wish {
            caller,
            path: if book { "/book" } else { "/read" },
            key,
            runs: 0,
            barred_before: None,
        });
        self.send(index, self.wishes.len() - 1);
    }

    /// A caller sends a wish, for the first time or again.
    pub fn send(&mut self, index: usize, wish: usize) {
        let wish = match self.wishes[wish].key {
            Some(_) => wish,
            // Nothing ties two sends without a key together: each is a request of its own.
            None => {
                let fresh = Wish {
                    runs: 0,
                    barred_before: None,
                    ..self.wishes[wish].clone()
                };
                self.wishes.push(fresh);
                self.wishes.len() - 1
            }
        };
        let root = self.sent.len();
        self.sent.push(Sent {
            wish,
            answered: false,
        });
        if self.slots[index].alive {
            self.arrive(index, Client::Caller(root), root, Hop::Direct, Millis(2000));
        }
    }

    fn gone(&mut self, pick: usize) {
        let index = pick % BOXES;
        let waiting: BTreeMap<u64, usize> = self.slots[index]
            .clients
            .iter()
            .filter(|(r, (c, ..))| r.0 < u64::MAX / 2 && matches!(c, Client::Caller(_)))
            .map(|(r, (_, root, _))| (r.0, *root))
            .collect();
        if let Some((request, _)) = waiting.iter().nth(pick % waiting.len().max(1)) {
            self.slots[index].left.insert(*request);
            self.tell(index, Event::Disconnected(id::Request(*request)));
            let holds = self.slots[index].state.holds(id::Request(*request));
            if !holds && !self.slots[index].frozen {
                self.slots[index].clients.remove(&id::Request(*request));
            }
        }
    }

    fn thaw(&mut self, index: usize) {
        self.slots[index].frozen = false;
        let inbox = std::mem::take(&mut self.slots[index].inbox);
        for event in inbox {
            self.tell(index, event);
        }
    }

    fn restart(&mut self, index: usize) {
        let slot = self.slot(index);
        self.slots[index] = slot;
    }

    fn change(&mut self, shape: u8, index: usize) {
        let version = self.configs.len() as u64 + 1;
        self.configs.push(config(version, shape));
        self.offer(index, self.configs.len() - 1);
    }

    /// One step of the fuzz.
    pub fn step(&mut self, (what, a, b): Step) {
        let (x, y) = (usize::from(a), usize::from(b));
        match what % 24 {
            0..=3 => self.wish(x % BOXES, y % BOXES, b & 16 == 0, usize::from(b >> 5 & 1)),
            4..=6 if !self.wishes.is_empty() => self.send(x % BOXES, y % self.wishes.len()),
            7..=13 => self.deliver(x, b),
            14 => self.settle(1),
            15 => self.advance(u64::from(a) * 4),
            16 => self.gone(x),
            17 => self.slots[x % BOXES].alive = false,
            18 => self.restart(x % BOXES),
            19 => self.slots[x % BOXES].frozen = true,
            20 => self.thaw(x % BOXES),
            21 => self.change(a, y % BOXES),
            22 if b & 1 == 0 => self.offer(x % BOXES, y % self.configs.len()),
            22 => self.cut = !self.cut,
            23 if b & 1 == 0 => {
                let listed = address(4000 + x % REGIONS.len());
                if !self.listed.remove(&listed) {
                    self.listed.insert(listed);
                }
                let listed = self.listed.clone();
                self.tell(y % BOXES, Event::Listed(listed));
            }
            23 if a > 250 => self.advance(pin::PIN_LIFETIME.0),
            _ => self.settle(1),
        }
    }

    /// Ends all faults; afterwards nothing may be left in hand, and nothing remembered.
    pub fn finish(&mut self) {
        self.cut = false;
        for index in 0..BOXES {
            if !self.slots[index].alive {
                self.restart(index);
            }
            self.thaw(index);
        }
        self.settle(40);
        let newest = self.configs.len() - 1;
        self.offer(0, newest);
        self.settle(40);
        for (index, slot) in self.slots.iter().enumerate() {
            let version = self.configs[newest].version;
            assert_eq!(slot.state.version(), version, "box {index} lags");
            assert_eq!(slot.state.busy(), 0, "box {index} holds requests");
            assert_eq!(
                slot.state.waiting(),
                0,
                "box {index} has a line without requests"
            );
            let now = Time(self.now.since(slot.started).0);
            let busy: u32 = slot.state.status(now).backends.iter().map(|b| b.busy).sum();
            assert_eq!(busy, 0, "box {index} counts work that has ended");
            let owed = slot.clients.keys().map(|r| r.0);
            let owed = owed
                .filter(|r| *r < u64::MAX / 2 && !slot.left.contains(r))
                .count();
            assert_eq!(owed, 0, "box {index} owes answers");
        }
        self.advance(pin::PIN_LIFETIME.0 + 10_000);
        self.settle(40);
        for (index, slot) in self.slots.iter().enumerate() {
            assert_eq!(slot.state.keys(), 0, "box {index} remembers keys");
        }
    }
}
