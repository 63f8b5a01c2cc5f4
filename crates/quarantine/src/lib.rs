//! Requests that end the engines which run them.
//!
//! [`Fingerprint`] names what is asked for, so that the same request is known again
//! when it comes with another id, at another gateway or as an item of a job.

mod fingerprint;

pub use fingerprint::{Fingerprint, RequestParts};
