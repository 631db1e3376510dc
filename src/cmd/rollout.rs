//! `petreldrum rollout`: orders for roll-outs of releases, and how they stand, as one box sees them.

use std::process::ExitCode;

use bytes::Bytes;
use clap::Subcommand;
use eyre::WrapErr;
use hyper::Method;

use crate::{
    cmd::call::Admin,
    gateway::{
        admin::{AUTHOR, ROLLOUT_PATH},
        order::Outcome,
    },
    id::{Release, Service},
    reducer::{
        order::Ask,
        status::{Rollout, Status},
    },
    rollout::Standing,
    unit::Millis,
};

/// Give an order for a roll-out, take it back, or show how roll-outs stand.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Order that a service's traffic move to a release. Exits 1 if that is refused, 3 if the outcome is unknown.
    Start {
        #[command(flatten)]
        admin: Admin,
        /// The service.
        service: Service,
        /// The release that is to serve.
        release: Release,
        /// The time after which it should; the release is watched meanwhile.
        #[arg(long, value_name = "TIME")]
        within: Millis,
        /// Who gives the order.
        #[arg(long, env = "USER")]
        author: String,
    },
    /// Take an order back: its release gets nothing while others serve.
    Stop {
        #[command(flatten)]
        admin: Admin,
        /// The service.
        service: Service,
        /// Who takes it back.
        #[arg(long, env = "USER")]
        author: String,
    },
    /// Show how far each has come, what the releases answered, and what speaks against the new one.
    Show {
        #[command(flatten)]
        admin: Admin,
        /// Only that of this service; without it the command ends with 1.
        service: Option<Service>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

pub(super) fn run(args: Args) -> eyre::Result<ExitCode> {
    match args.task {
        Task::Start {
            admin,
            service,
            release,
            within,
            author,
        } => {
            let ask = Ask {
                service,
                release,
                within,
            };
            order(&admin, Method::POST, author, serde_json::to_vec(&ask)?)
        }
        Task::Stop {
            admin,
            service,
            author,
        } => order(&admin, Method::DELETE, author, service.to_string()),
        Task::Show {
            admin,
            service,
            json,
        } => show(&admin, service, json),
    }
}

fn order(
    admin: &Admin,
    method: Method,
    author: String,
    body: impl Into<Bytes>,
) -> eyre::Result<ExitCode> {
    let answer = admin.call(method, ROLLOUT_PATH, &[(AUTHOR, author)], body)?;
    let Ok(outcome) = serde_json::from_slice(&answer.body) else {
        answer.good()?;
        eyre::bail!("the box's answer does not read");
    };
    Ok(ExitCode::from(match outcome {
        Outcome::Accepted { version } => {
            println!("accepted as {version}");
            0
        }
        Outcome::Refused { reason } => {
            eprintln!("refused: {reason}");
            super::REFUSED
        }
        Outcome::Unknown => {
            eprintln!("unknown: the store did not say whether it was written; show will tell");
            super::UNKNOWN
        }
        Outcome::Unavailable { reason } => {
            eprintln!("not written: {reason}");
            super::REFUSED
        }
    }))
}

fn show(admin: &Admin, service: Option<Service>, json: bool) -> eyre::Result<ExitCode> {
    let body = admin.call(Method::GET, "/status", &[], "")?.good()?;
    let status: Status =
        serde_json::from_slice(&body).wrap_err("the box's answer does not read")?;
    let asked = |row: &Rollout| service.as_ref().is_none_or(|s| *s == row.service);
    let rows: Vec<Rollout> = status.rollouts.into_iter().filter(asked).collect();
    if json {
        println!("{}", serde_json::to_string(&rows)?);
    } else {
        rows.iter().for_each(print);
    }
    let missing = service.is_some() && rows.is_empty();
    Ok(ExitCode::from(u8::from(missing) * super::REFUSED))
}

fn print(row: &Rollout) {
    let release = row.release.as_ref();
    let release = release.map_or("no release".to_owned(), ToString::to_string);
    let standing = row.standing.map_or("not begun", Standing::name);
    let within = match row.within {
        Some(within) => format!("ordered {} ago, due within {within}", row.age),
        None => "the order was withdrawn".to_owned(),
    };
    println!("{} to {release}: {standing}, {within}", row.service);
    let traffic = match () {
        () if row.held => "the new release gets nothing",
        () if row.moved => "the new release gets all that it can take",
        () if row.standing == Some(Standing::Completed) => "the new release serves",
        () => "the new release gets a small part",
    };
    println!("  {traffic}");
    let (old, new) = row.answers;
    println!(
        "  bad answers: {} of {} old, {} of {} new",
        old.bad, old.answers, new.bad, new.answers
    );
    if let Some(finding) = row.finding {
        println!(
            "  weighs most: {} of {} old, {} of {} new, evidence {:.1}",
            finding.old.bad,
            finding.old.answers,
            finding.new.bad,
            finding.new.answers,
            finding.weight
        );
    }
}
