//! A log in a file, what it should hold, and a look at both.

use peatgrade_replication::{LogFile, LogStore};
use peatgrade_schema::replication::{HardState, LogEntry};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Bytes of a step.
pub const STEP: u64 = 4_000;
/// More than a record of these tests takes beside its command.
pub const HEADER: u64 = 64;
/// Bytes of a command here, unless a test says otherwise.
pub const COMMAND: usize = 300;

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

pub fn bytes_of(path: &Path) -> u64 {
    fs::metadata(path).map_or(0, |found| found.len())
}

pub fn state(term: u64) -> HardState {
    HardState {
        term,
        vote: 5,
        replica: 77,
    }
}

/// A log in a file, and what it should hold.
pub struct Site {
    pub folder: Folder,
    pub file: LogFile,
    pub log: LogStore,
    /// Term and command of each entry that is kept.
    pub expected: BTreeMap<u64, (u64, Vec<u8>)>,
    pub term: u64,
}

impl Site {
    pub fn new(name: &str, entries: u64) -> Self {
        let folder = Folder::new(name);
        let (file, recovered) = LogFile::open(&folder.0, 77).unwrap();
        let mut site = Self {
            folder,
            file,
            log: recovered.log,
            expected: BTreeMap::new(),
            term: 1,
        };
        site.append(1, entries, COMMAND);
        site
    }

    /// Persists the state and `count` entries from `from` on; later ones go.
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

    /// One step of a rewrite; whether it goes on to copy.
    pub fn copies_on(&mut self) -> bool {
        self.file.continue_rewrite(STEP).unwrap();
        self.folder.new_log().exists()
    }

    /// Goes on with a rewrite to its end, with a look at each step.
    pub fn finish(&mut self) {
        while !self.file.continue_rewrite(STEP).unwrap() {
            self.check();
        }
        self.check();
    }

    /// The log reads as it should, here and after a crash.
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
            // What no sync of the folder has covered may be lost or torn.
            self.check_crash(&log, None);
            self.check_crash(&log, Some(&new[..new.len() / 2]));
        }
    }

    /// A start with these files finds what was persisted.
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
