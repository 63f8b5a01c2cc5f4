//! Who is asking: tenants and their API keys.
//!
//! ```text
//!  caller's header --Codec--> ApiKey --digest--> KeyDigest --Tenants--> Tenant | AuthError
//!  configuration ----Codec--> ApiKey --digest--> KeyDigest --> Tenants
//! ```
//!
//! A key exists as text only within the codec that reads it. Everything behind it,
//! messages between processes included, deals with [`KeyDigest`], from which the key
//! cannot be told.
//!
//! No socket, clock or random number is used here.

mod key;
mod tenants;

pub use key::{ApiKey, KeyDigest, DIGEST_BYTES};
pub use tenants::{AuthError, Tenant, Tenants, TenantsError};
