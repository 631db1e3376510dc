//! Roll-outs that operators start and stop through the gateway's own interface. Roll-outs and their
//! state are stored together with the configuration.

use std::{collections::BTreeSet, fmt, net::SocketAddr, sync::Arc, time::Duration};

use hyper::StatusCode;
use kameo::{
    Reply as ActorReply,
    message::{Context, Message},
};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, task::JoinSet, time::sleep};

use crate::{
    config::{Envelope, Record, Version},
    fleet::{Revision, Rollouts},
    gateway::{
        Shell,
        core::{Core, Current, Handle},
        dial, follow,
        store::{Store, Stored, Swap},
    },
    id::{Release, Service},
    reducer::{
        event::{Event, Source},
        order::{Refusal, Request, Survey, check_open_order, check_stop},
    },
    rollout::{Entry, Order, Standing, Written},
    settings::{Interface, Settings},
};

/// Most attempts of a write that loses against concurrent writes.
const TRIES: u32 = 5;
/// The number and interval of the reads that check whether a write with unknown outcome took
/// effect.
const WRITE_CHECKS: (u32, Duration) = (5, Duration::from_millis(400));
/// Most backend servers of a release that are probed before a roll-out starts: enough to find one
/// in each of many regions.
const MAX_PROBES: usize = 256;

/// The outcome of starting or stopping a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The change is written, and all boxes apply it within seconds.
    Accepted {
        /// The version of the configuration that contains the change.
        version: Version,
    },
    /// The change was rejected; nothing was written.
    Refused {
        /// The reason of the rejection.
        reason: String,
    },
    /// The store did not confirm whether the change was written.
    Unknown,
    /// The store could not be read, or each attempt lost against a concurrent write; nothing was
    /// written.
    Unavailable {
        /// The reason of the failure.
        reason: String,
    },
}

impl Outcome {
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::Accepted { .. } => StatusCode::OK,
            Self::Refused { .. } => StatusCode::CONFLICT,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
            Self::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn refused(reason: impl fmt::Display) -> Self {
        let reason = reason.to_string();
        Self::Refused { reason }
    }
}

/// Returns the event that passes the roll-outs in `record` to the reducer.
pub(super) fn rollouts_event(record: &Record) -> Event {
    Event::Rollouts {
        rollouts: record.rollouts.clone(),
        revision: revision(record.envelope.version),
    }
}

/// Returns the revision that corresponds to a configuration version. Versions order the roll-out
/// changes here, as revisions do in the platform's store.
fn revision(version: Version) -> Revision {
    Revision::first(version.0)
}

/// Writes roll-outs and their state to the store.
pub(super) struct Writer {
    pub(super) store: Store,
    pub(super) core: Handle,
    pub(super) settings: Arc<Settings>,
    pub(super) current: watch::Receiver<Option<Current>>,
}

impl Writer {
    pub(super) fn of(shell: &Shell) -> Self {
        Self {
            store: shell.store.clone(),
            core: shell.core.clone(),
            settings: shell.settings.clone(),
            current: shell.current.clone(),
        }
    }

    /// Starts a roll-out.
    pub(super) async fn start(&self, author: &str, ask: &Request) -> Outcome {
        if let Err(outcome) = self.require_own_interface() {
            return outcome;
        }
        let Some(survey) = self.core.survey(&ask.service, &ask.release).await else {
            let reason = "the box is stopping".to_owned();
            return Outcome::Unavailable { reason };
        };
        let closed = closed_addresses(survey.addresses().take(MAX_PROBES)).await;
        let checked = survey.check(ask, &closed);
        let edit = |rollouts: &mut Rollouts, version| {
            // The stored roll-out is checked first: it gives the more specific reason of a refusal.
            check_open_order(rollouts.get(&ask.service), ask)?;
            checked.clone()?;
            let entry = rollouts.entry(ask.service.clone()).or_default();
            entry.order = Some(Order {
                release: ask.release.clone(),
                within: ask.within,
                revision: revision(version),
            });
            Ok(())
        };
        let outcome = self.write(author, edit).await;
        log::info!(
            "admin: rollout start service={} release={} within={} ready={} closed={} \
             by={author:?}: {outcome:?}.",
            ask.service,
            ask.release,
            ask.within,
            survey.addresses().count() - closed.len(),
            closed.len(),
        );
        outcome
    }

    /// Stops a roll-out.
    pub(super) async fn stop(&self, author: &str, service: &Service) -> Outcome {
        if let Err(outcome) = self.require_own_interface() {
            return outcome;
        }
        let edit = |rollouts: &mut Rollouts, _| {
            check_stop(rollouts.get(service), service)?;
            if let Some(entry) = rollouts.get_mut(service) {
                entry.order = None;
            }
            rollouts.retain(|_, entry| *entry != Entry::default());
            Ok(())
        };
        let outcome = self.write(author, edit).await;
        log::info!("admin: rollout stop service={service} by={author:?}: {outcome:?}.");
        outcome
    }

    /// Writes the state of a roll-out, unless its end is already written or a different order has
    /// replaced it. If no update shows the new state, the reducer requests the write again.
    pub(super) async fn write_state(&self, service: Service, order: Order, standing: Standing) {
        let edit = |rollouts: &mut Rollouts, version| {
            let entry = rollouts.get_mut(&service);
            let same_order = entry.filter(|entry| entry.order.as_ref() == Some(&order));
            let entry = same_order.ok_or_else(|| Refusal::NoOrder(service.clone()))?;
            if let Some(previous) = entry.standing()
                && (previous.is_end() || previous == standing)
            {
                return Err(Refusal::Ended(previous));
            }
            entry.written = Some(Written {
                standing,
                release: order.release.clone(),
                revision: revision(version),
            });
            Ok(())
        };
        let author = format!("box {}", self.settings.name);
        let state = standing.name();
        match self.write(&author, edit).await {
            Outcome::Accepted { version } => {
                log::info!("rollout: service={service} wrote={state} as={version}");
            }
            Outcome::Refused { reason } => {
                log::info!("rollout: service={service} wrote=nothing, others were first: {reason}");
            }
            other => {
                log::warn!(
                    "rollout: service={service} the store did not accept state {state}: {other:?}"
                )
            }
        }
    }

    fn require_own_interface(&self) -> Result<(), Outcome> {
        match self.settings.interface {
            Interface::Own => Ok(()),
            Interface::Platform => {
                Err(Outcome::refused("orders are given in the platform's store"))
            }
        }
    }

    /// Applies `edit` to the roll-outs and writes them as a new version with the same configuration
    /// text.
    async fn write(
        &self,
        author: &str,
        edit: impl Fn(&mut Rollouts, Version) -> Result<(), Refusal>,
    ) -> Outcome {
        for _ in 0..TRIES {
            let stored = match self.store.read().await {
                Ok(stored) => stored,
                Err(error) => {
                    let reason = format!("{error:#}");
                    return Outcome::Unavailable { reason };
                }
            };
            let current = self.current.borrow().clone().map(|c| c.record);
            let Some(base) = newer_record(stored.record.as_ref(), current.as_deref()) else {
                return Outcome::refused("there is no configuration yet");
            };
            let version = Version(base.envelope.version.0 + 1);
            let mut record = Record {
                envelope: Envelope {
                    version,
                    write: write_id(),
                    author: author.to_owned(),
                    text: base.envelope.text.clone(),
                },
                edited: Some(base.edited()),
                rollouts: base.rollouts.clone(),
            };
            if let Err(refusal) = edit(&mut record.rollouts, version) {
                return Outcome::refused(refusal);
            }
            match self.store.swap(stored.revision, &record).await {
                Ok(Swap::Done) => return self.accepted(record),
                Ok(Swap::Conflict) => {}
                Err(error) => {
                    log::warn!("rollout: the store did not confirm a write: {error:#}.");
                    return self.confirm_write(&stored, record).await;
                }
            }
        }
        let reason = format!("others changed the configuration {TRIES} times meanwhile");
        Outcome::Unavailable { reason }
    }

    /// Offers the written configuration to this box at once, without waiting for the store watch.
    fn accepted(&self, record: Record) -> Outcome {
        let version = record.envelope.version;
        follow::offer(&self.core, &self.settings, record, Source::Store);
        Outcome::Accepted { version }
    }

    /// Reads the store until the outcome of an unconfirmed write is known; `before` is the record
    /// read before the write.
    async fn confirm_write(&self, before: &Stored, record: Record) -> Outcome {
        let (checks, interval) = WRITE_CHECKS;
        for _ in 0..checks {
            sleep(interval).await;
            let Ok(after) = self.store.read().await else {
                continue;
            };
            let found = after.record.as_ref().map(|found| &found.envelope);
            if found.is_some_and(|found| found.write == record.envelope.write) {
                return self.accepted(record);
            }
            if found.is_some_and(|found| found.version == record.envelope.version) {
                return Outcome::refused("another change was first; look, and try again");
            }
            if after.revision != before.revision {
                // The store holds a later change; it is not known whether that was based on this
                // write.
                break;
            }
        }
        Outcome::Unknown
    }
}

/// Returns a random identifier by which a writer recognises its own write.
pub(super) fn write_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Returns the newer of the stored and the active configuration. The stored one can be older after
/// the store was restored from a copy.
pub(super) fn newer_record<'a>(
    stored: Option<&'a Record>,
    in_force: Option<&'a Record>,
) -> Option<&'a Record> {
    let both = stored.into_iter().chain(in_force);
    both.max_by_key(|record| record.envelope.version)
}

/// Returns the addresses at which no server listens.
async fn closed_addresses(addresses: impl Iterator<Item = SocketAddr>) -> BTreeSet<SocketAddr> {
    let mut probes = JoinSet::new();
    for address in addresses {
        probes.spawn(async move { dial::is_port_closed(address).await.then_some(address) });
    }
    let results = probes.join_all().await;
    results.into_iter().flatten().collect()
}

struct SurveyQuery {
    service: Service,
    release: Release,
}

#[derive(ActorReply)]
struct SurveyAnswer(Survey);

impl Message<SurveyQuery> for Core {
    type Reply = SurveyAnswer;
    async fn handle(
        &mut self,
        query: SurveyQuery,
        _: &mut Context<Self, SurveyAnswer>,
    ) -> SurveyAnswer {
        let now = self.parts.clock.now();
        SurveyAnswer(self.state.survey_order(now, &query.service, &query.release))
    }
}

impl Handle {
    /// Returns the backend servers that a roll-out of `release` concerns.
    async fn survey(&self, service: &Service, release: &Release) -> Option<Survey> {
        let query = SurveyQuery {
            service: service.clone(),
            release: release.clone(),
        };
        self.0.ask(query).await.ok().map(|answer| answer.0)
    }
}
