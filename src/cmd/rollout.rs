//! `petreldrum rollout`: orders and withdraws roll-outs of releases, and shows their progress as
//! seen by one box.

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
        order::Request,
        status::{Rollout, Status},
    },
    rollout::Standing,
    unit::Millis,
};

/// Order a roll-out, withdraw the order, or show the progress of roll-outs.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Order that a service's traffic move to a release. Exits 1 if the order is refused, 3 if the
    /// outcome is unknown.
    Start {
        #[command(flatten)]
        admin: Admin,
        /// Name of the service.
        service: Service,
        /// Release to move the traffic to.
        release: Release,
        /// Time by which the release is to serve all traffic; its answers are checked meanwhile.
        #[arg(long, value_name = "TIME")]
        within: Millis,
        /// Author of the order.
        #[arg(long, env = "USER")]
        author: String,
    },
    /// Withdraw an order: its release gets no requests as long as other releases serve.
    Stop {
        #[command(flatten)]
        admin: Admin,
        /// Name of the service.
        service: Service,
        /// Author of the withdrawal.
        #[arg(long, env = "USER")]
        author: String,
    },
    /// Show the progress of each roll-out, counts of bad answers per release, and the strongest
    /// evidence against the new release.
    Show {
        #[command(flatten)]
        admin: Admin,
        /// Show only the roll-out of this service. Exits 1 if there is none.
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
            let request = Request {
                service,
                release,
                within,
            };
            send_order(&admin, Method::POST, author, serde_json::to_vec(&request)?)
        }
        Task::Stop {
            admin,
            service,
            author,
        } => send_order(&admin, Method::DELETE, author, service.to_string()),
        Task::Show {
            admin,
            service,
            json,
        } => show(&admin, service, json),
    }
}

/// Sends an order or a withdrawal, prints the outcome and returns the exit code for it.
fn send_order(
    admin: &Admin,
    method: Method,
    author: String,
    body: impl Into<Bytes>,
) -> eyre::Result<ExitCode> {
    let answer = admin.call(method, ROLLOUT_PATH, &[(AUTHOR, author)], body)?;
    let Ok(outcome) = serde_json::from_slice(&answer.body) else {
        answer.into_success()?;
        eyre::bail!("cannot parse the box's response");
    };
    Ok(ExitCode::from(match outcome {
        Outcome::Accepted { version } => {
            println!("accepted as {version}");
            0
        }
        Outcome::Refused { reason } => {
            eprintln!("refused: {reason}");
            super::EXIT_REFUSED
        }
        Outcome::Unknown => {
            eprintln!("unknown: the store did not confirm the write; check with `rollout show`");
            super::EXIT_UNKNOWN
        }
        Outcome::Unavailable { reason } => {
            eprintln!("not written: {reason}");
            super::EXIT_REFUSED
        }
    }))
}

fn show(admin: &Admin, service: Option<Service>, json: bool) -> eyre::Result<ExitCode> {
    let body = admin
        .call(Method::GET, "/status", &[], "")?
        .into_success()?;
    let status: Status =
        serde_json::from_slice(&body).wrap_err("cannot parse the box's response")?;
    let is_selected = |row: &Rollout| service.as_ref().is_none_or(|s| *s == row.service);
    let rows: Vec<Rollout> = status.rollouts.into_iter().filter(is_selected).collect();
    if json {
        println!("{}", serde_json::to_string(&rows)?);
    } else {
        rows.iter().for_each(print);
    }
    let missing = service.is_some() && rows.is_empty();
    Ok(ExitCode::from(u8::from(missing) * super::EXIT_REFUSED))
}

fn print(row: &Rollout) {
    let release = row.release.as_ref();
    let release = release.map_or("no release".to_owned(), ToString::to_string);
    let state = row.standing.map_or("not begun", Standing::name);
    let within = match row.within {
        Some(within) => format!("ordered {} ago, due within {within}", row.age),
        None => "the order was withdrawn".to_owned(),
    };
    println!("{} to {release}: {state}, {within}", row.service);
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
