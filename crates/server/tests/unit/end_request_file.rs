//! Ends on disk survive what a disk survives.

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

/// The jobs whose end the file has.
fn jobs_in(ends: &[EndRequest]) -> Vec<&str> {
    ends.iter().map(|end| end.job.as_str()).collect()
}

fn add(file: &mut EndRequestFile, job: &str) {
    file.add(&EndRequest::from(job)).unwrap();
    file.sync().unwrap();
}

#[test]
fn ends_are_there_after_a_restart() {
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
fn a_torn_line_costs_itself_only() {
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

/// However long some end waits, those that are over are left out, and what is added
/// later is kept too.
#[test]
fn the_file_does_not_grow_for_ever() {
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

/// A crash while the file is written anew leaves the old one.
#[test]
fn an_unfinished_new_file_means_nothing() {
    let folder = folder("unfinished");
    let (mut file, _) = EndRequestFile::open(&folder).unwrap();
    add(&mut file, "job-1");
    fs::write(folder.join(TEMP_FILE_NAME), "\n0000").unwrap();
    let (_, jobs) = EndRequestFile::open(&folder).unwrap();
    assert_eq!(jobs_in(&jobs), ["job-1"]);
    fs::remove_dir_all(&folder).unwrap();
}

/// Whose end it is, is kept; a line from before there were tenants is read as one without.
#[test]
fn the_tenant_that_asked_is_kept() {
    let folder = folder("tenant");
    let (mut file, _) = EndRequestFile::open(&folder).unwrap();
    let end = EndRequest {
        job: "job-1".into(),
        tenant: "leeds".into(),
    };
    file.add(&end).unwrap();
    let old = format!("\n{:08x} job-0\n", crc32fast::hash(b"job-0"));
    file.file.write_all(old.as_bytes()).unwrap();
    let (_, ends) = EndRequestFile::open(&folder).unwrap();
    assert_eq!(ends, [end, EndRequest::from("job-0")]);
    fs::remove_dir_all(&folder).unwrap();
}
