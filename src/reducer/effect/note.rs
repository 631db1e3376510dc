//! Reports to operators: alarms, changes in a box's view of the system, and steps of roll-outs.

use std::fmt;

use crate::{
    config::Version,
    fleet::{Era, Revision},
    id::{self, Region, Service},
    rollout::{Finding, Order, Standing},
    size::Weight,
    unit::{Millis, Rate},
    wire::Phase,
};

/// A condition that an operator should know about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Alarm {
    /// A configuration older than the one in force was offered.
    Older(Version),
    /// Two different configurations have the same version.
    Conflict(Version),
    /// A configuration failed validation; the previous one stays in force.
    Unreadable(Version),
    /// The process did not run for this long.
    Suspended(Millis),
}

impl fmt::Display for Alarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Older(v) => write!(f, "an older configuration {v} was offered and refused"),
            Self::Conflict(v) => write!(f, "two configurations are numbered {v}; the first stays"),
            Self::Unreadable(v) => write!(f, "configuration {v} does not check; the old one stays"),
            Self::Suspended(span) => write!(f, "the process stood still for {span}"),
        }
    }
}

/// A change in a box's view of the system.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A box of this region became reachable.
    BoxReachable(id::BoxName),
    /// A box of this region has been silent for too long.
    BoxSilent(id::BoxName),
    /// Another region became reachable.
    RegionReachable(Region),
    /// Another region has been silent for too long.
    RegionSilent(Region),
    /// The streams of a backend server have been silent for too long.
    Failed(id::Backend),
    /// A backend server that was considered failed sends data again.
    Recovered(id::Backend),
    /// A backend server restarted under the same name.
    Restarted(id::Backend),
    /// A backend server named a new limit on the requests per second from all boxes, or no longer
    /// names one.
    Limited {
        /// The backend server.
        backend: id::Backend,
        /// Accepted rate; `None` if the server names no limit.
        rate: Option<Rate>,
        /// Box that reported it; `None` if the server itself did.
        teller: Option<id::BoxName>,
    },
    /// A backend server announced that it is brittle, or no longer does.
    Brittle {
        /// The backend server.
        backend: id::Backend,
        /// Requests per second that it may have to reject; `None` if it is not brittle.
        tolerance: Option<Rate>,
        /// Box that reported it; `None` if the server itself did.
        teller: Option<id::BoxName>,
    },
    /// The number of requests that a brittle backend server is given at once changed.
    Capped {
        /// The backend server.
        backend: id::Backend,
        /// Requests in flight over all boxes.
        limit: u32,
        /// Number of changes.
        version: u32,
        /// Box that reported it; `None` if this box changed it.
        teller: Option<id::BoxName>,
    },
    /// A backend server announced that it is leaving.
    Departing {
        /// The backend server.
        backend: id::Backend,
        /// Box that reported it; `None` if the server itself did.
        teller: Option<id::BoxName>,
    },
    /// A backend server that counted as warm reported itself that it is cold.
    Cold {
        /// The backend server.
        backend: id::Backend,
        /// How much longer it is cold.
        left: Millis,
        /// Box that reported it; `None` if the server itself did.
        teller: Option<id::BoxName>,
    },
    /// Nothing shows any more that this box knows what the platform's store holds, or it knows again.
    StoreSilent {
        /// Whether the store is silent.
        silent: bool,
        /// Age of this box's knowledge of the store, or time for which the store was silent.
        span: Millis,
        /// Box that reported it; `None` if this box noticed it itself.
        teller: Option<id::BoxName>,
    },
    /// The limit that a backend server names cannot be parsed.
    Unreadable(id::Backend),
    /// A backend server asked this box to send nothing for a while.
    PushedBack {
        /// The backend server.
        backend: id::Backend,
        /// Length of the pause; `None` if the value cannot be parsed.
        span: Option<Millis>,
    },
    /// The last part of a planned stop begins.
    Ending {
        /// Waiting requests that were refused, as no time is left for them.
        refused: usize,
        /// Requests that are still to be answered.
        open: usize,
        /// When the last answers are due.
        left: Millis,
    },
    /// The grace of a planned stop is nearly over.
    Ended {
        /// Requests that were given up, as their answers had not begun.
        unanswered: usize,
        /// Requests whose answers are in progress.
        open: usize,
    },
    /// The platform's store was restored from a copy.
    StoreRestored(Era),
    /// The platform's store reported a revision older than the known one, and it was dropped.
    OutdatedUpdate {
        /// Reported revision.
        revision: Revision,
        /// Known revision.
        known: Revision,
    },
    /// The settings of this box changed its weight.
    Resized {
        /// Previous weight.
        old: Option<Weight>,
        /// New weight.
        weight: Option<Weight>,
    },
    /// This box became full, relative to its weight and to the other boxes, or stopped being full.
    Filled {
        /// Whether the box is full.
        full: bool,
        /// Requests in flight.
        busy: u32,
        /// Weight of the box.
        weight: Option<Weight>,
        /// Requests in flight per weight, as a multiple of the same ratio for the region as a
        /// whole.
        crowding: f64,
    },
    /// This box has lacked changes of the store for long that another box has.
    Lagging {
        /// Newest revision heard of.
        newest: Revision,
        /// Revision that this box knows.
        known: Revision,
        /// Box that told of the newest revision.
        teller: id::BoxName,
        /// Phase of that box; `None` if it is of another region.
        phase: Option<Phase>,
    },
    /// This box has all changes of the store that it had lacked for long.
    CaughtUp {
        /// Revision that this box knows.
        known: Revision,
        /// Time for which it lacked changes.
        lag: Millis,
    },
    /// This box reaches neither the store nor any other box, and treats all servers as cold until
    /// it does.
    Isolated,
    /// This box lost its path to the backend servers of its region, or found it again.
    Path {
        /// Whether the path is lost.
        lost: bool,
        /// Neighbours that report to have one.
        neighbours: usize,
    },
    /// This box reaches the store or another box again.
    Reconnected {
        /// Requests in its queue.
        waiting: usize,
        /// Age of the store's latest answer; zero if there was none.
        store_age: Millis,
    },
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BoxReachable(name) => write!(f, "box={name} state=heard"),
            Self::BoxSilent(name) => write!(f, "box={name} state=silent"),
            Self::RegionReachable(region) => write!(f, "region={region} state=heard"),
            Self::RegionSilent(region) => write!(f, "region={region} state=silent"),
            Self::Resized { old, weight } => {
                let (old, weight) = (format_weight(*old), format_weight(*weight));
                write!(f, "box=self weight={weight} before={old}")
            }
            Self::Filled {
                full,
                busy,
                weight,
                crowding,
            } => {
                let state = if *full { "full" } else { "eased" };
                let weight = format_weight(*weight);
                write!(
                    f,
                    "box=self state={state} busy={busy} weight={weight} crowding={crowding:.1}"
                )
            }
            Self::Failed(name) => write!(f, "backend={name} state=silent"),
            Self::Recovered(name) => write!(f, "backend={name} state=heard"),
            Self::Restarted(name) => write!(f, "backend={name} state=started-again"),
            Self::Limited {
                backend,
                rate,
                teller,
            } => {
                write!(f, "backend={backend} limit=")?;
                match rate {
                    Some(rate) => write!(f, "{rate}")?,
                    None => f.write_str("none")?,
                }
                write_source(f, teller.as_ref())
            }
            Self::Brittle {
                backend,
                tolerance,
                teller,
            } => {
                write!(f, "backend={backend} brittle=")?;
                match tolerance {
                    Some(tolerance) => write!(f, "{tolerance}")?,
                    None => f.write_str("no")?,
                }
                write_source(f, teller.as_ref())
            }
            Self::Capped {
                backend,
                limit,
                version,
                teller,
            } => {
                write!(f, "backend={backend} cap={limit} version={version}")?;
                match teller {
                    Some(teller) => write!(f, " told-by={teller}"),
                    None => f.write_str(" told-by=self"),
                }
            }
            Self::Cold {
                backend,
                left,
                teller,
            } => {
                write!(f, "backend={backend} state=cold left={left}")?;
                write_source(f, teller.as_ref())
            }
            Self::StoreSilent {
                silent: true,
                span,
                teller,
            } => {
                write!(f, "store state=silent knowledge_age={span}")?;
                match teller {
                    Some(teller) => write!(f, " told-by={teller}"),
                    None => f.write_str(" told-by=self"),
                }
            }
            Self::StoreSilent { span, .. } => write!(f, "store state=heard silent_for={span}"),
            Self::Departing { backend, teller } => {
                write!(f, "backend={backend} state=leaving")?;
                write_source(f, teller.as_ref())
            }
            Self::Unreadable(name) => write!(f, "backend={name} limit=unreadable"),
            Self::PushedBack { backend, span } => match span {
                Some(span) => write!(f, "backend={backend} pushback={span}"),
                None => write!(f, "backend={backend} pushback=unreadable"),
            },
            Self::Ending {
                refused,
                open,
                left,
            } => write!(
                f,
                "box=self state=ending refused={refused} open={open} left={left}"
            ),
            Self::Ended { unanswered, open } => {
                write!(
                    f,
                    "box=self state=ended unanswered={unanswered} open={open}"
                )
            }
            Self::StoreRestored(era) => write!(f, "store era={era} restored=copy"),
            Self::OutdatedUpdate { revision, known } => {
                write!(f, "store news={revision} known={known} dropped=older")
            }
            Self::Lagging {
                newest,
                known,
                teller,
                phase,
            } => {
                write!(f, "store newest={newest} known={known} told-by={teller}")?;
                match phase {
                    Some(phase) => write!(f, " phase={phase}"),
                    None => f.write_str(" phase=-"),
                }
            }
            Self::CaughtUp { known, lag } => {
                write!(f, "store known={known} state=caught-up lag={lag}")
            }
            Self::Isolated => f.write_str("all state=silent store=silent cold=assumed"),
            Self::Path { lost, neighbours } => {
                let state = if *lost { "unreachable" } else { "reached" };
                write!(f, "servers=all state={state} neighbours={neighbours}")
            }
            Self::Reconnected { waiting, store_age } => {
                write!(f, "all state=heard waiting={waiting} store_age={store_age}")
            }
        }
    }
}

/// Writes where a statement of a backend server about itself came from.
fn write_source(f: &mut fmt::Formatter<'_>, teller: Option<&id::BoxName>) -> fmt::Result {
    match teller {
        Some(teller) => write!(f, " told-by={teller}"),
        None => f.write_str(" told-by=itself"),
    }
}

/// A step of a roll-out, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A roll-out was ordered.
    Ordered {
        /// The service.
        service: Service,
        /// The order.
        order: Order,
    },
    /// The order was withdrawn.
    Withdrawn(Service),
    /// Traffic shifts to the new release.
    Moved(Service),
    /// This box proposes a final state.
    Judged {
        /// The service.
        service: Service,
        /// Proposed state.
        standing: Standing,
        /// Evidence for the proposal.
        finding: Finding,
    },
    /// The store recorded a state.
    Written {
        /// The service.
        service: Service,
        /// Recorded state.
        standing: Standing,
    },
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ordered { service, order } => write!(
                f,
                "service={service} release={} within={} order={} ordered",
                order.release, order.within, order.revision
            ),
            Self::Withdrawn(service) => write!(f, "service={service} withdrawn"),
            Self::Moved(service) => write!(f, "service={service} traffic=new-release"),
            Self::Judged {
                service,
                standing,
                finding,
            } => write!(
                f,
                "service={service} judged={} old={}/{} new={}/{} evidence={:.1}",
                standing.name(),
                finding.old.bad,
                finding.old.answers,
                finding.new.bad,
                finding.new.answers,
                finding.weight
            ),
            Self::Written { service, standing } => {
                write!(f, "service={service} written={}", standing.name())
            }
        }
    }
}

fn format_weight(weight: Option<Weight>) -> String {
    weight.map_or("-".to_owned(), |weight| weight.to_string())
}
