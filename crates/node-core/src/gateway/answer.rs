//! How requests end.

use bytes::Bytes;
use peatgrade_schema::engine::{Choice, CompletionAnswer, CompletionChunk, Usage};
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{OnceState, PromptOffer};
use peatgrade_types::http::{ResponseHead, ResponsePart};
use peatgrade_types::{hash_bytes, Duration, EngineId};
use serde_json::json;

use super::call::{Attempt, Kind, ModelCall};
use super::Gateway;
use crate::context::Context;
use crate::event::CallId;
use crate::leases::LeaseName;
use crate::mutation::Mutation;
use crate::problem::{Outcome, Refusal};

const JSON: &str = "application/json";
const EVENTS: &str = "text/event-stream";
/// Longest prompt that is offered to a trainer, in bytes.
const MAX_PROMPT_OFFER: usize = 4 * 1024;
/// Prompts offered to one trainer by all nodes of a region.
const OFFERS_PER_SECOND: u64 = 8;

impl Gateway {
    /// Sends new text to a streaming caller.
    pub(super) fn stream_text(&mut self, ctx: &mut Context, id: CallId, text: &str) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        // A session's answer waits until the turn is saved; a record of a
        // non-repeatable one is written whole.
        if call.session.is_some() {
            return;
        }
        let Kind::Model(model) = &mut call.kind else {
            return;
        };
        if !model.head_sent {
            model.head_sent = true;
            ctx.respond(id, ResponsePart::Head(ResponseHead::new(200, EVENTS)));
        }
        let event = text_event(model, text);
        ctx.respond(id, ResponsePart::Data(event));
    }

    /// The generation is whole: save the session's turn, or answer.
    pub(super) fn model_answered(&mut self, ctx: &mut Context, id: CallId, engine: EngineId) {
        let session = self
            .calls
            .get(&id)
            .is_some_and(|call| call.session.is_some());
        if session {
            self.save_session(ctx, id, engine);
        } else {
            self.answer_model(ctx, id, 0);
        }
    }

    /// Answers a caller with a whole generation.
    pub(super) fn answer_model(&mut self, ctx: &mut Context, id: CallId, turn: u64) {
        self.offer_prompt(ctx, id);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Kind::Model(model) = &call.kind else {
            return;
        };
        let body = answer_document(&call.tenant.name, model, turn);
        let head = ResponseHead::new(200, JSON);
        if model.request.stream {
            let late_text = if model.head_sent {
                String::new()
            } else {
                model.generation.text.clone()
            };
            let mut last = Vec::new();
            if !late_text.is_empty() || !model.head_sent {
                ctx.respond(id, ResponsePart::Head(ResponseHead::new(200, EVENTS)));
                last.extend_from_slice(&text_event(model, &late_text));
            }
            last.extend_from_slice(b"data: ");
            last.extend_from_slice(&body);
            last.extend_from_slice(b"\n\ndata: [DONE]\n\n");
            ctx.respond(id, ResponsePart::Data(Bytes::from(last)));
            ctx.respond(id, ResponsePart::End);
        } else {
            ctx.respond_whole(id, head.clone(), body.clone());
        }
        self.record_end(ctx, id, OnceState::ANSWERED, Some((&head, &body)));
        self.end_call(ctx, id, "answered");
    }

    /// Offers a live prompt to the tenant's trainer, seldom enough that the
    /// coordinator gets a few a second from the whole region.
    fn offer_prompt(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Kind::Model(model) = &call.kind else {
            return;
        };
        let tenant = &call.tenant.name;
        let due = self
            .next_offer
            .get(tenant)
            .is_none_or(|next| ctx.now >= *next);
        let prompt = model.request.prompt.as_bytes();
        if call.tenant.spec.training.is_none() || prompt.len() > MAX_PROMPT_OFFER || !due {
            return;
        }
        let members = ctx.swim.reachable().count() as u64;
        let interval = Duration::from_millis(members * 1_000 / OFFERS_PER_SECOND);
        self.next_offer.insert(tenant.clone(), ctx.now + interval);
        let name = LeaseName::Coordinator(tenant.clone());
        if let Some(coordinator) = ctx.rendezvous_member(&name.key()) {
            let offer = PromptOffer {
                tenant: tenant.clone(),
                seed: hash_bytes(prompt) ^ model.request.seed,
                tokens: (prompt.len() / 4) as u32,
                prompt: prompt.to_vec(),
            };
            ctx.send(coordinator, OneOfbody::prompt_offer(offer));
        }
    }

    /// Answers a caller with an app engine's whole answer.
    pub(super) fn app_answered(&mut self, ctx: &mut Context, id: CallId, attempt: Attempt) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        for loser in std::mem::take(&mut call.attempts) {
            ctx.load.record_ended(loser.engine);
            ctx.cancel_http(loser.http);
        }
        let mut head = attempt.head.unwrap_or_default();
        head.headers.retain(|(name, _)| {
            !matches!(
                name.as_str(),
                "connection" | "content-length" | "transfer-encoding"
            )
        });
        let target = self.answer_target(ctx, id);
        ctx.respond_whole(target, head.clone(), attempt.body.clone());
        self.record_end(ctx, id, OnceState::ANSWERED, Some((&head, &attempt.body)));
        self.end_call(ctx, id, "answered");
    }

    /// The caller to answer: always the one that asked, unless the break that
    /// swaps answers is on.
    fn answer_target(&self, ctx: &Context, id: CallId) -> CallId {
        let other = self.calls.keys().copied().find(|other| *other != id);
        match other {
            Some(other) if ctx.broken(Mutation::SwapAnswers) => other,
            _ => id,
        }
    }

    /// Ends a request with a problem document, at once.
    pub(super) fn finish_refused(&mut self, ctx: &mut Context, id: CallId, refusal: &Refusal) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.head_sent() {
            let mut event = b"event: error\ndata: ".to_vec();
            event.extend_from_slice(&refusal.body());
            event.extend_from_slice(b"\n\n");
            ctx.respond(id, ResponsePart::Data(event.into()));
            ctx.respond(id, ResponsePart::End);
        } else {
            ctx.refuse(id, refusal);
        }
        let state = match refusal.outcome {
            Outcome::NotRun => OnceState::NOT_RUN,
            Outcome::Unknown => OnceState::UNKNOWN,
            Outcome::Invalid => OnceState::NOT_RUN,
        };
        self.record_end(ctx, id, state, None);
        let outcome = match refusal.outcome {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "outcome-unknown",
            Outcome::Invalid => "invalid",
        };
        self.end_call(ctx, id, outcome);
    }

    /// Forgets a request and gives back what it holds.
    pub(super) fn end_call(&mut self, ctx: &mut Context, id: CallId, outcome: &str) {
        self.release_session(ctx, id);
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        for attempt in &call.attempts {
            ctx.load.record_ended(attempt.engine);
            ctx.cancel_http(attempt.http);
        }
        if call.admitted {
            self.admission.release(&call.tenant.name);
        } else {
            self.admission.cancel(&call.tenant.name, id);
        }
        ctx.metrics.ended(&call.tenant.name, outcome);
    }
}

fn text_event(model: &ModelCall, text: &str) -> Bytes {
    let last = model.generation.spans.last();
    let chunk = CompletionChunk {
        text: text.to_string(),
        tokens: 0,
        weights: last.map_or(0, |span| span.weights),
        finish_reason: String::new(),
        cached_tokens: 0,
    };
    let mut event = b"data: ".to_vec();
    event.extend_from_slice(&serde_json::to_vec(&chunk).unwrap_or_default());
    event.extend_from_slice(b"\n\n");
    event.into()
}

fn answer_document(tenant: &str, model: &ModelCall, turn: u64) -> Vec<u8> {
    let generation = &model.generation;
    if model.chat {
        let document = json!({
            "model": tenant,
            "object": "chat.completion",
            "choices": [{
                "message": { "role": "assistant", "content": generation.text },
                "finish_reason": generation.finish_reason,
            }],
            "usage": { "completion_tokens": generation.tokens },
            "spans": generation.weight_spans(),
            "session_turn": turn,
        });
        return document.to_string().into_bytes();
    }
    let answer = CompletionAnswer {
        model: tenant.to_string(),
        choices: vec![Choice {
            text: generation.text.clone(),
            finish_reason: generation.finish_reason.clone(),
        }],
        usage: Usage {
            completion_tokens: generation.tokens,
        },
        spans: generation.weight_spans(),
        session_turn: turn,
    };
    serde_json::to_vec(&answer).unwrap_or_default()
}
