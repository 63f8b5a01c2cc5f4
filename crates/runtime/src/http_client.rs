//! HTTP/1.1 client: one task per request, with a connection pool per thread.

use bytes::{Bytes, BytesMut};
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use futures_util::future::{select, Either};
use monoio::io::{AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponseHead, ResponsePart};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::body_decoder::BodyPart;
use crate::boot_clock::BootInstant;
use crate::connection_pool::{idle_timeout, Connection, ConnectionPool};
use crate::event_loop::yield_now;
use crate::request_writer::{serialize_request, SerializedRequest};
use crate::response_reader::ResponseReader;
use crate::send_options::SendOptions;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Parts of a body that are read before other tasks get a turn. A server that sends faster than
/// the body is read would keep this thread busy otherwise.
const PARTS_PER_TURN: u32 = 16;
/// Header of requests that must not be sent over a pooled connection, which the server may
/// be closing.
const NON_REPEATABLE: &str = "x-non-repeatable";

/// A header that the response has to repeat; without a value if the request does not have it.
struct ExpectedEcho {
    name: &'static str,
    value: Option<String>,
}

impl ExpectedEcho {
    /// Whether the response names a request as this one does. One that names another request is
    /// left to the receiver of the response, who knows both.
    fn is_kept(&self, head: &ResponseHead) -> bool {
        self.value.is_some() == head.header(self.name).is_some()
    }
}

/// HTTP client that delivers response parts to a channel, tagged with the request's `Id`.
pub struct HttpClient<Id> {
    pool: Rc<RefCell<ConnectionPool>>,
    parts: UnboundedSender<(Id, ResponsePart)>,
    read_interval: Rc<Cell<Duration>>,
    /// `None` if connections are not tracked.
    connected: Option<ConnectedList<Id>>,
    /// Header of requests that servers repeat in their responses.
    echoed_header: Option<&'static str>,
}

/// A request that has a connection: its bytes may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectedRequest<Id> {
    pub id: Id,
    /// Time to establish the connection; `None` if it came from the pool.
    pub connect_time: Option<Duration>,
    /// Whether its bytes were sent before over a pooled connection that broke. The server may
    /// have processed them, whatever it answers now.
    pub is_resent: bool,
}

/// Connected requests that [`HttpClient::take_connected`] has not returned yet.
type ConnectedList<Id> = Rc<RefCell<Vec<ConnectedRequest<Id>>>>;

/// Cancels a request when dropped. If [`HttpClient::take_connected`] has not returned the
/// request by then, none of its bytes have been or will be sent.
pub struct CancelOnDrop(#[allow(dead_code)] oneshot::Sender<()>);

impl<Id: Copy + 'static> HttpClient<Id> {
    pub fn new(parts: UnboundedSender<(Id, ResponsePart)>) -> Self {
        Self {
            pool: Rc::default(),
            parts,
            read_interval: Rc::default(),
            connected: None,
            echoed_header: None,
        }
    }

    /// Creates a client that records connected requests for [`Self::take_connected`].
    ///
    /// `echoed_header` is a header of requests that servers repeat in their responses. On a
    /// connection that has served another request, a response that does not repeat it may be a
    /// surplus one of that request: it is none, and the connection is closed. A server that does
    /// not repeat it on a new connection gets a new one for each request.
    pub fn tracking_connections(
        parts: UnboundedSender<(Id, ResponsePart)>,
        echoed_header: Option<&'static str>,
    ) -> Self {
        Self {
            connected: Some(Rc::default()),
            echoed_header,
            ..Self::new(parts)
        }
    }

    /// Returns the requests that got a connection since the last call. One that is sent again is
    /// returned for each connection.
    pub fn take_connected(&self) -> Vec<ConnectedRequest<Id>> {
        let connected = self.connected.as_ref();
        connected.map_or(Vec::new(), |list| std::mem::take(&mut list.borrow_mut()))
    }

    /// Sets the pause between body reads of requests with [`SendOptions::batch_reads`].
    /// The cost of a read hardly depends on its size, so fewer and larger reads save CPU
    /// time with many concurrent streams.
    pub fn set_read_interval(&self, interval: Duration) {
        self.read_interval.set(interval);
    }

    /// Closes idle connections that expired or that the server closed.
    pub fn evict_idle(&self) {
        self.pool.borrow_mut().evict_idle();
    }

    /// Sends a request, which is cancelled when the returned value is dropped.
    pub fn send(
        &self,
        id: Id,
        address: &str,
        request: HttpRequest,
        options: SendOptions,
    ) -> CancelOnDrop {
        let (cancel, cancelled) = oneshot::channel::<()>();
        let exchange = Exchange {
            peer: address.to_string(),
            echoed_header: self.echoed_header,
            options,
            pool: self.pool.clone(),
            read_interval: self.read_interval.clone(),
        };
        let parts = self.parts.clone();
        let connected = self.connected.clone();
        monoio::spawn(async move {
            let emit = |part| {
                let _ = parts.unbounded_send((id, part));
            };
            let on_connected = |connect_time, is_resent| {
                if let Some(list) = &connected {
                    list.borrow_mut().push(ConnectedRequest {
                        id,
                        connect_time,
                        is_resent,
                    });
                }
            };
            let work = exchange.run(request, &on_connected, &emit);
            futures_util::pin_mut!(work);
            // Cancellation is polled first: if the connection is established in the same
            // poll, nothing may be written to it.
            if let Either::Right((Err(failure), _)) = select(cancelled, work).await {
                emit(ResponsePart::Failed(failure));
            }
        });
        CancelOnDrop(cancel)
    }
}

impl<Id> HttpClient<Id> {
    /// Sends a request and waits for the whole response.
    pub async fn fetch(
        &self,
        address: &str,
        request: HttpRequest,
        options: SendOptions,
    ) -> Result<(u16, Bytes), HttpFailure> {
        let exchange = Exchange {
            peer: address.to_string(),
            echoed_header: self.echoed_header,
            options,
            pool: self.pool.clone(),
            read_interval: self.read_interval.clone(),
        };
        let response = RefCell::new((0, BytesMut::new()));
        let emit = |part| match part {
            ResponsePart::Head(head) => response.borrow_mut().0 = head.status,
            ResponsePart::Data(data) => response.borrow_mut().1.extend_from_slice(&data),
            ResponsePart::End | ResponsePart::Failed(_) => {}
        };
        exchange.run(request, &|_, _| {}, &emit).await?;
        let (status, body) = response.into_inner();
        Ok((status, body.freeze()))
    }
}

struct Exchange {
    peer: String,
    echoed_header: Option<&'static str>,
    options: SendOptions,
    pool: Rc<RefCell<ConnectionPool>>,
    read_interval: Rc<Cell<Duration>>,
}

impl Exchange {
    fn failure(&self, step: HttpStep, reason: impl std::fmt::Display) -> HttpFailure {
        HttpFailure {
            peer: self.peer.clone(),
            step,
            reason: reason.to_string(),
        }
    }

    async fn run(
        &self,
        request: HttpRequest,
        on_connected: &impl Fn(Option<Duration>, bool),
        emit: &impl Fn(ResponsePart),
    ) -> Result<(), HttpFailure> {
        let parsed = self.peer.parse::<SocketAddr>();
        let address = parsed.map_err(|error| self.failure(HttpStep::Connect, error))?;
        let needs_new = self.options.new_connection || request.header(NON_REPEATABLE).is_some();
        let serialized = serialize_request(&request, &self.peer);
        let bodyless = request.method == "HEAD";
        let echo = self.echoed_header.map(|name| ExpectedEcho {
            name,
            value: request.header(name).map(str::to_string),
        });
        let pooled = if needs_new {
            None
        } else {
            self.pool.borrow_mut().take(address)
        };
        let mut broken = None;
        if let Some(connection) = pooled {
            // The server may have closed a pooled connection. If it fails before the
            // response head, the request is sent again over a new one.
            on_connected(None, false);
            let sent = self
                .exchange(
                    address,
                    connection,
                    serialized.clone(),
                    bodyless,
                    echo.as_ref(),
                    emit,
                )
                .await;
            match sent {
                Err(failure) if failure.step != HttpStep::Body && !timed_out(&failure) => {
                    // The server may already have been processing the request.
                    log::info!("decision=send-again connection=new error={failure}");
                    broken = Some(failure);
                }
                result => return result,
            }
        }
        // If the second connection fails, the failure of the first one is reported: the
        // server may have processed the request, which a connect error would rule out.
        let is_resent = broken.is_some();
        let started = BootInstant::now();
        let connected = self.connect(address).await;
        let stream = connected.map_err(|failure| broken.unwrap_or(failure))?;
        on_connected(Some(started.elapsed()), is_resent);
        let _ = stream.set_nodelay(true);
        let (read_half, writer) = stream.into_split();
        let connection = Connection {
            reader: ResponseReader::new(read_half),
            writer,
            is_shared: false,
        };
        self.exchange(
            address,
            connection,
            serialized,
            bodyless,
            echo.as_ref(),
            emit,
        )
        .await
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, HttpFailure> {
        let connecting = monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(address));
        match connecting.await {
            Err(_) => Err(self.failure(HttpStep::Connect, TIMEOUT)),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                Err(self.failure(HttpStep::Refused, error))
            }
            Ok(Err(error)) => Err(self.failure(HttpStep::Connect, error)),
            Ok(Ok(stream)) => Ok(stream),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: SerializedRequest,
        bodyless: bool,
        echo: Option<&ExpectedEcho>,
        emit: &impl Fn(ResponsePart),
    ) -> Result<(), HttpFailure> {
        let read_timeout = self.options.read_timeout;
        let (head, sent_whole) = {
            // The server may respond before it has read the whole request.
            let writing = write_request(&mut connection.writer, request);
            let reading =
                monoio::time::timeout(read_timeout, connection.reader.read_head(bodyless));
            futures_util::pin_mut!(writing, reading);
            match select(writing, reading).await {
                Either::Left((Err(error), _)) => {
                    return Err(self.failure(HttpStep::Send, error));
                }
                Either::Left((Ok(()), reading)) => (reading.await, true),
                Either::Right((head, _)) => (head, false),
            }
        };
        let head = match head {
            Err(_) => return Err(self.failure(HttpStep::Head, TIMEOUT)),
            Ok(Err(error)) => return Err(self.failure(HttpStep::Head, error)),
            Ok(Ok(head)) => head,
        };
        let is_attributed = echo.is_none_or(|echo| echo.is_kept(&head));
        if connection.is_shared && !is_attributed {
            let reason = "unattributed-response on a shared connection";
            return Err(self.failure(HttpStep::Head, reason));
        }
        connection.is_shared = true;
        let idle_timeout = idle_timeout(head.header("keep-alive"));
        emit(ResponsePart::Head(head));
        let mut body_bytes = 0;
        let mut parts_in_turn = 0;
        loop {
            match monoio::time::timeout(read_timeout, connection.reader.next_body_part()).await {
                Err(_) => return Err(self.failure(HttpStep::Body, TIMEOUT)),
                Ok(Err(error)) => return Err(self.failure(HttpStep::Body, error)),
                Ok(Ok(BodyPart::Data(data))) => {
                    body_bytes += data.len() as u64;
                    if body_bytes > self.options.max_body_bytes {
                        let limit = self.options.max_body_bytes;
                        let reason = format!("response body is larger than {limit} bytes");
                        return Err(self.failure(HttpStep::Body, reason));
                    }
                    emit(ResponsePart::Data(data));
                }
                Ok(Ok(BodyPart::End)) => break,
            }
            parts_in_turn += 1;
            if parts_in_turn >= PARTS_PER_TURN {
                parts_in_turn = 0;
                yield_now().await;
            }
            if self.options.batch_reads && !connection.reader.has_bytes() {
                let interval = self.read_interval.get();
                if !interval.is_zero() {
                    monoio::time::sleep(interval).await;
                }
            }
        }
        emit(ResponsePart::End);
        // A connection with a partly sent request cannot be reused. One that was opened for
        // a single request is closed, as it would take up the server's connection limit.
        // Nor can one on which surplus responses could not be told from others.
        let is_poolable = sent_whole && !self.options.new_connection && is_attributed;
        if is_poolable && connection.reader.reusable() && !idle_timeout.is_zero() {
            self.pool
                .borrow_mut()
                .put(address, connection, idle_timeout);
        }
        Ok(())
    }
}

async fn write_request(
    writer: &mut OwnedWriteHalf<TcpStream>,
    request: SerializedRequest,
) -> std::io::Result<()> {
    writer.write_all(request.head).await.0?;
    if !request.body.is_empty() {
        writer.write_all(request.body).await.0?;
    }
    Ok(())
}

const TIMEOUT: &str = "timeout";

fn timed_out(failure: &HttpFailure) -> bool {
    failure.reason == TIMEOUT
}
