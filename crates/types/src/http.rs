//! HTTP messages, independent of the transport.

use bytes::Bytes;

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Request from a caller or to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method in upper case.
    pub method: String,
    /// Path including the query string.
    pub path: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Creates a request without headers.
    pub fn new(method: &str, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Appends a header.
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Looks up the value of a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Path without the query string.
    pub fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }

    /// Value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Looks up the first header with this lower-case name.
pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

/// Status and headers of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl ResponseHead {
    /// Creates a response head with a `content-type` header.
    pub fn new(status: u16, content_type: &str) -> Self {
        Self {
            status,
            headers: vec![("content-type".into(), content_type.into())],
        }
    }

    /// Looks up the value of a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Whether the body is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        let content_type = self.header("content-type").unwrap_or("");
        let media_type = content_type.split(';').next().unwrap_or("");
        media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
    }
}

/// Part of a streamed response. Parts arrive in order: a head, any number of
/// data parts and an end. A failure may replace the remaining parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Status and headers.
    Head(ResponseHead),
    /// Chunk of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The exchange failed before the response was complete.
    Failed(HttpFailure),
}

/// Failure of an HTTP exchange.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{peer}: {step}: {reason}")]
pub struct HttpFailure {
    /// Address of the peer.
    pub peer: String,
    /// Step that failed.
    pub step: HttpStep,
    /// Error reported by the transport.
    pub reason: String,
}

/// Step of an HTTP exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpStep {
    /// Connecting failed before any byte was sent, so the request was not executed.
    #[error("connect")]
    Connect,
    /// The connection was refused, so the request was not executed: no process
    /// listens at the address, or a firewall rejects connections.
    #[error("connect, refused")]
    Refused,
    /// Sending failed after part of the request was sent; it may have been executed.
    #[error("send")]
    Send,
    /// Waiting for the head of the response.
    #[error("wait for head")]
    Head,
    /// Reading the body of the response.
    #[error("read body")]
    Body,
}

impl HttpStep {
    /// Whether no byte was sent, so that the request was not executed.
    pub fn is_unsent(self) -> bool {
        matches!(self, HttpStep::Connect | HttpStep::Refused)
    }
}
