//! API keys and their digests.

use std::fmt;
use zeroize::Zeroizing;

/// Size of a digest in bytes: BLAKE3's output truncated to half, to save memory at gateways.
pub const DIGEST_BYTES: usize = 16;

/// Domain separation string of the key derivation. Digests are exchanged between processes,
/// so it must be the same in all of them.
const DIGEST_CONTEXT: &str = "peatgrade authentication 2026-12 api key digest";

/// An API key in plain text. Its memory is zeroed on drop, and `Debug` redacts it.
pub struct ApiKey(Zeroizing<String>);

impl ApiKey {
    pub fn new(text: String) -> Self {
        Self(Zeroizing::new(text))
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Digest by which the key is looked up.
    pub fn digest(&self) -> KeyDigest {
        let full = Zeroizing::new(blake3::derive_key(DIGEST_CONTEXT, self.0.as_bytes()));
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&full[..DIGEST_BYTES]);
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
    /// Decodes a digest received in a message; `None` if the length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Encodes the digest for a message.
    pub fn to_bytes(self) -> Vec<u8> {
        self.0.to_vec()
    }
}

/// Redacts the digest, which identifies its key.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
