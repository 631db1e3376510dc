//! Operator views: the state of a box, and where a request would go.

use serde::{Deserialize, Serialize};

use crate::{
    config::{Query, Version},
    content::Content,
    id::{self, BoxName, Domain, Region, Release, Selector, Service},
    policy::{Candidate, Choice, Policy},
    reducer::{State, job::Job, place::Exclusion},
    retry,
    rollout::{Count, Finding, Standing},
    server::{Block, Server},
    service,
    size::Weight,
    unit::{Millis, Rate, Time},
    wire::{NameHash, Phase},
};

/// One box's view of the system.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The name of the box.
    pub name: BoxName,
    /// The region of the box.
    pub region: Region,
    /// The configuration in force; zero without one.
    pub version: Version,
    /// Whether the box takes work.
    pub phase: Phase,
    /// Whether the box watches the store.
    pub watching: bool,
    /// Requests in flight or waiting.
    pub requests: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Idempotency keys remembered.
    pub keys: usize,
    /// Capacity relative to other boxes; none if the settings do not give it.
    #[serde(default)]
    pub weight: Option<u16>,
    /// Whether the box is so busy that callers are sent elsewhere.
    #[serde(default)]
    pub full: bool,
    /// The other boxes of the region.
    pub boxes: Vec<Peer>,
    /// The other regions.
    pub regions: Vec<Remote>,
    /// The backend servers of the region.
    pub backends: Vec<Backend>,
    /// The customers that have an allotment.
    #[serde(default)]
    pub customers: Vec<Allotted>,
    /// Contents that are quarantined because backend servers crashed while they ran them.
    #[serde(default)]
    pub held: Vec<HeldBack>,
    /// The customers whom this box served worst in the last minute.
    #[serde(default)]
    pub worst: Vec<service::Row>,
    /// The roll-outs recorded in the store.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
}

/// A service's roll-out, as far as this box knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: Service,
    /// The release that is rolled out.
    pub release: Option<Release>,
    /// The recorded state.
    pub standing: Option<Standing>,
    /// The time within which the order is to be complete; none if it was withdrawn.
    pub within: Option<Millis>,
    /// Time since the order.
    pub age: Millis,
    /// Whether traffic has moved to the new release.
    pub moved: bool,
    /// Whether the new release gets no requests.
    pub held: bool,
    /// Answers since the order: those of the other releases, and those of the new one.
    pub answers: (Count, Count),
    /// The strongest finding against the new release.
    pub finding: Option<Finding>,
}

/// A quarantined content.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeldBack {
    /// Its fingerprint, as logged and as accepted by `petreldrum pardon`.
    pub content: String,
    /// The remaining time.
    pub left: Millis,
}

/// A customer's allotment, and its use as far as this box knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Allotted {
    /// The customer.
    pub name: id::Customer,
    /// The unit of the allotment.
    pub unit: String,
    /// Units a second over all boxes.
    pub rate: Rate,
    /// Units that all boxes admitted recently, fading within the span in which the rate restores
    /// them.
    pub used: f64,
    /// Units recently requested at all boxes.
    pub offered: f64,
    /// The use at which nothing more is admitted.
    pub limit: f64,
    /// Requests that this box admitted since it started.
    pub admitted: u64,
    /// Requests that this box refused since it started because the allotment was used up.
    pub refused: u64,
}

/// The use of this box's retry budget for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Repeats {
    /// The service.
    pub service: Service,
    /// Outcomes of the retries requested since the start.
    pub counts: retry::Counts,
    /// The balance of the budget.
    pub balance: retry::Balance,
    /// Boxes that share the slack; none if the box cannot know.
    pub boxes: Option<usize>,
}

/// Another box of the region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Peer {
    /// The name of the box.
    pub name: BoxName,
    /// The failure domain of the box.
    pub domain: Domain,
    /// The configuration in force there when last heard.
    pub version: Version,
    /// Whether the box takes work.
    pub phase: Phase,
    /// Time since the box was last heard.
    pub silent: Millis,
    /// Capacity relative to other boxes, if the box reports it.
    #[serde(default)]
    pub weight: Option<u16>,
    /// Whether the box is full.
    #[serde(default)]
    pub full: bool,
    /// Requests in flight there when last heard.
    #[serde(default)]
    pub busy: u32,
}

/// Another region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Remote {
    /// The name of the region.
    pub name: Region,
    /// The newest configuration there when last heard.
    pub version: Version,
    /// Time since the region was last heard.
    pub silent: Millis,
    /// The boxes through which the region is reached.
    pub doors: Vec<BoxName>,
}

/// A backend server of the region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Backend {
    /// The name of the backend server.
    pub name: id::Backend,
    /// Whether the backend server gets new work.
    pub used: bool,
    /// The reason, in a few words.
    pub reason: String,
    /// Requests in flight there, from all boxes of the region.
    pub busy: u32,
    /// Slots that may be used now; fewer than the server has while it ramps up after an outage.
    pub slots: u32,
    /// Expected time to the first byte.
    pub first: Millis,
    /// The rate limit that the server announces for all boxes, if any.
    #[serde(default)]
    pub limit: Option<Limit>,
    /// How many requests the server is given at once, while it is brittle.
    #[serde(default)]
    pub cap: Option<Cap>,
}

/// The requests that a brittle backend server is given at once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cap {
    /// Rejections a second that the server tolerates; none if it has not answered yet.
    pub tolerance: Option<Rate>,
    /// Requests in flight, of all boxes together.
    pub limit: u32,
    /// The part of it that this box may have in flight.
    pub share: u32,
}

impl Cap {
    fn of(server: &Server) -> Option<Self> {
        let cap = server.cap.as_ref()?;
        Some(Self {
            tolerance: server.rejections.rate(),
            limit: cap.level().limit,
            share: cap.share(),
        })
    }
}

/// The rate limit that a backend server announces.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Limit {
    /// Requests a second, from all boxes together.
    pub rate: Rate,
    /// The part of it that this box may send.
    pub share: Rate,
    /// The box that reported the limit; none if the server itself did.
    pub teller: Option<BoxName>,
    /// The age of the report.
    pub age: Millis,
}

impl Limit {
    fn of(limit: &crate::limit::Limit, now: Time) -> Option<Self> {
        Some(Self {
            rate: limit.rate()?,
            share: limit.share(),
            teller: limit.reporter().cloned(),
            age: now.since(limit.effective_at()?),
        })
    }
}

/// Where a request would go, and why.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// The configuration that was applied.
    pub version: Version,
    /// The selector that matched.
    pub selector: Selector,
    /// The service that must answer the request.
    pub service: Service,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// The regions where the request may run.
    pub regions: Vec<Region>,
    /// The places that could take the request now.
    pub candidates: Vec<Candidate>,
    /// Backend servers of this region that serve the service but get no work from the request, and
    /// why.
    pub left_out: Vec<LeftOut>,
    /// The resulting choice.
    pub choice: Choice,
}

/// A backend server that a request cannot go to.
#[derive(Clone, Debug, Serialize)]
pub struct LeftOut {
    /// The backend server.
    pub backend: id::Backend,
    /// The reason, in a few words.
    pub reason: &'static str,
}

fn exclusion_reason(exclusion: Option<Exclusion>) -> &'static str {
    match exclusion {
        None => "in use",
        Some(Exclusion::Configured) => "leaving, by the configuration",
        Some(Exclusion::Departing) => "leaving, by its own word",
        Some(Exclusion::Listed) => "leaving, by the platform's list",
        Some(Exclusion::Evacuated) => "its failure domain is evacuated",
        Some(Exclusion::Release) => "a roll-out keeps requests off its release",
        Some(Exclusion::Barred(Block::BreakerOpen)) => "failing",
        Some(Exclusion::Barred(Block::Refusing)) => "refusing work",
        Some(Exclusion::Barred(Block::PushedBack)) => "it asked this box to stay away for a while",
    }
}

impl<P: Policy> State<P> {
    fn held_back(&self, now: Time) -> Vec<HeldBack> {
        let mut held = self.quarantine.all_held(now);
        held.sort_by_key(|held| held.content);
        let row = |held: &crate::quarantine::Held| HeldBack {
            content: held.content.to_string(),
            left: held.left,
        };
        held.iter().map(row).collect()
    }

    /// Returns this box's view at `now`.
    pub fn status(&self, now: Time) -> Status {
        let peers = self.table.peers().map(|peer| Peer {
            name: peer.last.contact.name.clone(),
            domain: peer.last.contact.domain.clone(),
            version: peer.last.version,
            phase: peer.last.phase,
            silent: now.since(peer.received_at),
            weight: peer.last.room.weight.map(Weight::number),
            full: peer.last.room.full,
            busy: peer.last.busy,
        });
        let regions = self.table.regions().map(|(name, remote)| Remote {
            name: name.clone(),
            version: remote.digest.version,
            silent: now.since(remote.received_at),
            doors: remote.endpoints().map(|d| d.contact.name.clone()).collect(),
        });
        Status {
            name: self.table.me.name.clone(),
            region: self.table.me.region.clone(),
            version: self.version(),
            phase: self.phase(now),
            watching: self.control.watching,
            requests: self.jobs.len(),
            waiting: self.waiting(),
            keys: self.ledger.len(),
            weight: self.weight().map(Weight::number),
            full: self.is_full(),
            boxes: peers.collect(),
            regions: regions.collect(),
            backends: self.backend_status(now),
            customers: self.allotments(now),
            held: self.held_back(now),
            worst: Vec::new(),
            rollouts: self.rollouts(now),
        }
    }

    fn backend_status(&self, now: Time) -> Vec<Backend> {
        let mine = self
            .fleet
            .iter()
            .filter(|b| b.region == self.table.me.region);
        let mut rows: Vec<Backend> = mine
            .map(|b| {
                let server = self.servers.get(&b.name).cloned().unwrap_or_default();
                let excluded = self.excluded(now, b);
                Backend {
                    name: b.name.clone(),
                    used: excluded.is_none(),
                    reason: exclusion_reason(excluded).to_owned(),
                    busy: server.busy + self.table.busy(NameHash::of(b.name.as_str()), now),
                    slots: server.slots(b.slots, now),
                    first: server.first(),
                    limit: Limit::of(&server.limit, now),
                    cap: Cap::of(&server),
                }
            })
            .collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows
    }

    /// Returns where a request would go at `now`, without sending it.
    pub fn explain(&self, now: Time, ask: Query, prefix: u64) -> Result<Explanation, String> {
        let config = self.config.as_ref().ok_or("no configuration is in force")?;
        let plan = config.plan(&ask).map_err(|refusal| refusal.to_string())?;
        let job = Job {
            prefix,
            ..Job::new(&plan, ask.clone(), Content::default(), now)
        };
        let decision = self
            .decide(now, &job)
            .map_err(|refusal| refusal.to_string())?;
        let mut regions: Vec<Region> = config.regions.keys().cloned().collect();
        regions.retain(|region| plan.permits_region(region));
        regions.sort();
        let left_out = self
            .fleet
            .serving(&plan.service, &self.table.me.region)
            .filter_map(|b| {
                let excluded = self.excluded(now, b);
                let reason = match () {
                    () if !plan.permits_region(&b.region) => "its region is not permitted",
                    () if !plan.permits_backend(b) => "its labels do not match the selector",
                    () if excluded.is_some() => exclusion_reason(excluded),
                    () if self.limit_wait(now, &b.name, 0.0).is_none() => {
                        "other boxes share the limit that it names"
                    }
                    () if !self.has_cap_share(&b.name) => {
                        "other boxes share what it takes while it is brittle"
                    }
                    () => return None,
                };
                Some(LeftOut {
                    backend: b.name.clone(),
                    reason,
                })
            });
        Ok(Explanation {
            version: config.version,
            selector: plan.selector.clone(),
            service: plan.service.clone(),
            repeatable: plan.route.repeatable,
            regions,
            left_out: left_out.collect(),
            candidates: decision.candidates,
            choice: decision.choice,
        })
    }
}
