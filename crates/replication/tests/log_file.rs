//! The log on disk: what a sync covered comes back, what tore is cut off.

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
fn an_empty_folder_gets_an_incarnation_that_stays() {
    let folder = Folder::new("fresh");
    let (_, first) = LogFile::open(&folder.0, 77).unwrap();
    assert!(first.fresh);
    let (_, second) = LogFile::open(&folder.0, 78).unwrap();
    assert!(!second.fresh);
    assert_eq!(second.state.replica, 77);
}

#[test]
fn entries_and_state_come_back() {
    let folder = Folder::new("back");
    let (mut file, _) = LogFile::open(&folder.0, 77).unwrap();
    file.append(Some(&state(3)), &[entry(1, 2), entry(2, 3)])
        .unwrap();
    // An entry of a newer term takes the place of an old one and all after it.
    file.append(None, &[entry(2, 4)]).unwrap();
    let (_, read) = LogFile::open(&folder.0, 78).unwrap();
    assert_eq!(read.state, state(3));
    assert_eq!(read.log.last_index(), 2);
    assert_eq!(read.log.term(2), Some(4));
}

#[test]
fn a_torn_tail_is_cut_off_at_every_length() {
    let folder = Folder::new("torn");
    let (mut file, _) = LogFile::open(&folder.0, 77).unwrap();
    file.append(Some(&state(3)), &[entry(1, 2)]).unwrap();
    let whole = fs::read(folder.log()).unwrap();
    file.append(None, &[entry(2, 3)]).unwrap();
    let longer = fs::read(folder.log()).unwrap();
    for length in whole.len()..longer.len() {
        let mut torn = longer[..length].to_vec();
        // A torn write may also leave zeros or old bytes where new ones belong.
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
fn a_flipped_bit_ends_the_log() {
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
fn a_rewrite_that_was_cut_short_leaves_the_old_log() {
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
