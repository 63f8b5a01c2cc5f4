//! Logs each entry of the object store that cannot be decoded, once.
//!
//! Other writers of the store may leave invalid entries. They are skipped without affecting
//! other entries, and logged for the operators of the store.

use peatgrade_ports::{ObjectKind, StoreObject};
use std::collections::BTreeSet;

use crate::log_text::shortened;
use crate::metrics::Metrics;

/// Maximum number of entries to remember, which bounds memory; further ones are not logged.
const MAX_LOGGED_ENTRIES: usize = 512;

/// Entries that have been logged.
#[derive(Debug, Default)]
pub(crate) struct UnreadableEntries {
    logged: BTreeSet<(ObjectKind, String)>,
}

impl UnreadableEntries {
    /// Counts and logs `object` if it is unreadable and has not been logged before.
    pub fn record(&mut self, metrics: &Metrics, kind: ObjectKind, object: &StoreObject) {
        let StoreObject::Unreadable { name, reason, .. } = object else {
            return;
        };
        // Both may be as long as an entry.
        let (name, reason) = (shortened(name), shortened(reason));
        if !self.mark_logged(kind, &name) {
            return;
        }
        metrics.count("entry_unreadable");
        log::warn!("belief=entry-unreadable kind={kind:?} name={name:?} reason={reason:?}");
    }

    /// Marks an entry as logged. Returns `false` if it already was or the limit is reached.
    fn mark_logged(&mut self, kind: ObjectKind, name: &str) -> bool {
        self.logged.len() < MAX_LOGGED_ENTRIES && self.logged.insert((kind, name.to_string()))
    }
}

#[cfg(test)]
#[path = "../tests/unit/unreadable_entries.rs"]
mod tests;
