//! Reads HTTP/1.1 responses from servers.
//!
//! Heads are parsed by `httparse`; status and framing are checked here. Surplus bytes are not taken
//! for the next response, and a body that is delimited by the end of its connection is complete
//! only if the connection ended in order.

use bytes::{Buf, BytesMut};
use monoio::io::AsyncReadRent;
use peatgrade_types::http::ResponseHead;
use std::ops::RangeInclusive;

use crate::body_decoder::{invalid, BodyDecoder, BodyPart, Framing};

const MAX_HEADERS: usize = 96;
const MAX_HEAD_BYTES: usize = 64 * 1024;
const READ_BYTES: usize = 8 * 1024;

/// Statuses of the protocol.
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;
/// Never asked for, and followed by bytes of another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Reads one response after another from a connection.
pub(crate) struct ResponseReader<R> {
    io: R,
    buffer: BytesMut,
    read_buffer: Option<Vec<u8>>,
    body: BodyDecoder,
    /// The connection may carry another request.
    reusable: bool,
    /// Error found after data that was returned first.
    pending_error: Option<std::io::Error>,
}

impl<R: AsyncReadRent> ResponseReader<R> {
    pub fn new(io: R) -> Self {
        Self {
            io,
            buffer: BytesMut::new(),
            read_buffer: None,
            body: BodyDecoder::new(Framing::EMPTY),
            reusable: true,
            pending_error: None,
        }
    }

    /// Whether the connection can be reused after the last response.
    pub fn reusable(&self) -> bool {
        self.reusable && self.buffer.is_empty()
    }

    /// Whether buffered bytes remain to be returned.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Releases the buffers of a connection that becomes idle.
    pub fn release_buffers(&mut self) {
        self.read_buffer = None;
        self.buffer = BytesMut::new();
    }

    /// Reads more bytes into the buffer; returns 0 at the end of the connection.
    pub async fn fill(&mut self) -> std::io::Result<usize> {
        let read_buffer = self.read_buffer.take();
        let buffer = read_buffer.unwrap_or_else(|| vec![0; READ_BYTES]);
        let (result, buffer) = self.io.read(buffer).await;
        let count = result?;
        self.buffer.extend_from_slice(&buffer[..count]);
        self.read_buffer = Some(buffer);
        Ok(count)
    }

    /// Reads a response head, skipping interim (1xx) responses.
    pub async fn read_head(&mut self, bodyless: bool) -> std::io::Result<ResponseHead> {
        let mut skipped = 0;
        loop {
            if let Some((head, length, minor)) = parse_head(&self.buffer)? {
                self.buffer.advance(length);
                skipped += length;
                if head.status / 100 == 1 && skipped > MAX_HEAD_BYTES {
                    return Err(invalid("interim responses are larger than 64 KiB"));
                }
                if head.status / 100 == 1 {
                    continue;
                }
                self.body = BodyDecoder::new(framing_of(&head, bodyless)?);
                let close = head
                    .header("connection")
                    .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
                self.reusable = !close && minor == 1 && !self.body.lasts_until_close();
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid("response head is larger than 64 KiB"));
            }
            if self.fill().await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next part of the body.
    pub async fn next_body_part(&mut self) -> std::io::Result<BodyPart> {
        loop {
            if let Some(part) = self.buffered_part()? {
                return Ok(part);
            }
            if self.fill().await? == 0 {
                return match self.body.lasts_until_close() {
                    true => Ok(BodyPart::End),
                    false => Err(std::io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn buffered_part(&mut self) -> std::io::Result<Option<BodyPart>> {
        match self.body.is_chunked() {
            true => self.buffered_chunks(),
            false => self.body.decode(&mut self.buffer),
        }
    }

    /// Returns the data of all buffered chunks as one part. A server may send chunks of a few bytes,
    /// and each part costs its receiver far more than its bytes do.
    fn buffered_chunks(&mut self) -> std::io::Result<Option<BodyPart>> {
        if let Some(error) = self.pending_error.take() {
            return Err(error);
        }
        let Some(BodyPart::Data(first)) = self.body.decode(&mut self.buffer)? else {
            return Ok(self.body.end());
        };
        let mut more = BytesMut::new();
        while self.body.is_chunked() {
            match self.body.decode(&mut self.buffer) {
                Ok(Some(BodyPart::Data(data))) => more.extend_from_slice(&data),
                Ok(_) => break,
                Err(error) => {
                    self.pending_error = Some(error);
                    break;
                }
            }
        }
        if more.is_empty() {
            return Ok(Some(BodyPart::Data(first)));
        }
        let joined = [&first[..], &more[..]].concat();
        Ok(Some(BodyPart::Data(joined.into())))
    }
}

/// Parses a response head. Returns the head, its length in bytes and the minor HTTP version,
/// or `None` if it is incomplete.
fn parse_head(bytes: &[u8]) -> std::io::Result<Option<(ResponseHead, usize, u8)>> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes);
    let status = parsed.map_err(|error| {
        std::io::Error::new(
            std::io::ErrorKind::InvalidData,
            format!("cannot parse response head: {error}"),
        )
    })?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let names = response.headers.iter().map(|header| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_ascii_lowercase(), value)
    });
    let status = response.code.unwrap_or(0);
    let is_valid = VALID_STATUSES.contains(&status) && status != SWITCHING_PROTOCOLS;
    if !is_valid {
        return Err(std::io::Error::new(
            std::io::ErrorKind::InvalidData,
            format!("status {status:03} is not valid"),
        ));
    }
    let head = ResponseHead {
        status,
        headers: names.collect(),
    };
    Ok(Some((head, length, response.version.unwrap_or(0))))
}

fn framing_of(head: &ResponseHead, bodyless: bool) -> std::io::Result<Framing> {
    if bodyless || head.status == 204 || head.status == 304 {
        return Ok(Framing::EMPTY);
    }
    let values = |wanted: &'static str| {
        let headers = head.headers.iter().filter(move |(name, _)| name == wanted);
        headers.map(|(_, value)| value.trim())
    };
    let mut codings = values("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => {}
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => {
            return Ok(Framing::CHUNKED);
        }
        _ => return Err(invalid("unsupported transfer-encoding")),
    }
    let mut lengths = values("content-length").map(parse_length);
    match lengths.next() {
        None => Ok(Framing::UntilClose),
        Some(Some(length)) if lengths.all(|other| other == Some(length)) => {
            Ok(Framing::Length(length))
        }
        Some(_) => Err(invalid("content-length is invalid or conflicting")),
    }
}

/// Parses a length, which has neither sign nor blanks.
fn parse_length(value: &str) -> Option<u64> {
    let is_number = value.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| value.parse().ok()).flatten()
}
