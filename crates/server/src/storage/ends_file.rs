//! Ends that were asked for, on this machine's disk.
//!
//! They are not committed, so the log does not have them; without this file a loss of
//! power on all machines would leave jobs open whose end was asked for. One line an end:
//! CRC-32 of the job's id in eight digits, a space, the id. What was torn does not check
//! and is passed over.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::Path;

const FILE_NAME: &str = "asked-ends";
/// Length from which on the file is emptied as soon as no end waits: one write of a disk.
const MAX_IDLE_BYTES: u64 = 4_096;

/// The file with ends that wait for their commit.
#[derive(Debug)]
pub(super) struct EndsFile {
    file: File,
    length: u64,
}

impl EndsFile {
    /// Opens the file in `folder`; the jobs whose end it has.
    pub fn open(folder: &Path) -> std::io::Result<(Self, Vec<String>)> {
        let path = folder.join(FILE_NAME);
        let is_new = !path.exists();
        let mut options = OpenOptions::new();
        let mut file = options.read(true).append(true).create(true).open(&path)?;
        if is_new {
            file.sync_all()?;
            File::open(folder)?.sync_all()?;
        }
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let text = String::from_utf8_lossy(&bytes);
        let jobs = text.lines().filter_map(job_of_line).map(str::to_string);
        let jobs = jobs.collect();
        let length = bytes.len() as u64;
        Ok((Self { file, length }, jobs))
    }

    /// Adds an end, and waits until the disk has it.
    pub fn add(&mut self, job: &str) -> std::io::Result<()> {
        // A torn line before this one must not take it along.
        let line = format!("\n{:08x} {job}\n", crc32fast::hash(job.as_bytes()));
        self.file.write_all(line.as_bytes())?;
        self.length += line.len() as u64;
        self.file.sync_data()
    }

    /// No end waits any more.
    pub fn clear(&mut self) -> std::io::Result<()> {
        if self.length < MAX_IDLE_BYTES {
            return Ok(());
        }
        self.file.set_len(0)?;
        self.length = 0;
        self.file.sync_data()
    }
}

fn job_of_line(line: &str) -> Option<&str> {
    let (check, job) = line.split_once(' ')?;
    let check = u32::from_str_radix(check, 16).ok()?;
    (check == crc32fast::hash(job.as_bytes())).then_some(job)
}

#[cfg(test)]
#[path = "../../tests/unit/ends_file.rs"]
mod tests;
