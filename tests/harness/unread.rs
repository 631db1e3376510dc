//! A backend server with long answers, and callers that do not read them.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// Bytes of a long answer.
pub const ANSWER_BYTES: usize = 16 << 20;
const PIECE_BYTES: usize = 64 << 10;
/// Callers that read on in the end.
const READERS: usize = 4;

/// A backend server whose answers to paths that end in `/long` are long, with or without chunks.
pub async fn long_answers(chunked: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, chunked));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, chunked: bool) {
    let mut request = vec![0; 16 << 10];
    while let Ok(read @ 1..) = stream.read(&mut request).await {
        let long = request[..read].windows(6).any(|part| part == b"/long ");
        let size = if long { ANSWER_BYTES } else { PIECE_BYTES };
        let piece = vec![b'a'; PIECE_BYTES];
        let (framing, part, end) = match chunked {
            true => {
                let part = [b"10000\r\n", &piece[..], b"\r\n"].concat();
                ("transfer-encoding: chunked".to_owned(), part, "0\r\n\r\n")
            }
            false => (format!("content-length: {size}"), piece, ""),
        };
        let start = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
        let mut open = stream.write_all(start.as_bytes()).await.is_ok();
        for _ in 0..size / PIECE_BYTES {
            open = open && stream.write_all(&part).await.is_ok();
        }
        if !open || stream.write_all(end.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Opens a connection for each request, and reads nothing.
pub async fn ask_all(
    address: SocketAddr,
    requests: impl Iterator<Item = String>,
) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for request in requests {
        let stream = TcpStream::connect(address).await;
        let mut stream = stream.expect("the box accepts");
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("the request is sent");
        callers.push(stream);
    }
    callers
}

/// Lets a few of the callers read on, and asserts that their answers are whole.
pub async fn assert_whole(callers: &mut Vec<TcpStream>, what: &str) {
    for mut caller in callers.drain(..READERS) {
        let mut bytes = Vec::new();
        let read = caller.read_to_end(&mut bytes).await;
        assert!(read.is_ok(), "{what}: {read:?} after {}", bytes.len());
        assert!(bytes.len() > ANSWER_BYTES, "{what}: {}", bytes.len());
    }
}
