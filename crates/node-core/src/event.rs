//! What a node is told and what it wants done.

use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_storage::{DiskReply, DiskRequest};
use peatgrade_types::http::{HttpRequest, ResponsePart};
use peatgrade_types::{Duration, Identity, NodeId};

/// A request of a caller; the driver chooses the number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallId(pub u64);

/// A request of this node; the core chooses the number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HttpId(pub u64);

/// A disk request; the core chooses the number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct DiskId(pub u64);

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message from another node arrived.
    Peer {
        /// Life of the node that sent it.
        from: Identity,
        /// The message.
        body: OneOfbody,
    },
    /// A caller, trainer or operator sent a whole request.
    Call {
        /// Names the request in [`Action::Respond`].
        call: CallId,
        /// The request.
        request: HttpRequest,
    },
    /// A caller closed its connection before its answer was whole.
    CallerGone {
        /// The request.
        call: CallId,
    },
    /// A part of a response arrived, or it failed.
    Http {
        /// The request of this node.
        id: HttpId,
        /// The part.
        part: ResponsePart,
    },
    /// The disk answered.
    Disk {
        /// The request.
        id: DiskId,
        /// The answer.
        reply: DiskReply,
    },
    /// Time has passed.
    Tick,
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a node; it may get lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// IP and port of its peer socket.
        address: String,
        /// The message.
        body: OneOfbody,
    },
    /// Send a part of a response to a caller.
    Respond {
        /// The caller's request.
        call: CallId,
        /// The part.
        part: ResponsePart,
    },
    /// Send a request to a back end or the platform.
    Http {
        /// Names it in [`Event::Http`].
        id: HttpId,
        /// IP and port.
        address: String,
        /// The request.
        request: HttpRequest,
        /// Longest silence of the other side.
        timeout: Duration,
    },
    /// Give up a request; its connection is closed.
    CancelHttp {
        /// The request.
        id: HttpId,
    },
    /// Ask the disk.
    Disk {
        /// Names it in [`Event::Disk`].
        id: DiskId,
        /// The request.
        request: DiskRequest,
    },
}
