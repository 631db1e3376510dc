//! HTTP client for the administration listener of a box.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{WrapErr, bail, eyre};
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1, header::AUTHORIZATION};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The address of a box's administration listener and the bearer token for it.
#[derive(Clone, Debug, clap::Args)]
pub(super) struct Admin {
    /// Address of a box's administration listener.
    #[arg(long, value_name = "IP:PORT", env = "PETRELDRUM_ADMIN")]
    admin: SocketAddr,
    /// Bearer token for the administration listener.
    #[arg(long, env = "PETRELDRUM_TOKEN", hide_env_values = true)]
    token: String,
}

/// The status and whole body of a response.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

impl Answer {
    /// Returns the body of a successful response; any other status becomes an error.
    pub(super) fn into_success(self) -> eyre::Result<Bytes> {
        if self.status.is_success() {
            return Ok(self.body);
        }
        let text = String::from_utf8_lossy(&self.body);
        bail!("{}: {}", self.status, text.trim());
    }
}

impl Admin {
    /// Sends one request to the box and waits for its response.
    pub(super) fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: impl Into<Bytes>,
    ) -> eyre::Result<Answer> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.admin.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.token));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(body.into()))
            .wrap_err("invalid request header")?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("cannot start the runtime")?;
        let answer = runtime.block_on(async {
            // The timer must be created inside the runtime.
            timeout(CALL_TIMEOUT, exchange(self.admin, request)).await
        });
        answer
            .unwrap_or_else(|_| Err(eyre!("no response within {CALL_TIMEOUT:?}")))
            .wrap_err_with(|| format!("box at {}", self.admin))
    }
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> eyre::Result<Answer> {
    let stream = TcpStream::connect(address)
        .await
        .wrap_err("cannot connect")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await?;
    Ok(Answer {
        status: response.status(),
        body: response.into_body().collect().await?.to_bytes(),
    })
}
