//! `petreldrum trace`: collects the log lines of one request from the logs of several boxes.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::PathBuf,
    process::ExitCode,
};

use eyre::WrapErr;

use crate::{cmd::EXIT_REFUSED, story::Story};

/// Print the log lines of a request from the logs of several boxes, ordered by time.
///
/// Reports the number of truncated or interleaved lines on standard error. Exits 1 if no line has
/// the request id.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// Request id that the caller sent.
    #[arg(long)]
    id: String,
    /// Log files of boxes; `-` reads standard input.
    #[arg(required = true, value_name = "FILE")]
    logs: Vec<PathBuf>,
}

fn open(path: &PathBuf) -> eyre::Result<Box<dyn BufRead>> {
    if path.as_os_str() == "-" {
        return Ok(Box::new(io::stdin().lock()));
    }
    let file = File::open(path).wrap_err_with(|| format!("cannot open {}", path.display()))?;
    Ok(Box::new(BufReader::new(file)))
}

pub(super) fn run(args: Args) -> eyre::Result<ExitCode> {
    let mut trace = Story::default();
    for path in &args.logs {
        let name = path.file_stem().unwrap_or(path.as_os_str());
        let mut input = open(path)?;
        trace
            .read(&name.to_string_lossy(), &mut input, &args.id)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    }
    if trace.bad() > 0 {
        eprintln!("petreldrum: {} lines could not be parsed", trace.bad());
    }
    let lines = trace.into_lines();
    for line in &lines {
        let source = match line.prefix.is_empty() {
            true => &line.log,
            false => &line.prefix,
        };
        println!("{} {source} {}", line.time, line.text);
    }
    Ok(match lines.is_empty() {
        true => ExitCode::from(EXIT_REFUSED),
        false => ExitCode::SUCCESS,
    })
}
