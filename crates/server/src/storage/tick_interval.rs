//! How often a storage process looks at what is due.

use peatgrade_replication::Role;
use std::time::Duration;

use super::process::StorageProcess;

/// Time between two looks at what is due.
const LEADER_TICK: Duration = Duration::from_millis(15);
const FOLLOWER_TICK: Duration = Duration::from_millis(30);
/// The same while more could be done at once: the least time between two looks.
const BACKLOG_TICK: Duration = Duration::from_millis(4);

impl StorageProcess {
    /// Longest wait for an input before a look at what is due.
    pub(super) fn tick_interval(&self) -> Duration {
        if self.replica.has_ready() || self.publisher.has_backlog() {
            return BACKLOG_TICK;
        }
        match self.replica.role() {
            Role::Leader if self.has_leader_session() && self.dispatcher.has_backlog() => {
                BACKLOG_TICK
            }
            Role::Leader => LEADER_TICK,
            _ => FOLLOWER_TICK,
        }
    }
}
