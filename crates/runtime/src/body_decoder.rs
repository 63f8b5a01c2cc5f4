//! Decodes the framing of HTTP/1.1 message bodies.

use bytes::{Bytes, BytesMut};

/// Limit of a chunk line and of a trailer line.
const MAX_LINE_BYTES: usize = 256;
/// Limit of all trailer lines of a message together.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// Hexadecimal digits of a chunk size.
const MAX_SIZE_DIGITS: usize = 8;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(u64),
    Chunked(ChunkState),
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    pub const CHUNKED: Self = Self::Chunked(ChunkState::Size);
    pub const EMPTY: Self = Self::Length(0);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
}

/// A part of a body, or its end.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BodyPart {
    Data(Bytes),
    End,
}

/// Decodes one body from the bytes of a connection.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    framing: Framing,
    /// Bytes of trailers received so far.
    trailer_bytes: usize,
}

impl BodyDecoder {
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            trailer_bytes: 0,
        }
    }

    pub fn is_chunked(&self) -> bool {
        matches!(self.framing, Framing::Chunked(_))
    }

    /// Whether the body lasts until the connection ends.
    pub fn lasts_until_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Bytes that are known to follow: of the whole body, or of the current chunk.
    pub fn announced_bytes(&self) -> u64 {
        match self.framing {
            Framing::Length(remaining) | Framing::Chunked(ChunkState::Data(remaining)) => remaining,
            _ => 0,
        }
    }

    /// Returns the end of the body if it has been reached.
    pub fn end(&self) -> Option<BodyPart> {
        (self.framing == Framing::EMPTY).then_some(BodyPart::End)
    }

    /// Takes the next part of the body from `buffer`; none if more bytes are needed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> std::io::Result<Option<BodyPart>> {
        match self.framing {
            Framing::EMPTY => Ok(Some(BodyPart::End)),
            Framing::Length(remaining) => {
                let data = take(buffer, remaining);
                self.framing = Framing::Length(remaining - data.len() as u64);
                Ok(non_empty(data))
            }
            Framing::UntilClose => Ok(non_empty(take(buffer, u64::MAX))),
            Framing::Chunked(state) => self.decode_chunk(state, buffer),
        }
    }

    fn decode_chunk(
        &mut self,
        mut state: ChunkState,
        buffer: &mut BytesMut,
    ) -> std::io::Result<Option<BodyPart>> {
        loop {
            match state {
                ChunkState::Data(remaining) => {
                    let data = take(buffer, remaining);
                    let remaining = remaining - data.len() as u64;
                    state = if remaining == 0 {
                        ChunkState::DataEnd
                    } else {
                        ChunkState::Data(remaining)
                    };
                    self.framing = Framing::Chunked(state);
                    return Ok(non_empty(data));
                }
                ChunkState::Size => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(None);
                    };
                    let size = chunk_size(&line)?;
                    state = if size == 0 {
                        ChunkState::Trailer
                    } else {
                        ChunkState::Data(size)
                    };
                }
                ChunkState::DataEnd => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(invalid("chunk data is not followed by a line ending"));
                    }
                    state = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(None);
                    };
                    self.trailer_bytes += line.len() + 1;
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(invalid("trailers are larger than 16 KiB"));
                    }
                    if line.is_empty() {
                        self.framing = Framing::EMPTY;
                        return Ok(Some(BodyPart::End));
                    }
                }
            }
            self.framing = Framing::Chunked(state);
        }
    }
}

fn take(buffer: &mut BytesMut, limit: u64) -> Bytes {
    let count = (buffer.len() as u64).min(limit) as usize;
    buffer.split_to(count).freeze()
}

/// Takes a complete line, without its line ending.
fn take_line(buffer: &mut BytesMut) -> std::io::Result<Option<Bytes>> {
    let end = buffer.iter().position(|byte| *byte == b'\n');
    if end.unwrap_or(buffer.len()) > MAX_LINE_BYTES {
        return Err(invalid("chunk line is longer than 256 bytes"));
    }
    let Some(end) = end else {
        return Ok(None);
    };
    let mut line = buffer.split_to(end + 1);
    line.truncate(end);
    if line.last() != Some(&b'\r') {
        return Err(invalid("chunk line does not end with CR LF"));
    }
    line.truncate(end - 1);
    Ok(Some(line.freeze()))
}

fn non_empty(data: Bytes) -> Option<BodyPart> {
    (!data.is_empty()).then_some(BodyPart::Data(data))
}

fn chunk_size(line: &[u8]) -> std::io::Result<u64> {
    let text = std::str::from_utf8(line).map_err(|_| invalid("chunk size is not valid UTF-8"))?;
    let digits = text.split(';').next().unwrap_or("").trim();
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS {
        return Err(invalid("chunk size is missing or longer than 8 digits"));
    }
    if !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(invalid("chunk size is not a hexadecimal number"));
    }
    u64::from_str_radix(digits, 16).map_err(|_| invalid("chunk size is not a hexadecimal number"))
}

pub(crate) fn invalid(reason: &'static str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, reason)
}
