//! A caller's request in progress.

use peatgrade_config::TenantEntry;
use peatgrade_schema::engine::CompletionRequest;
use peatgrade_schema::peer::SessionRecord;
use peatgrade_types::http::{HttpRequest, ResponseHead};
use peatgrade_types::{EngineId, Time};
use std::rc::Rc;

use crate::event::HttpId;
use crate::generation::{EventDecoder, Generation};

/// What is being waited for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// A place under the tenant's limit.
    Queued,
    /// The record of a non-repeatable request is being written.
    RecordingStart,
    /// Another node runs the same request; look again then.
    AwaitingOther { until: Time, polling: bool },
    /// The session's record is being taken.
    BeginningSession,
    /// The session's transcript is being read.
    ReadingTranscript,
    /// An engine; try again then.
    AwaitingEngine { until: Time },
    /// One or two engines.
    Dispatched,
    /// The session's turn is being saved.
    SavingSession,
}

/// One attempt on one engine.
#[derive(Debug)]
pub(super) struct Attempt {
    pub http: HttpId,
    pub engine: EngineId,
    pub head: Option<ResponseHead>,
    pub body: Vec<u8>,
    pub reader: EventDecoder,
}

/// What a model request asks for, and what has been generated.
#[derive(Debug)]
pub(super) struct ModelCall {
    pub request: CompletionRequest,
    pub chat: bool,
    pub generation: Generation,
    /// Whether the head was sent to a streaming caller.
    pub head_sent: bool,
}

/// The session that a request belongs to.
#[derive(Debug, Default)]
pub(super) struct SessionTurn {
    pub id: String,
    /// Record after this node took the turn.
    pub record: SessionRecord,
    /// Whether this node holds the turn.
    pub held: bool,
    pub transcript: String,
    /// Blob of the turn before, which is removed once this one is saved.
    pub previous_key: String,
}

/// Kind of a request.
#[derive(Debug)]
pub(super) enum Kind {
    /// A generation.
    Model(Box<ModelCall>),
    /// Passed on whole to an app engine, with the tenant's prefix removed.
    App { path: String },
}

/// A caller's request in progress.
#[derive(Debug)]
pub(super) struct Call {
    pub tenant: Rc<TenantEntry>,
    pub request: HttpRequest,
    pub request_id: String,
    pub kind: Kind,
    pub started: Time,
    pub deadline: Time,
    /// Until when it may wait for an engine before it is refused.
    pub engine_deadline: Time,
    pub repeatable: bool,
    /// Key under which a non-repeatable request is recorded.
    pub once_key: Option<String>,
    /// Whether this node's start is recorded.
    pub once_started: bool,
    pub phase: Phase,
    /// Whether it holds a place under the tenant's limit.
    pub admitted: bool,
    pub attempts: Vec<Attempt>,
    /// Engines on which it failed.
    pub failed: Vec<EngineId>,
    /// Attempts made.
    pub dispatches: u32,
    pub hedged: bool,
    /// Whether any byte may have reached an engine.
    pub maybe_ran: bool,
    pub blocks: Vec<u64>,
    pub session: Option<SessionTurn>,
    /// Whether the caller went away while a register was being written; the
    /// write has to end before the request can be ended.
    pub gone: bool,
}

impl Call {
    /// Whether the caller was sent any part of its answer.
    pub fn head_sent(&self) -> bool {
        matches!(&self.kind, Kind::Model(model) if model.head_sent)
    }

    /// Hash that tells a repeated request from another one under the same key.
    pub fn content_hash(&self) -> u64 {
        let mut content = self.request.method.clone().into_bytes();
        content.push(0);
        content.extend_from_slice(self.request.path.as_bytes());
        content.push(0);
        content.extend_from_slice(&self.request.body);
        peatgrade_types::hash_bytes(&content)
    }
}
