//! The role that serves callers; every node has it.
//!
//! ```text
//!  route -> admission -> [record start] -> [take session turn] -> engine
//!             |               |                                     |
//!           refused        duplicate: wait or recorded answer       |
//!  answer <- [save session turn] <- [record answer] <---------------+
//!                        broke off, repeatable: another engine <----+
//! ```
//!
//! Each request ends in exactly one way: the engine's whole answer; `not-run`,
//! if no byte of it can have reached an engine; `outcome-unknown`; or the
//! statement that it was wrong in itself.

mod answer;
mod call;
mod dispatch;
mod once;
mod route;
mod session;

use peatgrade_consensus::RegisterError;
use peatgrade_routing::{Admission, AdmissionDecision};
use peatgrade_types::http::{HttpRequest, ResponsePart};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::blobs::BlobResult;
use crate::context::Context;
use crate::event::{CallId, HttpId};
use crate::problem::Refusal;
use crate::registers::{OnceStep, SessionStep};
use call::{Call, Phase};

/// Requests of callers in progress.
#[derive(Debug, Default)]
pub(crate) struct Gateway {
    calls: BTreeMap<CallId, Call>,
    admission: Admission<CallId>,
    /// When the next prompt of a tenant may be offered to its trainer.
    next_offer: BTreeMap<String, Time>,
}

impl Gateway {
    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    pub fn on_call(&mut self, ctx: &mut Context, id: CallId, request: HttpRequest, ready: bool) {
        if ctx.draining || !ready {
            let kind = if ctx.draining {
                "node-leaving"
            } else {
                "node-starting"
            };
            ctx.metrics.ended("", kind);
            return ctx.refuse(id, &Refusal::not_run(kind, "send it to another node"));
        }
        let call = match route::route(ctx, id, request) {
            Ok(call) => call,
            Err(refusal) => {
                ctx.metrics.ended("", "invalid");
                return ctx.refuse(id, &refusal);
            }
        };
        let spec = call.tenant.spec.clone();
        let name = call.tenant.name.clone();
        self.calls.insert(id, call);
        let queue = Duration::from_millis(spec.queue_ms);
        let limit = spec.max_in_flight;
        match self
            .admission
            .try_admit(ctx.now, &name, spec.priority, limit, queue, id)
        {
            AdmissionDecision::Admitted => self.begin(ctx, id),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(_) => {
                let refusal = Refusal::not_run("overloaded", "the tenant's limit is reached");
                self.finish_refused(ctx, id, &refusal);
            }
        }
    }

    /// Starts a request that has its place.
    fn begin(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.admitted = true;
        ctx.retries.deposit();
        if call.once_key.is_some() {
            self.record_start(ctx, id);
        } else {
            self.after_record(ctx, id);
        }
    }

    /// Goes on once the record, if any, allows it.
    fn after_record(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.gone {
            let refusal =
                Refusal::not_run("caller-gone", "the caller went away before it was sent");
            self.finish_refused(ctx, id, &refusal);
        } else if call.session.is_some() {
            self.begin_session(ctx, id);
        } else {
            self.dispatch(ctx, id);
        }
    }

    pub fn tick(&mut self, ctx: &mut Context) {
        for id in self.admission.take_expired(ctx.now) {
            let refusal = Refusal::not_run("overloaded", "no place within the tenant's queue time");
            self.finish_refused(ctx, id, &refusal);
        }
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            self.tick_call(ctx, id);
        }
        self.admit_waiting(ctx);
    }

    fn admit_waiting(&mut self, ctx: &mut Context) {
        while let Some(id) = self.admission.take_next() {
            self.begin(ctx, id);
        }
    }

    fn tick_call(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if ctx.now >= call.deadline {
            return self.on_deadline(ctx, id);
        }
        match call.phase {
            Phase::AwaitingEngine { until } if ctx.now >= until => self.dispatch(ctx, id),
            Phase::AwaitingOther {
                until,
                polling: false,
            } if ctx.now >= until => {
                self.poll_record(ctx, id);
            }
            Phase::Dispatched => self.hedge_if_due(ctx, id),
            _ => {}
        }
    }

    fn on_deadline(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let other_runs = matches!(call.phase, Phase::AwaitingOther { .. });
        let sent = call.maybe_ran || !call.attempts.is_empty();
        if call.phase == Phase::RecordingStart {
            // The write of the start ends with the deadline too; what it may
            // have left is undone.
            self.own_start(id);
        }
        let refusal = if sent || other_runs {
            Refusal::unknown("deadline", "the deadline passed while it may have run")
        } else {
            Refusal::not_run(
                "deadline",
                "the deadline passed before it was sent to an engine",
            )
        };
        self.finish_refused(ctx, id, &refusal);
    }

    /// Stops the work of a caller that went away.
    pub fn on_gone(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if matches!(call.phase, Phase::RecordingStart | Phase::BeginningSession) {
            call.gone = true;
            return;
        }
        // A non-repeatable request runs on, so that its record gets its end.
        if !call.repeatable && !call.attempts.is_empty() {
            return;
        }
        self.end_call(ctx, id, "caller-gone");
    }

    pub fn on_http(&mut self, ctx: &mut Context, id: CallId, http: HttpId, part: ResponsePart) {
        self.on_part(ctx, id, http, part);
        self.admit_waiting(ctx);
    }

    pub fn on_once(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        step: OnceStep,
        result: Result<Vec<u8>, RegisterError>,
    ) {
        self.on_record(ctx, id, step, result);
        self.admit_waiting(ctx);
    }

    pub fn on_session(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        step: SessionStep,
        result: Result<Vec<u8>, RegisterError>,
    ) {
        match step {
            SessionStep::Begin => self.on_session_begun(ctx, id, result),
            SessionStep::Save => self.on_session_saved(ctx, id, result),
        }
        self.admit_waiting(ctx);
    }

    pub fn on_transcript(&mut self, ctx: &mut Context, id: CallId, result: BlobResult) {
        self.on_transcript_read(ctx, id, result);
    }

    pub fn on_transcript_saved(&mut self, ctx: &mut Context, id: CallId, result: BlobResult) {
        self.on_transcript_stored(ctx, id, result);
        self.admit_waiting(ctx);
    }
}
