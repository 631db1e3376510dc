//! Record framing for response bodies between boxes, which detects missing bytes.
//!
//! A connection that its sender has aborted may still deliver the last bytes that were written
//! without those before them. Each record carries its length and a checksum of its bytes and their
//! offset in the body. An empty record marks the end.

use std::fmt;

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of a record's header: the record's length and its checksum.
const HEAD_BYTES: usize = 8;
/// Maximum payload of one record.
const MAX_RECORD_BYTES: usize = 64 << 10;

/// Computes the checksum of a record that begins at `offset` of the body.
fn checksum(bytes: &[u8], offset: u64) -> u32 {
    xxh3_64_with_seed(bytes, offset) as u32
}

/// Encodes a body as records.
#[derive(Debug, Default)]
pub struct Writer {
    offset: u64,
}

impl Writer {
    /// Encodes the next bytes of the body.
    pub fn write(&mut self, bytes: &[u8]) -> Bytes {
        let records = bytes.len().div_ceil(MAX_RECORD_BYTES);
        let mut out = BytesMut::with_capacity(bytes.len() + records * HEAD_BYTES);
        for part in bytes.chunks(MAX_RECORD_BYTES) {
            self.put_record(part, &mut out);
        }
        out.freeze()
    }

    /// Returns the record that marks the end of the body.
    pub fn end(&mut self) -> Bytes {
        let mut out = BytesMut::with_capacity(HEAD_BYTES);
        self.put_record(&[], &mut out);
        out.freeze()
    }

    fn put_record(&mut self, bytes: &[u8], out: &mut BytesMut) {
        out.put_u32(bytes.len() as u32);
        out.put_u32(checksum(bytes, self.offset));
        out.put_slice(bytes);
        self.offset += bytes.len() as u64;
    }
}

/// The error for bytes that are missing or corrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Number of bytes of the body that were read before it.
    pub offset: u64,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the bytes behind {} are not the next ones", self.offset)
    }
}

impl std::error::Error for Gap {}

/// Decodes a body from records that arrive in chunks of any size.
#[derive(Debug, Default)]
pub struct Reader {
    offset: u64,
    partial: BytesMut,
    ended: bool,
}

impl Reader {
    /// Reads the next bytes of the connection and returns the payload of the records that are
    /// complete.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Bytes, Gap> {
        self.partial.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(record) = self.next_record()? {
            out.extend_from_slice(&record);
        }
        Ok(out.freeze())
    }

    fn next_record(&mut self) -> Result<Option<BytesMut>, Gap> {
        let gap = Gap {
            offset: self.offset,
        };
        if self.ended && !self.partial.is_empty() {
            return Err(gap);
        }
        let mut head = &self.partial[..];
        if head.len() < HEAD_BYTES {
            return Ok(None);
        }
        let (length, expected) = (head.get_u32() as usize, head.get_u32());
        if length > MAX_RECORD_BYTES {
            return Err(gap);
        }
        if head.len() < length {
            return Ok(None);
        }
        if checksum(&head[..length], self.offset) != expected {
            return Err(gap);
        }
        self.partial.advance(HEAD_BYTES);
        self.ended = length == 0;
        self.offset += length as u64;
        Ok(Some(self.partial.split_to(length)))
    }

    /// Reports whether the end marker was read and nothing followed it.
    pub fn is_ended(&self) -> bool {
        self.ended && self.partial.is_empty()
    }
}
