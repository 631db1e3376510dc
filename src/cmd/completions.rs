//! `petreldrum completions`: prints shell completion scripts.

use std::process::ExitCode;

use clap::CommandFactory;

/// Print the completion script for a shell.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    shell: clap_complete::Shell,
}

pub(super) fn run(args: Args) -> eyre::Result<ExitCode> {
    let mut command = super::Command::command();
    clap_complete::generate(
        args.shell,
        &mut command,
        "petreldrum",
        &mut std::io::stdout(),
    );
    Ok(ExitCode::SUCCESS)
}
