//! A complete system in one process: boxes of several regions and the platform's stand-ins.

use std::{collections::BTreeMap, time::Duration};

use eyre::bail;
use hyper::Method;
use petreldrum::{
    config::KeyHash,
    gateway::{Bound, Gateway},
    policy::Named,
    settings::Settings,
};
use tokio::time::sleep;

use crate::{
    http::{call, start},
    link::Link,
    platform::Platform,
    store::Store,
};

/// API key of the caller `ward`; prefix of the keys of the regions' callers.
pub const API_KEY: &str = "demo-key";
/// Administration token of every box.
pub const TOKEN: &str = "demo-admin-token-0001";
const SECRET: &str = "demo-cluster-secret-0001";
const MAX_POLLS: usize = 400;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size and settings of a system.
#[derive(Clone, Debug)]
pub struct Plan<'a> {
    /// Names of the regions.
    pub regions: &'a [&'a str],
    /// Number of boxes in each region.
    pub boxes: usize,
    /// Routing policy of the boxes.
    pub policy: Named,
    /// One-way delay of the links between boxes; without it there are no links.
    pub delay: Option<Duration>,
}

/// A running system.
pub struct System {
    /// Listener addresses of the boxes by name, `REGION-NUMBER`.
    pub boxes: BTreeMap<String, Bound>,
    /// The link in front of each box's peer listener, by box name.
    pub links: BTreeMap<String, Link>,
}

/// Returns the API key of the caller whose home is `region`.
pub fn key_of(region: &str) -> String {
    format!("{API_KEY}-{region}")
}

/// Returns the configuration sections of the regions, the caller `ward` and one caller per region
/// whose home is that region.
pub fn sections(regions: &[&str]) -> String {
    let hash = |key: &str| KeyHash::of(key.as_bytes());
    let region = |region: &&str| {
        format!(
            "[region {region}]\nhop = 40ms\n[caller {region}]\nkey_sha256 = {}\nhome = {region}\n\
             labels = team=region\nrate = 100000/s\n",
            hash(&key_of(region))
        )
    };
    let regions_text: String = regions.iter().map(region).collect();
    let home = regions.first().copied().unwrap_or_default();
    format!(
        "{regions_text}[caller ward]\nkey_sha256 = {}\nlabels = team=ward\nhome = {home}\n\
         rate = 100000/s\n",
        hash(API_KEY)
    )
}

impl System {
    /// Starts the platform's stand-ins and the boxes, without a configuration.
    pub async fn start(plan: &Plan<'_>) -> eyre::Result<Self> {
        let store = start(Store::default()).await?;
        let list = start(Platform::default()).await?;
        let (mut boxes, mut links) = (BTreeMap::new(), BTreeMap::new());
        let mut seeds: Vec<String> = Vec::new();
        for region in plan.regions {
            for number in 1..=plan.boxes {
                let name = format!("{region}-{number}");
                let mut text = format!(
                    "[box]\nname = {name}\nregion = {region}\nfailure_domain = {region}-a\n\
                     [listen]\npublic = 127.0.0.1:0\npeer = 127.0.0.1:0\n\
                     gossip = 127.0.0.1:0\nadmin = 127.0.0.1:0\nadmin_token = {TOKEN}\n\
                     [peers]\nsecret = {SECRET}\nseeds = {}\n\
                     [platform]\nstore = {store}\nlist = {list}\n\
                     [limits]\nlinger = 500ms\npolicy = {}\n",
                    seeds.join(", "),
                    plan.policy,
                );
                if let Some(delay) = plan.delay {
                    let link = Link::start(delay).await?;
                    text += &format!("[advertise]\npeer = {}\n", link.address);
                    links.insert(name.clone(), link);
                }
                let gateway = Gateway::start(Settings::parse("system", &text)?).await?;
                let bound = gateway.bound();
                if let Some(link) = links.get(&name) {
                    link.point(bound.peer);
                }
                seeds.push(format!("{region}/{}", bound.gossip));
                boxes.insert(name, bound);
                tokio::spawn(gateway.run());
            }
        }
        Ok(Self { boxes, links })
    }

    /// Returns the listener addresses of the first box.
    pub fn any(&self) -> eyre::Result<Bound> {
        let first = self.boxes.values().next();
        first
            .copied()
            .ok_or_else(|| eyre::eyre!("the system has no boxes"))
    }

    /// Writes the first configuration and waits until all boxes are ready.
    pub async fn configure(&self, text: &str) -> eyre::Result<()> {
        let bearer = format!("Bearer {TOKEN}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("if-match", "v0"),
            ("x-author", "demo"),
        ];
        let admin = self.any()?.admin;
        let put = call(admin, Method::PUT, "/config", &headers, text.to_owned()).await?;
        if !put.status.is_success() {
            bail!(
                "configuration rejected: {}",
                String::from_utf8_lossy(&put.body)
            );
        }
        for (name, bound) in &self.boxes {
            wait_until(&format!("{name} is ready"), || async {
                let answer = call(bound.admin, Method::GET, "/ready", &[], "").await;
                answer.is_ok_and(|a| a.status.is_success())
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every box has received digests of `others` other regions.
    pub async fn acquainted(&self, others: usize) -> eyre::Result<()> {
        let bearer = format!("Bearer {TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        for (name, bound) in &self.boxes {
            wait_until(&format!("{name} knows {others} other regions"), || async {
                let Ok(answer) = call(bound.admin, Method::GET, "/status", &headers, "").await
                else {
                    return false;
                };
                let content = answer.json();
                let regions = content["regions"].as_array().cloned().unwrap_or_default();
                let heard = |r: &&serde_json::Value| r["doors"] != serde_json::json!([]);
                regions.iter().filter(heard).count() >= others
            })
            .await?;
        }
        Ok(())
    }

    /// Reads the metrics of all boxes and sums the values of lines that begin with one of `names`.
    pub async fn sum(&self, names: &[&str]) -> eyre::Result<f64> {
        let mut sum = 0.0;
        for bound in self.boxes.values() {
            let answer = call(bound.admin, Method::GET, "/metrics", &[], "").await?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let wanted = |line: &&str| names.iter().any(|name| line.starts_with(name));
            let value = |line: &str| line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
            sum += text.lines().filter(wanted).filter_map(value).sum::<f64>();
        }
        Ok(sum)
    }
}

async fn wait_until<F>(what: &str, mut condition: impl FnMut() -> F) -> eyre::Result<()>
where
    F: Future<Output = bool>,
{
    for _ in 0..MAX_POLLS {
        if condition().await {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    bail!("timed out waiting for condition: {what}")
}
