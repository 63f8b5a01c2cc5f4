//! Replica ids and outgoing messages.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;

/// The incarnation of a replica's disk; 0 means no replica.
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
    /// Incarnation of the recipient; 0 for any incarnation at the address.
    pub to: ReplicaId,
    /// IP address and port of the recipient's peer socket.
    pub address: String,
    /// Term in the message: the sender's, or the proposed one of a pre-vote.
    pub term: u64,
    pub body: OneOfbody,
}
