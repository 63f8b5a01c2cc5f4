//! From a raw request to a tenant, a kind and its rules.

use peatgrade_config::TenantEntry;
use peatgrade_routing::prefix_blocks;
use peatgrade_schema::documents::{EngineKind, NeverRepeat, TenantSpec};
use peatgrade_schema::engine::CompletionRequest;
use peatgrade_types::http::HttpRequest;
use peatgrade_types::Duration;
use std::rc::Rc;

use super::call::{Call, Kind, ModelCall, Phase, SessionTurn};
use crate::context::Context;
use crate::event::CallId;
use crate::generation::Generation;
use crate::problem::Refusal;

/// Header that marks a request to be run once only.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header that names a request in logs, here and on engines.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that names a session.
pub const SESSION_HEADER: &str = "x-session-id";
const MAX_KEY_BYTES: usize = 128;

/// Finds the tenant of a request and reads what it asks for.
pub(super) fn route(ctx: &Context, id: CallId, request: HttpRequest) -> Result<Call, Refusal> {
    let (tenant, kind) = tenant_and_kind(ctx, &request)?;
    let spec = &tenant.spec;
    if request.body.len() as u64 > spec.max_body_bytes {
        let detail = format!(
            "{} bytes, {} are allowed",
            request.body.len(),
            spec.max_body_bytes
        );
        return Err(Refusal::invalid(413, "body-too-large", detail));
    }
    let once_key = checked_key(&request, IDEMPOTENCY_HEADER, "bad-idempotency-key")?;
    let session = checked_key(&request, SESSION_HEADER, "bad-session-id")?;
    let marked = spec
        .never_repeat
        .iter()
        .any(|rule| applies(rule, &request, &kind));
    let repeatable = !marked;
    let blocks = match &kind {
        Kind::Model(model) => prefix_blocks(model.request.prompt.as_bytes()),
        Kind::App { .. } => Vec::new(),
    };
    let given_id = request.header(REQUEST_ID_HEADER).map(str::to_string);
    let request_id = given_id.unwrap_or_else(|| format!("{}-{:x}", ctx.identity.node, id.0));
    let deadline = ctx.now + Duration::from_millis(spec.deadline_ms);
    let engine_deadline = ctx.now + Duration::from_millis(spec.queue_ms);
    let session = session
        .filter(|_| matches!(kind, Kind::Model(_)))
        .map(|id| SessionTurn {
            id,
            ..SessionTurn::default()
        });
    Ok(Call {
        request,
        request_id,
        kind,
        started: ctx.now,
        deadline,
        engine_deadline,
        repeatable,
        once_key: once_key.filter(|_| marked),
        once_started: false,
        phase: Phase::Queued,
        admitted: false,
        attempts: Vec::new(),
        failed: Vec::new(),
        dispatches: 0,
        hedged: false,
        maybe_ran: false,
        blocks,
        session,
        gone: false,
        tenant,
    })
}

fn tenant_and_kind(
    ctx: &Context,
    request: &HttpRequest,
) -> Result<(Rc<TenantEntry>, Kind), Refusal> {
    let path = request.path_only();
    match path {
        "/v1/completions" => model_call(ctx, request, false),
        "/v1/chat/completions" => model_call(ctx, request, true),
        _ => {
            let name = path.trim_start_matches('/').split('/').next().unwrap_or("");
            let Some(entry) = ctx.catalog.tenant(name) else {
                let detail = format!("no tenant {name:?} for this path");
                return Err(Refusal::invalid(404, "unknown-tenant", detail));
            };
            if entry.spec.kind != EngineKind::App {
                let detail = format!("tenant {name} takes /v1/completions");
                return Err(Refusal::invalid(404, "unknown-path", detail));
            }
            let rest = &request.path[1 + name.len()..];
            let path = if rest.starts_with('/') {
                rest.to_string()
            } else {
                format!("/{rest}")
            };
            Ok((entry, Kind::App { path }))
        }
    }
}

fn model_call(
    ctx: &Context,
    request: &HttpRequest,
    chat: bool,
) -> Result<(Rc<TenantEntry>, Kind), Refusal> {
    if request.method != "POST" {
        return Err(Refusal::invalid(405, "method-not-allowed", "use POST"));
    }
    let mut body: CompletionRequest = serde_json::from_slice(&request.body)
        .map_err(|error| Refusal::invalid(400, "bad-json", error.to_string()))?;
    let Some(entry) = ctx.catalog.tenant(&body.model) else {
        let detail = format!("field model names no tenant: {:?}", body.model);
        return Err(Refusal::invalid(404, "unknown-tenant", detail));
    };
    if entry.spec.kind != EngineKind::Model {
        let detail = format!("tenant {} is not a model", entry.name);
        return Err(Refusal::invalid(404, "unknown-path", detail));
    }
    check_limits(&entry.spec, &body)?;
    if chat {
        body.prompt = chat_prompt(&body);
    }
    body.model = entry.spec.model.clone();
    body.resume_from = 0;
    let model = ModelCall {
        request: body,
        chat,
        generation: Generation::default(),
        head_sent: false,
    };
    Ok((entry, Kind::Model(Box::new(model))))
}

fn check_limits(spec: &TenantSpec, body: &CompletionRequest) -> Result<(), Refusal> {
    if body.max_tokens == 0 || body.max_tokens > spec.max_tokens {
        let detail = format!("max_tokens must be 1 to {}", spec.max_tokens);
        return Err(Refusal::invalid(422, "bad-max-tokens", detail));
    }
    if body.prompt.is_empty() && body.messages.is_empty() {
        return Err(Refusal::invalid(
            422,
            "empty-prompt",
            "prompt or messages is needed",
        ));
    }
    Ok(())
}

/// One prompt out of the messages of a chat.
fn chat_prompt(body: &CompletionRequest) -> String {
    let lines = body
        .messages
        .iter()
        .map(|m| format!("{}: {}\n", m.role, m.content));
    lines.collect::<String>() + "assistant: "
}

/// A header that may be missing, but if given must be short printable ASCII.
fn checked_key(
    request: &HttpRequest,
    name: &str,
    problem: &'static str,
) -> Result<Option<String>, Refusal> {
    let Some(value) = request.header(name) else {
        return Ok(None);
    };
    let sound = !value.is_empty()
        && value.len() <= MAX_KEY_BYTES
        && value
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/');
    if !sound {
        let detail = format!("{name} must be 1 to {MAX_KEY_BYTES} printable characters without /");
        return Err(Refusal::invalid(400, problem, detail));
    }
    Ok(Some(value.to_string()))
}

/// Whether a rule marks a request as not repeatable.
fn applies(rule: &NeverRepeat, request: &HttpRequest, kind: &Kind) -> bool {
    let path = match kind {
        Kind::App { path } => path.as_str(),
        Kind::Model(_) => request.path.as_str(),
    };
    let method = rule
        .method
        .as_ref()
        .is_none_or(|m| m.eq_ignore_ascii_case(&request.method));
    let prefix = rule
        .path_prefix
        .as_ref()
        .is_none_or(|p| path.starts_with(p.as_str()));
    let header = rule
        .header
        .as_ref()
        .is_none_or(|name| request.header(&name.to_ascii_lowercase()).is_some());
    method && prefix && header
}
