//! Counts how customers' requests end here, for the status, the metrics and the log.

use crate::{
    gateway::core::Core,
    id,
    reducer::{
        effect::Reply,
        event::{Arrival, Credential, Event, Hop, Timing},
    },
    service::{Outcome, Service},
    unit::{Millis, Time},
};

/// Time between two looks for the metrics.
const LOOK: Millis = Millis(1000);
/// Time between two lines on the customers who are served worst, and how many are named.
const TELL: (Millis, usize) = (Millis(60_000), 5);

/// Whose request it is, and when its answer is due to begin.
pub(super) struct Guest {
    customer: id::Customer,
    came: Time,
    target: Millis,
}

/// How customers' requests ended, and when the metrics and the log were last told of it.
#[derive(Default)]
pub(super) struct Ended {
    pub(super) service: Service,
    looked: Time,
    logged: Time,
}

impl Core {
    /// Who sent a request; none where it came over another box, which counts it.
    pub(super) fn guest(&self, arrival: &Arrival) -> Option<Guest> {
        if arrival.hop != Hop::Direct {
            return None;
        }
        let config = self.state.config()?;
        let customer = match &arrival.credential {
            Credential::Key(hash) => config.customer(hash).map(|customer| &customer.name),
            Credential::Missing | Credential::Vouched(_) => None,
        };
        let customer = customer.or(config.anonymous.as_ref())?.clone();
        let route = config.route(arrival.host.as_deref(), &arrival.path)?;
        let left = arrival.left.unwrap_or(route.deadline);
        Some(Guest {
            customer,
            came: self.parts.clock.now(),
            target: route.target.map_or(left, |target| target.min(left)),
        })
    }

    /// How `event` ends a request for its caller, where it does.
    pub(super) fn ending(&self, event: &Event) -> Option<(id::Request, Outcome)> {
        let (request, good) = match event {
            Event::Ended {
                request,
                whole,
                timing: Timing { first, .. },
                ..
            } => {
                let guest = self.orders.get(request)?.guest.as_ref()?;
                (*request, *whole && *first <= guest.target)
            }
            Event::Gone(request) => {
                let guest = self.orders.get(request)?.guest.as_ref()?;
                let waited = self.parts.clock.now().since(guest.came);
                // A caller who leaves in time says nothing of how it was served.
                (waited > guest.target).then_some((*request, false))?
            }
            _ => return None,
        };
        let outcome = if good { Outcome::Served } else { Outcome::Late };
        Some((request, outcome))
    }

    /// Counts a request that has ended.
    pub(super) fn count_ending(&mut self, request: id::Request, outcome: Outcome) {
        let open = self.orders.get(&request);
        let guest = open.and_then(|open| open.guest.as_ref());
        if let Some(customer) = guest.map(|guest| guest.customer.clone()) {
            let now = self.parts.clock.now();
            self.ended.service.note(&customer, outcome, now);
        }
    }

    /// Counts the gateway's own answer; those to faults of the caller say nothing.
    pub(super) fn count_reply(&mut self, request: id::Request, reply: &Reply) {
        let outcome = match reply.status {
            429 => Outcome::Over,
            503 => Outcome::Refused,
            500..600 => Outcome::Late,
            _ => return,
        };
        self.count_ending(request, outcome);
    }

    /// Tells the metrics, and once a minute the log, who is served worst.
    pub(super) fn tell_worst(&mut self) {
        let now = self.parts.clock.now();
        if now.since(self.ended.looked) < LOOK {
            return;
        }
        self.ended.looked = now;
        self.ended.service.sweep(now);
        let rows = self.ended.service.worst(now);
        self.parts.metrics.tell_worst(&rows);
        let (period, most) = TELL;
        if rows.is_empty() || now.since(self.ended.logged) < period {
            return;
        }
        self.ended.logged = now;
        for row in rows.iter().take(most) {
            let tally = row.tally;
            log::info!(
                "customers: worst={} ended={} refused={} late={} over={} span=60s",
                row.customer,
                tally.ended,
                tally.refused,
                tally.late,
                tally.over
            );
        }
    }
}
