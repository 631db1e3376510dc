//! Demo: three regions of three boxes, backend servers and the store in one process on loopback.

use std::fmt::Write as _;

use petreldrum::policy::Named;

use crate::{
    app::App,
    engine::{Behaviour, Engine, LIMIT, REFUSED},
    http::start,
    system::{API_KEY, Plan, System, TOKEN, sections},
};

const REGIONS: [&str; 3] = ["perth", "bunbury", "geraldton"];
const BOXES_PER_REGION: usize = 3;
const SLOTS_PER_ENGINE: usize = 8;

/// Returns a configuration with a model route and a booking route that still uses the old scripts.
async fn configuration() -> eyre::Result<String> {
    let mut text = sections(&REGIONS);
    text.push_str(
        "[model referral]\nlabels = data=patient\n\
         [route chat]\nprefix = /v1\nkind = model\nrepeatable = true\nlabels = kind=chat\n\
         [route booking]\nprefix = /booking\nkind = application\nrepeatable = false\n\
         labels = kind=booking\n",
    );
    let scripts = start(App::default()).await?;
    writeln!(
        text,
        "[backend scripts]\naddress = {scripts}\nregion = perth\nfailure_domain = perth-a\n\
         serves = booking\nlabels = via=scripts"
    )?;
    for region in REGIONS {
        let engine = start(Engine::new(SLOTS_PER_ENGINE, Behaviour::default())).await?;
        let app = start(App::default()).await?;
        writeln!(
            text,
            "[backend engine-{region}]\naddress = {engine}\nregion = {region}\n\
             failure_domain = {region}-a\nserves = referral\nlabels = via=gateway\n\
             refusal_header = {REFUSED}\nlimit_header = {LIMIT}\n\
             [backend app-{region}]\naddress = {app}\nregion = {region}\n\
             failure_domain = {region}-a\nserves = booking\nlabels = via=gateway"
        )?;
    }
    text.push_str(
        "[selector chat]\nroutes = kind=chat\nbackends = via=gateway\n\
         [selector booking]\nroutes = kind=booking\nbackends = via=scripts\nregions = home\n",
    );
    Ok(text)
}

/// Starts the demo system, prints usage examples and runs until interrupted.
pub async fn run() -> eyre::Result<()> {
    let plan = Plan {
        regions: &REGIONS,
        boxes: BOXES_PER_REGION,
        policy: Named::Balanced,
        delay: None,
    };
    let system = System::start(&plan).await?;
    system.configure(&configuration().await?).await?;
    for (name, bound) in &system.boxes {
        println!("{name:12} {bound}");
    }
    let perth = system.boxes["perth-1"];
    println!(
        "\nReady. Ask which box to use:\n\n  curl -s -H 'x-api-key: {API_KEY}' http://{0}/petreldrum/ask\n\
         \nA streamed answer:\n\n  curl -sN -i -H 'x-api-key: {API_KEY}' http://{0}/v1/chat/completions \
         -d '{{\"model\":\"referral\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n\
         \nWhat a box sees:\n\n  cargo run --locked -p petreldrum -- status --admin {1} --token {TOKEN}\n\
         \nStop with Ctrl-C.",
        perth.public, perth.admin
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}
