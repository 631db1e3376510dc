//! The receiving side of nng's PUSH/PULL protocol over TCP.
//!
//! nng's own PULL socket accepts any number of connections, and keeps a message of any announced
//! size in memory before its signature can be checked. Its safe binding offers no limit on either.

use std::{io, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::timeout,
};

use crate::gateway::connections::{Connection, Connections};

/// The greetings that the two sides of a connection exchange first: the protocol's magic bytes and
/// the type of the socket.
pub(crate) const PUSH_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
pub(crate) const PULL_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// Largest message. Those of a box grow with its region; lists and configurations, which are longer,
/// are fetched over HTTP.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Bytes of a message that are read without a share of [`MAX_LONG_BYTES`], so that ordinary messages
/// never wait for it.
const SHORT_MESSAGE_BYTES: usize = 16 << 10;
/// Memory for the messages of all connections beyond [`SHORT_MESSAGE_BYTES`], until they are checked.
const MAX_LONG_BYTES: usize = 8 << 20;
/// Bytes of message memory per semaphore permit.
const UNIT_BYTES: usize = 1024;
/// Time limit for the greeting; senders give up dialling sooner.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for one message; senders give up sooner.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without a message for this long is closed; senders close theirs sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// A complete message; it holds its share of the memory for long messages until it is dropped.
pub(crate) struct Message {
    pub(crate) bytes: Vec<u8>,
    _reserved: Vec<OwnedSemaphorePermit>,
}

/// Accepts connections and passes their messages to `messages`. A full channel holds up the senders,
/// who drop what they cannot send.
pub(crate) async fn run(
    listener: TcpListener,
    connections: Arc<Connections>,
    messages: mpsc::Sender<Message>,
) {
    let long = Arc::new(Semaphore::new(MAX_LONG_BYTES / UNIT_BYTES));
    loop {
        let (stream, connection) = connections.accept(&listener, "gossip").await;
        let (long, messages) = (long.clone(), messages.clone());
        tokio::spawn(async move {
            tokio::select! {
                result = receive(stream, &connection, &long, &messages) => {
                    if let Err(error) = result {
                        log::debug!("gossip: connection: {error}");
                    }
                }
                () = connection.evicted() => log::debug!("gossip: connection evicted"),
            }
        });
    }
}

/// Receives the messages of one connection until it ends.
async fn receive(
    mut stream: TcpStream,
    connection: &Connection,
    long: &Arc<Semaphore>,
    messages: &mpsc::Sender<Message>,
) -> io::Result<()> {
    timeout(GREETING_TIMEOUT, greet(&mut stream)).await??;
    loop {
        let length = timeout(IDLE_TIMEOUT, stream.read_u64()).await??;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > MAX_MESSAGE_BYTES {
            return Err(io::Error::other("the message is too long"));
        }
        let message = read_message(&mut stream, length, long);
        let message = timeout(MESSAGE_TIMEOUT, message).await??;
        messages.send(message).await.map_err(io::Error::other)?;
        connection.end_answer();
    }
}

async fn greet(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&PULL_GREETING).await?;
    let mut greeting = [0; PUSH_GREETING.len()];
    stream.read_exact(&mut greeting).await?;
    match greeting == PUSH_GREETING {
        true => Ok(()),
        false => Err(io::Error::other("peer is not an nng PUSH socket")),
    }
}

/// Reads a message of `length` bytes; the memory for it doubles as its bytes arrive.
async fn read_message(
    stream: &mut TcpStream,
    length: usize,
    long: &Arc<Semaphore>,
) -> io::Result<Message> {
    let mut bytes = Vec::new();
    let mut reserved = Vec::new();
    let mut room = length.min(SHORT_MESSAGE_BYTES);
    loop {
        bytes.reserve_exact(room - bytes.len());
        let missing = (room - bytes.len()) as u64;
        if stream.take(missing).read_to_end(&mut bytes).await? < missing as usize {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if room == length {
            return Ok(Message {
                bytes,
                _reserved: reserved,
            });
        }
        let next = (2 * room).min(length);
        let units = (next - room).div_ceil(UNIT_BYTES) as u32;
        let more = long.clone().acquire_many_owned(units).await;
        reserved.push(more.map_err(io::Error::other)?);
        room = next;
    }
}
