//! What operators are told: alarms, what a box believes of the others, and the steps of roll-outs.

use std::fmt;

use crate::{
    config::Version,
    fleet::{Era, Revision},
    id::{self, Region, Service},
    rollout::{Finding, Order, Standing},
    size::Weight,
    unit::{Millis, Rate},
};

/// Something an operator should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Alarm {
    /// A configuration with a lower number than the one in force was offered.
    Older(Version),
    /// Two configurations have one number.
    Conflict(Version),
    /// A configuration does not check; the old one stays.
    Unreadable(Version),
    /// The process stood still for this long.
    Frozen(Millis),
}

impl fmt::Display for Alarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Older(v) => write!(f, "an older configuration {v} was offered and refused"),
            Self::Conflict(v) => write!(f, "two configurations are numbered {v}; the first stays"),
            Self::Unreadable(v) => write!(f, "configuration {v} does not check; the old one stays"),
            Self::Frozen(span) => write!(f, "the process stood still for {span}"),
        }
    }
}

/// What a box believes of the others, where that changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A box of this region was heard.
    Heard(id::BoxName),
    /// A box of this region is silent for too long.
    Lost(id::BoxName),
    /// Another region was heard.
    Reached(Region),
    /// Another region is silent for too long.
    Unreached(Region),
    /// The streams of a backend server are silent for too long.
    Failed(id::Backend),
    /// A backend server that had failed brings something again.
    Regained(id::Backend),
    /// A backend server started again under its name.
    Reborn(id::Backend),
    /// A backend server says that it takes no more than this a second from all boxes, or no longer says
    /// so.
    Limited {
        /// The backend server.
        backend: id::Backend,
        /// What it takes; none where it names nothing.
        rate: Option<Rate>,
        /// The box that told it; none where the server itself did.
        teller: Option<id::BoxName>,
    },
    /// A backend server says that it is leaving.
    Departing {
        /// The backend server.
        backend: id::Backend,
        /// The box that told it; none where the server itself did.
        teller: Option<id::BoxName>,
    },
    /// What a backend server says of its limit cannot be read.
    Unreadable(id::Backend),
    /// A backend server asks this box to send it nothing for so long; none where that cannot be read.
    PushedBack {
        /// The backend server.
        backend: id::Backend,
        /// How long.
        span: Option<Millis>,
    },
    /// The platform's store came back from a copy.
    Era(Era),
    /// The platform's store told something by an older number than is known; it is dropped.
    OldNews {
        /// The number.
        revision: Revision,
        /// What is known.
        known: Revision,
    },
    /// The settings of this box give it another weight.
    Resized {
        /// What it told before.
        old: Option<Weight>,
        /// What it tells now.
        weight: Option<Weight>,
    },
    /// This box became full for its weight beside the others, or ceased to be.
    Filled {
        /// Whether it is full.
        full: bool,
        /// Requests in hand.
        busy: u32,
        /// Its weight.
        weight: Option<Weight>,
        /// How much more that is for its weight than the region's boxes have together.
        crowding: f64,
    },
    /// This box hears neither the store nor another box: servers count as cold until it does.
    Alone,
    /// It hears one of them again.
    Accompanied,
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Heard(name) => write!(f, "box={name} state=heard"),
            Self::Lost(name) => write!(f, "box={name} state=silent"),
            Self::Reached(region) => write!(f, "region={region} state=heard"),
            Self::Unreached(region) => write!(f, "region={region} state=silent"),
            Self::Resized { old, weight } => {
                let (old, weight) = (told(*old), told(*weight));
                write!(f, "box=self weight={weight} before={old}")
            }
            Self::Filled {
                full,
                busy,
                weight,
                crowding,
            } => {
                let state = if *full { "full" } else { "eased" };
                let weight = told(*weight);
                write!(
                    f,
                    "box=self state={state} busy={busy} weight={weight} crowding={crowding:.1}"
                )
            }
            Self::Failed(name) => write!(f, "backend={name} state=silent"),
            Self::Regained(name) => write!(f, "backend={name} state=heard"),
            Self::Reborn(name) => write!(f, "backend={name} state=started-again"),
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
                write_teller(f, teller.as_ref())
            }
            Self::Departing { backend, teller } => {
                write!(f, "backend={backend} state=leaving")?;
                write_teller(f, teller.as_ref())
            }
            Self::Unreadable(name) => write!(f, "backend={name} limit=unreadable"),
            Self::PushedBack { backend, span } => match span {
                Some(span) => write!(f, "backend={backend} pushback={span}"),
                None => write!(f, "backend={backend} pushback=unreadable"),
            },
            Self::Era(era) => write!(f, "store era={era} restored=copy"),
            Self::OldNews { revision, known } => {
                write!(f, "store news={revision} known={known} dropped=older")
            }
            Self::Alone => f.write_str("all state=silent store=silent cold=assumed"),
            Self::Accompanied => f.write_str("all state=heard"),
        }
    }
}

/// Who told what a backend server says of itself.
fn write_teller(f: &mut fmt::Formatter<'_>, teller: Option<&id::BoxName>) -> fmt::Result {
    match teller {
        Some(teller) => write!(f, " told-by={teller}"),
        None => f.write_str(" told-by=itself"),
    }
}

/// What became of a roll-out, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// It was ordered.
    Ordered {
        /// The service.
        service: Service,
        /// What was asked for.
        order: Order,
    },
    /// The order was taken back.
    Withdrawn(Service),
    /// Traffic moves to the new release.
    Moved(Service),
    /// This box wants its end written.
    Judged {
        /// The service.
        service: Service,
        /// How it should end.
        standing: Standing,
        /// What decided.
        finding: Finding,
    },
    /// This is what the store holds.
    Written {
        /// The service.
        service: Service,
        /// How far it has come.
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

fn told(weight: Option<Weight>) -> String {
    weight.map_or("-".to_owned(), |weight| weight.to_string())
}
