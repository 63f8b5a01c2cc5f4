//! Messages to and from the object store.

use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::configuration::Configuration;
use crate::engine::EngineRecord;

/// Kinds of objects that this system reads or writes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum ObjectKind {
    /// The configuration.
    Configuration,
    /// Engines, which write themselves.
    Engines,
    /// Newest version of each model.
    Versions,
    /// Storage machines that are to be emptied.
    Retirements,
    /// Storage machines, with address and incarnation. Written by themselves.
    Replicas,
    /// First members of the replica group. Written once.
    Groups,
}

/// A call to the store.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    /// A page of a kind.
    List {
        /// The kind.
        kind: ObjectKind,
        /// Name after which the page begins.
        after: Option<String>,
    },
    /// Changes after a revision.
    Watch {
        /// The kind.
        kind: ObjectKind,
        /// The revision.
        revision: u64,
        /// How long to wait for one.
        wait: Duration,
    },
    /// One object.
    Get {
        /// The kind.
        kind: ObjectKind,
        /// Its name.
        name: String,
        /// Whether an answer that is seconds old will do: it costs a tenth.
        stale: bool,
    },
    /// Make, replace or mark an object.
    Write(ObjectWrite),
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectWrite {
    /// The kind.
    pub kind: ObjectKind,
    /// Its name.
    pub name: String,
    /// Revision that it must have; none if it must not exist.
    pub revision: Option<u64>,
    /// Fields to write.
    pub fields: BTreeMap<String, String>,
    /// Whether the fields are its status.
    pub status: bool,
}

/// How far a machine has been emptied.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum RetirementStage {
    /// Nobody has taken it up.
    Asked,
    /// Its data are being brought elsewhere.
    Running,
    /// It holds nothing that is needed; it may be taken away.
    Completed,
}

/// An object that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreObject {
    /// The configuration.
    Configuration(Box<Configuration>),
    /// An engine.
    Engine(EngineRecord),
    /// The newest version of a model.
    Version {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// A storage machine that is to be emptied.
    Retirement {
        /// The machine.
        node: String,
        /// Revision of the object.
        revision: u64,
        /// How soon.
        within: Duration,
        /// What its status says.
        stage: RetirementStage,
    },
    /// An object of this system's own.
    Internal {
        /// Its name.
        name: String,
        /// Its revision.
        revision: u64,
        /// Its fields.
        fields: BTreeMap<String, String>,
    },
    /// Something that could not be read.
    Unreadable {
        /// Its name.
        name: String,
        /// Why.
        reason: String,
    },
}

/// Some objects of a kind.
#[derive(Clone, Debug, Default)]
pub struct ObjectPage {
    /// Names and objects.
    pub objects: Vec<(String, StoreObject)>,
    /// Whether more follow.
    pub more: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// A change.
#[derive(Clone, Debug)]
pub struct StoreEvent {
    /// Name of the object.
    pub name: String,
    /// The object; none if it is gone.
    pub object: Option<StoreObject>,
}

/// News of a kind.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// All objects of a kind, as of a list that began at `at`.
    Listed {
        /// The kind.
        kind: ObjectKind,
        /// When the list began.
        at: Time,
        /// Revision from which changes are missing.
        revision: u64,
        /// Names and objects.
        objects: Vec<(String, StoreObject)>,
    },
    /// Changes in order; none if the wait ended.
    Changed {
        /// The kind.
        kind: ObjectKind,
        /// When the wait began.
        at: Time,
        /// Revision to which they lead.
        revision: u64,
        /// The changes.
        events: Vec<StoreEvent>,
    },
}

/// An answer of the store.
#[derive(Clone, Debug)]
pub enum StoreResponse {
    /// To a list.
    Page(ObjectPage),
    /// To a watch.
    Events {
        /// Changes in order.
        events: Vec<StoreEvent>,
        /// Where to go on.
        revision: u64,
    },
    /// History is gone: list again.
    Compacted,
    /// An object that was read, or as a write left it.
    Object(String, StoreObject),
    /// The write's condition does not hold; the object as it is.
    Conflict,
    /// No such object.
    Missing,
    /// The store did nothing, and says when to come back, if it does.
    Refused,
    /// Not understood.
    Unreadable(String),
}
