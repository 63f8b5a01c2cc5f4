//! API keys, and the digests by which they are known.

use std::fmt;
use zeroize::Zeroizing;

/// Bytes of a digest. Half of BLAKE3's output: two keys of 2^32 meet in one with a
/// chance of 2^-64 (reckoned), and each gateway holds one for each key.
pub const DIGEST_BYTES: usize = 16;

/// Sets these digests apart from all other uses of the hash. Digests pass between
/// processes, so all of them need the same one.
const DIGEST_CONTEXT: &str = "peatgrade authentication 2026-12 api key digest";

/// An API key as it was sent. Its memory is wiped when it is dropped, and no output
/// shows it.
pub struct ApiKey(Zeroizing<String>);

impl ApiKey {
    /// Takes the text of a key.
    pub fn new(text: String) -> Self {
        Self(Zeroizing::new(text))
    }

    /// Whether it has no text.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// What it is looked up by.
    pub fn digest(&self) -> KeyDigest {
        let whole = Zeroizing::new(blake3::derive_key(DIGEST_CONTEXT, self.0.as_bytes()));
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        KeyDigest(digest)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// Digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// A digest as a message between processes holds it; none if its length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The same for a message.
    pub fn to_bytes(self) -> Vec<u8> {
        self.0.to_vec()
    }
}

/// A digest stands for its key in logs as little as the key does.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
