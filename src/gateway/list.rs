//! Polls the platform's list of live and leaving boxes, which lags behind their real state.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use eyre::{WrapErr, bail, eyre};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::Request;
use serde::Deserialize;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    gateway::{
        core::Handle,
        dial::{Distance, Pool},
        rows::Rows,
    },
    reducer::event::Event,
};

const POLL_INTERVAL: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LIST_BYTES: usize = 1 << 20;
const PATH: &str = "/v1/list";

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Live,
    Leaving,
}

#[derive(Deserialize)]
struct Row {
    address: SocketAddr,
    state: State,
}

#[derive(Deserialize)]
struct List {
    boxes: Rows<Row>,
}

/// Polls the list while `enabled` is true and reports the leaving boxes; the other boxes receive
/// them by heartbeat.
pub(crate) async fn run(
    address: SocketAddr,
    pool: Arc<Pool>,
    core: Handle,
    mut enabled: watch::Receiver<bool>,
) {
    loop {
        if !*enabled.borrow_and_update() {
            core.tell(Event::Listed(BTreeSet::new()));
            if enabled.wait_for(|on| *on).await.is_err() {
                return;
            }
        }
        match timeout(READ_TIMEOUT, read(address, &pool)).await {
            Ok(Ok(leaving)) => core.tell(Event::Listed(leaving)),
            Ok(Err(error)) => log::debug!("list: {error:#}"),
            Err(_) => log::debug!("list: read timed out"),
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn read(address: SocketAddr, pool: &Arc<Pool>) -> eyre::Result<BTreeSet<SocketAddr>> {
    let request = Request::get(PATH)
        .header("host", address.to_string())
        .body(Full::default())?;
    let sent = pool
        .send(address, request, false, Distance::OtherRegion)
        .await;
    let (response, lease) = sent.map_err(|f| eyre!("{address}: {f:?}"))?;
    if !response.status().is_success() {
        bail!("{address}: status {}", response.status());
    }
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
        .collect()
        .await;
    let bytes = body.map_err(|e| eyre!("{e}"))?.to_bytes();
    lease.return_to_pool();
    let list: List = serde_json::from_str(&String::from_utf8_lossy(&bytes))
        .wrap_err("cannot parse the list of boxes")?;
    if let Some(unreadable) = list.boxes.unreadable() {
        log::debug!("list: {unreadable}");
    }
    let leaving = list
        .boxes
        .rows
        .into_iter()
        .filter(|row| matches!(row.state, State::Leaving));
    Ok(leaving.map(|row| row.address).collect())
}
