//! A whole system in one process: 3 regions of 3 boxes, backend servers, the store, on loopback.

use std::{collections::BTreeMap, fmt::Write as _, net::SocketAddr, time::Duration};

use eyre::{bail, eyre};
use hyper::Method;
use petreldrum::{
    config::KeyHash,
    gateway::{Bound, Gateway},
    settings::Settings,
};
use tokio::time::sleep;

use crate::{
    app::App,
    engine::{Behaviour, Engine},
    http::{Service, call, serve},
    platform::Platform,
    store::Store,
};

const REGIONS: [&str; 3] = ["perth", "bunbury", "geraldton"];
const BOXES: usize = 3;
const API_KEY: &str = "demo-key";
const TOKEN: &str = "demo-admin-token-0001";
const SECRET: &str = "demo-cluster-secret-0001";
const READY_TRIES: usize = 200;
const READY_PAUSE: Duration = Duration::from_millis(50);

async fn start(service: impl Service + Sync) -> eyre::Result<SocketAddr> {
    let (address, _) = serve(SocketAddr::from(([127, 0, 0, 1], 0)), service).await?;
    Ok(address)
}

/// The settings of one box.
fn settings(name: &str, region: &str, store: SocketAddr, list: SocketAddr, seeds: &str) -> String {
    format!(
        "[box]\nname = {name}\nregion = {region}\nfailure_domain = {region}-a\n\
         [listen]\npublic = 127.0.0.1:0\npeer = 127.0.0.1:0\ngossip = 127.0.0.1:0\n\
         admin = 127.0.0.1:0\nadmin_token = {TOKEN}\n\
         [peers]\nsecret = {SECRET}\nseeds = {seeds}\n\
         [platform]\nstore = {store}\nlist = {list}\n\
         [limits]\nlinger = 500ms\n"
    )
}

/// The configuration: a model, a booking route, and a route that is still on the old scripts.
async fn configuration() -> eyre::Result<String> {
    let mut text = String::new();
    for region in REGIONS {
        writeln!(text, "[region {region}]\nhop = 40ms")?;
    }
    writeln!(
        text,
        "[caller ward]\nkey_sha256 = {}\nlabels = team=ward\nhome = perth",
        KeyHash::of(API_KEY.as_bytes())
    )?;
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
        let engine = start(Engine::new(8, Behaviour::default())).await?;
        let app = start(App::default()).await?;
        writeln!(
            text,
            "[backend engine-{region}]\naddress = {engine}\nregion = {region}\n\
             failure_domain = {region}-a\nserves = referral\nlabels = via=gateway\n\
             refusal_header = {}\n\
             [backend app-{region}]\naddress = {app}\nregion = {region}\n\
             failure_domain = {region}-a\nserves = booking\nlabels = via=gateway",
            crate::engine::REFUSED
        )?;
    }
    text.push_str(
        "[selector chat]\nroutes = kind=chat\nbackends = via=gateway\n\
         [selector booking]\nroutes = kind=booking\nbackends = via=scripts\nregions = home\n",
    );
    Ok(text)
}

async fn start_boxes(store: SocketAddr, list: SocketAddr) -> eyre::Result<BTreeMap<String, Bound>> {
    let mut boxes = BTreeMap::new();
    let mut seeds: Vec<String> = Vec::new();
    for region in REGIONS {
        for index in 1..=BOXES {
            let name = format!("{region}-{index}");
            let text = settings(&name, region, store, list, &seeds.join(", "));
            let gateway = Gateway::start(Settings::parse("demo", &text)?).await?;
            seeds.push(format!("{region}/{}", gateway.bound().gossip));
            boxes.insert(name, gateway.bound());
            tokio::spawn(gateway.run());
        }
    }
    Ok(boxes)
}

async fn wait_ready(boxes: &BTreeMap<String, Bound>) -> eyre::Result<()> {
    for (name, bound) in boxes {
        let mut tries = 0;
        loop {
            let answer = call(bound.admin, Method::GET, "/ready", &[], "").await?;
            if answer.status.is_success() {
                break;
            }
            tries += 1;
            if tries > READY_TRIES {
                bail!("{name} is not ready");
            }
            sleep(READY_PAUSE).await;
        }
    }
    Ok(())
}

/// Starts everything, prints how to use it and runs until it is interrupted.
pub async fn run() -> eyre::Result<()> {
    let store = start(Store::default()).await?;
    let list = start(Platform::default()).await?;
    let boxes = start_boxes(store, list).await?;
    let perth = boxes.get("perth-1").ok_or_else(|| eyre!("no box"))?;
    let text = configuration().await?;
    let bearer = format!("Bearer {TOKEN}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("if-match", "v0"),
        ("x-author", "demo"),
    ];
    let put = call(perth.admin, Method::PUT, "/config", &headers, text).await?;
    if !put.status.is_success() {
        bail!(
            "the demo's configuration: {}",
            String::from_utf8_lossy(&put.body)
        );
    }
    wait_ready(&boxes).await?;
    for (name, bound) in &boxes {
        println!("{name:12} {bound}");
    }
    println!(
        "\nReady. Ask which box to use:\n\n  curl -s -H 'x-api-key: {API_KEY}' http://{0}/petreldrum/ask\n\
         \nA streamed answer:\n\n  curl -sN -i -H 'x-api-key: {API_KEY}' http://{0}/v1/chat/completions \
         -d '{{\"model\":\"referral\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n\
         \nWhat a box sees:\n\n  target/debug/petreldrum status --admin {1} --token {TOKEN}\n\
         \nStop with Ctrl-C.",
        perth.public, perth.admin
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}
