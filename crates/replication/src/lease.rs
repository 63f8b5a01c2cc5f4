//! The leader lease: the time during which no other leader can have been elected.

use peatgrade_types::{Duration, Time};

/// Start of the lease: the latest time such that a majority of the voters has answered
/// a message sent at or after it. The leader counts as having answered at `now`.
pub fn quorum_ack_time(now: Time, acknowledged: &[Option<Time>]) -> Option<Time> {
    let mut times: Vec<Option<Time>> = acknowledged.to_vec();
    times.push(Some(now));
    times.sort();
    times.reverse();
    let majority = times.len() / 2;
    times[majority]
}

pub fn is_valid(now: Time, lease_start: Option<Time>, duration: Duration) -> bool {
    lease_start.is_some_and(|start| now.since(start) < duration)
}
