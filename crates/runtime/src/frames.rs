//! Frame codec for messages over TCP: a length, a kind and the message, compressed where
//! that makes it shorter.

use bytes::{BufMut, Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use zstd::bulk::{Compressor, Decompressor};

/// Largest message in bytes, compressed or not.
pub(crate) const MAX_MESSAGE_BYTES: usize = 40 * 1024 * 1024;
/// Size of the header: four bytes of length and one of kind.
pub(crate) const HEADER_BYTES: usize = 5;
/// Shorter messages are sent uncompressed, as they would save too little.
const MIN_COMPRESSED_BYTES: usize = 512;
const ZSTD_LEVEL: i32 = 1;

const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// Why a frame is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    #[error("message of {bytes} bytes exceeds the limit of {MAX_MESSAGE_BYTES}")]
    TooLong { bytes: usize },
    #[error("unknown frame kind {0}")]
    UnknownKind(u8),
    #[error("cannot decompress message: {0}")]
    Decompress(std::io::Error),
}

/// Decoded frame header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameHeader {
    /// Bytes that follow the header.
    pub length: usize,
    kind: u8,
}

impl FrameHeader {
    pub fn parse(bytes: &[u8; HEADER_BYTES]) -> Result<Self, FrameError> {
        let [length @ .., kind] = *bytes;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong { bytes: length });
        }
        Ok(Self { length, kind })
    }
}

/// Encodes and decodes frames. All connections of a process share one codec, as its buffers
/// are large.
pub(crate) struct FrameCodec {
    compressor: RefCell<Compressor<'static>>,
    decompressor: RefCell<Decompressor<'static>>,
    /// Total bytes of encoded messages, and of their frames.
    sent: Cell<(u64, u64)>,
}

impl FrameCodec {
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            compressor: RefCell::new(Compressor::new(ZSTD_LEVEL)?),
            decompressor: RefCell::new(Decompressor::new()?),
            sent: Cell::default(),
        })
    }

    /// Total bytes of encoded messages, and of their frames.
    pub fn sent_bytes(&self) -> (u64, u64) {
        self.sent.get()
    }

    /// Encodes a message as a frame.
    pub fn encode(&self, message: &[u8]) -> Bytes {
        let compressed = self.compress(message);
        let (kind, body) = match &compressed {
            Some(compressed) => (COMPRESSED, compressed.as_slice()),
            None => (PLAIN, message),
        };
        let mut frame = BytesMut::with_capacity(HEADER_BYTES + body.len());
        frame.put_u32(body.len() as u32);
        frame.put_u8(kind);
        frame.put_slice(body);
        let (plain, wire) = self.sent.get();
        let totals = (plain + message.len() as u64, wire + frame.len() as u64);
        self.sent.set(totals);
        frame.freeze()
    }

    /// Returns the compressed message if it is shorter.
    fn compress(&self, message: &[u8]) -> Option<Vec<u8>> {
        if message.len() < MIN_COMPRESSED_BYTES {
            return None;
        }
        match self.compressor.borrow_mut().compress(message) {
            Ok(compressed) => {
                Some(compressed).filter(|compressed| compressed.len() < message.len())
            }
            Err(error) => {
                log::warn!("step=compress-frame bytes={} error={error}", message.len());
                None
            }
        }
    }

    /// Decodes the message of a frame.
    pub fn decode(&self, header: FrameHeader, body: Vec<u8>) -> Result<Vec<u8>, FrameError> {
        match header.kind {
            PLAIN => Ok(body),
            COMPRESSED => {
                let mut decompressor = self.decompressor.borrow_mut();
                let length = Decompressor::upper_bound(&body).unwrap_or(MAX_MESSAGE_BYTES);
                if length > MAX_MESSAGE_BYTES {
                    return Err(FrameError::TooLong { bytes: length });
                }
                let message = decompressor.decompress(&body, length);
                message.map_err(FrameError::Decompress)
            }
            kind => Err(FrameError::UnknownKind(kind)),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/frames.rs"]
mod tests;
