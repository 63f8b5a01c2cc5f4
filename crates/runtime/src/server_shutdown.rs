//! The end of a server: what was read is answered, nothing more is read.
//!
//! Callers go on using open connections until they are closed. A process that ends
//! while connections are still read takes requests that nobody will answer.

use futures_channel::oneshot;
use futures_util::future::{select, Either, Shared};
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Tells all connections of a server that it closes, and knows how many are open.
#[derive(Clone, Debug)]
pub struct ServerShutdown {
    tell: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    told: Shared<oneshot::Receiver<()>>,
    open: Rc<Cell<usize>>,
}

impl Default for ServerShutdown {
    fn default() -> Self {
        let (tell, told) = oneshot::channel();
        Self {
            tell: Rc::new(RefCell::new(Some(tell))),
            told: told.shared(),
            open: Rc::default(),
        }
    }
}

impl ServerShutdown {
    /// From here on no new request is read: connections that rest are closed, others
    /// once their request is answered, and no connection is accepted any more.
    pub fn begin(&self) {
        // The sender is gone after the first call.
        if let Some(tell) = self.tell.borrow_mut().take() {
            let _ = tell.send(());
        }
    }

    /// Connections that are open, and those who still accept some: none only if nothing
    /// more can be read.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Counts a connection for as long as what is returned lives.
    pub(crate) fn count_connection(&self) -> OpenConnection {
        self.open.set(self.open.get() + 1);
        OpenConnection(self.open.clone())
    }

    /// The outcome of `waiting`, or none if the server closes first and `may_stop`
    /// then. What is ready already goes first.
    pub(crate) async fn unless_closed<F: Future>(
        &self,
        waiting: Pin<&mut F>,
        may_stop: impl FnOnce() -> bool,
    ) -> Option<F::Output> {
        match select(waiting, self.told.clone()).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right((_, _)) if may_stop() => None,
            Either::Right((_, waiting)) => Some(waiting.await),
        }
    }
}

/// One open connection, or one who accepts them.
#[derive(Debug)]
pub(crate) struct OpenConnection(Rc<Cell<usize>>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
