//! `petreldrum explain`: where a request would go, and why, without sending it.

use std::process::ExitCode;

use eyre::WrapErr;
use hyper::Method;

use crate::{cmd::call::Admin, gateway::admin::Question, id};

/// Show where a request would go now and why; nothing is sent to any backend server.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    #[command(flatten)]
    admin: Admin,
    /// The customer's name in the configuration.
    #[arg(long, alias = "caller")]
    customer: id::Customer,
    /// The request's path.
    #[arg(long)]
    path: String,
    /// The model, for a model route.
    #[arg(long)]
    model: Option<id::Service>,
}

pub(super) fn run(args: Args) -> eyre::Result<ExitCode> {
    let question = Question {
        customer: args.customer,
        path: args.path,
        model: args.model,
    };
    let body = serde_json::to_vec(&question)?;
    let answer = args
        .admin
        .call(Method::POST, "/explain", &[], body)?
        .good()?;
    let explanation: serde_json::Value =
        serde_json::from_slice(&answer).wrap_err("the box's answer does not read")?;
    println!("{}", serde_json::to_string_pretty(&explanation)?);
    Ok(ExitCode::SUCCESS)
}
