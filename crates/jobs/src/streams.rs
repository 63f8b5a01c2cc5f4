//! Event stream of an item's run on an engine.

use peatgrade_fleet::Incarnation;
use peatgrade_ports::{EngineResponseHead, EventDecoder, GenerationEvent, Instance};
use peatgrade_types::Time;

use crate::item::{GroupKey, ItemKey, OpenItem};
use crate::text::TextEvent;

/// A run under way.
pub(crate) struct Run {
    pub key: ItemKey,
    pub group: Option<GroupKey>,
    pub instance: Instance,
    /// Incarnation of the engine that serves the run.
    pub incarnation: Incarnation,
    /// Weights version that the request demanded.
    pub exact_version: Option<u64>,
    pub started_at: Time,
    pub first_event_at: Option<Time>,
    pub last_event_at: Option<Time>,
    /// Whether the request has run long enough to be cleared of crashing engines.
    pub is_cleared: bool,
    /// Number of events received in this run.
    pub events: u32,
    /// Weights version that the engine reported last.
    pub version: u64,
    pub head: Option<EngineResponseHead>,
    pub reader: Box<dyn EventDecoder>,
}

/// Reason for rejecting the bytes of a run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StreamError {
    #[error("malformed event stream: {0}")]
    Malformed(String),
    #[error("event {got} does not follow event {after:?}")]
    Gap { got: u64, after: Option<u64> },
    #[error("weights version {got} is below the minimum {min_version}")]
    Stale { got: u64, min_version: u64 },
    #[error("weights version {got} after {first} in a single-version text")]
    Mixed { got: u64, first: u64 },
}

impl StreamError {
    /// Whether the engine caused the error. New weights during a run were ordered by the
    /// leader itself.
    pub fn is_engine_fault(&self) -> bool {
        !matches!(self, StreamError::Mixed { .. })
    }
}

/// Appends the events in `bytes` to the item's text and returns their number.
pub(crate) fn receive_bytes(
    run: &mut Run,
    item: &mut OpenItem,
    bytes: &[u8],
) -> Result<usize, StreamError> {
    let events = run.reader.feed(bytes).map_err(StreamError::Malformed)?;
    let count = events.len();
    for event in events {
        append_event(run, item, event)?;
    }
    Ok(count)
}

fn append_event(
    run: &mut Run,
    item: &mut OpenItem,
    event: GenerationEvent,
) -> Result<(), StreamError> {
    if let Some(version) = event.version {
        run.version = version;
    }
    let after = item.text.last_event;
    let follows = match after {
        Some(last) => event.id == last + 1,
        None => event.id <= 1,
    };
    if !follows {
        return Err(StreamError::Gap {
            got: event.id,
            after,
        });
    }
    let min_version = item.spec.min_version;
    if run.version < min_version {
        return Err(StreamError::Stale {
            got: run.version,
            min_version,
        });
    }
    if let Some(first) = item.exact_version().filter(|first| *first != run.version) {
        return Err(StreamError::Mixed {
            got: run.version,
            first,
        });
    }
    item.text.last_event = Some(event.id);
    item.text.events.push(TextEvent {
        version: run.version,
        data: event.data,
    });
    run.events += 1;
    Ok(())
}
