//! The client side of HTTP: one task per request, with reuse of connections.

use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use futures_util::future::{select, Either};
use http::{HeaderName, HeaderValue, Method, Uri};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body::Body;
use monoio_http::h1::codec::ClientCodec;
use monoio_http::h1::payload::{FixedPayload, Payload};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponseHead, ResponsePart};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept per address, and for how long.
const IDLE_PER_ADDRESS: usize = 32;
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Header of requests that must not be sent over a connection that the other
/// side may just be closing.
const NON_REPEATABLE: &str = "x-non-repeatable";

type Connection = ClientCodec<TcpStream>;

/// Idle connections of one thread.
#[derive(Default)]
struct Idle {
    connections: HashMap<SocketAddr, Vec<(Instant, Connection)>>,
}

impl Idle {
    fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let kept = self.connections.get_mut(&address)?;
        kept.retain(|(since, _)| since.elapsed() < IDLE_TIME);
        kept.pop().map(|(_, connection)| connection)
    }

    fn put(&mut self, address: SocketAddr, connection: Connection) {
        let kept = self.connections.entry(address).or_default();
        if kept.len() < IDLE_PER_ADDRESS {
            kept.push((Instant::now(), connection));
        }
    }
}

/// A client whose responses go to a channel, named by the caller's `Id`.
pub struct HttpClient<Id> {
    idle: Rc<RefCell<Idle>>,
    parts: UnboundedSender<(Id, ResponsePart)>,
}

/// Ends a request when dropped.
pub struct Cancel(#[allow(dead_code)] oneshot::Sender<()>);

impl<Id: Copy + 'static> HttpClient<Id> {
    /// A client without connections.
    pub fn new(parts: UnboundedSender<(Id, ResponsePart)>) -> Self {
        Self {
            idle: Rc::default(),
            parts,
        }
    }

    /// Sends a request. `silence` is the longest wait for the next part. The
    /// request is given up when the returned value is dropped.
    pub fn send(&self, id: Id, address: &str, request: HttpRequest, silence: Duration) -> Cancel {
        let (cancel, cancelled) = oneshot::channel::<()>();
        let exchange = Exchange {
            peer: address.to_string(),
            silence,
            idle: self.idle.clone(),
        };
        let parts = self.parts.clone();
        monoio::spawn(async move {
            let emit = |part| {
                let _ = parts.unbounded_send((id, part));
            };
            let work = exchange.run(request, &emit);
            futures_util::pin_mut!(work);
            if let Either::Left((Err(failure), _)) = select(work, cancelled).await {
                emit(ResponsePart::Failed(failure));
            }
        });
        Cancel(cancel)
    }
}

struct Exchange {
    peer: String,
    silence: Duration,
    idle: Rc<RefCell<Idle>>,
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
        emit: &impl Fn(ResponsePart),
    ) -> Result<(), HttpFailure> {
        let parsed = self.peer.parse::<SocketAddr>();
        let address = parsed.map_err(|error| self.failure(HttpStep::Connect, error))?;
        let once = request.header(NON_REPEATABLE).is_some();
        let kept = if once {
            None
        } else {
            self.idle.borrow_mut().take(address)
        };
        if let Some(connection) = kept {
            // A kept connection may be half closed. If it breaks before any
            // part of a response, a fresh one is tried.
            match self.exchange(address, connection, &request, emit).await {
                Err(failure) if failure.step != HttpStep::Body && !timed_out(&failure) => {}
                ended => return ended,
            }
        }
        let connecting = monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(address));
        let stream = match connecting.await {
            Err(_) => return Err(self.failure(HttpStep::Connect, "timeout")),
            Ok(Err(error)) => return Err(self.failure(HttpStep::Connect, error)),
            Ok(Ok(stream)) => stream,
        };
        let _ = stream.set_nodelay(true);
        self.exchange(address, ClientCodec::new(stream), &request, emit)
            .await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: &HttpRequest,
        emit: &impl Fn(ResponsePart),
    ) -> Result<(), HttpFailure> {
        let wire = self.to_wire(request)?;
        let sending = monoio::time::timeout(self.silence, connection.send_and_flush(wire));
        match sending.await {
            Err(_) => return Err(self.failure(HttpStep::Send, TIMEOUT)),
            Ok(Err(error)) => return Err(self.failure(HttpStep::Send, error)),
            Ok(Ok(())) => {}
        }
        let response = match monoio::time::timeout(self.silence, connection.next()).await {
            Err(_) => return Err(self.failure(HttpStep::Head, TIMEOUT)),
            Ok(None) => return Err(self.failure(HttpStep::Head, "connection closed")),
            Ok(Some(Err(error))) => return Err(self.failure(HttpStep::Head, error)),
            Ok(Some(Ok(response))) => response,
        };
        let (head, payload) = response.into_parts();
        let head = to_head(&head);
        let reusable = head
            .header("connection")
            .is_none_or(|v| !v.eq_ignore_ascii_case("close"));
        emit(ResponsePart::Head(head));
        {
            let mut body = payload.with_io(&mut connection);
            loop {
                match monoio::time::timeout(self.silence, body.next_data()).await {
                    Err(_) => return Err(self.failure(HttpStep::Body, TIMEOUT)),
                    Ok(Some(Err(error))) => return Err(self.failure(HttpStep::Body, error)),
                    Ok(Some(Ok(data))) => emit(ResponsePart::Data(data)),
                    Ok(None) => break,
                }
            }
        }
        emit(ResponsePart::End);
        if reusable {
            self.idle.borrow_mut().put(address, connection);
        }
        Ok(())
    }

    fn to_wire(&self, request: &HttpRequest) -> Result<http::Request<Payload>, HttpFailure> {
        let fail = |error: &dyn std::fmt::Display| self.failure(HttpStep::Connect, error);
        let method = Method::from_bytes(request.method.as_bytes()).map_err(|e| fail(&e))?;
        let uri: Uri = request.path.parse().map_err(|e| fail(&e))?;
        let body = if request.body.is_empty() {
            Payload::None
        } else {
            Payload::Fixed(FixedPayload::new(request.body.clone()))
        };
        let mut wire = http::Request::new(body);
        *wire.method_mut() = method;
        *wire.uri_mut() = uri;
        let host = HeaderValue::from_str(&self.peer).map_err(|e| fail(&e))?;
        wire.headers_mut().insert(http::header::HOST, host);
        if request.body.is_empty() && request.method != "GET" {
            let zero = HeaderValue::from_static("0");
            wire.headers_mut()
                .insert(http::header::CONTENT_LENGTH, zero);
        }
        for (name, value) in &request.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(|e| fail(&e))?;
            let value = HeaderValue::from_str(value).map_err(|e| fail(&e))?;
            wire.headers_mut().append(name, value);
        }
        Ok(wire)
    }
}

const TIMEOUT: &str = "timeout";

fn timed_out(failure: &HttpFailure) -> bool {
    failure.reason == TIMEOUT
}

fn to_head(head: &http::response::Parts) -> ResponseHead {
    let headers = head.headers.iter().map(|(name, value)| {
        let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_string(), text)
    });
    ResponseHead {
        status: head.status.as_u16(),
        headers: headers.collect(),
    }
}
