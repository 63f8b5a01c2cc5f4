//! Reading responses of back ends.
//!
//! Heads are parsed by `httparse`. `monoio-http`'s client was weighed: it keeps
//! surplus bytes for the next response on the connection and takes a body that
//! ends with its connection for whole however the connection ended. Back ends
//! may send surplus bytes or break off, so framing is checked here.

use bytes::{Buf, Bytes, BytesMut};
use monoio::io::AsyncReadRent;
use peatgrade_types::http::ResponseHead;

const MAX_HEADERS: usize = 96;
const MAX_HEAD_BYTES: usize = 64 * 1024;
const READ_BYTES: usize = 8 * 1024;
const MAX_CHUNK_LINE: usize = 256;

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked(Chunk),
    /// With the connection.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
}

/// Reads one response after another from a connection.
pub(crate) struct ResponseReader<R> {
    io: R,
    buffer: BytesMut,
    spare: Option<Vec<u8>>,
    framing: Framing,
    /// The connection may carry another exchange.
    reusable: bool,
}

/// A piece of a body.
pub(crate) enum Piece {
    Data(Bytes),
    End,
}

impl<R: AsyncReadRent> ResponseReader<R> {
    pub fn new(io: R) -> Self {
        Self {
            io,
            buffer: BytesMut::new(),
            spare: None,
            framing: Framing::Length(0),
            reusable: true,
        }
    }

    /// Whether the last response left the connection fit for another one.
    pub fn reusable(&self) -> bool {
        self.reusable && self.buffer.is_empty()
    }

    /// Whether bytes were read that are not handed on yet.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Gives up memory that a resting connection does not need.
    pub fn rest(&mut self) {
        self.spare = None;
        self.buffer = BytesMut::new();
    }

    /// Reads more bytes; 0 at the end of the connection.
    pub async fn fill(&mut self) -> std::io::Result<usize> {
        let spare = self.spare.take();
        let buffer = spare.unwrap_or_else(|| vec![0; READ_BYTES]);
        let (result, buffer) = self.io.read(buffer).await;
        let count = result?;
        self.buffer.extend_from_slice(&buffer[..count]);
        self.spare = Some(buffer);
        Ok(count)
    }

    /// Reads a head; interim ones are skipped.
    pub async fn head(&mut self, bodyless: bool) -> std::io::Result<ResponseHead> {
        loop {
            if let Some((head, length, minor)) = parse_head(&self.buffer)? {
                self.buffer.advance(length);
                if head.status / 100 == 1 {
                    continue;
                }
                self.framing = framing_of(&head, bodyless)?;
                let close = head
                    .header("connection")
                    .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
                self.reusable = !close && minor == 1 && self.framing != Framing::Close;
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid("head too large"));
            }
            if self.fill().await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next piece of the body.
    pub async fn piece(&mut self) -> std::io::Result<Piece> {
        loop {
            if let Some(piece) = self.buffered_piece()? {
                return Ok(piece);
            }
            if self.fill().await? == 0 {
                return match self.framing {
                    Framing::Close => Ok(Piece::End),
                    _ => Err(std::io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn buffered_piece(&mut self) -> std::io::Result<Option<Piece>> {
        match self.framing {
            Framing::Length(0) => Ok(Some(Piece::End)),
            Framing::Length(left) => {
                let data = self.take(left);
                self.framing = Framing::Length(left - data.len() as u64);
                Ok(non_empty(data))
            }
            Framing::Close => {
                let data = self.take(u64::MAX);
                Ok(non_empty(data))
            }
            Framing::Chunked(state) => self.chunk(state),
        }
    }

    fn chunk(&mut self, mut state: Chunk) -> std::io::Result<Option<Piece>> {
        loop {
            match state {
                Chunk::Data(left) => {
                    let data = self.take(left);
                    let left = left - data.len() as u64;
                    state = if left == 0 {
                        Chunk::DataEnd
                    } else {
                        Chunk::Data(left)
                    };
                    self.framing = Framing::Chunked(state);
                    return Ok(non_empty(data));
                }
                Chunk::Size => {
                    let Some(line) = self.line()? else {
                        return Ok(None);
                    };
                    let size = chunk_size(&line)?;
                    state = if size == 0 {
                        Chunk::Trailer
                    } else {
                        Chunk::Data(size)
                    };
                }
                Chunk::DataEnd => {
                    let Some(line) = self.line()? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(invalid("no line end after a chunk"));
                    }
                    state = Chunk::Size;
                }
                Chunk::Trailer => {
                    let Some(line) = self.line()? else {
                        return Ok(None);
                    };
                    if line.is_empty() {
                        self.framing = Framing::Length(0);
                        return Ok(Some(Piece::End));
                    }
                }
            }
            self.framing = Framing::Chunked(state);
        }
    }

    fn take(&mut self, most: u64) -> Bytes {
        let count = (self.buffer.len() as u64).min(most) as usize;
        self.buffer.split_to(count).freeze()
    }

    /// A line without its end, if it is whole.
    fn line(&mut self) -> std::io::Result<Option<Bytes>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n');
        let Some(end) = end else {
            if self.buffer.len() > MAX_CHUNK_LINE {
                return Err(invalid("chunk line too long"));
            }
            return Ok(None);
        };
        let mut line = self.buffer.split_to(end + 1);
        line.truncate(end);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Ok(Some(line.freeze()))
    }
}

fn non_empty(data: Bytes) -> Option<Piece> {
    (!data.is_empty()).then_some(Piece::Data(data))
}

fn invalid(reason: &'static str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, reason)
}

fn chunk_size(line: &[u8]) -> std::io::Result<u64> {
    let text = std::str::from_utf8(line).map_err(|_| invalid("chunk size is no text"))?;
    let digits = text.split(';').next().unwrap_or("").trim();
    if digits.is_empty() || digits.len() > 8 {
        return Err(invalid("no chunk size"));
    }
    u64::from_str_radix(digits, 16).map_err(|_| invalid("chunk size is no number"))
}

/// Head, its length and the minor version, if it is whole.
fn parse_head(bytes: &[u8]) -> std::io::Result<Option<(ResponseHead, usize, u8)>> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes);
    let status = parsed.map_err(|error| {
        std::io::Error::new(std::io::ErrorKind::InvalidData, format!("head: {error}"))
    })?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let names = response.headers.iter().map(|header| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_ascii_lowercase(), value)
    });
    let head = ResponseHead {
        status: response.code.unwrap_or(0),
        headers: names.collect(),
    };
    Ok(Some((head, length, response.version.unwrap_or(0))))
}

fn framing_of(head: &ResponseHead, bodyless: bool) -> std::io::Result<Framing> {
    if bodyless || head.status == 204 || head.status == 304 {
        return Ok(Framing::Length(0));
    }
    if let Some(coding) = head.header("transfer-encoding") {
        if coding.trim().eq_ignore_ascii_case("chunked") {
            return Ok(Framing::Chunked(Chunk::Size));
        }
        return Err(invalid("unknown transfer coding"));
    }
    let mut lengths = head
        .headers
        .iter()
        .filter(|(name, _)| name == "content-length")
        .map(|(_, value)| value.trim().parse::<u64>());
    match lengths.next() {
        None => Ok(Framing::Close),
        Some(Ok(length)) if lengths.all(|other| other == Ok(length)) => Ok(Framing::Length(length)),
        Some(_) => Err(invalid("content length")),
    }
}
