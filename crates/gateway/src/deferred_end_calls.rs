//! EndJob calls received before the first configuration.
//!
//! Without a configuration a gateway cannot check the key of an EndJob call. Refusing the
//! call could leave the job running, since the caller may have disconnected and not retry,
//! so the call is deferred until a configuration arrives.

use peatgrade_authentication::KeyDigest;
use peatgrade_forward::CallId;
use peatgrade_ports::Refusal;
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::EndJob;
use peatgrade_types::{Duration, Time};

use crate::gateway::{Gateway, GatewayAction};

/// Stands for a caller that has disconnected; real call ids start at 1.
const NO_CALLER: CallId = CallId(0);
/// Calls beyond this limit are refused.
const MAX_DEFERRED_CALLS: usize = 256;
/// Time after which a caller is answered, as for a call that no replica answers.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Age after which a deferred call is dropped, as for a detached call that no leader confirms.
const DEFERRED_TTL: Duration = Duration::from_secs(260);

#[derive(Clone, Debug)]
pub(crate) struct DeferredEndCall {
    /// The caller to answer; none once it has disconnected or was answered.
    pub caller: Option<CallId>,
    pub job: String,
    pub key: Option<KeyDigest>,
    received_at: Time,
}

/// Deferred calls, oldest first.
#[derive(Debug, Default)]
pub(crate) struct DeferredEndCalls {
    calls: Vec<DeferredEndCall>,
}

impl DeferredEndCalls {
    /// Defers a call. Returns false if too many are deferred.
    pub fn push(&mut self, now: Time, caller: CallId, job: String, key: Option<KeyDigest>) -> bool {
        if self.calls.len() >= MAX_DEFERRED_CALLS {
            return false;
        }
        self.calls.push(DeferredEndCall {
            caller: Some(caller),
            job,
            key,
            received_at: now,
        });
        true
    }

    /// Keeps the call of a disconnected caller without answering it.
    pub fn on_caller_disconnected(&mut self, caller: CallId) {
        for call in &mut self.calls {
            call.caller.take_if(|waiting| *waiting == caller);
        }
    }

    /// Drops expired calls and takes the callers that have waited too long. Their calls stay
    /// deferred.
    pub fn take_timed_out_callers(&mut self, now: Time) -> Vec<CallId> {
        self.calls.retain(|call| {
            let is_retained = now.since(call.received_at) < DEFERRED_TTL;
            if !is_retained {
                log::warn!("decision=drop-end job={} reason=no-configuration", call.job);
            }
            is_retained
        });
        let timed_out = self.calls.iter_mut();
        let timed_out = timed_out.filter(|call| now.since(call.received_at) >= CALLER_TIMEOUT);
        timed_out.filter_map(|call| call.caller.take()).collect()
    }

    pub fn take_all(&mut self) -> Vec<DeferredEndCall> {
        std::mem::take(&mut self.calls)
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }
}

impl Gateway {
    /// Relays deferred EndJob calls once there is a configuration, and answers callers that
    /// have waited too long. Their outcome is unknown, since the calls stay deferred.
    pub(crate) fn process_deferred_end_calls(
        &mut self,
        now: Time,
        actions: &mut Vec<GatewayAction>,
    ) {
        for call in self.deferred_end_calls.take_timed_out_callers(now) {
            let reason = "no configuration is known yet";
            let refusal = Refusal::Unknown;
            self.refuse(actions, call, "call=end", refusal, reason, None);
        }
        if self.configuration.is_none() {
            return;
        }
        for deferred in self.deferred_end_calls.take_all() {
            // A call whose caller has disconnected is relayed as a detached call.
            let caller = deferred.caller.unwrap_or(NO_CALLER);
            let body = OneOfbody::end(EndJob { job: deferred.job });
            self.authorize_job_call(now, caller, deferred.key, body, Duration(0), actions);
            if deferred.caller.is_none() {
                self.relay.on_caller_disconnected(now, NO_CALLER);
            }
        }
    }
}
