//! Sessions: turns in order, kept on the nodes with a data folder.
//!
//! A session's register says whose turn it is, which engine holds its prefix
//! and which blob holds its transcript. A node takes the turn, generates, then
//! stores the transcript and gives the turn back with one write. A turn whose
//! node is gone may be taken by another; the transcript is that of the last
//! turn that was given back, so a lost engine or node costs a prefill, not the
//! session.

use peatgrade_consensus::{Change, Decision, RegisterError};
use peatgrade_schema::peer::SessionRecord;
use peatgrade_schema::{decode, encode};
use peatgrade_types::{hash_bytes, Duration, EngineId, Identity, NodeId};

use super::call::{Kind, Phase};
use super::Gateway;
use crate::blobs::{self, BlobPurpose, BlobResult};
use crate::context::Context;
use crate::event::CallId;
use crate::problem::Refusal;
use crate::registers::{RegisterPurpose, SessionStep};

const REGISTER_LIMIT: Duration = Duration::from_secs(3);

fn register_key(tenant: &str, session: &str) -> String {
    format!("session/{tenant}/{session}")
}

fn is_holder(record: &SessionRecord, me: Identity, call: u64) -> bool {
    record.busy
        && NodeId(record.busy_node) == me.node
        && record.busy_generation == me.generation
        && record.busy_until == call
}

impl Gateway {
    /// Takes the session's turn.
    pub(super) fn begin_session(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::BeginningSession;
        let Some(turn) = &call.session else {
            return;
        };
        let me = ctx.identity;
        let dead: Vec<Identity> = ctx
            .swim
            .peers()
            .filter(|member| !member.reachable())
            .map(|member| member.identity)
            .collect();
        let newer: Vec<Identity> = ctx.swim.peers().map(|member| member.identity).collect();
        let change: Change = Box::new(move |current: &[u8]| {
            let mut record: SessionRecord = decode(current).unwrap_or_default();
            let holder = Identity {
                node: NodeId(record.busy_node),
                generation: record.busy_generation,
            };
            let restarted = newer
                .iter()
                .any(|known| known.node == holder.node && known.generation > holder.generation);
            let own_past = holder.node == me.node && holder.generation < me.generation;
            if record.busy && !(dead.contains(&holder) || restarted || own_past) {
                return Decision::Keep;
            }
            record.busy = true;
            record.busy_node = me.node.0;
            record.busy_generation = me.generation;
            // The number of the call tells two turns of one node apart.
            record.busy_until = id.0;
            Decision::write(encode(&record))
        });
        let key = register_key(&call.tenant.name, &turn.id);
        let deadline = (ctx.now + REGISTER_LIMIT).min(call.deadline);
        ctx.start_register(
            &key,
            deadline,
            RegisterPurpose::Session(id, SessionStep::Begin),
            change,
        );
    }

    pub(super) fn on_session_begun(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        result: Result<Vec<u8>, RegisterError>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let me = ctx.identity;
        let Some(turn) = call.session.as_mut() else {
            return;
        };
        let record = result.map(|value| decode::<SessionRecord>(&value).unwrap_or_default());
        match record {
            Ok(record) if is_holder(&record, me, id.0) => {
                turn.held = true;
                turn.record = record;
            }
            Ok(_) => {
                let refusal = Refusal {
                    status: 409,
                    ..Refusal::not_run("session-busy", "another turn of the session runs")
                };
                return self.finish_refused(ctx, id, &refusal);
            }
            Err(error) => {
                // The write may have taken effect; giving the turn back is
                // tried, and until then others are told that it is busy.
                turn.held = true;
                let refusal = Refusal::not_run("session-unavailable", error.to_string());
                return self.finish_refused(ctx, id, &refusal);
            }
        }
        if call.gone {
            let refusal =
                Refusal::not_run("caller-gone", "the caller went away before it was sent");
            return self.finish_refused(ctx, id, &refusal);
        }
        if turn.record.turn == 0 {
            return self.with_transcript(ctx, id, String::new());
        }
        call.phase = Phase::ReadingTranscript;
        let hints = turn
            .record
            .stored_on
            .iter()
            .map(|&node| NodeId(node))
            .collect();
        blobs::get(
            ctx,
            turn.record.key.clone(),
            hints,
            BlobPurpose::ReadTranscript(id),
        );
    }

    pub(super) fn on_transcript_read(&mut self, ctx: &mut Context, id: CallId, result: BlobResult) {
        let expected = self
            .calls
            .get(&id)
            .and_then(|call| call.session.as_ref())
            .map(|turn| turn.record.hash);
        match result {
            BlobResult::Value(Some(bytes)) if Some(hash_bytes(&bytes)) == expected => {
                let transcript = String::from_utf8_lossy(&bytes).into_owned();
                self.with_transcript(ctx, id, transcript);
            }
            _ => {
                let refusal =
                    Refusal::not_run("session-unreadable", "its turns cannot be read now");
                self.finish_refused(ctx, id, &refusal);
            }
        }
    }

    /// Puts the earlier turns in front of the prompt and goes on.
    fn with_transcript(&mut self, ctx: &mut Context, id: CallId, transcript: String) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let (Kind::Model(model), Some(turn)) = (&mut call.kind, call.session.as_mut()) {
            model.request.prompt = format!("{transcript}{}", model.request.prompt);
            call.blocks = peatgrade_routing::prefix_blocks(model.request.prompt.as_bytes());
            turn.transcript = transcript;
        }
        self.dispatch(ctx, id);
    }

    /// Stores the transcript with this turn; the answer's end waits for it.
    pub(super) fn save_session(&mut self, ctx: &mut Context, id: CallId, engine: EngineId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::SavingSession;
        let (Kind::Model(model), Some(turn)) = (&call.kind, call.session.as_mut()) else {
            return;
        };
        let transcript = format!("{}{}\n", model.request.prompt, model.generation.text);
        turn.previous_key.clone_from(&turn.record.key);
        turn.record.engine = engine.0;
        turn.record.turn += 1;
        turn.record.tokens += model.generation.tokens;
        turn.record.hash = hash_bytes(transcript.as_bytes());
        turn.record.key = format!(
            "session/{}/{}/{}-{:x}",
            call.tenant.name, turn.id, turn.record.turn, id.0
        );
        let key = turn.record.key.clone();
        blobs::put(
            ctx,
            key,
            transcript.into_bytes(),
            BlobPurpose::SaveTranscript(id),
        );
    }

    pub(super) fn on_transcript_stored(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        result: BlobResult,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let BlobResult::Stored(Ok(nodes)) = result else {
            let refusal =
                Refusal::unknown("session-not-saved", "the turn ran but cannot be saved now");
            return self.finish_refused(ctx, id, &refusal);
        };
        let Some(turn) = call.session.as_mut() else {
            return;
        };
        turn.record.stored_on = nodes.iter().map(|node| node.0).collect();
        let mut next = turn.record.clone();
        next.busy = false;
        let me = ctx.identity;
        let change: Change = Box::new(move |current: &[u8]| {
            let record: SessionRecord = decode(current).unwrap_or_default();
            if is_holder(&record, me, id.0) {
                Decision::write(encode(&next))
            } else {
                Decision::Keep
            }
        });
        let key = register_key(&call.tenant.name, &turn.id);
        let deadline = ctx.now + REGISTER_LIMIT;
        ctx.start_register(
            &key,
            deadline,
            RegisterPurpose::Session(id, SessionStep::Save),
            change,
        );
    }

    pub(super) fn on_session_saved(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        result: Result<Vec<u8>, RegisterError>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(turn) = call.session.as_mut() else {
            return;
        };
        let saved = result
            .ok()
            .and_then(|value| decode::<SessionRecord>(&value).ok());
        let ours = saved.is_some_and(|record| record.key == turn.record.key && !record.busy);
        if !ours {
            let refusal =
                Refusal::unknown("session-not-saved", "the turn ran but was not recorded");
            return self.finish_refused(ctx, id, &refusal);
        }
        turn.held = false;
        let number = turn.record.turn;
        let previous = std::mem::take(&mut turn.previous_key);
        if !previous.is_empty() {
            blobs::delete(ctx, vec![previous]);
        }
        self.answer_model(ctx, id, number);
    }

    /// Gives back a turn that was taken and did not end in an answer.
    pub(super) fn release_session(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(turn) = call.session.as_ref().filter(|turn| turn.held) else {
            return;
        };
        let me = ctx.identity;
        let change: Change = Box::new(move |current: &[u8]| {
            let mut record: SessionRecord = decode(current).unwrap_or_default();
            if !is_holder(&record, me, id.0) {
                return Decision::Keep;
            }
            record.busy = false;
            Decision::write(encode(&record))
        });
        let key = register_key(&call.tenant.name, &turn.id);
        let deadline = ctx.now + REGISTER_LIMIT;
        ctx.start_register(&key, deadline, RegisterPurpose::Nobody, change);
    }
}
