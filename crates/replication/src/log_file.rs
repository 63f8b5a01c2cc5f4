//! The log on disk.
//!
//! One file of records: length, CRC-32, a `LogRecord`. What a sync has covered
//! is whole; what comes after it may be missing or torn, so reading stops at
//! the first record that does not check and the rest is cut off. A rewrite goes
//! to a second file that takes the place of the first by a rename; the folder
//! is synced after each file that is renamed. A small log is rewritten at once,
//! a large one in steps between which the first file is used as before.

use peatgrade_schema::replication::mod_LogRecord::OneOfbody;
use peatgrade_schema::replication::{HardState, LogBase, LogEntry};
use std::fs::{File, OpenOptions};
use std::io::{BufReader, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use crate::entry_index::{EntryIndex, EntryReader};
use crate::log_rewrite::{create, put_in_place, unreadable, ReplacedFile, Rewrite};
use crate::log_store::LogStore;
use crate::records::{put_record, RecordReader};

const LOG_NAME: &str = "replica.log";
const NEW_NAME: &str = "replica.log.new";

/// Why the log cannot be used, with the step that failed.
#[derive(Debug, thiserror::Error)]
#[error("{step} {path}: {source}")]
pub struct LogFileError {
    /// What was being done.
    pub step: &'static str,
    /// The file or folder.
    pub path: PathBuf,
    /// What the system said.
    pub source: std::io::Error,
}

/// What a disk held.
#[derive(Debug)]
pub struct Recovered {
    /// Term, vote and incarnation.
    pub state: HardState,
    /// The log.
    pub log: LogStore,
    /// Whether the folder held no replica, so that `state.replica` is new.
    pub is_new: bool,
    /// Bytes cut off behind the last whole record.
    pub torn_bytes: u64,
}

/// An open log file.
#[derive(Debug)]
pub struct LogFile {
    folder: PathBuf,
    file: File,
    length: u64,
    /// Bytes written by the last rewrite.
    length_after_rewrite: u64,
    index: EntryIndex,
    /// The rewrite in steps that is under way.
    rewriting: Option<Rewrite>,
    /// The file whose place the last such rewrite has taken.
    replaced: Option<ReplacedFile>,
}

impl LogFile {
    /// Opens the log in `folder`, or makes one of incarnation `new_id`.
    pub fn open(folder: &Path, new_id: u64) -> Result<(Self, Recovered), LogFileError> {
        std::fs::create_dir_all(folder).map_err(at("create folder", folder))?;
        let path = folder.join(LOG_NAME);
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(at("open log", &path))?;
        remove_unfinished(folder)?;
        let index = EntryIndex::default();
        index.reset(&path).map_err(at("open for reading", &path))?;
        let replayed = replay(&file, &index).map_err(at("read log", &path))?;
        let Replayed {
            state,
            mut log,
            whole,
        } = replayed;
        let length = file.seek(SeekFrom::End(0)).map_err(at("seek in", &path))?;
        let torn_bytes = length - whole;
        let mut opened = Self {
            folder: folder.to_path_buf(),
            file,
            length: whole,
            length_after_rewrite: 0,
            index,
            rewriting: None,
            replaced: None,
        };
        log.set_reader(opened.entry_reader());
        if let Some(state) = state {
            if torn_bytes > 0 {
                opened.cut_tail(whole, &path)?;
            }
            let recovered = Recovered {
                state,
                log,
                is_new: false,
                torn_bytes,
            };
            return Ok((opened, recovered));
        }
        // Nothing that was ever promised can stand in a file without a state:
        // its first record is synced before the replica speaks.
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

    fn cut_tail(&mut self, whole: u64, path: &Path) -> Result<(), LogFileError> {
        self.file
            .set_len(whole)
            .map_err(at("cut torn tail of", path))?;
        self.file
            .seek(SeekFrom::Start(whole))
            .map_err(at("seek in", path))?;
        self.file.sync_all().map_err(at("sync", path))
    }

    /// Writes state and entries and syncs them.
    pub fn append(
        &mut self,
        state: Option<&HardState>,
        entries: &[Rc<LogEntry>],
    ) -> Result<(), LogFileError> {
        let mut bytes = Vec::new();
        let mut places = Vec::new();
        if let Some(state) = state {
            let place = put_record(&mut bytes, OneOfbody::state(state.clone()));
            places.push((None, place.moved(self.length)));
        }
        for entry in entries {
            let body = OneOfbody::entry((**entry).clone());
            let place = put_record(&mut bytes, body);
            places.push((Some(entry.index), place.moved(self.length)));
        }
        if bytes.is_empty() {
            return Ok(());
        }
        let path = self.folder.join(LOG_NAME);
        self.file
            .write_all(&bytes)
            .map_err(at("append to", &path))?;
        self.file.sync_data().map_err(at("sync", &path))?;
        self.length += bytes.len() as u64;
        for (entry, place) in places {
            if let Some(index) = entry {
                self.index.note(index, place);
            }
            if let Some(rewrite) = &mut self.rewriting {
                rewrite.add(entry, place);
            }
        }
        Ok(())
    }

    /// Reads entries of this file.
    pub fn entry_reader(&self) -> Rc<dyn EntryReader> {
        Rc::new(self.index.clone())
    }

    /// Forgets where entries before `index` stand.
    pub fn trim(&self, index: u64) {
        self.index.trim(index);
    }

    /// Begins to replace the file by one that holds just this state and log;
    /// [`LogFile::continue_rewrite`] goes on with it. False if entries of the log
    /// wait to be appended: it can begin once they are.
    pub fn begin_rewrite(
        &mut self,
        state: &HardState,
        log: &LogStore,
    ) -> Result<bool, LogFileError> {
        let path = self.folder.join(LOG_NAME);
        let first = log.base().index + 1;
        let entries = self.index.entries_from(first);
        let entries = entries.ok_or_else(|| unreadable(Some(first), &path))?;
        let last = entries.last().map_or(first - 1, |(index, _)| *index);
        if last != log.last_index() {
            return Ok(false);
        }
        let new_path = self.folder.join(NEW_NAME);
        let rewrite = Rewrite::begin(new_path, path, &head(state, log), entries)?;
        self.rewriting = Some(rewrite);
        Ok(true)
    }

    /// Copies about `max_bytes` more, puts the new file in the place of the old
    /// one when all is there, and frees the old one in the steps after that. True
    /// if no rewrite is under way any more. An error ends the rewrite; the log
    /// must be opened anew after it.
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

    /// Whether a rewrite in steps is under way.
    pub fn is_rewriting(&self) -> bool {
        self.rewriting.is_some() || self.replaced.is_some()
    }

    /// Bytes that the file of a rewrite in steps will have, or has while the old
    /// one is not free yet; 0 if none is under way.
    pub fn rewrite_length(&self) -> u64 {
        match &self.rewriting {
            Some(rewrite) => rewrite.planned_length(),
            None if self.replaced.is_some() => self.length,
            None => 0,
        }
    }

    /// Replaces the file at once by one that holds just this state and log. Takes
    /// as long as the log is large: for small ones. Ends a rewrite in steps.
    pub fn rewrite(&mut self, state: &HardState, log: &LogStore) -> Result<(), LogFileError> {
        self.rewriting = None;
        let new_path = self.folder.join(NEW_NAME);
        let path = self.folder.join(LOG_NAME);
        let mut bytes = head(state, log);
        let mut file = create(&new_path)?;
        let mut length = 0;
        let mut places = Vec::new();
        for index in log.base().index + 1..=log.last_index() {
            let entry = log.get(index);
            let entry = entry.ok_or_else(|| unreadable(Some(index), &path))?;
            let place = put_record(&mut bytes, OneOfbody::entry((*entry).clone()));
            places.push((index, place.moved(length)));
            if bytes.len() > 1024 * 1024 {
                file.write_all(&bytes).map_err(at("write", &new_path))?;
                length += bytes.len() as u64;
                bytes.clear();
            }
        }
        file.write_all(&bytes).map_err(at("write", &new_path))?;
        length += bytes.len() as u64;
        file.sync_all().map_err(at("sync", &new_path))?;
        put_in_place(&new_path, &path, &self.folder)?;
        self.file = file;
        self.index
            .reset(&path)
            .map_err(at("open for reading", &path))?;
        for (index, place) in places {
            self.index.note(index, place);
        }
        self.length = length;
        self.length_after_rewrite = length;
        Ok(())
    }

    /// Bytes of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Bytes of the file just after the last rewrite; 0 before any.
    pub fn length_after_rewrite(&self) -> u64 {
        self.length_after_rewrite
    }
}

pub(crate) fn at(step: &'static str, path: &Path) -> impl FnOnce(std::io::Error) -> LogFileError {
    let path = path.to_path_buf();
    move |source| LogFileError { step, path, source }
}

/// Removes what a rewrite has left that was cut short.
fn remove_unfinished(folder: &Path) -> Result<(), LogFileError> {
    let path = folder.join(NEW_NAME);
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
            Err(at("remove unfinished", &path)(error))
        }
        _ => Ok(()),
    }
}

/// What a new file begins with.
fn head(state: &HardState, log: &LogStore) -> Vec<u8> {
    let mut bytes = Vec::new();
    put_record(&mut bytes, OneOfbody::state(state.clone()));
    put_record(&mut bytes, OneOfbody::base(log.base().clone()));
    bytes
}

/// What the records of a file amount to.
struct Replayed {
    state: Option<HardState>,
    log: LogStore,
    /// Bytes of whole records.
    whole: u64,
}

/// Bytes read from the file at once.
const REPLAY_BUFFER_BYTES: usize = 256 * 1024;

/// Goes through a file. The content of entries stays there: a start needs no more
/// memory than the process had before it.
fn replay(file: &File, index: &EntryIndex) -> std::io::Result<Replayed> {
    let mut reader = RecordReader::new(BufReader::with_capacity(REPLAY_BUFFER_BYTES, file));
    let mut state = None;
    let mut log = LogStore::default();
    while let Some((record, place)) = reader.next()? {
        match record {
            OneOfbody::state(newer) => state = Some(newer),
            OneOfbody::base(base) => log.reset(base),
            OneOfbody::entry(entry) => {
                index.note(entry.index, place);
                append_entry(&mut log, entry);
            }
            OneOfbody::None => {}
        }
    }
    Ok(Replayed {
        state,
        log,
        whole: reader.whole_bytes(),
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

/// An empty base, for tests and first members.
impl LogFile {
    /// Persists a new base: the log begins anew after it.
    pub fn reset(&mut self, state: &HardState, base: LogBase) -> Result<(), LogFileError> {
        self.rewrite(state, &LogStore::new(base, Vec::new()))
    }
}
