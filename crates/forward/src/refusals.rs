//! Final responses for requests that no engine answered, and their `retry_after`.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{CallerResponse, Refusal};
use peatgrade_types::{Duration, Time};
use rand::Rng;

use crate::action::{answer_parts, CallId, ForwardAction};
use crate::admission::RetryAfter;
use crate::forwarded_request::ForwardedRequest;
use crate::forwarder::Forwarder;
use crate::quarantine::{stream_failure, SUSPECT_RETRY_AFTER};

/// Latency assumed for `retry_after` while no response of the service has been measured.
const DEFAULT_LATENCY: Duration = Duration::from_millis(30);

impl Forwarder {
    /// Refuses a request that has reached its deadline or cannot be sent to another engine.
    pub(crate) fn finish_without_answer(
        &mut self,
        now: Time,
        call: CallId,
        directory: &EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(forward) = self.calls.remove(&call) else {
            return;
        };
        let is_late = now >= forward.deadline;
        let refusal = match (forward.may_have_run, is_late) {
            (false, _) => Refusal::NotRun,
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::Unknown,
        };
        let retry_after = match (refusal, forward.quarantine_blocked) {
            (Refusal::NotRun, true) => Some(SUSPECT_RETRY_AFTER),
            (Refusal::NotRun, false) => Some(self.retry_after(now, &forward, directory)),
            _ => None,
        };
        let is_rejected = refusal == Refusal::NotRun && forward.rejection.is_some();
        self.counts.rejected += u64::from(is_rejected);
        log_refusal(now, &forward, refusal, retry_after, directory);
        if forward.stream.is_some() {
            return actions.push(stream_failure(
                call,
                "stream interrupted: no engine can resume it",
            ));
        }
        let answer = CallerResponse::Refused {
            refusal,
            detail: format!(
                "no engine of the route answered, {} tried",
                forward.tried.len()
            ),
            retry_after,
        };
        actions.extend(answer_parts(self.codec.as_ref(), call, &answer));
    }

    /// Drops the largest incomplete response, to free memory, and finishes its call. Nothing is
    /// emitted if there is no such response.
    pub fn drop_largest_response(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let attempts = self.attempts.iter();
        let largest = attempts.max_by_key(|(_, attempt)| attempt.body.len());
        let Some((id, attempt)) = largest.filter(|(_, attempt)| !attempt.body.is_empty()) else {
            return;
        };
        let (id, call) = (*id, attempt.call);
        log::warn!(
            "decision=drop-response engine={} bytes={} held={} reason=no-memory",
            attempt.instance,
            attempt.body.len(),
            self.response_bytes
        );
        let Some(forward) = self.calls.get_mut(&call) else {
            // Another engine has already answered the call.
            return self.cancel_attempts(&[id], directory, actions);
        };
        forward.may_have_run = true;
        let open = std::mem::take(&mut forward.open_attempts);
        self.cancel_attempts(&open, directory, actions);
        self.finish_without_answer(now, call, directory, actions);
    }

    /// Time after which the caller of a request that has not run should retry.
    fn retry_after(
        &mut self,
        now: Time,
        forward: &ForwardedRequest,
        directory: &EngineDirectory,
    ) -> Duration {
        let healthy = directory
            .serving(&forward.service)
            .map(|state| state.snapshot(now))
            .filter(|snapshot| snapshot.is_healthy());
        let (mut slots, mut latency_sum, mut measured) = (0, 0, 0);
        for snapshot in healthy {
            slots += u64::from(snapshot.slots);
            latency_sum += snapshot.mean_latency.map_or(0, |latency| latency.0);
            measured += u64::from(snapshot.mean_latency.is_some());
        }
        let mean_latency = latency_sum
            .checked_div(measured)
            .unwrap_or(DEFAULT_LATENCY.0);
        let retry_after = RetryAfter {
            available_in: forward
                .rejection
                .map_or(Duration(0), |rejection| rejection.available_in),
            recent_rejections: self.rejections.record(now),
            time_per_slot: Duration(mean_latency / slots.max(1)),
            time_remaining: forward.deadline.since(now),
        };
        retry_after.delay(self.random.random())
    }
}

fn log_refusal(
    now: Time,
    forward: &ForwardedRequest,
    refusal: Refusal,
    retry_after: Option<Duration>,
    directory: &EngineDirectory,
) {
    let rejection = forward.rejection;
    let reason = rejection.map(|rejection| rejection.reason);
    let available_in = rejection.map(|rejection| rejection.available_in.as_millis());
    log::info!(
        "decision=refuse request={} fingerprint={} service={} refusal={refusal:?} attempts={} \
         refusals={} not_there={} unconnected={} held_back={} reason={reason:?} room_in_ms={available_in:?} \
         come_back_ms={:?} left_ms={} list_age_ms={} held_us={}",
        forward.request.id,
        forward.fingerprint,
        forward.service,
        forward.tried.len(),
        forward.refusals,
        forward.wrong_addresses.len(),
        forward.connect_failures,
        forward.quarantine_blocked,
        retry_after.map(Duration::as_millis),
        forward.deadline.since(now).as_millis(),
        now.since(directory.confirmed_at).as_millis(),
        now.since(forward.received).0
    );
}
