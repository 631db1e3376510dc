//! `petreldrum trace`: a request's story out of the boxes' logs.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::PathBuf,
    process::ExitCode,
};

use eyre::WrapErr;

use crate::{cmd::REFUSED, story::Story};

/// Print every line of a request out of the boxes' logs, in order of time.
///
/// Lines that are cut or mixed are counted on standard error. Exits with 1 where no line bears the id.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// The caller's id of the request.
    #[arg(long)]
    id: String,
    /// Logs of boxes; `-` is standard input.
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
    let mut story = Story::default();
    for path in &args.logs {
        let name = path.file_stem().unwrap_or(path.as_os_str());
        let mut input = open(path)?;
        story
            .read(&name.to_string_lossy(), &mut input, &args.id)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    }
    if story.bad() > 0 {
        eprintln!("petreldrum: {} lines do not read", story.bad());
    }
    let lines = story.into_lines();
    for line in &lines {
        let from = match line.prefix.is_empty() {
            true => &line.log,
            false => &line.prefix,
        };
        println!("{} {from} {}", line.time, line.text);
    }
    Ok(match lines.is_empty() {
        true => ExitCode::from(REFUSED),
        false => ExitCode::SUCCESS,
    })
}
