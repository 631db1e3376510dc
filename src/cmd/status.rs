//! `petreldrum status` and `petreldrum drain`: show the state of a box and start its planned stop.

use std::process::ExitCode;

use eyre::WrapErr;
use hyper::Method;

use crate::{
    cmd::call::Admin,
    reducer::status::{Cap, Limit, Status},
};

/// Show the state of the system as seen by a box: boxes and their configuration versions, regions,
/// customers, and backend servers with the reason why each is used or not.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    #[command(flatten)]
    admin: Admin,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Start the planned stop of a box: new callers are sent elsewhere, requests in flight complete.
#[derive(Debug, clap::Args)]
pub(super) struct DrainArgs {
    #[command(flatten)]
    admin: Admin,
}

pub(super) fn run(args: Args) -> eyre::Result<ExitCode> {
    let body = args
        .admin
        .call(Method::GET, "/status", &[], "")?
        .into_success()?;
    if args.json {
        println!("{}", String::from_utf8_lossy(&body));
        return Ok(ExitCode::SUCCESS);
    }
    let status = serde_json::from_slice(&body).wrap_err("cannot parse the box's response")?;
    print(&status);
    Ok(ExitCode::SUCCESS)
}

fn print(status: &Status) {
    println!(
        "box {} in {}: {:?}, configuration {}{}",
        status.name,
        status.region,
        status.phase,
        status.version,
        if status.watching {
            ", watches the store"
        } else {
            ""
        },
    );
    println!(
        "requests {} in hand, {} waiting; {} keys remembered",
        status.requests, status.waiting, status.keys
    );
    if let Some(weight) = status.weight {
        println!("weight {weight}{}", full_suffix(status.full));
    }
    for peer in &status.boxes {
        let lag = if peer.version < status.version {
            "  LAGS"
        } else {
            ""
        };
        println!(
            "  box {:16} {:12} {:10} {:?}, weight {}, {} in hand{}, heard {} ago{lag}",
            peer.name.to_string(),
            peer.domain.to_string(),
            peer.version.to_string(),
            peer.phase,
            peer.weight.map_or("-".to_owned(), |w| w.to_string()),
            peer.busy,
            full_suffix(peer.full),
            peer.silent
        );
    }
    for region in &status.regions {
        let lag = if region.version < status.version {
            "  LAGS"
        } else {
            ""
        };
        println!(
            "  region {:13} {:10} {} doors, heard {} ago{lag}",
            region.name.to_string(),
            region.version.to_string(),
            region.doors.len(),
            region.silent
        );
    }
    for customer in &status.customers {
        println!(
            "  customer {:11} {} {}: {:.0} of {:.0} used, {:.0} asked for; here {} let in, {} refused",
            customer.name.to_string(),
            customer.rate,
            customer.unit,
            customer.used,
            customer.limit,
            customer.offered,
            customer.admitted,
            customer.refused
        );
    }
    for row in &status.worst {
        let tally = row.tally;
        println!(
            "  served worst {:7} {} refused and {} late of {} here in the last minute, {} more over its allotment",
            row.customer.to_string(),
            tally.refused,
            tally.late,
            tally.ended,
            tally.over
        );
    }
    for held in &status.held {
        println!("  held back {} for {}", held.content, held.left);
    }
    for backend in &status.backends {
        println!(
            "  backend {:12} {}: {}, {}/{} busy, first byte {}{}{}",
            backend.name.to_string(),
            if backend.used { "used" } else { "NOT used" },
            backend.reason,
            backend.busy,
            backend.slots,
            backend.first,
            backend.limit.as_ref().map(format_limit).unwrap_or_default(),
            backend.cap.as_ref().map(format_cap).unwrap_or_default()
        );
    }
}

fn format_cap(cap: &Cap) -> String {
    format!(
        ", brittle: {} at once of all boxes and {} of this one",
        cap.limit, cap.share
    )
}

fn format_limit(limit: &Limit) -> String {
    let teller = limit.teller.as_ref();
    let teller = teller.map_or("itself".to_owned(), ToString::to_string);
    format!(
        ", takes {} of all boxes and {:.2}/s of this one, by {teller} {} ago",
        limit.rate, limit.share.0, limit.age
    )
}

pub(super) fn drain(args: DrainArgs) -> eyre::Result<ExitCode> {
    let body = args
        .admin
        .call(Method::POST, "/drain", &[], "")?
        .into_success()?;
    print!("{}", String::from_utf8_lossy(&body));
    Ok(ExitCode::SUCCESS)
}

fn full_suffix(full: bool) -> &'static str {
    if full { ", full" } else { "" }
}
