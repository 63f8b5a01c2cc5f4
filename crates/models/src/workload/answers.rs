//! Whether an answer is whole, and the one to its request.

use peatgrade_schema::engine::{CompletionAnswer, Problem};
use peatgrade_types::http::HttpRequest;

use super::stream::StreamSettings;
use crate::app::answer_digest;
use crate::client::WholeResponse;

/// Whether an app engine's answer is the one to this request.
pub(super) fn check_app(
    settings: &StreamSettings,
    request: &HttpRequest,
    request_id: &str,
    response: &WholeResponse,
) -> Result<(), String> {
    let document: serde_json::Value = serde_json::from_slice(&response.body)
        .map_err(|error| format!("unreadable answer ({error}): {:?}", response.body))?;
    let path = &request.path[1 + settings.tenant.len()..];
    let digest = answer_digest(&request.method, path, &request.body, request_id);
    let wanted = format!("{digest:016x}");
    if document["digest"] == wanted.as_str() {
        Ok(())
    } else {
        Err(format!("answer is for another request: {document}"))
    }
}

/// The whole answer, which is the last event before `[DONE]`.
pub(super) fn last_event(body: &[u8]) -> Option<CompletionAnswer> {
    let text = std::str::from_utf8(body).ok()?;
    let mut events = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    events.find_map(|event| serde_json::from_str(event).ok())
}

/// The problem with which a stream says that it broke off.
pub(super) fn announced_break(body: &[u8]) -> Option<Problem> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, event) = text.split_once("event: error\ndata: ")?;
    serde_json::from_str(event.trim_end()).ok()
}

/// The streamed pieces together are the answer.
pub(super) fn check_streamed(body: &[u8], whole: &str) -> Result<(), String> {
    let text = String::from_utf8_lossy(body);
    let events = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    let pieces = events.filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok());
    let joined: String = pieces
        .filter_map(|piece| {
            piece
                .get("text")
                .and_then(|t| t.as_str())
                .map(str::to_string)
        })
        .collect();
    if joined == whole {
        Ok(())
    } else {
        Err(format!(
            "streamed {} bytes of {}",
            joined.len(),
            whole.len()
        ))
    }
}
