//! Reads the platform's lagging list of live and leaving boxes.

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
    },
    reducer::event::Event,
};

const PERIOD: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(2);
const MAX_LIST: usize = 1 << 20;
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
    boxes: Vec<Row>,
}

/// Reads the list while this box has the duty; the others hear of it by heartbeat.
pub(crate) async fn run(
    address: SocketAddr,
    pool: Arc<Pool>,
    core: Handle,
    mut duty: watch::Receiver<bool>,
) {
    loop {
        if !*duty.borrow_and_update() {
            core.tell(Event::Listed(BTreeSet::new()));
            if duty.wait_for(|on| *on).await.is_err() {
                return;
            }
        }
        match timeout(PATIENCE, read(address, &pool)).await {
            Ok(Ok(leaving)) => core.tell(Event::Listed(leaving)),
            Ok(Err(error)) => log::debug!("list: {error:#}"),
            Err(_) => log::debug!("list: no answer in time"),
        }
        sleep(PERIOD).await;
    }
}

async fn read(address: SocketAddr, pool: &Arc<Pool>) -> eyre::Result<BTreeSet<SocketAddr>> {
    let request = Request::get(PATH)
        .header("host", address.to_string())
        .body(Full::default())?;
    let sent = pool.send(address, request, false, Distance::Far).await;
    let (response, lease) = sent.map_err(|f| eyre!("{address}: {f:?}"))?;
    if !response.status().is_success() {
        bail!("{address}: status {}", response.status());
    }
    let body = Limited::new(response.into_body(), MAX_LIST).collect().await;
    let bytes = body.map_err(|e| eyre!("{e}"))?.to_bytes();
    lease.give_back();
    let list: List = serde_json::from_slice(&bytes).wrap_err("the list does not read")?;
    let leaving = list
        .boxes
        .into_iter()
        .filter(|row| matches!(row.state, State::Leaving));
    Ok(leaving.map(|row| row.address).collect())
}
