//! The platform's key-value store, by the etcd v3 JSON interface over HTTP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::{Bytes, BytesMut};
use eyre::{WrapErr, bail, eyre};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Request, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::{
    config::Record,
    gateway::{
        dial::{Distance, Lease, Pool},
        metrics::Metrics,
    },
};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer that is read, in bytes: a value of 1 MB in base64, with its JSON envelope.
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// The store's modification revision of a key; zero if the key is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// A stored value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The revision of the key's last change.
    pub revision: Revision,
    /// The record under the key; `None` if the key is absent.
    pub record: Option<Record>,
}

/// The result of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written.
    Done,
    /// The key had been changed since the expected revision; nothing was written.
    Conflict,
}

#[derive(Deserialize)]
struct KeyValue {
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct TxnAnswer {
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct WatchLine {
    result: WatchResult,
}

#[derive(Deserialize)]
struct WatchResult {
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Deserialize)]
struct WatchEvent {
    kv: KeyValue,
}

fn decode_stored(kv: Option<&KeyValue>) -> eyre::Result<Stored> {
    let Some(kv) = kv else {
        return Ok(Stored {
            revision: Revision(0),
            record: None,
        });
    };
    let revision = kv
        .mod_revision
        .parse()
        .wrap_err("the store returned an invalid revision")?;
    let bytes = BASE64
        .decode(&kv.value)
        .wrap_err("the store's value is not valid base64")?;
    let record = serde_json::from_slice(&bytes)
        .wrap_err("the store's value is not a valid configuration record")?;
    Ok(Stored {
        revision: Revision(revision),
        record: Some(record),
    })
}

/// A client of the store for a single key.
#[derive(Clone)]
pub struct Store {
    addresses: Vec<SocketAddr>,
    key: String,
    pool: Arc<Pool>,
    metrics: Arc<Metrics>,
}

impl Store {
    /// Creates a client for `key`; reads and watches try `addresses` in order.
    pub fn new(
        addresses: Vec<SocketAddr>,
        key: &str,
        pool: Arc<Pool>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            addresses,
            key: BASE64.encode(key),
            pool,
            metrics,
        }
    }

    /// Reads the key from the first address that answers.
    pub async fn read(&self) -> eyre::Result<Stored> {
        let mut last = eyre!("no store address configured");
        for &address in &self.addresses {
            let body = json!({ "key": self.key });
            match self.call(address, "range", "/v3/kv/range", &body).await {
                Ok(bytes) => {
                    let answer: RangeAnswer = serde_json::from_slice(&bytes)
                        .wrap_err("cannot parse the store's answer")?;
                    return decode_stored(answer.kvs.first());
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Writes `record` if the key still has revision `expected`.
    ///
    /// It calls the first address only, without a retry: after an error the value may have been
    /// written.
    pub async fn swap(&self, expected: Revision, record: &Record) -> eyre::Result<Swap> {
        let address = *self
            .addresses
            .first()
            .ok_or_else(|| eyre!("no store address configured"))?;
        let value = serde_json::to_vec(record).wrap_err("cannot serialize the configuration")?;
        let body = json!({
            "compare": [{
                "key": self.key,
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": expected.0.to_string(),
            }],
            "success": [{ "request_put": { "key": self.key, "value": BASE64.encode(value) } }],
        });
        let bytes = self.call(address, "txn", "/v3/kv/txn", &body).await?;
        let answer: TxnAnswer =
            serde_json::from_slice(&bytes).wrap_err("cannot parse the store's answer")?;
        Ok(if answer.succeeded {
            Swap::Done
        } else {
            Swap::Conflict
        })
    }

    async fn call(
        &self,
        address: SocketAddr,
        name: &str,
        path: &str,
        body: &Value,
    ) -> eyre::Result<Bytes> {
        let called = timeout(CALL_TIMEOUT, self.exchange(address, path, body)).await;
        let result = called.unwrap_or_else(|_| Err(eyre!("store {address}: call timed out")));
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        self.metrics.store.with_label_values(&[name, outcome]).inc();
        result
    }

    async fn exchange(&self, address: SocketAddr, path: &str, body: &Value) -> eyre::Result<Bytes> {
        let (response, lease) = self.open(address, path, body).await?;
        let body = Limited::new(response, MAX_ANSWER_BYTES).collect().await;
        let bytes = body.map_err(|e| eyre!("store {address}: {e}"))?.to_bytes();
        lease.return_to_pool();
        Ok(bytes)
    }

    async fn open(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> eyre::Result<(Incoming, Lease)> {
        let request = Request::post(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))?;
        let sent = self
            .pool
            .send(address, request, false, Distance::OtherRegion)
            .await;
        let (response, lease) = sent.map_err(|f| eyre!("store {address}: {f:?}"))?;
        if !response.status().is_success() {
            bail!("store {address}: status {}", response.status());
        }
        Ok((response.into_body(), lease))
    }

    /// Opens a watch for changes after `revision`, at the first address that accepts it.
    pub async fn watch(&self, revision: Revision) -> eyre::Result<Watch> {
        let mut last = eyre!("no store address configured");
        for &address in &self.addresses {
            let body = json!({
                "create_request": {
                    "key": self.key,
                    "start_revision": (revision.0 + 1).to_string(),
                },
            });
            match timeout(CALL_TIMEOUT, self.open(address, "/v3/watch", &body)).await {
                Ok(Ok((body, lease))) => {
                    self.metrics.store.with_label_values(&["watch", "ok"]).inc();
                    return Ok(Watch {
                        body,
                        _lease: lease,
                        buffer: BytesMut::new(),
                    });
                }
                Ok(Err(error)) => last = error,
                Err(_) => last = eyre!("store {address}: opening a watch timed out"),
            }
            self.metrics
                .store
                .with_label_values(&["watch", "failed"])
                .inc();
        }
        Err(last)
    }
}

/// An open watch on the key.
pub struct Watch {
    body: Incoming,
    _lease: Lease,
    buffer: BytesMut,
}

impl Watch {
    /// Waits for the next change; after an error the watch is unusable.
    pub async fn next(&mut self) -> eyre::Result<Stored> {
        loop {
            while let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let line: WatchLine =
                    serde_json::from_slice(&line).wrap_err("cannot parse the watch event")?;
                if let Some(event) = line.result.events.last() {
                    return decode_stored(Some(&event.kv));
                }
            }
            if self.buffer.len() > MAX_ANSWER_BYTES {
                bail!("the store sent a watch line that is too long");
            }
            let frame = self
                .body
                .frame()
                .await
                .ok_or_else(|| eyre!("the store closed the watch"))??;
            if let Ok(bytes) = frame.into_data() {
                self.buffer.extend_from_slice(&bytes);
            }
        }
    }
}
