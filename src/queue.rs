//! Requests that wait for a slot: a line a route, and in each line fair turns between customers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::id::{Customer, Request, Service};

/// Most requests that wait at one box.
pub const MAX_WAITING: usize = 1024;

/// Where a request stands: its line, and its customer's place in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spot {
    /// The line's name: requests that may go to the same places.
    pub line: Service,
    /// What they wait for.
    pub service: Service,
    /// The line's rank among those of its service; 0 goes first.
    pub priority: u8,
    /// The customer.
    pub customer: Customer,
}

/// A line among the others: its priority, then its name.
pub type Rank = (u8, Service);

impl Spot {
    fn rank(&self) -> Rank {
        (self.priority, self.line.clone())
    }
}

/// One line: a queue a customer, and whose turn is next.
#[derive(Debug)]
struct Line {
    service: Service,
    turns: VecDeque<Customer>,
    waiting: HashMap<Customer, VecDeque<Request>>,
}

impl Line {
    fn new(spot: &Spot) -> Self {
        Self {
            service: spot.service.clone(),
            turns: VecDeque::new(),
            waiting: HashMap::new(),
        }
    }

    fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }
}

/// The lines of one box.
#[derive(Debug, Default)]
pub struct Queue {
    lines: BTreeMap<Rank, Line>,
    count: usize,
}

impl Queue {
    fn line(&mut self, spot: &Spot) -> &mut Line {
        let rank = spot.rank();
        self.lines.entry(rank).or_insert_with(|| Line::new(spot))
    }

    /// Adds a request at the end of its customer's queue; false where the box holds too many.
    pub fn push(&mut self, spot: &Spot, request: Request) -> bool {
        if self.count >= MAX_WAITING {
            return false;
        }
        let line = self.line(spot);
        let queue = line.waiting.entry(spot.customer.clone()).or_default();
        if queue.is_empty() {
            line.turns.push_back(spot.customer.clone());
        }
        queue.push_back(request);
        self.count += 1;
        true
    }

    /// Puts a request back that was popped and still has no place; its customer keeps the turn.
    pub fn put_back(&mut self, spot: &Spot, request: Request) {
        let line = self.line(spot);
        line.turns.retain(|c| *c != spot.customer);
        line.turns.push_front(spot.customer.clone());
        let queue = line.waiting.entry(spot.customer.clone()).or_default();
        queue.push_front(request);
        self.count += 1;
    }

    /// Takes the next request of a line; its customer goes to the end of the turns.
    pub fn pop(&mut self, rank: &Rank) -> Option<Request> {
        let line = self.lines.get_mut(rank)?;
        let customer = line.turns.pop_front()?;
        let queue = line.waiting.get_mut(&customer)?;
        let request = queue.pop_front();
        if queue.is_empty() {
            line.waiting.remove(&customer);
        } else {
            line.turns.push_back(customer);
        }
        if line.turns.is_empty() {
            self.lines.remove(rank);
        }
        self.count -= usize::from(request.is_some());
        request
    }

    /// Takes a request out, wherever it stands.
    pub fn remove(&mut self, spot: &Spot, request: Request) {
        let rank = spot.rank();
        let Some(line) = self.lines.get_mut(&rank) else {
            return;
        };
        let Some(queue) = line.waiting.get_mut(&spot.customer) else {
            return;
        };
        let before = queue.len();
        queue.retain(|r| *r != request);
        self.count -= before - queue.len();
        if queue.is_empty() {
            line.waiting.remove(&spot.customer);
            line.turns.retain(|c| *c != spot.customer);
        }
        if line.turns.is_empty() {
            self.lines.remove(&rank);
        }
    }

    /// The requests that go before a new one of `spot`, by fair turns: of another customer's queue,
    /// however long, only as many as its own customer will have itself.
    pub fn ahead(&self, spot: &Spot) -> usize {
        let Some(line) = self.lines.get(&spot.rank()) else {
            return 0;
        };
        let own = line.waiting.get(&spot.customer).map_or(0, VecDeque::len);
        let others = line
            .waiting
            .iter()
            .filter(|(name, _)| **name != spot.customer);
        own + others
            .map(|(_, queue)| queue.len().min(own + 1))
            .sum::<usize>()
    }

    /// The requests that wait for `service`.
    pub fn waiting(&self, service: &Service) -> usize {
        let lines = self.lines.values().filter(|l| l.service == *service);
        lines.map(Line::len).sum()
    }

    /// The lines for `service`, the most urgent first.
    pub fn lines(&self, service: &Service) -> Vec<Rank> {
        let lines = self.lines.iter().filter(|(_, l)| l.service == *service);
        lines.map(|(rank, _)| rank.clone()).collect()
    }

    /// The services that somebody waits for.
    pub fn services(&self) -> Vec<Service> {
        let mut services: Vec<Service> = self.lines.values().map(|l| l.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
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
