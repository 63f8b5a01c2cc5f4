//! Limit on the memory of messages that were received and not processed yet.
//!
//! Many peers may send large messages at the same time. One that does not fit is left in the
//! sender's socket, so its sender waits, or gives it up and sends it again.

use futures_channel::oneshot;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::ops::Deref;
use std::rc::Rc;

/// Messages up to this size never wait, so that a few large ones do not hold up the others.
const SMALL_BYTES: usize = 64 * 1024;

/// Limit on the memory of received messages. Clones share the budget.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceiveBudget {
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Most bytes held; none for no limit.
    limit: Cell<Option<usize>>,
    held: Cell<usize>,
    /// Receivers that wait for room, in the order of their messages.
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

impl ReceiveBudget {
    pub fn set_limit(&self, bytes: usize) {
        self.shared.limit.set(Some(bytes));
    }

    /// Bytes of messages that are held.
    pub fn held(&self) -> usize {
        self.shared.held.get()
    }

    fn has_room(&self, bytes: usize) -> bool {
        let held = self.shared.held.get();
        let limit = self.shared.limit.get();
        held == 0 || limit.is_none_or(|limit| held + bytes <= limit)
    }

    /// Waits until `bytes` fit. A message above the limit fits while nothing else is held.
    pub async fn reserve(&self, bytes: usize) -> HeldBytes {
        if bytes <= SMALL_BYTES {
            return HeldBytes::new(self, 0);
        }
        let is_first = self.shared.waiting.borrow().is_empty();
        if !(is_first && self.has_room(bytes)) {
            log::info!("step=receive-waits bytes={bytes} held={}", self.held());
            while !self.has_room(bytes) {
                let (wake, woken) = oneshot::channel();
                self.shared.waiting.borrow_mut().push_back(wake);
                let _ = woken.await;
            }
        }
        HeldBytes::new(self, bytes)
    }

    fn add(&self, bytes: usize) {
        self.shared.held.set(self.shared.held.get() + bytes);
    }

    fn release(&self, bytes: usize) {
        self.shared.held.set(self.shared.held.get() - bytes);
        // Those that still have no room wait again.
        for waiting in self.shared.waiting.take() {
            let _ = waiting.send(());
        }
    }
}

/// Bytes that count against a budget until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    budget: ReceiveBudget,
    bytes: usize,
}

impl HeldBytes {
    fn new(budget: &ReceiveBudget, bytes: usize) -> Self {
        budget.add(bytes);
        Self {
            budget: budget.clone(),
            bytes,
        }
    }

    /// Sets the size of the message once it is known. Small messages do not count.
    pub fn resize(&mut self, bytes: usize) {
        let bytes = if bytes <= SMALL_BYTES { 0 } else { bytes };
        self.budget.add(bytes);
        let former = std::mem::replace(&mut self.bytes, bytes);
        self.budget.release(former);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// A message from a peer. Its memory counts as held until it is dropped.
#[derive(Debug)]
pub struct ReceivedMessage {
    bytes: Vec<u8>,
    _held: Option<HeldBytes>,
}

impl ReceivedMessage {
    /// A message that arrived as a datagram, which does not count.
    pub(crate) fn datagram(bytes: Vec<u8>) -> Self {
        Self { bytes, _held: None }
    }

    pub(crate) fn frame(bytes: Vec<u8>, mut held: HeldBytes) -> Self {
        held.resize(bytes.len());
        Self {
            bytes,
            _held: Some(held),
        }
    }
}

impl Deref for ReceivedMessage {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
