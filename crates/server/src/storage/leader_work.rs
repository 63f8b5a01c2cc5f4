//! Whether the leader's work goes on.

/// The leader's work of one machine: items, orders and reports, from when it may answer in
/// a term until it loses the lead.
#[derive(Debug, Default)]
pub(super) struct LeaderWork {
    is_under_way: bool,
    is_void: bool,
}

impl LeaderWork {
    /// Whether it has begun in this term.
    pub fn is_under_way(&self) -> bool {
        self.is_under_way
    }

    /// It begins, with nothing on its way into the log.
    pub fn begin(&mut self) {
        *self = Self {
            is_under_way: true,
            is_void: false,
        };
    }

    /// It has ended.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// What it believes to be on its way into the log is not, so it must begin anew.
    ///
    /// As it ends, and after that, proposals that fail say nothing of the next lead. A
    /// machine that kept them in mind won elections and never took up the work: nothing was
    /// answered for 90 s, until that soak ended.
    pub fn proposal_failed(&mut self) {
        self.is_void = self.is_under_way;
    }

    /// Whether it is to end, on a machine that leads or does not.
    pub fn must_end(&self, leads: bool) -> bool {
        self.is_under_way && (!leads || self.is_void)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/leader_work.rs"]
mod tests;
