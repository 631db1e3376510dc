//! Writes the state that the boxes keep in the platform's store: quarantined contents and the
//! status of roll-outs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::sleep;

use crate::{
    content::Fingerprint,
    fleet::Revision,
    gateway::dial::Pool,
    id::Service,
    platform::{call::Error, record, rollout, store::Client},
    quarantine::Held,
    rollout::{Entry, Order, Standing},
    unit::Millis,
};

/// Number of tries of a write while the store is unavailable, and the delay between them. The boxes
/// hold the entry in memory meanwhile, so it is lost only if all of them stop during that time.
const WRITE_TRIES: (u32, Duration) = (10, Duration::from_secs(2));

/// A change of the quarantine entries in the store.
pub(crate) enum QuarantineWrite {
    /// Adds a content to the quarantine.
    Add(Held),
    /// Removes a content from the quarantine.
    Remove(Fingerprint),
}

/// Applies a quarantine change to the store and retries it on failure.
pub(crate) async fn write_quarantine(store: SocketAddr, pool: Arc<Pool>, write: QuarantineWrite) {
    let client = Client::new(store, pool);
    let (tries, delay) = WRITE_TRIES;
    for _ in 0..tries {
        let Err(error) = try_write(&client, &write).await else {
            return;
        };
        log::warn!("quarantine: write to the store failed: {error}");
        sleep(delay).await;
    }
    log::error!(
        "quarantine: write to the store failed {tries} times; only the boxes hold this entry"
    );
}

/// Writes the status of a roll-out, unless its end or the same status has been written already or
/// the order has been replaced. A failed write is not retried here: the reducer requests it again
/// until the store reports the status.
pub(crate) async fn write_rollout_status(
    store: SocketAddr,
    pool: Arc<Pool>,
    service: Service,
    order: Order,
    standing: Standing,
) {
    let client = Client::new(store, pool);
    let name = standing.name();
    match try_settle(&client, &service, order, standing).await {
        Ok(true) => log::info!("rollout: service={service} wrote={name}"),
        Ok(false) => {
            log::info!("rollout: service={service} wrote=nothing, another write came first")
        }
        Err(error) => {
            log::warn!("rollout: service={service} cannot write {name} to the store: {error}")
        }
    }
}

async fn try_settle(
    client: &Client,
    service: &Service,
    order: Order,
    standing: Standing,
) -> Result<bool, Error> {
    let key = rollout::status_key(service);
    let item = client.read(&key).await?;
    let revision = item
        .as_ref()
        .map_or(Revision::default(), |item| item.revision);
    let written = item.and_then(|item| rollout::parse_status(&item.value, item.revision).ok());
    let value = rollout::serialize_status(&order, standing);
    let expected = [
        (rollout::order_key(service), order.revision),
        (key.clone(), revision),
    ];
    let age = Millis(0);
    let known = Entry {
        order: Some(order),
        written,
        age,
    };
    match known.standing() {
        Some(before) if before != Standing::Active || before == standing => Ok(false),
        _ => client.swap(&key, &value, &expected).await,
    }
}

async fn try_write(client: &Client, write: &QuarantineWrite) -> Result<(), Error> {
    match write {
        QuarantineWrite::Add(held) => {
            let key = record::held_key(&held.content);
            client.write_with_ttl(&key, held.left).await
        }
        QuarantineWrite::Remove(content) => client.remove(&record::held_key(content)).await,
    }
}
