//! Scripted answers: each write is given in advance, and the end of the connection ends the answer.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// The content type of a server-sent event stream.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Pause before each write and before the end of the connection.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Most bytes that are read of a request.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// How the connection is ended after an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub enum End {
    /// The connection is closed normally.
    #[default]
    Close,
    /// The connection is reset (TCP RST).
    Reset,
}

/// An answer without a content length or chunked encoding.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Script {
    /// The content type.
    pub kind: String,
    /// The writes, in order.
    pub writes: Vec<String>,
    /// How the connection ends.
    pub end: End,
}

impl Script {
    /// Creates an event stream that consists of these writes and then closes.
    pub fn stream(writes: &[&str]) -> Self {
        Self {
            kind: EVENT_STREAM.to_owned(),
            writes: writes.iter().map(|&bytes| bytes.to_owned()).collect(),
            end: End::Close,
        }
    }

    /// Returns the complete body.
    pub fn body(&self) -> String {
        self.writes.concat()
    }

    /// Writes the answer after `head` and ends the connection. `head` holds the status line and
    /// header lines without the terminating empty line.
    pub async fn play(&self, mut stream: TcpStream, head: &str) -> std::io::Result<()> {
        let head = format!("{head}Content-Type: {}\r\n\r\n", self.kind);
        stream.write_all(head.as_bytes()).await?;
        for bytes in &self.writes {
            sleep(WRITE_PAUSE).await;
            stream.write_all(bytes.as_bytes()).await?;
        }
        sleep(WRITE_PAUSE).await;
        if self.end == End::Reset {
            stream.set_zero_linger()?;
        }
        Ok(())
    }

    /// Starts a backend server of petreldrum's own interface that answers every request with this
    /// script, and returns its address.
    pub async fn serve(self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.clone().answer(stream));
            }
        });
        Ok(address)
    }

    async fn answer(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut request = vec![0; MAX_REQUEST_BYTES];
        // Requests of tests are small: one read is enough, as the body arrives with the head or
        // right after it.
        let read = stream.read(&mut request).await?;
        if read == 0 {
            return Ok(());
        }
        stream.set_nodelay(true)?;
        self.play(stream, "HTTP/1.1 200 OK\r\n").await
    }
}
