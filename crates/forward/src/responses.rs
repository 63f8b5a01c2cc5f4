//! Handling of engine responses.

use bytes::Bytes;
use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::RouteKind;
use peatgrade_quarantine::RetryScope;
use peatgrade_types::http::{HttpFailure, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};

use crate::action::{complete_response, ForwardAction, HttpId};
use crate::forwarder::{Attempt, Forwarder};
use crate::quarantine::{record_failure, InterruptedRun};
use crate::retry_budget::ExtraAttempt;

/// Status of an engine that failed while running a request.
const STATUS_INTERNAL_ERROR: u16 = 500;
/// Backoff after a refusal by a full engine.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(50);

impl Forwarder {
    /// Handles part of an engine's response.
    pub fn on_response_part(
        &mut self,
        now: Time,
        id: HttpId,
        part: ResponsePart,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.on_probe_part(now, id, &part, directory, actions) {
            return;
        }
        match part {
            ResponsePart::Head(head) => self.on_head(now, id, head, directory, actions),
            ResponsePart::Data(data) => self.on_data(now, id, &data, directory, actions),
            ResponsePart::End => self.on_end(now, id, directory, actions),
            ResponsePart::Failed(failure) => {
                self.on_attempt_failed(now, id, &failure, directory, actions);
            }
        }
    }

    fn on_head(
        &mut self,
        now: Time,
        id: HttpId,
        head: ResponseHead,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let answer_head = self.codec.engine_response_head(&head);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let forward = self.calls.get_mut(&attempt.call);
        let request_id = forward.as_ref().map(|forward| &forward.request.id);
        let id_mismatch = request_id
            .zip(answer_head.id.as_ref())
            .is_some_and(|(a, b)| a != b);
        if !id_mismatch {
            directory.record_response_head(
                now,
                &attempt.instance,
                attempt.incarnation,
                &answer_head,
                None,
            );
        }
        let Some(forward) = forward else {
            return;
        };
        let streams = forward.kind == RouteKind::Streaming
            && answer_head.status == 200
            && answer_head.is_signed();
        if !answer_head.is_refusal() && !id_mismatch {
            let at = if streams { now } else { attempt.sent_at };
            forward.report_execution_started(at, actions);
        }
        attempt.head = Some((head, answer_head));
        // The head of any other response is sent when the run has ended, so it does not tell
        // when the run started.
        attempt.first_response_at = streams.then_some(now);
        if id_mismatch {
            let failure = HttpFailure {
                peer: attempt.instance.to_string(),
                step: HttpStep::Head,
                reason: "response carries the id of another request".into(),
            };
            actions.push(ForwardAction::CancelHttp(id));
            return self.on_attempt_failed(now, id, &failure, directory, actions);
        }
        if streams && forward.streaming_attempt.is_none() {
            forward.streaming_attempt = Some(id);
            self.begin_stream(id, actions);
        }
    }

    fn on_data(
        &mut self,
        now: Time,
        id: HttpId,
        data: &Bytes,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let call = attempt.call;
        let forward = self.calls.get_mut(&call);
        let streaming = forward.filter(|forward| forward.streaming_attempt == Some(id));
        match streaming.and_then(|forward| forward.stream.as_mut()) {
            None => {
                attempt.body.extend_from_slice(data);
                self.response_bytes += data.len();
            }
            Some(stream) => {
                if let Some(events) = stream.push(data) {
                    let part = ResponsePart::Data(events);
                    actions.push(ForwardAction::Respond { call, part });
                }
                if stream.is_event_too_long() {
                    let failure = HttpFailure {
                        peer: attempt.instance.to_string(),
                        step: HttpStep::Body,
                        reason: "event is longer than 1 MiB".into(),
                    };
                    actions.push(ForwardAction::CancelHttp(id));
                    self.on_attempt_failed(now, id, &failure, directory, actions);
                }
            }
        }
    }

    fn on_end(
        &mut self,
        now: Time,
        id: HttpId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if let Some(failure) = self.find_truncation(id) {
            return self.on_attempt_failed(now, id, &failure, directory, actions);
        }
        let Some(attempt) = self.remove_attempt(id, directory) else {
            return;
        };
        let Some((head, answer_head)) = attempt.head else {
            return;
        };
        if !answer_head.is_refusal() {
            let request = attempt.fingerprint;
            directory.quarantine.record_completed_run(now, request);
        }
        let call = attempt.call;
        let Some(forward) = self.calls.get_mut(&call) else {
            // Another engine has already answered the call.
            if let Some(state) = directory.incarnation_mut(&attempt.instance, attempt.incarnation) {
                state.stats.record_response(now, now.since(attempt.sent_at));
            }
            return;
        };
        if forward.streaming_attempt == Some(id) {
            return self.finish_stream(call, actions);
        }
        if answer_head.is_refusal() {
            forward.attempts -= 1;
            match answer_head.is_misdirected() {
                true => forward.wrong_addresses.push(attempt.address),
                false => forward.refusals += 1,
            }
            log::info!(
                "decision=refused-by-engine request={} engine={} status={} misdirected={}",
                forward.request.id,
                attempt.instance,
                answer_head.status,
                answer_head.is_misdirected()
            );
            if let Some(state) = directory.incarnation_mut(&attempt.instance, attempt.incarnation) {
                state.stats.record_rejection(now, REFUSAL_BACKOFF);
            }
            return self.dispatch(now, call, directory, actions);
        }
        let took = now.since(attempt.sent_at);
        // Once a stream has started, only its continuation is a valid response.
        let after_stream_start = forward.stream.is_some();
        let is_unproven_refusal = answer_head.is_unproven_refusal();
        let broken = after_stream_start
            || is_unproven_refusal
            || answer_head.status >= 500
            || (answer_head.status < 300 && !answer_head.is_signed());
        if let Some(state) = directory.incarnation_mut(&attempt.instance, attempt.incarnation) {
            if broken {
                state.stats.record_failure(now);
            } else {
                state.stats.record_response(now, took);
            }
        }
        if broken {
            log::info!(
                "decision=broken-answer request={} engine={} status={} signed={} \
                 unproven_refusal={is_unproven_refusal}",
                forward.request.id,
                attempt.instance,
                answer_head.status,
                answer_head.is_signed()
            );
            self.counts.unproven_refusals += u64::from(is_unproven_refusal);
            if answer_head.status == STATUS_INTERNAL_ERROR {
                actions.push(ForwardAction::EngineFailed(call));
            }
            forward.may_have_run = true;
            let may_repeat = forward.is_repeatable() && forward.attempts < forward.max_attempts;
            let is_alone = forward.open_attempts.is_empty();
            if may_repeat && self.take_extra_attempt(now, call, ExtraAttempt::Repeat) {
                return self.dispatch(now, call, directory, actions);
            }
            if !is_alone {
                return;
            }
            // Callers would repeat a request that was refused without proof.
            if after_stream_start || is_unproven_refusal || answer_head.status < 500 {
                return self.finish_without_answer(now, call, directory, actions);
            }
        }
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        log::info!(
            "decision=answer request={} engine={} status={} attempts={} engine_us={} total_us={}",
            forward.request.id,
            attempt.instance,
            answer_head.status,
            forward.tried.len(),
            took.0,
            now.since(forward.received).0
        );
        let head = self.codec.forwarded_response_head(&head, &forward.request);
        actions.extend(complete_response(call, head, attempt.body.freeze()));
        let open = std::mem::take(&mut forward.open_attempts);
        self.calls.remove(&call);
        self.release_other_attempts(now, attempt.sent_at, &open, directory, actions);
    }

    /// Releases the remaining attempts of a call that was answered by an attempt sent at
    /// `sent_at`. Connected attempts run to completion, since cancelling them would waste the
    /// engine's work and the connection; the others are cancelled.
    fn release_other_attempts(
        &mut self,
        now: Time,
        sent_at: Time,
        others: &[HttpId],
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        for id in others {
            let Some(other) = self.attempts.get(id) else {
                continue;
            };
            if !other.is_connected {
                actions.push(ForwardAction::CancelHttp(*id));
                self.remove_attempt(*id, directory);
            } else if other.sent_at < sent_at {
                if let Some(state) = directory.incarnation_mut(&other.instance, other.incarnation) {
                    state.stats.record_lost_hedge(now);
                }
            }
        }
    }

    pub(crate) fn on_attempt_failed(
        &mut self,
        now: Time,
        id: HttpId,
        failure: &HttpFailure,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(attempt) = self.remove_attempt(id, directory) else {
            return;
        };
        if let Some(state) = directory.incarnation_mut(&attempt.instance, attempt.incarnation) {
            match failure.step {
                HttpStep::Connect => state.stats.record_connect_timeout(now),
                _ => state.stats.record_failure(now),
            }
        }
        let broken = InterruptedRun {
            engine: &attempt.instance,
            incarnation: attempt.incarnation,
            request: attempt.fingerprint,
            retry_scope: RetryScope::AnyNode,
            first_response_at: attempt.first_response_at,
        };
        record_failure(now, &broken, failure, directory);
        self.handle_failed_attempt(now, id, &attempt, failure, directory, actions);
    }

    /// Sends the request of a failed attempt to another engine, or finishes it.
    pub(crate) fn handle_failed_attempt(
        &mut self,
        now: Time,
        id: HttpId,
        attempt: &Attempt,
        failure: &HttpFailure,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let call = attempt.call;
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        log::info!(
            "decision=attempt-failed request={} fingerprint={} engine={} error={failure}",
            forward.request.id,
            forward.fingerprint,
            attempt.instance
        );
        if forward.streaming_attempt == Some(id) {
            return self.resume_stream(now, call, directory, actions);
        }
        let unsent = failure.step.is_unsent();
        if !unsent {
            // Most attempts that fail after they were sent have started running.
            forward.report_execution_started(attempt.sent_at, actions);
        }
        if unsent {
            forward.attempts -= 1;
            match failure.step {
                HttpStep::Refused => forward.wrong_addresses.push(attempt.address.clone()),
                _ => forward.connect_failures += 1,
            }
            self.counts.unconnected += 1;
        } else {
            forward.may_have_run = true;
        }
        // A request that crashes engines must not reach a third engine while its hedge still
        // runs on the second.
        let is_alone = unsent || forward.open_attempts.is_empty();
        let repeatable = forward.is_repeatable() || !forward.may_have_run;
        // An attempt that was not sent caused no load and needs no retry budget.
        let is_free = unsent || forward.attempts >= forward.max_attempts;
        let is_last = forward.open_attempts.is_empty();
        if repeatable
            && is_alone
            && (is_free || self.take_extra_attempt(now, call, ExtraAttempt::Repeat))
        {
            return self.dispatch(now, call, directory, actions);
        }
        if is_last {
            self.finish_without_answer(now, call, directory, actions);
        }
    }
}
