//! Delivers the newest configuration to the reducer, from the store or from another box.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::{WrapErr, bail, eyre};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::Request;
use serde::de::DeserializeOwned;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    config::{Config, Parcel, Record},
    gateway::{
        core::{Current, Handle},
        dial::{Distance, Pool},
        head, pack,
        store::Store,
    },
    platform,
    reducer::event::Source,
    settings::{Interface, Secret, Settings},
};

/// A watch without a change for this long is replaced by a new read and a new watch.
const RECHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Wait after a failure, before it is varied by up to half.
const BACKOFF: Duration = Duration::from_millis(1000);
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest compressed content accepted from another box, in bytes.
const MAX_FETCHED_BYTES: usize = 2 << 20;

/// Validates `record` and offers it to `core`, or reports it there as invalid.
pub(crate) fn offer(core: &Handle, settings: &Settings, record: impl Into<Record>, source: Source) {
    let record = record.into();
    let version = record.envelope.version;
    match validate(settings, record) {
        Ok(current) => core.offer(current, source),
        Err(error) => {
            log::error!("config: {version} is invalid:\n{error:#}");
            core.report_invalid_config(version);
        }
    }
}

fn validate(settings: &Settings, record: Record) -> eyre::Result<Current> {
    let envelope = &record.envelope;
    let config = match settings.interface {
        Interface::Own => Config::parse(&format!("configuration {}", envelope.version), envelope)?,
        Interface::Platform => platform::record::parse_config(envelope, &settings.places)?,
    };
    Ok(Current {
        packed: pack::pack(&Parcel::from(record.clone()))?,
        record: Arc::new(record),
        config: Arc::new(config),
    })
}

/// Watches the store while `enabled` is true.
pub(crate) async fn run(
    store: Store,
    core: Handle,
    settings: Arc<Settings>,
    mut enabled: watch::Receiver<bool>,
) {
    loop {
        if enabled.wait_for(|on| *on).await.is_err() {
            return;
        }
        tokio::select! {
            error = watch_once(&store, &core, &settings) => log::warn!("store: {error:#}"),
            off = enabled.wait_for(|on| !*on) => match off {
                Ok(_) => continue,
                Err(_) => return,
            },
        }
        let jitter = rand::random_range(0.5..1.5);
        sleep(BACKOFF.mul_f64(jitter)).await;
    }
}

/// Reads and watches the store until a call fails; returns that error.
async fn watch_once(store: &Store, core: &Handle, settings: &Settings) -> eyre::Report {
    loop {
        let stored = match store.read().await {
            Ok(stored) => stored,
            Err(error) => return error,
        };
        if let Some(record) = stored.record {
            offer(core, settings, record, Source::Store);
        }
        let mut watch = match store.watch(stored.revision).await {
            Ok(watch) => watch,
            Err(error) => return error,
        };
        loop {
            match timeout(RECHECK_INTERVAL, watch.next()).await {
                Err(_) => break,
                Ok(Err(error)) => return error,
                Ok(Ok(stored)) => {
                    if let Some(record) = stored.record {
                        offer(core, settings, record, Source::Store);
                    }
                }
            }
        }
    }
}

/// Fetches the content that the box at `peer` serves to other boxes under `path`.
pub(crate) async fn fetch<T: DeserializeOwned>(
    pool: &Arc<Pool>,
    peer: SocketAddr,
    path: &str,
    secret: &Secret,
) -> eyre::Result<T> {
    let request = Request::get(path)
        .header("host", peer.to_string())
        .header(head::SECRET, secret.expose())
        .body(Full::default())?;
    let exchange = async {
        let sent = pool.send(peer, request, false, Distance::OtherRegion).await;
        let (response, lease) = sent.map_err(|f| eyre!("{f:?}"))?;
        if !response.status().is_success() {
            bail!("status {}", response.status());
        }
        let body = Limited::new(response.into_body(), MAX_FETCHED_BYTES)
            .collect()
            .await;
        let bytes = body.map_err(|e| eyre!("{e}"))?.to_bytes();
        lease.return_to_pool();
        pack::unpack(&bytes)
    };
    let fetched = timeout(FETCH_TIMEOUT, exchange).await;
    fetched
        .unwrap_or_else(|_| Err(eyre!("timed out")))
        .wrap_err_with(|| format!("cannot fetch {path} from {peer}"))
}
