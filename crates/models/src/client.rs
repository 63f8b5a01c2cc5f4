//! What clients of the nodes send and get.

use bytes::Bytes;
use peatgrade_types::http::{HttpRequest, ResponseHead};
use peatgrade_types::Duration;

/// Where a client's request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The node with this index among all nodes, modulo their number.
    Node(usize),
    /// The platform.
    Platform,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// Client's own number for it.
    pub id: u64,
    /// Where it goes.
    pub target: Target,
    /// The request.
    pub request: HttpRequest,
    /// How long the client waits.
    pub timeout: Duration,
}

/// A whole response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WholeResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body.
    pub body: Bytes,
}
