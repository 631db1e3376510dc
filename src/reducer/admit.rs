//! Admission of an arriving request: its customer, its permitted places and its customer's
//! allotment.

use crate::{
    config::{Config, Query, Refusal},
    id,
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Reply},
        event::{Arrival, Credential, Hop, Key},
        job::{DEFAULT_RETRY_AFTER, Job},
    },
    unit::{Millis, Time},
    verdict::Verdict,
    wire::Phase,
};

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Millis = Millis(600_000);

/// Time after which callers retry while this box is not ready. Most such boxes are just starting
/// and read the store within some hundred milliseconds, and callers retry only once.
const NOT_READY_RETRY_AFTER: Millis = Millis(500);

pub(super) fn refusal_reply(refusal: Refusal) -> Reply {
    let status = match refusal {
        Refusal::UnknownCustomer => 401,
        Refusal::NoRoute | Refusal::NoModel | Refusal::NoSelector => 404,
        Refusal::NoRegion => 503,
    };
    let reply = Reply::new(status, Verdict::NotRun, refusal);
    match refusal {
        Refusal::NoRegion => reply.with_retry_after(DEFAULT_RETRY_AFTER),
        _ => reply,
    }
}

impl<P: Policy> State<P> {
    pub(super) fn handle_arrival(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Effect>) {
        let request = arrival.request;
        let credential = arrival.credential.clone();
        let key = match (&arrival.key, &arrival.hop) {
            // A relay is one attempt of the box that owns the key; refusing it says nothing about
            // other sends of the key.
            (Key::Good(key), Hop::Direct | Hop::Pass) => Some(*key),
            _ => None,
        };
        if let Err(reply) = self.admit(now, arrival, out) {
            let reply = match key {
                Some(key) => self.refuse_key(now, request, &credential, &key, reply),
                None => reply,
            };
            out.push(Effect::Reply { request, reply });
        }
    }

    pub(super) fn admit(
        &mut self,
        now: Time,
        arrival: Arrival,
        out: &mut Vec<Effect>,
    ) -> Result<(), Reply> {
        let unready = || {
            Reply::new(503, Verdict::NotRun, "this box is not ready")
                .with_retry_after(NOT_READY_RETRY_AFTER)
        };
        let config = self.config.clone().ok_or_else(unready)?;
        if self.phase(now) == Phase::Unready {
            return Err(unready());
        }
        if self.phase(now) == Phase::Leaving && matches!(arrival.hop, Hop::Relay(_)) {
            // The request may outlast this box, and the other region can still send it elsewhere.
            let reason = "this box is stopping";
            return Err(
                Reply::new(503, Verdict::NotRun, reason).with_retry_after(DEFAULT_RETRY_AFTER)
            );
        }
        let customer = self
            .effective_customer(&config, &arrival)
            .map_err(refusal_reply)?;
        let ask = Query {
            customer,
            host: arrival.host,
            path: arrival.path,
            model: arrival.model,
            random: arrival.draw,
        };
        let plan = config.plan(&ask).map_err(refusal_reply)?;
        if matches!(arrival.hop, Hop::Relay(_)) && !plan.permits_region(&self.table.me.region) {
            let reason = "this region is not permitted";
            return Err(Reply::new(503, Verdict::NotRun, reason));
        }
        let known = match &arrival.key {
            Key::Good(key) => self.ledger.contains(&ask.customer, key),
            Key::Absent | Key::Bad(_) => false,
        };
        // A repeated send of a known key causes no new work and is not charged.
        let mut booking = None;
        if arrival.hop == Hop::Direct && !known {
            let prompt = arrival.prompt.as_ref();
            booking = self.charge(now, plan.customer, prompt, ask.random)?;
            self.budgets.record_request(&plan.service, now);
            self.demand.note(&plan.route.name, now);
        }
        let time_left = arrival
            .left
            .unwrap_or(plan.route.deadline)
            .min(MAX_DEADLINE);
        let time_left = plan
            .route
            .max_duration
            .map_or(time_left, |hold| time_left.min(hold));
        let runs = plan.route.attempts.min(arrival.runs.unwrap_or(u32::MAX));
        let job = Job {
            prefix: arrival.prefix,
            prompt: arrival.prompt,
            runs,
            target: plan
                .route
                .target_latency
                .map(|t| self.remaining_target(&arrival.hop, t)),
            deadline: now + time_left,
            hop: arrival.hop,
            charge: booking,
            ..Job::new(&plan, ask, arrival.content, now)
        };
        // The box that owns the key has already decided on a relayed request, which carries no key.
        let keyed = !job.repeatable && plan.route.requires_key;
        if keyed && !matches!(job.hop, Hop::Relay(_)) {
            return self.admit_key(now, arrival.request, job, &arrival.key, out);
        }
        self.place_or_enqueue(now, arrival.request, job, out);
        Ok(())
    }

    /// Returns the part of `target` that remains after the transit of a request that arrived by
    /// `hop`.
    fn remaining_target(&self, hop: &Hop, target: Millis) -> Millis {
        let transit = match (hop, &self.config) {
            (Hop::Relay(from), Some(config)) => config.hop(from, &self.table.me.region),
            _ => Millis(0),
        };
        Millis(target.0.saturating_sub(transit.0))
    }

    /// Returns the customer that a credential authenticates.
    pub(super) fn customer(&self, credential: &Credential) -> Option<id::Customer> {
        match credential {
            Credential::Missing => None,
            Credential::Key(hash) => {
                let customer = self.config.as_ref()?.customer(hash)?;
                Some(customer.name.clone())
            }
            Credential::Verified(customer) => Some(customer.clone()),
        }
    }

    /// Reports whether `customer` stands for requests that came without an API key.
    pub(super) fn is_anonymous(&self, customer: &id::Customer) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| config.anonymous.as_ref() == Some(customer))
    }

    /// Returns the customer that a request is attributed to: the one that its credential
    /// authenticates or, on a route that needs no credential, the anonymous customer.
    fn effective_customer(
        &self,
        config: &Config,
        arrival: &Arrival,
    ) -> Result<id::Customer, Refusal> {
        if let Some(customer) = self.customer(&arrival.credential) {
            return Ok(customer);
        }
        let route = config.route(arrival.host.as_deref(), &arrival.path);
        let route = route.ok_or(Refusal::NoRoute)?;
        let anonymous = config.anonymous.clone().filter(|_| route.open);
        anonymous.ok_or(Refusal::UnknownCustomer)
    }

    pub(super) fn insert_job(&mut self, request: id::Request, job: Job) {
        self.deadlines.insert((job.deadline, request));
        self.jobs.insert(request, job);
    }

    pub(super) fn place_or_enqueue(
        &mut self,
        now: Time,
        request: id::Request,
        job: Job,
        out: &mut Vec<Effect>,
    ) {
        self.insert_job(request, job);
        // Requests that already wait are served first.
        let service = self.jobs[&request].service.clone();
        if self.waiting_for(&service) > 0 {
            self.drain(now, &service, out);
        }
        if self.try_place(now, request, out) {
            return;
        }
        self.enqueue(request, out);
    }
}
