//! The in-memory log: a base and the entries after it. The contents of evicted entries are
//! read from the log file.

use peatgrade_schema::replication::{LogBase, LogEntry, Member, Members};
use std::collections::VecDeque;
use std::rc::Rc;

use crate::entry_index::EntryReader;

/// An entry, or its metadata once it is evicted.
#[derive(Clone, Debug)]
enum Slot {
    Resident(Rc<LogEntry>),
    /// The contents are in the log file only.
    OnDisk {
        term: u64,
        bytes: usize,
    },
}

impl Slot {
    fn term(&self) -> u64 {
        match self {
            Slot::Resident(entry) => entry.term,
            Slot::OnDisk { term, .. } => *term,
        }
    }
}

/// A base and the contiguous entries after it.
#[derive(Clone, Debug, Default)]
pub struct LogStore {
    base: LogBase,
    entries: VecDeque<Slot>,
    /// Entries up to this index are evicted, except those that change the members.
    evicted_index: u64,
    /// Reads evicted entries.
    reader: Option<Rc<dyn EntryReader>>,
    /// Indices of entries that change the members.
    member_changes: VecDeque<u64>,
}

impl LogStore {
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

    /// Index, term and members that the first entry follows.
    pub fn base(&self) -> &LogBase {
        &self.base
    }

    /// Index of the last entry; of the base if there are no entries.
    pub fn last_index(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    /// Term of the last entry; of the base if there are no entries.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.term, Slot::term)
    }

    /// Term at an index; none if the entry was trimmed or does not exist.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.slot(index).map(Slot::term)
    }

    fn slot(&self, index: u64) -> Option<&Slot> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// The entry at an index, read from the log file if it is evicted.
    pub fn get(&self, index: u64) -> Option<Rc<LogEntry>> {
        match self.slot(index)? {
            Slot::Resident(entry) => Some(entry.clone()),
            Slot::OnDisk { .. } => {
                let reader = self.reader.as_ref()?;
                reader.read(index).map(Rc::new)
            }
        }
    }

    /// Sets the reader of evicted entries, which [`LogStore::evict_up_to`] requires.
    pub fn set_reader(&mut self, reader: Rc<dyn EntryReader>) {
        self.reader = Some(reader);
    }

    /// Evicts the contents of entries up to and including `index`. Entries that change the
    /// members stay in memory.
    pub fn evict_up_to(&mut self, index: u64) {
        if self.reader.is_none() {
            return;
        }
        let first = self.evicted_index.max(self.base.index) + 1;
        for index in first..=index.min(self.last_index()) {
            self.evicted_index = index;
            let offset = (index - self.base.index - 1) as usize;
            let Slot::Resident(entry) = &self.entries[offset] else {
                continue;
            };
            if entry.members.is_none() {
                self.entries[offset] = Slot::OnDisk {
                    term: entry.term,
                    bytes: entry.command.len(),
                };
            }
        }
    }

    /// Index up to which entries must be evicted so that the entries after it, up to `until`,
    /// have at most `max_bytes` of commands in memory; 0 if none must be.
    pub fn eviction_index(&self, until: u64, max_bytes: usize) -> u64 {
        let mut resident = 0;
        let mut index = until.min(self.last_index());
        while index > self.evicted_index.max(self.base.index) {
            if let Some(Slot::Resident(entry)) = self.slot(index) {
                resident += entry.command.len();
            }
            if resident > max_bytes {
                return index;
            }
            index -= 1;
        }
        0
    }

    /// Bytes of all commands, in memory or evicted.
    pub fn command_bytes(&self) -> u64 {
        let bytes = self.entries.iter().map(|slot| match slot {
            Slot::Resident(entry) => entry.command.len(),
            Slot::OnDisk { bytes, .. } => *bytes,
        });
        bytes.sum::<usize>() as u64
    }

    /// Bytes of commands in memory.
    pub fn resident_bytes(&self) -> u64 {
        let bytes = self.entries.iter().map(|slot| match slot {
            Slot::Resident(entry) => entry.command.len(),
            Slot::OnDisk { .. } => 0,
        });
        bytes.sum::<usize>() as u64
    }

    /// Number of entries after the base.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries after the base.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Entries starting at `from`, at least one and up to about `max_bytes`.
    pub fn slice(&self, from: u64, max_bytes: usize) -> Vec<Rc<LogEntry>> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.command.len() + 32;
            if !entries.is_empty() && bytes > max_bytes {
                break;
            }
            entries.push(entry);
            index += 1;
        }
        entries
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if entry.members.is_some() {
            self.member_changes.push_back(entry.index);
        }
        self.entries.push_back(Slot::Resident(Rc::new(entry)));
    }

    /// Appends an entry that was read from the log file, evicted from the start.
    pub(crate) fn push_from_file(&mut self, entry: LogEntry) {
        let (term, bytes) = (entry.term, entry.command.len());
        let changes_members = entry.members.is_some();
        self.push(entry);
        if let Some(slot) = self.entries.back_mut().filter(|_| !changes_members) {
            *slot = Slot::OnDisk { term, bytes };
        }
    }

    /// Discards the entry at `index` and all after it.
    pub fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(keep as usize);
        self.evicted_index = self.evicted_index.min(index.saturating_sub(1));
        while self
            .member_changes
            .back()
            .is_some_and(|change| *change >= index)
        {
            self.member_changes.pop_back();
        }
    }

    /// Discards entries up to and including `index`, which becomes the base. Returns false if
    /// the index is not in the log.
    pub fn trim(&mut self, index: u64) -> bool {
        let Some(term) = self.term(index) else {
            return false;
        };
        let members = self.members_at(index);
        while self.base.index < index {
            self.entries.pop_front();
            self.base.index += 1;
        }
        while self
            .member_changes
            .front()
            .is_some_and(|change| *change <= index)
        {
            self.member_changes.pop_front();
        }
        self.base.term = term;
        self.base.members = Some(Members { members });
        true
    }

    /// Replaces the whole log by an empty one after `base`.
    pub fn reset(&mut self, base: LogBase) {
        self.base = base;
        self.evicted_index = 0;
        self.entries.clear();
        self.member_changes.clear();
    }

    /// The latest membership, committed or not.
    pub fn members(&self) -> Vec<Member> {
        self.members_at(self.last_index())
    }

    /// Index of the latest membership change; 0 if the membership is that of the base.
    pub fn members_index(&self) -> u64 {
        self.member_changes.back().copied().unwrap_or(0)
    }

    fn members_at(&self, index: u64) -> Vec<Member> {
        let mut changes = self.member_changes.iter().rev();
        let newest = changes.find(|change| **change <= index);
        let entry = newest.and_then(|change| self.get(*change));
        let members = match &entry {
            Some(entry) => entry.members.as_ref(),
            None => self.base.members.as_ref(),
        };
        members.map(|set| set.members.clone()).unwrap_or_default()
    }
}
