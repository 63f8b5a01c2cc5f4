//! A stream on its way to a caller.
//!
//! Events go on whole, each as it comes, so that another engine can go on after
//! the last one when the first breaks off in the middle of the next.

use bytes::{Bytes, BytesMut};

/// What of a stream has been passed on.
#[derive(Debug, Default)]
pub(crate) struct StreamRelay {
    /// The beginning of an event.
    partial_event: BytesMut,
    /// Number of the last event passed on.
    pub last_event_id: Option<u64>,
}

impl StreamRelay {
    /// Takes bytes; returns the events that are whole.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial_event.extend_from_slice(bytes);
        let end = last_boundary(&self.partial_event)?;
        let whole = self.partial_event.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_event_id = Some(id);
        }
        Some(whole)
    }

    /// Whether an event has begun and is not whole.
    pub fn has_partial_event(&self) -> bool {
        !self.partial_event.is_empty()
    }

    /// Forgets the beginning of an event.
    pub fn discard_partial_event(&mut self) {
        self.partial_event.clear();
    }

    /// What is left at the end, of a stream that is no series of events.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        let rest = std::mem::take(&mut self.partial_event);
        (!rest.is_empty()).then(|| rest.freeze())
    }
}

/// Where the last whole event ends: behind an empty line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let plain = find_last(bytes, b"\n\n");
    let with_carriage_return = find_last(bytes, b"\n\r\n");
    plain.max(with_carriage_return)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let start = bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)?;
    Some(start + pattern.len())
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut numbers = lines.filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    });
    numbers.next()
}
