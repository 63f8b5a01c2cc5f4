//! Names and outgoing messages.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;

/// The incarnation of a replica's disk; 0 names nobody.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct ReplicaId(pub u64);

impl std::fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A message to another replica.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The incarnation it is meant for; 0 if any will do.
    pub to: ReplicaId,
    /// IP and port of its peer socket.
    pub address: String,
    /// Term of the sender.
    pub term: u64,
    /// The message.
    pub body: OneOfbody,
}
