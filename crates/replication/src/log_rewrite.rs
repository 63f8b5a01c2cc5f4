//! Incremental rewrite of the log file.
//!
//! The old file is append-only, so the records in it when the rewrite begins can be copied
//! at any later time. Records appended between steps are copied after them, in the same
//! order. Recovery from the new file therefore gives the same log as from the old one,
//! including entries that were replaced during the rewrite.

use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::entry_index::{EntryIndex, RecordLocation};
use crate::log_file::{io_error, LogFileError};
use crate::records::{checked_record, HEADER_BYTES};

/// Bytes of a replaced file freed in a step, per byte that a step may copy.
const FREED_PER_COPIED: u64 = 8;

/// A record of the old file that is still to be copied.
#[derive(Clone, Copy, Debug)]
struct PendingRecord {
    /// Index of the entry; none for a state record.
    entry: Option<u64>,
    location: RecordLocation,
}

impl PendingRecord {
    /// Offset of the record, including its header.
    fn start(&self) -> u64 {
        self.location.offset - HEADER_BYTES as u64
    }

    fn end(&self) -> u64 {
        self.location.offset + u64::from(self.location.length)
    }

    fn bytes(&self) -> u64 {
        self.end() - self.start()
    }
}

/// A rewrite in progress.
#[derive(Debug)]
pub(crate) struct Rewrite {
    file: File,
    path: PathBuf,
    /// A separate handle of the old file, whose file position is used for reading only.
    old: File,
    old_path: PathBuf,
    /// Bytes written to the new file.
    length: u64,
    /// Records still to be copied, in order.
    pending: VecDeque<PendingRecord>,
    /// Bytes of `pending`.
    pending_bytes: u64,
    /// Bytes appended to the old file since the last step.
    appended_bytes: u64,
    /// Locations of the entries in the new file.
    index: EntryIndex,
}

/// A completed rewrite.
pub(crate) struct Rewritten {
    /// The new file, positioned at its end.
    pub file: File,
    /// A separate handle of the new file, for reading.
    pub reader: File,
    pub length: u64,
    /// Locations of the entries in the new file.
    pub index: EntryIndex,
}

impl Rewrite {
    /// Creates a new file at `path` that begins with `head`, to be followed by `entries`.
    pub fn begin(
        path: PathBuf,
        old_path: PathBuf,
        head: &[u8],
        entries: Vec<(u64, RecordLocation)>,
    ) -> Result<Self, LogFileError> {
        let mut file = create(&path)?;
        file.write_all(head).map_err(io_error("write", &path))?;
        let old = File::open(&old_path).map_err(io_error("open for reading", &old_path))?;
        let mut rewrite = Self {
            file,
            path,
            old,
            old_path,
            length: head.len() as u64,
            pending: VecDeque::with_capacity(entries.len()),
            pending_bytes: 0,
            appended_bytes: 0,
            index: EntryIndex::default(),
        };
        for (index, location) in entries {
            rewrite.add_record(Some(index), location);
        }
        rewrite.appended_bytes = 0;
        Ok(rewrite)
    }

    /// Adds a record that was appended to the old file and synced.
    pub fn add_record(&mut self, entry: Option<u64>, location: RecordLocation) {
        let record = PendingRecord { entry, location };
        self.pending_bytes += record.bytes();
        self.appended_bytes += record.bytes();
        self.pending.push_back(record);
    }

    /// Length of the new file if no further record is appended.
    pub fn planned_length(&self) -> u64 {
        self.length + self.pending_bytes
    }

    /// Copies at least one record and up to `max_bytes`, plus as many bytes as were appended
    /// since the last step, so that appends cannot outpace the rewrite. Returns whether all
    /// records are copied.
    ///
    /// Each step syncs the bytes it wrote, since a single sync at the end would block for too
    /// long.
    pub fn step(&mut self, max_bytes: u64) -> Result<bool, LogFileError> {
        let budget = max_bytes + std::mem::take(&mut self.appended_bytes);
        let mut bytes = Vec::new();
        loop {
            let remaining = budget.saturating_sub(bytes.len() as u64);
            let records = self.take_adjacent(remaining, bytes.is_empty());
            if records.is_empty() {
                break;
            }
            self.copy_records(&records, &mut bytes)?;
        }
        self.file
            .write_all(&bytes)
            .map_err(io_error("write", &self.path))?;
        self.length += bytes.len() as u64;
        self.file.sync_all().map_err(io_error("sync", &self.path))?;
        Ok(self.pending.is_empty())
    }

    /// Takes the next records that are adjacent in the old file, up to `max_bytes`; if `force`
    /// is set, at least one.
    fn take_adjacent(&mut self, max_bytes: u64, force: bool) -> Vec<PendingRecord> {
        let mut records: Vec<PendingRecord> = Vec::new();
        let mut taken = 0;
        while let Some(record) = self.pending.front().copied() {
            let is_forced = force && records.is_empty();
            let is_adjacent = records
                .last()
                .is_none_or(|last| last.end() == record.start());
            if !is_adjacent || (!is_forced && taken + record.bytes() > max_bytes) {
                break;
            }
            taken += record.bytes();
            records.push(record);
            self.pending.pop_front();
        }
        self.pending_bytes -= taken;
        records
    }

    /// Reads adjacent records with one read and verifies the checksum of each.
    fn copy_records(
        &mut self,
        records: &[PendingRecord],
        into: &mut Vec<u8>,
    ) -> Result<(), LogFileError> {
        let (Some(first), Some(last)) = (records.first(), records.last()) else {
            return Ok(());
        };
        let start = into.len();
        into.resize(start + (last.end() - first.start()) as usize, 0);
        let seek = self.old.seek(SeekFrom::Start(first.start()));
        let read = seek.and_then(|_| self.old.read_exact(&mut into[start..]));
        read.map_err(io_error("read", &self.old_path))?;
        for record in records {
            let offset = start + (record.start() - first.start()) as usize;
            let payload = checked_record(into, offset);
            if payload.map(<[u8]>::len) != Some(record.location.length as usize) {
                return Err(unreadable(record.entry, &self.old_path));
            }
            if let Some(index) = record.entry {
                let location = RecordLocation {
                    offset: self.length + (offset + HEADER_BYTES) as u64,
                    ..record.location
                };
                self.index.record(index, location);
            }
        }
        Ok(())
    }

    /// Renames the completed new file over the old one.
    pub fn finish(self, folder: &Path) -> Result<Rewritten, LogFileError> {
        // Reads move the file position, so they need a handle of their own.
        let reader = File::open(&self.path).map_err(io_error("open for reading", &self.path))?;
        rename_into_place(&self.path, &self.old_path, folder)?;
        Ok(Rewritten {
            file: self.file,
            reader,
            length: self.length,
            index: self.index,
        })
    }
}

/// A log file that a rewrite has replaced. Closing a large unlinked file blocks until all of
/// its space is freed, so it is truncated in steps first.
#[derive(Debug)]
pub(crate) struct ReplacedFile {
    file: File,
    length: u64,
}

impl ReplacedFile {
    /// `file` must have a length of `length` bytes and be unlinked.
    pub fn new(file: File, length: u64) -> Self {
        Self { file, length }
    }

    /// Frees a part of the file, in proportion to `max_bytes`. Returns the file while some of
    /// it is left.
    pub fn free(mut self, max_bytes: u64) -> Option<Self> {
        let part = max_bytes.saturating_mul(FREED_PER_COPIED);
        self.length = self.length.saturating_sub(part);
        if let Err(error) = self.file.set_len(self.length) {
            log::warn!("step=free-old-log error={error}");
            return None;
        }
        (self.length > 0).then_some(self)
    }
}

/// Creates or truncates the file at `path`.
pub(crate) fn create(path: &Path) -> Result<File, LogFileError> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(true)
        .open(path)
        .map_err(io_error("create", path))
}

/// Renames a synced file over `path` and syncs the folder.
pub(crate) fn rename_into_place(
    new_path: &Path,
    path: &Path,
    folder: &Path,
) -> Result<(), LogFileError> {
    std::fs::rename(new_path, path).map_err(io_error("rename", new_path))?;
    let opened = File::open(folder).map_err(io_error("open folder", folder))?;
    opened.sync_all().map_err(io_error("sync folder", folder))
}

/// Error for a record that cannot be read back. It must not be skipped, since recovery would
/// then discard all entries after it.
pub(crate) fn unreadable(entry: Option<u64>, path: &Path) -> LogFileError {
    let reason = match entry {
        Some(index) => format!("entry {index} is missing or corrupted"),
        None => "a state record is corrupted".to_string(),
    };
    io_error("read", path)(std::io::Error::other(reason))
}
