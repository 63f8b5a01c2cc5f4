//! The log on disk.
//!
//! One file of records: length, CRC-32, a `LogRecord`. What a sync has covered
//! is whole; what comes after it may be missing or torn, so reading stops at
//! the first record that does not check and the rest is cut off. A rewrite goes
//! to a second file that takes the place of the first by a rename; the folder
//! is synced after each file that is made or renamed.

use peatgrade_schema::replication::mod_LogRecord::OneOfbody;
use peatgrade_schema::replication::{HardState, LogBase, LogEntry, LogRecord};
use peatgrade_schema::{decode, encode};
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use crate::entry_index::{EntryIndex, EntrySource, Place};
use crate::log_store::LogStore;

const LOG_NAME: &str = "replica.log";
const NEW_NAME: &str = "replica.log.new";
const HEADER_BYTES: usize = 8;
/// Largest record that is read back.
const MAX_RECORD_BYTES: usize = 256 * 1024 * 1024;

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
    pub fresh: bool,
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
    compact_length: u64,
    index: EntryIndex,
}

impl LogFile {
    /// Opens the log in `folder`, or makes one of incarnation `fresh_id`.
    pub fn open(folder: &Path, fresh_id: u64) -> Result<(Self, Recovered), LogFileError> {
        std::fs::create_dir_all(folder).map_err(at("create folder", folder))?;
        let path = folder.join(LOG_NAME);
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(at("open log", &path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)
            .map_err(at("read log", &path))?;
        let index = EntryIndex::default();
        index.reset(&path).map_err(at("open for reading", &path))?;
        let (records, whole) = read_records(&bytes, &index);
        let torn_bytes = bytes.len() as u64 - whole;
        drop(bytes);
        let mut opened = Self {
            folder: folder.to_path_buf(),
            file,
            length: whole,
            compact_length: 0,
            index,
        };
        let (state, mut log) = replay(records);
        log.set_source(opened.source());
        if let Some(state) = state {
            if torn_bytes > 0 {
                opened.cut_tail(whole, &path)?;
            }
            let recovered = Recovered {
                state,
                log,
                fresh: false,
                torn_bytes,
            };
            return Ok((opened, recovered));
        }
        // Nothing that was ever promised can stand in a file without a state:
        // its first record is synced before the replica speaks.
        let state = HardState {
            term: 0,
            vote: 0,
            replica: fresh_id,
        };
        log.reset(LogBase::default());
        opened.rewrite(&state, &log)?;
        let recovered = Recovered {
            state,
            log,
            fresh: true,
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
        if let Some(state) = state {
            put_record(&mut bytes, OneOfbody::state(state.clone()));
        }
        let mut places = Vec::new();
        for entry in entries {
            let body = OneOfbody::entry((**entry).clone());
            let place = put_record(&mut bytes, body);
            places.push((entry.index, place.moved(self.length)));
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
        for (index, place) in places {
            self.index.note(index, place);
        }
        Ok(())
    }

    /// Reads entries of this file.
    pub fn source(&self) -> Rc<dyn EntrySource> {
        Rc::new(self.index.clone())
    }

    /// Forgets where entries before `index` stand.
    pub fn trim(&self, index: u64) {
        self.index.trim(index);
    }

    /// Replaces the file by one that holds just this state and log.
    pub fn rewrite(&mut self, state: &HardState, log: &LogStore) -> Result<(), LogFileError> {
        let new_path = self.folder.join(NEW_NAME);
        let path = self.folder.join(LOG_NAME);
        let mut bytes = Vec::new();
        put_record(&mut bytes, OneOfbody::state(state.clone()));
        put_record(&mut bytes, OneOfbody::base(log.base().clone()));
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(&new_path)
            .map_err(at("create", &new_path))?;
        let mut length = 0;
        let mut places = Vec::new();
        for index in log.base().index + 1..=log.last_index() {
            // An entry left out would cut off all that follow it.
            let entry = log.get(index).ok_or_else(|| {
                let reason = format!("entry {index} cannot be read back");
                at("read", &path)(std::io::Error::other(reason))
            })?;
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
        std::fs::rename(&new_path, &path).map_err(at("rename", &new_path))?;
        let folder = File::open(&self.folder).map_err(at("open folder", &self.folder))?;
        folder.sync_all().map_err(at("sync folder", &self.folder))?;
        self.file = file;
        self.index
            .reset(&path)
            .map_err(at("open for reading", &path))?;
        for (index, place) in places {
            self.index.note(index, place);
        }
        self.length = length;
        self.compact_length = length;
        Ok(())
    }

    /// Bytes of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Bytes of the file just after the last rewrite; 0 before any.
    pub fn compact_length(&self) -> u64 {
        self.compact_length
    }
}

fn at(step: &'static str, path: &Path) -> impl FnOnce(std::io::Error) -> LogFileError {
    let path = path.to_path_buf();
    move |source| LogFileError { step, path, source }
}

/// Appends a record; where its payload stands in `into`.
fn put_record(into: &mut Vec<u8>, body: OneOfbody) -> Place {
    let payload = encode(&LogRecord { body });
    let place = Place {
        offset: (into.len() + HEADER_BYTES) as u64,
        length: payload.len() as u32,
    };
    into.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    into.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    into.extend_from_slice(&payload);
    place
}

/// Whole records from the start, and the number of bytes that they fill. Takes
/// note of where entries stand.
fn read_records(bytes: &[u8], index: &EntryIndex) -> (Vec<OneOfbody>, u64) {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(header) = bytes.get(offset..offset + HEADER_BYTES) {
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let checksum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        let start = offset + HEADER_BYTES;
        // A run of zeros checks as an empty record, but is none.
        if length == 0 || length > MAX_RECORD_BYTES {
            break;
        }
        let Some(payload) = bytes.get(start..start + length) else {
            break;
        };
        if crc32fast::hash(payload) != checksum {
            break;
        }
        let Ok(record) = decode::<LogRecord>(payload) else {
            break;
        };
        if let OneOfbody::entry(entry) = &record.body {
            let place = Place {
                offset: start as u64,
                length: length as u32,
            };
            index.note(entry.index, place);
        }
        records.push(record.body);
        offset = start + length;
    }
    (records, offset as u64)
}

fn replay(records: Vec<OneOfbody>) -> (Option<HardState>, LogStore) {
    let mut state = None;
    let mut log = LogStore::default();
    for record in records {
        match record {
            OneOfbody::state(newer) => state = Some(newer),
            OneOfbody::base(base) => log.reset(base),
            OneOfbody::entry(entry) => take_entry(&mut log, entry),
            OneOfbody::None => {}
        }
    }
    (state, log)
}

fn take_entry(log: &mut LogStore, entry: LogEntry) {
    if entry.index <= log.base().index {
        return;
    }
    if entry.index <= log.last_index() {
        log.truncate_from(entry.index);
    }
    if entry.index == log.last_index() + 1 {
        log.push(entry);
    }
}

/// An empty base, for tests and first members.
impl LogFile {
    /// Persists a new base: the log begins anew after it.
    pub fn reset(&mut self, state: &HardState, base: LogBase) -> Result<(), LogFileError> {
        self.rewrite(state, &LogStore::new(base, Vec::new()))
    }
}
