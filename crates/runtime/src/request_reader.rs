//! Reads HTTP requests within the limits of the server.

use bytes::{Bytes, BytesMut};
use monoio::io::stream::Stream as _;
use monoio::io::AsyncReadRent;
use monoio::time::Instant;
use monoio_http::common::error::HttpError;
use monoio_http::common::request::Request;
use monoio_http::h1::codec::decoder::{FillPayload, RequestDecoder};
use monoio_http::h1::payload::Payload;
use peatgrade_types::http::HttpRequest;
use std::future::{poll_fn, Future};
use std::task::Poll;
use std::time::Duration;

use crate::server_limits::{LimitedReader, ReadState, ServerLimits, BUDGET_EXCEEDED, TOO_LARGE};

/// Longest time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time until a deadline is worked out again from the limits in force.
const MAX_DEADLINE_AGE: Duration = Duration::from_secs(2);
/// Time past the deadline in which what has already arrived is read.
const LAST_CHANCE: Duration = Duration::from_millis(100);

/// Why no request could be read from a connection.
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
}

/// Reads the next complete request of a connection, within the limits in force.
pub(crate) async fn read_request<R: AsyncReadRent>(
    decoder: &mut RequestDecoder<LimitedReader<R>>,
    state: &ReadState,
) -> Result<ReceivedRequest, ReadError> {
    state.begin_head();
    let read = within_head_deadline(decoder.next(), state).await;
    let limits = state.limits();
    let request = match read {
        None => return Err(ReadError::TimedOut),
        Some(None) => return Err(ReadError::Closed),
        Some(Some(Err(error))) => return Err(read_error(&limits, Part::Head, &error)),
        Some(Some(Ok(request))) => request,
    };
    if head_length(&request) > limits.max_head_bytes {
        return Err(too_large(&limits, Part::Head));
    }
    if !has_unambiguous_framing(&request) {
        return Err(ReadError::Rejected {
            status: 400,
            kind: "ambiguous-length",
            detail: "the length of the request can be read in more than one way".into(),
        });
    }
    if declared_length(&request) > limits.max_body_bytes {
        return Err(too_large(&limits, Part::Body));
    }
    // Allows for the overhead of chunked encoding.
    state.begin_body(limits.max_body_bytes + limits.max_head_bytes);
    let filled = monoio::time::timeout(BODY_TIMEOUT, decoder.fill_payload()).await;
    match filled {
        Err(_) => return Err(ReadError::TimedOut),
        Ok(Err(error)) => return Err(read_error(&limits, Part::Body, &error)),
        Ok(Ok(())) => {}
    }
    let request = to_request(request)
        .await
        .map_err(|error| read_error(&limits, Part::Body, &error))?;
    if request.body.len() > limits.max_body_bytes {
        return Err(too_large(&limits, Part::Body));
    }
    Ok(ReceivedRequest { request, limits })
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

/// Bytes of the request target and the headers.
fn head_length(request: &Request<Payload>) -> usize {
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    let path = request
        .uri()
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    path + headers.sum::<usize>()
}

/// Whether the framing of the request is unambiguous, to prevent request smuggling.
fn has_unambiguous_framing(request: &Request<Payload>) -> bool {
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

fn read_error(limits: &ServerLimits, part: Part, error: &HttpError) -> ReadError {
    let text = error.to_string();
    if text.contains(TOO_LARGE) {
        return too_large(limits, part);
    }
    if text.contains(BUDGET_EXCEEDED) {
        return ReadError::Rejected {
            status: 503,
            kind: "no-room",
            detail: "this machine holds too much for its callers just now".into(),
        };
    }
    if matches!(error, HttpError::IOError(_)) || text.contains("eof") || text.contains("io error") {
        return ReadError::Closed;
    }
    ReadError::Rejected {
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
        Payload::Stream(mut chunks) => {
            let mut body = BytesMut::new();
            while let Some(chunk) = chunks.next().await {
                body.extend_from_slice(&chunk?);
            }
            body.freeze()
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
