//! Limits of an HTTP server on the requests that it reads.

use monoio::buf::{IoBufMut, IoVecBufMut};
use monoio::io::AsyncReadRent;
use monoio::time::Instant;
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
    /// Time to receive a head, from its first byte or from the previous response on.
    pub head_timeout: Duration,
    /// Time that a connection may be idle between a response and the next request.
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
    /// Limits. A request is judged by those in force when its head has arrived.
    pub limits: Rc<Cell<ServerLimits>>,
    /// Shuts the server down.
    pub shutdown: ServerShutdown,
    /// Limit on the bytes buffered for all callers.
    pub budget: MemoryBudget,
}

/// Reader that fails once a request uses up what it is allowed, which bounds the buffer of the
/// decoder. The last read may exceed the allowance, as a head often arrives together with the
/// beginning of a body.
pub(crate) struct LimitedReader<R> {
    pub io: R,
    pub state: Rc<ReadState>,
    /// Reservation for the bytes of unanswered requests.
    pub reserved: Rc<RefCell<Reservation>>,
}

/// Progress of reading a connection.
pub(crate) struct ReadState {
    limits: Rc<Cell<ServerLimits>>,
    /// Bytes allowed for the body; none while the head is read.
    body_allowance: Cell<Option<usize>>,
    /// Bytes read since the reading of the request or of its body began.
    used: Cell<usize>,
    /// Bytes read from the connection.
    pub total: Cell<u64>,
    /// When the first byte of the request arrived.
    started: Cell<Option<Instant>>,
    /// Since when the caller is to send a request; none while it waits for a response.
    waiting_since: Cell<Option<Instant>>,
    /// Idle time-out when the wait began. A caller that rests may count on it if it is lowered.
    first_idle_timeout: Cell<Duration>,
}

impl ReadState {
    pub fn new(limits: Rc<Cell<ServerLimits>>) -> Self {
        Self {
            limits,
            body_allowance: Cell::new(None),
            used: Cell::new(0),
            total: Cell::new(0),
            started: Cell::new(None),
            waiting_since: Cell::new(None),
            first_idle_timeout: Cell::new(Duration::ZERO),
        }
    }

    /// Limits in force now.
    pub fn limits(&self) -> ServerLimits {
        self.limits.get()
    }

    pub fn begin_head(&self) {
        self.body_allowance.set(None);
        self.used.set(0);
        self.started.set(None);
    }

    pub fn begin_body(&self, allowance: usize) {
        self.body_allowance.set(Some(allowance));
        self.used.set(0);
    }

    /// The caller is to send a request: the time limits run from now on.
    pub fn await_request(&self) {
        self.waiting_since.set(Some(Instant::now()));
        self.first_idle_timeout.set(self.limits().idle_timeout);
    }

    /// The caller waits for a response: no time limit runs.
    pub fn await_response(&self) {
        self.waiting_since.set(None);
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

    fn remaining(&self) -> usize {
        let allowance = self.body_allowance.get();
        let allowance = allowance.unwrap_or_else(|| self.limits().max_head_bytes);
        allowance.saturating_sub(self.used.get())
    }

    fn record_read(&self, count: usize) {
        if count > 0 && self.started.get().is_none() {
            self.started.set(Some(Instant::now()));
        }
        self.used.set(self.used.get() + count);
        self.total.set(self.total.get() + count as u64);
    }
}

impl<R> LimitedReader<R> {
    fn check_allowance(&self) -> std::io::Result<()> {
        if self.state.remaining() == 0 {
            return Err(std::io::Error::other(TOO_LARGE));
        }
        Ok(())
    }

    fn account<T>(&self, (result, buffer): BufResult<usize, T>) -> BufResult<usize, T> {
        if let Ok(count) = &result {
            self.state.record_read(*count);
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
