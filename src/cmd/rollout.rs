//! `petreldrum rollout`: how the roll-outs of releases stand, as one box sees them.

use std::process::ExitCode;

use eyre::WrapErr;
use hyper::Method;

use crate::{
    cmd::call::Admin,
    id::Service,
    reducer::status::{Rollout, Status},
    rollout::Standing,
};

/// Show the roll-outs: how far each has come, what the releases answered, and what speaks against the new one.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    #[command(flatten)]
    admin: Admin,
    /// Only that of this service; without it the command ends with 1.
    service: Option<Service>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

pub(super) fn run(args: Args) -> eyre::Result<ExitCode> {
    let body = args.admin.call(Method::GET, "/status", &[], "")?.good()?;
    let status: Status =
        serde_json::from_slice(&body).wrap_err("the box's answer does not read")?;
    let asked = |row: &Rollout| args.service.as_ref().is_none_or(|s| *s == row.service);
    let rows: Vec<Rollout> = status.rollouts.into_iter().filter(asked).collect();
    if args.json {
        println!("{}", serde_json::to_string(&rows)?);
    } else {
        rows.iter().for_each(print);
    }
    let missing = args.service.is_some() && rows.is_empty();
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
