//! Calls to the administration listener of a box.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{WrapErr, bail, eyre};
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1, header::AUTHORIZATION};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

const TIMEOUT: Duration = Duration::from_secs(15);

/// Where a box's administration listener is, and the token it wants.
#[derive(Clone, Debug, clap::Args)]
pub(super) struct Admin {
    /// The administration listener of a box.
    #[arg(long, value_name = "IP:PORT", env = "PETRELDRUM_ADMIN")]
    admin: SocketAddr,
    /// The bearer token for it.
    #[arg(long, env = "PETRELDRUM_TOKEN", hide_env_values = true)]
    token: String,
}

/// An answer.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

impl Answer {
    /// The body, where the box said yes.
    pub(super) fn good(self) -> eyre::Result<Bytes> {
        if self.status.is_success() {
            return Ok(self.body);
        }
        let text = String::from_utf8_lossy(&self.body);
        bail!("{}: {}", self.status, text.trim());
    }
}

impl Admin {
    /// Calls the box and waits for its answer.
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
            .wrap_err("a header does not read")?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("cannot start the runtime")?;
        let answer = runtime.block_on(async {
            // The timer needs the runtime around it.
            timeout(TIMEOUT, exchange(self.admin, request)).await
        });
        answer
            .unwrap_or_else(|_| Err(eyre!("no answer in time")))
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
