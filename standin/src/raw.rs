//! A backend server whose answers are given byte by byte, for answers that HTTP libraries do not
//! send.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Time in which an answer, or the end of the server's side, arrives at a box.
const ARRIVAL_TIME: Duration = Duration::from_millis(30);
/// Time for which [`End::Silent`] holds a connection; longer than any timeout of a box.
const SILENCE: Duration = Duration::from_secs(90);

/// Most bytes of a request that are read at once.
const PART_BYTES: usize = 256 << 10;

/// What a server does with the connection after an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    /// Reads the rest of the request and waits for the next one.
    #[default]
    Keep,
    /// Reads the rest of the request, then closes.
    Close,
    /// Closes without having read the rest of the request, which makes the kernel send a reset.
    Unread,
    /// Resets the connection.
    Reset,
    /// Resets the connection after the answer has arrived.
    LateReset,
    /// Reads nothing more and leaves the connection open.
    Silent,
    /// Reads the rest of the request in small parts, then closes.
    Slow,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Head(String);

impl Head {
    /// Returns the value of a header, or an empty string if it is absent.
    pub fn field(&self, name: &str) -> &str {
        let mut lines = self.0.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// An answer, and what follows it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// All bytes of the answer.
    pub bytes: Vec<u8>,
    /// Whether the server ends its side of the connection (TCP FIN) before `end`.
    pub half: bool,
    /// How the connection goes on.
    pub end: End,
}

/// Starts a server that reads the head of each request and answers it at once.
pub async fn serve(
    answer: impl Fn(&Head) -> Answer + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                // A box may close its connection at any time.
                let _ = converse(stream, &*answer).await;
            });
        }
    });
    Ok(address)
}

async fn converse(mut stream: TcpStream, answer: &impl Fn(&Head) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let Some(length) = buffer.windows(4).position(|w| w == b"\r\n\r\n") else {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
            continue;
        };
        let head = Head(String::from_utf8_lossy(&buffer[..length]).into_owned());
        buffer.drain(..length + 4);
        let length: usize = head.field("content-length").parse().unwrap_or(0);
        let rest = length.saturating_sub(buffer.len());
        buffer.drain(..length.min(buffer.len()));
        let Answer { bytes, half, end } = answer(&head);
        stream.write_all(&bytes).await?;
        if half {
            stream.shutdown().await?;
            sleep(ARRIVAL_TIME).await;
        }
        match end {
            End::Keep => skip(&mut stream, rest, Duration::ZERO).await?,
            End::Close => return skip(&mut stream, rest, Duration::ZERO).await,
            End::Slow => return skip(&mut stream, rest, ARRIVAL_TIME).await,
            End::Unread => return Ok(()),
            End::Reset => return stream.set_zero_linger(),
            End::LateReset => {
                sleep(ARRIVAL_TIME).await;
                return stream.set_zero_linger();
            }
            End::Silent => {
                sleep(SILENCE).await;
                return Ok(());
            }
        }
    }
}

/// Reads `rest` bytes in parts, with a pause before each part.
async fn skip(stream: &mut TcpStream, mut rest: usize, pause: Duration) -> io::Result<()> {
    let mut buffer = vec![0; PART_BYTES];
    while rest > 0 {
        sleep(pause).await;
        let most = rest.min(PART_BYTES);
        let read = stream.read(&mut buffer[..most]).await?;
        if read == 0 {
            break;
        }
        rest -= read;
    }
    Ok(())
}
