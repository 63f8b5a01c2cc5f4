//! Ends on disk survive what a disk survives.

use super::{EndsFile, FILE_NAME};
use std::fs::{self, File};
use std::io::Write;
use std::path::PathBuf;

fn folder(name: &str) -> PathBuf {
    let name = format!("peatgrade-ends-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn ends_are_there_after_a_restart() {
    let folder = folder("restart");
    let (mut file, jobs) = EndsFile::open(&folder).unwrap();
    assert!(jobs.is_empty());
    file.add("job-1").unwrap();
    file.add("job 2").unwrap();
    file.clear().unwrap();
    let (_, jobs) = EndsFile::open(&folder).unwrap();
    assert_eq!(
        jobs,
        ["job-1", "job 2"],
        "a short file is not worth a write"
    );
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_torn_line_costs_itself_only() {
    let folder = folder("torn");
    let (mut file, _) = EndsFile::open(&folder).unwrap();
    file.add("job-1").unwrap();
    let mut torn = File::options().append(true).open(folder.join(FILE_NAME));
    torn.as_mut().unwrap().write_all(b"\n0000ab12 jo").unwrap();
    let (mut file, jobs) = EndsFile::open(&folder).unwrap();
    assert_eq!(jobs, ["job-1"]);
    file.add("job-2").unwrap();
    let (_, jobs) = EndsFile::open(&folder).unwrap();
    assert_eq!(jobs, ["job-1", "job-2"]);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_file_does_not_grow_for_ever() {
    let folder = folder("long");
    let (mut file, _) = EndsFile::open(&folder).unwrap();
    for number in 0..1_000 {
        file.add(&format!("job-{number}")).unwrap();
        file.clear().unwrap();
    }
    let length = fs::metadata(folder.join(FILE_NAME)).unwrap().len();
    assert!(length < 10_000, "{length} bytes");
    fs::remove_dir_all(&folder).unwrap();
}
