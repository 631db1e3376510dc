//! The form in which boxes pass the configuration and the list of servers on: postcard, compressed.

use std::io::{Read as _, Write as _};

use bytes::Bytes;
use eyre::{WrapErr, ensure};
use flate2::{Compression, read::GzDecoder, write::GzEncoder};
use serde::{Serialize, de::DeserializeOwned};

/// Its content type.
pub const TYPE: &str = "application/gzip";
/// Largest content that is unpacked, in bytes: some 45,000 servers.
const MAX_UNPACKED: u64 = 4 << 20;

/// Packs `content`.
pub fn pack<T: Serialize>(content: &T) -> eyre::Result<Bytes> {
    let plain = postcard::to_stdvec(content).wrap_err("cannot write it")?;
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&plain)?;
    Ok(encoder.finish()?.into())
}

/// Unpacks what [`pack`] made; what is too large or does not read is an error.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> eyre::Result<T> {
    let mut plain = Vec::new();
    let mut decoder = GzDecoder::new(bytes).take(MAX_UNPACKED + 1);
    decoder
        .read_to_end(&mut plain)
        .wrap_err("it does not unpack")?;
    ensure!(plain.len() as u64 <= MAX_UNPACKED, "it is too large");
    postcard::from_bytes(&plain).wrap_err("it does not read")
}
