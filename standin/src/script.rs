//! Answers whose every write is laid down beforehand, and which end with their connection.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// The content type of a stream of events.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Time between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Most bytes of a request that are read.
const MAX_REQUEST: usize = 64 << 10;

/// How the connection of an answer ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub enum End {
    /// It is closed.
    #[default]
    Close,
    /// It is reset.
    Reset,
}

/// An answer with neither a length nor chunks.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Script {
    /// Its content type.
    pub kind: String,
    /// What is written, piece by piece.
    pub writes: Vec<String>,
    /// How it ends.
    pub end: End,
}

impl Script {
    /// A stream of events that is written in these pieces and then closed.
    pub fn stream(writes: &[&str]) -> Self {
        Self {
            kind: EVENT_STREAM.to_owned(),
            writes: writes.iter().map(|&bytes| bytes.to_owned()).collect(),
            end: End::Close,
        }
    }

    /// All that is written.
    pub fn body(&self) -> String {
        self.writes.concat()
    }

    /// Writes it behind `head`, the lines of a head without the empty one, and ends the connection.
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

    /// A backend server of our own interface that answers every request so; returns its address.
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
        let mut request = vec![0; MAX_REQUEST];
        // The bodies of tests come with their heads or right behind them.
        let read = stream.read(&mut request).await?;
        if read == 0 {
            return Ok(());
        }
        stream.set_nodelay(true)?;
        self.play(stream, "HTTP/1.1 200 OK\r\n").await
    }
}
