//! Limit on the open connections of a listener.
//!
//! At the limit, a new connection takes the place of the one on which nothing has arrived for
//! longest. Connections whose response is pending are never closed for others.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use crate::read_state::{Interrupt, ReadState};

/// Limits the open connections of a listener. Clones share the limit.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLimit {
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Most open connections; none for no limit.
    limit: Option<usize>,
    open: RefCell<Vec<Weak<ReadState>>>,
    closed: Cell<u64>,
    refused: Cell<u64>,
}

/// Connections now, and counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionStats {
    pub open: usize,
    /// Connections that were closed for new ones.
    pub closed: u64,
    /// New connections that were refused.
    pub refused: u64,
}

impl ConnectionLimit {
    /// Creates a limit of `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            shared: Rc::new(Shared {
                limit: Some(limit),
                ..Shared::default()
            }),
        }
    }

    pub fn stats(&self) -> ConnectionStats {
        let open = self.shared.open.borrow();
        ConnectionStats {
            open: open.iter().filter(|weak| weak.strong_count() > 0).count(),
            closed: self.shared.closed.get(),
            refused: self.shared.refused.get(),
        }
    }

    /// Records that a connection was refused.
    pub(crate) fn record_refused(&self) {
        self.shared.refused.set(self.shared.refused.get() + 1);
    }

    /// Admits a connection, closing another one at the limit. Returns whether it is admitted.
    pub(crate) fn admit(&self, connection: &Rc<ReadState>) -> bool {
        let Some(limit) = self.shared.limit else {
            return true;
        };
        let mut open = self.shared.open.borrow_mut();
        open.retain(|weak| weak.strong_count() > 0);
        if open.len() >= limit {
            let Some(quietest) = quietest(&open) else {
                log::warn!(
                    "decision=refuse-connection reason=limit open={}",
                    open.len()
                );
                return false;
            };
            let closed = open.swap_remove(quietest).upgrade();
            self.shared.closed.set(self.shared.closed.get() + 1);
            if let Some(closed) = closed {
                log::warn!(
                    "decision=close-connection reason=limit open={} quiet_ms={} body={}",
                    open.len() + 1,
                    closed
                        .quiet_since()
                        .map_or(0, |at| at.elapsed().as_millis()),
                    closed.body_length()
                );
                closed.interrupt(Interrupt::ConnectionClosed);
            }
        }
        open.push(Rc::downgrade(connection));
        true
    }
}

/// Index of the connection on which nothing has arrived for longest, among those that are read.
fn quietest(open: &[Weak<ReadState>]) -> Option<usize> {
    let quiet = open.iter().enumerate().filter_map(|(index, weak)| {
        let since = weak.upgrade()?.quiet_since()?;
        Some((since, index))
    });
    quiet.min().map(|(_, index)| index)
}
