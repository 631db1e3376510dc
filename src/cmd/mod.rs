//! The binary's subcommands, one file each.

mod call;
mod completions;
mod config;
mod explain;
mod gateway;
mod hash;
mod pardon;
mod rollout;
mod status;
mod trace;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::ini::Faults;

/// Exit code for a conflict, a refusal or any other failure.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code for invalid settings, configuration or arguments.
pub const EXIT_INVALID: u8 = 2;
/// Exit code for a write whose outcome is unknown.
pub const EXIT_UNKNOWN: u8 = 3;

/// A multi-region inference gateway.
///
/// Run `petreldrum gateway` on each entry box. Most other commands connect to the administration
/// listener of one box; any box will do.
#[derive(Debug, Parser)]
#[command(name = "petreldrum", version, propagate_version = true)]
pub struct Command {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    Gateway(gateway::Args),
    Config(config::Args),
    Status(status::Args),
    Explain(explain::Args),
    Trace(trace::Args),
    Drain(status::DrainArgs),
    Pardon(pardon::Args),
    Rollout(rollout::Args),
    HashKey(hash::Args),
    Completions(completions::Args),
}

impl Command {
    /// Runs the command and returns its exit code; an error is printed on standard error.
    pub fn run(self) -> ExitCode {
        let result = match self.task {
            Task::Gateway(args) => gateway::run(args),
            Task::Config(args) => config::run(args),
            Task::Status(args) => status::run(args),
            Task::Explain(args) => explain::run(args),
            Task::Trace(args) => trace::run(args),
            Task::Drain(args) => status::drain(args),
            Task::Pardon(args) => pardon::run(args),
            Task::Rollout(args) => rollout::run(args),
            Task::HashKey(args) => hash::run(args),
            Task::Completions(args) => completions::run(args),
        };
        result.unwrap_or_else(|error| {
            eprintln!("petreldrum: {error:#}");
            let invalid = error.downcast_ref::<Faults>().is_some();
            ExitCode::from(if invalid { EXIT_INVALID } else { EXIT_REFUSED })
        })
    }
}
