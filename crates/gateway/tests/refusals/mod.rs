//! Helper for tests of refused calls.

use peatgrade_forward::CallId;
use peatgrade_ports::{Answer, Refusal};

/// The refusal in an answer, and whether it has a retry hint.
pub fn refusal(answer: Option<(CallId, Answer)>) -> (Refusal, bool) {
    match answer {
        Some((
            _,
            Answer::Refused {
                refusal,
                retry_after,
                ..
            },
        )) => (refusal, retry_after.is_some()),
        other => panic!("expected a refusal, got {other:?}"),
    }
}
