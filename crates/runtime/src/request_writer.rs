//! Serializes HTTP/1.1 requests.

use bytes::{BufMut, Bytes, BytesMut};
use peatgrade_types::http::HttpRequest;

/// Largest body that is copied to be sent with the head in one call.
const MAX_COPIED_BYTES: usize = 64 * 1024;

/// A serialized request. Its parts are sent one after the other.
#[derive(Clone, Debug)]
pub(crate) struct SerializedRequest {
    /// The head, and the body if it is small.
    pub head: Bytes,
    /// A large body, which is shared with the request instead of copied.
    pub body: Bytes,
}

/// Serializes a request to `peer`.
pub(crate) fn serialize_request(request: &HttpRequest, peer: &str) -> SerializedRequest {
    let (copied, body) = if request.body.len() <= MAX_COPIED_BYTES {
        (request.body.clone(), Bytes::new())
    } else {
        (Bytes::new(), request.body.clone())
    };
    let mut bytes = BytesMut::with_capacity(512 + copied.len());
    bytes.put_slice(format!("{} {} HTTP/1.1\r\n", request.method, request.path).as_bytes());
    if request.header("host").is_none() {
        bytes.put_slice(format!("host: {peer}\r\n").as_bytes());
    }
    for (name, value) in &request.headers {
        if is_connection_header(name) || value.bytes().any(|byte| byte == b'\r' || byte == b'\n') {
            continue;
        }
        bytes.put_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    let bodyless = request.method == "GET" || request.method == "HEAD";
    if !request.body.is_empty() || !bodyless {
        bytes.put_slice(format!("content-length: {}\r\n", request.body.len()).as_bytes());
    }
    bytes.put_slice(b"\r\n");
    bytes.put_slice(&copied);
    SerializedRequest {
        head: bytes.freeze(),
        body,
    }
}

/// Whether a header concerns framing or the connection and must not be forwarded.
fn is_connection_header(name: &str) -> bool {
    let names = [
        "content-length",
        "transfer-encoding",
        "connection",
        "keep-alive",
        "upgrade",
        "te",
        "trailer",
        "expect",
        "proxy-connection",
    ];
    names
        .iter()
        .any(|excluded| name.eq_ignore_ascii_case(excluded))
}
