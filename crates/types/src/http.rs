//! HTTP messages as the core sees them, without sockets.

use bytes::Bytes;

/// A request, from a caller or to a back end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method in capitals.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Names in small letters.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
}

impl HttpRequest {
    /// A request without headers.
    pub fn new(method: &str, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// The same request with one more header.
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Value of a header, by its name in small letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Path without the query.
    pub fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }

    /// Value of a query parameter, as written.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Value of a header in a list.
pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

/// Status and headers of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Names in small letters.
    pub headers: Vec<(String, String)>,
}

impl ResponseHead {
    /// A head with a content type.
    pub fn new(status: u16, content_type: &str) -> Self {
        Self {
            status,
            headers: vec![("content-type".into(), content_type.into())],
        }
    }

    /// Value of a header, by its name in small letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// One part of a response, in order: a head, any data, an end; or a failure
/// instead of what is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Status and headers.
    Head(ResponseHead),
    /// A piece of the body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// The response will not be whole.
    Failed(HttpFailure),
}

/// How an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{peer}: {step}: {reason}")]
pub struct HttpFailure {
    /// Address of the other side.
    pub peer: String,
    /// What was being done.
    pub step: HttpStep,
    /// What went wrong.
    pub reason: String,
}

/// Where in an exchange it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpStep {
    /// No byte of the request was sent: it certainly did not run.
    #[error("connect")]
    Connect,
    /// The same, and nobody listens at the address: the process is gone, or a firewall
    /// says so in its place.
    #[error("connect, refused")]
    Refused,
    /// Some of the request was sent: it may have run.
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
    /// Whether nothing was sent, so that the request certainly did not run.
    pub fn is_unsent(self) -> bool {
        matches!(self, HttpStep::Connect | HttpStep::Refused)
    }
}
