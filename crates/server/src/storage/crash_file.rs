//! On-disk records of requests that crash engines, so that such requests do not run again
//! after a power failure of all machines.
//!
//! The file holds a snapshot of all records and is replaced atomically. Its first four bytes
//! are the CRC-32 of the rest.

use peatgrade_schema::replication::{CrashRecord, CrashSnapshot};
use peatgrade_schema::{decode, encode};
use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use crate::clock::wall_millis;

const FILE_NAME: &str = "crashes";
const TEMP_FILE_NAME: &str = "crashes.new";
const CHECKSUM_BYTES: usize = 4;

/// The file of crash records.
#[derive(Debug)]
pub(super) struct CrashFile {
    folder: PathBuf,
}

impl CrashFile {
    /// Opens the file in `folder` and reads its records, aged by the time since the write.
    /// A file with a wrong checksum is ignored: other members hold the records too.
    pub fn open(folder: &Path) -> std::io::Result<(Self, Vec<CrashRecord>)> {
        let file = Self {
            folder: folder.to_path_buf(),
        };
        let bytes = match std::fs::read(folder.join(FILE_NAME)) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok((file, Vec::new())),
            read => read?,
        };
        let records = decode_records(&bytes).unwrap_or_else(|| {
            log::warn!("step=read-crashes bytes={} reason=unreadable", bytes.len());
            Vec::new()
        });
        Ok((file, records))
    }

    /// Replaces the file and syncs it to disk.
    pub fn write(&self, records: Vec<CrashRecord>) -> std::io::Result<()> {
        let snapshot = encode(&CrashSnapshot {
            written_at_ms: wall_millis(),
            records,
        });
        let path = self.folder.join(TEMP_FILE_NAME);
        let mut file = File::create(&path)?;
        file.write_all(&crc32fast::hash(&snapshot).to_le_bytes())?;
        file.write_all(&snapshot)?;
        file.sync_all()?;
        std::fs::rename(&path, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()
    }
}

fn decode_records(bytes: &[u8]) -> Option<Vec<CrashRecord>> {
    let (checksum, snapshot) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    if checksum != crc32fast::hash(snapshot) {
        return None;
    }
    let snapshot = decode::<CrashSnapshot>(snapshot).ok()?;
    // If the wall clock was set back, the records count as new.
    let age_ms = wall_millis().saturating_sub(snapshot.written_at_ms);
    let mut records = snapshot.records;
    for record in &mut records {
        record.completed_age_ms += age_ms;
        for crash in &mut record.crashes {
            crash.age_ms += age_ms;
        }
    }
    Some(records)
}

#[cfg(test)]
#[path = "../../tests/unit/crash_file.rs"]
mod tests;
