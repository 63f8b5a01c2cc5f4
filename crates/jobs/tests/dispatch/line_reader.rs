//! Decoder of event streams of the scripted engines.

use bytes::Bytes;
use peatgrade_ports::{EventDecoder, GenerationEvent};

/// Decodes events from lines `number|version|data`; version 0 means unchanged.
#[derive(Default)]
pub struct LineReader(Vec<u8>);

impl EventDecoder for LineReader {
    fn feed(&mut self, bytes: &[u8]) -> Result<Vec<GenerationEvent>, String> {
        self.0.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.0.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.0.drain(..=end).collect();
            let line = String::from_utf8(line[..end].to_vec()).map_err(|e| e.to_string())?;
            let mut parts = line.splitn(3, '|');
            let id = parts.next().and_then(|text| text.parse().ok());
            let version = parts.next().and_then(|text| text.parse::<u64>().ok());
            events.push(GenerationEvent {
                id: id.ok_or("no number")?,
                version: version.filter(|version| *version > 0),
                data: Bytes::from(parts.next().unwrap_or("").to_string()),
            });
        }
        Ok(events)
    }

    fn has_partial_event(&self) -> bool {
        !self.0.is_empty()
    }
}
