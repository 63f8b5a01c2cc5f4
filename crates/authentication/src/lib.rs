//! Authentication of callers by API key.
//!
//! ```text
//!  caller's header --Codec--> ApiKey --digest--> KeyDigest --Tenants--> Tenant | AuthError
//!  configuration ----Codec--> ApiKey --digest--> KeyDigest --> Tenants
//! ```
//!
//! A key exists in plain text only inside the codec that reads it. All other code, including
//! messages between processes, uses a [`KeyDigest`], from which the key cannot be recovered.
//!
//! This crate performs no I/O and reads no clock or random numbers.

mod key;
mod tenants;

pub use key::{ApiKey, KeyDigest, DIGEST_BYTES};
pub use tenants::{AuthError, Tenant, Tenants, TenantsError};
