//! State of a leader's active work in a term.

/// The period in which a machine dispatches items, orders and reports: from when it may
/// serve as leader until it steps down.
#[derive(Debug, Default)]
pub(super) struct LeaderSession {
    is_active: bool,
    has_failed_proposal: bool,
    /// What keeps the leader from dispatching items, if anything.
    obstacle: Option<DispatchObstacle>,
    /// Newest version of the configuration that this leader has proposed to the log.
    proposed_configuration: u64,
    /// Number of lost disks that the group tolerates, as last recorded.
    tolerated_losses: Option<usize>,
}

/// Information that a leader needs before it may dispatch items.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum DispatchObstacle {
    /// Neither the store nor a member has sent the engine list.
    NoEngineList,
    NoConfiguration,
}

impl LeaderSession {
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Starts a session without outstanding proposals.
    pub fn start(&mut self) {
        *self = Self {
            is_active: true,
            ..Self::default()
        };
    }

    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// Marks the session invalid: a proposal that it counts on was not appended to the log.
    ///
    /// Ignored outside a session, because a failure left over from an earlier one would keep
    /// a newly elected leader from serving.
    pub fn record_failed_proposal(&mut self) {
        self.has_failed_proposal = self.is_active;
    }

    /// Records what keeps the leader from dispatching items. Returns whether that has changed.
    pub fn set_obstacle(&mut self, obstacle: Option<DispatchObstacle>) -> bool {
        std::mem::replace(&mut self.obstacle, obstacle) != obstacle
    }

    /// Records how many lost disks the group tolerates. Returns whether that has changed.
    pub fn set_tolerated_losses(&mut self, losses: usize) -> bool {
        self.tolerated_losses.replace(losses) != Some(losses)
    }

    /// Newest version of the configuration that this leader has proposed to the log.
    pub fn proposed_configuration(&self) -> u64 {
        self.proposed_configuration
    }

    pub fn set_proposed_configuration(&mut self, version: u64) {
        self.proposed_configuration = version;
    }

    /// Whether the session must stop, given whether this machine is the leader.
    pub fn must_stop(&self, is_leader: bool) -> bool {
        self.is_active && (!is_leader || self.has_failed_proposal)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/leader_work.rs"]
mod tests;
