//! The actor that owns the reducer: it passes events to the reducer and applies the effects that
//! the reducer returns.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use kameo::{
    Actor, Reply as ActorReply,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    config::{Config, Query, Record, Version},
    fleet::{Revision, Roster},
    gateway::{
        clock::Clock,
        dial::Pool,
        engine_news::Followers,
        gossip::Links,
        lines::Quota,
        metrics::Metrics,
        order,
        repeats::RepeatReport,
        replay::Replay,
        store::Store,
        store_writes::QuarantineWrite,
        worst_customers::{CustomerOutcomes, CustomerRequest},
    },
    id, policy,
    reducer::{
        Identity, State,
        effect::{Effect, Entry, Follow, Reply, Send as SendOrder},
        event::{Event, Source},
        status::{Explanation, Status},
    },
    settings::{Interface, Settings},
    unit::Time,
    wire::Phase,
};

/// A command from the reducer to the task of a request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start an attempt.
    Send(Box<SendOrder>),
    /// Abort the current attempt.
    Abort,
    /// Detach the response stream from its current target; the next command names the new one.
    Detach,
    /// The run is about to be stopped at its engine: the stream may end early, and its remainder
    /// then comes from another engine.
    Stopping,
    /// The stream whose connection closed was complete.
    Complete,
    /// Respond with the given reply.
    Reply(Reply),
    /// Respond with the stored response of another request.
    Replay(id::Request),
    /// Respond with a list of boxes.
    Boxes(Vec<Entry>),
}

/// The active configuration, in the forms needed to use it and to pass it on.
#[derive(Clone, Debug)]
pub struct Current {
    /// The record as it was accepted.
    pub record: Arc<Record>,
    /// The validated configuration.
    pub config: Arc<Config>,
    /// The encoded form that other boxes fetch.
    pub packed: Bytes,
}

/// The dependencies of the actor other than the reducer.
pub(crate) struct Parts {
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) pool: Arc<Pool>,
    pub(crate) settings: Arc<Settings>,
    pub(crate) replay: Arc<Replay>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) store: Store,
    /// Whether this box watches the store.
    pub(crate) watch_store: watch::Sender<bool>,
    /// The number of boxes in the fleet.
    pub(crate) boxes: watch::Sender<usize>,
    /// The mode in which the platform's store is followed.
    pub(crate) follow: watch::Sender<Follow>,
    /// Whether watches of the platform's store are kept short.
    pub(crate) watch_closely: watch::Sender<bool>,
    /// Wakes the task that follows the store if it waits for a change.
    pub(crate) recheck_store: Arc<Notify>,
    pub(crate) current: watch::Sender<Option<Current>>,
    pub(crate) identity: Identity,
    pub(crate) policy: policy::Named,
}

/// The actor that owns the reducer.
#[derive(Actor)]
pub(crate) struct Core {
    pub(super) state: State<policy::Named>,
    pub(super) parts: Parts,
    pub(super) open_requests: HashMap<id::Request, OpenRequest>,
    pub(super) quota: Quota,
    /// The tasks that follow the cache contents of engines.
    pub(super) followers: Followers,
    offered: Option<Current>,
    /// Outcomes of customers' requests on this box.
    pub(super) customer_outcomes: CustomerOutcomes,
    /// When the allotment metrics were last updated.
    pub(super) allotments_updated_at: Time,
    /// The retry counts that were logged last.
    pub(super) repeats: RepeatReport,
    /// When the traffic between boxes was last logged.
    pub(super) traffic_logged_at: Time,
    pub(super) handle: Option<Handle>,
}

/// A request in flight: the channel to its task, and what logs and statistics need of it.
pub(super) struct OpenRequest {
    sender: mpsc::UnboundedSender<Command>,
    /// The request ID that the caller supplied.
    pub(super) tag: Option<String>,
    /// The customer and the time limit; `None` for requests that came through another box.
    pub(super) customer_request: Option<CustomerRequest>,
}

/// An event for the reducer, with the command channel if the event opens a request.
struct Input {
    event: Event,
    sender: Option<mpsc::UnboundedSender<Command>>,
}

struct Offer {
    current: Current,
    source: Source,
}

struct PhaseQuery;

#[derive(ActorReply)]
struct PhaseAnswer(Phase);

struct StatusQuery;

#[derive(ActorReply)]
struct StatusAnswer(Status);

struct RosterQuery {
    since: Option<Revision>,
}

#[derive(ActorReply)]
struct RosterAnswer(Option<Roster>);

struct ExplainQuery {
    ask: Query,
    prefix: u64,
}

#[derive(ActorReply)]
struct ExplainAnswer(Result<Explanation, String>);

struct SetHandle(Handle);

/// A handle to the actor; cheap to clone.
#[derive(Clone, Debug)]
pub struct Handle(pub(super) ActorRef<Core>);

impl Handle {
    /// Starts the actor and returns its handle.
    pub(crate) async fn start(parts: Parts) -> Self {
        let core = Core {
            state: State::new(parts.identity.clone(), parts.policy),
            parts,
            open_requests: HashMap::new(),
            quota: Quota::default(),
            followers: Followers::new(),
            offered: None,
            customer_outcomes: CustomerOutcomes::default(),
            allotments_updated_at: Time(0),
            repeats: RepeatReport::default(),
            traffic_logged_at: Time(0),
            handle: None,
        };
        let handle = Self(Core::spawn_with_mailbox(core, mailbox::unbounded()));
        handle.enqueue(SetHandle(handle.clone()));
        handle
    }

    fn enqueue<M: Send + 'static>(&self, message: M)
    where
        Core: Message<M>,
    {
        // The actor lives as long as the process, so sending fails only while the process exits.
        if self.0.tell(message).try_send().is_err() {
            log::trace!("core: actor has stopped");
        }
    }

    /// Sends an event to the reducer.
    pub(crate) fn tell(&self, event: Event) {
        self.enqueue(Input {
            event,
            sender: None,
        });
    }

    /// Sends an event that opens a request, and returns the channel for the request's commands.
    pub(crate) fn open(&self, event: Event) -> mpsc::UnboundedReceiver<Command> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.enqueue(Input {
            event,
            sender: Some(sender),
        });
        receiver
    }

    /// Offers a validated configuration to the reducer.
    pub(crate) fn offer(&self, current: Current, source: Source) {
        self.enqueue(Offer { current, source });
    }

    /// Reports a configuration that failed validation.
    pub(crate) fn report_invalid_config(&self, version: Version) {
        self.tell(Event::InvalidConfig(version));
    }

    /// Waits until the actor has stopped, which happens only when the reducer has failed.
    pub(crate) async fn stopped(&self) {
        self.0.wait_for_shutdown().await;
    }

    /// Returns whether this box is unready, ready or leaving.
    pub(crate) async fn phase(&self) -> Option<Phase> {
        self.0.ask(PhaseQuery).await.ok().map(|answer| answer.0)
    }

    /// Returns the status of this box and its view of the system.
    pub(crate) async fn status(&self) -> Option<Status> {
        self.0.ask(StatusQuery).await.ok().map(|answer| answer.0)
    }

    /// Returns the registered backend servers that this box knows, or the changes after `since`.
    pub(crate) async fn roster(&self, since: Option<Revision>) -> Option<Roster> {
        self.0.ask(RosterQuery { since }).await.ok()?.0
    }

    /// Reports where a request would be routed, without sending it.
    pub(crate) async fn explain(
        &self,
        ask: Query,
        prefix: u64,
    ) -> Option<Result<Explanation, String>> {
        let answer = self.0.ask(ExplainQuery { ask, prefix }).await;
        answer.ok().map(|answer| answer.0)
    }
}

impl Message<SetHandle> for Core {
    type Reply = ();
    async fn handle(&mut self, message: SetHandle, _: &mut Context<Self, ()>) {
        self.handle = Some(message.0);
    }
}

impl Message<Input> for Core {
    type Reply = ();
    async fn handle(&mut self, input: Input, _: &mut Context<Self, ()>) {
        let opened = match &input.event {
            Event::Arrived(arrival) => Some(arrival.request),
            Event::Asked { request, .. } | Event::Resolve { request, .. } => Some(*request),
            _ => None,
        };
        if let Some((request, sender)) = opened.zip(input.sender) {
            let (tag, customer_request) = match &input.event {
                Event::Arrived(arrival) => (arrival.tag.clone(), self.customer_request(arrival)),
                _ => (None, None),
            };
            self.open_requests.insert(
                request,
                OpenRequest {
                    sender,
                    tag,
                    customer_request,
                },
            );
        }
        let closed = match &input.event {
            Event::Disconnected(request) | Event::Ended { request, .. } => Some(*request),
            _ => None,
        };
        let customer_outcome = self.customer_outcome(&input.event);
        self.step(input.event);
        if let Some(request) = closed.filter(|r| !self.state.holds(*r)) {
            if let Some((_, outcome)) = customer_outcome {
                self.count_outcome(request, outcome);
            }
            self.open_requests.remove(&request);
        }
    }
}

impl Message<Offer> for Core {
    type Reply = ();
    async fn handle(&mut self, offer: Offer, _: &mut Context<Self, ()>) {
        let config = offer.current.config.clone();
        let record = offer.current.record.clone();
        let before = self.state.config().map(|config| config.version);
        self.offered = Some(offer.current);
        self.step(Event::Offered {
            config,
            source: offer.source,
        });
        self.offered = None;
        if self.parts.settings.interface == Interface::Own && before < Some(self.state.version()) {
            self.step(order::rollouts_event(&record));
        }
    }
}

impl Message<PhaseQuery> for Core {
    type Reply = PhaseAnswer;
    async fn handle(&mut self, _: PhaseQuery, _: &mut Context<Self, Self::Reply>) -> PhaseAnswer {
        PhaseAnswer(self.state.phase(self.parts.clock.now()))
    }
}

impl Message<StatusQuery> for Core {
    type Reply = StatusAnswer;
    async fn handle(&mut self, _: StatusQuery, _: &mut Context<Self, Self::Reply>) -> StatusAnswer {
        let now = self.parts.clock.now();
        StatusAnswer(Status {
            worst: self.customer_outcomes.service.worst(now),
            ..self.state.status(now)
        })
    }
}

impl Message<RosterQuery> for Core {
    type Reply = RosterAnswer;
    async fn handle(
        &mut self,
        query: RosterQuery,
        _: &mut Context<Self, Self::Reply>,
    ) -> RosterAnswer {
        RosterAnswer(self.state.roster(self.parts.clock.now(), query.since))
    }
}

impl Message<ExplainQuery> for Core {
    type Reply = ExplainAnswer;
    async fn handle(
        &mut self,
        query: ExplainQuery,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.parts.clock.now();
        ExplainAnswer(self.state.explain(now, query.ask, query.prefix))
    }
}

impl Core {
    fn step(&mut self, event: Event) {
        self.log_event(&event);
        self.record_event_metrics(&event);
        let is_tick = matches!(event, Event::Tick);
        let effects = self.state.step(self.parts.clock.now(), event);
        for effect in effects {
            self.apply_effect(effect);
        }
        if is_tick {
            self.update_gauges();
            self.report_worst_customers();
            self.report_repeats();
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        self.log_effect(&effect);
        self.record_effect_metrics(&effect);
        match effect {
            Effect::Send(send) => self.send_order(send.request, Command::Send(Box::new(send))),
            Effect::Abort { request, .. } => self.send_order(request, Command::Abort),
            Effect::DetachStream { request, .. } => self.send_order(request, Command::Detach),
            Effect::Move(order) => {
                if order.last {
                    self.send_order(order.request, Command::Stopping);
                }
                self.move_run(order);
            }
            Effect::FreeCopy(origin) => self.free_copy(origin),
            Effect::CompleteStream { request, .. } => self.send_order(request, Command::Complete),
            Effect::MoveEnded(_) => {}
            Effect::Probe { backend, address } => self.probe_backend(backend, address),
            Effect::CheckLiveness {
                backend,
                address,
                incarnation,
                path,
            } => self.check_liveness(backend, address, incarnation, path),
            Effect::WatchClosely(closely) => {
                log::info!("store: watched closely: {closely}.");
                self.parts.watch_closely.send_replace(closely);
            }
            Effect::RecheckStore => self.parts.recheck_store.notify_one(),
            Effect::StoreHeld(held) => self.write_quarantine(QuarantineWrite::Add(held)),
            Effect::RemoveHeld(content) => self.write_quarantine(QuarantineWrite::Remove(content)),
            Effect::WriteRollout {
                service,
                order,
                standing,
            } => self.write_rollout_status(service, order, standing),
            Effect::Rollout(step) => log::warn!("rollout: {step}"),
            Effect::Quarantine(step) if step.is_decision() => log::warn!("quarantine: {step}"),
            Effect::Quarantine(step) => log::debug!("quarantine: {step}"),
            Effect::CloseIdle(address) => self.parts.pool.close_idle(address),
            Effect::Reply { request, reply } => {
                self.count_reply(request, &reply);
                self.send_final_order(request, Command::Reply(reply));
            }
            Effect::Replay { request, answer } => {
                self.send_final_order(request, Command::Replay(answer))
            }
            Effect::Boxes { request, boxes, .. } => {
                self.send_final_order(request, Command::Boxes(boxes))
            }
            Effect::Queued { .. } | Effect::Broken { .. } | Effect::Repeat(_) => {}
            Effect::DeleteAnswer(answer) => self.parts.replay.remove(answer),
            Effect::Gossip { to, frame } => self.parts.links.send(to, &frame),
            Effect::Fetch { peer, version } => self.fetch_config(peer, version),
            Effect::FetchRoster { peer, since } => self.fetch_roster(peer, since),
            Effect::Inventory { backend, address } => self.fetch_cached_parts(backend, address),
            Effect::FollowEngine {
                backend,
                address,
                incarnation,
            } => self.follow_engine(backend, address, incarnation),
            Effect::UnfollowEngine(backend) => self.unfollow_engine(&backend),
            Effect::Follow(follow) => {
                log::info!("store: followed={follow}");
                self.parts.follow.send_replace(follow);
            }
            Effect::Watch(on) => {
                log::info!(
                    "core: {} the store.",
                    if on { "watching" } else { "not watching" }
                );
                self.parts.watch_store.send_replace(on);
            }
            Effect::ConfigApplied(version) => {
                log::info!("core: configuration {version} is in force.");
                self.parts.metrics.version.set(version.0 as i64);
                self.parts.current.send_replace(self.offered.clone());
            }
            Effect::Noted(note) => log::info!("peers: {note}"),
            Effect::Alarm(alarm) => {
                log::error!("core: alarm: {alarm}.");
                self.parts.metrics.alarms.inc();
            }
        }
    }

    fn send_order(&mut self, request: id::Request, order: Command) {
        if let Some(open) = self.open_requests.get(&request) {
            // A closed channel means that the request's task has ended; its drop handler notifies
            // the reducer.
            let _ = open.sender.send(order);
        }
    }

    fn send_final_order(&mut self, request: id::Request, order: Command) {
        self.send_order(request, order);
        self.open_requests.remove(&request);
    }
}
