//! What comes back from engines.

use bytes::Bytes;
use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::RouteKind;
use peatgrade_quarantine::RetryScope;
use peatgrade_types::http::{HttpFailure, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};

use crate::action::{whole_parts, CallId, ForwardAction, HttpId};
use crate::forwarder::{Attempt, Forwarder};
use crate::retry_budget::ExtraAttempt;
use crate::stream::PassedStream;
use crate::suspects::{record_failure, InterruptedRun};

/// Status of an engine that ran a request and failed.
const ENGINE_FAILURE: u16 = 500;
/// Wait before a full engine is tried again.
const FULL_WAIT: Duration = Duration::from_millis(50);

impl Forwarder {
    /// Takes a part of an engine's answer.
    pub fn on_response_part(
        &mut self,
        now: Time,
        id: HttpId,
        part: ResponsePart,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.on_check_part(now, id, &part, directory, actions) {
            return;
        }
        match part {
            ResponsePart::Head(head) => self.on_head(now, id, head, directory, actions),
            ResponsePart::Data(data) => self.on_data(id, &data, actions),
            ResponsePart::End => self.on_end(now, id, directory, actions),
            ResponsePart::Failed(failure) => {
                self.on_failed(now, id, &failure, directory, actions);
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
        let told = self.codec.answer_head(&head);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let forward = self.calls.get_mut(&attempt.call);
        let asked = forward.as_ref().map(|forward| &forward.request.id);
        let foreign = asked.zip(told.id.as_ref()).is_some_and(|(a, b)| a != b);
        if !foreign {
            directory.record_response_head(now, &attempt.instance, attempt.life, &told, None);
        }
        let Some(forward) = forward else {
            return;
        };
        let streams =
            forward.kind == RouteKind::Streaming && told.status == 200 && told.is_signed();
        if !told.not_run && !told.misdirected && !foreign {
            let at = if streams { now } else { attempt.sent };
            forward.tell_began(at, actions);
        }
        attempt.head = Some((head, told));
        // The head of a stream comes with its beginning, that of other answers at the end.
        attempt.began = streams.then_some(now);
        if foreign {
            let failure = HttpFailure {
                peer: attempt.instance.to_string(),
                step: HttpStep::Head,
                reason: "answer of another request".into(),
            };
            actions.push(ForwardAction::CancelHttp(id));
            return self.on_failed(now, id, &failure, directory, actions);
        }
        if streams && forward.streaming.is_none() {
            forward.streaming = Some(id);
            self.begin_stream(id, actions);
        }
    }

    /// The first engine's head stands for the whole stream.
    fn begin_stream(&mut self, id: HttpId, actions: &mut Vec<ForwardAction>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let call = attempt.call;
        let (Some(forward), Some((head, _))) = (self.calls.get_mut(&call), &attempt.head) else {
            return;
        };
        if forward.stream.is_none() {
            forward.stream = Some(PassedStream::default());
            let head = self.codec.passed_head(head, &forward.request);
            let part = ResponsePart::Head(head);
            actions.push(ForwardAction::Respond { call, part });
        }
    }

    fn on_data(&mut self, id: HttpId, data: &Bytes, actions: &mut Vec<ForwardAction>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let call = attempt.call;
        let forward = self.calls.get_mut(&call);
        let streaming = forward.filter(|forward| forward.streaming == Some(id));
        match streaming.and_then(|forward| forward.stream.as_mut()) {
            None => attempt.body.extend_from_slice(data),
            Some(stream) => {
                if let Some(whole) = stream.feed(data) {
                    let part = ResponsePart::Data(whole);
                    actions.push(ForwardAction::Respond { call, part });
                }
            }
        }
    }

    /// The engine that a stream came from is done with it, or broke off.
    fn on_stream_end(
        &mut self,
        now: Time,
        call: CallId,
        failure: Option<&HttpFailure>,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(stream) = &mut forward.stream else {
            return;
        };
        let broken = failure.is_some() || (forward.resumable && stream.has_rest());
        if !broken {
            if let Some(rest) = stream.take_rest() {
                let part = ResponsePart::Data(rest);
                actions.push(ForwardAction::Respond { call, part });
            }
            let part = ResponsePart::End;
            actions.push(ForwardAction::Respond { call, part });
            self.calls.remove(&call);
            return;
        }
        stream.drop_rest();
        forward.streaming = None;
        forward.may_have_run = true;
        if !forward.resumable {
            return self.end_without_answer(now, call, directory, actions);
        }
        forward.request.last_event = stream.last_event.or(forward.request.last_event);
        log::info!(
            "decision=resume request={} after={:?}",
            forward.request.id,
            forward.request.last_event
        );
        self.dispatch(now, call, directory, actions);
    }

    fn on_end(
        &mut self,
        now: Time,
        id: HttpId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(attempt) = self.forget(id, directory) else {
            return;
        };
        let Some((head, told)) = attempt.head else {
            return;
        };
        if !told.not_run && !told.misdirected {
            let request = attempt.fingerprint;
            directory.quarantine.record_completed_run(now, request);
        }
        let call = attempt.call;
        let Some(forward) = self.calls.get_mut(&call) else {
            // The answer of an engine that another one has overtaken.
            if let Some(state) = directory.incarnation_mut(&attempt.instance, attempt.life) {
                state.stats.record_response(now, now.since(attempt.sent));
            }
            return;
        };
        if forward.streaming == Some(id) {
            return self.on_stream_end(now, call, None, directory, actions);
        }
        if told.not_run || told.misdirected {
            forward.sends -= 1;
            forward.refusals += 1;
            log::info!(
                "decision=refused-by-engine request={} engine={} status={} misdirected={}",
                forward.request.id,
                attempt.instance,
                told.status,
                told.misdirected
            );
            if let Some(state) = directory.incarnation_mut(&attempt.instance, attempt.life) {
                state.stats.record_rejection(now, FULL_WAIT);
            }
            return self.dispatch(now, call, directory, actions);
        }
        let took = now.since(attempt.sent);
        // Once a stream has begun, only more of it may follow.
        let stray = forward.stream.is_some();
        let broken = stray || told.status >= 500 || (told.status < 300 && !told.is_signed());
        if let Some(state) = directory.incarnation_mut(&attempt.instance, attempt.life) {
            if broken {
                state.stats.record_failure(now);
            } else {
                state.stats.record_response(now, took);
            }
        }
        if broken {
            log::info!(
                "decision=broken-answer request={} engine={} status={} signed={}",
                forward.request.id,
                attempt.instance,
                told.status,
                told.is_signed()
            );
            if told.status == ENGINE_FAILURE {
                actions.push(ForwardAction::EngineFailed(call));
            }
            forward.may_have_run = true;
            let again = forward.is_repeatable() && forward.sends < forward.max_attempts;
            let is_alone = forward.open.is_empty();
            if again && self.may_copy(now, call, ExtraAttempt::Repeat) {
                return self.dispatch(now, call, directory, actions);
            }
            if !is_alone {
                return;
            }
            if stray || told.status < 500 {
                return self.end_without_answer(now, call, directory, actions);
            }
        }
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        log::info!(
            "decision=answer request={} engine={} status={} attempts={} engine_us={} total_us={}",
            forward.request.id,
            attempt.instance,
            told.status,
            forward.tried.len(),
            took.0,
            now.since(forward.received).0
        );
        let head = self.codec.passed_head(&head, &forward.request);
        actions.extend(whole_parts(call, head, attempt.body.freeze()));
        let open = std::mem::take(&mut forward.open);
        self.calls.remove(&call);
        self.leave_others(now, attempt.sent, &open, directory, actions);
    }

    /// An attempt that was sent at `sent` has answered before these: of the same request,
    /// they run to their end, since breaking them off would waste what the engine has done
    /// and cost the connection. What has no connection yet is given up.
    fn leave_others(
        &mut self,
        now: Time,
        sent: Time,
        others: &[HttpId],
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        for id in others {
            let Some(other) = self.attempts.get(id) else {
                continue;
            };
            if !other.is_open {
                actions.push(ForwardAction::CancelHttp(*id));
                self.forget(*id, directory);
            } else if other.sent < sent {
                if let Some(state) = directory.incarnation_mut(&other.instance, other.life) {
                    state.stats.record_lost_hedge(now);
                }
            }
        }
    }

    pub(crate) fn on_failed(
        &mut self,
        now: Time,
        id: HttpId,
        failure: &HttpFailure,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(attempt) = self.forget(id, directory) else {
            return;
        };
        if let Some(state) = directory.incarnation_mut(&attempt.instance, attempt.life) {
            match failure.step {
                HttpStep::Connect => state.stats.record_connect_timeout(now),
                _ => state.stats.record_failure(now),
            }
        }
        let broken = InterruptedRun {
            engine: &attempt.instance,
            incarnation: attempt.life,
            request: attempt.fingerprint,
            retry_scope: RetryScope::AnyNode,
            first_response_at: attempt.began,
        };
        record_failure(now, &broken, failure, directory);
        self.after_failure(now, id, &attempt, failure, directory, actions);
    }

    /// An attempt came to nothing: the request goes elsewhere, or ends.
    pub(crate) fn after_failure(
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
        if forward.streaming == Some(id) {
            return self.on_stream_end(now, call, Some(failure), directory, actions);
        }
        let unsent = failure.step.is_unsent();
        if !unsent {
            // It may not have, but most that break off have begun.
            forward.tell_began(attempt.sent, actions);
        }
        if unsent {
            forward.sends -= 1;
            forward.unconnected += 1;
            self.counts.unconnected += 1;
        } else {
            forward.may_have_run = true;
        }
        // After a broken run its copy at another engine is waited for: a third one beside it
        // would end a third engine, as it did 28 ms after the second had begun.
        let is_alone = unsent || forward.open.is_empty();
        let repeatable = forward.is_repeatable() || !forward.may_have_run;
        // What never left is no copy: no engine has any work of it.
        let is_free = unsent || forward.sends >= forward.max_attempts;
        let is_last = forward.open.is_empty();
        if repeatable && is_alone && (is_free || self.may_copy(now, call, ExtraAttempt::Repeat)) {
            return self.dispatch(now, call, directory, actions);
        }
        if is_last {
            self.end_without_answer(now, call, directory, actions);
        }
    }
}
