//! Requests under way at engines that have started again.
//!
//! The engine of a life that is over gives no answer. But a request may have left after
//! the engine's new start and before the news of it, and then it runs: so what may be
//! repeated goes to another engine beside it, and what may not waits for what comes of it.
//! A stream would come twice; it is taken up elsewhere after its last event.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::RouteKind;
use peatgrade_types::http::{HttpFailure, HttpStep};
use peatgrade_types::Time;

use crate::action::{CallId, ForwardAction, HttpId};
use crate::forwarder::Forwarder;
use crate::retry_budget::ExtraAttempt;

impl Forwarder {
    /// Brings requests elsewhere that were under way in a life that is over.
    pub(crate) fn leave_ended_lives(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.lives_seen == directory.ended_incarnations() {
            return;
        }
        self.lives_seen = directory.ended_incarnations();
        let attempts = self.attempts.iter();
        let ended = attempts.filter(|(_, a)| directory.has_ended(&a.instance, a.life));
        let mut ended: Vec<(HttpId, CallId)> = ended.map(|(id, a)| (*id, a.call)).collect();
        ended.sort();
        for (id, call) in ended {
            self.leave_ended_life(now, id, call, directory, actions);
        }
    }

    fn leave_ended_life(
        &mut self,
        now: Time,
        id: HttpId,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(forward) = self.calls.get(&call) else {
            return;
        };
        if !forward.is_repeatable() {
            return;
        }
        log::info!(
            "decision=fail-over request={} reason=engine-restarted open={} held_us={}",
            forward.request.id,
            forward.open.len(),
            now.since(forward.received).0
        );
        if forward.kind == RouteKind::Streaming {
            actions.push(ForwardAction::CancelHttp(id));
            let failure = HttpFailure {
                peer: String::new(),
                step: HttpStep::Body,
                reason: "the engine started again".into(),
            };
            // That it was under way says nothing against it: it may run in the new life.
            if let Some(attempt) = self.forget(id, directory) {
                self.after_failure(now, id, &attempt, &failure, directory, actions);
            }
            return;
        }
        // The same holds as for any second copy.
        let is_alone = forward.open.len() == 1;
        let may_hedge = directory.quarantine.crash_count(forward.fingerprint) == 0;
        if may_hedge && is_alone && self.may_copy(now, call, ExtraAttempt::Hedge) {
            self.dispatch(now, call, directory, actions);
        }
    }
}
