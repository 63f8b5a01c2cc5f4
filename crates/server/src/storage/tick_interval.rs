//! How often the main loop checks for due work.

use peatgrade_replication::Role;
use std::time::Duration;

use super::process::StorageProcess;

const LEADER_TICK: Duration = Duration::from_millis(15);
const FOLLOWER_TICK: Duration = Duration::from_millis(30);
/// Interval while unfinished work is queued; bounds how often it is resumed.
const BACKLOG_TICK: Duration = Duration::from_millis(4);

impl StorageProcess {
    /// Returns the longest wait for an input before due work is checked.
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
