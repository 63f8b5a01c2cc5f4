//! Entries of the store that can't be read, each logged once.
//!
//! Whoever may write into the store may leave anything there. Such an entry names no
//! engine to use and hides none of the others; who looks after the store must see it.

use peatgrade_ports::{ObjectKind, StoreObject};
use std::collections::BTreeSet;

use crate::metrics::Metrics;

/// Entries remembered, at about 100 bytes each; what comes beyond is not named any more.
const MAX_LOGGED_ENTRIES: usize = 512;
/// Longest reason that is logged: it quotes what another writer wrote.
const MAX_REASON_CHARS: usize = 120;

/// Entries that were named in the log.
#[derive(Debug, Default)]
pub(crate) struct UnreadableEntries {
    logged: BTreeSet<(ObjectKind, String)>,
}

impl UnreadableEntries {
    /// Takes note of an object of the store, if it could not be read.
    pub fn record(&mut self, metrics: &Metrics, kind: ObjectKind, object: &StoreObject) {
        let StoreObject::Unreadable { name, reason } = object else {
            return;
        };
        if !self.mark_logged(kind, name) {
            return;
        }
        metrics.count("entry_unreadable");
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        log::warn!("belief=entry-unreadable kind={kind:?} name={name:?} reason={reason:?}");
    }

    /// Whether it was not named before and there is room to remember that it is now.
    fn mark_logged(&mut self, kind: ObjectKind, name: &str) -> bool {
        self.logged.len() < MAX_LOGGED_ENTRIES && self.logged.insert((kind, name.to_string()))
    }
}

#[cfg(test)]
#[path = "../tests/unit/unreadable_entries.rs"]
mod tests;
