//! Ends that were asked for, on this machine's disk.
//!
//! They are not committed, so the log does not have them; without this file a loss of
//! power on all machines would leave jobs open whose end was asked for. One line an end:
//! CRC-32 of the rest in eight digits, a space, the job's id, a tab, the tenant that
//! asked. A line without a tab was written before there were tenants. What was torn does not check
//! and is passed over.

use peatgrade_jobs::EndRequest;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "asked-ends";
const TEMP_FILE_NAME: &str = "asked-ends.new";
/// Length from which on the file is written anew without what nobody waits for: one
/// block of a disk.
const COMPACTION_MIN_BYTES: u64 = 4_096;

/// The file with ends that wait for their commit.
#[derive(Debug)]
pub(super) struct EndRequestFile {
    folder: PathBuf,
    file: File,
    length: u64,
    needs_sync: bool,
}

impl EndRequestFile {
    /// Opens the file in `folder`; the ends that it has.
    pub fn open(folder: &Path) -> std::io::Result<(Self, Vec<EndRequest>)> {
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
        let ends = text.lines().filter_map(decode_line).collect();
        let end_request_file = Self {
            folder: folder.to_path_buf(),
            file,
            length: bytes.len() as u64,
            needs_sync: false,
        };
        Ok((end_request_file, ends))
    }

    /// Adds an end; the disk has it after the next [`EndsFile::sync`].
    pub fn add(&mut self, end: &EndRequest) -> std::io::Result<()> {
        let line = encode_line(end);
        self.needs_sync = true;
        self.file.write_all(line.as_bytes())?;
        self.length += line.len() as u64;
        Ok(())
    }

    /// Waits until the disk has all that was added.
    pub fn sync(&mut self) -> std::io::Result<()> {
        if std::mem::take(&mut self.needs_sync) {
            self.file.sync_data()?;
        }
        Ok(())
    }

    /// Leaves out all but these ends, if the file has grown.
    pub fn compact<'a>(
        &mut self,
        ends: impl Iterator<Item = &'a EndRequest>,
    ) -> std::io::Result<()> {
        if self.length < COMPACTION_MIN_BYTES {
            return Ok(());
        }
        let text: String = ends.map(encode_line).collect();
        if text.len() as u64 * 2 > self.length {
            return Ok(());
        }
        let path = self.folder.join(TEMP_FILE_NAME);
        let mut file = File::create(&path)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::rename(&path, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()?;
        self.file = file;
        self.length = text.len() as u64;
        Ok(())
    }
}

/// A torn line before this one must not take it along, so it begins a new one.
fn encode_line(end: &EndRequest) -> String {
    let text = format!("{}\t{}", end.job, end.tenant);
    format!("\n{:08x} {text}\n", crc32fast::hash(text.as_bytes()))
}

fn decode_line(line: &str) -> Option<EndRequest> {
    let (checksum, text) = line.split_once(' ')?;
    let checksum = u32::from_str_radix(checksum, 16).ok()?;
    if checksum != crc32fast::hash(text.as_bytes()) {
        return None;
    }
    let (job, tenant) = text.rsplit_once('\t').unwrap_or((text, ""));
    Some(EndRequest {
        job: job.to_string(),
        tenant: tenant.to_string(),
    })
}

#[cfg(test)]
#[path = "../../tests/unit/end_request_file.rs"]
mod tests;
