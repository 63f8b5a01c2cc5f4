//! Position in a list: the name after which the next page starts.
//!
//! The store may not be able to continue after a name: the object was deleted since, or the
//! name is too long for a request. The list then continues after an earlier name of the same
//! page, and receives the objects in between again. Behind a page without readable names it
//! continues at the cursors that the codec gives.

use peatgrade_ports::ListCursor;

/// Consecutive calls without a response after which another name is tried. One name may be the
/// reason, for instance if the store closes connections that request it.
const MAX_LOST_CALLS: u32 = 3;

#[derive(Debug, Default)]
pub(super) struct ListPosition {
    /// Cursors of the last page that brought new objects, in order; the next page starts at the
    /// last one.
    cursors: Vec<ListCursor>,
    /// Number of cursors to go back next. Doubles, so that a page is crossed in few calls.
    next_step: usize,
    lost_calls: u32,
}

impl ListPosition {
    /// Where the next page starts; none at the start of the list.
    pub fn cursor(&self) -> Option<&ListCursor> {
        self.cursors.last()
    }

    /// Moves behind a page with these cursors.
    pub fn advance(&mut self, cursors: Vec<ListCursor>) {
        *self = Self {
            cursors,
            next_step: 1,
            lost_calls: 0,
        };
    }

    /// Moves back to an earlier cursor of the page. Returns false if there is none.
    pub fn step_back(&mut self) -> bool {
        self.lost_calls = 0;
        if self.cursors.len() <= 1 {
            return false;
        }
        let remaining = self.cursors.len().saturating_sub(self.next_step);
        self.cursors.truncate(remaining.max(1));
        self.next_step *= 2;
        true
    }

    /// Records a call without a response. Returns whether another cursor is to be tried.
    pub fn record_lost_call(&mut self) -> bool {
        self.lost_calls += 1;
        self.lost_calls >= MAX_LOST_CALLS
    }
}

#[cfg(test)]
#[path = "../../tests/unit/list_position.rs"]
mod tests;
