//! Writing responses.
//!
//! Requests, and responses of back ends, are read and requests written by
//! `monoio-http`. Responses are written here, since the library's encoder
//! holds small pieces of a streamed body back until 8 KiB are together, which
//! would delay server-sent events.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use monoio::io::AsyncWriteRent;
use peatgrade_types::http::ResponseHead;
use std::io::ErrorKind;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use crate::responder::ResponseBacklog;

fn reason(status: u16) -> &'static str {
    let known = http::StatusCode::from_u16(status).ok();
    known
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown")
}

fn write_head(head: &ResponseHead, framing: &str, close: bool, into: &mut BytesMut) {
    into.put_slice(format!("HTTP/1.1 {} {}\r\n", head.status, reason(head.status)).as_bytes());
    for (name, value) in &head.headers {
        let sound = !value.bytes().any(|byte| byte == b'\r' || byte == b'\n');
        if sound {
            into.put_slice(format!("{name}: {value}\r\n").as_bytes());
        }
    }
    into.put_slice(framing.as_bytes());
    if close {
        into.put_slice(b"connection: close\r\n");
    }
    into.put_slice(b"\r\n");
}

/// A caller that takes nothing of its answer for this long has left, or will never read:
/// callers give up a stream that pauses for some seconds.
const PATIENCE: Duration = Duration::from_secs(5);

/// Writes one response at a time to its connection.
pub(crate) struct ResponseWriter<W> {
    io: W,
    /// Where it notes that the caller does not read.
    unread: Option<Rc<ResponseBacklog>>,
}

impl<W: AsyncWriteRent> ResponseWriter<W> {
    pub fn new(io: W) -> Self {
        Self { io, unread: None }
    }

    /// What is written from here on belongs to another answer.
    pub fn answers(&mut self, unread: Rc<ResponseBacklog>) {
        self.unread = Some(unread);
    }

    /// Writes all, as long as the caller goes on reading.
    async fn write(&mut self, mut bytes: Bytes) -> std::io::Result<()> {
        while !bytes.is_empty() {
            let writing = self.io.write(bytes.clone());
            futures_util::pin_mut!(writing);
            // Most writes are taken at once and need no timer.
            if let Poll::Ready((result, _)) = futures_util::poll!(&mut writing) {
                bytes.advance(result?);
                continue;
            }
            if let Some(unread) = &self.unread {
                unread.waits();
            }
            let waited = monoio::time::timeout(PATIENCE, writing).await;
            if let Some(unread) = &self.unread {
                unread.moves();
            }
            let (result, _) = waited.map_err(|_| std::io::Error::from(ErrorKind::TimedOut))?;
            bytes.advance(result?);
        }
        Ok(())
    }

    /// Writes a response whose body is known.
    pub async fn whole(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
        close: bool,
    ) -> std::io::Result<()> {
        let mut bytes = BytesMut::with_capacity(256 + body.len());
        write_head(
            head,
            &format!("content-length: {}\r\n", body.len()),
            close,
            &mut bytes,
        );
        bytes.put_slice(body);
        self.write(bytes.freeze()).await
    }

    /// Begins a response whose body follows in pieces.
    pub async fn begin(&mut self, head: &ResponseHead, first: &[u8]) -> std::io::Result<()> {
        let mut bytes = BytesMut::with_capacity(512 + first.len());
        write_head(head, "transfer-encoding: chunked\r\n", false, &mut bytes);
        put_chunk(first, &mut bytes);
        self.write(bytes.freeze()).await
    }

    /// Writes a piece.
    pub async fn piece(&mut self, data: &Bytes) -> std::io::Result<()> {
        let mut bytes = BytesMut::with_capacity(16 + data.len());
        put_chunk(data, &mut bytes);
        self.write(bytes.freeze()).await
    }

    /// Ends a response in pieces.
    pub async fn end(&mut self) -> std::io::Result<()> {
        let last = Bytes::from_static(b"0\r\n\r\n");
        self.write(last).await
    }
}

fn put_chunk(data: &[u8], into: &mut BytesMut) {
    if data.is_empty() {
        return;
    }
    into.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    into.put_slice(data);
    into.put_slice(b"\r\n");
}
