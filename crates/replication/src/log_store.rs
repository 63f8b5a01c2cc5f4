//! The log in memory: a base and the entries after it.

use peatgrade_schema::replication::{LogBase, LogEntry, Member, Members};
use std::collections::VecDeque;
use std::rc::Rc;

/// Entries after a base, without gaps.
#[derive(Clone, Debug, Default)]
pub struct LogStore {
    base: LogBase,
    entries: VecDeque<Rc<LogEntry>>,
    /// Indices of entries that change the members.
    changes: VecDeque<u64>,
}

impl LogStore {
    /// A log that begins after `base`.
    pub fn new(base: LogBase, entries: Vec<LogEntry>) -> Self {
        let mut log = Self {
            base,
            ..Self::default()
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// Where the log begins.
    pub fn base(&self) -> &LogBase {
        &self.base
    }

    /// Index of the last entry, or of the base.
    pub fn last_index(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    /// Term of the last entry, or of the base.
    pub fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base.term, |entry| entry.term)
    }

    /// Term of an index; none if it was trimmed or doesn't exist.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry.
    pub fn get(&self, index: u64) -> Option<&Rc<LogEntry>> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `from` on, up to about `max_bytes` but one at least.
    pub fn slice(&self, from: u64, max_bytes: usize) -> Vec<Rc<LogEntry>> {
        let mut bytes = 0;
        let mut found = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.command.len() + 32;
            if !found.is_empty() && bytes > max_bytes {
                break;
            }
            found.push(entry.clone());
            index += 1;
        }
        found
    }

    /// Adds an entry whose index must be the next one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if entry.members.is_some() {
            self.changes.push_back(entry.index);
        }
        self.entries.push_back(Rc::new(entry));
    }

    /// Drops `index` and all after it.
    pub fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(keep as usize);
        while self.changes.back().is_some_and(|change| *change >= index) {
            self.changes.pop_back();
        }
    }

    /// Drops entries up to and with `index`, which becomes the base.
    pub fn trim(&mut self, index: u64) -> bool {
        let Some(term) = self.term(index) else {
            return false;
        };
        let members = self.members_at(index);
        while self.base.index < index {
            self.entries.pop_front();
            self.base.index += 1;
        }
        while self.changes.front().is_some_and(|change| *change <= index) {
            self.changes.pop_front();
        }
        self.base.term = term;
        self.base.members = Some(Members { members });
        true
    }

    /// Starts anew after `base`.
    pub fn reset(&mut self, base: LogBase) {
        self.base = base;
        self.entries.clear();
        self.changes.clear();
    }

    /// Newest members, committed or not.
    pub fn members(&self) -> Vec<Member> {
        self.members_at(self.last_index())
    }

    /// Index of the newest change of members; 0 if it lies in the base.
    pub fn members_index(&self) -> u64 {
        self.changes.back().copied().unwrap_or(0)
    }

    fn members_at(&self, index: u64) -> Vec<Member> {
        let mut changes = self.changes.iter().rev();
        let newest = changes.find(|change| **change <= index);
        let entry = newest.and_then(|change| self.get(*change));
        let members = match entry {
            Some(entry) => entry.members.as_ref(),
            None => self.base.members.as_ref(),
        };
        members.map(|set| set.members.clone()).unwrap_or_default()
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<LogEntry>> {
        self.entries.iter()
    }
}
