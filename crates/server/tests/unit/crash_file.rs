//! Crash records survive restarts, and damaged files are ignored.

use super::{CrashFile, FILE_NAME};
use peatgrade_schema::replication::{Crash, CrashRecord};
use std::fs;
use std::path::PathBuf;

fn folder(name: &str) -> PathBuf {
    let name = format!("peatgrade-crashes-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn record(request: u64) -> CrashRecord {
    CrashRecord {
        request_low: request,
        crashes: vec![Crash {
            engine: 7,
            age_ms: 40,
        }],
        ..CrashRecord::default()
    }
}

#[test]
fn restored_records_include_their_time_on_disk() {
    let folder = folder("restart");
    let (file, records) = CrashFile::open(&folder).unwrap();
    assert!(records.is_empty());
    file.write(vec![record(1)]).unwrap();
    file.write(vec![record(1), record(2)]).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(20));
    let (_, records) = CrashFile::open(&folder).unwrap();
    let requests: Vec<u64> = records.iter().map(|r| r.request_low).collect();
    assert_eq!(requests, [1, 2]);
    assert!(records[0].crashes[0].age_ms >= 60);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn truncated_file_is_ignored() {
    let folder = folder("torn");
    let (file, _) = CrashFile::open(&folder).unwrap();
    file.write(vec![record(1)]).unwrap();
    let path = folder.join(FILE_NAME);
    let bytes = fs::read(&path).unwrap();
    for truncated in [&bytes[..bytes.len() - 1], &bytes[..2], &[][..]] {
        fs::write(&path, truncated).unwrap();
        let (_, records) = CrashFile::open(&folder).unwrap();
        assert!(records.is_empty());
    }
    fs::remove_dir_all(&folder).unwrap();
}
