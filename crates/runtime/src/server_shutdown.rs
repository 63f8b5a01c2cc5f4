//! Graceful shutdown of a server: requests that were received are answered, and no further
//! requests are read.
//!
//! Callers use open connections until they are closed, so a process must not exit while
//! connections are still being read.

use futures_channel::oneshot;
use futures_util::future::{select, Either, Shared};
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Signals shutdown to all connections of a server and counts the open ones.
#[derive(Clone, Debug)]
pub struct ServerShutdown {
    sender: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    receiver: Shared<oneshot::Receiver<()>>,
    open: Rc<Cell<usize>>,
}

impl Default for ServerShutdown {
    fn default() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            sender: Rc::new(RefCell::new(Some(sender))),
            receiver: receiver.shared(),
            open: Rc::default(),
        }
    }
}

impl ServerShutdown {
    /// Begins the shutdown: stops accepting connections, closes idle ones, and closes the
    /// others once their current request is answered.
    pub fn begin(&self) {
        // Empty after the first call.
        if let Some(sender) = self.sender.borrow_mut().take() {
            let _ = sender.send(());
        }
    }

    /// Number of open connections and active accept loops. At 0, no further request can be
    /// read.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Counts a connection or accept loop until the returned guard is dropped.
    pub(crate) fn count_connection(&self) -> ConnectionGuard {
        self.open.set(self.open.get() + 1);
        ConnectionGuard(self.open.clone())
    }

    /// Awaits `future`. Returns `None` if shutdown begins first and `may_stop` allows to
    /// abandon the future. A future that is ready takes precedence over shutdown.
    pub(crate) async fn until_shutdown<F: Future>(
        &self,
        future: Pin<&mut F>,
        may_stop: impl FnOnce() -> bool,
    ) -> Option<F::Output> {
        match select(future, self.receiver.clone()).await {
            Either::Left((output, _)) => Some(output),
            Either::Right((_, _)) if may_stop() => None,
            Either::Right((_, future)) => Some(future.await),
        }
    }
}

/// Counts an open connection or accept loop until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
