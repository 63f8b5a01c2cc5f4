//! The log file: recovery of synced records, truncation of torn ones, and eviction.

use peatgrade_replication::{LogFile, LogStore};
use peatgrade_schema::replication::{HardState, LogBase, LogEntry, Member, Members};
use std::fs;
use std::path::PathBuf;
use std::rc::Rc;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("peatgrade-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    fn log(&self) -> PathBuf {
        self.0.join("replica.log")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64, term: u64) -> Rc<LogEntry> {
    Rc::new(LogEntry {
        index,
        term,
        command: vec![index as u8; 40],
        members: None,
    })
}

fn state(term: u64) -> HardState {
    HardState {
        term,
        vote: 5,
        replica: 77,
    }
}

#[test]
fn a_new_log_keeps_its_incarnation() {
    let folder = Folder::new("fresh");
    let (_, first) = LogFile::open(&folder.0, 77).unwrap();
    assert!(first.is_new);
    let (_, second) = LogFile::open(&folder.0, 78).unwrap();
    assert!(!second.is_new);
    assert_eq!(second.state.replica, 77);
}

#[test]
fn entries_and_state_are_recovered() {
    let folder = Folder::new("back");
    let (mut file, _) = LogFile::open(&folder.0, 77).unwrap();
    file.append(Some(&state(3)), &[entry(1, 2), entry(2, 3)])
        .unwrap();
    // An entry of a newer term replaces the old one and all after it.
    file.append(None, &[entry(2, 4)]).unwrap();
    let (_, read) = LogFile::open(&folder.0, 78).unwrap();
    assert_eq!(read.state, state(3));
    assert_eq!(read.log.last_index(), 2);
    assert_eq!(read.log.term(2), Some(4));
}

#[test]
fn a_torn_tail_is_truncated_at_every_length() {
    let folder = Folder::new("torn");
    let (mut file, _) = LogFile::open(&folder.0, 77).unwrap();
    file.append(Some(&state(3)), &[entry(1, 2)]).unwrap();
    let whole = fs::read(folder.log()).unwrap();
    file.append(None, &[entry(2, 3)]).unwrap();
    let longer = fs::read(folder.log()).unwrap();
    for length in whole.len()..longer.len() {
        let mut torn = longer[..length].to_vec();
        // A torn write may also leave zeros after the written bytes.
        torn.resize(longer.len(), 0);
        for bytes in [&longer[..length], &torn] {
            fs::write(folder.log(), bytes).unwrap();
            let (mut file, read) = LogFile::open(&folder.0, 78).unwrap();
            assert_eq!(read.log.last_index(), 1, "cut at {length}");
            assert_eq!(read.state, state(3));
            file.append(None, &[entry(2, 9)]).unwrap();
            let (_, again) = LogFile::open(&folder.0, 78).unwrap();
            assert_eq!(again.log.term(2), Some(9));
        }
    }
}

#[test]
fn a_corrupted_record_ends_the_log() {
    let folder = Folder::new("flipped");
    let (mut file, _) = LogFile::open(&folder.0, 77).unwrap();
    file.append(Some(&state(3)), &[entry(1, 2)]).unwrap();
    let before = fs::read(folder.log()).unwrap().len();
    file.append(None, &[entry(2, 3), entry(3, 3)]).unwrap();
    let mut bytes = fs::read(folder.log()).unwrap();
    bytes[before + 20] ^= 1;
    fs::write(folder.log(), bytes).unwrap();
    let (_, read) = LogFile::open(&folder.0, 78).unwrap();
    assert_eq!(read.log.last_index(), 1);
}

#[test]
fn a_rewrite_keeps_base_members_and_entries() {
    let folder = Folder::new("rewrite");
    let (mut file, _) = LogFile::open(&folder.0, 77).unwrap();
    let member = Member {
        replica: 77,
        name: "a".into(),
        address: "x".into(),
        zone: "z".into(),
        voter: true,
    };
    let base = LogBase {
        index: 10,
        term: 2,
        members: Some(Members {
            members: vec![member.clone()],
        }),
    };
    let log = LogStore::new(base, vec![(*entry(11, 3)).clone()]);
    file.rewrite(&state(3), &log).unwrap();
    file.append(None, &[entry(12, 3)]).unwrap();
    let (_, read) = LogFile::open(&folder.0, 78).unwrap();
    assert_eq!(read.log.base().index, 10);
    assert_eq!(read.log.last_index(), 12);
    assert_eq!(read.log.members(), vec![member]);
}

#[test]
fn an_interrupted_rewrite_leaves_the_old_log() {
    let folder = Folder::new("short");
    let (mut file, _) = LogFile::open(&folder.0, 77).unwrap();
    file.append(Some(&state(3)), &[entry(1, 2)]).unwrap();
    fs::write(folder.0.join("replica.log.new"), b"half of it").unwrap();
    let (mut file, read) = LogFile::open(&folder.0, 78).unwrap();
    assert_eq!(read.log.last_index(), 1);
    file.rewrite(&read.state, &read.log).unwrap();
    let (_, again) = LogFile::open(&folder.0, 78).unwrap();
    assert_eq!(again.log.last_index(), 1);
}

fn commands(log: &LogStore, from: u64) -> Vec<(u64, u8)> {
    let entries = log.slice(from, usize::MAX);
    let pairs = entries.iter().map(|entry| (entry.index, entry.command[0]));
    pairs.collect()
}

#[test]
fn evicted_entries_are_read_from_the_file() {
    let folder = Folder::new("released");
    let (mut file, recovered) = LogFile::open(&folder.0, 77).unwrap();
    let mut log = recovered.log;
    let entries: Vec<Rc<LogEntry>> = (1..=20).map(|index| entry(index, 1)).collect();
    for entry in &entries {
        log.push((**entry).clone());
    }
    file.append(Some(&state(1)), &entries).unwrap();
    let all = commands(&log, 1);
    log.evict_up_to(15);
    assert_eq!(log.resident_bytes(), 5 * 40);
    assert_eq!(log.command_bytes(), 20 * 40);
    assert_eq!(log.term(3), Some(1));
    assert_eq!(commands(&log, 1), all);
    // Replaced entries are read in their new version.
    log.truncate_from(10);
    let newer: Vec<Rc<LogEntry>> = (10..=12)
        .map(|index| {
            let mut entry = (*entry(index, 2)).clone();
            entry.command = vec![200; 9];
            Rc::new(entry)
        })
        .collect();
    for entry in &newer {
        log.push((**entry).clone());
    }
    file.append(None, &newer).unwrap();
    log.evict_up_to(12);
    assert_eq!(log.resident_bytes(), 0);
    assert_eq!(commands(&log, 9), [(9, 9), (10, 200), (11, 200), (12, 200)]);
    // A rewrite copies evicted entries, and they are read from the new file.
    log.trim(4);
    file.rewrite(&state(2), &log).unwrap();
    assert_eq!(commands(&log, 5).len(), 8);
    drop(file);
    let (_, mut again) = LogFile::open(&folder.0, 1).unwrap();
    assert_eq!(again.log.last_index(), 12);
    again.log.evict_up_to(12);
    assert_eq!(commands(&again.log, 5), commands(&log, 5));
}

#[test]
fn a_file_with_unreadable_entries_is_not_rewritten() {
    let folder = Folder::new("unreadable");
    let (mut file, recovered) = LogFile::open(&folder.0, 77).unwrap();
    let mut log = recovered.log;
    let entries: Vec<Rc<LogEntry>> = (1..=4).map(|index| entry(index, 1)).collect();
    for entry in &entries {
        log.push((**entry).clone());
    }
    file.append(Some(&state(1)), &entries).unwrap();
    log.evict_up_to(4);
    let whole = fs::read(folder.log()).unwrap();
    let torn = fs::OpenOptions::new()
        .write(true)
        .open(folder.log())
        .unwrap();
    torn.set_len(whole.len() as u64 - 30).unwrap();
    let error = file.rewrite(&state(1), &log).unwrap_err();
    assert!(error.to_string().contains("entry 4"), "{error}");
}

#[test]
fn membership_changes_stay_in_memory() {
    let folder = Folder::new("members-stay");
    let (mut file, recovered) = LogFile::open(&folder.0, 77).unwrap();
    let mut log = recovered.log;
    let mut change = (*entry(1, 1)).clone();
    change.members = Some(Members {
        members: vec![Member {
            replica: 77,
            name: "a".into(),
            ..Member::default()
        }],
    });
    log.push(change.clone());
    file.append(Some(&state(1)), &[Rc::new(change)]).unwrap();
    log.evict_up_to(1);
    fs::write(folder.log(), b"").unwrap();
    assert_eq!(log.members().len(), 1);
}

/// Guards against recovery that loads the contents of the whole log into memory.
#[test]
fn recovery_leaves_entry_contents_in_the_file() {
    let folder = Folder::new("start");
    let (mut file, _) = LogFile::open(&folder.0, 77).unwrap();
    let entries: Vec<Rc<LogEntry>> = (1..=100).map(|index| entry(index, 2)).collect();
    file.append(Some(&state(3)), &entries).unwrap();
    let (_, read) = LogFile::open(&folder.0, 78).unwrap();
    assert_eq!(read.log.resident_bytes(), 0);
    assert_eq!(read.log.command_bytes(), 4_000);
    for entry in &entries {
        assert_eq!(read.log.get(entry.index).as_ref(), Some(entry));
    }
}

/// Guards against recovery that evicts the entry with the current membership.
#[test]
fn recovery_restores_the_members_from_an_entry() {
    let folder = Folder::new("members");
    let (mut file, _) = LogFile::open(&folder.0, 77).unwrap();
    let member = Member {
        replica: 77,
        name: "a".into(),
        ..Member::default()
    };
    let change = LogEntry {
        members: Some(Members {
            members: vec![member.clone()],
        }),
        ..(*entry(2, 2)).clone()
    };
    let entries = [entry(1, 2), Rc::new(change), entry(3, 2)];
    file.append(Some(&state(3)), &entries).unwrap();
    let (_, read) = LogFile::open(&folder.0, 78).unwrap();
    assert_eq!(read.log.members(), vec![member]);
    assert_eq!(read.log.members_index(), 2);
}

/// Guards against returning an entry whose record no longer matches its checksum.
#[test]
fn an_entry_corrupted_after_recovery_is_not_returned() {
    let folder = Folder::new("damaged");
    let (mut file, _) = LogFile::open(&folder.0, 77).unwrap();
    file.append(Some(&state(3)), &[entry(1, 2)]).unwrap();
    let (_, read) = LogFile::open(&folder.0, 78).unwrap();
    let mut bytes = fs::read(folder.log()).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(folder.log(), bytes).unwrap();
    assert!(read.log.get(1).is_none());
}

/// Guards against keeping an unbounded part of the log in memory for a lagging member.
#[test]
fn the_eviction_index_bounds_the_resident_bytes() {
    let folder = Folder::new("surplus");
    let (mut file, mut read) = LogFile::open(&folder.0, 77).unwrap();
    let entries: Vec<Rc<LogEntry>> = (1..=10).map(|index| entry(index, 2)).collect();
    file.append(Some(&state(3)), &entries).unwrap();
    for entry in &entries {
        read.log.push((**entry).clone());
    }
    assert_eq!(read.log.eviction_index(10, 400), 0, "all entries fit");
    let evicted = read.log.eviction_index(10, 100);
    assert_eq!(evicted, 8, "two entries of 40 bytes fit");
    read.log.evict_up_to(evicted);
    assert_eq!(read.log.resident_bytes(), 80);
    assert_eq!(read.log.eviction_index(10, 100), 0);
    assert_eq!(read.log.get(3), Some(entry(3, 2)));
}
