//! Index of the entries in the log file, from which evicted entries are read.

use peatgrade_schema::decode;
use peatgrade_schema::replication::mod_LogRecord::OneOfbody;
use peatgrade_schema::replication::{LogEntry, LogRecord};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::Path;
use std::rc::Rc;

use crate::records::{checked_record, HEADER_BYTES};

/// Reads entries that were evicted from memory.
pub trait EntryReader: std::fmt::Debug {
    /// The entry at an index; none if it cannot be read.
    fn read(&self, index: u64) -> Option<LogEntry>;
}

/// Location of a record's payload in the log file.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct RecordLocation {
    /// Offset of the payload in the file.
    pub offset: u64,
    /// Length of the payload in bytes.
    pub length: u32,
}

impl RecordLocation {
    /// The location shifted by `distance` bytes towards the end of the file.
    pub fn shifted(self, distance: u64) -> Self {
        Self {
            offset: self.offset + distance,
            ..self
        }
    }
}

#[derive(Debug, Default)]
struct IndexedFile {
    file: Option<File>,
    /// Index of the first entry in `locations`, which are contiguous.
    first: u64,
    locations: VecDeque<RecordLocation>,
}

/// Locations of all entries of a log file, shared between its writer and its readers.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryIndex(Rc<RefCell<IndexedFile>>);

impl EntryIndex {
    /// Clears the index and reads from the file at `path`.
    pub fn reset(&self, path: &Path) -> std::io::Result<()> {
        let mut indexed = self.0.borrow_mut();
        indexed.file = Some(File::open(path)?);
        indexed.first = 0;
        indexed.locations.clear();
        Ok(())
    }

    /// Records the location of an entry. An entry replaces the one with its index and all
    /// after it.
    pub fn record(&self, index: u64, location: RecordLocation) {
        let mut indexed = self.0.borrow_mut();
        let next = indexed.first + indexed.locations.len() as u64;
        if indexed.locations.is_empty() || index < indexed.first || index > next {
            indexed.first = index;
            indexed.locations.clear();
        } else {
            let kept_entries = index - indexed.first;
            indexed.locations.truncate(kept_entries as usize);
        }
        indexed.locations.push_back(location);
    }

    /// Locations of all entries starting at `first`; none if `first` precedes the indexed
    /// entries.
    pub fn entries_from(&self, first: u64) -> Option<Vec<(u64, RecordLocation)>> {
        let indexed = self.0.borrow();
        if indexed.locations.is_empty() {
            return Some(Vec::new());
        }
        let skipped = first.checked_sub(indexed.first)?;
        let retained = indexed.locations.iter().skip(skipped as usize);
        Some((first..).zip(retained.copied()).collect())
    }

    /// Replaces the file and the locations by those of a rewritten file. Entries trimmed here
    /// are trimmed from the new index too.
    pub fn replace(&self, newer: EntryIndex, file: File) {
        newer.trim(self.0.borrow().first);
        let mut replacement = newer.0.take();
        replacement.file = Some(file);
        self.0.replace(replacement);
    }

    /// Removes entries before `index`.
    pub fn trim(&self, index: u64) {
        let mut indexed = self.0.borrow_mut();
        while indexed.first < index && indexed.locations.pop_front().is_some() {
            indexed.first += 1;
        }
    }
}

impl EntryReader for EntryIndex {
    fn read(&self, index: u64) -> Option<LogEntry> {
        let indexed = self.0.borrow();
        let offset = index.checked_sub(indexed.first)?;
        let location = indexed.locations.get(offset as usize)?;
        let mut file = indexed.file.as_ref()?;
        let mut record = vec![0; HEADER_BYTES + location.length as usize];
        let read = file
            .seek(SeekFrom::Start(location.offset - HEADER_BYTES as u64))
            .and_then(|_| file.read_exact(&mut record));
        if let Err(error) = read {
            log::error!("step=read-entry index={index} error={error}");
            return None;
        }
        let Some(payload) = checked_record(&record, 0) else {
            log::error!("step=read-entry index={index} error=checksum-mismatch");
            return None;
        };
        match decode::<LogRecord>(payload).map(|record| record.body) {
            Ok(OneOfbody::entry(entry)) if entry.index == index => Some(entry),
            _ => {
                log::error!("step=read-entry index={index} error=unexpected-record");
                None
            }
        }
    }
}
