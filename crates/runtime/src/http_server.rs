//! The server side of HTTP: one task per connection.

use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use futures_util::future::{select, Either};
use futures_util::StreamExt;
use monoio::io::Splitable;
use monoio::net::{TcpListener, TcpStream};
use monoio_http::h1::codec::decoder::RequestDecoder;
use peatgrade_schema::engine::Problem;
use peatgrade_types::http::{HttpRequest, ResponseHead, ResponsePart};
use std::cell::{Cell, RefCell};
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::Duration;

use crate::lingering_close::discard_rest;
use crate::request_reader::{read_request, ReadEnd};
use crate::responder::{Responder, ResponseQueue};
use crate::response_writer::ResponseWriter;
use crate::server_limits::{LimitedReader, ServerControl};
use crate::server_shutdown::OpenConnection;

/// When a caller for whose request there was no room may come back, in seconds: callers
/// who do not read are cut off after half of it.
const NO_ROOM_RETRY_S: &str = "1";

/// A request with the way to answer it.
pub struct Incoming {
    /// The request.
    pub request: HttpRequest,
    /// Takes the parts of the response. It is closed when the caller goes away.
    pub responder: Responder,
}

/// Accepts connections for good and hands whole requests to `requests`.
pub async fn serve(listener: TcpListener, requests: UnboundedSender<Incoming>) {
    serve_with_control(listener, requests, ServerControl::default()).await;
}

/// Like [`serve`], under the control of its owner.
pub async fn serve_with_control(
    listener: TcpListener,
    requests: UnboundedSender<Incoming>,
    control: ServerControl,
) {
    // Counts as open itself: a process that saw no open connection and ended as this was
    // still to learn of the closing read one more request, which got no answer.
    let _accepting = control.shutdown.count_connection();
    loop {
        let accepting = listener.accept();
        futures_util::pin_mut!(accepting);
        let accepted = control.shutdown.unless_closed(accepting, || true).await;
        let Some(accepted) = accepted else {
            return;
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let open = control.shutdown.count_connection();
                monoio::spawn(connection(stream, requests.clone(), control.clone(), open));
            }
            Err(error) => {
                log::warn!("step=accept error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn connection(
    stream: TcpStream,
    requests: UnboundedSender<Incoming>,
    control: ServerControl,
    _open: OpenConnection,
) {
    let socket = stream.as_raw_fd();
    let (read_half, write_half) = stream.into_split();
    let allowance = Rc::new(Cell::new(0));
    let total = Rc::new(Cell::new(0));
    let held = Rc::new(RefCell::new(control.budget.share()));
    let reader = LimitedReader {
        io: read_half,
        allowance: allowance.clone(),
        total: total.clone(),
        held: held.clone(),
    };
    let mut decoder = RequestDecoder::new(reader);
    let mut writer = ResponseWriter::new(write_half);
    let mut next = None;
    loop {
        let read = match next.take() {
            Some(read) => read,
            None => {
                let before = total.get();
                let reading = read_request(&mut decoder, &allowance, &control);
                futures_util::pin_mut!(reading);
                let rests = || total.get() == before;
                let read = control.shutdown.unless_closed(reading, rests).await;
                read.unwrap_or(Err(ReadEnd::Closed))
            }
        };
        let request = match read {
            Ok(request) => request,
            Err(ReadEnd::Closed) => return,
            Err(ReadEnd::Bad {
                status,
                kind,
                detail,
            }) => {
                refuse(&mut writer, status, kind, detail).await;
                // The decoder holds the reading half, so the socket is open.
                return discard_rest(socket).await;
            }
        };
        let close = request
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let (responder, queue) = Responder::new(&control.budget);
        let ResponseQueue {
            mut parts,
            unread,
            mut cut_off,
        } = queue;
        writer.answers(unread.clone());
        if requests
            .unbounded_send(Incoming { request, responder })
            .is_err()
        {
            return;
        }
        // While the answer is made, the connection is read on, to see whether
        // the caller goes away; a request that comes early is kept.
        let before = total.get();
        let reading = read_request(&mut decoder, &allowance, &control);
        futures_util::pin_mut!(reading);
        let mut reading = Some(reading);
        let mut early = None;
        let mut response = Response::default();
        let finished = loop {
            let part = match reading.take() {
                None => parts.next().await,
                Some(pending) => match select(parts.next(), pending).await {
                    Either::Left((part, pending)) => {
                        reading = Some(pending);
                        part
                    }
                    Either::Right((Err(ReadEnd::Closed), _)) => return,
                    Either::Right((read, _)) => {
                        early = Some(read);
                        continue;
                    }
                },
            };
            if unread.is_cut_off() {
                return;
            }
            // A request that came early is answered, too, before the connection ends.
            let last = close || (control.draining.get() && early.is_none());
            let writing = response.write(&mut writer, part, last);
            futures_util::pin_mut!(writing);
            let written = match select(writing, &mut cut_off).await {
                Either::Left((written, _)) => written,
                Either::Right(_) => return,
            };
            match written {
                Ok(Progress::More(bytes)) => unread.written(bytes),
                Ok(Progress::Done) => break !last,
                Err(_) => break false,
            }
        };
        // What was read since belongs to the next request.
        held.borrow_mut().shrink_to((total.get() - before) as usize);
        if !finished {
            return;
        }
        next = match (early, reading) {
            (Some(read), _) => Some(read),
            (None, Some(pending)) => {
                let rests = || total.get() == before;
                let read = control.shutdown.unless_closed(pending, rests).await;
                Some(read.unwrap_or(Err(ReadEnd::Closed)))
            }
            (None, None) => None,
        };
    }
}

enum Progress {
    /// So many bytes of the body were written, and more is to follow.
    More(usize),
    Done,
}

/// A response being written. A body that is whole before anything was sent
/// goes out with its length, any other in pieces.
#[derive(Default)]
struct Response {
    head: Option<ResponseHead>,
    first: Option<Bytes>,
    begun: bool,
}

impl Response {
    async fn write<W: monoio::io::AsyncWriteRent>(
        &mut self,
        writer: &mut ResponseWriter<W>,
        part: Option<ResponsePart>,
        close: bool,
    ) -> std::io::Result<Progress> {
        match part {
            Some(ResponsePart::Head(head)) => {
                let streams = head.header("content-type") == Some("text/event-stream");
                if streams {
                    writer.begin(&head, b"").await?;
                    self.begun = true;
                }
                self.head = Some(head);
            }
            Some(ResponsePart::Data(data)) if self.begun => {
                writer.piece(&data).await?;
                return Ok(Progress::More(data.len()));
            }
            Some(ResponsePart::Data(data)) => match self.first.take() {
                None => self.first = Some(data),
                Some(first) => {
                    let head = self.head.take().unwrap_or_default();
                    writer.begin(&head, &first).await?;
                    writer.piece(&data).await?;
                    self.begun = true;
                    return Ok(Progress::More(first.len() + data.len()));
                }
            },
            Some(ResponsePart::End) if self.begun => {
                writer.end().await?;
                return Ok(Progress::Done);
            }
            Some(ResponsePart::End) => {
                let head = self.head.take().unwrap_or_default();
                let body = self.first.take().unwrap_or_default();
                writer.whole(&head, &body, close).await?;
                return Ok(Progress::Done);
            }
            // The connection is closed, so that nobody takes half an answer
            // for a whole one.
            Some(ResponsePart::Failed(failure)) => return Err(std::io::Error::other(failure)),
            None => return Err(std::io::Error::other("no more parts")),
        }
        Ok(Progress::More(0))
    }
}

async fn refuse<W: monoio::io::AsyncWriteRent>(
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
            .push(("retry-after".into(), NO_ROOM_RETRY_S.into()));
    }
    let _ = writer.whole(&head, &body, true).await;
}
