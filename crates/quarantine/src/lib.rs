//! Requests that end the engines which run them.
//!
//! ```text
//!  a run breaks off --> EngineChecks --probe--> engine   answers: a broken connection
//!                            |                           gone: it crashed under the run
//!                            v
//!                       CrashLedger <--merge--> ledgers of other machines
//!                            |
//!                            v
//!                         Verdict: a request is sent as usual, with care, or not at all
//! ```
//!
//! [`Fingerprint`] names what is asked for, so that the same request is known again
//! when it comes with another id, at another gateway or as an item of a job.
//!
//! That an engine crashed under a request is a fact and stays one, and a ledger is the
//! union of such facts, so machines need no agreement to share one: each takes in what
//! others know, in any order and as often as it comes.
//!
//! No socket, clock or random number is used here.

mod checks;
mod encoding;
mod evidence;
mod fingerprint;
mod ledger;
mod quarantine;

pub use evidence::{is_harmless, may_have_caused_crash};
pub use fingerprint::{Fingerprint, RequestParts};
pub use ledger::{
    CrashLedger, RetryScope, Verdict, MAX_CRASHES_PER_REQUEST, MAX_TRACKED_REQUESTS, RECORD_TTL,
};
pub use quarantine::Quarantine;
