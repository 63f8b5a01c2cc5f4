//! Timers: deadlines, connect timeouts and hedges.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::RouteKind;
use peatgrade_types::http::{HttpFailure, HttpStep};
use peatgrade_types::{Duration, Time};

use crate::action::{CallId, ForwardAction, HttpId};
use crate::forwarded_request::ForwardedRequest;
use crate::forwarder::Forwarder;
use crate::retry_budget::ExtraAttempt;

impl Forwarder {
    /// Records that a request has a connection and may run from now on. `connected_in` is the
    /// connect time of a new connection.
    pub fn on_connected(
        &mut self,
        id: HttpId,
        connected_in: Option<Duration>,
        directory: &mut EngineDirectory,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.is_connected = true;
        let state = directory.incarnation_mut(&attempt.instance, attempt.incarnation);
        if let (Some(state), Some(took)) = (state, connected_in) {
            state.stats.connect_timeouts = 0;
            self.connect_times.record(&state.record.zone, took);
        }
    }

    /// Records that the bytes of an attempt are sent again, after a connection that may have
    /// delivered them.
    pub fn on_resent(&mut self, id: HttpId) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if let Some(forward) = self.calls.get_mut(&attempt.call) {
            forward.may_have_run = true;
            log::info!(
                "decision=send-again request={} engine={} reason=connection-broke",
                forward.request.id,
                attempt.instance
            );
        }
    }

    /// Cancels a request whose caller has gone away.
    pub fn cancel(
        &mut self,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if let Some(forward) = self.calls.remove(&call) {
            log::info!("decision=abandon request={}", forward.request.id);
            self.cancel_attempts(&forward.open_attempts, directory, actions);
        }
    }

    pub(crate) fn cancel_attempts(
        &mut self,
        open: &[HttpId],
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        for id in open {
            actions.push(ForwardAction::CancelHttp(*id));
            self.remove_attempt(*id, directory);
        }
    }

    /// Handles expired deadlines and connect timeouts, and sends due probes and hedges.
    pub fn tick(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.probe_engines(now, directory, actions);
        self.fail_over_restarted_engines(now, directory, actions);
        self.refuse_convicted_calls(now, directory, actions);
        let late: Vec<CallId> = self.calls_where(|forward| now >= forward.deadline);
        for call in late {
            let Some(forward) = self.calls.get_mut(&call) else {
                continue;
            };
            let attempts = &self.attempts;
            let mut open = forward.open_attempts.iter();
            forward.may_have_run |= open.any(|id| attempts.get(id).is_some_and(|a| a.is_connected));
            let open = std::mem::take(&mut forward.open_attempts);
            self.cancel_attempts(&open, directory, actions);
            self.finish_without_answer(now, call, directory, actions);
        }
        self.abort_unconnected(now, directory, actions);
        self.hedge(now, directory, actions);
    }

    /// Fails attempts whose connect timeout has passed. Their requests have not run.
    fn abort_unconnected(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let mut late = Vec::new();
        for (id, attempt) in &mut self.attempts {
            let is_overdue = now.since(attempt.sent_at) >= attempt.connect_timeout;
            // Only at the second tick after the timeout: a process that was descheduled
            // first has to process the connections that were established meanwhile.
            if !attempt.is_connected
                && std::mem::replace(&mut attempt.was_overdue, is_overdue)
                && is_overdue
            {
                late.push(*id);
            }
        }
        late.sort_unstable();
        for id in late {
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            let timeout = attempt.connect_timeout;
            let failure = HttpFailure {
                peer: attempt.instance.to_string(),
                step: HttpStep::Connect,
                reason: format!(
                    "connection not established within {} ms",
                    timeout.as_millis()
                ),
            };
            actions.push(ForwardAction::CancelHttp(id));
            self.on_attempt_failed(now, id, &failure, directory, actions);
        }
    }

    /// Sends hedges for requests whose engine has not responded within the hedge delay.
    fn hedge(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let (quarantine, attempts) = (&directory.quarantine, &self.attempts);
        let unresponsive: Vec<CallId> = self.calls_where(|forward| {
            // A request that may have crashed an engine is not hedged, as it could crash a
            // second one before the first crash is detected.
            let may_hedge =
                quarantine.crash_count(forward.fingerprint) == 0 && !forward.may_have_run;
            forward.kind == RouteKind::Safe
                && may_hedge
                && now >= forward.hedge_at
                && forward.open_attempts.len() == 1
                // Attempts without a connection are subject to the connect timeout instead.
                && forward
                    .open_attempts
                    .iter()
                    .all(|id| attempts.get(id).is_some_and(|a| a.is_connected))
                && forward.attempts < forward.max_attempts
        });
        for call in unresponsive {
            // Takes no token from the retry budget if no engine is left.
            let has_engine = self.admit(now, call, directory).is_some();
            if has_engine && self.take_extra_attempt(now, call, ExtraAttempt::Hedge) {
                self.record_unanswered(now, call, directory);
                self.dispatch(now, call, directory, actions);
            }
        }
    }

    /// Records that the engine of a call's latest attempt has not responded in time.
    fn record_unanswered(&mut self, now: Time, call: CallId, directory: &mut EngineDirectory) {
        let open = self
            .calls
            .get(&call)
            .and_then(|forward| forward.open_attempts.last());
        let attempt = open.and_then(|id| self.attempts.get(id));
        if let Some(state) = attempt
            .and_then(|attempt| directory.incarnation_mut(&attempt.instance, attempt.incarnation))
        {
            state.stats.record_unanswered(now);
        }
    }

    /// Takes a token for an extra attempt from the service's retry budget and returns whether
    /// one was available. A denied hedge is tried again with exponential backoff.
    pub(crate) fn take_extra_attempt(
        &mut self,
        now: Time,
        call: CallId,
        attempt: ExtraAttempt,
    ) -> bool {
        let Some(forward) = self.calls.get_mut(&call) else {
            return false;
        };
        let granted = self.retry_budgets.try_take(now, &forward.service, attempt);
        if !granted {
            forward.hedge_at = now + now.since(forward.received);
            if !std::mem::replace(&mut forward.denial_logged, true) {
                log::info!(
                    "decision=no-copy request={} service={} copy={attempt:?} held_us={}",
                    forward.request.id,
                    forward.service,
                    now.since(forward.received).0
                );
            }
        }
        granted
    }

    pub(crate) fn calls_where(&self, test: impl Fn(&ForwardedRequest) -> bool) -> Vec<CallId> {
        let due = self.calls.iter().filter(|(_, forward)| test(forward));
        due.map(|(call, _)| *call).collect()
    }
}
