//! Writes HTTP/1.1 responses.
//!
//! Parts of a streamed body are written as they come, so that server-sent events are not delayed.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use monoio::io::AsyncWriteRent;
use peatgrade_types::http::ResponseHead;
use std::io::ErrorKind;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use crate::responder::ResponseBacklog;

fn reason_phrase(status: u16) -> &'static str {
    let known = http::StatusCode::from_u16(status).ok();
    known
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown")
}

fn write_head(head: &ResponseHead, framing: &str, close: bool, into: &mut BytesMut) {
    into.put_slice(
        format!(
            "HTTP/1.1 {} {}\r\n",
            head.status,
            reason_phrase(head.status)
        )
        .as_bytes(),
    );
    for (name, value) in &head.headers {
        let is_valid = !value.bytes().any(|byte| byte == b'\r' || byte == b'\n');
        if is_valid {
            into.put_slice(format!("{name}: {value}\r\n").as_bytes());
        }
    }
    into.put_slice(framing.as_bytes());
    if close {
        into.put_slice(b"connection: close\r\n");
    }
    into.put_slice(b"\r\n");
}

/// Longest time that a write may be blocked by a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Most data that is copied to be written with one call.
const MAX_COPIED_BYTES: usize = 64 * 1024;

/// Writes one response at a time to its connection.
pub(crate) struct ResponseWriter<W> {
    io: W,
    /// Backlog of the current response.
    backlog: Option<Rc<ResponseBacklog>>,
}

impl<W: AsyncWriteRent> ResponseWriter<W> {
    pub fn new(io: W) -> Self {
        Self { io, backlog: None }
    }

    /// Sets the backlog of the next response.
    pub fn set_backlog(&mut self, backlog: Rc<ResponseBacklog>) {
        self.backlog = Some(backlog);
    }

    /// Writes all bytes; fails if the caller reads nothing for [`WRITE_TIMEOUT`].
    async fn write(&mut self, mut bytes: Bytes) -> std::io::Result<()> {
        while !bytes.is_empty() {
            let writing = self.io.write(bytes.clone());
            futures_util::pin_mut!(writing);
            // Most writes complete at once and need no timer.
            if let Poll::Ready((result, _)) = futures_util::poll!(&mut writing) {
                bytes.advance(result?);
                continue;
            }
            if let Some(backlog) = &self.backlog {
                backlog.on_write_blocked();
            }
            let waited = monoio::time::timeout(WRITE_TIMEOUT, writing).await;
            if let Some(backlog) = &self.backlog {
                backlog.on_write_unblocked();
            }
            let (result, _) = waited.map_err(|_| std::io::Error::from(ErrorKind::TimedOut))?;
            bytes.advance(result?);
        }
        Ok(())
    }

    /// Writes a complete response with a `content-length`.
    pub async fn write_complete(
        &mut self,
        head: &ResponseHead,
        body: Bytes,
        close: bool,
    ) -> std::io::Result<()> {
        let framing = format!("content-length: {}\r\n", body.len());
        let mut bytes = BytesMut::with_capacity(256 + copied_length(&body));
        write_head(head, &framing, close, &mut bytes);
        if copied_length(&body) < body.len() {
            self.write(bytes.freeze()).await?;
            return self.write(body).await;
        }
        bytes.put_slice(&body);
        self.write(bytes.freeze()).await
    }

    /// Begins a chunked response with the first bytes of its body.
    pub async fn begin_chunked(
        &mut self,
        head: &ResponseHead,
        first: Bytes,
    ) -> std::io::Result<()> {
        let mut bytes = BytesMut::with_capacity(512 + copied_length(&first));
        write_head(head, "transfer-encoding: chunked\r\n", false, &mut bytes);
        self.write_chunk_after(bytes, first).await
    }

    /// Writes a chunk of the body.
    pub async fn write_chunk(&mut self, data: Bytes) -> std::io::Result<()> {
        let bytes = BytesMut::with_capacity(16 + copied_length(&data));
        self.write_chunk_after(bytes, data).await
    }

    async fn write_chunk_after(&mut self, mut bytes: BytesMut, data: Bytes) -> std::io::Result<()> {
        if !data.is_empty() {
            bytes.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
        }
        if copied_length(&data) < data.len() {
            self.write(bytes.freeze()).await?;
            self.write(data).await?;
            return self.write(Bytes::from_static(b"\r\n")).await;
        }
        if !data.is_empty() {
            bytes.put_slice(&data);
            bytes.put_slice(b"\r\n");
        }
        self.write(bytes.freeze()).await
    }

    /// Ends a chunked response.
    pub async fn end_chunked(&mut self) -> std::io::Result<()> {
        let last = Bytes::from_static(b"0\r\n\r\n");
        self.write(last).await
    }
}

/// Bytes of `data` that are copied to be written together with what precedes them: all or, if
/// that would hold much memory twice, none.
fn copied_length(data: &Bytes) -> usize {
    Some(data.len())
        .filter(|length| *length <= MAX_COPIED_BYTES)
        .unwrap_or(0)
}
