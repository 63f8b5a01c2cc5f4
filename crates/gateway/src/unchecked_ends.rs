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
const MAX_ENDS: usize = 256;
/// Time after which a caller is answered: as for a call that no replica answers.
const ANSWER_AFTER: Duration = Duration::from_millis(1_300);
/// How long an end is kept without a configuration: as long as a gateway carries on one
/// that no leader takes.
const KEEP_FOR: Duration = Duration::from_secs(260);

/// An end that waits.
#[derive(Clone, Debug)]
pub(crate) struct UncheckedEnd {
    /// Who waits for the answer; nobody once the caller has gone or was answered.
    pub caller: Option<CallId>,
    /// The job.
    pub job: String,
    /// Digest of the key that came with it.
    pub key: Option<KeyDigest>,
    since: Time,
}

/// All of them, oldest first.
#[derive(Debug, Default)]
pub(crate) struct UncheckedEnds {
    ends: Vec<UncheckedEnd>,
}

impl UncheckedEnds {
    /// Keeps an end; false if there are too many.
    pub fn keep(&mut self, now: Time, caller: CallId, job: String, key: Option<KeyDigest>) -> bool {
        if self.ends.len() >= MAX_ENDS {
            return false;
        }
        self.ends.push(UncheckedEnd {
            caller: Some(caller),
            job,
            key,
            since: now,
        });
        true
    }

    /// Nobody waits for an answer any more.
    pub fn caller_gone(&mut self, caller: CallId) {
        for end in &mut self.ends {
            end.caller.take_if(|waiting| *waiting == caller);
        }
    }

    /// Callers that have waited for long enough; their ends are kept on.
    pub fn take_late_callers(&mut self, now: Time) -> Vec<CallId> {
        self.ends.retain(|end| {
            let is_kept = now.since(end.since) < KEEP_FOR;
            if !is_kept {
                log::warn!("decision=drop-end job={} reason=no-configuration", end.job);
            }
            is_kept
        });
        let late = self.ends.iter_mut();
        let late = late.filter(|end| now.since(end.since) >= ANSWER_AFTER);
        late.filter_map(|end| end.caller.take()).collect()
    }

    /// All of them, now that their keys can be looked up.
    pub fn take_all(&mut self) -> Vec<UncheckedEnd> {
        std::mem::take(&mut self.ends)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.ends.len()
    }
}
