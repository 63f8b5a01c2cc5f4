//! Spans of the relay, and where each comes from.

use peatgrade_types::Duration;

/// Spans of the relay.
#[derive(Clone, Copy, Debug)]
pub struct RelaySettings {
    /// Time after which an unanswered call goes to another replica, beyond the
    /// time that the call may wait by itself.
    pub reply_timeout: Duration,
    /// Pause before a call that found no leader is sent again.
    pub retry_delay: Duration,
    /// Time after which a call is given up, beyond its own wait.
    pub call_timeout: Duration,
    /// Time between two tries of an end that has no caller any more.
    pub detached_retry_interval: Duration,
    /// How long such an end is carried on.
    pub detached_ttl: Duration,
    /// Time after which a near replica that has not answered is left.
    pub local_reply_timeout: Duration,
    /// How long it is left alone then.
    pub local_replica_backoff: Duration,
    /// Time without a word of any replica after which this gateway counts as cut off.
    pub isolated_after: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            reply_timeout: Duration::from_millis(350),
            retry_delay: Duration::from_millis(40),
            call_timeout: Duration::from_millis(1_300),
            // Replicas that have heard of it pass it on themselves, more often.
            detached_retry_interval: Duration::from_secs(1),
            // As long as replicas keep a job that is not ended: twice `job_keep_ms`.
            detached_ttl: Duration::from_secs(260),
            // A round trip within a zone and a busy machine's pause.
            local_reply_timeout: Duration::from_millis(100),
            // About a contact time: a machine that was cut off is back by then.
            local_replica_backoff: Duration::from_millis(3_000),
            // News of the store come from replicas all the time: one that fails is left
            // after 0.75 s, and the next one may hold its answer for half a second.
            isolated_after: Duration::from_millis(1_500),
        }
    }
}
