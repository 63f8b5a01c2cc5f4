//! Evidence from the age of a run.
//!
//! A request that crashes engines does so shortly after it starts. If an engine crashes while
//! generating a response that started earlier, the crash has another cause. Without this
//! distinction, long-running requests would be convicted when engines crash by themselves.

use peatgrade_types::{Duration, Time};

/// Maximum age of a run, counted from its first response, at which its request may be the cause
/// of a crash. It allows for events that are read late.
const MAX_SUSPECT_RUN_AGE: Duration = Duration::from_millis(300);
/// Minimum age of a run that proves that its request does not crash engines.
const MIN_HARMLESS_RUN_AGE: Duration = Duration::from_millis(1_000);

/// Whether an interrupted run may have crashed its engine. `first_response_at` is when the
/// first part of its response arrived, if any.
pub fn may_have_caused_crash(now: Time, first_response_at: Option<Time>) -> bool {
    first_response_at.is_none_or(|at| now.since(at) <= MAX_SUSPECT_RUN_AGE)
}

/// Whether a run in progress proves that its request does not crash engines.
pub fn is_harmless(now: Time, first_response_at: Option<Time>) -> bool {
    first_response_at.is_some_and(|at| now.since(at) >= MIN_HARMLESS_RUN_AGE)
}
