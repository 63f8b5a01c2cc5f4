//! How a request ends that gets no engine's answer, and when its caller may come back.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Answer, Refusal};
use peatgrade_types::{Duration, Time};
use rand::Rng;

use crate::action::{answer_parts, CallId, ForwardAction};
use crate::admission::RetryAfter;
use crate::forwarder::{Forward, Forwarder};
use crate::suspects::{broken_stream, COME_BACK_SUSPECT};

/// Time of an answer where none was seen yet. A guess, for the spread of callers only.
const UNKNOWN_ANSWER: Duration = Duration::from_millis(30);

impl Forwarder {
    /// Nothing more can be done: the final answer goes out at once.
    pub(crate) fn end_without_answer(
        &mut self,
        now: Time,
        call: CallId,
        directory: &EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(forward) = self.calls.remove(&call) else {
            return;
        };
        let over = now >= forward.deadline;
        let refusal = match (forward.may_have_run, over) {
            (false, _) => Refusal::NotRun,
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::Unknown,
        };
        let come_back = match (refusal, forward.held_back) {
            (Refusal::NotRun, true) => Some(COME_BACK_SUSPECT),
            (Refusal::NotRun, false) => Some(self.come_back(now, &forward, directory)),
            _ => None,
        };
        let is_rejected = refusal == Refusal::NotRun && forward.rejection.is_some();
        self.counts.rejected += u64::from(is_rejected);
        log_refusal(now, &forward, refusal, come_back, directory);
        if forward.stream.is_some() {
            return actions.push(broken_stream(call, "no engine goes on with the stream"));
        }
        let answer = Answer::Refused {
            refusal,
            detail: format!(
                "no engine of the route answered, {} tried",
                forward.tried.len()
            ),
            retry_after: come_back,
        };
        actions.extend(answer_parts(self.codec.as_ref(), call, &answer));
    }

    /// When the caller of a request that has not run may come back.
    fn come_back(&mut self, now: Time, forward: &Forward, directory: &EngineDirectory) -> Duration {
        let sound = directory
            .serving(&forward.service)
            .map(|state| state.snapshot(now))
            .filter(|outlook| outlook.is_healthy());
        let (mut places, mut answers, mut known) = (0, 0, 0);
        for outlook in sound {
            places += u64::from(outlook.slots);
            answers += outlook.mean_latency.map_or(0, |answer| answer.0);
            known += u64::from(outlook.mean_latency.is_some());
        }
        let answer = answers.checked_div(known).unwrap_or(UNKNOWN_ANSWER.0);
        let come_back = RetryAfter {
            available_in: forward
                .rejection
                .map_or(Duration(0), |rejection| rejection.available_in),
            recent_rejections: self.rejections.record(now),
            time_per_slot: Duration(answer / places.max(1)),
            time_remaining: forward.deadline.since(now),
        };
        come_back.delay(self.random.random())
    }
}

fn log_refusal(
    now: Time,
    forward: &Forward,
    refusal: Refusal,
    come_back: Option<Duration>,
    directory: &EngineDirectory,
) {
    let rejection = forward.rejection;
    let reason = rejection.map(|rejection| rejection.reason);
    let available_in = rejection.map(|rejection| rejection.available_in.as_millis());
    log::info!(
        "decision=refuse request={} fingerprint={} service={} refusal={refusal:?} attempts={} \
         refusals={} unconnected={} held_back={} reason={reason:?} room_in_ms={available_in:?} \
         come_back_ms={:?} left_ms={} list_age_ms={} held_us={}",
        forward.request.id,
        forward.fingerprint,
        forward.service,
        forward.tried.len(),
        forward.refusals,
        forward.unconnected,
        forward.held_back,
        come_back.map(Duration::as_millis),
        forward.deadline.since(now).as_millis(),
        now.since(directory.confirmed_at).as_millis(),
        now.since(forward.received).0
    );
}
