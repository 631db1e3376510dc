//! `petreldrum hash-key`: hashes an API key for the configuration.

use std::{io::Read as _, process::ExitCode};

use eyre::{WrapErr, bail};

use crate::config::KeyHash;

/// Read an API key from standard input and print its `key_sha256`.
#[derive(Debug, clap::Args)]
pub(super) struct Args {}

pub(super) fn run(_: Args) -> eyre::Result<ExitCode> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .wrap_err("cannot read standard input")?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        bail!("the API key on standard input is empty");
    }
    println!("{}", KeyHash::of(key.as_bytes()));
    Ok(ExitCode::SUCCESS)
}
