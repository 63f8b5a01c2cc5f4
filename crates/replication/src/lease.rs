//! The leader's lease: until when no other leader can have been elected.

use peatgrade_types::{Duration, Time};

/// Time that a quorum has vouched for: the newest instant such that a majority
/// of voters answered a message sent at or after it. The leader counts as
/// having answered just now.
pub fn quorum_ack_time(now: Time, acknowledged: &[Option<Time>]) -> Option<Time> {
    let mut times: Vec<Option<Time>> = acknowledged.to_vec();
    times.push(Some(now));
    times.sort();
    times.reverse();
    let majority = times.len() / 2;
    times[majority]
}

/// Whether a lease that a quorum vouched for at `vouched` still holds.
pub fn is_valid(now: Time, vouched: Option<Time>, span: Duration) -> bool {
    vouched.is_some_and(|since| now.since(since) < span)
}
