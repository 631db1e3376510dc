//! What the boxes themselves keep in the platform's store: which contents are held back, and how roll-outs
//! stand.

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

/// Writes how a roll-out stands, unless its end was written, or the order is another one by now. The reducer
/// asks again where the store does not tell of it.
pub(crate) async fn settle(
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
        Ok(false) => log::info!("rollout: service={service} wrote=nothing, others were first"),
        Err(error) => {
            log::warn!("rollout: service={service} the store did not take {name}: {error}")
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
    let written = item.and_then(|item| rollout::written(&item.value, item.revision).ok());
    let value = rollout::status(&order, standing);
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

async fn try_once(client: &Client, write: &Write) -> Result<(), Error> {
    match write {
        Write::Keep(held) => {
            let key = record::held_key(&held.content);
            client.write_for(&key, held.left).await
        }
        Write::Discard(content) => client.remove(&record::held_key(content)).await,
    }
}
