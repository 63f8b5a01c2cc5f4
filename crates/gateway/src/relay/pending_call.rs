//! A batch-job call in flight.

use peatgrade_forward::CallId;
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_types::{Duration, Time};

use super::RelaySettings;

pub(super) struct PendingCall {
    /// The caller to answer; none for a detached call.
    pub caller: Option<CallId>,
    /// Tenant of the caller; empty if no key was required.
    pub tenant: String,
    pub body: OneOfbody,
    /// How long the replica may hold a read until there are results.
    pub wait: Duration,
    pub started: Time,
    pub next_send_at: Time,
    pub was_sent: bool,
    pub attempts: usize,
    /// The replica whose reply is awaited, with the time at which the call was sent to it.
    pub awaiting: Option<(String, Time)>,
    /// Whether the last copy went to the local replica.
    pub at_local_replica: bool,
    /// Copies sent without a reply so far; each may still reach a leader.
    pub unanswered_copies: usize,
}

impl PendingCall {
    /// Whether the call changes the state of a job.
    pub fn is_write(&self) -> bool {
        matches!(self.body, OneOfbody::submit(_) | OneOfbody::end(_))
    }

    pub fn is_end_call(&self) -> bool {
        matches!(self.body, OneOfbody::end(_))
    }

    /// Whether the leader has not answered this call in time.
    pub fn leader_timed_out(
        &self,
        leader: Option<&str>,
        now: Time,
        settings: &RelaySettings,
    ) -> bool {
        let Some((to, since)) = &self.awaiting else {
            return false;
        };
        let is_late = now.since(*since) >= settings.reply_timeout + self.wait;
        leader == Some(to.as_str()) && is_late
    }

    pub fn log_subject(&self) -> String {
        log_subject(&self.body)
    }

    /// Logs what became of the call, and why.
    pub fn log_outcome(&self, decision: &str, reason: &str, now: Time) {
        log::info!(
            "decision={decision} {} reason={reason} age_ms={} tried={} unanswered={}",
            self.log_subject(),
            now.since(self.started).as_millis(),
            self.attempts,
            self.unanswered_copies
        );
    }
}

/// Identifies a call in log lines.
pub(crate) fn log_subject(body: &OneOfbody) -> String {
    match body {
        OneOfbody::submit(submit) => format!(
            "call=submit job={} configuration={}",
            submit.job, submit.configuration
        ),
        OneOfbody::end(end) => format!("call=end job={}", end.job),
        OneOfbody::read(read) => format!("call=read job={}", read.job),
        OneOfbody::item(item) => format!("call=item job={} item={}", item.job, item.item),
        OneOfbody::None => "call=none".into(),
    }
}
