//! Sending a request to engines, and what comes back.

use peatgrade_routing::select::RoutingState;
use peatgrade_routing::EngineRequirements;
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponsePart};
use peatgrade_types::{Duration, EngineId};

use super::call::{Attempt, Call, Kind, Phase};
use super::route::{IDEMPOTENCY_HEADER, REQUEST_ID_HEADER, SESSION_HEADER};
use super::Gateway;
use crate::context::{Context, HttpPurpose};
use crate::event::{CallId, HttpId};
use crate::generation::{EventDecoder, Progress};
use crate::mutation::Mutation;
use crate::problem::{outcome_header, Outcome, Refusal, OUTCOME_HEADER};
use crate::resync;

/// Attempts for one request, the first included.
const MAX_DISPATCHES: u32 = 4;
/// Wait before an engine is looked for again.
const ENGINE_RETRY: Duration = Duration::from_millis(50);
/// Longest silence of an engine within an answer.
const ENGINE_SILENCE: Duration = Duration::from_secs(5);
/// Largest answer of an app engine that is passed on.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Headers of the caller that are not passed on.
const OWN_HEADERS: [&str; 5] = [
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "expect",
];

impl Gateway {
    /// Sends a request to an engine, or waits for one to be free to take it.
    pub(super) fn dispatch(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if ctx.resync.is_some() {
            let until = ctx.now + ENGINE_RETRY;
            call.engine_deadline += ENGINE_RETRY;
            call.phase = Phase::AwaitingEngine { until };
            return;
        }
        let Some(engine) = choose(ctx, call) else {
            if !call.failed.is_empty() {
                // Better an engine that failed once than none.
                call.failed.clear();
            }
            if ctx.now >= call.engine_deadline {
                let refusal = no_engine(call);
                return self.finish_refused(ctx, id, &refusal);
            }
            let until = ctx.now + ENGINE_RETRY;
            call.phase = Phase::AwaitingEngine { until };
            return;
        };
        send(ctx, id, call, engine);
    }

    /// Sends a repeatable request that is slow to a second engine, once.
    pub(super) fn hedge_if_due(&mut self, ctx: &mut Context, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let delay = call.tenant.spec.hedge_ms;
        let due = delay > 0 && ctx.now.since(call.started) >= Duration::from_millis(delay);
        let app = matches!(call.kind, Kind::App { .. });
        if !due || call.hedged || !call.repeatable || !app || call.attempts.len() != 1 {
            return;
        }
        call.hedged = true;
        call.failed.push(call.attempts[0].engine);
        if let Some(engine) = choose(ctx, call).filter(|_| ctx.retries.try_withdraw()) {
            ctx.metrics.hedges.inc();
            send(ctx, id, call, engine);
        }
    }

    /// Takes in a part of an engine's response.
    pub(super) fn on_part(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        http: HttpId,
        part: ResponsePart,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(index) = call
            .attempts
            .iter()
            .position(|attempt| attempt.http == http)
        else {
            return;
        };
        let attempt = &mut call.attempts[index];
        match part {
            ResponsePart::Head(head) => {
                let refused = head.header(OUTCOME_HEADER) == Some(outcome_header(Outcome::NotRun));
                attempt.head = Some(head);
                if refused {
                    // The engine says that it did not run the request.
                    let failure = HttpFailure {
                        peer: attempt.engine.0.to_string(),
                        step: HttpStep::Connect,
                        reason: "refused as not run".into(),
                    };
                    ctx.cancel_http(http);
                    self.attempt_failed(ctx, id, index, failure, false);
                }
            }
            ResponsePart::Data(data) => self.on_data(ctx, id, index, &data),
            ResponsePart::End => self.on_end(ctx, id, index),
            ResponsePart::Failed(failure) => self.attempt_failed(ctx, id, index, failure, true),
        }
    }

    fn on_data(&mut self, ctx: &mut Context, id: CallId, index: usize, data: &[u8]) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Kind::Model(model) = &mut call.kind else {
            let attempt = &mut call.attempts[index];
            attempt.body.extend_from_slice(data);
            if attempt.body.len() > MAX_ANSWER_BYTES {
                let http = attempt.http;
                let failure = HttpFailure {
                    peer: attempt.engine.0.to_string(),
                    step: HttpStep::Body,
                    reason: format!("answer above {MAX_ANSWER_BYTES} bytes"),
                };
                ctx.cancel_http(http);
                self.attempt_failed(ctx, id, index, failure, false);
            }
            return;
        };
        let mut progress = Progress::default();
        for event in call.attempts[index].reader.feed(data) {
            model.generation.on_event(&event, &mut progress);
        }
        if model.request.stream && !progress.text.is_empty() {
            self.stream_text(ctx, id, &progress.text);
        }
        if progress.whole {
            self.model_done(ctx, id, index);
        }
    }

    fn model_done(&mut self, ctx: &mut Context, id: CallId, index: usize) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let attempt = call.attempts.remove(index);
        ctx.load.record_ended(attempt.engine);
        ctx.circuits.record_success(attempt.engine);
        ctx.cancel_http(attempt.http);
        self.model_answered(ctx, id, attempt.engine);
    }

    fn on_end(&mut self, ctx: &mut Context, id: CallId, index: usize) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if matches!(call.kind, Kind::Model(_)) {
            let failure = HttpFailure {
                peer: call.attempts[index].engine.0.to_string(),
                step: HttpStep::Body,
                reason: "stream ended before the answer was whole".into(),
            };
            return self.attempt_failed(ctx, id, index, failure, true);
        }
        let attempt = call.attempts.remove(index);
        ctx.load.record_ended(attempt.engine);
        ctx.circuits.record_success(attempt.engine);
        self.app_answered(ctx, id, attempt);
    }

    /// Ends an attempt that did not bring a whole answer, and decides whether
    /// another may be made.
    fn attempt_failed(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        index: usize,
        failure: HttpFailure,
        count: bool,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let attempt = call.attempts.remove(index);
        ctx.load.record_ended(attempt.engine);
        if count {
            ctx.circuits.record_failure(ctx.now, attempt.engine);
        }
        call.failed.push(attempt.engine);
        log::info!("step=attempt request={} error={failure}", call.request_id);
        // Only a failed connection proves that no byte reached the engine.
        let not_sent = failure.step.is_unsent();
        let mut repeatable = call.repeatable;
        if ctx.broken(Mutation::RetryNonRepeatable) {
            repeatable = true;
        }
        if !not_sent {
            call.maybe_ran = true;
        }
        if !call.attempts.is_empty() {
            return;
        }
        if ctx.broken(Mutation::TruncateAnswers) && attempt.head.is_some() {
            return self.app_answered(ctx, id, attempt);
        }
        let may_repeat = not_sent || repeatable;
        if may_repeat && call.dispatches < MAX_DISPATCHES && ctx.retries.try_withdraw() {
            ctx.metrics.retries.inc();
            if matches!(&call.kind, Kind::Model(model) if model.generation.tokens > 0) {
                ctx.metrics.resumed.inc();
            }
            call.engine_deadline = call.engine_deadline.max(ctx.now + ENGINE_RETRY);
            return self.dispatch(ctx, id);
        }
        let refusal = if call.maybe_ran && !ctx.broken(Mutation::ClaimNotRun) {
            Refusal::unknown("engine-failed", failure.to_string())
        } else {
            Refusal::not_run("engine-unreachable", failure.to_string())
        };
        self.finish_refused(ctx, id, &refusal);
    }
}

fn no_engine(call: &Call) -> Refusal {
    if call.maybe_ran {
        return Refusal::unknown(
            "no-engine",
            "it may have run, and no engine can take it again",
        );
    }
    let detail = format!("no engine of pool {} can take it", call.tenant.spec.pool);
    Refusal::not_run("no-engine", detail)
}

fn choose(ctx: &mut Context, call: &Call) -> Option<EngineId> {
    let session = call.session.as_ref().filter(|turn| turn.record.turn > 0);
    let want = EngineRequirements {
        pool: &call.tenant.spec.pool,
        blocks: &call.blocks,
        exclude: &call.failed,
        preferred: session.map(|turn| EngineId(turn.record.engine)),
        min_weight_version: 0,
        requires_recent_report: false,
    };
    let view = RoutingState {
        engines: &ctx.engines,
        load: &ctx.load,
        prefixes: &ctx.prefixes,
        circuits: &ctx.circuits,
        reports_valid_since: resync::trusted_since(ctx),
    };
    if ctx.broken(Mutation::IgnoreLeaving) {
        let leaving = ctx
            .engines
            .pool(&call.tenant.spec.pool)
            .find(|info| info.draining);
        if let Some(info) = leaving {
            return Some(info.id);
        }
    }
    ctx.selector.choose(ctx.now, &view, &want)
}

fn send(ctx: &mut Context, id: CallId, call: &mut Call, engine: EngineId) {
    let Some(address) = ctx.engines.get(engine).map(|info| info.address.clone()) else {
        return;
    };
    let request = engine_request(ctx, call, engine);
    let remaining = call.deadline.since(ctx.now);
    let timeout = match call.kind {
        Kind::Model(_) => remaining.min(ENGINE_SILENCE),
        Kind::App { .. } => remaining,
    };
    let http = ctx.http(&address, request, timeout, HttpPurpose::Attempt(id));
    ctx.load.record_sent(engine);
    ctx.circuits.record_sent(ctx.now, engine);
    ctx.prefixes.insert(engine, &call.blocks);
    call.dispatches += 1;
    call.phase = Phase::Dispatched;
    // Until a failed connection proves otherwise, bytes may be on their way;
    // `maybe_ran` is set when the attempt ends or the deadline passes.
    call.attempts.push(Attempt {
        http,
        engine,
        head: None,
        body: Vec::new(),
        reader: EventDecoder::default(),
    });
}

/// The request as the engine gets it.
fn engine_request(ctx: &Context, call: &Call, engine: EngineId) -> HttpRequest {
    let mut request = match &call.kind {
        Kind::App { path } => {
            let mut request = HttpRequest::new(
                &call.request.method,
                path.as_str(),
                call.request.body.clone(),
            );
            let passed = call.request.headers.iter();
            request.headers = passed.filter(|(name, _)| !is_own(name)).cloned().collect();
            request
        }
        Kind::Model(model) => {
            let mut body = model.request.clone();
            body.stream = true;
            body.messages.clear();
            body.resume_from = model.generation.tokens;
            body.priority = peatgrade_routing::admission::rank(call.tenant.spec.priority);
            body.kv_source = kv_source(ctx, call, engine);
            let bytes = serde_json::to_vec(&body).unwrap_or_default();
            HttpRequest::new("POST", "/v1/completions", bytes)
                .with_header("content-type", "application/json")
        }
    };
    request
        .headers
        .push((REQUEST_ID_HEADER.into(), call.request_id.clone()));
    if !call.repeatable {
        request
            .headers
            .push(("x-non-repeatable".into(), "true".into()));
        if let Some(key) = call.request.header(IDEMPOTENCY_HEADER) {
            request
                .headers
                .push((IDEMPOTENCY_HEADER.into(), key.to_string()));
        }
    }
    request
}

fn is_own(name: &str) -> bool {
    let hop = OWN_HEADERS.contains(&name);
    hop || [REQUEST_ID_HEADER, IDEMPOTENCY_HEADER, SESSION_HEADER].contains(&name)
}

/// Engine that holds the session's KV cache, when another one continues it.
fn kv_source(ctx: &Context, call: &Call, engine: EngineId) -> String {
    let Some(turn) = call.session.as_ref().filter(|turn| turn.record.turn > 0) else {
        return String::new();
    };
    let holder = EngineId(turn.record.engine);
    let moved = holder != engine && !call.failed.contains(&holder);
    let address = ctx.engines.get(holder).filter(|_| moved);
    address.map(|info| info.address.clone()).unwrap_or_default()
}
