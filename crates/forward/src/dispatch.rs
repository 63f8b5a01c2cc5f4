//! Which engine a request goes to next, if any.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::Instance;
use peatgrade_quarantine::Verdict;
use peatgrade_types::Time;

use crate::action::{CallId, ForwardAction};
use crate::admission::{decide, Admission};
use crate::choice::Choice;
use crate::forwarder::Forwarder;
use crate::suspects::may_risk;

/// Refusals of engines that one request may meet.
const MAX_REFUSALS: u32 = 4;
/// Engines to which no connection came up that one request may meet: with half of a
/// service dark, one request in 64 meets so many, and another machine may know better.
const MAX_UNCONNECTED: u32 = 6;
impl Forwarder {
    /// Sends a request to an engine that it has not met, or ends it.
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
        // This machine may have been suspended since: nobody waits for the answer any
        // more, and the engine would be told that no time is left (reasoned).
        if now >= forward.deadline && forward.open.is_empty() {
            return self.end_without_answer(now, call, directory, actions);
        }
        let verdict = directory.quarantine.verdict(forward.fingerprint);
        if matches!(verdict, Verdict::Convicted { .. }) {
            return self.refuse_convicted(now, call, directory, actions);
        }
        let chosen = self.admit(now, call, directory);
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        let allowed = chosen
            .clone()
            .filter(|engine| may_risk(now, directory, forward, engine));
        forward.held_back = chosen.is_some() && allowed.is_none();
        let Some(instance) = allowed else {
            if forward.open.is_empty() {
                self.end_without_answer(now, call, directory, actions);
            }
            return;
        };
        self.send(now, call, &instance, directory, actions);
    }

    /// The engine that a request is offered to, unless it has met as many as it may or
    /// none can serve it in time.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        call: CallId,
        directory: &EngineDirectory,
    ) -> Option<Instance> {
        let forward = self.calls.get(&call)?;
        let is_spent = forward.sends >= forward.max_attempts
            || forward.refusals >= MAX_REFUSALS
            || forward.unconnected >= MAX_UNCONNECTED;
        if is_spent {
            return None;
        }
        let choice = Choice {
            now,
            directory,
            forward,
            zone: &self.zone,
            connect_times: &self.connect_times,
        };
        let left = forward.deadline.since(now);
        let admission = match self.rejects_unservable {
            true => decide(left, &choice.prospects()),
            false => Admission::Admit,
        };
        let (chosen, rejection) = match admission {
            Admission::Admit => (choice.best(&mut self.random), None),
            Admission::Reject(rejection) => (None, Some(rejection)),
        };
        // What an earlier look found does not hold any more.
        self.calls.get_mut(&call)?.rejection = rejection;
        chosen
    }
}
