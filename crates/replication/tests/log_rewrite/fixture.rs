//! A log file with its expected contents, and checks of one against the other.

use peatgrade_replication::{LogFile, LogStore};
use peatgrade_schema::replication::{HardState, LogEntry};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Bytes copied by one step of a rewrite.
pub const STEP_BYTES: u64 = 4_000;
/// Upper bound on the bytes of a record without its command.
pub const RECORD_OVERHEAD_BYTES: u64 = 64;
/// Default size of a command.
pub const COMMAND_BYTES: usize = 300;

pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("peatgrade-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    pub fn log(&self) -> PathBuf {
        self.0.join("replica.log")
    }

    pub fn new_log(&self) -> PathBuf {
        self.0.join("replica.log.new")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub fn file_bytes(path: &Path) -> u64 {
    fs::metadata(path).map_or(0, |found| found.len())
}

pub fn state(term: u64) -> HardState {
    HardState {
        term,
        vote: 5,
        replica: 77,
    }
}

pub struct Fixture {
    pub folder: Folder,
    pub file: LogFile,
    pub log: LogStore,
    /// Term and command of each entry that the log should hold.
    pub expected: BTreeMap<u64, (u64, Vec<u8>)>,
    pub term: u64,
}

impl Fixture {
    pub fn new(name: &str, entries: u64) -> Self {
        let folder = Folder::new(name);
        let (file, recovered) = LogFile::open(&folder.0, 77).unwrap();
        let mut fixture = Self {
            folder,
            file,
            log: recovered.log,
            expected: BTreeMap::new(),
            term: 1,
        };
        fixture.append(1, entries, COMMAND_BYTES);
        fixture
    }

    /// Persists the state and `count` entries starting at `from`, which replace all later ones.
    pub fn append(&mut self, from: u64, count: u64, command: usize) {
        self.log.truncate_from(from);
        self.expected.split_off(&from);
        let mut entries = Vec::new();
        for index in from..from + count {
            let entry = LogEntry {
                index,
                term: self.term,
                command: vec![(index * 7 + self.term) as u8; command],
                members: None,
            };
            self.expected
                .insert(index, (entry.term, entry.command.clone()));
            self.log.push(entry.clone());
            entries.push(Rc::new(entry));
        }
        self.file.append(Some(&state(self.term)), &entries).unwrap();
    }

    pub fn append_next(&mut self, count: u64, command: usize) {
        self.append(self.log.last_index() + 1, count, command);
    }

    pub fn trim(&mut self, index: u64) {
        assert!(self.log.trim(index));
        self.file.trim(index + 1);
        self.expected = self.expected.split_off(&(index + 1));
    }

    pub fn begin(&mut self) {
        assert!(self
            .file
            .begin_rewrite(&state(self.term), &self.log)
            .unwrap());
    }

    /// Runs one step of a rewrite. Returns whether more records are to be copied.
    pub fn copy_step(&mut self) -> bool {
        self.file.continue_rewrite(STEP_BYTES).unwrap();
        self.folder.new_log().exists()
    }

    /// Completes a rewrite, with a check after each step.
    pub fn finish(&mut self) {
        while !self.file.continue_rewrite(STEP_BYTES).unwrap() {
            self.check();
        }
        self.check();
    }

    /// Asserts that the log has the expected entries, now and after a crash.
    pub fn check(&self) {
        for (index, expected) in &self.expected {
            let entry = self.log.get(*index).unwrap();
            assert_eq!((entry.term, &entry.command), (expected.0, &expected.1));
        }
        assert_eq!(self.log.len(), self.expected.len());
        let log = fs::read(self.folder.log()).unwrap();
        let new = fs::read(self.folder.new_log()).ok();
        self.check_crash(&log, new.as_deref());
        if let Some(new) = &new {
            // The new file may be lost or torn until it is synced and renamed.
            self.check_crash(&log, None);
            self.check_crash(&log, Some(&new[..new.len() / 2]));
        }
    }

    /// Asserts that recovery from these files restores the persisted state and entries.
    pub fn check_crash(&self, log: &[u8], new: Option<&[u8]>) {
        let crashed = Folder(self.folder.0.with_extension("crashed"));
        let _ = fs::remove_dir_all(&crashed.0);
        fs::create_dir_all(&crashed.0).unwrap();
        fs::write(crashed.log(), log).unwrap();
        if let Some(new) = new {
            fs::write(crashed.new_log(), new).unwrap();
        }
        let (_, mut read) = LogFile::open(&crashed.0, 78).unwrap();
        assert!(!read.is_new);
        assert_eq!(read.torn_bytes, 0);
        assert_eq!(read.state, state(self.term));
        assert!(read.log.base().index <= self.log.base().index);
        assert_eq!(read.log.last_index(), self.log.last_index());
        assert_eq!(read.log.last_term(), self.log.last_term());
        assert_eq!(
            read.log.term(self.log.base().index),
            Some(self.log.base().term)
        );
        read.log.evict_up_to(read.log.last_index());
        for (index, expected) in &self.expected {
            let entry = read.log.get(*index).unwrap();
            assert_eq!((entry.term, &entry.command), (expected.0, &expected.1));
        }
    }
}
