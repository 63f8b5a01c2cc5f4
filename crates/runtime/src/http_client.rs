//! The client side of HTTP: one task per request, with reuse of connections.

use bytes::{Bytes, BytesMut};
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use futures_util::future::{select, Either, FutureExt};
use monoio::io::{AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponsePart};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::boot_clock::BootInstant;
use crate::request_writer::to_wire;
use crate::response_reader::{Piece, ResponseReader};

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept per address, and for how long at most.
const IDLE_PER_ADDRESS: usize = 32;
const IDLE_TIME: Duration = Duration::from_secs(10);
/// An announced idle time is used up to this much before its end.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Header of requests that must not be sent over a connection that the other
/// side may just be closing.
const NON_REPEATABLE: &str = "x-non-repeatable";

struct Connection {
    reader: ResponseReader<OwnedReadHalf<TcpStream>>,
    writer: OwnedWriteHalf<TcpStream>,
}

struct Kept {
    until: BootInstant,
    connection: Connection,
}

impl Kept {
    /// Whether it is still silent and open. Bytes that nobody asked for belong
    /// to no request, so such a connection is as bad as a closed one.
    fn is_sound(&mut self) -> bool {
        BootInstant::now() < self.until && self.connection.reader.fill().now_or_never().is_none()
    }
}

/// Idle connections of one thread.
#[derive(Default)]
struct Idle {
    connections: HashMap<SocketAddr, Vec<Kept>>,
}

impl Idle {
    fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let kept = self.connections.get_mut(&address)?;
        while let Some(mut newest) = kept.pop() {
            if newest.is_sound() {
                return Some(newest.connection);
            }
        }
        None
    }

    fn put(&mut self, address: SocketAddr, mut connection: Connection, idle: Duration) {
        let kept = self.connections.entry(address).or_default();
        kept.retain_mut(Kept::is_sound);
        if kept.len() < IDLE_PER_ADDRESS {
            connection.reader.rest();
            let until = BootInstant::now() + idle;
            kept.push(Kept { until, connection });
        }
    }

    fn evict_idle(&mut self) {
        for kept in self.connections.values_mut() {
            kept.retain_mut(Kept::is_sound);
        }
        self.connections.retain(|_, kept| !kept.is_empty());
    }
}

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Longest wait for the next part of the response.
    pub read_timeout: Duration,
    /// Never over a connection that was used before.
    pub new_connection: bool,
    /// Pieces of the body may be read together, a little later: see
    /// [`HttpClient::set_read_interval`].
    pub batch_reads: bool,
}

impl SendOptions {
    /// Over any sound connection, with this longest silence.
    pub fn with_read_timeout(read_timeout: Duration) -> Self {
        Self {
            read_timeout,
            new_connection: false,
            batch_reads: false,
        }
    }

    /// As `reusing`, for long streams whose pieces nobody waits for one by one.
    pub fn batching_reads(read_timeout: Duration) -> Self {
        Self {
            batch_reads: true,
            ..Self::with_read_timeout(read_timeout)
        }
    }
}

/// A client whose responses go to a channel, named by the caller's `Id`.
pub struct HttpClient<Id> {
    idle: Rc<RefCell<Idle>>,
    parts: UnboundedSender<(Id, ResponsePart)>,
    gather: Rc<Cell<Duration>>,
    /// None if nobody asks.
    opened: Option<OpenedList<Id>>,
}

/// From here on bytes of a request may have gone out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectedRequest<Id> {
    /// The request.
    pub id: Id,
    /// Time that its new connection took to come up; none if it goes over a kept one.
    pub connect_time: Option<Duration>,
}

/// Requests that have a connection and were not told of yet.
type OpenedList<Id> = Rc<RefCell<Vec<ConnectedRequest<Id>>>>;

/// Ends a request when dropped. Of one that [`HttpClient::take_connected`] has not told of
/// by then, no byte has gone out or will.
pub struct CancelOnDrop(#[allow(dead_code)] oneshot::Sender<()>);

impl<Id: Copy + 'static> HttpClient<Id> {
    /// A client without connections.
    pub fn new(parts: UnboundedSender<(Id, ResponsePart)>) -> Self {
        Self {
            idle: Rc::default(),
            parts,
            gather: Rc::default(),
            opened: None,
        }
    }

    /// A client without connections that keeps account of which requests have one, for
    /// owners that call [`Self::take_connected`] before they decide about a request.
    pub fn tracking_connections(parts: UnboundedSender<(Id, ResponsePart)>) -> Self {
        Self {
            opened: Some(Rc::default()),
            ..Self::new(parts)
        }
    }

    /// Requests that got a connection since this was last asked, each once.
    pub fn take_connected(&self) -> Vec<ConnectedRequest<Id>> {
        let opened = self.opened.as_ref();
        opened.map_or(Vec::new(), |opened| {
            std::mem::take(&mut opened.borrow_mut())
        })
    }

    /// How long a gathering request waits between two reads of its body. Each
    /// read costs the same whatever it brings, so that many streams at once are
    /// read with a fraction of the work.
    pub fn set_read_interval(&self, gather: Duration) {
        self.gather.set(gather);
    }

    /// Closes idle connections that ended or are past their time.
    pub fn evict_idle(&self) {
        self.idle.borrow_mut().evict_idle();
    }

    /// Sends a request. The request is given up when the returned value is
    /// dropped.
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
            options,
            idle: self.idle.clone(),
            gather: self.gather.clone(),
        };
        let parts = self.parts.clone();
        let opened = self.opened.clone();
        monoio::spawn(async move {
            let emit = |part| {
                let _ = parts.unbounded_send((id, part));
            };
            let is_told = Cell::new(false);
            let open = |connect_time| {
                if let Some(list) = opened.as_ref().filter(|_| !is_told.replace(true)) {
                    list.borrow_mut()
                        .push(ConnectedRequest { id, connect_time });
                }
            };
            let work = exchange.run(request, &open, &emit);
            futures_util::pin_mut!(work);
            // The cancel is looked at first: a connection that comes up in the same turn
            // must not be written to, since its owner has promised that nothing ran.
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
            options,
            idle: self.idle.clone(),
            gather: self.gather.clone(),
        };
        let whole = RefCell::new((0, BytesMut::new()));
        let emit = |part| match part {
            ResponsePart::Head(head) => whole.borrow_mut().0 = head.status,
            ResponsePart::Data(data) => whole.borrow_mut().1.extend_from_slice(&data),
            ResponsePart::End | ResponsePart::Failed(_) => {}
        };
        exchange.run(request, &|_| {}, &emit).await?;
        let (status, body) = whole.into_inner();
        Ok((status, body.freeze()))
    }
}

struct Exchange {
    peer: String,
    options: SendOptions,
    idle: Rc<RefCell<Idle>>,
    gather: Rc<Cell<Duration>>,
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
        open: &impl Fn(Option<Duration>),
        emit: &impl Fn(ResponsePart),
    ) -> Result<(), HttpFailure> {
        let parsed = self.peer.parse::<SocketAddr>();
        let address = parsed.map_err(|error| self.failure(HttpStep::Connect, error))?;
        let once = self.options.new_connection || request.header(NON_REPEATABLE).is_some();
        let bytes = to_wire(&request, &self.peer);
        let bodyless = request.method == "HEAD";
        let kept = if once {
            None
        } else {
            self.idle.borrow_mut().take(address)
        };
        let mut broken = None;
        if let Some(connection) = kept {
            // A kept connection may be half closed. If it breaks before any
            // part of a response, a fresh one is tried.
            open(None);
            let sent = self
                .exchange(address, connection, bytes.clone(), bodyless, emit)
                .await;
            match sent {
                Err(failure) if failure.step != HttpStep::Body && !timed_out(&failure) => {
                    // The side that broke it off may have been at work on the request.
                    log::info!("decision=send-again connection=new error={failure}");
                    broken = Some(failure);
                }
                ended => return ended,
            }
        }
        // Without a second connection, what broke the first one stands: the request may
        // have run there. Reported as one that was never sent, a request that ended three
        // engines was refused as not run, and met three engines in a try that allows two.
        let began = BootInstant::now();
        let connected = self.connect(address).await;
        let stream = connected.map_err(|failure| broken.unwrap_or(failure))?;
        open(Some(began.elapsed()));
        let _ = stream.set_nodelay(true);
        let (read_half, writer) = stream.into_split();
        let connection = Connection {
            reader: ResponseReader::new(read_half),
            writer,
        };
        self.exchange(address, connection, bytes, bodyless, emit)
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
        bytes: Bytes,
        bodyless: bool,
        emit: &impl Fn(ResponsePart),
    ) -> Result<(), HttpFailure> {
        let silence = self.options.read_timeout;
        let (head, sent_whole) = {
            // The other side may answer before it has read the whole request.
            let writing = connection.writer.write_all(bytes);
            let reading = monoio::time::timeout(silence, connection.reader.head(bodyless));
            futures_util::pin_mut!(writing, reading);
            match select(writing, reading).await {
                Either::Left(((Err(error), _), _)) => {
                    return Err(self.failure(HttpStep::Send, error));
                }
                Either::Left(((Ok(_), _), reading)) => (reading.await, true),
                Either::Right((head, _)) => (head, false),
            }
        };
        let head = match head {
            Err(_) => return Err(self.failure(HttpStep::Head, TIMEOUT)),
            Ok(Err(error)) => return Err(self.failure(HttpStep::Head, error)),
            Ok(Ok(head)) => head,
        };
        let idle = idle_time(head.header("keep-alive"));
        emit(ResponsePart::Head(head));
        loop {
            match monoio::time::timeout(silence, connection.reader.piece()).await {
                Err(_) => return Err(self.failure(HttpStep::Body, TIMEOUT)),
                Ok(Err(error)) => return Err(self.failure(HttpStep::Body, error)),
                Ok(Ok(Piece::Data(data))) => emit(ResponsePart::Data(data)),
                Ok(Ok(Piece::End)) => break,
            }
            if self.options.batch_reads && !connection.reader.has_bytes() {
                let gather = self.gather.get();
                if !gather.is_zero() {
                    monoio::time::sleep(gather).await;
                }
            }
        }
        emit(ResponsePart::End);
        // Where the rest of a request is due, nothing else may be sent. A
        // connection made for one request would only fill the few that the other
        // side takes: for each kept one that is used, many would be made.
        let kept = sent_whole && !self.options.new_connection;
        if kept && connection.reader.reusable() && !idle.is_zero() {
            self.idle.borrow_mut().put(address, connection, idle);
        }
        Ok(())
    }
}

/// How long a connection may rest, by the `Keep-Alive` header.
fn idle_time(header: Option<&str>) -> Duration {
    let told = header.and_then(|value| {
        let pairs = value.split(',').filter_map(|pair| pair.split_once('='));
        let timeout = pairs.into_iter().find(|(name, _)| name.trim() == "timeout");
        timeout.and_then(|(_, seconds)| seconds.trim().parse::<u64>().ok())
    });
    match told {
        Some(seconds) => {
            let told = Duration::from_secs(seconds);
            told.saturating_sub(IDLE_MARGIN).min(IDLE_TIME)
        }
        None => IDLE_TIME,
    }
}

const TIMEOUT: &str = "timeout";

fn timed_out(failure: &HttpFailure) -> bool {
    failure.reason == TIMEOUT
}
