//! The way of an answer to its caller, with what waits for a caller who reads slowly.

use futures_channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures_channel::oneshot;
use peatgrade_types::http::ResponsePart;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::boot_clock::BootInstant;
use crate::memory_budget::{BacklogState, BudgetExceeded, HeldBytes, MemoryBudget};

/// Bytes of one answer that may wait beyond the part that is being written. The longest
/// part, a page of results, has 900 KB and a generation some tens: whoever lets a
/// mebibyte wait does not read.
const MAX_UNREAD: usize = 1024 * 1024;

/// The caller has gone, or was cut off.
#[derive(Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Takes the parts of an answer. It never blocks, so that whoever makes the answer is read
/// on; a caller who does not read is cut off once too much waits for it: of an answer of
/// 12.8 MB that nobody read all was held, now 1 MB (a test on sockets).
#[derive(Debug)]
pub struct Responder {
    parts: UnboundedSender<ResponsePart>,
    unread: Rc<ResponseBacklog>,
}

/// The other end: what a connection writes to its caller.
pub(crate) struct ResponseQueue {
    pub parts: UnboundedReceiver<ResponsePart>,
    pub unread: Rc<ResponseBacklog>,
    /// Completes when the caller is cut off.
    pub cut_off: oneshot::Receiver<()>,
}

impl Responder {
    /// An answer that counts against a budget, and the queue of its parts.
    pub(crate) fn new(budget: &MemoryBudget) -> (Self, ResponseQueue) {
        let (parts, received) = unbounded();
        let (unread, cut_off) = ResponseBacklog::new(budget);
        let responder = Self {
            parts,
            unread: unread.clone(),
        };
        let queue = ResponseQueue {
            parts: received,
            unread,
            cut_off,
        };
        (responder, queue)
    }

    /// Hands on a part of the answer.
    pub fn send(&self, part: ResponsePart) -> Result<(), CallerDisconnected> {
        if let ResponsePart::Data(data) = &part {
            let waiting = self.unread.bytes();
            let is_too_much = waiting > 0 && waiting + data.len() > MAX_UNREAD;
            if is_too_much || self.unread.add(data.len()).is_err() {
                self.unread.cut_off_for_bytes(data.len());
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

    /// Whether nobody takes the answer any more.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed() || self.unread.is_cut_off()
    }
}

/// What of an answer waits to be written, and since when its caller takes nothing.
#[derive(Debug)]
pub(crate) struct ResponseBacklog {
    budget: MemoryBudget,
    held: RefCell<HeldBytes>,
    stalled_since: Cell<Option<BootInstant>>,
    /// Dropped when the answer is cut off, which its connection hears.
    cut: RefCell<Option<oneshot::Sender<()>>>,
}

impl ResponseBacklog {
    fn new(budget: &MemoryBudget) -> (Rc<Self>, oneshot::Receiver<()>) {
        let (cut, heard) = oneshot::channel();
        let answer = Rc::new(Self {
            budget: budget.clone(),
            held: RefCell::new(budget.share()),
            stalled_since: Cell::new(None),
            cut: RefCell::new(Some(cut)),
        });
        budget.enlist(&answer);
        (answer, heard)
    }

    /// Bytes that wait to be written.
    pub fn bytes(&self) -> usize {
        self.held.borrow().bytes()
    }

    fn add(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        // Making room looks at all answers, at this one too, so it must not be borrowed.
        let mut held = self.held.replace(self.budget.share());
        let grown = held.grow(bytes);
        self.held.replace(held);
        grown
    }

    /// Bytes were written.
    pub fn written(&self, bytes: usize) {
        self.held.borrow_mut().give_back(bytes);
    }

    /// The caller takes bytes, or nothing waits for it.
    pub fn moves(&self) {
        self.stalled_since.set(None);
    }

    /// A write begins to wait for the caller.
    pub fn waits(&self) {
        self.stalled_since.set(Some(BootInstant::now()));
    }

    /// Ends the answer: its connection closes, and its bytes are free.
    pub fn cut_off(&self) {
        self.held.borrow_mut().shrink_to(0);
        self.cut.borrow_mut().take();
    }

    fn cut_off_for_bytes(&self, more: usize) {
        if self.is_cut_off() {
            return;
        }
        self.budget.note_cut_off();
        log::warn!(
            "decision=cut-off reason=answer-unread bytes={} more={more} stalled_ms={}",
            self.bytes(),
            self.state().stalled_for.map_or(0, |span| span.as_millis())
        );
        self.cut_off();
    }

    /// Whether it was cut off.
    pub fn is_cut_off(&self) -> bool {
        self.cut.borrow().is_none()
    }

    /// As the choice of whom to cut off sees it.
    pub fn state(&self) -> BacklogState {
        BacklogState {
            bytes: self.bytes(),
            stalled_for: self.stalled_since.get().map(BootInstant::elapsed),
        }
    }
}
