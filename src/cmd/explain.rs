//! `petreldrum explain`: shows how a request would be routed, without sending it.

use std::process::ExitCode;

use eyre::WrapErr;
use hyper::Method;

use crate::{cmd::call::Admin, gateway::admin::Question, id};

/// Show where a request would be sent now and why, without sending anything to a backend server.
#[derive(Debug, clap::Args)]
pub(super) struct Args {
    #[command(flatten)]
    admin: Admin,
    /// Name of the customer in the configuration.
    #[arg(long, alias = "caller")]
    customer: id::Customer,
    /// Path of the request.
    #[arg(long)]
    path: String,
    /// Model that the request names; needed for a model route.
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
        .into_success()?;
    let explanation: serde_json::Value =
        serde_json::from_slice(&answer).wrap_err("cannot parse the box's response")?;
    println!("{}", serde_json::to_string_pretty(&explanation)?);
    Ok(ExitCode::SUCCESS)
}
