//! Progress of reading requests from a connection, and what is held of an unfinished request.

use bytes::Bytes;
use monoio::time::Instant;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};

use crate::memory_budget::{BudgetExceeded, MemoryBudget, Reservation};
use crate::server_limits::ServerLimits;

/// Smallest allocation of a body whose length is not known.
const MIN_BODY_CAPACITY: usize = 1024;

/// Why the reading of a request is stopped from outside.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Interrupt {
    /// The unfinished body was discarded to free memory.
    BodyDiscarded,
    /// The connection gives way to another one.
    ConnectionClosed,
}

/// State of a connection that its task shares with the memory budget and the connection limit.
///
/// The unfinished body is kept here, not in the task, so that it can be freed at once.
#[derive(Debug)]
pub(crate) struct ReadState {
    limits: Rc<Cell<ServerLimits>>,
    budget: MemoryBudget,
    /// Bytes read from the connection.
    total: Cell<u64>,
    /// When the first byte of the request arrived.
    started: Cell<Option<Instant>>,
    /// Since when the caller is to send a request; none while it waits for a response.
    waiting_since: Cell<Option<Instant>>,
    /// When bytes last arrived, or a response was finished.
    last_active: Cell<Instant>,
    /// Idle time-out when the wait began. A caller that rests may count on it if it is lowered.
    first_idle_timeout: Cell<std::time::Duration>,
    body: RefCell<Vec<u8>>,
    /// Memory of the request that is being read.
    reserved: RefCell<Reservation>,
    interrupt: Cell<Option<Interrupt>>,
    waker: RefCell<Option<Waker>>,
}

impl ReadState {
    pub fn new(limits: Rc<Cell<ServerLimits>>, budget: &MemoryBudget) -> Rc<Self> {
        let state = Rc::new(Self {
            limits,
            budget: budget.clone(),
            total: Cell::new(0),
            started: Cell::new(None),
            waiting_since: Cell::new(None),
            last_active: Cell::new(Instant::now()),
            first_idle_timeout: Cell::default(),
            body: RefCell::default(),
            reserved: RefCell::new(budget.reservation()),
            interrupt: Cell::new(None),
            waker: RefCell::new(None),
        });
        budget.register_reader(&state);
        state
    }

    /// Limits in force now.
    pub fn limits(&self) -> ServerLimits {
        self.limits.get()
    }

    /// Bytes read from the connection.
    pub fn total(&self) -> u64 {
        self.total.get()
    }

    /// The next request begins, of which bytes may have arrived with the previous one.
    pub fn begin_request(&self, has_bytes: bool) {
        self.started.set(has_bytes.then(Instant::now));
    }

    /// The caller is to send a request: the time limits run from now on.
    pub fn await_request(&self) {
        let now = Instant::now();
        self.waiting_since.set(Some(now));
        self.last_active.set(now);
        self.first_idle_timeout.set(self.limits().idle_timeout);
    }

    /// The caller waits for a response: no time limit runs.
    pub fn await_response(&self) {
        self.waiting_since.set(None);
    }

    /// Since when nothing has arrived; none while a response is pending.
    pub fn quiet_since(&self) -> Option<Instant> {
        self.waiting_since.get().map(|_| self.last_active.get())
    }

    /// When the head must have arrived by the limits in force now; none while no limit runs.
    pub fn head_deadline(&self) -> Option<Instant> {
        let since = self.waiting_since.get()?;
        let limits = self.limits();
        Some(match self.started.get() {
            Some(started) => started.max(since) + limits.head_timeout,
            None => {
                let idle_timeout = limits.idle_timeout.max(self.first_idle_timeout.get());
                since + idle_timeout + limits.head_timeout
            }
        })
    }

    pub fn record_read(&self, count: usize) {
        let now = Instant::now();
        if self.started.get().is_none() {
            self.started.set(Some(now));
        }
        self.last_active.set(now);
        self.total.set(self.total.get() + count as u64);
    }

    /// Reserves memory for the request that is being read.
    pub fn reserve(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        // The budget looks at all readers, including this one, so the reservation is moved out.
        let mut reserved = self.reserved.replace(self.budget.reservation());
        let result = reserved.grow_upload(bytes);
        self.reserved.replace(reserved);
        result
    }

    /// Releases memory that was reserved in addition to the body and its head.
    pub fn release(&self, bytes: usize) {
        self.reserved.borrow_mut().release(bytes);
    }

    /// Appends to the body, of which `expected` bytes are known to come; at most `limit` bytes
    /// are allocated.
    pub fn append_body(
        &self,
        data: &[u8],
        expected: usize,
        limit: usize,
    ) -> Result<(), BudgetExceeded> {
        let (length, capacity) = {
            let body = self.body.borrow();
            (body.len(), body.capacity())
        };
        let needed = length + data.len();
        if needed > capacity {
            let growth = (capacity / 4).max(MIN_BODY_CAPACITY);
            // Announced bytes may never come, so at most as much again as has arrived is
            // allocated for them.
            let announced = (length + expected).min(needed * 2);
            let target = (capacity + growth).max(announced).min(limit).max(needed);
            self.reserve(target - capacity)?;
            self.body.borrow_mut().reserve_exact(target - length);
        }
        self.body.borrow_mut().extend_from_slice(data);
        Ok(())
    }

    pub fn body_length(&self) -> usize {
        self.body.borrow().len()
    }

    /// Takes the finished request's body and the memory reserved for the request.
    pub fn take_request(&self) -> (Bytes, Reservation) {
        let body = std::mem::take(&mut *self.body.borrow_mut());
        let reserved = self.reserved.replace(self.budget.reservation());
        (body.into(), reserved)
    }

    /// Frees what is held of an unfinished request.
    pub fn release_request(&self) {
        self.body.take();
        self.reserved.borrow_mut().shrink_to(0);
    }

    /// Memory of the unfinished request.
    pub fn held_bytes(&self) -> usize {
        self.reserved.borrow().bytes()
    }

    /// Stops the reading of the request and frees what is held of it.
    pub fn interrupt(&self, interrupt: Interrupt) {
        self.release_request();
        self.interrupt.set(Some(interrupt));
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    pub fn is_interrupted(&self) -> bool {
        self.interrupt.get().is_some()
    }

    /// Returns the interrupt, if any, and else wakes the polling task at the next one.
    pub fn poll_interrupt(&self, context: &Context<'_>) -> Option<Interrupt> {
        let interrupt = self.interrupt.take();
        if interrupt.is_none() {
            self.waker.replace(Some(context.waker().clone()));
        }
        interrupt
    }
}
