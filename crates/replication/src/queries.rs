//! What a replica tells of itself.

use peatgrade_schema::replication::Member;
use peatgrade_types::{Duration, Time};

use crate::log_store::LogStore;
use crate::message::ReplicaId;
use crate::progress::Progress;
use crate::replica::{Replica, Role};

impl Replica {
    /// Incarnation of this replica.
    pub fn id(&self) -> ReplicaId {
        self.settings.id
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Address of the leader, if known.
    pub fn leader_address(&self) -> Option<&str> {
        match self.role {
            Role::Leader => Some(&self.settings.address),
            _ => self.leader.as_ref().map(|(_, address)| address.as_str()),
        }
    }

    /// Newest members.
    pub fn members(&self) -> Vec<Member> {
        self.log.members()
    }

    /// Whether the newest members are committed.
    pub fn members_committed(&self) -> bool {
        self.log.members_index() <= self.commit_index
    }

    /// The log.
    pub fn log(&self) -> &LogStore {
        &self.log
    }

    /// Index up to which entries are committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Index up to which entries have been given out to apply.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// When this replica became leader.
    pub fn leader_since(&self) -> Time {
        self.became_leader_at
    }

    /// When this replica last heard from a leader, or started.
    pub fn last_leader_contact(&self) -> Time {
        self.last_leader_contact
    }

    /// What a leader knows of another replica.
    pub fn progress(&self, id: ReplicaId) -> Option<&Progress> {
        self.progress.get(&id)
    }

    /// Age of this machine's view of the object store, told to the leader.
    pub fn set_store_staleness(&mut self, age: Duration) {
        self.store_staleness = age;
    }
}
