//! Failover of in-flight requests whose engine has restarted.
//!
//! A request that was sent to an earlier incarnation of an engine is not answered. It may
//! still be running if it was sent after the restart but before the restart was observed.
//! A repeatable request is therefore also sent to another engine, and any other request
//! keeps waiting. A stream is cancelled and resumed on another engine after its last event.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::RouteKind;
use peatgrade_types::http::{HttpFailure, HttpStep};
use peatgrade_types::Time;

use crate::action::{CallId, ForwardAction, HttpId};
use crate::forwarder::Forwarder;
use crate::retry_budget::ExtraAttempt;

impl Forwarder {
    /// Fails over the requests that were sent to earlier incarnations of restarted engines.
    pub(crate) fn fail_over_restarted_engines(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.ended_incarnations_seen == directory.ended_incarnations() {
            return;
        }
        self.ended_incarnations_seen = directory.ended_incarnations();
        let attempts = self.attempts.iter();
        let ended = attempts.filter(|(_, a)| directory.has_ended(&a.instance, a.incarnation));
        let mut ended: Vec<(HttpId, CallId)> = ended.map(|(id, a)| (*id, a.call)).collect();
        ended.sort();
        for (id, call) in ended {
            self.fail_over(now, id, call, directory, actions);
        }
    }

    fn fail_over(
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
            forward.open_attempts.len(),
            now.since(forward.received).0
        );
        if forward.kind == RouteKind::Streaming {
            actions.push(ForwardAction::CancelHttp(id));
            let failure = HttpFailure {
                peer: String::new(),
                step: HttpStep::Body,
                reason: "engine restarted while streaming the response".into(),
            };
            // The restart is not attributed to the request, which may run again elsewhere.
            if let Some(attempt) = self.remove_attempt(id, directory) {
                self.handle_failed_attempt(now, id, &attempt, &failure, directory, actions);
            }
            return;
        }
        // Subject to the same conditions as any other hedge.
        let is_alone = forward.open_attempts.len() == 1;
        let may_hedge = directory.quarantine.crash_count(forward.fingerprint) == 0;
        if may_hedge && is_alone && self.take_extra_attempt(now, call, ExtraAttempt::Hedge) {
            self.dispatch(now, call, directory, actions);
        }
    }
}
