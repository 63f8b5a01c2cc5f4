//! Where each entry stands in the log file, so that its content need not stay
//! in memory.

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

/// Reads entries that were dropped from memory.
pub trait EntryReader: std::fmt::Debug {
    /// An entry, if it can be read.
    fn read(&self, index: u64) -> Option<LogEntry>;
}

/// A record's payload in the file.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct RecordLocation {
    /// First byte.
    pub offset: u64,
    /// Bytes.
    pub length: u32,
}

impl RecordLocation {
    /// The same place in a file where `before` bytes come first.
    pub fn moved(self, before: u64) -> Self {
        Self {
            offset: self.offset + before,
            ..self
        }
    }
}

#[derive(Debug, Default)]
struct IndexedFile {
    file: Option<File>,
    /// Index of the first entry in `places`; they follow each other.
    first: u64,
    places: VecDeque<RecordLocation>,
}

/// The places of all entries of one log file, shared between who writes it and
/// who reads it.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryIndex(Rc<RefCell<IndexedFile>>);

impl EntryIndex {
    /// Begins anew with the file at `path`.
    pub fn reset(&self, path: &Path) -> std::io::Result<()> {
        let mut places = self.0.borrow_mut();
        places.file = Some(File::open(path)?);
        places.first = 0;
        places.places.clear();
        Ok(())
    }

    /// Takes note of an entry; one with an index that is known replaces it and
    /// all after it.
    pub fn note(&self, index: u64, place: RecordLocation) {
        let mut places = self.0.borrow_mut();
        let next = places.first + places.places.len() as u64;
        if places.places.is_empty() || index < places.first || index > next {
            places.first = index;
            places.places.clear();
        } else {
            let keep = index - places.first;
            places.places.truncate(keep as usize);
        }
        places.places.push_back(place);
    }

    /// All entries from `first` on with their places; none if some of the
    /// entries from there on are not known, but later ones are.
    pub fn entries_from(&self, first: u64) -> Option<Vec<(u64, RecordLocation)>> {
        let places = self.0.borrow();
        if places.places.is_empty() {
            return Some(Vec::new());
        }
        let skipped = first.checked_sub(places.first)?;
        let kept = places.places.iter().skip(skipped as usize);
        Some((first..).zip(kept.copied()).collect())
    }

    /// Takes over where the same entries stand in another file. Those that were
    /// forgotten here stay forgotten.
    pub fn replace(&self, newer: EntryIndex, file: File) {
        newer.trim(self.0.borrow().first);
        let mut taken = newer.0.take();
        taken.file = Some(file);
        self.0.replace(taken);
    }

    /// Forgets entries before `index`.
    pub fn trim(&self, index: u64) {
        let mut places = self.0.borrow_mut();
        while places.first < index && places.places.pop_front().is_some() {
            places.first += 1;
        }
    }
}

impl EntryReader for EntryIndex {
    fn read(&self, index: u64) -> Option<LogEntry> {
        let places = self.0.borrow();
        let offset = index.checked_sub(places.first)?;
        let place = places.places.get(offset as usize)?;
        let mut file = places.file.as_ref()?;
        let mut record = vec![0; HEADER_BYTES + place.length as usize];
        let read = file
            .seek(SeekFrom::Start(place.offset - HEADER_BYTES as u64))
            .and_then(|_| file.read_exact(&mut record));
        if let Err(error) = read {
            log::error!("step=read-entry index={index} error={error}");
            return None;
        }
        let Some(payload) = checked_record(&record, 0) else {
            log::error!("step=read-entry index={index} error=damaged");
            return None;
        };
        match decode::<LogRecord>(payload).map(|record| record.body) {
            Ok(OneOfbody::entry(entry)) if entry.index == index => Some(entry),
            _ => {
                log::error!("step=read-entry index={index} error=another-record");
                None
            }
        }
    }
}
