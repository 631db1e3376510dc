//! Bodies of answers between boxes, in records that show a gap.
//!
//! A connection whose sender has given it up may still deliver the last of what was written, and not
//! what came before. Each record says how long it is and has a check of its bytes and of their
//! position, and a last one without bytes marks the end.

use std::fmt;

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes before those of a record: its length and its check.
const HEAD: usize = 8;
/// Most bytes of one record.
const MAX_RECORD: usize = 64 << 10;

/// The check of a record that begins at `offset` of the body.
fn check(bytes: &[u8], offset: u64) -> u32 {
    xxh3_64_with_seed(bytes, offset) as u32
}

/// Writes a body in records.
#[derive(Debug, Default)]
pub struct Writer {
    offset: u64,
}

impl Writer {
    /// The records of the next bytes.
    pub fn write(&mut self, bytes: &[u8]) -> Bytes {
        let records = bytes.len().div_ceil(MAX_RECORD);
        let mut out = BytesMut::with_capacity(bytes.len() + records * HEAD);
        for part in bytes.chunks(MAX_RECORD) {
            self.put(part, &mut out);
        }
        out.freeze()
    }

    /// The record that marks the end of the body.
    pub fn end(&mut self) -> Bytes {
        let mut out = BytesMut::with_capacity(HEAD);
        self.put(&[], &mut out);
        out.freeze()
    }

    fn put(&mut self, bytes: &[u8], out: &mut BytesMut) {
        out.put_u32(bytes.len() as u32);
        out.put_u32(check(bytes, self.offset));
        out.put_slice(bytes);
        self.offset += bytes.len() as u64;
    }
}

/// Something is missing, or not as it was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Bytes of the body that came before.
    pub offset: u64,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the bytes behind {} are not the next ones", self.offset)
    }
}

impl std::error::Error for Gap {}

/// Reads a body that was written in records, in whatever pieces it comes.
#[derive(Debug, Default)]
pub struct Reader {
    offset: u64,
    partial: BytesMut,
    ended: bool,
}

impl Reader {
    /// Takes the next bytes of the connection; returns those of the records that are whole.
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
        if head.len() < HEAD {
            return Ok(None);
        }
        let (length, expected) = (head.get_u32() as usize, head.get_u32());
        if length > MAX_RECORD {
            return Err(gap);
        }
        if head.len() < length {
            return Ok(None);
        }
        if check(&head[..length], self.offset) != expected {
            return Err(gap);
        }
        self.partial.advance(HEAD);
        self.ended = length == 0;
        self.offset += length as u64;
        Ok(Some(self.partial.split_to(length)))
    }

    /// Whether the end of the body was marked, and nothing came behind it.
    pub fn is_ended(&self) -> bool {
        self.ended && self.partial.is_empty()
    }
}
