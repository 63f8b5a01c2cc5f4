//! Frames of a link: a length, a kind, and the message, compressed where that
//! makes it shorter. Bytes between zones cost more than the processor time.

use bytes::{BufMut, Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use zstd::bulk::{Compressor, Decompressor};

/// Largest message, compressed or not.
pub(crate) const MAX_FRAME: usize = 40 * 1024 * 1024;
/// Bytes before the message: its length and its kind.
pub(crate) const HEADER: usize = 5;
/// Messages shorter than this are sent as they are: a call of the compressor costs
/// more than the few bytes it could save.
const LEAST_BYTES: usize = 512;
/// The fastest level; what is sent is long texts, which gain little from others.
const LEVEL: i32 = 1;

const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// Why a frame cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    #[error("{bytes} bytes, more than {MAX_FRAME}")]
    TooLong { bytes: usize },
    #[error("kind {0} is not known")]
    UnknownKind(u8),
    #[error("decompress: {0}")]
    Decompress(std::io::Error),
}

/// What the header of a frame says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameHeader {
    /// Bytes that follow.
    pub length: usize,
    kind: u8,
}

impl FrameHeader {
    /// Reads the header.
    pub fn parse(bytes: &[u8; HEADER]) -> Result<Self, FrameError> {
        let [length @ .., kind] = *bytes;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_FRAME {
            return Err(FrameError::TooLong { bytes: length });
        }
        Ok(Self { length, kind })
    }
}

/// Makes and reads frames; one for all connections of a process, since its memory
/// is what it costs.
pub(crate) struct FrameCodec {
    compressor: RefCell<Compressor<'static>>,
    decompressor: RefCell<Decompressor<'static>>,
    /// Bytes of messages so far, and of their frames.
    sent: Cell<(u64, u64)>,
}

impl FrameCodec {
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            compressor: RefCell::new(Compressor::new(LEVEL)?),
            decompressor: RefCell::new(Decompressor::new()?),
            sent: Cell::default(),
        })
    }

    /// Bytes of messages so far, and of their frames.
    pub fn sent(&self) -> (u64, u64) {
        self.sent.get()
    }

    /// The frame of a message.
    pub fn frame(&self, message: &[u8]) -> Bytes {
        let packed = self.compress(message);
        let (kind, body) = match &packed {
            Some(packed) => (COMPRESSED, packed.as_slice()),
            None => (PLAIN, message),
        };
        let mut frame = BytesMut::with_capacity(HEADER + body.len());
        frame.put_u32(body.len() as u32);
        frame.put_u8(kind);
        frame.put_slice(body);
        let (plain, wire) = self.sent.get();
        let sums = (plain + message.len() as u64, wire + frame.len() as u64);
        self.sent.set(sums);
        frame.freeze()
    }

    /// The message compressed, if that makes it shorter.
    fn compress(&self, message: &[u8]) -> Option<Vec<u8>> {
        if message.len() < LEAST_BYTES {
            return None;
        }
        match self.compressor.borrow_mut().compress(message) {
            Ok(packed) => Some(packed).filter(|packed| packed.len() < message.len()),
            Err(error) => {
                log::warn!("step=compress-frame bytes={} error={error}", message.len());
                None
            }
        }
    }

    /// The message of a frame.
    pub fn message(&self, header: FrameHeader, body: Vec<u8>) -> Result<Vec<u8>, FrameError> {
        match header.kind {
            PLAIN => Ok(body),
            COMPRESSED => {
                let mut decompressor = self.decompressor.borrow_mut();
                let length = Decompressor::upper_bound(&body).unwrap_or(MAX_FRAME);
                if length > MAX_FRAME {
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
