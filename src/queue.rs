//! Requests that wait for a slot, in fair turns between callers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::id::{Caller, Request, Service};

/// Most requests that wait at one box.
pub const MAX_WAITING: usize = 1024;

/// One service's line: a queue a caller, and whose turn is next.
#[derive(Debug, Default)]
struct Line {
    turns: VecDeque<Caller>,
    waiting: HashMap<Caller, VecDeque<Request>>,
}

impl Line {
    fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }
}

/// The lines of one box.
#[derive(Debug, Default)]
pub struct Queue {
    lines: BTreeMap<Service, Line>,
    count: usize,
}

impl Queue {
    /// Adds a request at the end of its caller's queue; false where the box holds too many.
    pub fn push(&mut self, service: &Service, caller: &Caller, request: Request) -> bool {
        if self.count >= MAX_WAITING {
            return false;
        }
        let line = self.lines.entry(service.clone()).or_default();
        let queue = line.waiting.entry(caller.clone()).or_default();
        if queue.is_empty() {
            line.turns.push_back(caller.clone());
        }
        queue.push_back(request);
        self.count += 1;
        true
    }

    /// Puts a request back that was popped and still has no place; its caller keeps the turn.
    pub fn put_back(&mut self, service: &Service, caller: &Caller, request: Request) {
        let line = self.lines.entry(service.clone()).or_default();
        line.turns.retain(|c| c != caller);
        line.turns.push_front(caller.clone());
        let queue = line.waiting.entry(caller.clone()).or_default();
        queue.push_front(request);
        self.count += 1;
    }

    /// Takes the next request of `service`; its caller goes to the end of the turns.
    pub fn pop(&mut self, service: &Service) -> Option<Request> {
        let line = self.lines.get_mut(service)?;
        let caller = line.turns.pop_front()?;
        let queue = line.waiting.get_mut(&caller)?;
        let request = queue.pop_front();
        if queue.is_empty() {
            line.waiting.remove(&caller);
        } else {
            line.turns.push_back(caller);
        }
        if line.turns.is_empty() {
            self.lines.remove(service);
        }
        self.count -= usize::from(request.is_some());
        request
    }

    /// Takes a request out, wherever it stands.
    pub fn remove(&mut self, service: &Service, caller: &Caller, request: Request) {
        let Some(line) = self.lines.get_mut(service) else {
            return;
        };
        let Some(queue) = line.waiting.get_mut(caller) else {
            return;
        };
        let before = queue.len();
        queue.retain(|r| *r != request);
        self.count -= before - queue.len();
        if queue.is_empty() {
            line.waiting.remove(caller);
            line.turns.retain(|c| c != caller);
        }
        if line.turns.is_empty() {
            self.lines.remove(service);
        }
    }

    /// The requests that go before a new one of `caller`, by fair turns: of another caller's line,
    /// however long, only as many as `caller` will have itself.
    pub fn ahead(&self, service: &Service, caller: &Caller) -> usize {
        let Some(line) = self.lines.get(service) else {
            return 0;
        };
        let own = line.waiting.get(caller).map_or(0, VecDeque::len);
        let others = line.waiting.iter().filter(|(name, _)| *name != caller);
        own + others
            .map(|(_, queue)| queue.len().min(own + 1))
            .sum::<usize>()
    }

    /// The requests that wait for `service`.
    pub fn waiting(&self, service: &Service) -> usize {
        self.lines.get(service).map_or(0, Line::len)
    }

    /// The services that somebody waits for.
    pub fn services(&self) -> Vec<Service> {
        self.lines.keys().cloned().collect()
    }

    /// All requests that wait.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
