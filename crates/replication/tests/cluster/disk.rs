//! A simulated disk, which keeps synced data only.

use peatgrade_replication::{LogStore, Ready};
use peatgrade_schema::replication::{HardState, LogBase, LogEntry};
use std::rc::Rc;

/// Data persisted by a replica.
#[derive(Clone, Default)]
pub struct Disk {
    pub state: HardState,
    pub base: LogBase,
    pub entries: Vec<Rc<LogEntry>>,
}

impl Disk {
    pub fn persist(&mut self, ready: &Ready) {
        if let Some(base) = &ready.base {
            self.base = base.clone();
            self.entries.clear();
        }
        if let Some(state) = &ready.state {
            self.state = state.clone();
        }
        for entry in &ready.entries {
            let keep = entry.index - self.base.index - 1;
            self.entries.truncate(keep as usize);
            self.entries.push(entry.clone());
        }
    }

    pub fn log(&self) -> LogStore {
        let entries = self.entries.iter().map(|entry| (**entry).clone());
        LogStore::new(self.base.clone(), entries.collect())
    }
}
