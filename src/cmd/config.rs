//! `petreldrum config`: reads, checks, compares and changes the configuration.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::Subcommand;
use eyre::WrapErr;
use hyper::Method;

use crate::{
    cmd::{EXIT_INVALID, EXIT_REFUSED, EXIT_UNKNOWN, call::Admin},
    config::{Config, Envelope, Version},
    gateway::admin::{AUTHOR, Change, IF_MATCH},
};

/// Read, check, compare and change the configuration.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Check a file without contacting a box and report every fault. Exits 2 if there are any.
    Check {
        /// Configuration file (INI).
        file: PathBuf,
    },
    /// Print the configuration in force, with its version and author on standard error.
    Get {
        #[command(flatten)]
        admin: Admin,
    },
    /// Show what a file would change. Exits 1 if there are differences.
    Diff {
        #[command(flatten)]
        admin: Admin,
        /// Configuration file (INI).
        file: PathBuf,
    },
    /// Replace the configuration. Exits 1 on a conflict, 2 on faults, 3 if the outcome is unknown.
    Put {
        #[command(flatten)]
        admin: Admin,
        /// Configuration file (INI).
        file: PathBuf,
        /// Version that the change is based on, as printed by `config get`; v0 for the first.
        #[arg(long, value_name = "VERSION")]
        base: Version,
        /// Author of the change.
        #[arg(long, env = "USER")]
        author: String,
    },
}

pub(super) fn run(args: Args) -> eyre::Result<ExitCode> {
    match args.task {
        Task::Check { file } => check(&file),
        Task::Get { admin } => get(&admin),
        Task::Diff { admin, file } => diff(&admin, &file),
        Task::Put {
            admin,
            file,
            base,
            author,
        } => put(&admin, &file, base, author),
    }
}

fn read(file: &Path) -> eyre::Result<String> {
    fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))
}

fn check(file: &Path) -> eyre::Result<ExitCode> {
    let envelope = Envelope {
        version: Version(0),
        write: String::new(),
        author: String::new(),
        text: read(file)?,
    };
    let config = Config::parse(&file.display().to_string(), &envelope)?;
    println!(
        "{}: good ({} customers, {} routes, {} models, {} backend servers, {} selectors)",
        file.display(),
        config.customers.len(),
        config.routes.len(),
        config.models.len(),
        config.backends.len(),
        config.selectors.len(),
    );
    Ok(ExitCode::SUCCESS)
}

fn fetch(admin: &Admin) -> eyre::Result<Envelope> {
    let body = admin
        .call(Method::GET, "/config", &[], "")?
        .into_success()?;
    serde_json::from_slice(&body).wrap_err("cannot parse the box's response")
}

fn get(admin: &Admin) -> eyre::Result<ExitCode> {
    let envelope = fetch(admin)?;
    eprintln!("{} by {}", envelope.version, envelope.author);
    print!("{}", envelope.text);
    Ok(ExitCode::SUCCESS)
}

/// Prints a unified diff from the configuration in force to `file`.
fn diff(admin: &Admin, file: &Path) -> eyre::Result<ExitCode> {
    let envelope = fetch(admin)?;
    let new = read(file)?;
    let text_diff = similar::TextDiff::from_lines(&envelope.text, &new);
    let mut unified = text_diff.unified_diff();
    let name = file.display().to_string();
    let rendered = unified
        .header(&envelope.version.to_string(), &name)
        .to_string();
    print!("{rendered}");
    let code = if rendered.is_empty() { 0 } else { EXIT_REFUSED };
    Ok(ExitCode::from(code))
}

fn put(admin: &Admin, file: &Path, base: Version, author: String) -> eyre::Result<ExitCode> {
    let headers = [(IF_MATCH, base.to_string()), (AUTHOR, author)];
    let answer = admin.call(Method::PUT, "/config", &headers, read(file)?)?;
    let Ok(change) = serde_json::from_slice(&answer.body) else {
        answer.into_success()?;
        eyre::bail!("cannot parse the box's response");
    };
    Ok(ExitCode::from(print_outcome(change, file)))
}

/// Prints the outcome of a change and returns the exit code for it.
fn print_outcome(change: Change, file: &Path) -> u8 {
    match change {
        Change::Accepted { version } => {
            println!("accepted as {version}");
            0
        }
        Change::Conflict { version, author } => {
            eprintln!(
                "conflict: {version} by {author} stands; run `config get`, merge and put again"
            );
            EXIT_REFUSED
        }
        Change::Invalid { faults } => {
            for fault in faults {
                eprintln!("{}: {fault}", file.display());
            }
            EXIT_INVALID
        }
        Change::Unknown { write } => {
            eprintln!("unknown: the store did not confirm write {write}; check with `config get`");
            EXIT_UNKNOWN
        }
        Change::Unavailable { reason } => {
            eprintln!("not written: {reason}");
            EXIT_REFUSED
        }
    }
}
