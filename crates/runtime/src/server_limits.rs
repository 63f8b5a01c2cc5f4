//! Limits of an HTTP server on the requests that it reads.

use monoio::buf::{IoBufMut, IoVecBufMut};
use monoio::io::AsyncReadRent;
use monoio::BufResult;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use crate::memory_budget::{MemoryBudget, Reservation};
use crate::server_shutdown::ServerShutdown;

/// Limits on the requests of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServerLimits {
    /// Largest request head.
    pub max_head_bytes: usize,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Time to receive a head, in addition to `idle_timeout`.
    pub head_timeout: Duration,
    /// Time that a connection may be idle between requests.
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

/// Error text of a [`LimitedReader`] whose allowance is used up.
pub(crate) const TOO_LARGE: &str = "request too large";
/// Error text of a [`LimitedReader`] when the memory budget is exhausted.
pub(crate) const BUDGET_EXCEEDED: &str = "memory budget for callers exhausted";

/// Controls of a running server.
#[derive(Clone, Debug, Default)]
pub struct ServerControl {
    /// Set before shutdown: connections are then closed after their current response.
    pub draining: Rc<Cell<bool>>,
    /// Limits, applied from the next request on.
    pub limits: Rc<Cell<ServerLimits>>,
    /// Shuts the server down.
    pub shutdown: ServerShutdown,
    /// Limit on the bytes buffered for all callers.
    pub budget: MemoryBudget,
}

/// Reader that fails once its allowance is used up, which bounds the buffer of the decoder.
/// The last read may exceed the allowance, as a head often arrives together with the
/// beginning of a body.
pub(crate) struct LimitedReader<R> {
    pub io: R,
    pub allowance: Rc<Cell<usize>>,
    /// Bytes read from the connection.
    pub total: Rc<Cell<u64>>,
    /// Reservation for the bytes of unanswered requests.
    pub reserved: Rc<RefCell<Reservation>>,
}

impl<R> LimitedReader<R> {
    fn check_allowance(&self) -> std::io::Result<()> {
        if self.allowance.get() == 0 {
            return Err(std::io::Error::other(TOO_LARGE));
        }
        Ok(())
    }

    fn account<T>(&self, (result, buffer): BufResult<usize, T>) -> BufResult<usize, T> {
        if let Ok(count) = &result {
            let remaining = self.allowance.get().saturating_sub(*count);
            self.allowance.set(remaining);
            self.total.set(self.total.get() + *count as u64);
            if self.reserved.borrow_mut().grow(*count).is_err() {
                return (Err(std::io::Error::other(BUDGET_EXCEEDED)), buffer);
            }
        }
        (result, buffer)
    }
}

impl<R: AsyncReadRent> AsyncReadRent for LimitedReader<R> {
    async fn read<T: IoBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        if let Err(error) = self.check_allowance() {
            return (Err(error), buffer);
        }
        let result = self.io.read(buffer).await;
        self.account(result)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        if let Err(error) = self.check_allowance() {
            return (Err(error), buffer);
        }
        let result = self.io.readv(buffer).await;
        self.account(result)
    }
}
