//! What a forwarder wants done, and the names of what it deals with.

use bytes::Bytes;
use peatgrade_ports::{Answer, Codec};
use peatgrade_types::http::{HttpRequest, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};

/// When a caller may come back after a refusal.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Names a request of a caller; the driver chooses the number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallId(pub u64);

/// Names a request to an engine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HttpId(pub u64);

/// What a forwarder wants done.
#[derive(Clone, Debug)]
pub enum ForwardAction {
    /// Send a part of an answer to a caller.
    Respond {
        /// The caller's request.
        call: CallId,
        /// The part.
        part: ResponsePart,
    },
    /// Send a request to an engine.
    SendHttp {
        /// Names it in later parts.
        id: HttpId,
        /// IP and port.
        address: String,
        /// The request.
        request: HttpRequest,
        /// Whether it must not go over a connection that was used before.
        new_connection: bool,
    },
    /// Ask an engine, over a new connection, whether it is there.
    ProbeEngine {
        /// Names it in later parts.
        id: HttpId,
        /// IP and port.
        address: String,
        /// The request.
        request: HttpRequest,
    },
    /// Break a request to an engine off.
    CancelHttp(HttpId),
    /// An engine ran the request and answered that it failed. The call goes on.
    EngineFailed(CallId),
    /// An engine began the request; told once for each call.
    ExecutionStarted {
        /// Tenant that asked; empty if no key was needed.
        tenant: String,
        /// When, about: when it was sent, or when its stream began.
        at: Time,
    },
}

/// The parts of an answer of this system itself.
pub fn answer_parts(
    codec: &dyn Codec,
    call: CallId,
    answer: &Answer,
) -> impl Iterator<Item = ForwardAction> {
    let (head, body) = codec.answer(answer);
    whole_parts(call, head, body)
}

/// The parts of a whole answer.
pub(crate) fn whole_parts(
    call: CallId,
    head: ResponseHead,
    body: Bytes,
) -> impl Iterator<Item = ForwardAction> {
    let data = (!body.is_empty()).then_some(ResponsePart::Data(body));
    let parts = [
        Some(ResponsePart::Head(head)),
        data,
        Some(ResponsePart::End),
    ];
    parts
        .into_iter()
        .flatten()
        .map(move |part| ForwardAction::Respond { call, part })
}
