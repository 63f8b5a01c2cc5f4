//! Whether the leader's work goes on.

/// The leader's work of one machine: items, orders and reports, from when it may answer in
/// a term until it loses the lead.
#[derive(Debug, Default)]
pub(super) struct LeaderSession {
    is_active: bool,
    has_failed_proposal: bool,
}

impl LeaderSession {
    /// Whether it has begun in this term.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// It begins, with nothing on its way into the log.
    pub fn start(&mut self) {
        *self = Self {
            is_active: true,
            has_failed_proposal: false,
        };
    }

    /// It has ended.
    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// What it believes to be on its way into the log is not, so it must begin anew.
    ///
    /// As it ends, and after that, proposals that fail say nothing of the next lead. A
    /// machine that kept them in mind won elections and never took up the work: nothing was
    /// answered for 90 s, until that soak ended.
    pub fn record_failed_proposal(&mut self) {
        self.has_failed_proposal = self.is_active;
    }

    /// Whether it is to end, on a machine that leads or does not.
    pub fn must_stop(&self, leads: bool) -> bool {
        self.is_active && (!leads || self.has_failed_proposal)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/leader_session.rs"]
mod tests;
