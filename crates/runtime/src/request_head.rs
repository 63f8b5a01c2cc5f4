//! Parses request heads.

use http::Uri;
use peatgrade_types::http::find_header;

use crate::body_decoder::Framing;

/// Most headers of a request.
const MAX_HEADERS: usize = 96;
/// Memory of a header beside its bytes: two strings and their allocations.
const HEADER_OVERHEAD: usize = 96;

/// Head of a request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Names in lower case, with their values, in the order received.
    pub headers: Vec<(String, String)>,
    /// Length of the head on the wire.
    pub wire_length: usize,
}

impl RequestHead {
    /// Parses the head at the start of `bytes`; none if it is incomplete. Errors describe the
    /// first violation of the protocol.
    pub fn parse(bytes: &[u8]) -> Result<Option<Self>, String> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(bytes);
        let status = status.map_err(|error| format!("cannot parse request head: {error}"))?;
        let httparse::Status::Complete(wire_length) = status else {
            return Ok(None);
        };
        let target = request.path.unwrap_or("/").parse::<Uri>();
        let target = target.map_err(|error| format!("invalid request target: {error}"))?;
        let path = target.path_and_query().map_or("/", |path| path.as_str());
        let headers = request.headers.iter().map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_ascii_lowercase(), value)
        });
        Ok(Some(Self {
            method: request.method.unwrap_or("").to_string(),
            path: path.to_string(),
            headers: headers.collect(),
            wire_length,
        }))
    }

    /// Bytes of the request target and the headers.
    pub fn length(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| name.len() + value.len() + 4);
        self.path.len() + headers.sum::<usize>()
    }

    /// Memory that the head takes up.
    pub fn held_bytes(&self) -> usize {
        self.length() + self.headers.len() * HEADER_OVERHEAD
    }

    /// How the body is delimited; none if that can be read in more than one way, which would
    /// allow request smuggling.
    pub fn framing(&self) -> Option<Framing> {
        let length = find_header(&self.headers, "content-length");
        let coding = find_header(&self.headers, "transfer-encoding");
        let is_framing = |name: &str| name == "content-length" || name == "transfer-encoding";
        let framing_headers = self.headers.iter().filter(|(name, _)| is_framing(name));
        if framing_headers.count() > 1 {
            return None;
        }
        match (length, coding) {
            (None, None) => Some(Framing::EMPTY),
            (Some(length), None) => {
                let is_number = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
                // A number that does not fit is larger than any limit.
                is_number.then(|| Framing::Length(length.parse().unwrap_or(u64::MAX)))
            }
            (None, Some(coding)) => coding
                .eq_ignore_ascii_case("chunked")
                .then_some(Framing::CHUNKED),
            (Some(_), Some(_)) => None,
        }
    }
}
