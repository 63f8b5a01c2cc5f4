//! Bounds on what a caller may send to an HTTP server.

use monoio::buf::{IoBufMut, IoVecBufMut};
use monoio::io::AsyncReadRent;
use monoio::BufResult;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use crate::memory_budget::{HeldBytes, MemoryBudget};
use crate::server_shutdown::ServerShutdown;

/// Bounds on what a caller may send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServerLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time to send a head, once a connection may not rest any longer.
    pub head_timeout: Duration,
    /// Time that a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 * 1024,
            max_body_bytes: 34 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// What a [`LimitedReader`] says when nothing is left.
pub(crate) const TOO_LARGE: &str = "request too large";
/// What it says when this machine holds too much for its callers.
pub(crate) const NO_ROOM: &str = "no room for more bytes of callers";

/// What the owner of a server may change while it runs.
#[derive(Clone, Debug, Default)]
pub struct ServerControl {
    /// Set when the server is about to stop: each answer then closes its
    /// connection.
    pub draining: Rc<Cell<bool>>,
    /// Bounds, in force from the next request on.
    pub limits: Rc<Cell<ServerLimits>>,
    /// Ends the server.
    pub shutdown: ServerShutdown,
    /// Bytes that may be held for all callers together.
    pub budget: MemoryBudget,
}

/// A reader that fails once its allowance is used up, so that nobody can make
/// the decoder buffer without bound. The read that uses it up may bring more: a
/// small head and the beginning of a long body often arrive together.
pub(crate) struct LimitedReader<R> {
    pub io: R,
    pub allowance: Rc<Cell<usize>>,
    /// Bytes that were read.
    pub total: Rc<Cell<u64>>,
    /// Those of them that belong to requests without an answer.
    pub held: Rc<RefCell<HeldBytes>>,
}

impl<R> LimitedReader<R> {
    fn check(&self) -> std::io::Result<()> {
        if self.allowance.get() == 0 {
            return Err(std::io::Error::other(TOO_LARGE));
        }
        Ok(())
    }

    fn spend<T>(&self, (result, buffer): BufResult<usize, T>) -> BufResult<usize, T> {
        if let Ok(count) = &result {
            let left = self.allowance.get().saturating_sub(*count);
            self.allowance.set(left);
            self.total.set(self.total.get() + *count as u64);
            if self.held.borrow_mut().grow(*count).is_err() {
                return (Err(std::io::Error::other(NO_ROOM)), buffer);
            }
        }
        (result, buffer)
    }
}

impl<R: AsyncReadRent> AsyncReadRent for LimitedReader<R> {
    async fn read<T: IoBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        if let Err(error) = self.check() {
            return (Err(error), buffer);
        }
        let done = self.io.read(buffer).await;
        self.spend(done)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        if let Err(error) = self.check() {
            return (Err(error), buffer);
        }
        let done = self.io.readv(buffer).await;
        self.spend(done)
    }
}
