//! Messages to and from the object store.

use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::configuration::Configuration;
use crate::engine::EngineRecord;

/// Kinds of objects that are read or written.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum ObjectKind {
    /// The configuration of routes, services and tenants.
    Configuration,
    /// Engines; each registers itself.
    Engines,
    /// Latest weight version of each model.
    Versions,
    /// Storage machines to be decommissioned.
    Retirements,
    /// Storage machines with address and incarnation; each registers itself.
    Replicas,
    /// Initial members of the replica group; written once.
    Groups,
}

/// Place in a list: the name of an object, behind which a page starts. Other writers may have
/// chosen a name that is not text.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ListCursor(pub Vec<u8>);

impl<T: Into<String>> From<T> for ListCursor {
    fn from(name: T) -> Self {
        Self(name.into().into_bytes())
    }
}

/// A request to the object store.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    /// Reads one page of the objects of a kind.
    List {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Where the page starts; `None` for the first page.
        after: Option<ListCursor>,
    },
    /// Long-polls for changes after a revision.
    Watch {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Last revision that the caller knows.
        revision: u64,
        /// Maximum time to wait for a change.
        wait: Duration,
    },
    /// Reads one object.
    Get {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: String,
        /// Whether a response that is seconds old is acceptable; such a read is cheaper.
        stale: bool,
    },
    /// Creates or replaces an object, or updates its status.
    Write(ObjectWrite),
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectWrite {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: String,
    /// Required current revision; `None` if the object must not exist.
    pub revision: Option<u64>,
    /// Fields to write.
    pub fields: BTreeMap<String, String>,
    /// Whether the fields belong to the status of the object.
    pub status: bool,
}

/// Progress of decommissioning a storage machine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum RetirementStage {
    /// Requested by an operator, not yet started.
    Asked,
    /// Data is being moved to other machines.
    Running,
    /// The machine holds no data that is needed and may be removed.
    Completed,
}

/// An object read from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreObject {
    /// The configuration of routes, services and tenants.
    Configuration(Box<Configuration>),
    /// An engine.
    Engine(EngineRecord),
    /// The latest weight version of a model.
    Version {
        /// Model name.
        model: String,
        /// Weight version.
        version: u64,
    },
    /// A storage machine to be decommissioned.
    Retirement {
        /// Name of the machine.
        node: String,
        /// Revision of the object.
        revision: u64,
        /// Time within which it is to be completed.
        within: Duration,
        /// Stage recorded in the status.
        stage: RetirementStage,
    },
    /// An object written by this system itself.
    Internal {
        /// Object name.
        name: String,
        /// Object revision.
        revision: u64,
        /// Field values by name.
        fields: BTreeMap<String, String>,
    },
    /// An object that could not be parsed.
    Unreadable {
        /// Object name.
        name: String,
        /// Object revision; `None` if it could not be parsed either.
        revision: Option<u64>,
        /// Parse error.
        reason: String,
    },
}

/// A page of a list.
#[derive(Clone, Debug, Default)]
pub struct ObjectPage {
    /// Objects with their names, which are empty if they cannot be read.
    pub objects: Vec<(String, StoreObject)>,
    /// Cursors to try behind the last object if its name cannot be read, best first. Objects
    /// between that one and a cursor may be skipped.
    pub cursors_behind_last: Vec<ListCursor>,
    /// Whether further pages follow.
    pub more: bool,
    /// Revision of the store at the time of the read.
    pub revision: u64,
}

/// A change of one object.
#[derive(Clone, Debug)]
pub struct StoreEvent {
    /// Name of the object.
    pub name: String,
    /// New state; `None` if the object was deleted.
    pub object: Option<StoreObject>,
}

/// An update of the objects of one kind.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// A list.
    Listed {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Time at which the list request was sent.
        at: Time,
        /// Revision after which changes are not included.
        revision: u64,
        /// Objects with their names.
        objects: Vec<(String, StoreObject)>,
        /// Whether these are all objects of the kind. Otherwise others may exist too.
        complete: bool,
    },
    /// Changes since the previous update.
    Changed {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Time at which the watch request was sent.
        at: Time,
        /// Revision after the last change.
        revision: u64,
        /// Changes in order; empty if the watch timed out.
        events: Vec<StoreEvent>,
    },
}

/// A response of the object store.
#[derive(Clone, Debug)]
pub enum StoreResponse {
    /// Response to [`StoreRequest::List`].
    Page(ObjectPage),
    /// Response to [`StoreRequest::Watch`].
    Events {
        /// Changes in order.
        events: Vec<StoreEvent>,
        /// Revision from which to continue.
        revision: u64,
    },
    /// The requested revision has been compacted; a new list is required.
    Compacted,
    /// Name and state of the object after a read or a successful write.
    Object(String, StoreObject),
    /// The precondition of the write does not hold.
    Conflict,
    /// The object does not exist.
    Missing,
    /// The store rejected the request without executing it.
    Refused,
    /// The response could not be parsed; holds the reason.
    Unreadable(String),
}
