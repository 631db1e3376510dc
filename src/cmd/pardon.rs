//! `petreldrum pardon`: lets a content run again that is held back.

use std::process::ExitCode;

use hyper::Method;

use crate::{cmd::call::Admin, content::Fingerprint};

/// Let a content run again that all boxes hold back, because backend servers ended under it.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    #[command(flatten)]
    admin: Admin,
    /// Its fingerprint, as `petreldrum status` and the log tell it.
    content: Fingerprint,
}

pub(super) fn run(args: Args) -> eyre::Result<ExitCode> {
    let content = args.content.to_string();
    let body = args
        .admin
        .call(Method::POST, "/pardon", &[], content)?
        .good()?;
    print!("{}", String::from_utf8_lossy(&body));
    Ok(ExitCode::SUCCESS)
}
