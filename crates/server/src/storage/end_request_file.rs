//! On-disk requests to end jobs that are not committed yet.
//!
//! The log does not contain them, so without this file they would be lost in a power failure
//! of all machines. Each line holds one request: CRC-32 of the rest in eight hexadecimal
//! digits, a space, the job's id, a tab and the tenant. A line without a tab has no tenant.
//! Lines with a wrong checksum, such as torn writes, are ignored.

use peatgrade_jobs::EndRequest;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "asked-ends";
const TEMP_FILE_NAME: &str = "asked-ends.new";
/// Minimum length at which the file is compacted: one disk block.
const COMPACTION_MIN_BYTES: u64 = 4_096;

/// The file of end requests that are not committed.
#[derive(Debug)]
pub(super) struct EndRequestFile {
    folder: PathBuf,
    file: File,
    length: u64,
    needs_sync: bool,
}

impl EndRequestFile {
    /// Opens the file in `folder` and reads its requests.
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

    /// Appends a request, which is durable after the next [`EndRequestFile::sync`].
    pub fn add(&mut self, end: &EndRequest) -> std::io::Result<()> {
        let line = encode_line(end);
        self.needs_sync = true;
        self.file.write_all(line.as_bytes())?;
        self.length += line.len() as u64;
        Ok(())
    }

    /// Syncs appended requests to disk.
    pub fn sync(&mut self) -> std::io::Result<()> {
        if std::mem::take(&mut self.needs_sync) {
            self.file.sync_data()?;
        }
        Ok(())
    }

    /// Rewrites the file with only these requests, if that makes it much smaller.
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

/// Starts with a line break so that a torn line before it does not corrupt this one.
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
#[path = "../../tests/unit/ends_file.rs"]
mod tests;
