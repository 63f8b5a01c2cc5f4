//! Dispatch of a request to its next engine.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::Instance;
use peatgrade_types::Time;

use crate::action::{CallId, ForwardAction};
use crate::admission::{decide, Admission};
use crate::forwarder::Forwarder;
use crate::quarantine::{is_refused, may_run_on};
use crate::selection::EngineSelector;

/// Maximum number of refusals per request by the expected engines.
const MAX_REFUSALS: u32 = 4;
/// Maximum number of addresses per request at which the expected engine was not. Each shows at once
/// that an entry of the list is wrong, not that the service is loaded.
const MAX_WRONG_ADDRESSES: usize = 16;
/// Maximum number of connections per request that were not established in time. After that the
/// caller is refused, since another gateway may have a better view of the service.
const MAX_CONNECT_FAILURES: u32 = 6;

impl Forwarder {
    /// Sends a request to an engine that it has not tried yet, or finishes it.
    pub(crate) fn dispatch(
        &mut self,
        now: Time,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        // The process may have been suspended past the deadline; the caller has stopped
        // waiting, and the engine would receive a request without time left.
        if now >= forward.deadline && forward.open_attempts.is_empty() {
            return self.finish_without_answer(now, call, directory, actions);
        }
        if is_refused(directory, forward) {
            return self.refuse_convicted(now, call, directory, actions);
        }
        let chosen = self.admit(now, call, directory);
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        let allowed = chosen
            .clone()
            .filter(|engine| may_run_on(now, directory, forward, engine));
        forward.quarantine_blocked = chosen.is_some() && allowed.is_none();
        let Some(instance) = allowed else {
            if forward.open_attempts.is_empty() {
                self.finish_without_answer(now, call, directory, actions);
            }
            return;
        };
        self.send_attempt(now, call, &instance, directory, actions);
    }

    /// Selects an engine for a request. Returns `None` if the request has used up its
    /// attempts or no engine can serve it before its deadline.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        call: CallId,
        directory: &EngineDirectory,
    ) -> Option<Instance> {
        let forward = self.calls.get(&call)?;
        let is_exhausted = forward.attempts >= forward.max_attempts
            || forward.refusals >= MAX_REFUSALS
            || forward.wrong_addresses.len() >= MAX_WRONG_ADDRESSES
            || forward.connect_failures >= MAX_CONNECT_FAILURES;
        if is_exhausted {
            return None;
        }
        let selector = EngineSelector {
            now,
            directory,
            forward,
            zone: &self.zone,
            connect_times: &self.connect_times,
        };
        let left = forward.deadline.since(now);
        let admission = match self.rejects_unservable {
            true => decide(left, &selector.candidates_for_admission()),
            false => Admission::Admit,
        };
        let (chosen, rejection) = match admission {
            Admission::Admit => (selector.select(&mut self.random), None),
            Admission::Reject(rejection) => (None, Some(rejection)),
        };
        // Overwrites the result of an earlier evaluation.
        self.calls.get_mut(&call)?.rejection = rejection;
        chosen
    }
}
