//! The log on disk.
//!
//! The log is one file of records, each with a length, a CRC-32 and a `LogRecord`. Records
//! written after the last sync may be missing or torn after a crash, so recovery stops at
//! the first invalid record and truncates the file there. A rewrite drops trimmed entries:
//! it writes a second file, syncs it, renames it over the first one and syncs the folder.
//! A small log is rewritten at once, a large one in steps between which the old file stays
//! in use.

use peatgrade_schema::replication::mod_LogRecord::OneOfbody;
use peatgrade_schema::replication::{HardState, LogBase, LogEntry};
use std::fs::{File, OpenOptions};
use std::io::{BufReader, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use crate::entry_index::{EntryIndex, EntryReader};
use crate::log_rewrite::{create, rename_into_place, unreadable, ReplacedFile, Rewrite};
use crate::log_store::LogStore;
use crate::records::{put_record, RecordReader};

const LOG_FILE_NAME: &str = "replica.log";
const NEW_LOG_FILE_NAME: &str = "replica.log.new";

/// An I/O error of the log file, with the operation that failed.
#[derive(Debug, thiserror::Error)]
#[error("failed to {operation} {path}: {source}")]
pub struct LogFileError {
    pub operation: &'static str,
    /// The file or folder.
    pub path: PathBuf,
    pub source: std::io::Error,
}

/// State recovered from disk when a log file is opened.
#[derive(Debug)]
pub struct Recovered {
    /// Term, vote and incarnation.
    pub state: HardState,
    pub log: LogStore,
    /// Whether the folder held no replica, so that a new incarnation was stored.
    pub is_new: bool,
    /// Bytes truncated after the last valid record.
    pub torn_bytes: u64,
}

/// An open log file.
#[derive(Debug)]
pub struct LogFile {
    folder: PathBuf,
    file: File,
    length: u64,
    length_after_rewrite: u64,
    index: EntryIndex,
    /// The incremental rewrite in progress.
    rewriting: Option<Rewrite>,
    /// The file replaced by the last incremental rewrite, until its space is freed.
    replaced: Option<ReplacedFile>,
}

impl LogFile {
    /// Opens the log in `folder`, or creates one with the incarnation `new_id`.
    pub fn open(folder: &Path, new_id: u64) -> Result<(Self, Recovered), LogFileError> {
        std::fs::create_dir_all(folder).map_err(io_error("create folder", folder))?;
        let path = folder.join(LOG_FILE_NAME);
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(io_error("open log", &path))?;
        remove_unfinished(folder)?;
        let index = EntryIndex::default();
        index
            .reset(&path)
            .map_err(io_error("open for reading", &path))?;
        let replayed = replay(&file, &index).map_err(io_error("read log", &path))?;
        let Replayed {
            state,
            mut log,
            valid_bytes,
        } = replayed;
        let length = file
            .seek(SeekFrom::End(0))
            .map_err(io_error("seek in", &path))?;
        let torn_bytes = length - valid_bytes;
        let mut opened = Self {
            folder: folder.to_path_buf(),
            file,
            length: valid_bytes,
            length_after_rewrite: 0,
            index,
            rewriting: None,
            replaced: None,
        };
        log.set_reader(opened.entry_reader());
        if let Some(state) = state {
            if torn_bytes > 0 {
                opened.truncate_tail(valid_bytes, &path)?;
            }
            let recovered = Recovered {
                state,
                log,
                is_new: false,
                torn_bytes,
            };
            return Ok((opened, recovered));
        }
        // A file without a state cannot hold anything the replica has acknowledged: the state
        // is synced before the first message is sent.
        let state = HardState {
            term: 0,
            vote: 0,
            replica: new_id,
        };
        log.reset(LogBase::default());
        opened.rewrite(&state, &log)?;
        let recovered = Recovered {
            state,
            log,
            is_new: true,
            torn_bytes,
        };
        Ok((opened, recovered))
    }

    fn truncate_tail(&mut self, valid_bytes: u64, path: &Path) -> Result<(), LogFileError> {
        self.file
            .set_len(valid_bytes)
            .map_err(io_error("truncate torn tail of", path))?;
        self.file
            .seek(SeekFrom::Start(valid_bytes))
            .map_err(io_error("seek in", path))?;
        self.file.sync_all().map_err(io_error("sync", path))
    }

    /// Appends the state and the entries and syncs the file.
    pub fn append(
        &mut self,
        state: Option<&HardState>,
        entries: &[Rc<LogEntry>],
    ) -> Result<(), LogFileError> {
        let mut bytes = Vec::new();
        let mut locations = Vec::new();
        if let Some(state) = state {
            let location = put_record(&mut bytes, OneOfbody::state(state.clone()));
            locations.push((None, location.shifted(self.length)));
        }
        for entry in entries {
            let body = OneOfbody::entry((**entry).clone());
            let location = put_record(&mut bytes, body);
            locations.push((Some(entry.index), location.shifted(self.length)));
        }
        if bytes.is_empty() {
            return Ok(());
        }
        let path = self.folder.join(LOG_FILE_NAME);
        self.file
            .write_all(&bytes)
            .map_err(io_error("append to", &path))?;
        self.file.sync_data().map_err(io_error("sync", &path))?;
        self.length += bytes.len() as u64;
        for (entry, location) in locations {
            if let Some(index) = entry {
                self.index.record(index, location);
            }
            if let Some(rewrite) = &mut self.rewriting {
                rewrite.add_record(entry, location);
            }
        }
        Ok(())
    }

    /// A reader of the entries in this file.
    pub fn entry_reader(&self) -> Rc<dyn EntryReader> {
        Rc::new(self.index.clone())
    }

    /// Removes entries before `index` from the entry index. The file keeps them until it is
    /// rewritten.
    pub fn trim(&self, index: u64) {
        self.index.trim(index);
    }

    /// Begins an incremental rewrite to a file with only this state and log, which is
    /// advanced by [`LogFile::continue_rewrite`]. Returns false, without beginning one, if
    /// the log has entries that are not yet in the file.
    pub fn begin_rewrite(
        &mut self,
        state: &HardState,
        log: &LogStore,
    ) -> Result<bool, LogFileError> {
        let path = self.folder.join(LOG_FILE_NAME);
        let first = log.base().index + 1;
        let entries = self.index.entries_from(first);
        let entries = entries.ok_or_else(|| unreadable(Some(first), &path))?;
        let last = entries.last().map_or(first - 1, |(index, _)| *index);
        if last != log.last_index() {
            return Ok(false);
        }
        let new_path = self.folder.join(NEW_LOG_FILE_NAME);
        let rewrite = Rewrite::begin(new_path, path, &file_head(state, log), entries)?;
        self.rewriting = Some(rewrite);
        Ok(true)
    }

    /// Copies about `max_bytes` of records. Once all are copied, the new file replaces the old
    /// one, whose space is freed in further steps. Returns true when no rewrite is in progress.
    /// After an error the log must be reopened.
    pub fn continue_rewrite(&mut self, max_bytes: u64) -> Result<bool, LogFileError> {
        if let Some(mut rewrite) = self.rewriting.take() {
            if rewrite.step(max_bytes)? {
                self.finish_rewrite(rewrite)?;
            } else {
                self.rewriting = Some(rewrite);
            }
            return Ok(false);
        }
        let replaced = self.replaced.take();
        self.replaced = replaced.and_then(|replaced| replaced.free(max_bytes));
        Ok(self.replaced.is_none())
    }

    fn finish_rewrite(&mut self, rewrite: Rewrite) -> Result<(), LogFileError> {
        let rewritten = rewrite.finish(&self.folder)?;
        self.index.replace(rewritten.index, rewritten.reader);
        let old = std::mem::replace(&mut self.file, rewritten.file);
        self.replaced = Some(ReplacedFile::new(old, self.length));
        self.length = rewritten.length;
        self.length_after_rewrite = rewritten.length;
        Ok(())
    }

    /// Whether an incremental rewrite is in progress.
    pub fn is_rewriting(&self) -> bool {
        self.rewriting.is_some() || self.replaced.is_some()
    }

    /// Length of the new file of an incremental rewrite once it is complete; 0 if none is in
    /// progress.
    pub fn rewrite_length(&self) -> u64 {
        match &self.rewriting {
            Some(rewrite) => rewrite.planned_length(),
            None if self.replaced.is_some() => self.length,
            None => 0,
        }
    }

    /// Rewrites the file with only this state and log in a single step, whose duration grows
    /// with the size of the log. Abandons an incremental rewrite.
    pub fn rewrite(&mut self, state: &HardState, log: &LogStore) -> Result<(), LogFileError> {
        self.rewriting = None;
        let new_path = self.folder.join(NEW_LOG_FILE_NAME);
        let path = self.folder.join(LOG_FILE_NAME);
        let mut bytes = file_head(state, log);
        let mut file = create(&new_path)?;
        let mut length = 0;
        let mut locations = Vec::new();
        for index in log.base().index + 1..=log.last_index() {
            let entry = log.get(index);
            let entry = entry.ok_or_else(|| unreadable(Some(index), &path))?;
            let location = put_record(&mut bytes, OneOfbody::entry((*entry).clone()));
            locations.push((index, location.shifted(length)));
            if bytes.len() > 1024 * 1024 {
                file.write_all(&bytes)
                    .map_err(io_error("write", &new_path))?;
                length += bytes.len() as u64;
                bytes.clear();
            }
        }
        file.write_all(&bytes)
            .map_err(io_error("write", &new_path))?;
        length += bytes.len() as u64;
        file.sync_all().map_err(io_error("sync", &new_path))?;
        rename_into_place(&new_path, &path, &self.folder)?;
        self.file = file;
        self.index
            .reset(&path)
            .map_err(io_error("open for reading", &path))?;
        for (index, location) in locations {
            self.index.record(index, location);
        }
        self.length = length;
        self.length_after_rewrite = length;
        Ok(())
    }

    /// Bytes of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Length of the file just after the last rewrite; 0 if it was not rewritten since it was
    /// opened.
    pub fn length_after_rewrite(&self) -> u64 {
        self.length_after_rewrite
    }
}

/// Adds the failed operation and its path to an I/O error.
pub(crate) fn io_error(
    operation: &'static str,
    path: &Path,
) -> impl FnOnce(std::io::Error) -> LogFileError {
    let path = path.to_path_buf();
    move |source| LogFileError {
        operation,
        path,
        source,
    }
}

/// Removes the new file of a rewrite that was interrupted.
fn remove_unfinished(folder: &Path) -> Result<(), LogFileError> {
    let path = folder.join(NEW_LOG_FILE_NAME);
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
            Err(io_error("remove unfinished rewrite", &path)(error))
        }
        _ => Ok(()),
    }
}

/// The records at the beginning of a new file.
fn file_head(state: &HardState, log: &LogStore) -> Vec<u8> {
    let mut bytes = Vec::new();
    put_record(&mut bytes, OneOfbody::state(state.clone()));
    put_record(&mut bytes, OneOfbody::base(log.base().clone()));
    bytes
}

/// State read from the records of a file.
struct Replayed {
    state: Option<HardState>,
    log: LogStore,
    valid_bytes: u64,
}

const REPLAY_BUFFER_BYTES: usize = 256 * 1024;

/// Replays the records of a file. The contents of entries are left in the file, so that the
/// memory used at startup does not grow with the log.
fn replay(file: &File, index: &EntryIndex) -> std::io::Result<Replayed> {
    let mut reader = RecordReader::new(BufReader::with_capacity(REPLAY_BUFFER_BYTES, file));
    let mut state = None;
    let mut log = LogStore::default();
    while let Some((record, location)) = reader.next()? {
        match record {
            OneOfbody::state(newer) => state = Some(newer),
            OneOfbody::base(base) => log.reset(base),
            OneOfbody::entry(entry) => {
                index.record(entry.index, location);
                append_entry(&mut log, entry);
            }
            OneOfbody::None => {}
        }
    }
    Ok(Replayed {
        state,
        log,
        valid_bytes: reader.valid_bytes(),
    })
}

fn append_entry(log: &mut LogStore, entry: LogEntry) {
    if entry.index <= log.base().index {
        return;
    }
    if entry.index <= log.last_index() {
        log.truncate_from(entry.index);
    }
    if entry.index == log.last_index() + 1 {
        log.push_from_file(entry);
    }
}

impl LogFile {
    /// Replaces the whole log by an empty one after `base`.
    pub fn reset(&mut self, state: &HardState, base: LogBase) -> Result<(), LogFileError> {
        self.rewrite(state, &LogStore::new(base, Vec::new()))
    }
}
