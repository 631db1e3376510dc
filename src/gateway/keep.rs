//! What the boxes themselves keep in the platform's store: which contents are held back.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::sleep;

use crate::{
    content::Fingerprint,
    gateway::dial::Pool,
    platform::{call::Error, record, store::Client},
    quarantine::Held,
};

/// How often a write is tried while the store is away, and how far apart: the boxes know the content
/// meanwhile, so only the loss of all of them at that time would matter.
const TRIES: (u32, Duration) = (10, Duration::from_secs(2));

/// A write to the store.
pub(crate) enum Write {
    /// A content is held back.
    Keep(Held),
    /// It is no more.
    Discard(Fingerprint),
}

/// Writes to the store, and tries again where that fails.
pub(crate) async fn write(store: SocketAddr, pool: Arc<Pool>, write: Write) {
    let client = Client::new(store, pool);
    let (tries, pause) = TRIES;
    for _ in 0..tries {
        let Err(error) = try_once(&client, &write).await else {
            return;
        };
        log::warn!("quarantine: the store did not take a write: {error}");
        sleep(pause).await;
    }
    log::error!("quarantine: the store took no write in {tries} tries; the boxes alone know");
}

async fn try_once(client: &Client, write: &Write) -> Result<(), Error> {
    match write {
        Write::Keep(held) => {
            let key = record::held_key(&held.content);
            client.write_for(&key, held.left).await
        }
        Write::Discard(content) => client.remove(&record::held_key(content)).await,
    }
}
