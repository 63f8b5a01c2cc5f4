//! Replicated compare-and-set registers in the manner of CASPaxos.
//!
//! ```text
//!  caller --Change--> Proposer --Prepare/Accept--> Acceptor (one per replica)
//!                        ^                             |
//!                        +------Promise/Accepted-------+
//!  Roster: numbered list of replicas; a key belongs to a shard, a shard to
//!  replicas in distinct zones chosen by rendezvous hashing over the roster.
//! ```
//!
//! Replicas hold their state in memory. A replica that restarts has lost its
//! promises and therefore comes back as a new member (a new [`Identity`]) that
//! must copy each shard from a majority of the shard's earlier replicas before
//! it answers for it. [`acceptor`] states why this is safe.
//!
//! [`Identity`]: peatgrade_types::Identity

pub mod acceptor;
pub mod ballot;
pub mod lease;
pub mod proposer;
pub mod roster;

pub use acceptor::Acceptor;
pub use ballot::BallotNumber;
pub use lease::{Lease, LeaseState};
pub use proposer::{Change, Decision, OperationId, Proposer, RegisterError, RegisterOutcome};
pub use roster::Roster;

use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_types::NodeId;

/// A message for another node.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub body: OneOfbody,
}

impl Outgoing {
    /// A message for `to`.
    pub fn new(to: NodeId, body: OneOfbody) -> Self {
        Self { to, body }
    }
}
