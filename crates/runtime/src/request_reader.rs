//! Reading requests of callers.

use bytes::{Bytes, BytesMut};
use monoio::io::stream::Stream as _;
use monoio::io::AsyncReadRent;
use monoio_http::common::error::HttpError;
use monoio_http::common::request::Request;
use monoio_http::h1::codec::decoder::{FillPayload, RequestDecoder};
use monoio_http::h1::payload::Payload;
use peatgrade_types::http::HttpRequest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::server_limits::{LimitedReader, ServerControl, ServerLimits, NO_ROOM, TOO_LARGE};

/// Longest time that a body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Why no request came out of a connection.
pub(crate) enum ReadEnd {
    Closed,
    Bad {
        status: u16,
        kind: &'static str,
        detail: String,
    },
}

/// Reads the next request of a connection whole, within the bounds in force.
pub(crate) async fn read_request<R: AsyncReadRent>(
    decoder: &mut RequestDecoder<LimitedReader<R>>,
    allowance: &Rc<Cell<usize>>,
    control: &ServerControl,
) -> Result<HttpRequest, ReadEnd> {
    let limits = control.limits.get();
    allowance.set(limits.max_head_bytes);
    let patience = limits.idle_timeout + limits.head_timeout;
    let read = monoio::time::timeout(patience, decoder.next()).await;
    let request = match read {
        Err(_) | Ok(None) => return Err(ReadEnd::Closed),
        Ok(Some(Err(error))) => return Err(bad(&limits, Part::Head, &error)),
        Ok(Some(Ok(request))) => request,
    };
    if head_length(&request) > limits.max_head_bytes {
        return Err(too_large(&limits, Part::Head));
    }
    if !is_framed_clearly(&request) {
        return Err(ReadEnd::Bad {
            status: 400,
            kind: "ambiguous-length",
            detail: "the length of the request can be read in more than one way".into(),
        });
    }
    if declared_length(&request) > limits.max_body_bytes {
        return Err(too_large(&limits, Part::Body));
    }
    // The framing of chunks counts as well.
    allowance.set(limits.max_body_bytes + limits.max_head_bytes);
    let filled = monoio::time::timeout(BODY_TIMEOUT, decoder.fill_payload()).await;
    match filled {
        Err(_) => return Err(ReadEnd::Closed),
        Ok(Err(error)) => return Err(bad(&limits, Part::Body, &error)),
        Ok(Ok(())) => {}
    }
    let request = to_request(request)
        .await
        .map_err(|error| bad(&limits, Part::Body, &error))?;
    if request.body.len() > limits.max_body_bytes {
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
            limits.max_head_bytes, limits.max_body_bytes
        ),
    }
}

fn bad(limits: &ServerLimits, part: Part, error: &HttpError) -> ReadEnd {
    let text = error.to_string();
    if text.contains(TOO_LARGE) {
        return too_large(limits, part);
    }
    if text.contains(NO_ROOM) {
        return ReadEnd::Bad {
            status: 503,
            kind: "no-room",
            detail: "this machine holds too much for its callers just now".into(),
        };
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
