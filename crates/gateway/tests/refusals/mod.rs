//! Helper for tests of refused calls.

use peatgrade_forward::CallId;
use peatgrade_ports::{CallerResponse, Refusal};

/// The refusal in an answer, and whether it has a retry hint.
pub fn refusal(answer: Option<(CallId, CallerResponse)>) -> (Refusal, bool) {
    match answer {
        Some((
            _,
            CallerResponse::Refused {
                refusal,
                retry_after,
                ..
            },
        )) => (refusal, retry_after.is_some()),
        other => panic!("expected a refusal, got {other:?}"),
    }
}
