//! Operators' orders for roll-outs on our own interface, and what the boxes write of them, beside the
//! configuration in the store.

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
        order::{Ask, Refusal, Survey, check_standing, check_stop},
    },
    rollout::{Entry, Order, Standing, Written},
    settings::{Interface, Settings},
};

/// How often a write is tried again that others were ahead of.
const TRIES: u32 = 5;
/// How often and how far apart a write is looked for whose answer was lost.
const LOOKS: (u32, Duration) = (5, Duration::from_millis(400));
/// Servers of a release that are knocked at before an order, at most: enough to find one in each of many regions.
const KNOCKS: usize = 256;

/// What became of an order or a stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// It stands, and every box follows it within seconds.
    Accepted {
        /// The version of the configuration that holds it.
        version: Version,
    },
    /// It was not taken; nothing was written.
    Refused {
        /// Why.
        reason: String,
    },
    /// The store did not say whether it was written.
    Unknown,
    /// The store could not be read, or others wrote each time; nothing was written.
    Unavailable {
        /// Why.
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

/// What the reducer is told of the roll-outs that `record` holds.
pub(super) fn ordered(record: &Record) -> Event {
    Event::Rollouts {
        rollouts: record.rollouts.clone(),
        revision: revision(record.envelope.version),
    }
}

/// Versions count what happens to orders here, as the platform's store does by its revisions.
fn revision(version: Version) -> Revision {
    Revision::first(version.0)
}

/// What is needed to write orders, and how they stand.
pub(super) struct Desk {
    pub(super) store: Store,
    pub(super) core: Handle,
    pub(super) settings: Arc<Settings>,
    pub(super) current: watch::Receiver<Option<Current>>,
}

impl Desk {
    pub(super) fn of(shell: &Shell) -> Self {
        Self {
            store: shell.store.clone(),
            core: shell.core.clone(),
            settings: shell.settings.clone(),
            current: shell.current.clone(),
        }
    }

    /// Gives an order.
    pub(super) async fn start(&self, author: &str, ask: &Ask) -> Outcome {
        if let Err(outcome) = self.own_interface() {
            return outcome;
        }
        let Some(survey) = self.core.survey(&ask.service, &ask.release).await else {
            let reason = "the box is stopping".to_owned();
            return Outcome::Unavailable { reason };
        };
        let closed = closed(survey.addresses().take(KNOCKS)).await;
        let checked = survey.check(ask, &closed);
        let edit = |rollouts: &mut Rollouts, version| {
            // What the store holds tells more of why it can't be.
            check_standing(rollouts.get(&ask.service), ask)?;
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

    /// Takes an order back.
    pub(super) async fn stop(&self, author: &str, service: &Service) -> Outcome {
        if let Err(outcome) = self.own_interface() {
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

    /// Writes how a roll-out stands, unless its end was written, or the order is another one by now. The
    /// reducer asks again where no news tell of it.
    pub(super) async fn settle(&self, service: Service, order: Order, standing: Standing) {
        let edit = |rollouts: &mut Rollouts, version| {
            let entry = rollouts.get_mut(&service);
            let same = entry.filter(|entry| entry.order.as_ref() == Some(&order));
            let entry = same.ok_or_else(|| Refusal::NoOrder(service.clone()))?;
            if let Some(before) = entry.standing()
                && (before.is_end() || before == standing)
            {
                return Err(Refusal::Ended(before));
            }
            entry.written = Some(Written {
                standing,
                release: order.release.clone(),
                revision: revision(version),
            });
            Ok(())
        };
        let author = format!("box {}", self.settings.name);
        let name = standing.name();
        match self.write(&author, edit).await {
            Outcome::Accepted { version } => {
                log::info!("rollout: service={service} wrote={name} as={version}");
            }
            Outcome::Refused { reason } => {
                log::info!("rollout: service={service} wrote=nothing, others were first: {reason}");
            }
            other => {
                log::warn!("rollout: service={service} the store did not take {name}: {other:?}")
            }
        }
    }

    fn own_interface(&self) -> Result<(), Outcome> {
        match self.settings.interface {
            Interface::Own => Ok(()),
            Interface::Platform => {
                Err(Outcome::refused("orders are given in the platform's store"))
            }
        }
    }

    /// Writes what `edit` makes of the roll-outs as a new version with the same text.
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
            let Some(base) = newest(stored.record.as_ref(), current.as_deref()) else {
                return Outcome::refused("there is no configuration yet");
            };
            let version = Version(base.envelope.version.0 + 1);
            let mut record = Record {
                envelope: Envelope {
                    version,
                    write: mark(),
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
                Ok(Swap::Lost) => {}
                Err(error) => {
                    log::warn!("rollout: a write's reply was lost: {error:#}.");
                    return self.look(&stored, record).await;
                }
            }
        }
        let reason = format!("others changed the configuration {TRIES} times meanwhile");
        Outcome::Unavailable { reason }
    }

    /// The box that wrote has it at once.
    fn accepted(&self, record: Record) -> Outcome {
        let version = record.envelope.version;
        follow::offer(&self.core, &self.settings, record, Source::Store);
        Outcome::Accepted { version }
    }

    /// Reads until the fate of a write shows; `before` is what stood before it.
    async fn look(&self, before: &Stored, record: Record) -> Outcome {
        let (tries, pause) = LOOKS;
        for _ in 0..tries {
            sleep(pause).await;
            let Ok(now) = self.store.read().await else {
                continue;
            };
            let found = now.record.as_ref().map(|found| &found.envelope);
            if found.is_some_and(|found| found.write == record.envelope.write) {
                return self.accepted(record);
            }
            if found.is_some_and(|found| found.version == record.envelope.version) {
                return Outcome::refused("another change was first; look, and try again");
            }
            if now.revision != before.revision {
                // A later change stands; whether it followed this one cannot be seen.
                break;
            }
        }
        Outcome::Unknown
    }
}

/// A random mark of a write, by which a writer knows its own.
pub(super) fn mark() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// The newer of what the store holds and what is in force: a store may have gone back.
pub(super) fn newest<'a>(
    stored: Option<&'a Record>,
    in_force: Option<&'a Record>,
) -> Option<&'a Record> {
    let both = stored.into_iter().chain(in_force);
    both.max_by_key(|record| record.envelope.version)
}

/// Those of `addresses` where nothing listens.
async fn closed(addresses: impl Iterator<Item = SocketAddr>) -> BTreeSet<SocketAddr> {
    let mut knocks = JoinSet::new();
    for address in addresses {
        knocks.spawn(async move { dial::is_closed(address).await.then_some(address) });
    }
    let all = knocks.join_all().await;
    all.into_iter().flatten().collect()
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
    /// The servers that an order speaks of.
    async fn survey(&self, service: &Service, release: &Release) -> Option<Survey> {
        let query = SurveyQuery {
            service: service.clone(),
            release: release.clone(),
        };
        self.0.ask(query).await.ok().map(|answer| answer.0)
    }
}
