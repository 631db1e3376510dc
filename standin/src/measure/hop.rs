//! Measures the latency of a hop through a box, relative to calling the backend server directly.

use std::{net::SocketAddr, time::Instant};

use hdrhistogram::Histogram;
use hyper::Method;
use petreldrum::policy::Named;
use serde_json::json;

use crate::{
    app::App,
    http::{call, start},
    system::{API_KEY, Plan, System, sections},
};

const ROUNDS: usize = 1500;

async fn timed_request(address: SocketAddr, path: &str, number: usize) -> eyre::Result<u64> {
    let body = json!({ "id": format!("n{number}") }).to_string();
    let begin = Instant::now();
    let answer = call(address, Method::POST, path, &[("x-api-key", API_KEY)], body).await?;
    eyre::ensure!(answer.status.is_success(), "status {}", answer.status);
    Ok(begin.elapsed().as_micros() as u64)
}

pub(super) async fn run() -> eyre::Result<()> {
    let regions = ["perth", "bunbury"];
    let plan = Plan {
        regions: &regions,
        boxes: 1,
        policy: Named::Balanced,
        delay: None,
    };
    let system = System::start(&plan).await?;
    let (near, far) = (start(App::default()).await?, start(App::default()).await?);
    let text = sections(&regions)
        + &format!(
            "[route near]\nprefix = /near\nkind = application\nrepeatable = true\n\
             [route far]\nprefix = /far\nkind = application\nrepeatable = true\n\
             [backend near]\naddress = {near}\nregion = perth\nfailure_domain = a\nserves = near\n\
             [backend far]\naddress = {far}\nregion = bunbury\nfailure_domain = a\nserves = far\n\
             [selector all]\n"
        );
    system.configure(&text).await?;
    system.acquainted(regions.len() - 1).await?;
    let gateway = system.boxes["perth-1"].public;
    let paths = [
        ("direct", near, "/near"),
        ("one box", gateway, "/near"),
        ("two boxes", gateway, "/far"),
    ];
    let mut times = Vec::new();
    for _ in paths {
        times.push(Histogram::<u64>::new(3)?);
    }
    // Paths alternate, so that load on the machine affects all of them equally.
    for number in 0..ROUNDS {
        for (index, (_, address, path)) in paths.iter().enumerate() {
            times[index].record(timed_request(*address, path, number).await?)?;
        }
    }
    println!("way         p50 us   p95 us   p99 us   p50 over direct");
    let base = times[0].value_at_quantile(0.5) as f64;
    for ((name, ..), time) in paths.iter().zip(&times) {
        let at = |q| time.value_at_quantile(q);
        println!(
            "{name:10}  {:6}   {:6}   {:6}   {:.2}",
            at(0.5),
            at(0.95),
            at(0.99),
            at(0.5) as f64 / base
        );
    }
    Ok(())
}
