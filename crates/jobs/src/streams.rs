//! What arrives from an engine that runs an item.

use peatgrade_fleet::Incarnation;
use peatgrade_ports::{EngineResponseHead, EventDecoder, GenerationEvent, Instance};
use peatgrade_types::Time;

use crate::item::{GroupKey, ItemKey, OpenItem};
use crate::text::TextEvent;

/// A run under way.
pub(crate) struct Run {
    pub key: ItemKey,
    /// Its group, if it has one.
    pub group: Option<GroupKey>,
    /// The engine.
    pub instance: Instance,
    /// The life of the engine in which it began.
    pub incarnation: Incarnation,
    /// Version of the weights that it demanded, if any.
    pub exact_version: Option<u64>,
    pub started_at: Time,
    /// When the first event came.
    pub first_event_at: Option<Time>,
    /// When the last event came.
    pub last_event_at: Option<Time>,
    /// It has shown that its request ends no engines.
    pub is_cleared: bool,
    /// Events of this run.
    pub events: u32,
    /// Version of the weights as the engine named it last.
    pub version: u64,
    pub head: Option<EngineResponseHead>,
    pub reader: Box<dyn EventDecoder>,
}

/// Why a run's bytes cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StreamError {
    #[error("unreadable: {0}")]
    Unreadable(String),
    #[error("event {got} after {after:?}")]
    Gap { got: u64, after: Option<u64> },
    #[error("version {got} below {least}")]
    Stale { got: u64, least: u64 },
    #[error("version {got} after {first}, where one must make the whole")]
    Mixed { got: u64, first: u64 },
}

impl StreamError {
    /// Whether the engine is to blame. New weights in the middle of a run are
    /// our own order.
    pub fn is_engine_fault(&self) -> bool {
        !matches!(self, StreamError::Mixed { .. })
    }
}

/// Adds the events in `bytes` to the item's text.
pub(crate) fn receive_bytes(
    run: &mut Run,
    item: &mut OpenItem,
    bytes: &[u8],
) -> Result<usize, StreamError> {
    let events = run.reader.feed(bytes).map_err(StreamError::Unreadable)?;
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
    let least = item.spec.min_version;
    if run.version < least {
        return Err(StreamError::Stale {
            got: run.version,
            least,
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
