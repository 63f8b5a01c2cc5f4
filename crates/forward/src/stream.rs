//! A stream on its way to a caller.
//!
//! Events go on whole, each as it comes, so that another engine can go on after
//! the last one when the first breaks off in the middle of the next.

use bytes::{Bytes, BytesMut};

/// What of a stream has been passed on.
#[derive(Debug, Default)]
pub(crate) struct PassedStream {
    /// The beginning of an event.
    rest: BytesMut,
    /// Number of the last event passed on.
    pub last_event: Option<u64>,
}

impl PassedStream {
    /// Takes bytes; returns the events that are whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let end = last_boundary(&self.rest)?;
        let whole = self.rest.split_to(end).freeze();
        if let Some(number) = last_number(&whole) {
            self.last_event = Some(number);
        }
        Some(whole)
    }

    /// Whether an event has begun and is not whole.
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Forgets the beginning of an event.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
    }

    /// What is left at the end, of a stream that is no series of events.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = std::mem::take(&mut self.rest);
        (!rest.is_empty()).then(|| rest.freeze())
    }
}

/// Where the last whole event ends: behind an empty line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let plain = find_last(bytes, b"\n\n");
    let with_returns = find_last(bytes, b"\n\r\n");
    plain.max(with_returns)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let start = bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)?;
    Some(start + pattern.len())
}

fn last_number(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut numbers = lines.filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    });
    numbers.next()
}
