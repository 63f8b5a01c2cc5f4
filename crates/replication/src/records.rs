//! Encoding of log file records: length, CRC-32 and payload.

use peatgrade_schema::replication::mod_LogRecord::OneOfbody;
use peatgrade_schema::replication::LogRecord;
use peatgrade_schema::{decode, encode};
use std::io::Read;

use crate::entry_index::RecordLocation;

/// Size of the length and the CRC-32 that precede each payload.
pub(crate) const HEADER_BYTES: usize = 8;
const MAX_RECORD_BYTES: usize = 256 * 1024 * 1024;

/// Appends a record. Returns the location of its payload in `into`.
pub(crate) fn put_record(into: &mut Vec<u8>, body: OneOfbody) -> RecordLocation {
    let payload = encode(&LogRecord { body });
    let location = RecordLocation {
        offset: (into.len() + HEADER_BYTES) as u64,
        length: payload.len() as u32,
    };
    into.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    into.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    into.extend_from_slice(&payload);
    location
}

/// Payload of the record at `offset`; none if it is truncated or its checksum is wrong.
pub(crate) fn checked_record(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let (length, checksum) = parse_header(header);
    let start = offset + HEADER_BYTES;
    // Zeros would pass the checksum as an empty record.
    if length == 0 || length > MAX_RECORD_BYTES {
        return None;
    }
    let payload = bytes.get(start..start + length)?;
    (crc32fast::hash(payload) == checksum).then_some(payload)
}

/// Reads records sequentially, holding one in memory at a time.
pub(crate) struct RecordReader<R> {
    source: R,
    /// Start of the next record.
    offset: u64,
}

impl<R: Read> RecordReader<R> {
    /// `source` must be at the beginning of the file.
    pub fn new(source: R) -> Self {
        Self { source, offset: 0 }
    }

    /// Bytes of the valid records read so far.
    pub fn valid_bytes(&self) -> u64 {
        self.offset
    }

    /// The next record and the location of its payload; none at the end of the file or at a
    /// torn record.
    pub fn next(&mut self) -> std::io::Result<Option<(OneOfbody, RecordLocation)>> {
        let mut header = [0; HEADER_BYTES];
        if !fill(&mut self.source, &mut header)? {
            return Ok(None);
        }
        let (length, _) = parse_header(&header);
        if length == 0 || length > MAX_RECORD_BYTES {
            return Ok(None);
        }
        // A torn header may hold any length, so memory is allocated only for bytes present.
        let mut record = header.to_vec();
        let mut payload = (&mut self.source).take(length as u64);
        payload.read_to_end(&mut record)?;
        let Some(payload) = checked_record(&record, 0) else {
            return Ok(None);
        };
        let Ok(decoded) = decode::<LogRecord>(payload) else {
            return Ok(None);
        };
        let location = RecordLocation {
            offset: self.offset + HEADER_BYTES as u64,
            length: length as u32,
        };
        self.offset += record.len() as u64;
        Ok(Some((decoded.body, location)))
    }
}

/// Fills `into`; false if the source ends first.
fn fill(source: &mut impl Read, into: &mut [u8]) -> std::io::Result<bool> {
    match source.read_exact(into) {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => Ok(false),
        Err(error) => Err(error),
    }
}

/// Length and checksum in a header.
fn parse_header(header: &[u8]) -> (usize, u32) {
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]);
    let checksum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    (length as usize, checksum)
}
