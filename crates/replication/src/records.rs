//! Records of the log file: length, CRC-32, payload.

use peatgrade_schema::replication::mod_LogRecord::OneOfbody;
use peatgrade_schema::replication::LogRecord;
use peatgrade_schema::{decode, encode};

use crate::entry_index::{EntryIndex, Place};

/// Length and CRC-32 before each record.
pub(crate) const HEADER_BYTES: usize = 8;
/// Largest record that is read back.
const MAX_RECORD_BYTES: usize = 256 * 1024 * 1024;

/// Appends a record; where its payload stands in `into`.
pub(crate) fn put_record(into: &mut Vec<u8>, body: OneOfbody) -> Place {
    let payload = encode(&LogRecord { body });
    let place = Place {
        offset: (into.len() + HEADER_BYTES) as u64,
        length: payload.len() as u32,
    };
    into.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    into.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    into.extend_from_slice(&payload);
    place
}

/// Payload of the record at `offset`, if it is whole.
pub(crate) fn checked_record(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let checksum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    let start = offset + HEADER_BYTES;
    // A run of zeros checks as an empty record, but is none.
    if length == 0 || length > MAX_RECORD_BYTES {
        return None;
    }
    let payload = bytes.get(start..start + length)?;
    (crc32fast::hash(payload) == checksum).then_some(payload)
}

/// Whole records from the start, and the number of bytes that they fill. Takes
/// note of where entries stand.
pub(crate) fn read_records(bytes: &[u8], index: &EntryIndex) -> (Vec<OneOfbody>, u64) {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(payload) = checked_record(bytes, offset) {
        let (start, length) = (offset + HEADER_BYTES, payload.len());
        let Ok(record) = decode::<LogRecord>(payload) else {
            break;
        };
        if let OneOfbody::entry(entry) = &record.body {
            let place = Place {
                offset: start as u64,
                length: length as u32,
            };
            index.note(entry.index, place);
        }
        records.push(record.body);
        offset = start + length;
    }
    (records, offset as u64)
}
