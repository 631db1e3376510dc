//! The optional listeners for the platform's readiness checks, for callers that look up boxes, and
//! for metrics collectors.

use std::{net::SocketAddr, sync::Arc};

use hyper::{Request, Response, StatusCode, Uri, body::Incoming};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use crate::{
    gateway::{Shell, body::Body, connections::Clients, core::Command, head, serve},
    platform::lookup,
    reducer::event::Event,
    settings::Settings,
    unit::Millis,
};

/// How long callers may use the boxes of a look-up: long enough to keep look-ups rare, and short
/// enough that callers move off a stopping box well before it exits.
const LOOKUP_TTL: Millis = Millis(3000);

/// The path of the metrics.
pub(super) const METRICS_PATH: &str = "/metrics";
/// The content type of the metrics: the Prometheus text format.
pub(super) const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// The optional listeners that the settings enable.
pub(super) struct Listeners {
    ready: Option<TcpListener>,
    directory: Option<TcpListener>,
    metrics: Option<TcpListener>,
}

impl Listeners {
    /// Returns the address for readiness checks.
    pub(super) fn ready_address(&self) -> Option<SocketAddr> {
        self.ready.as_ref()?.local_addr().ok()
    }

    /// Returns the address for look-ups of boxes.
    pub(super) fn directory_address(&self) -> Option<SocketAddr> {
        self.directory.as_ref()?.local_addr().ok()
    }

    /// Returns the address for metrics collectors.
    pub(super) fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics.as_ref()?.local_addr().ok()
    }
}

/// Binds the listeners that the settings enable.
pub(super) async fn bind(settings: &Settings) -> eyre::Result<Listeners> {
    let ready = match settings.ready {
        Some(address) => Some(serve::bind(address, "readiness checks").await?),
        None => None,
    };
    let directory = match settings.directory {
        Some(address) => Some(serve::bind(address, "look-ups").await?),
        None => None,
    };
    let metrics = match settings.metrics {
        Some(address) => Some(serve::bind(address, "collectors of metrics").await?),
        None => None,
    };
    Ok(Listeners {
        ready,
        directory,
        metrics,
    })
}

/// Serves the listeners until `closing` is set.
pub(super) fn serve(
    shell: &Arc<Shell>,
    listeners: Listeners,
    closing: &watch::Sender<bool>,
) -> Vec<JoinHandle<()>> {
    let all = [
        (listeners.ready, Clients::Checks),
        (listeners.directory, Clients::Lookups),
        (listeners.metrics, Clients::Collectors),
    ];
    let serve = |(listener, clients): (Option<TcpListener>, Clients)| {
        let listener = listener?;
        let shared = shell.clone();
        let handler = move |request| answer(shared.clone(), request);
        let max_head = shell.settings.max_head.0 as usize;
        Some(tokio::spawn(serve::run(
            listener,
            max_head,
            shell.budget.listener(clients),
            closing.subscribe(),
            handler,
        )))
    };
    all.into_iter().filter_map(serve).collect()
}

async fn answer(shell: Arc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let mut response = respond(&shell, &parts.uri).await;
    shell.discard.rest(body, response.headers_mut());
    response
}

async fn respond(shell: &Arc<Shell>, uri: &Uri) -> Response<Body> {
    match uri.path() {
        METRICS_PATH => head::full_response(StatusCode::OK, METRICS_TYPE, shell.metrics.text()),
        lookup::READY_PATH => shell.readiness().await,
        lookup::RESOLVE_PATH => resolve(shell, uri.query()).await,
        _ => head::full_response(StatusCode::NOT_FOUND, "text/plain", "no such call\n"),
    }
}

async fn resolve(shell: &Arc<Shell>, query: Option<&str>) -> Response<Body> {
    let host = lookup::host(query);
    let region = lookup::region(query);
    let region = region.unwrap_or_else(|| shell.settings.region.clone());
    let request = shell.next_request();
    let mut orders = shell.core.open(Event::Resolve {
        request,
        region,
        host,
    });
    let Some(Command::Boxes(boxes)) = orders.recv().await else {
        return head::full_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stopping\n");
    };
    if boxes.is_empty() {
        return head::full_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "no boxes\n");
    }
    let addresses = boxes.iter().map(|entry| entry.contact.public);
    head::full_response(
        StatusCode::OK,
        "application/json",
        lookup::lookup_answer(addresses, LOOKUP_TTL),
    )
}
