//! A rewrite of the log file in steps.
//!
//! The old file is only ever appended to, so what stood in it when the rewrite
//! began can be copied from there at any later time, whatever happens to the log
//! meanwhile. What is appended between steps is copied after it, in the same
//! order. A start that reads the new file thus finds what it finds in the old
//! one: an entry that was replaced is in both, and so is what replaced it.

use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::entry_index::{EntryIndex, RecordLocation};
use crate::log_file::{at, LogFileError};
use crate::records::{checked_record, HEADER_BYTES};

/// Bytes of a replaced file that are freed in a step, for each that a step copies.
/// In a trial (ext4, one disk of this project's machine), 16 MB took 5.7 ms, and a
/// file of 200 MB 72 ms at once.
const FREED_PER_COPIED: u64 = 8;

/// A record of the old file.
#[derive(Clone, Copy, Debug)]
struct PendingRecord {
    /// Index of the entry; none for a state.
    entry: Option<u64>,
    place: RecordLocation,
}

impl PendingRecord {
    /// First byte of the record, with its header.
    fn begin(&self) -> u64 {
        self.place.offset - HEADER_BYTES as u64
    }

    fn end(&self) -> u64 {
        self.place.offset + u64::from(self.place.length)
    }

    fn bytes(&self) -> u64 {
        self.end() - self.begin()
    }
}

/// A new file on its way to take the place of the old one.
#[derive(Debug)]
pub(crate) struct Rewrite {
    file: File,
    path: PathBuf,
    /// The old file, to be read: whoever appends to it has a place of their own.
    old: File,
    old_path: PathBuf,
    /// Bytes written.
    length: u64,
    /// What is still to be copied, in this order.
    pieces: VecDeque<PendingRecord>,
    /// Bytes of `pieces`.
    waiting: u64,
    /// Bytes appended to the old file since the last step.
    appended: u64,
    /// Where entries stand in the new file.
    index: EntryIndex,
}

/// What takes the place of the old file.
pub(crate) struct Rewritten {
    /// At its end, to be appended to.
    pub file: File,
    /// The same file, to be read.
    pub reader: File,
    /// Bytes of it.
    pub length: u64,
    /// Where entries stand in it.
    pub index: EntryIndex,
}

impl Rewrite {
    /// A new file at `path` that begins with `head`; `entries` follow.
    pub fn begin(
        path: PathBuf,
        old_path: PathBuf,
        head: &[u8],
        entries: Vec<(u64, RecordLocation)>,
    ) -> Result<Self, LogFileError> {
        let mut file = create(&path)?;
        file.write_all(head).map_err(at("write", &path))?;
        let old = File::open(&old_path).map_err(at("open for reading", &old_path))?;
        let mut rewrite = Self {
            file,
            path,
            old,
            old_path,
            length: head.len() as u64,
            pieces: VecDeque::with_capacity(entries.len()),
            waiting: 0,
            appended: 0,
            index: EntryIndex::default(),
        };
        for (index, place) in entries {
            rewrite.add(Some(index), place);
        }
        rewrite.appended = 0;
        Ok(rewrite)
    }

    /// A record was appended to the old file and synced there.
    pub fn add(&mut self, entry: Option<u64>, place: RecordLocation) {
        let piece = PendingRecord { entry, place };
        self.waiting += piece.bytes();
        self.appended += piece.bytes();
        self.pieces.push_back(piece);
    }

    /// Bytes of the new file, if nothing else is appended.
    pub fn planned_length(&self) -> u64 {
        self.length + self.waiting
    }

    /// Copies up to `max_bytes`, but one record at least, and as many more as
    /// were appended since the last step, so that appends cannot outpace the
    /// rewrite. Whether nothing is left.
    ///
    /// Each step syncs what it wrote: one sync of all would take as long as
    /// all steps.
    pub fn step(&mut self, max_bytes: u64) -> Result<bool, LogFileError> {
        let budget = max_bytes + std::mem::take(&mut self.appended);
        let mut bytes = Vec::new();
        loop {
            let room = budget.saturating_sub(bytes.len() as u64);
            let run = self.take_run(room, bytes.is_empty());
            if run.is_empty() {
                break;
            }
            self.copy_run(&run, &mut bytes)?;
        }
        self.file
            .write_all(&bytes)
            .map_err(at("write", &self.path))?;
        self.length += bytes.len() as u64;
        self.file.sync_all().map_err(at("sync", &self.path))?;
        Ok(self.pieces.is_empty())
    }

    /// Records that stand side by side in the old file, up to `room` bytes;
    /// the first one in any case if `must` is set.
    fn take_run(&mut self, room: u64, must: bool) -> Vec<PendingRecord> {
        let mut run: Vec<PendingRecord> = Vec::new();
        let mut taken = 0;
        while let Some(piece) = self.pieces.front().copied() {
            let is_forced = must && run.is_empty();
            let follows = run.last().is_none_or(|last| last.end() == piece.begin());
            if !follows || (!is_forced && taken + piece.bytes() > room) {
                break;
            }
            taken += piece.bytes();
            run.push(piece);
            self.pieces.pop_front();
        }
        self.waiting -= taken;
        run
    }

    /// Reads a run at once and checks each record, so that no damage is passed on.
    fn copy_run(&mut self, run: &[PendingRecord], into: &mut Vec<u8>) -> Result<(), LogFileError> {
        let (Some(first), Some(last)) = (run.first(), run.last()) else {
            return Ok(());
        };
        let start = into.len();
        into.resize(start + (last.end() - first.begin()) as usize, 0);
        let sought = self.old.seek(SeekFrom::Start(first.begin()));
        let read = sought.and_then(|_| self.old.read_exact(&mut into[start..]));
        read.map_err(at("read", &self.old_path))?;
        for piece in run {
            let offset = start + (piece.begin() - first.begin()) as usize;
            let record = checked_record(into, offset);
            if record.map(<[u8]>::len) != Some(piece.place.length as usize) {
                return Err(unreadable(piece.entry, &self.old_path));
            }
            if let Some(index) = piece.entry {
                let place = RecordLocation {
                    offset: self.length + (offset + HEADER_BYTES) as u64,
                    ..piece.place
                };
                self.index.note(index, place);
            }
        }
        Ok(())
    }

    /// Puts the whole and synced new file in the place of the old one.
    pub fn finish(self, folder: &Path) -> Result<Rewritten, LogFileError> {
        // Opened again, since a reader moves its place in the file.
        let reader = File::open(&self.path).map_err(at("open for reading", &self.path))?;
        put_in_place(&self.path, &self.old_path, folder)?;
        Ok(Rewritten {
            file: self.file,
            reader,
            length: self.length,
            index: self.index,
        })
    }
}

/// A file that another one has taken the place of, for good. To close a large one
/// frees all of it at once, which takes long; so it is made small first.
#[derive(Debug)]
pub(crate) struct ReplacedFile {
    file: File,
    length: u64,
}

impl ReplacedFile {
    /// A file of `length` bytes that has no name any more.
    pub fn new(file: File, length: u64) -> Self {
        Self { file, length }
    }

    /// Frees a part that takes no longer than to copy `max_bytes`; what is left.
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

/// An empty file at `path`.
pub(crate) fn create(path: &Path) -> Result<File, LogFileError> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(true)
        .open(path)
        .map_err(at("create", path))
}

/// Renames a synced file and syncs the folder.
pub(crate) fn put_in_place(
    new_path: &Path,
    path: &Path,
    folder: &Path,
) -> Result<(), LogFileError> {
    std::fs::rename(new_path, path).map_err(at("rename", new_path))?;
    let opened = File::open(folder).map_err(at("open folder", folder))?;
    opened.sync_all().map_err(at("sync folder", folder))
}

/// An entry (or state) left out would cut off all that follow it.
pub(crate) fn unreadable(entry: Option<u64>, path: &Path) -> LogFileError {
    let reason = match entry {
        Some(index) => format!("entry {index} cannot be read back"),
        None => "a state cannot be read back".to_string(),
    };
    at("read", path)(std::io::Error::other(reason))
}
