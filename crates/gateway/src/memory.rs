//! Limits on the memory of what passes through a gateway.
//!
//! Submissions of batch jobs are decoded only if they fit: a small item takes many times the memory
//! of its text, and several copies of a job are made on its way to the leader. Responses of engines
//! are held until they are complete.

use peatgrade_forward::CallId;
use peatgrade_ports::{CallerRequest, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_types::{Duration, Time};

use crate::gateway::{Gateway, GatewayAction};

/// Copies of a job that exist at once, at most: as parsed and as decoded; then as decoded, as
/// sent and as encoded.
const COPIES: usize = 3;
/// Retry hint if a job does not fit. Others may have left by then.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1_000);

impl Gateway {
    /// Refuses submissions that need more memory than `spare_bytes` returns: bytes that the
    /// process may still use, none without a limit.
    pub fn limit_submissions(&mut self, spare_bytes: impl Fn(u64) -> Option<u64> + 'static) {
        self.spare_bytes = Some(Box::new(spare_bytes));
    }

    /// Bytes of engines' responses that are held until they are complete.
    pub fn response_bytes(&self) -> usize {
        self.forwarder.response_bytes()
    }

    /// Drops the largest incomplete response of an engine. Its caller learns that the outcome is
    /// unknown.
    pub fn drop_largest_response(&mut self, now: Time) -> Vec<GatewayAction> {
        let mut forwards = Vec::new();
        self.forwarder
            .drop_largest_response(now, &mut self.directory, &mut forwards);
        forwards.into_iter().map(GatewayAction::Forward).collect()
    }

    /// Memory that is missing to decode and relay a submission; 0 if it fits.
    fn missing_memory(&self, request: &CallerRequest) -> u64 {
        let Some(spare_bytes) = &self.spare_bytes else {
            return 0;
        };
        let needed = (self.codec.submission_bytes(request) * COPIES) as u64;
        let spare = spare_bytes(needed);
        spare.map_or(0, |spare| needed.saturating_sub(spare))
    }

    /// Decodes a submission and relays it to the leader.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        call: CallId,
        request: CallerRequest,
        configuration_version: u64,
        subject: &str,
        actions: &mut Vec<GatewayAction>,
    ) {
        let missing = self.missing_memory(&request);
        if missing > 0 {
            self.submissions_refused += 1;
            let body = request.http.body.len();
            let subject = format!("{subject} body_bytes={body} missing_bytes={missing}");
            let reason = "no memory for a batch job of this size";
            let retry = Some(NO_MEMORY_RETRY_AFTER);
            return self.refuse(actions, call, &subject, Refusal::NotRun, reason, retry);
        }
        match self.codec.submission(&request) {
            Ok(mut submission) => {
                // Its body has been decoded.
                drop(request);
                submission.configuration = configuration_version;
                let tenant = submission.tenant.clone();
                let body = OneOfbody::submit(submission);
                self.relay_call(now, call, tenant, body, Duration(0), actions);
            }
            Err(error) => {
                let refusal = Refusal::Malformed;
                self.refuse(actions, call, subject, refusal, &error.reason, None);
            }
        }
    }
}
