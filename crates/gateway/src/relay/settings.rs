//! Timeouts and intervals of the relay.

use peatgrade_types::Duration;

/// Timeouts and intervals of a [`JobRelay`](super::JobRelay).
#[derive(Clone, Copy, Debug)]
pub struct RelaySettings {
    /// Time after which an unanswered call is sent to another replica, in addition to the
    /// call's own wait.
    pub reply_timeout: Duration,
    /// Delay before a call that found no leader is sent again.
    pub retry_delay: Duration,
    /// Time after which the caller is answered without a reply, in addition to the call's
    /// own wait.
    pub call_timeout: Duration,
    /// Interval between attempts of an EndJob call without a caller.
    pub detached_retry_interval: Duration,
    /// Age after which an EndJob call without a caller is dropped.
    pub detached_ttl: Duration,
    /// Time after which a read is sent to the leader if the local replica has not answered.
    pub local_reply_timeout: Duration,
    /// How long reads then bypass the local replica.
    pub local_replica_backoff: Duration,
    /// Time without contact to any replica after which this gateway counts as isolated.
    pub isolated_after: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            reply_timeout: Duration::from_millis(350),
            retry_delay: Duration::from_millis(40),
            call_timeout: Duration::from_millis(1_300),
            // Replicas that have received the call forward it themselves, more often.
            detached_retry_interval: Duration::from_secs(1),
            // As long as replicas keep a job that is not ended: twice `job_keep_ms`.
            detached_ttl: Duration::from_secs(260),
            // Covers a round trip within a zone and scheduling delay on a busy machine.
            local_reply_timeout: Duration::from_millis(100),
            local_replica_backoff: Duration::from_millis(3_000),
            // Mirror replies arrive continuously. Covers the timeout of one publisher and the
            // hold time of the next.
            isolated_after: Duration::from_millis(1_500),
        }
    }
}
