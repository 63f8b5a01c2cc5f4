//! Detection of requests that crash the engines which run them.
//!
//! ```text
//!  interrupted run --> EngineProbes --probe--> engine   responds: the connection failed
//!                           |                           gone: it crashed during the run
//!                           v
//!                      CrashLedger <--merge--> ledgers of other machines
//!                           |
//!                           v
//!                        Verdict: the request is sent, restricted or refused
//! ```
//!
//! A [`Fingerprint`] identifies a request by its content, so that it is recognized when it is
//! retried with another id, at another gateway or as an item of a job.
//!
//! Crash records are immutable facts, and merging two ledgers is a set union. Machines therefore
//! exchange records without coordination, in any order and any number of times.
//!
//! This crate performs no I/O and uses neither a clock nor random numbers.

mod encoding;
mod evidence;
mod fingerprint;
mod ledger;
mod probes;
mod quarantine;

pub use evidence::{is_harmless, may_have_caused_crash};
pub use fingerprint::{Fingerprint, RequestParts};
pub use ledger::{
    CrashLedger, RetryScope, Verdict, MAX_CRASHES_PER_REQUEST, MAX_TRACKED_REQUESTS, RECORD_TTL,
};
pub use quarantine::Quarantine;
