//! Queues of requests that wait for a slot: one queue per route, with round-robin turns between the
//! customers in each.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::id::{Customer, Request, Service};

/// Maximum number of requests that wait at one box.
pub const MAX_WAITING: usize = 1024;

/// The position of a request: its queue, and its customer within it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    /// The name of the queue, whose requests may all go to the same places.
    pub line: Service,
    /// The service that the requests wait for.
    pub service: Service,
    /// The queue's priority among those of its service; 0 goes first.
    pub priority: u8,
    /// The customer.
    pub customer: Customer,
}

/// The order of queues: by priority, then by name.
pub type Rank = (u8, Service);

impl Position {
    fn rank(&self) -> Rank {
        (self.priority, self.line.clone())
    }
}

/// The queue of one route: one queue per customer, and the order of their turns.
#[derive(Debug)]
struct RouteQueue {
    service: Service,
    rotation: VecDeque<Customer>,
    requests: HashMap<Customer, VecDeque<Request>>,
}

impl RouteQueue {
    fn new(spot: &Position) -> Self {
        Self {
            service: spot.service.clone(),
            rotation: VecDeque::new(),
            requests: HashMap::new(),
        }
    }

    fn len(&self) -> usize {
        self.requests.values().map(VecDeque::len).sum()
    }
}

/// All queues of one box.
#[derive(Debug, Default)]
pub struct Queue {
    queues: BTreeMap<Rank, RouteQueue>,
    count: usize,
}

impl Queue {
    fn route_queue(&mut self, spot: &Position) -> &mut RouteQueue {
        let rank = spot.rank();
        self.queues
            .entry(rank)
            .or_insert_with(|| RouteQueue::new(spot))
    }

    /// Appends a request to its customer's queue; returns false if the box holds too many requests.
    pub fn push(&mut self, spot: &Position, request: Request) -> bool {
        if self.count >= MAX_WAITING {
            return false;
        }
        let route_queue = self.route_queue(spot);
        let requests = route_queue
            .requests
            .entry(spot.customer.clone())
            .or_default();
        if requests.is_empty() {
            route_queue.rotation.push_back(spot.customer.clone());
        }
        requests.push_back(request);
        self.count += 1;
        true
    }

    /// Puts back a request that was popped but could not be placed; its customer keeps the turn.
    pub fn put_back(&mut self, spot: &Position, request: Request) {
        let route_queue = self.route_queue(spot);
        route_queue.rotation.retain(|c| *c != spot.customer);
        route_queue.rotation.push_front(spot.customer.clone());
        let requests = route_queue
            .requests
            .entry(spot.customer.clone())
            .or_default();
        requests.push_front(request);
        self.count += 1;
    }

    /// Removes and returns the next request of a queue; its customer moves to the end of the turns.
    pub fn pop(&mut self, rank: &Rank) -> Option<Request> {
        let route_queue = self.queues.get_mut(rank)?;
        let customer = route_queue.rotation.pop_front()?;
        let requests = route_queue.requests.get_mut(&customer)?;
        let request = requests.pop_front();
        if requests.is_empty() {
            route_queue.requests.remove(&customer);
        } else {
            route_queue.rotation.push_back(customer);
        }
        if route_queue.rotation.is_empty() {
            self.queues.remove(rank);
        }
        self.count -= usize::from(request.is_some());
        request
    }

    /// Removes a request at any position.
    pub fn remove(&mut self, spot: &Position, request: Request) {
        let rank = spot.rank();
        let Some(route_queue) = self.queues.get_mut(&rank) else {
            return;
        };
        let Some(requests) = route_queue.requests.get_mut(&spot.customer) else {
            return;
        };
        let count_before = requests.len();
        requests.retain(|r| *r != request);
        self.count -= count_before - requests.len();
        if requests.is_empty() {
            route_queue.requests.remove(&spot.customer);
            route_queue.rotation.retain(|c| *c != spot.customer);
        }
        if route_queue.rotation.is_empty() {
            self.queues.remove(&rank);
        }
    }

    /// Returns how many requests are served before a new one at `spot`, by round-robin turns: of
    /// another customer's queue, however long, no more than its own customer will have queued
    /// itself.
    pub fn ahead(&self, spot: &Position) -> usize {
        let Some(route_queue) = self.queues.get(&spot.rank()) else {
            return 0;
        };
        let own = route_queue
            .requests
            .get(&spot.customer)
            .map_or(0, VecDeque::len);
        let others = route_queue
            .requests
            .iter()
            .filter(|(name, _)| **name != spot.customer);
        own + others
            .map(|(_, requests)| requests.len().min(own + 1))
            .sum::<usize>()
    }

    /// Returns the number of requests that wait for `service`.
    pub fn waiting(&self, service: &Service) -> usize {
        let queues = self
            .queues
            .values()
            .filter(|queue| queue.service == *service);
        queues.map(RouteQueue::len).sum()
    }

    /// Returns the queues for `service`, the most urgent first.
    pub fn lines(&self, service: &Service) -> Vec<Rank> {
        let queues = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.service == *service);
        queues.map(|(rank, _)| rank.clone()).collect()
    }

    /// Returns the services that requests wait for.
    pub fn services(&self) -> Vec<Service> {
        let mut services: Vec<Service> = self
            .queues
            .values()
            .map(|queue| queue.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Reports whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
