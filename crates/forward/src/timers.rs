//! What time ends: deadlines, connections that do not come up, engines that are silent.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::RouteKind;
use peatgrade_types::http::{HttpFailure, HttpStep};
use peatgrade_types::{Duration, Time};

use crate::action::{CallId, ForwardAction, HttpId};
use crate::forwarder::{Forward, Forwarder};
use crate::retry_budget::ExtraAttempt;

impl Forwarder {
    /// A request got a connection: from here on it may run. `connected_in` is the time
    /// that took, if it is a new one.
    pub fn on_connected(
        &mut self,
        id: HttpId,
        connected_in: Option<Duration>,
        directory: &mut EngineDirectory,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.is_open = true;
        let state = directory.incarnation_mut(&attempt.instance, attempt.life);
        if let (Some(state), Some(took)) = (state, connected_in) {
            state.stats.connect_timeouts = 0;
            self.connect_times.record(&state.record.zone, took);
        }
    }

    /// Nobody waits for the answer any more: engines stop work for it.
    pub fn cancel(
        &mut self,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if let Some(forward) = self.calls.remove(&call) {
            log::info!("decision=abandon request={}", forward.request.id);
            self.cancel_all(&forward.open, directory, actions);
        }
    }

    pub(crate) fn cancel_all(
        &mut self,
        open: &[HttpId],
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        for id in open {
            actions.push(ForwardAction::CancelHttp(*id));
            self.forget(*id, directory);
        }
    }

    /// Ends what is late and tries a second engine where the first is silent.
    pub fn tick(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.check_engines(now, directory, actions);
        self.leave_ended_lives(now, directory, actions);
        self.end_convicted(now, directory, actions);
        let late: Vec<CallId> = self.due(|forward| now >= forward.deadline);
        for call in late {
            let Some(forward) = self.calls.get_mut(&call) else {
                continue;
            };
            let attempts = &self.attempts;
            let mut open = forward.open.iter();
            forward.may_have_run |= open.any(|id| attempts.get(id).is_some_and(|a| a.is_open));
            let open = std::mem::take(&mut forward.open);
            self.cancel_all(&open, directory, actions);
            self.end_without_answer(now, call, directory, actions);
        }
        self.leave_unconnected(now, directory, actions);
        self.hedge(now, directory, actions);
    }

    /// Leaves engines to which no connection came up in time: nothing was offered there,
    /// and nothing has run.
    fn leave_unconnected(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let mut late = Vec::new();
        for (id, attempt) in &mut self.attempts {
            let is_over = now.since(attempt.sent) >= attempt.connect_patience;
            // Only at the second look: a process that was held up hears in its next turn
            // of the connections that came up meanwhile. Without, one of 12 lookups that
            // met a silent connection gave up the good one too (real processes).
            if !attempt.is_open && std::mem::replace(&mut attempt.is_overdue, is_over) && is_over {
                late.push(*id);
            }
        }
        late.sort_unstable();
        for id in late {
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            let patience = attempt.connect_patience;
            let failure = HttpFailure {
                peer: attempt.instance.to_string(),
                step: HttpStep::Connect,
                reason: format!("not up after {} ms", patience.as_millis()),
            };
            actions.push(ForwardAction::CancelHttp(id));
            self.on_failed(now, id, &failure, directory, actions);
        }
    }

    /// Tries a second engine where the first is silent.
    fn hedge(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let (quarantine, attempts) = (&directory.quarantine, &self.attempts);
        let silent: Vec<CallId> = self.due(|forward| {
            // A second copy of what ended one engine would be under way on another before
            // the first one shows anything: six of seven tries seen, each of which ended two
            // or three engines in 0.2 s, had one.
            let may_hedge =
                quarantine.crash_count(forward.fingerprint) == 0 && !forward.may_have_run;
            forward.kind == RouteKind::Safe
                && may_hedge
                && now >= forward.hedge_at
                && forward.open.len() == 1
                // One without a connection is not silent: another wait is for that.
                && forward.open.iter().all(|id| attempts.get(id).is_some_and(|a| a.is_open))
                && forward.sends < forward.max_attempts
        });
        for call in silent {
            // Nothing is taken out of the budget where nobody is left to be asked.
            let has_engine = self.admit(now, call, directory).is_some();
            if has_engine && self.may_copy(now, call, ExtraAttempt::Hedge) {
                self.note_silence(now, call, directory);
                self.dispatch(now, call, directory, actions);
            }
        }
    }

    /// The engine that a request waits for has not answered in time.
    fn note_silence(&mut self, now: Time, call: CallId, directory: &mut EngineDirectory) {
        let open = self
            .calls
            .get(&call)
            .and_then(|forward| forward.open.last());
        let attempt = open.and_then(|id| self.attempts.get(id));
        if let Some(state) =
            attempt.and_then(|attempt| directory.incarnation_mut(&attempt.instance, attempt.life))
        {
            state.stats.record_unanswered(now);
        }
    }

    /// Whether the budget has a copy for this request. One that gets none as a hedge asks
    /// again when as much time has passed as it has waited for.
    pub(crate) fn may_copy(&mut self, now: Time, call: CallId, attempt: ExtraAttempt) -> bool {
        let Some(forward) = self.calls.get_mut(&call) else {
            return false;
        };
        let may = self.retry_budgets.try_take(now, &forward.service, attempt);
        if !may {
            forward.hedge_at = now + now.since(forward.received);
            if !std::mem::replace(&mut forward.is_copy_denied, true) {
                log::info!(
                    "decision=no-copy request={} service={} copy={attempt:?} held_us={}",
                    forward.request.id,
                    forward.service,
                    now.since(forward.received).0
                );
            }
        }
        may
    }

    pub(crate) fn due(&self, test: impl Fn(&Forward) -> bool) -> Vec<CallId> {
        let due = self.calls.iter().filter(|(_, forward)| test(forward));
        due.map(|(call, _)| *call).collect()
    }
}
