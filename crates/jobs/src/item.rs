//! One open item: what is known of its text and of its runs.

use bytes::{Bytes, BytesMut};
use peatgrade_ports::Instance;
use peatgrade_schema::replication::{AcceptJob, JobItem};
use peatgrade_types::Time;
use std::rc::Rc;

use crate::dispatcher::RunId;

/// Names an item: its job and its index there.
pub type ItemKey = (Rc<str>, usize);

/// An event of a text, and the version that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextEvent {
    /// Version of the weights.
    pub version: u64,
    /// Text.
    pub data: Bytes,
}

/// An item that has no result yet.
#[derive(Clone, Debug)]
pub struct OpenItem {
    /// Its job.
    pub spec: Rc<AcceptJob>,
    /// Its index there.
    pub index: usize,
    /// When its job became known.
    pub known_since: Time,
    /// Events so far.
    pub events: Vec<TextEvent>,
    /// Number of the last event; none before any.
    pub last_event: Option<u64>,
    /// Answers of 500.
    pub failures: u32,
    /// Its run, if it has one.
    pub run: Option<RunId>,
    /// Not tried before then.
    pub not_before: Time,
    /// Engine that its last run left in bad order.
    pub avoid: Option<Instance>,
    /// Runs so far.
    pub runs: u32,
    /// Moves from a slow engine so far.
    pub moves: u32,
    /// Its result is on its way into the log.
    pub proposed: bool,
}

impl OpenItem {
    /// An item without any text.
    pub fn new(spec: Rc<AcceptJob>, index: usize, known_since: Time) -> Self {
        Self {
            spec,
            index,
            known_since,
            events: Vec::new(),
            last_event: None,
            failures: 0,
            run: None,
            not_before: Time(0),
            avoid: None,
            runs: 0,
            moves: 0,
            proposed: false,
        }
    }

    /// The item as it was handed in.
    pub fn item(&self) -> &JobItem {
        &self.spec.items[self.index]
    }

    /// Its text: the data of all events, parted by line feeds.
    pub fn text(&self) -> Vec<u8> {
        let mut text = BytesMut::new();
        for (position, event) in self.events.iter().enumerate() {
            if position > 0 {
                text.extend_from_slice(b"\n");
            }
            text.extend_from_slice(&event.data);
        }
        text.to_vec()
    }

    /// Versions that made an event, in rising order.
    pub fn versions(&self) -> Vec<u64> {
        let mut versions: Vec<u64> = self.events.iter().map(|event| event.version).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Whether all of its text may stand in a job that allows `min_version`.
    pub fn fits(&self, min_version: u64) -> bool {
        self.events.iter().all(|event| event.version >= min_version)
    }
}
