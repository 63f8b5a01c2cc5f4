//! Which engine a request goes to next, if any, and when a rejected one may come back.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::Instance;
use peatgrade_quarantine::Verdict;
use peatgrade_types::{Duration, Time};
use rand::Rng;

use crate::action::{CallId, ForwardAction};
use crate::admission::{decide, Admission, Reason, Return};
use crate::choice::Choice;
use crate::forwarder::{Forward, Forwarder};
use crate::suspects::may_risk;

/// Refusals of engines that one request may meet.
const MAX_REFUSALS: u32 = 4;
/// Engines to which no connection came up that one request may meet: with half of a
/// service dark, one request in 64 meets so many, and another machine may know better.
const MAX_UNCONNECTED: u32 = 6;
/// Time of an answer where none was seen yet. A guess, for the spread of callers only.
const UNKNOWN_ANSWER: Duration = Duration::from_millis(30);

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
    fn admit(&mut self, now: Time, call: CallId, directory: &EngineDirectory) -> Option<Instance> {
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
            false => Admission::Offer,
        };
        let Admission::Reject { reason, room_in } = admission else {
            return choice.best(&mut self.random);
        };
        let forward = self.calls.get_mut(&call)?;
        forward.room_in = Some(room_in);
        if forward.open.is_empty() {
            self.counts.rejected += 1;
            log_rejection(forward, reason, room_in, left);
        }
        None
    }

    /// When the caller of a request that has not run may come back.
    pub(crate) fn come_back(
        &mut self,
        now: Time,
        forward: &Forward,
        directory: &EngineDirectory,
    ) -> Duration {
        let sound = directory
            .serving(&forward.service)
            .map(|state| state.outlook(now))
            .filter(|outlook| outlook.is_sound());
        let (mut places, mut answers, mut known) = (0, 0, 0);
        for outlook in sound {
            places += u64::from(outlook.slots);
            answers += outlook.usual_answer.map_or(0, |answer| answer.0);
            known += u64::from(outlook.usual_answer.is_some());
        }
        let answer = answers.checked_div(known).unwrap_or(UNKNOWN_ANSWER.0);
        let come_back = Return {
            room_in: forward.room_in.unwrap_or(Duration(0)),
            rejected: self.rejections.add(now),
            place_time: Duration(answer / places.max(1)),
            left: forward.deadline.since(now),
        };
        come_back.after(self.random.random())
    }
}

fn log_rejection(forward: &Forward, reason: Reason, room_in: Duration, left: Duration) {
    log::info!(
        "decision=reject request={} service={} reason={reason:?} room_in_ms={} left_ms={} \
         tried={} unconnected={}",
        forward.request.id,
        forward.service,
        room_in.as_millis(),
        left.as_millis(),
        forward.tried.len(),
        forward.unconnected
    );
}
