//! Response channel from a request handler to its connection, with a bounded backlog.

use futures_channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures_channel::oneshot;
use peatgrade_types::http::ResponsePart;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::boot_clock::BootInstant;
use crate::memory_budget::{BacklogState, BudgetExceeded, MemoryBudget, Reservation};

/// Most memory of one response that is not written. A single larger part is accepted if nothing
/// else is unwritten.
const MAX_BACKLOG_BYTES: usize = 1024 * 1024;

/// Memory of a queued part beside its data.
const PART_BYTES: usize = 128;

/// The caller closed the connection or was disconnected.
#[derive(Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Sends the parts of a response without blocking. A caller that does not read is
/// disconnected once its backlog exceeds the limit.
#[derive(Debug)]
pub struct Responder {
    parts: UnboundedSender<ResponsePart>,
    backlog: Rc<ResponseBacklog>,
    /// Memory of the request, which is held until the response is complete.
    _request: Reservation,
}

/// Receiving end of a [`Responder`], held by the connection.
pub(crate) struct ResponseQueue {
    pub parts: UnboundedReceiver<ResponsePart>,
    pub backlog: Rc<ResponseBacklog>,
    /// Completes when the caller is disconnected.
    pub disconnected: oneshot::Receiver<()>,
}

impl Responder {
    /// Creates a response channel whose backlog counts against `budget`. `request` is the memory
    /// of the request.
    pub(crate) fn new(budget: &MemoryBudget, request: Reservation) -> (Self, ResponseQueue) {
        let (parts, received) = unbounded();
        let (backlog, disconnected) = ResponseBacklog::new(budget);
        let responder = Self {
            parts,
            backlog: backlog.clone(),
            _request: request,
        };
        let queue = ResponseQueue {
            parts: received,
            backlog,
            disconnected,
        };
        (responder, queue)
    }

    /// Queues a part of the response.
    pub fn send(&self, part: ResponsePart) -> Result<(), CallerDisconnected> {
        if let ResponsePart::Data(data) = &part {
            let queued = self.backlog.bytes();
            let held = held_bytes(data);
            let is_too_much = queued > 0 && queued + held > MAX_BACKLOG_BYTES;
            if is_too_much || self.backlog.add(held).is_err() {
                self.backlog.disconnect_over_limit(data.len());
                self.parts.close_channel();
            }
        }
        if self.is_closed() {
            return Err(CallerDisconnected);
        }
        self.parts
            .unbounded_send(part)
            .map_err(|_| CallerDisconnected)
    }

    /// Whether further parts would be discarded.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed() || self.backlog.is_disconnected()
    }
}

/// Memory that a part of a response takes up until it is written.
pub(crate) fn held_bytes(data: &[u8]) -> usize {
    data.len() + PART_BYTES
}

/// Accounts for the unwritten bytes of a response and for stalled writes.
#[derive(Debug)]
pub(crate) struct ResponseBacklog {
    budget: MemoryBudget,
    reserved: RefCell<Reservation>,
    stalled_since: Cell<Option<BootInstant>>,
    /// Dropped to disconnect the caller, which completes the connection's receiver.
    disconnect: RefCell<Option<oneshot::Sender<()>>>,
}

impl ResponseBacklog {
    fn new(budget: &MemoryBudget) -> (Rc<Self>, oneshot::Receiver<()>) {
        let (disconnect, disconnected) = oneshot::channel();
        let backlog = Rc::new(Self {
            budget: budget.clone(),
            reserved: RefCell::new(budget.reservation()),
            stalled_since: Cell::new(None),
            disconnect: RefCell::new(Some(disconnect)),
        });
        budget.register(&backlog);
        (backlog, disconnected)
    }

    /// Bytes that are not written yet.
    pub fn bytes(&self) -> usize {
        self.reserved.borrow().bytes()
    }

    fn add(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        // `grow` may borrow all backlogs, including this one, so the reservation is moved out.
        let mut reserved = self.reserved.replace(self.budget.reservation());
        let result = reserved.grow(bytes);
        self.reserved.replace(reserved);
        result
    }

    /// Releases bytes that were written.
    pub fn on_written(&self, bytes: usize) {
        self.reserved.borrow_mut().release(bytes);
    }

    /// Records that a blocked write made progress or ended.
    pub fn on_write_unblocked(&self) {
        self.stalled_since.set(None);
    }

    /// Records that a write is blocked because the caller does not read.
    pub fn on_write_blocked(&self) {
        self.stalled_since.set(Some(BootInstant::now()));
    }

    /// Closes the caller's connection and releases the reserved bytes.
    pub fn disconnect(&self) {
        self.reserved.borrow_mut().shrink_to(0);
        self.disconnect.borrow_mut().take();
    }

    fn disconnect_over_limit(&self, more: usize) {
        if self.is_disconnected() {
            return;
        }
        self.budget.count_disconnected();
        log::warn!(
            "decision=cut-off reason=answer-unread bytes={} more={more} stalled_ms={}",
            self.bytes(),
            self.state().stalled_for.map_or(0, |span| span.as_millis())
        );
        self.disconnect();
    }

    /// Whether the caller was disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.disconnect.borrow().is_none()
    }

    /// Returns a snapshot for [`crate::memory_budget::largest_stalled`].
    pub fn state(&self) -> BacklogState {
        BacklogState {
            bytes: self.bytes(),
            stalled_for: self.stalled_since.get().map(BootInstant::elapsed),
        }
    }
}
