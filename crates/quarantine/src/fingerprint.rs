//! What makes two requests the same.

use xxhash_rust::xxh3::Xxh3;

/// Headers by which callers name themselves: what one caller sends must not count
/// against another.
const CALLER_HEADERS: [&str; 3] = ["authorization", "cookie", "x-api-key"];

/// What a fingerprint is made of. Ids, deadlines and resume points differ from one try
/// to the next and are left out.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Method.
    pub method: &'a str,
    /// Host, in any case.
    pub host: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Names in small letters, and values.
    pub headers: &'a [(String, String)],
    /// Body.
    pub body: &'a [u8],
    /// Tenant that asks; empty if no key was needed. None can have another's held.
    pub tenant: &'a str,
}

/// Names a request by its content: 128 bits of XXH3, the same in all processes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a request.
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
        // Left out where there is none, so that crashes known from before still count.
        if !parts.tenant.is_empty() {
            hash_field(&mut hasher, parts.tenant.as_bytes());
        }
        Self(hasher.digest128())
    }
}

/// With its length, so that bytes cannot pass from one field to the next.
fn hash_field(hasher: &mut Xxh3, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}

/// As logs show it.
impl std::fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
