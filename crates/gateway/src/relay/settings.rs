//! Spans of the relay, and where each comes from.

use peatgrade_types::Duration;

/// Spans of the relay.
#[derive(Clone, Copy, Debug)]
pub struct RelaySettings {
    /// Time after which an unanswered call goes to another replica, beyond the
    /// time that the call may wait by itself.
    pub resend: Duration,
    /// Pause before a call that found no leader is sent again.
    pub pause: Duration,
    /// Time after which a call is given up, beyond its own wait.
    pub give_up: Duration,
    /// Time between two tries of an end that has no caller any more.
    pub carry_every: Duration,
    /// How long such an end is carried on.
    pub carry_for: Duration,
    /// Time after which a near replica that has not answered is left.
    pub near_patience: Duration,
    /// How long it is left alone then.
    pub near_rest: Duration,
    /// Time without a word of any replica after which this gateway counts as cut off.
    pub cut_off_after: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            resend: Duration::from_millis(350),
            pause: Duration::from_millis(40),
            give_up: Duration::from_millis(1_300),
            // Replicas that have heard of it pass it on themselves, more often.
            carry_every: Duration::from_secs(1),
            // As long as replicas keep a job that is not ended: twice `job_keep_ms`.
            carry_for: Duration::from_secs(260),
            // A round trip within a zone and a busy machine's pause.
            near_patience: Duration::from_millis(100),
            // About a contact time: a machine that was cut off is back by then.
            near_rest: Duration::from_millis(3_000),
            // News of the store come from replicas all the time: one that fails is left
            // after 0.75 s, and the next one may hold its answer for half a second.
            cut_off_after: Duration::from_millis(1_500),
        }
    }
}
