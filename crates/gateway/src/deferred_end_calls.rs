//! Ends of jobs that a gateway has read before it knows who may ask.
//!
//! A gateway that just starts knows no configuration, so it cannot tell whose key came
//! with an end. Its caller may have gone already and not ask again, and engines go on with
//! the job until then: with the store away for 0.7 s such an end was refused to nobody, and
//! 132 items of the job ran on. So it is kept until a configuration is there.

use peatgrade_authentication::KeyDigest;
use peatgrade_forward::CallId;
use peatgrade_types::{Duration, Time};

/// Ends kept at most; further ones are refused. A trainer has a few jobs open.
const MAX_DEFERRED_CALLS: usize = 256;
/// Time after which a caller is answered: as for a call that no replica answers.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// How long an end is kept without a configuration: as long as a gateway carries on one
/// that no leader takes.
const DEFERRED_TTL: Duration = Duration::from_secs(260);

/// An end that waits.
#[derive(Clone, Debug)]
pub(crate) struct DeferredEndCall {
    /// Who waits for the answer; nobody once the caller has gone or was answered.
    pub caller: Option<CallId>,
    /// The job.
    pub job: String,
    /// Digest of the key that came with it.
    pub key: Option<KeyDigest>,
    received_at: Time,
}

/// All of them, oldest first.
#[derive(Debug, Default)]
pub(crate) struct DeferredEndCalls {
    calls: Vec<DeferredEndCall>,
}

impl DeferredEndCalls {
    /// Keeps an end; false if there are too many.
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

    /// Nobody waits for an answer any more.
    pub fn on_caller_disconnected(&mut self, caller: CallId) {
        for call in &mut self.calls {
            call.caller.take_if(|waiting| *waiting == caller);
        }
    }

    /// Callers that have waited for long enough; their ends are kept on.
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

    /// All of them, now that their keys can be looked up.
    pub fn take_all(&mut self) -> Vec<DeferredEndCall> {
        std::mem::take(&mut self.calls)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.calls.len()
    }
}
