//! The server side of HTTP: one task per connection.

use bytes::{Bytes, BytesMut};
use futures_channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures_util::future::{select, Either};
use futures_util::StreamExt;
use monoio::io::stream::Stream as _;
use monoio::io::{AsyncReadRent, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::error::HttpError;
use monoio_http::common::request::Request;
use monoio_http::h1::codec::decoder::{FillPayload, RequestDecoder};
use monoio_http::h1::payload::Payload;
use peatgrade_schema::engine::Problem;
use peatgrade_types::http::{HttpRequest, ResponseHead, ResponsePart};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::response_writer::ResponseWriter;
use crate::server_closing::OpenConnection;
use crate::server_limits::{LimitedReader, ServerControl, ServerLimits, TOO_LARGE};

/// Longest time that a body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// A request with the way to answer it.
pub struct Incoming {
    /// The request.
    pub request: HttpRequest,
    /// Takes the parts of the response. Its other end is dropped when the
    /// caller goes away.
    pub respond: UnboundedSender<ResponsePart>,
}

/// Accepts connections for good and hands whole requests to `requests`.
pub async fn serve(listener: TcpListener, requests: UnboundedSender<Incoming>) {
    serve_controlled(listener, requests, ServerControl::default()).await;
}

/// Like [`serve`], under the control of its owner.
pub async fn serve_controlled(
    listener: TcpListener,
    requests: UnboundedSender<Incoming>,
    control: ServerControl,
) {
    // Counts as open itself: a process that saw no open connection and ended as this was
    // still to learn of the closing read one more request, which got no answer.
    let _accepting = control.closing.count_connection();
    loop {
        let accepting = listener.accept();
        futures_util::pin_mut!(accepting);
        let accepted = control.closing.unless_closed(accepting, || true).await;
        let Some(accepted) = accepted else {
            return;
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let open = control.closing.count_connection();
                monoio::spawn(connection(stream, requests.clone(), control.clone(), open));
            }
            Err(error) => {
                log::warn!("step=accept error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Why no request came out of a connection.
enum ReadEnd {
    Closed,
    Bad {
        status: u16,
        kind: &'static str,
        detail: String,
    },
}

async fn read_request<R: AsyncReadRent>(
    decoder: &mut RequestDecoder<LimitedReader<R>>,
    allowance: &Rc<Cell<usize>>,
    control: &ServerControl,
) -> Result<HttpRequest, ReadEnd> {
    let limits = control.limits.get();
    allowance.set(limits.head_bytes);
    let patience = limits.idle_time + limits.head_time;
    let read = monoio::time::timeout(patience, decoder.next()).await;
    let request = match read {
        Err(_) | Ok(None) => return Err(ReadEnd::Closed),
        Ok(Some(Err(error))) => return Err(bad(&limits, Part::Head, &error)),
        Ok(Some(Ok(request))) => request,
    };
    if head_length(&request) > limits.head_bytes {
        return Err(too_large(&limits, Part::Head));
    }
    if !is_framed_clearly(&request) {
        return Err(ReadEnd::Bad {
            status: 400,
            kind: "ambiguous-length",
            detail: "the length of the request can be read in more than one way".into(),
        });
    }
    if declared_length(&request) > limits.body_bytes {
        return Err(too_large(&limits, Part::Body));
    }
    // The framing of chunks counts as well.
    allowance.set(limits.body_bytes + limits.head_bytes);
    let filled = monoio::time::timeout(BODY_TIMEOUT, decoder.fill_payload()).await;
    match filled {
        Err(_) => return Err(ReadEnd::Closed),
        Ok(Err(error)) => return Err(bad(&limits, Part::Body, &error)),
        Ok(Ok(())) => {}
    }
    let request = to_request(request)
        .await
        .map_err(|error| bad(&limits, Part::Body, &error))?;
    if request.body.len() > limits.body_bytes {
        return Err(too_large(&limits, Part::Body));
    }
    Ok(request)
}

/// The part of a request that was being read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Part {
    Head,
    Body,
}

/// Bytes of a request's head, without its first line's method and version.
fn head_length(request: &Request<Payload>) -> usize {
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    let path = request
        .uri()
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    path + headers.sum::<usize>()
}

/// Whether the length of a request can be read in one way only. Otherwise what
/// one side takes for its body may be another request to the other side.
fn is_framed_clearly(request: &Request<Payload>) -> bool {
    let headers = request.headers();
    let lengths: Vec<&[u8]> = headers
        .get_all(http::header::CONTENT_LENGTH)
        .iter()
        .map(|value| value.as_bytes())
        .collect();
    let codings: Vec<&[u8]> = headers
        .get_all(http::header::TRANSFER_ENCODING)
        .iter()
        .map(|value| value.as_bytes())
        .collect();
    let digits = |value: &&[u8]| !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => true,
        ([length], []) => digits(length),
        ([], [coding]) => coding.eq_ignore_ascii_case(b"chunked"),
        _ => false,
    }
}

fn declared_length(request: &Request<Payload>) -> usize {
    let value = request.headers().get(http::header::CONTENT_LENGTH);
    let parsed = value.and_then(|value| value.to_str().ok()?.parse().ok());
    parsed.unwrap_or(0)
}

fn too_large(limits: &ServerLimits, part: Part) -> ReadEnd {
    let (status, kind) = match part {
        Part::Head => (431, "head-too-large"),
        Part::Body => (413, "body-too-large"),
    };
    ReadEnd::Bad {
        status,
        kind,
        detail: format!(
            "at most {} bytes of head and {} of body",
            limits.head_bytes, limits.body_bytes
        ),
    }
}

fn bad(limits: &ServerLimits, part: Part, error: &HttpError) -> ReadEnd {
    let text = error.to_string();
    if text.contains(TOO_LARGE) {
        return too_large(limits, part);
    }
    if matches!(error, HttpError::IOError(_)) || text.contains("eof") || text.contains("io error") {
        return ReadEnd::Closed;
    }
    ReadEnd::Bad {
        status: 400,
        kind: "malformed-http",
        detail: text,
    }
}

async fn to_request(request: Request<Payload>) -> Result<HttpRequest, HttpError> {
    let (parts, payload) = request.into_parts();
    let body = match payload {
        Payload::None => Bytes::new(),
        Payload::Fixed(mut fixed) => fixed.next().await.transpose()?.unwrap_or_default(),
        Payload::Stream(mut pieces) => {
            let mut whole = BytesMut::new();
            while let Some(piece) = pieces.next().await {
                whole.extend_from_slice(&piece?);
            }
            whole.freeze()
        }
    };
    let headers = parts.headers.iter().map(|(name, value)| {
        let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_string(), text)
    });
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(HttpRequest {
        method: parts.method.as_str().to_string(),
        path: path.to_string(),
        headers: headers.collect(),
        body,
    })
}

async fn connection(
    stream: TcpStream,
    requests: UnboundedSender<Incoming>,
    control: ServerControl,
    _open: OpenConnection,
) {
    let (read_half, write_half) = stream.into_split();
    let allowance = Rc::new(Cell::new(0));
    let total = Rc::new(Cell::new(0));
    let reader = LimitedReader {
        io: read_half,
        allowance: allowance.clone(),
        total: total.clone(),
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
                let read = control.closing.unless_closed(reading, rests).await;
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
                return refuse(&mut writer, status, kind, detail).await;
            }
        };
        let close = request
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let (respond, mut parts) = unbounded();
        if requests
            .unbounded_send(Incoming { request, respond })
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
            // A request that came early is answered, too, before the connection ends.
            let last = close || (control.stopping.get() && early.is_none());
            match response.write(&mut writer, part, last).await {
                Ok(Progress::More) => {}
                Ok(Progress::Done) => break !last,
                Err(_) => break false,
            }
        };
        if !finished {
            return;
        }
        next = match (early, reading) {
            (Some(read), _) => Some(read),
            (None, Some(pending)) => {
                let rests = || total.get() == before;
                let read = control.closing.unless_closed(pending, rests).await;
                Some(read.unwrap_or(Err(ReadEnd::Closed)))
            }
            (None, None) => None,
        };
    }
}

enum Progress {
    More,
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
            Some(ResponsePart::Data(data)) if self.begun => writer.piece(&data).await?,
            Some(ResponsePart::Data(data)) => match self.first.take() {
                None => self.first = Some(data),
                Some(first) => {
                    let head = self.head.take().unwrap_or_default();
                    writer.begin(&head, &first).await?;
                    writer.piece(&data).await?;
                    self.begun = true;
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
        Ok(Progress::More)
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
    let head = ResponseHead::new(status, "application/problem+json");
    let _ = writer.whole(&head, &body, true).await;
}

/// The receiving end for a request whose parts are wanted elsewhere.
pub type PartReceiver = UnboundedReceiver<ResponsePart>;
