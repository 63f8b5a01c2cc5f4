//! Course of a streamed response: its begin, its end, and its continuation on another engine.

use peatgrade_fleet::EngineDirectory;
use peatgrade_types::http::{HttpFailure, HttpStep, ResponsePart};
use peatgrade_types::Time;

use crate::action::{CallId, ForwardAction, HttpId};
use crate::forwarder::Forwarder;
use crate::stream::{ends_within_event, StreamRelay};

impl Forwarder {
    /// Sends the head of the first engine that streams; engines that resume the stream add no
    /// head.
    pub(crate) fn begin_stream(&mut self, id: HttpId, actions: &mut Vec<ForwardAction>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let call = attempt.call;
        let (Some(forward), Some((head, _))) = (self.calls.get_mut(&call), &attempt.head) else {
            return;
        };
        if forward.stream.is_none() {
            forward.stream = Some(StreamRelay::default());
            let head = self.codec.forwarded_response_head(head, &forward.request);
            let part = ResponsePart::Head(head);
            actions.push(ForwardAction::Respond { call, part });
        }
    }

    /// Returns why a response that its engine has ended is incomplete, if it is. The end of a
    /// connection completes a body without a length, also if the engine has crashed; an event
    /// that was cut off gives that away.
    pub(crate) fn find_truncation(&self, id: HttpId) -> Option<HttpFailure> {
        let attempt = self.attempts.get(&id)?;
        let (head, answer_head) = attempt.head.as_ref()?;
        let forward = self.calls.get(&attempt.call);
        let streaming = forward.filter(|forward| forward.streaming_attempt == Some(id));
        let is_truncated = match streaming.and_then(|f| Some((f, f.stream.as_ref()?))) {
            Some((forward, stream)) => {
                let has_events = head.is_event_stream() || stream.has_events();
                (has_events || forward.resumable) && stream.has_partial_event()
            }
            None => {
                !answer_head.is_refusal()
                    && head.is_event_stream()
                    && ends_within_event(&attempt.body)
            }
        };
        is_truncated.then(|| HttpFailure {
            peer: attempt.instance.to_string(),
            step: HttpStep::Body,
            reason: "event stream ended within an event".into(),
        })
    }

    /// Finishes a stream whose engine has ended it.
    pub(crate) fn finish_stream(&mut self, call: CallId, actions: &mut Vec<ForwardAction>) {
        let Some(mut forward) = self.calls.remove(&call) else {
            return;
        };
        let remainder = forward
            .stream
            .as_mut()
            .and_then(StreamRelay::take_remainder);
        if let Some(remainder) = remainder {
            let part = ResponsePart::Data(remainder);
            actions.push(ForwardAction::Respond { call, part });
        }
        let part = ResponsePart::End;
        actions.push(ForwardAction::Respond { call, part });
    }

    /// Resumes an interrupted stream on another engine, or fails it.
    pub(crate) fn resume_stream(
        &mut self,
        now: Time,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(stream) = &mut forward.stream else {
            return;
        };
        stream.discard_partial_event();
        forward.streaming_attempt = None;
        forward.may_have_run = true;
        if !forward.resumable {
            return self.finish_without_answer(now, call, directory, actions);
        }
        forward.request.last_event = stream.last_event_id.or(forward.request.last_event);
        log::info!(
            "decision=resume request={} after={:?}",
            forward.request.id,
            forward.request.last_event
        );
        self.dispatch(now, call, directory, actions);
    }
}
