//! The encoding in which boxes exchange the configuration and the list of backend servers:
//! postcard, compressed with gzip.

use std::io::{Read as _, Write as _};

use bytes::Bytes;
use eyre::{WrapErr, ensure};
use flate2::{Compression, read::GzDecoder, write::GzEncoder};
use serde::{Serialize, de::DeserializeOwned};

/// The content type of packed content.
pub const CONTENT_TYPE: &str = "application/gzip";
/// Largest decompressed content, in bytes: some 45,000 backend servers.
const MAX_UNPACKED_BYTES: u64 = 4 << 20;

/// Serializes and compresses `content`.
pub fn pack<T: Serialize>(content: &T) -> eyre::Result<Bytes> {
    let plain = postcard::to_stdvec(content).wrap_err("cannot serialize the content")?;
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&plain)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses and deserializes the output of [`pack`]; content that is too large or malformed is
/// an error.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> eyre::Result<T> {
    let mut plain = Vec::new();
    let mut decoder = GzDecoder::new(bytes).take(MAX_UNPACKED_BYTES + 1);
    decoder
        .read_to_end(&mut plain)
        .wrap_err("cannot decompress the content")?;
    ensure!(plain.len() as u64 <= MAX_UNPACKED_BYTES, "it is too large");
    postcard::from_bytes(&plain).wrap_err("cannot deserialize the content")
}
