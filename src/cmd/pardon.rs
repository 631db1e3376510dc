//! `petreldrum pardon`: releases held-back request content.

use std::process::ExitCode;

use hyper::Method;

use crate::{cmd::call::Admin, content::Fingerprint};

/// Release request content that all boxes hold back because backend servers ended while running it.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    #[command(flatten)]
    admin: Admin,
    /// Fingerprint of the content, as shown by `petreldrum status` and the log.
    content: Fingerprint,
}

pub(super) fn run(args: Args) -> eyre::Result<ExitCode> {
    let content = args.content.to_string();
    let body = args
        .admin
        .call(Method::POST, "/pardon", &[], content)?
        .into_success()?;
    print!("{}", String::from_utf8_lossy(&body));
    Ok(ExitCode::SUCCESS)
}
