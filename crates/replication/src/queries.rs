//! Accessors of [`Replica`].

use peatgrade_schema::replication::Member;
use peatgrade_types::{Duration, Time};

use crate::log_store::LogStore;
use crate::message::ReplicaId;
use crate::progress::Progress;
use crate::replica::{Replica, Role};

impl Replica {
    pub fn id(&self) -> ReplicaId {
        self.settings.id
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn role(&self) -> Role {
        self.role
    }

    /// Peer address of the leader, if known.
    pub fn leader_address(&self) -> Option<&str> {
        match self.role {
            Role::Leader => Some(&self.settings.address),
            _ => self.leader.as_ref().map(|(_, address)| address.as_str()),
        }
    }

    /// The latest membership in the log, committed or not.
    pub fn members(&self) -> Vec<Member> {
        self.log.members()
    }

    /// Whether the latest membership is committed.
    pub fn members_committed(&self) -> bool {
        self.log.members_index() <= self.commit_index
    }

    pub fn log(&self) -> &LogStore {
        &self.log
    }

    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Index of the last entry that [`Replica::ready`] has returned to apply.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// When this replica became leader.
    pub fn leader_since(&self) -> Time {
        self.became_leader_at
    }

    /// When this replica last received a message from a leader, or started.
    pub fn last_leader_contact(&self) -> Time {
        self.last_leader_contact
    }

    /// Replication progress of another replica; none unless this replica is the leader.
    pub fn progress(&self, id: ReplicaId) -> Option<&Progress> {
        self.progress.get(&id)
    }

    /// Sets the staleness of this machine's view of the object store, which is reported
    /// to the other replicas.
    pub fn set_store_staleness(&mut self, staleness: Duration) {
        self.store_staleness = staleness;
    }

    /// Sets the bytes of memory that this process may still use, which is reported to the leader;
    /// `None` if it has no limit.
    pub fn set_spare_memory(&mut self, bytes: Option<u64>) {
        self.spare_memory = bytes;
    }
}
