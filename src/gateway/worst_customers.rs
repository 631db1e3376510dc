//! Counts the outcomes of customers' requests on this box, and reports the customers with the worst
//! service in the status, the metrics and the log.

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

/// Interval between two updates of the metrics.
const METRICS_INTERVAL: Millis = Millis(1000);
/// Interval between two log reports, and the most customers that one report lists.
const LOG_REPORT: (Millis, usize) = (Millis(60_000), 5);

/// The customer of a request, and the time within which its response must begin.
pub(super) struct CustomerRequest {
    customer: id::Customer,
    arrived_at: Time,
    target: Millis,
}

/// Outcomes of customers' requests, and when they were last reported.
#[derive(Default)]
pub(super) struct CustomerOutcomes {
    pub(super) service: Service,
    metrics_updated_at: Time,
    logged_at: Time,
}

impl Core {
    /// Returns the customer of a request and its time limit, or `None` for a request that came
    /// through another box, which counts it.
    pub(super) fn customer_request(&self, arrival: &Arrival) -> Option<CustomerRequest> {
        if arrival.hop != Hop::Direct {
            return None;
        }
        let config = self.state.config()?;
        let customer = match &arrival.credential {
            Credential::Key(hash) => config.customer(hash).map(|customer| &customer.name),
            Credential::Missing | Credential::Verified(_) => None,
        };
        let customer = customer.or(config.anonymous.as_ref())?.clone();
        let route = config.route(arrival.host.as_deref(), &arrival.path)?;
        let left = arrival.left.unwrap_or(route.deadline);
        Some(CustomerRequest {
            customer,
            arrived_at: self.parts.clock.now(),
            target: route.target_latency.map_or(left, |target| target.min(left)),
        })
    }

    /// Returns the outcome for the caller if `event` ends a request.
    pub(super) fn customer_outcome(&self, event: &Event) -> Option<(id::Request, Outcome)> {
        let (request, on_time) = match event {
            Event::Ended {
                request,
                whole,
                timing: Timing { first, .. },
                ..
            } => {
                let entry = self.open_requests.get(request)?.customer_request.as_ref()?;
                (*request, *whole && *first <= entry.target)
            }
            Event::Disconnected(request) => {
                let entry = self.open_requests.get(request)?.customer_request.as_ref()?;
                let waited = self.parts.clock.now().since(entry.arrived_at);
                // A caller that disconnects before the time limit is not counted: the response was
                // not late yet.
                (waited > entry.target).then_some((*request, false))?
            }
            _ => return None,
        };
        let outcome = if on_time {
            Outcome::Served
        } else {
            Outcome::Late
        };
        Some((request, outcome))
    }

    /// Counts the outcome of a request that has ended.
    pub(super) fn count_outcome(&mut self, request: id::Request, outcome: Outcome) {
        let open = self.open_requests.get(&request);
        let entry = open.and_then(|open| open.customer_request.as_ref());
        if let Some(customer) = entry.map(|entry| entry.customer.clone()) {
            let now = self.parts.clock.now();
            self.customer_outcomes
                .service
                .record(&customer, outcome, now);
        }
    }

    /// Counts a response that the gateway itself generated. Only 429 and 5xx are counted, since
    /// other statuses report errors of the caller.
    pub(super) fn count_reply(&mut self, request: id::Request, reply: &Reply) {
        let outcome = match reply.status {
            429 => Outcome::Over,
            503 => Outcome::Refused,
            500..600 => Outcome::Late,
            _ => return,
        };
        self.count_outcome(request, outcome);
    }

    /// Reports the customers with the worst service: to the metrics each second, and to the log
    /// once a minute.
    pub(super) fn report_worst_customers(&mut self) {
        let now = self.parts.clock.now();
        if now.since(self.customer_outcomes.metrics_updated_at) < METRICS_INTERVAL {
            return;
        }
        self.customer_outcomes.metrics_updated_at = now;
        self.customer_outcomes.service.sweep(now);
        let rows = self.customer_outcomes.service.worst(now);
        self.parts.metrics.set_worst_customers(&rows);
        let (interval, most) = LOG_REPORT;
        if rows.is_empty() || now.since(self.customer_outcomes.logged_at) < interval {
            return;
        }
        self.customer_outcomes.logged_at = now;
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
