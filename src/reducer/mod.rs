//! The reducer: `(state, event, now) -> effects`, without I/O, clock or randomness of its own.
//!
//! | module | responsibility |
//! |---|---|
//! | [`event`] | inputs of the reducer |
//! | [`effect`] | outputs of the reducer |
//! | `job` | state of one request in flight |
//! | `admit`, `key` | arrival of a request, and its idempotency key |
//! | `allot` | remaining part of a customer's allotment |
//! | `place`, `estimate`, `dispatch` | candidate places, their cost, and dispatching or queueing |
//! | `subset` | selection of a few among thousands of backend servers to consider first |
//! | `cold` | rate limit of cold backend servers, and this box's share of it |
//! | `limit` | rate limits that backend servers name |
//! | `brittle` | backend servers that fall over if they have to reject requests |
//! | `departure` | backend servers that announce that they are leaving |
//! | `pushback` | backend servers that ask this box to send nothing for a while |
//! | `engine_news` | changes of prompt caches, as reported by engines |
//! | `inventory` | prompt caches of engines at the start of a box |
//! | `line` | queueing and the order in which waiting requests are served |
//! | `tally` | the region's use of its backend servers, aggregated by hubs |
//! | `supply` | engines from which parts of a prompt can be fetched |
//! | `reading` | long prompts, and how boxes inform each other of them |
//! | `moving` | moving runs to another engine when theirs leaves |
//! | `stall` | attempts that stay silent for too long |
//! | `detect` | backend servers that fail silently |
//! | `suspect` | content that crashes backend servers, and how boxes inform each other of it |
//! | `outcome` | results of attempts, and final answers |
//! | `grace` | requests that a planned stop leaves no time for |
//! | `repeat` | retry budget for attempts beyond the first |
//! | `deferred` | streams that wait for the retry budget |
//! | `ask`, `demand` | boxes that a caller should use, by the routes in use |
//! | `naming` | how often a look-up returns each box |
//! | `room` | capacity of this box, and whether it is full |
//! | `rollout`, `watch` | roll-outs of a service's releases: traffic shares and final state |
//! | [`order`] | validation of an operator's roll-out order |
//! | `judge` | evidence for or against a release, from its answers |
//! | `news` | which boxes follow the platform's store, and how changes reach the others |
//! | `era` | a store that was restored from a copy |
//! | `lag` | changes of the store that another box has and this one lacks |
//! | `outage` | backend servers that become cold while the store is silent |
//! | `roster` | backend servers learned from peers while the store is unreachable |
//! | `heartbeat`, `digest` | messages between the boxes of a region, and between regions |
//! | `control` | ticks, messages, configuration, suspensions of the process |
//! | [`status`] | state shown to operators |

mod admit;
mod allot;
mod ask;
mod brittle;
mod cold;
mod control;
mod deferred;
mod demand;
mod departure;
mod detect;
mod digest;
mod dispatch;
pub mod effect;
mod engine_news;
mod era;
mod estimate;
pub mod event;
mod grace;
mod heartbeat;
mod inventory;
mod job;
mod judge;
mod key;
mod lag;
mod limit;
mod line;
mod moving;
mod naming;
mod news;
pub mod order;
mod outage;
mod outcome;
mod place;
mod pushback;
mod reach;
mod reading;
mod repeat;
mod rollout;
mod room;
mod roster;
mod stall;
pub mod status;
mod subset;
mod supply;
mod suspect;
mod tally;
mod watch;

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    allotment::{Accounts, Tolerance},
    config::{Config, Version},
    crash,
    fleet::{Changes, Fleet, Revision},
    id::{self, Domain, Incarnation},
    ledger::Ledger,
    member::Table,
    memory::cache::Cache,
    policy::Policy,
    quarantine::Quarantine,
    queue::Queue,
    retry::{self, Budgets},
    rollout::Exposure,
    server::Server,
    settings::Seed,
    unit::{Millis, Time},
    wire::{Contact, Phase},
};

pub use grace::Grace;
pub use outage::CHECK_TIMEOUT;

use deferred::Deferred;
use effect::Effect;
use event::Event;
use job::Job;

/// Interval between two ticks.
pub const TICK: Millis = Millis(100);
/// A longer gap between two events means that the process was suspended.
pub const SUSPENSION_THRESHOLD: Millis = Millis(3000);
/// Time after a suspension during which a box accepts no work, so that it first receives the
/// updates that it missed.
pub const RESUME_GRACE: Millis = Millis(1000);
/// Longest time after its start for which a box waits to hear from its peers. Until then its view
/// of the region counts as incomplete and, unless backend servers register with the platform, it is
/// not ready before it heard from a peer.
pub const JOIN_GRACE: Millis = Millis(2000);

/// Identity and settings with which a box starts.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, location and addresses of the box.
    pub contact: Contact,
    /// Incarnation of the box.
    pub incarnation: Incarnation,
    /// Boxes to contact at start.
    pub seeds: Vec<Seed>,
    /// Limits of the retry budget that all requests share.
    pub retry: retry::Limits,
    /// Whether backend servers register with the platform; if so, the box waits for their list.
    pub registry: bool,
    /// How far the platform lets a customer's use exceed its allotment.
    pub tolerance: Tolerance,
    /// How much traffic a release may receive before it is proven good.
    pub exposure: Exposure,
    /// Whether the whole system starts for the first time, so that no earlier process ran on this
    /// box.
    pub first_start: bool,
}

/// State of a box.
#[derive(Debug)]
pub struct State<P> {
    policy: P,
    table: Table,
    seeds: Vec<Seed>,
    config: Option<Arc<Config>>,
    jobs: HashMap<id::Request, Job>,
    deadlines: BTreeSet<(Time, id::Request)>,
    stalls: BTreeSet<(Time, id::Request, id::Attempt)>,
    servers: HashMap<id::Backend, Server>,
    ledger: Ledger,
    accounts: Accounts,
    distribution: allot::Distribution,
    queue: Queue,
    /// Waiting requests whose answers can no longer begin in time.
    late: Queue,
    /// Streams that wait for the retry budget.
    deferred: Deferred,
    fleet: Fleet,
    changes: Changes,
    cache: Cache,
    budgets: Budgets,
    quarantine: Quarantine,
    /// Crashes of backend servers, with the requests in flight.
    crashes: crash::Log,
    suspects: suspect::CrashProbes,
    demand: demand::Demand,
    listed: BTreeSet<SocketAddr>,
    evacuated: BTreeSet<Domain>,
    rollouts: rollout::Rollouts,
    /// Whether the list of backend servers is known.
    has_fleet_list: bool,
    /// Latest known revision of the platform's store, from the store itself or from another box.
    revision: Revision,
    /// When the store last answered; `None` before its first answer, and where no store is
    /// followed.
    store_heard: Option<Time>,
    /// Whether backend servers register with the platform.
    registry: bool,
    /// Engines already considered for a query of their cached parts by this box.
    inventory_checked: BTreeSet<id::Backend>,
    engine_news: engine_news::Tracker,
    reach: reach::Reach,
    outage: outage::Tracker,
    attempts: u64,
    control: control::Control,
}

impl<P: Policy> State<P> {
    /// Creates the state of a box that just started.
    pub fn new(identity: Identity, policy: P) -> Self {
        Self {
            policy,
            table: Table::new(identity.contact, identity.incarnation),
            seeds: identity.seeds,
            config: None,
            jobs: HashMap::new(),
            deadlines: BTreeSet::new(),
            stalls: BTreeSet::new(),
            servers: HashMap::new(),
            ledger: Ledger::default(),
            accounts: Accounts::new(identity.tolerance),
            distribution: allot::Distribution::default(),
            queue: Queue::default(),
            late: Queue::default(),
            deferred: Deferred::default(),
            fleet: Fleet::default(),
            changes: Changes::default(),
            cache: Cache::default(),
            budgets: Budgets::new(identity.retry, identity.first_start),
            quarantine: Quarantine::default(),
            crashes: crash::Log::default(),
            suspects: suspect::CrashProbes::default(),
            demand: demand::Demand::default(),
            listed: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            rollouts: rollout::Rollouts::new(identity.exposure),
            has_fleet_list: !identity.registry,
            revision: Revision::default(),
            store_heard: None,
            registry: identity.registry,
            inventory_checked: BTreeSet::new(),
            engine_news: engine_news::Tracker::default(),
            reach: reach::Reach::default(),
            outage: outage::Tracker::default(),
            attempts: 0,
            control: control::Control::default(),
        }
    }

    /// Processes one event at `now` and returns the effects.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.detect_suspension(now, &mut out);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::StreamsActive(signs) => self.record_activity(now, signs, &mut out),
            Event::Arrived(arrival) => self.handle_arrival(now, arrival, &mut out),
            Event::Asked {
                request,
                credential,
            } => self.boxes(now, request, &credential, &mut out),
            Event::Disconnected(request) => self.on_disconnected(now, request, &mut out),
            Event::Limited {
                backend,
                word,
                sent,
            } => self.record_limit(now, &backend, word, sent, &mut out),
            Event::Brittle {
                backend,
                word,
                sent,
            } => self.record_brittleness(now, &backend, word, sent, &mut out),
            Event::Departing {
                backend,
                incarnation,
            } => self.record_departure(now, &backend, incarnation, &mut out),
            Event::PushedBack {
                backend,
                incarnation,
                word,
            } => self.record_pushback(now, &backend, incarnation, word, &mut out),
            Event::Begun { request, attempt } => {
                self.on_answer_started(now, request, attempt, &mut out)
            }
            Event::Inconclusive { request, attempt } => {
                self.mark_inconclusive(request, attempt);
            }
            Event::Ended {
                request,
                attempt,
                whole,
                ..
            } => self.on_attempt_ended(now, request, attempt, whole, &mut out),
            Event::StreamCut { request, attempt } => {
                self.on_stream_cut(now, request, attempt, &mut out)
            }
            Event::Closed { request, attempt } => self.closed(now, request, attempt, &mut out),
            Event::Moved {
                request,
                attempt,
                from,
                result,
            } => self.moved(now, request, attempt, from, result, &mut out),
            Event::Failed {
                request,
                attempt,
                verdict,
                cause,
            } => self.on_attempt_failed(now, request, attempt, verdict, cause, &mut out),
            Event::Received(frame) => self.receive_frame(now, frame, &mut out),
            Event::Offered { config, source } => self.apply_config(now, config, source, &mut out),
            Event::InvalidConfig(version) => self.reject_config(version, &mut out),
            Event::Listed(listed) => {
                self.listed = listed;
                self.drain_all(now, &mut out);
            }
            Event::Roster(roster) => self.apply_roster(now, roster, &mut out),
            Event::Fleet { revision, .. }
            | Event::PartialFleet { revision, .. }
            | Event::Evacuated { revision, .. }
            | Event::Rollouts { revision, .. }
                if self.is_outdated(revision) =>
            {
                self.log_outdated(revision, &mut out);
            }
            Event::Fleet { change, revision } => {
                self.handle_era(now, revision.era, &mut out);
                self.queue_store_change(&change);
                self.apply_fleet_change(now, change, revision, &mut out);
            }
            Event::PartialFleet { backends, revision } => {
                self.handle_era(now, revision.era, &mut out);
                self.apply_partial_fleet(now, backends, revision, &mut out);
            }
            Event::StoreSilent => self.record_store_silence(now, &mut out),
            Event::Checked {
                backend,
                incarnation,
                cold,
            } => self.record_check(now, &backend, incarnation, cold, &mut out),
            Event::Synced(revision) => {
                self.forward_store_changes(now, revision, &mut out);
                self.record_store_sync(now, revision);
            }
            Event::Inventory { backend, parts } => {
                self.record_inventory(now, &backend, &parts, &mut out);
            }
            Event::EngineReport {
                backend,
                incarnation,
                news,
            } => self.record_engine_report(now, &backend, incarnation, &news),
            Event::Evacuated { domains, revision } => {
                self.handle_era(now, revision.era, &mut out);
                self.set_evacuated(now, domains, &mut out);
            }
            Event::Rollouts { rollouts, revision } => {
                self.handle_era(now, revision.era, &mut out);
                self.apply_rollouts(now, &rollouts, &mut out);
            }
            Event::Resolve {
                request,
                region,
                host,
            } => self.resolve(now, request, &region, host.as_deref(), &mut out),
            Event::Probed { backend, closed } => {
                self.on_probe_result(now, &backend, closed, &mut out)
            }
            Event::HeldBack(content) => self.on_stored_quarantine(now, content, &mut out),
            Event::Pardoned(content) => self.pardon(now, content, &mut out),
            Event::Reloaded { seeds, retry } => {
                self.seeds = seeds;
                self.budgets.set_limits(retry);
            }
            Event::WeightChanged(weight) => self.resize(now, weight, &mut out),
            Event::Stop(grace) => self.stop(now, grace, &mut out),
        }
        out
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the version of the configuration in force, or zero without one.
    pub fn version(&self) -> Version {
        self.config.as_ref().map_or(Version(0), |c| c.version)
    }

    /// Returns whether the box accepts work at `now`.
    pub fn phase(&self, now: Time) -> Phase {
        // With a registry the store provides everything that a box needs to become ready.
        let configured = self.config.is_some() && self.has_fleet_list;
        self.control.phase(configured, self.registry, now)
    }

    /// Returns the heartbeat period, and the period of digests to one region.
    pub fn periods(&self) -> (Millis, Millis) {
        (self.table.heartbeat_period(), self.table.digest_period())
    }

    /// Returns the number of boxes of all regions that were heard from recently, including this
    /// one.
    pub fn fleet_size(&self, now: Time) -> usize {
        self.table.boxes(now)
    }

    /// Returns the latest known revision of the platform's store.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the number of requests in flight.
    pub fn busy(&self) -> usize {
        self.jobs.len()
    }

    /// Reports whether `request` is in flight.
    pub fn holds(&self, request: id::Request) -> bool {
        self.jobs.contains_key(&request)
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.late.len() + self.deferred.len()
    }

    /// Returns the number of idempotency keys in the ledger.
    pub fn keys(&self) -> usize {
        self.ledger.len()
    }
}
