//! Relaying of an engine's event stream to a caller.
//!
//! Only complete events are relayed. If the engine fails in the middle of an event, another
//! engine can resume after the last complete one.

use bytes::{Bytes, BytesMut};

/// Limit of an event. A faulty engine may send bytes without end that form no event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// State of a relayed event stream.
#[derive(Debug, Default)]
pub(crate) struct StreamRelay {
    /// Bytes of the event that is not complete yet.
    partial_event: BytesMut,
    /// Id of the last relayed event.
    pub last_event_id: Option<u64>,
}

impl StreamRelay {
    /// Adds received bytes and returns the complete events, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial_event.extend_from_slice(bytes);
        let end = last_boundary(&self.partial_event)?;
        let complete = self.partial_event.split_to(end).freeze();
        if let Some(id) = last_event_id(&complete) {
            self.last_event_id = Some(id);
        }
        Some(complete)
    }

    /// Whether the incomplete event is longer than events may be.
    pub fn is_event_too_long(&self) -> bool {
        self.partial_event.len() > MAX_EVENT_BYTES
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        contains_event_line(&self.partial_event)
    }

    /// Whether numbered events were relayed.
    pub fn has_events(&self) -> bool {
        self.last_event_id.is_some()
    }

    pub fn discard_partial_event(&mut self) {
        self.partial_event.clear();
    }

    /// Takes the bytes that remain at the end of a stream that does not consist of events.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        let remainder = std::mem::take(&mut self.partial_event);
        (!remainder.is_empty()).then(|| remainder.freeze())
    }
}

/// Whether a stream ends before the empty line that terminates its last event. A reader discards
/// that event, so the stream is incomplete however its response is framed.
pub(crate) fn ends_within_event(stream: &[u8]) -> bool {
    let end = last_boundary(stream).unwrap_or(0);
    contains_event_line(&stream[end..])
}

/// Whether bytes that follow a complete event hold a line of another one. Blank lines and comments
/// belong to no event.
fn contains_event_line(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// End of the last complete event; events are terminated by an empty line.
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
    let mut ids = lines.filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    });
    ids.next()
}
