//! A caller's request while it is being forwarded.

use peatgrade_ports::{CallerRequest, Instance, RouteKind};
use peatgrade_quarantine::Fingerprint;
use peatgrade_types::{Duration, Time};

use crate::action::{ForwardAction, HttpId};
use crate::admission::Rejection;
use crate::forwarder::QuarantinePolicy;
use crate::stream::StreamRelay;

/// A caller's request for as long as it is being forwarded.
pub(crate) struct ForwardedRequest {
    pub request: CallerRequest,
    /// Identifies the content of the request, independent of its id.
    pub fingerprint: Fingerprint,
    pub service: String,
    pub kind: RouteKind,
    pub max_attempts: u32,
    pub priority: u32,
    pub received: Time,
    pub deadline: Time,
    pub hedge_at: Time,
    pub target_latency: Duration,
    pub configuration_version: u64,
    /// Attempts so far, without refused ones and those that did not connect.
    pub attempts: u32,
    /// Refusals by engines, without those of misdirected requests.
    pub refusals: u32,
    /// Addresses at which the expected engine was not: another one refused the request, or the
    /// connection.
    pub wrong_addresses: Vec<String>,
    /// Connections that were not established in time.
    pub connect_failures: u32,
    /// Result of the latest admission decision, if it was rejected.
    pub rejection: Option<Rejection>,
    /// Whether a denial by the retry budget has been logged.
    pub denial_logged: bool,
    pub tried: Vec<Instance>,
    pub open_attempts: Vec<HttpId>,
    pub may_have_run: bool,
    pub quarantine_policy: QuarantinePolicy,
    /// Whether quarantine kept it from the engine that was selected last.
    pub quarantine_blocked: bool,
    /// Whether its stream may be resumed on another engine.
    pub resumable: bool,
    /// Set once the head of a streamed response has been sent to the caller.
    pub stream: Option<StreamRelay>,
    /// The attempt whose stream is being relayed.
    pub streaming_attempt: Option<HttpId>,
    /// Whether [`ForwardAction::ExecutionStarted`] has been emitted.
    pub execution_reported: bool,
}

impl ForwardedRequest {
    /// Emits [`ForwardAction::ExecutionStarted`] on the first call.
    pub fn report_execution_started(&mut self, at: Time, actions: &mut Vec<ForwardAction>) {
        if !std::mem::replace(&mut self.execution_reported, true) {
            let tenant = self.request.tenant.clone();
            actions.push(ForwardAction::ExecutionStarted { tenant, at });
        }
    }

    /// Whether it may safely run more than once.
    pub fn is_repeatable(&self) -> bool {
        let resumes = self.kind == RouteKind::Streaming && self.resumable;
        self.kind == RouteKind::Safe || resumes
    }
}
