//! One batch-job call under way.

use peatgrade_forward::CallId;
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_types::{Duration, Time};

use super::RelaySettings;

pub(super) struct Pending {
    /// Who waits for the answer; nobody for an end that is carried on.
    pub caller: Option<CallId>,
    /// Tenant that asks; empty if no key was needed.
    pub tenant: String,
    pub body: OneOfbody,
    pub wait: Duration,
    pub started: Time,
    pub next: Time,
    pub sent: bool,
    pub tried: usize,
    /// The replica that is to answer, and since when, unless it has.
    pub awaits: Option<(String, Time)>,
    /// The near replica has it just now.
    pub at_near: bool,
    /// Copies that nobody has replied to: one that was held up may still come
    /// to a leader.
    pub copies: usize,
}

impl Pending {
    /// Whether it is meant to change the state of a job.
    pub fn changes_something(&self) -> bool {
        matches!(self.body, OneOfbody::submit(_) | OneOfbody::end(_))
    }

    /// Whether it is the end of a job, which is carried on without a caller.
    pub fn is_end(&self) -> bool {
        matches!(self.body, OneOfbody::end(_))
    }

    /// Whether the leader has had this call for long enough without an answer.
    pub fn is_unanswered_by(
        &self,
        leader: Option<&str>,
        now: Time,
        settings: &RelaySettings,
    ) -> bool {
        let Some((to, since)) = &self.awaits else {
            return false;
        };
        let is_late = now.since(*since) >= settings.reply_timeout + self.wait;
        leader == Some(to.as_str()) && is_late
    }

    /// What the log calls it.
    pub fn subject(&self) -> String {
        subject_of(&self.body)
    }

    /// Names what became of it, and why.
    pub fn log_end(&self, decision: &str, reason: &str, now: Time) {
        log::info!(
            "decision={decision} {} reason={reason} age_ms={} tried={} unanswered={}",
            self.subject(),
            now.since(self.started).as_millis(),
            self.tried,
            self.copies
        );
    }
}

/// What the log calls a call.
pub(crate) fn subject_of(body: &OneOfbody) -> String {
    match body {
        OneOfbody::submit(submit) => format!("call=submit job={}", submit.job),
        OneOfbody::end(end) => format!("call=end job={}", end.job),
        OneOfbody::read(read) => format!("call=read job={}", read.job),
        OneOfbody::item(item) => format!("call=item job={} item={}", item.job, item.item),
        OneOfbody::None => "call=none".into(),
    }
}
