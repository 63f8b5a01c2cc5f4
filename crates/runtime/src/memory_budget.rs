//! Process-wide limit on the memory that is held for callers.
//!
//! Connections, requests and unread responses count against one budget, with the memory that they
//! take up, not the bytes on the wire. When it is exceeded, the
//! caller with the largest response backlog among those that are stalled is disconnected. If
//! none is stalled, the largest unfinished request is discarded, so that a crowd of large ones
//! does not keep small ones out. A request that is itself the largest is rejected.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use crate::read_state::{Interrupt, ReadState};
use crate::responder::ResponseBacklog;

/// A caller that has read nothing of its response for this long counts as stalled.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// The limit divided by this is left for responses: the requests that they belong to have used up
/// the rest.
const RESPONSE_DIVISOR: usize = 8;

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
    /// Unfinished requests that were discarded for others.
    pub discarded: u64,
}

/// Limit on the memory that a process holds for its callers. Clones share the budget.
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
    discarded: Cell<u64>,
    /// Connections whose unfinished requests may be discarded.
    readers: RefCell<Vec<Weak<ReadState>>>,
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
                discarded: Cell::new(0),
                readers: RefCell::default(),
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
            discarded: self.shared.discarded.get(),
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

    /// Registers a connection whose unfinished request may be discarded to free memory.
    pub(crate) fn register_reader(&self, reader: &Rc<ReadState>) {
        let mut readers = self.shared.readers.borrow_mut();
        readers.retain(|weak| weak.strong_count() > 0);
        readers.push(Rc::downgrade(reader));
    }

    fn has_room(&self, bytes: usize, limit: usize) -> bool {
        self.shared.reserved.get().saturating_add(bytes) <= limit
    }

    /// Disconnects stalled callers and discards unfinished requests larger than `size` until
    /// `bytes` fit into `limit`. Returns whether they do.
    fn make_room(&self, bytes: usize, size: usize, limit: usize) -> bool {
        if bytes > limit {
            return false;
        }
        while !self.has_room(bytes, limit) {
            if !self.disconnect_stalled() && !self.discard_larger_than(size) {
                return false;
            }
        }
        true
    }

    /// Disconnects the stalled caller with the largest backlog. Returns whether there was one.
    fn disconnect_stalled(&self) -> bool {
        let backlogs: Vec<Rc<ResponseBacklog>> = {
            let backlogs = self.shared.backlogs.borrow();
            backlogs.iter().filter_map(Weak::upgrade).collect()
        };
        let states: Vec<BacklogState> = backlogs.iter().map(|backlog| backlog.state()).collect();
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
        true
    }

    /// Discards the largest unfinished request if it holds more than `size` bytes. Returns
    /// whether it does.
    fn discard_larger_than(&self, size: usize) -> bool {
        let largest = {
            let readers = self.shared.readers.borrow();
            let readers = readers.iter().filter_map(Weak::upgrade);
            readers.max_by_key(|reader| reader.held_bytes())
        };
        let Some(reader) = largest.filter(|reader| reader.held_bytes() > size) else {
            return false;
        };
        self.shared.discarded.set(self.shared.discarded.get() + 1);
        log::warn!(
            "decision=discard-request reason=budget-used-up bytes={} body={} held={} limit={}",
            reader.held_bytes(),
            reader.body_length(),
            self.shared.reserved.get(),
            self.shared.limit.get()
        );
        reader.interrupt(Interrupt::BodyDiscarded);
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
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes, disconnecting stalled callers and discarding unfinished requests if
    /// necessary.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        self.grow_if_room(bytes, 0, self.budget.shared.limit.get())
    }

    /// Reserves more bytes for an unfinished request or a connection. Only larger unfinished
    /// requests are discarded for it.
    pub(crate) fn grow_upload(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let limit = self.budget.shared.limit.get();
        let limit = limit - limit / RESPONSE_DIVISOR;
        self.grow_if_room(bytes, self.bytes + bytes, limit)
    }

    fn grow_if_room(
        &mut self,
        bytes: usize,
        size: usize,
        limit: usize,
    ) -> Result<(), BudgetExceeded> {
        if !self.budget.make_room(bytes, size, limit) {
            let rejected = &self.budget.shared.rejected;
            rejected.set(rejected.get() + 1);
            return Err(BudgetExceeded);
        }
        let reserved = &self.budget.shared.reserved;
        reserved.set(reserved.get() + bytes);
        self.bytes += bytes;
        Ok(())
    }

    /// Releases bytes so that at most `bytes` remain reserved.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        let shared = &self.budget.shared;
        shared.reserved.set(shared.reserved.get() - released);
        self.bytes -= released;
    }

    /// Releases `bytes`.
    pub(crate) fn release(&mut self, bytes: usize) {
        self.shrink_to(self.bytes.saturating_sub(bytes));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
