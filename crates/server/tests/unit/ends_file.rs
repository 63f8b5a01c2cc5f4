//! End requests survive restarts and torn writes.

use super::{EndRequestFile, FILE_NAME, TEMP_FILE_NAME};
use peatgrade_jobs::EndRequest;
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

fn jobs_in(ends: &[EndRequest]) -> Vec<&str> {
    ends.iter().map(|end| end.job.as_str()).collect()
}

fn add(file: &mut EndRequestFile, job: &str) {
    file.add(&EndRequest::from(job)).unwrap();
    file.sync().unwrap();
}

#[test]
fn requests_survive_a_restart() {
    let folder = folder("restart");
    let (mut file, jobs) = EndRequestFile::open(&folder).unwrap();
    assert!(jobs.is_empty());
    add(&mut file, "job-1");
    add(&mut file, "job 2");
    let (_, jobs) = EndRequestFile::open(&folder).unwrap();
    assert_eq!(jobs_in(&jobs), ["job-1", "job 2"]);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn torn_line_does_not_affect_other_lines() {
    let folder = folder("torn");
    let (mut file, _) = EndRequestFile::open(&folder).unwrap();
    add(&mut file, "job-1");
    let mut torn = File::options().append(true).open(folder.join(FILE_NAME));
    torn.as_mut().unwrap().write_all(b"\n0000ab12 jo").unwrap();
    let (mut file, jobs) = EndRequestFile::open(&folder).unwrap();
    assert_eq!(jobs_in(&jobs), ["job-1"]);
    add(&mut file, "job-2");
    let (_, jobs) = EndRequestFile::open(&folder).unwrap();
    assert_eq!(jobs_in(&jobs), ["job-1", "job-2"]);
    fs::remove_dir_all(&folder).unwrap();
}

/// Guards against unbounded growth while one request stays pending, and against loss of
/// requests added after a compaction.
#[test]
fn compaction_bounds_the_file() {
    let folder = folder("long");
    let (mut file, _) = EndRequestFile::open(&folder).unwrap();
    add(&mut file, "waits");
    for number in 0..1_000 {
        add(&mut file, &format!("job-{number}"));
        file.compact([EndRequest::from("waits")].iter()).unwrap();
    }
    add(&mut file, "last");
    let length = fs::metadata(folder.join(FILE_NAME)).unwrap().len();
    assert!(length < 10_000, "{length} bytes");
    let (_, jobs) = EndRequestFile::open(&folder).unwrap();
    assert!(jobs_in(&jobs).contains(&"waits"));
    assert!(jobs_in(&jobs).contains(&"last"));
    assert!(!jobs_in(&jobs).contains(&"job-3"));
    fs::remove_dir_all(&folder).unwrap();
}

/// A crash during compaction must leave the previous file in effect.
#[test]
fn unfinished_temporary_file_is_ignored() {
    let folder = folder("unfinished");
    let (mut file, _) = EndRequestFile::open(&folder).unwrap();
    add(&mut file, "job-1");
    fs::write(folder.join(TEMP_FILE_NAME), "\n0000").unwrap();
    let (_, jobs) = EndRequestFile::open(&folder).unwrap();
    assert_eq!(jobs_in(&jobs), ["job-1"]);
    fs::remove_dir_all(&folder).unwrap();
}

/// The tenant must be restored, and lines without one must stay readable.
#[test]
fn tenant_is_restored() {
    let folder = folder("tenant");
    let (mut file, _) = EndRequestFile::open(&folder).unwrap();
    let end = EndRequest {
        job: "job-1".into(),
        tenant: "leeds".into(),
    };
    file.add(&end).unwrap();
    let without_tenant = format!("\n{:08x} job-0\n", crc32fast::hash(b"job-0"));
    file.file.write_all(without_tenant.as_bytes()).unwrap();
    let (_, ends) = EndRequestFile::open(&folder).unwrap();
    assert_eq!(ends, [end, EndRequest::from("job-0")]);
    fs::remove_dir_all(&folder).unwrap();
}
