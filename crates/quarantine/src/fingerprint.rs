//! Identification of requests by their content.

use peatgrade_ports::CallerRequest;
use xxhash_rust::xxh3::Xxh3;

/// Headers that identify the caller. Requests of different callers are kept apart, so that one
/// caller cannot have another's requests quarantined.
const CALLER_HEADERS: [&str; 3] = ["authorization", "cookie", "x-api-key"];

/// The parts of a request that its fingerprint covers. Ids, deadlines and resume points are not
/// included, as they differ between retries.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host; compared case-insensitively.
    pub host: &'a str,
    /// Path including the query.
    pub path: &'a str,
    /// Header names in lower case, and values.
    pub headers: &'a [(String, String)],
    /// Request body.
    pub body: &'a [u8],
    /// Tenant of the request; empty if the route requires no API key.
    pub tenant: &'a str,
}

/// Content hash of a request: 128 bits of XXH3, identical in all processes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a caller's request.
    pub fn of_request(request: &CallerRequest) -> Self {
        Self::of(&RequestParts {
            method: &request.http.method,
            host: &request.host,
            path: &request.http.path,
            headers: &request.http.headers,
            body: &request.http.body,
            tenant: &request.tenant,
        })
    }

    /// Computes the fingerprint of a request from its parts.
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let mut hasher = Xxh3::new();
        let host = parts.host.to_ascii_lowercase();
        for text in [parts.method, &host, parts.path] {
            hash_field(&mut hasher, text.as_bytes());
        }
        for name in CALLER_HEADERS {
            let header = parts.headers.iter().find(|(key, _)| key == name);
            let value = header.map_or("", |(_, value)| value.as_str());
            hash_field(&mut hasher, value.as_bytes());
        }
        hash_field(&mut hasher, parts.body);
        // Omitted if empty, which keeps the fingerprints of requests without a tenant compatible
        // with stored records.
        if !parts.tenant.is_empty() {
            hash_field(&mut hasher, parts.tenant.as_bytes());
        }
        Self(hasher.digest128())
    }
}

/// Hashes a field with a length prefix, so that bytes cannot move between adjacent fields.
fn hash_field(hasher: &mut Xxh3, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
