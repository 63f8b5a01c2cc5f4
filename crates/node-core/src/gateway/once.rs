//! The record of non-repeatable requests.
//!
//! "Started" is written to a majority before the first byte goes to an engine.
//! Whoever finds another's start waits for the answer while that node lives;
//! once it is gone without an answer the outcome is unknown, and the record is
//! made to say so for good.

use peatgrade_consensus::{Change, Decision, RegisterError};
use peatgrade_schema::peer::{OnceRecord, OnceState};
use peatgrade_schema::{decode, encode};
use peatgrade_types::http::ResponseHead;
use peatgrade_types::{Duration, Identity, NodeId};

use super::call::Phase;
use super::Gateway;
use crate::context::Context;
use crate::event::CallId;
use crate::mutation::Mutation;
use crate::problem::Refusal;
use crate::registers::{OnceStep, RegisterPurpose};

/// Longest time to record a start.
const START_LIMIT: Duration = Duration::from_secs(3);
/// Longest time to record an end; nobody waits for it.
const END_LIMIT: Duration = Duration::from_secs(10);
/// Time between two looks at another node's record.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Largest answer that is kept for duplicates.
const MAX_KEPT_BYTES: usize = 64 * 1024;

fn register_key(tenant: &str, key: &str) -> String {
    format!("once/{tenant}/{key}")
}

fn is_mine(record: &OnceRecord, me: Identity, attempt: u64) -> bool {
    NodeId(record.node) == me.node
        && record.generation == me.generation
        && record.attempt == attempt
}

impl Gateway {
    /// Writes "started" unless the record says anything but "not run".
    pub(super) fn record_start(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if ctx.broken(Mutation::SkipOnceRecord) {
            call.once_key = None;
            return self.after_record(ctx, id);
        }
        call.phase = Phase::RecordingStart;
        let Some(key) = call.once_key.clone() else {
            return;
        };
        let mine = OnceRecord {
            state: OnceState::STARTED,
            node: ctx.identity.node.0,
            generation: ctx.identity.generation,
            attempt: id.0,
            request_hash: call.content_hash(),
            ..Default::default()
        };
        let lifetime_ms = call.tenant.spec.once_window_seconds * 1_000;
        let change: Change = Box::new(move |current: &[u8]| {
            let record: OnceRecord = decode(current).unwrap_or_default();
            match record.state {
                OnceState::NONE | OnceState::NOT_RUN => Decision::Write {
                    value: encode(&mine),
                    lifetime_ms,
                },
                _ => Decision::Keep,
            }
        });
        let deadline = (ctx.now + START_LIMIT).min(call.deadline);
        let register = register_key(&call.tenant.name, &key);
        let purpose = RegisterPurpose::Once(id, OnceStep::Start);
        ctx.start_register(&register, deadline, purpose, change);
    }

    /// Reads another node's record; if that node is gone, the read also makes
    /// the outcome unknown for good.
    pub(super) fn poll_record(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(key) = call.once_key.clone() else {
            return;
        };
        call.phase = Phase::AwaitingOther {
            until: ctx.now,
            polling: true,
        };
        let members: Vec<(NodeId, u64, bool)> = ctx
            .swim
            .peers()
            .map(|m| (m.identity.node, m.identity.generation, !m.reachable()))
            .collect();
        let gone = move |owner: Identity| {
            let known = members.iter().find(|(node, _, _)| *node == owner.node);
            known.is_some_and(|(_, generation, dead)| {
                *generation > owner.generation || (*dead && *generation == owner.generation)
            })
        };
        let lifetime_ms = call.tenant.spec.once_window_seconds * 1_000;
        let change: Change = Box::new(move |current: &[u8]| {
            let mut record: OnceRecord = decode(current).unwrap_or_default();
            let owner = Identity {
                node: NodeId(record.node),
                generation: record.generation,
            };
            if record.state != OnceState::STARTED || !gone(owner) {
                return Decision::Keep;
            }
            record.state = OnceState::UNKNOWN;
            Decision::Write {
                value: encode(&record),
                lifetime_ms,
            }
        });
        let deadline = (ctx.now + START_LIMIT).min(call.deadline);
        let register = register_key(&call.tenant.name, &key);
        let purpose = RegisterPurpose::Once(id, OnceStep::Poll);
        ctx.start_register(&register, deadline, purpose, change);
    }

    pub(super) fn on_record(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        step: OnceStep,
        result: Result<Vec<u8>, RegisterError>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let record = match result {
            Ok(value) => decode::<OnceRecord>(&value).unwrap_or_default(),
            Err(error) if step == OnceStep::Start => {
                // The start may be recorded, but nothing was sent: it did not
                // run. Without the undo a repeat would be told "unknown".
                log::warn!("step=record-start error={error}");
                self.own_start(id);
                let refusal =
                    Refusal::not_run("record-unavailable", "its start cannot be recorded now");
                return self.finish_refused(ctx, id, &refusal);
            }
            Err(_) => {
                call.phase = Phase::AwaitingOther {
                    until: ctx.now + POLL_INTERVAL,
                    polling: false,
                };
                return;
            }
        };
        if record.request_hash != 0 && record.request_hash != call.content_hash() {
            let detail = "the key was used for another request";
            return self.finish_refused(
                ctx,
                id,
                &Refusal::invalid(422, "idempotency-key-reused", detail),
            );
        }
        match record.state {
            OnceState::STARTED if is_mine(&record, ctx.identity, id.0) => {
                call.once_started = true;
                self.after_record(ctx, id);
            }
            OnceState::STARTED => {
                call.phase = Phase::AwaitingOther {
                    until: ctx.now + POLL_INTERVAL,
                    polling: false,
                };
            }
            OnceState::ANSWERED => self.finish_recorded(ctx, id, &record),
            OnceState::NONE | OnceState::NOT_RUN => self.record_start(ctx, id),
            OnceState::UNKNOWN => {
                let detail = "an earlier try of it ended without an answer";
                self.finish_refused(ctx, id, &Refusal::unknown("earlier-try-unknown", detail));
            }
        }
    }

    /// Treats the start as recorded, so that the end of the request undoes it.
    pub(super) fn own_start(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.once_started = true;
        }
    }

    fn finish_recorded(&mut self, ctx: &mut Context, id: CallId, record: &OnceRecord) {
        if record.status == 0 {
            let detail = "it ran, but its answer was too large to be kept";
            return self.finish_refused(ctx, id, &Refusal::unknown("answer-not-kept", detail));
        }
        let mut head = ResponseHead::new(record.status as u16, &record.content_type);
        head.headers.push(("x-replayed".into(), "true".into()));
        ctx.respond_whole(id, head, record.body.clone());
        self.end_call(ctx, id, "replayed");
    }

    /// Records the end of a request that this node started.
    pub(super) fn record_end(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        state: OnceState,
        answer: Option<(&ResponseHead, &[u8])>,
    ) {
        let Some(call) = self.calls.get(&id).filter(|call| call.once_started) else {
            return;
        };
        let Some(key) = call.once_key.clone() else {
            return;
        };
        let mut end = OnceRecord {
            state,
            node: ctx.identity.node.0,
            generation: ctx.identity.generation,
            attempt: id.0,
            request_hash: call.content_hash(),
            ..Default::default()
        };
        if let Some((head, body)) = answer.filter(|(_, body)| body.len() <= MAX_KEPT_BYTES) {
            end.status = u32::from(head.status);
            end.content_type = head.header("content-type").unwrap_or_default().to_string();
            end.body = body.to_vec();
        }
        let me = ctx.identity;
        let lifetime_ms = call.tenant.spec.once_window_seconds * 1_000;
        let change: Change = Box::new(move |current: &[u8]| {
            let record: OnceRecord = decode(current).unwrap_or_default();
            let open = matches!(record.state, OnceState::STARTED | OnceState::UNKNOWN);
            if !(open && is_mine(&record, me, end.attempt)) {
                return Decision::Keep;
            }
            Decision::Write {
                value: encode(&end),
                lifetime_ms,
            }
        });
        let register = register_key(&call.tenant.name, &key);
        let deadline = ctx.now + END_LIMIT;
        ctx.start_register(&register, deadline, RegisterPurpose::Nobody, change);
    }
}
