//! Process-wide limit on the bytes that are buffered for callers.
//!
//! Request bodies and unread responses count against one budget. When it is exceeded, the
//! caller with the largest response backlog among those that are stalled is disconnected. If
//! none is stalled, the request body being read is rejected.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use crate::responder::ResponseBacklog;

/// A caller that has read nothing of its response for this long counts as stalled.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// The memory budget is exhausted.
#[derive(Debug, PartialEq, Eq)]
pub struct BudgetExceeded;

/// Usage of a memory budget, with counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetStats {
    /// Bytes reserved now.
    pub reserved: usize,
    /// Most bytes that may be reserved.
    pub limit: usize,
    /// Callers disconnected because they did not read their response.
    pub disconnected: u64,
    /// Rejected reservations.
    pub rejected: u64,
}

/// Limit on the bytes that a process buffers for its callers. Clones share the budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: Cell<usize>,
    reserved: Cell<usize>,
    disconnected: Cell<u64>,
    rejected: Cell<u64>,
    /// Backlogs of open responses, which may be disconnected.
    backlogs: RefCell<Vec<Weak<ResponseBacklog>>>,
}

impl Default for MemoryBudget {
    /// Returns a budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            shared: Rc::new(Shared {
                limit: Cell::new(limit),
                reserved: Cell::new(0),
                disconnected: Cell::new(0),
                rejected: Cell::new(0),
                backlogs: RefCell::default(),
            }),
        }
    }

    pub fn stats(&self) -> BudgetStats {
        BudgetStats {
            reserved: self.shared.reserved.get(),
            limit: self.shared.limit.get(),
            disconnected: self.shared.disconnected.get(),
            rejected: self.shared.rejected.get(),
        }
    }

    pub(crate) fn count_disconnected(&self) {
        self.shared
            .disconnected
            .set(self.shared.disconnected.get() + 1);
    }

    /// Returns an empty reservation against this budget.
    pub(crate) fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Registers a response that may be disconnected to free memory while it exists.
    pub(crate) fn register(&self, backlog: &Rc<ResponseBacklog>) {
        let mut backlogs = self.shared.backlogs.borrow_mut();
        backlogs.retain(|weak| weak.strong_count() > 0);
        backlogs.push(Rc::downgrade(backlog));
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.shared.reserved.get().saturating_add(bytes) <= self.shared.limit.get()
    }

    /// Disconnects stalled callers until `bytes` fit. Returns whether they do.
    fn make_room(&self, bytes: usize) -> bool {
        while !self.has_room(bytes) {
            let backlogs: Vec<Rc<ResponseBacklog>> = {
                let backlogs = self.shared.backlogs.borrow();
                backlogs.iter().filter_map(Weak::upgrade).collect()
            };
            let states: Vec<BacklogState> =
                backlogs.iter().map(|backlog| backlog.state()).collect();
            let Some(index) = largest_stalled(&states) else {
                return false;
            };
            self.count_disconnected();
            log::warn!(
                "decision=cut-off reason=budget-used-up bytes={} stalled_ms={} held={} limit={}",
                states[index].bytes,
                states[index].stalled_for.map_or(0, |span| span.as_millis()),
                self.shared.reserved.get(),
                self.shared.limit.get()
            );
            backlogs[index].disconnect();
        }
        true
    }
}

/// Snapshot of a response backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BacklogState {
    /// Bytes reserved for it.
    pub bytes: usize,
    /// How long a write has been blocked by the caller; `None` if no write is blocked.
    pub stalled_for: Option<Duration>,
}

/// Returns the index of the largest backlog among stalled callers. Callers that read slowly
/// are not stalled.
pub fn largest_stalled(backlogs: &[BacklogState]) -> Option<usize> {
    let stalled = backlogs.iter().enumerate().filter(|(_, backlog)| {
        backlog.bytes > 0
            && backlog
                .stalled_for
                .is_some_and(|span| span >= STALLED_AFTER)
    });
    let largest = stalled.max_by_key(|(_, backlog)| backlog.bytes);
    largest.map(|(index, _)| index)
}

/// Bytes reserved against a budget, released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes, disconnecting stalled callers if necessary.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let shared = &self.budget.shared;
        if !self.budget.has_room(bytes) && !self.budget.make_room(bytes) {
            shared.rejected.set(shared.rejected.get() + 1);
            return Err(BudgetExceeded);
        }
        shared.reserved.set(shared.reserved.get() + bytes);
        self.bytes += bytes;
        Ok(())
    }

    /// Releases bytes so that at most `bytes` remain reserved.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        let shared = &self.budget.shared;
        shared.reserved.set(shared.reserved.get() - released);
        self.bytes -= released;
    }

    /// Releases `bytes`.
    pub fn release(&mut self, bytes: usize) {
        self.shrink_to(self.bytes.saturating_sub(bytes));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
