//! What a caller is told that is refused.

use peatgrade_forward::CallId;
use peatgrade_ports::{CallerResponse, Refusal};

/// The refusal in an answer, and whether it says when to come back.
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
        other => panic!("not refused: {other:?}"),
    }
}
