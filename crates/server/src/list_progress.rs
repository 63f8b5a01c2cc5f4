//! Logs and counts how a list of the store advances.

use peatgrade_ports::{ObjectKind, StoreObject};
use peatgrade_types::hash_bytes;
use std::collections::HashSet;

use crate::metrics::Metrics;

/// Maximum length of a logged name.
const MAX_NAME_CHARS: usize = 80;

/// Pages of a list in progress.
#[derive(Debug)]
pub(crate) struct ListProgress {
    kind: ObjectKind,
    pages: u64,
    /// Pages that brought no object that an earlier page had not brought.
    repeated_pages: u64,
    /// Hashes of the names received.
    names: HashSet<u64>,
}

impl ListProgress {
    pub fn new(kind: ObjectKind) -> Self {
        Self {
            kind,
            pages: 0,
            repeated_pages: 0,
            names: HashSet::new(),
        }
    }

    /// Records a page. The first one of a list that brings nothing new is logged.
    pub fn record_page(&mut self, metrics: &Metrics, objects: &[(String, StoreObject)]) {
        self.pages += 1;
        let known = self.names.len();
        let hashes = objects.iter().map(|(name, _)| hash_bytes(name.as_bytes()));
        self.names.extend(hashes);
        if self.names.len() > known || objects.is_empty() {
            return;
        }
        self.repeated_pages += 1;
        metrics.count("list_page_repeated");
        if self.repeated_pages == 1 {
            let last = objects.last().map(|(name, _)| name.as_str());
            let last: String = last.unwrap_or("").chars().take(MAX_NAME_CHARS).collect();
            log::warn!(
                "belief=list-repeats kind={:?} pages={} last={last:?}",
                self.kind,
                self.pages
            );
        }
    }

    /// Logs the end of a list.
    pub fn log_end(&self, outcome: &str) {
        log::info!(
            "belief=list kind={:?} outcome={outcome} pages={} repeated={} objects={}",
            self.kind,
            self.pages,
            self.repeated_pages,
            self.names.len()
        );
    }
}
