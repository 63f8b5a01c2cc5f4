//! HTTP/1.1 server: one task per connection.

use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use futures_util::future::{select, Either};
use futures_util::StreamExt;
use monoio::io::Splitable;
use monoio::net::{TcpListener, TcpStream};
use peatgrade_schema::engine::Problem;
use peatgrade_types::http::{HttpRequest, ResponseHead, ResponsePart};
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::Duration;

use crate::event_loop::yield_now;
use crate::lingering_close::discard_incoming;
use crate::memory_budget::Reservation;
use crate::read_state::ReadState;
use crate::request_reader::{ReadError, ReceivedRequest, RequestReader, CONNECTION_BYTES};
use crate::responder::{held_bytes, Responder, ResponseQueue};
use crate::response_writer::ResponseWriter;
use crate::server_limits::{ServerControl, ServerLimits};
use crate::server_shutdown::ConnectionGuard;

/// `Retry-After` of requests that are rejected because the memory budget is exhausted.
/// Stalled callers may be disconnected sooner, which frees memory.
const BUDGET_RETRY_AFTER_S: &str = "1";

/// A received request and the channel for its response.
pub struct Incoming {
    pub request: HttpRequest,
    /// Limits in force when the head of the request arrived.
    pub limits: ServerLimits,
    /// Receives the parts of the response. Closed when the caller disconnects.
    pub responder: Responder,
}

/// Accepts connections and sends complete requests to `requests`.
pub async fn serve(listener: TcpListener, requests: UnboundedSender<Incoming>) {
    serve_with_control(listener, requests, ServerControl::default()).await;
}

/// Like [`serve`], with limits and shutdown set by `control`.
pub async fn serve_with_control(
    listener: TcpListener,
    requests: UnboundedSender<Incoming>,
    control: ServerControl,
) {
    // The accept loop is counted as well: it may accept one more connection before it
    // observes the shutdown.
    let _guard = control.shutdown.count_connection();
    loop {
        let accepting = listener.accept();
        futures_util::pin_mut!(accepting);
        let accepted = control.shutdown.until_shutdown(accepting, || true).await;
        let Some(accepted) = accepted else {
            return;
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                if let Some(admitted) = admit(&control).await {
                    monoio::spawn(serve_connection(
                        stream,
                        requests.clone(),
                        control.clone(),
                        admitted,
                    ));
                }
            }
            Err(error) => {
                log::warn!("step=accept error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// What a connection holds while it is open.
struct Admitted {
    state: Rc<ReadState>,
    _memory: Reservation,
    _guard: ConnectionGuard,
}

/// Admits a connection if there is room for it, for which others may be closed.
async fn admit(control: &ServerControl) -> Option<Admitted> {
    let state = ReadState::new(control.limits.clone(), &control.budget);
    state.await_request();
    let mut memory = control.budget.reservation();
    let has_memory = memory.grow_upload(CONNECTION_BYTES).is_ok();
    if !has_memory {
        log::warn!("decision=refuse-connection reason=memory");
    }
    let is_admitted = has_memory && control.connections.admit(&state);
    // Lets connections that were closed for this one end before the next one is accepted.
    yield_now().await;
    if !is_admitted {
        control.connections.record_refused();
        return None;
    }
    Some(Admitted {
        state,
        _memory: memory,
        _guard: control.shutdown.count_connection(),
    })
}

async fn serve_connection(
    stream: TcpStream,
    requests: UnboundedSender<Incoming>,
    control: ServerControl,
    admitted: Admitted,
) {
    let socket = stream.as_raw_fd();
    let (read_half, write_half) = stream.into_split();
    let state = admitted.state.clone();
    let mut reader = RequestReader::new(read_half, state.clone());
    let mut writer = ResponseWriter::new(write_half);
    let mut next = None;
    loop {
        let read = match next.take() {
            Some(read) => read,
            None => {
                let before = state.total();
                state.await_request();
                let reading = reader.read_request();
                futures_util::pin_mut!(reading);
                let is_idle = || state.total() == before;
                let read = control.shutdown.until_shutdown(reading, is_idle).await;
                read.unwrap_or(Err(ReadError::Closed))
            }
        };
        let ReceivedRequest {
            request,
            limits,
            reserved,
        } = match read {
            Ok(received) => received,
            Err(ReadError::Closed | ReadError::TimedOut) => return,
            Err(ReadError::Rejected {
                status,
                kind,
                detail,
            }) => {
                reader.release_buffers();
                reject(&mut writer, status, kind, detail).await;
                // The reader owns the read half, which keeps the socket open.
                return discard_incoming(socket, || state.is_interrupted()).await;
            }
        };
        let close = request
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let (responder, queue) = Responder::new(&control.budget, reserved);
        let ResponseQueue {
            mut parts,
            backlog,
            mut disconnected,
        } = queue;
        writer.set_backlog(backlog.clone());
        if requests
            .unbounded_send(Incoming {
                request,
                limits,
                responder,
            })
            .is_err()
        {
            return;
        }
        // The connection is read while the response is pending, to detect that the caller
        // disconnects. A pipelined request is kept for later.
        let before = state.total();
        state.await_response();
        let reading = reader.read_request();
        futures_util::pin_mut!(reading);
        let mut reading = Some(reading);
        let mut pipelined = None;
        let mut response = ResponseState::default();
        let keep_alive = loop {
            let part = match reading.take() {
                None => parts.next().await,
                Some(pending) => match select(parts.next(), pending).await {
                    Either::Left((part, pending)) => {
                        reading = Some(pending);
                        part
                    }
                    Either::Right((Err(ReadError::Closed), _)) => return,
                    Either::Right((read, _)) => {
                        pipelined = Some(read);
                        continue;
                    }
                },
            };
            if backlog.is_disconnected() {
                return;
            }
            // A pipelined request is answered before the connection is closed.
            let last = close || (control.draining.get() && pipelined.is_none());
            let writing = response.write(&mut writer, part, last);
            futures_util::pin_mut!(writing);
            let written = match select(writing, &mut disconnected).await {
                Either::Left((written, _)) => written,
                Either::Right(_) => return,
            };
            match written {
                Ok(Progress::More(bytes)) => backlog.on_written(bytes),
                Ok(Progress::Done) => break !last,
                Err(_) => break false,
            }
        };
        if !keep_alive {
            return;
        }
        next = match (pipelined, reading) {
            (Some(read), _) => Some(read),
            (None, Some(pending)) => {
                state.await_request();
                let is_idle = || state.total() == before;
                let read = control.shutdown.until_shutdown(pending, is_idle).await;
                Some(read.unwrap_or(Err(ReadError::Closed)))
            }
            (None, None) => None,
        };
    }
}

enum Progress {
    /// Bytes of the body that were written; more parts follow.
    More(usize),
    Done,
}

/// A response being written. A body of a single part is sent with a `content-length`, unless
/// it is an event stream; any other body is chunked.
#[derive(Default)]
struct ResponseState {
    head: Option<ResponseHead>,
    first: Option<Bytes>,
    is_chunked: bool,
}

impl ResponseState {
    async fn write<W: monoio::io::AsyncWriteRent>(
        &mut self,
        writer: &mut ResponseWriter<W>,
        part: Option<ResponsePart>,
        close: bool,
    ) -> std::io::Result<Progress> {
        match part {
            Some(ResponsePart::Head(head)) => {
                if head.is_event_stream() {
                    writer.begin_chunked(&head, Bytes::new()).await?;
                    self.is_chunked = true;
                }
                self.head = Some(head);
            }
            Some(ResponsePart::Data(data)) if self.is_chunked => {
                let held = held_bytes(&data);
                writer.write_chunk(data).await?;
                return Ok(Progress::More(held));
            }
            Some(ResponsePart::Data(data)) => match self.first.take() {
                None => self.first = Some(data),
                Some(first) => {
                    let head = self.head.take().unwrap_or_default();
                    let held = held_bytes(&first) + held_bytes(&data);
                    writer.begin_chunked(&head, first).await?;
                    writer.write_chunk(data).await?;
                    self.is_chunked = true;
                    return Ok(Progress::More(held));
                }
            },
            Some(ResponsePart::End) if self.is_chunked => {
                writer.end_chunked().await?;
                return Ok(Progress::Done);
            }
            Some(ResponsePart::End) => {
                let head = self.head.take().unwrap_or_default();
                let body = self.first.take().unwrap_or_default();
                writer.write_complete(&head, body, close).await?;
                return Ok(Progress::Done);
            }
            // The connection is closed without ending the body, so that the caller detects the
            // truncation.
            Some(ResponsePart::Failed(failure)) => return Err(std::io::Error::other(failure)),
            None => {
                return Err(std::io::Error::other(
                    "response channel closed before the end of the response",
                ))
            }
        }
        Ok(Progress::More(0))
    }
}

async fn reject<W: monoio::io::AsyncWriteRent>(
    writer: &mut ResponseWriter<W>,
    status: u16,
    kind: &str,
    detail: String,
) {
    let problem = Problem {
        type_: format!("urn:peatgrade:problem:{kind}"),
        title: kind.replace('-', " "),
        status,
        detail,
        outcome: String::new(),
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut head = ResponseHead::new(status, "application/problem+json");
    if status == 503 {
        head.headers
            .push(("retry-after".into(), BUDGET_RETRY_AFTER_S.into()));
    }
    let _ = writer.write_complete(&head, body.into(), true).await;
}
