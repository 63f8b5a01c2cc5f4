//! Reads HTTP requests within the limits of the server.
//!
//! Bodies are decoded into one buffer as they arrive. A decoder that keeps each chunk as an object
//! of its own would hold many times the memory of a small chunk's bytes.

use bytes::{Buf, BytesMut};
use monoio::io::AsyncReadRent;
use monoio::time::Instant;
use peatgrade_types::http::HttpRequest;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use crate::body_decoder::{BodyDecoder, BodyPart};
use crate::event_loop::yield_now;
use crate::memory_budget::Reservation;
use crate::read_state::{Interrupt, ReadState};
use crate::request_head::RequestHead;
use crate::server_limits::ServerLimits;

/// Longest time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time until a deadline is worked out again from the limits in force.
const MAX_DEADLINE_AGE: Duration = Duration::from_secs(2);
/// Time past the deadline in which what has already arrived is read.
const LAST_CHANCE: Duration = Duration::from_millis(100);

/// Bytes of one read.
const READ_BYTES: usize = 8 * 1024;
/// Bytes of one read while more than that is known to come.
const LARGE_READ_BYTES: usize = 64 * 1024;
/// Reads of a body before other tasks get a turn. A caller that sends faster than the body is
/// read would keep this thread busy otherwise.
const READS_PER_TURN: u32 = 16;
/// Memory of a connection without a request: its task and its buffers.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// Copies of a head: as read, as sent to an engine, and as serialized.
const HEAD_COPIES: usize = 3;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// Why no request could be read from a connection.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection was closed.
    Closed,
    /// The request did not arrive in time.
    TimedOut,
    /// The request is rejected with this response.
    Rejected {
        status: u16,
        kind: &'static str,
        detail: String,
    },
}

/// A request and the limits in force when its head arrived.
pub(crate) struct ReceivedRequest {
    pub request: HttpRequest,
    pub limits: ServerLimits,
    /// Memory of the request.
    pub reserved: Reservation,
}

/// Reads one request after another from a connection.
pub(crate) struct RequestReader<R> {
    io: R,
    state: Rc<ReadState>,
    /// Bytes that were read and not decoded.
    buffer: BytesMut,
    read_buffer: Option<Vec<u8>>,
}

impl<R: AsyncReadRent> RequestReader<R> {
    pub fn new(io: R, state: Rc<ReadState>) -> Self {
        Self {
            io,
            state,
            buffer: BytesMut::new(),
            read_buffer: None,
        }
    }

    /// Frees all buffers. No further request is read.
    pub fn release_buffers(&mut self) {
        self.buffer = BytesMut::new();
        self.read_buffer = None;
        self.state.release_request();
    }

    /// Reads the next complete request, within the limits in force.
    pub async fn read_request(&mut self) -> Result<ReceivedRequest, ReadError> {
        let state = self.state.clone();
        // Releases the larger buffer of which the rest of the last read may be a part.
        self.buffer = BytesMut::from(&self.buffer[..]);
        state.begin_request(!self.buffer.is_empty());
        let read = within_head_deadline(self.read_head(), &state).await;
        let head = read.unwrap_or(Err(ReadError::TimedOut))?;
        let limits = state.limits();
        if head.length() > limits.max_head_bytes {
            return Err(too_large(&limits, Part::Head));
        }
        let Some(framing) = head.framing() else {
            return Err(ReadError::Rejected {
                status: 400,
                kind: "ambiguous-length",
                detail: "the length of the request can be read in more than one way".into(),
            });
        };
        let reading = self.read_body(BodyDecoder::new(framing), &limits);
        let read = monoio::time::timeout(BODY_TIMEOUT, reading).await;
        read.unwrap_or(Err(ReadError::TimedOut))?;
        let held = head.held_bytes() * HEAD_COPIES;
        state.reserve(held).map_err(|_| no_room())?;
        let (body, reserved) = state.take_request();
        let request = HttpRequest {
            method: head.method,
            path: head.path,
            headers: head.headers,
            body,
        };
        Ok(ReceivedRequest {
            request,
            limits,
            reserved,
        })
    }

    async fn read_head(&mut self) -> Result<RequestHead, ReadError> {
        // Bytes that do not contain the end of the head, so that each byte is searched once.
        let mut searched = 0;
        let mut reserved = self.buffer.len().saturating_sub(READ_BYTES);
        self.state.reserve(reserved).map_err(|_| no_room())?;
        loop {
            let rest = &self.buffer[searched..];
            let has_end = rest.windows(END_OF_HEAD.len()).any(|w| w == END_OF_HEAD);
            if has_end {
                let parsed = RequestHead::parse(&self.buffer).map_err(malformed)?;
                if let Some(head) = parsed {
                    self.buffer.advance(head.wire_length);
                    self.state.release(reserved);
                    return Ok(head);
                }
            }
            searched = self.buffer.len().saturating_sub(END_OF_HEAD.len() - 1);
            let limits = self.state.limits();
            if self.buffer.len() > limits.max_head_bytes {
                return Err(too_large(&limits, Part::Head));
            }
            let count = self.fill(READ_BYTES).await?;
            if self.buffer.len() > READ_BYTES {
                self.state.reserve(count).map_err(|_| no_room())?;
                reserved += count;
            }
        }
    }

    async fn read_body(
        &mut self,
        mut decoder: BodyDecoder,
        limits: &ServerLimits,
    ) -> Result<(), ReadError> {
        let limit = limits.max_body_bytes;
        let (mut reads, mut is_flowing) = (0, false);
        loop {
            let part = decoder.decode(&mut self.buffer);
            let part = part.map_err(|error| malformed(error.to_string()))?;
            let announced = usize::try_from(decoder.announced_bytes()).unwrap_or(usize::MAX);
            let data = match part {
                Some(BodyPart::End) => return Ok(()),
                Some(BodyPart::Data(data)) => data,
                None => Default::default(),
            };
            let length = self.state.body_length().saturating_add(data.len());
            if length.saturating_add(announced) > limit {
                return Err(too_large(limits, Part::Body));
            }
            if !data.is_empty() {
                let expected = data.len() + announced;
                let appended = self.state.append_body(&data, expected, limit);
                appended.map_err(|_| no_room())?;
                continue;
            }
            reads += 1;
            if reads % READS_PER_TURN == 0 {
                yield_now().await;
            }
            is_flowing = if is_flowing && announced >= LARGE_READ_BYTES {
                self.fill_large().await? == LARGE_READ_BYTES
            } else {
                self.fill(READ_BYTES).await? == READ_BYTES
            };
        }
    }

    /// Reads with a larger buffer, which is not kept.
    async fn fill_large(&mut self) -> Result<usize, ReadError> {
        // Once as read and once as decoded.
        let reserved = 2 * LARGE_READ_BYTES;
        self.state.reserve(reserved).map_err(|_| no_room())?;
        let small_buffer = self.read_buffer.take();
        let count = self.fill(LARGE_READ_BYTES).await?;
        self.read_buffer = small_buffer;
        self.state.release(reserved);
        Ok(count)
    }

    /// Reads up to `size` bytes into the buffer. Returns their number, which is not 0.
    async fn fill(&mut self, size: usize) -> Result<usize, ReadError> {
        let read_buffer = self
            .read_buffer
            .take()
            .filter(|buffer| buffer.len() == size);
        let reading = self.io.read(read_buffer.unwrap_or_else(|| vec![0; size]));
        futures_util::pin_mut!(reading);
        let state = &self.state;
        let (result, read_buffer) = poll_fn(|context| match state.poll_interrupt(context) {
            Some(Interrupt::BodyDiscarded) => Poll::Ready(Err(no_room())),
            Some(Interrupt::ConnectionClosed) => Poll::Ready(Err(ReadError::Closed)),
            None => reading.as_mut().poll(context).map(Ok),
        })
        .await?;
        let count = result.map_err(|_| ReadError::Closed)?;
        if count == 0 {
            return Err(ReadError::Closed);
        }
        self.state.record_read(count);
        if self.buffer.is_empty() {
            // Releases a buffer that an earlier read has enlarged.
            self.buffer = BytesMut::with_capacity(count);
        }
        self.buffer.extend_from_slice(&read_buffer[..count]);
        self.read_buffer = Some(read_buffer);
        Ok(count)
    }
}

/// Awaits `reading` until the head is due by the limits in force. They may change meanwhile, and
/// do not run while the caller waits for a response. Returns none at the deadline.
async fn within_head_deadline<F: Future>(reading: F, state: &ReadState) -> Option<F::Output> {
    let sleeping = monoio::time::sleep(MAX_DEADLINE_AGE);
    futures_util::pin_mut!(reading, sleeping);
    let mut is_last_chance = false;
    poll_fn(|context| {
        if let Poll::Ready(output) = reading.as_mut().poll(context) {
            return Poll::Ready(Some(output));
        }
        loop {
            let Some(deadline) = state.head_deadline() else {
                return Poll::Pending;
            };
            let now = Instant::now();
            if now < deadline {
                is_last_chance = false;
                sleeping
                    .as_mut()
                    .reset(deadline.min(now + MAX_DEADLINE_AGE));
            } else if is_last_chance && sleeping.is_elapsed() {
                return Poll::Ready(None);
            } else if !is_last_chance {
                // After a pause of the process, the rest may be there and not read yet.
                is_last_chance = true;
                sleeping.as_mut().reset(now + LAST_CHANCE);
            }
            if sleeping.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    })
    .await
}

/// The part of a request that was being read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Part {
    Head,
    Body,
}

fn too_large(limits: &ServerLimits, part: Part) -> ReadError {
    let (status, kind) = match part {
        Part::Head => (431, "head-too-large"),
        Part::Body => (413, "body-too-large"),
    };
    ReadError::Rejected {
        status,
        kind,
        detail: format!(
            "at most {} bytes of head and {} of body",
            limits.max_head_bytes, limits.max_body_bytes
        ),
    }
}

/// The request was not passed on, so the status may promise that it has not run.
fn no_room() -> ReadError {
    ReadError::Rejected {
        status: 503,
        kind: "no-room",
        detail: "this machine holds too much for its callers just now".into(),
    }
}

fn malformed(detail: String) -> ReadError {
    ReadError::Rejected {
        status: 400,
        kind: "malformed-http",
        detail,
    }
}
