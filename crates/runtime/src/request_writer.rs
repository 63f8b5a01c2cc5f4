//! Requests as bytes.

use bytes::{BufMut, Bytes, BytesMut};
use peatgrade_types::http::HttpRequest;

/// The bytes of a request to `peer`.
pub(crate) fn to_wire(request: &HttpRequest, peer: &str) -> Bytes {
    let mut bytes = BytesMut::with_capacity(512 + request.body.len());
    bytes.put_slice(format!("{} {} HTTP/1.1\r\n", request.method, request.path).as_bytes());
    if request.header("host").is_none() {
        bytes.put_slice(format!("host: {peer}\r\n").as_bytes());
    }
    for (name, value) in &request.headers {
        if is_framing(name) || value.bytes().any(|byte| byte == b'\r' || byte == b'\n') {
            continue;
        }
        bytes.put_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    let bodyless = request.method == "GET" || request.method == "HEAD";
    if !request.body.is_empty() || !bodyless {
        bytes.put_slice(format!("content-length: {}\r\n", request.body.len()).as_bytes());
    }
    bytes.put_slice(b"\r\n");
    bytes.put_slice(&request.body);
    bytes.freeze()
}

/// Headers that belong to one connection, set here.
fn is_framing(name: &str) -> bool {
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
    names.iter().any(|own| name.eq_ignore_ascii_case(own))
}
